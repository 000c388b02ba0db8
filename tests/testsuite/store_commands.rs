//! Submits bundles with the operator program to the stand-in store.

use standins::store::config::StoreConfig;
use standins::store::faults::StoreFaults;
use standins::store::faults::StoreOutage;
use standins::store::handle::StoreHandle;
use standins::store::handle::start;

use crate::bundle_faults::SAMPLE;
use crate::operator_commands::settings_text;
use crate::program_run::ProgramRun;

/// Creates a folder with settings and the signed envelopes v1.json, v2.json and other2.json.
fn prepare(store_addresses: &str) -> ProgramRun {
    let run = ProgramRun::new();
    let signer = run.succeed("key signer --id ops --out ops.pem");
    let run = run
        .file(
            "settings.yaml",
            &settings_text(&[signer], 1, store_addresses),
        )
        .file("v1.yaml", SAMPLE)
        .file("v2.yaml", &SAMPLE.replace("version: 1", "version: 2"))
        .file(
            "other2.yaml",
            &SAMPLE.replace("version: 1", "version: 2 # other"),
        );
    for name in ["v1", "v2", "other2"] {
        let line = format!("bundle sign --key ops.pem --signer ops --out {name}.json {name}.yaml");
        run.succeed(&line);
    }
    run
}

fn start_store() -> (StoreHandle, String) {
    let store = start(&StoreConfig::default()).expect("the stand-in store starts");
    let address = store.address().to_string();
    (store, address)
}

/// A submission that loses must report the winning version, which stays in the store.
#[test]
fn one_operator_wins() {
    let (store, address) = start_store();
    let run = prepare(&address);
    assert_eq!(run.run("bundle show --settings settings.yaml").code, 1);
    let submit = "bundle submit --settings settings.yaml";
    assert_eq!(run.succeed(&format!("{submit} v2.json")), "v2 is current\n");
    assert_eq!(
        run.succeed(&format!("{submit} v2.json")),
        "v2 was current before\n"
    );
    let shown = run.succeed("bundle show --settings settings.yaml");
    assert_eq!(shown, run.read("v2.yaml"));
    for name in ["other2.json", "v1.json"] {
        let lost = run.run(&format!("{submit} {name}"));
        assert_eq!(lost.code, 1, "{lost:?}");
        assert!(lost.stderr.contains("v2 is, signed by ops"), "{lost:?}");
    }
    let unsigned = run.run(&format!("{submit} v2.yaml"));
    assert_eq!(unsigned.code, 1, "{unsigned:?}");
    let diff = run.run("bundle diff --settings settings.yaml v1.yaml");
    assert_eq!(
        (diff.code, diff.stdout.as_str()),
        (1, "~ version: 2 -> 1\n")
    );
    let entry = store.get("bundle/current").expect("a bundle is current");
    assert_eq!(
        (entry.revision, entry.value + "\n"),
        (1, run.read("v2.json"))
    );
}

/// A lost answer must not be reported as a failure, nor an outage as a success.
#[test]
fn faulty_store() {
    let (store, address) = start_store();
    let run = prepare(&address);
    let submit = "bundle submit --settings settings.yaml";
    store.set_faults(StoreFaults {
        lose_answers: 1,
        ..StoreFaults::default()
    });
    assert_eq!(run.succeed(&format!("{submit} v1.json")), "v1 is current\n");
    store.set_faults(StoreFaults {
        outage: StoreOutage::Unavailable,
        ..StoreFaults::default()
    });
    let down = run.run(&format!("{submit} v2.json"));
    assert_eq!((down.code, down.stdout.as_str()), (2, ""), "{down:?}");
    assert!(down.stderr.contains("not submitted"), "{down:?}");
    assert_eq!(run.run("bundle show --settings settings.yaml").code, 2);
}

/// A submission must succeed while one of the store addresses answers.
#[test]
fn second_address() {
    let (_store, address) = start_store();
    let closed = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let closed_address = closed.local_addr().expect("the listener has an address");
    drop(closed);
    let run = prepare(&format!("{closed_address}, {address}"));
    let line = "bundle submit --settings settings.yaml v1.json";
    assert_eq!(run.succeed(line), "v1 is current\n");
}
