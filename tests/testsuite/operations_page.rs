//! Checks that the commands in the operator pages work as shown and that the pages are complete.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::process::Command;

use standins::store::config::StoreConfig;
use store_wire::InstanceEntry;
use store_wire::InstanceState;

use crate::bundle_faults::SAMPLE;
use crate::http_port::FakeInstance;
use crate::operator_commands::settings_text;
use crate::program_run::ProgramRun;

const PAGE: &str = include_str!("../../docs/OPERATIONS.md");
const SQLSTATE_PAGE: &str = include_str!("../../docs/sqlstate.md");
const METRICS_SOURCE: &str = include_str!("../../src/process/metrics.rs");

/// An editor that increments the version of a bundle and does not change other files.
const EDITOR: &str = "#!/bin/sh
grep -q '^version: ' \"$1\" || exit 0
count=$(($(cat edits 2>/dev/null || echo 0) + 1))
echo $count > edits
sed -i \"s/^version: .*/version: $count/\" \"$1\"
";

/// Returns the commands of the page in order.
fn page_commands() -> Vec<&'static str> {
    let mut inside = false;
    let mut commands = Vec::new();
    for line in PAGE.lines().map(str::trim) {
        match line {
            "```sh" => inside = true,
            "```" => inside = false,
            _ if inside => commands.push(line),
            _ => {}
        }
    }
    commands
}

fn run_command(run: &ProgramRun, line: &str, instances: &[SocketAddr; 2]) {
    let text = line
        .replace("10.20.1.21:9432", &instances[0].to_string())
        .replace("10.20.2.21:9432", &instances[1].to_string());
    let program = Path::new(env!("CARGO_BIN_EXE_tamaracklb"));
    let folder = program.parent().expect("the program is in a folder");
    let path = format!("{}:/usr/bin:/bin", folder.display());
    let output = Command::new("sh")
        .args(["-c", &text])
        .env("PATH", path)
        .env("EDITOR", "./editor")
        .current_dir(run.folder())
        .output()
        .expect("sh can be run");
    let expected = if line.ends_with("# exits with 1") {
        1
    } else {
        0
    };
    assert_eq!(output.status.code(), Some(expected), "{line}: {output:?}");
}

fn listed(id: &str, address: &str) -> InstanceEntry {
    InstanceEntry {
        id: id.to_owned(),
        address: address.to_owned(),
        zone: "z1".to_owned(),
        state: InstanceState::Live,
    }
}

/// Runs the page's commands in order, from the first key to a rolled-back bundle.
#[test]
fn commands_work() {
    let store = standins::store::handle::start(&StoreConfig::default()).expect("the store starts");
    let first = FakeInstance::start("i1", 1, Some("letmein"));
    let port = first.address.port();
    // Both use the same port, like the instances of a fleet; the ports in the store's list differ.
    let second = FakeInstance::start_at(&format!("127.0.0.2:{port}"), "i2", 1, None);
    store.set_instances(vec![
        listed("i1", "127.0.0.1:1"),
        listed("i2", "127.0.0.2:1"),
    ]);
    let run = ProgramRun::new()
        .file("editor", EDITOR)
        .file("operator-token", "letmein\n")
        .file("pem", "x");
    let executable = std::fs::Permissions::from_mode(0o755);
    std::fs::set_permissions(run.path("editor"), executable).expect("the test owns the file");
    std::fs::create_dir(run.path("examples")).expect("the folder is new");
    let mut run = run.file("examples/bundle.yaml", SAMPLE);
    let commands = page_commands();
    assert!(commands.len() > 20, "{commands:?}");
    for line in commands {
        run_command(&run, line, &[first.address, second.address]);
        if line.contains("--id ops-b") {
            let signers = [run.read("ops-a.yaml"), run.read("ops-b.yaml")];
            let address = store.address().to_string();
            let text = settings_text(&signers, 2, &address);
            let text = format!("{text}http_address: {}\n", first.address);
            run = run.file("settings.yaml", &text);
        }
    }
    let entry = store.get("bundle/current").expect("a bundle is current");
    assert_eq!(entry.revision, 3, "first bundle, change and rollback");
    let shown = run.succeed("status --settings settings.yaml");
    assert!(
        shown.contains("i1 (z1): ready") && shown.contains("i2 (z1): ready"),
        "{shown}"
    );
}

fn metric_names(text: &str) -> BTreeSet<&str> {
    let is_name = |c: char| c.is_ascii_lowercase() || c == '_';
    text.split(|c: char| !is_name(c))
        .filter(|word| word.starts_with("tamaracklb_"))
        .collect()
}

/// The page must list exactly the metrics of the code, and alerts may only use listed ones.
#[test]
fn metrics_listed() {
    let table = PAGE
        .split("## Metrics")
        .nth(1)
        .expect("the page has the section");
    let table = table.split("## Alerts").next().expect("the section ends");
    assert_eq!(metric_names(table), metric_names(METRICS_SOURCE));
    let alerts = PAGE
        .split("## Alerts")
        .nth(1)
        .expect("the page has the section");
    assert!(metric_names(alerts).is_subset(&metric_names(table)));
}

/// Returns the SQLSTATE literals of all source files of a folder.
fn source_codes(folder: &str) -> BTreeSet<String> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join(folder);
    let mut codes = BTreeSet::new();
    for entry in std::fs::read_dir(folder).expect("the folder exists") {
        let path = entry.expect("the folder can be read").path();
        let text = std::fs::read_to_string(path).expect("the file can be read");
        let is_code = |word: &&str| {
            word.len() == 5
                && word.starts_with(|c: char| c.is_ascii_digit())
                && word
                    .chars()
                    .all(|c| c.is_ascii_digit() || c.is_ascii_uppercase())
        };
        codes.extend(text.split('"').filter(is_code).map(str::to_owned));
    }
    codes
}

/// The page must list exactly the SQLSTATE codes that callers can receive.
#[test]
fn sqlstates_listed() {
    let listed: BTreeSet<String> = SQLSTATE_PAGE
        .lines()
        .filter_map(|line| line.strip_prefix("| ")?.split(' ').next())
        .filter(|word| word.len() == 5)
        .map(str::to_owned)
        .collect();
    let mut used = source_codes("src/request");
    used.extend(source_codes("src/connection"));
    // The proxy recognizes this code in endpoints' answers and never sends it itself.
    used.remove("25006");
    assert_eq!(listed, used);
}
