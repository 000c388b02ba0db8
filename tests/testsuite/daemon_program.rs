//! Runs the built daemon and the operator commands: an empty store must lead to a ready instance.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use standins::store::config::StoreConfig;

use crate::bundle_faults::SAMPLE;
use crate::http_port;
use crate::program_run::ProgramRun;

/// Maximum wait for a daemon's state; long enough for a start on a busy machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// A daemon process that is killed when the test ends.
struct DaemonProcess {
    child: Child,
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn start_daemon(run: &ProgramRun) -> DaemonProcess {
    let log = std::fs::File::create(run.path("log")).expect("the log file can be created");
    let child = Command::new(env!("CARGO_BIN_EXE_tamaracklbd"))
        .args(["--settings", "settings.yaml"])
        .current_dir(run.folder())
        .stderr(Stdio::from(log))
        .spawn()
        .expect("the daemon can be run");
    DaemonProcess { child }
}

fn free_tcp() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.local_addr().expect("the socket has an address")
}

fn free_udp() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
    socket.local_addr().expect("the socket has an address")
}

fn settings(signer: &str, store: SocketAddr, http: SocketAddr) -> String {
    let entry: String = signer
        .lines()
        .skip(1)
        .map(|line| format!("  {line}\n"))
        .collect();
    format!(
        "instance_id: i1\navailability_zone: z1\ncaller_address: {}\npeer_address: {}\n\
         http_address: {http}\npeer_tls_certificate_file: pem\npeer_tls_key_file: key\n\
         peer_tls_authority_file: pem\nstore_addresses: [{store}]\nendpoint_user: u\n\
         endpoint_password: opensesame\nlog_format: json\nlog_level: debug\nsigners:\n{entry}",
        free_tcp(),
        free_udp()
    )
}

fn wait_for_code(run: &ProgramRun, line: &str, code: i32) -> String {
    let start = Instant::now();
    loop {
        let answer = run.run(line);
        if answer.code == code {
            return answer.stdout;
        }
        let log = run.read("log");
        assert!(start.elapsed() < WAIT_TIMEOUT, "{line}: {answer:?}\n{log}");
        std::thread::sleep(Duration::from_millis(100));
    }
}

fn wait_for_log(run: &ProgramRun, text: &str) {
    let start = Instant::now();
    while !run.read("log").contains(text) {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "no {text:?} in\n{}",
            run.read("log")
        );
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn send_signal(daemon: &DaemonProcess, name: &str) {
    let line = format!("kill -{name} {}", daemon.child.id());
    let status = Command::new("sh").args(["-c", &line]).status();
    assert!(status.expect("sh can be run").success(), "{line}");
}

/// Creates a folder with the settings of a daemon that uses the given store.
fn prepare(store: SocketAddr, http: SocketAddr) -> ProgramRun {
    let names = vec!["peer.tamaracklb.internal".to_owned()];
    let certificate =
        rcgen::generate_simple_self_signed(names).expect("the certificate can be created");
    let run = ProgramRun::new()
        .file("pem", &certificate.cert.pem())
        .file("key", &certificate.signing_key.serialize_pem())
        .file("bundle.yaml", SAMPLE);
    let signer = run.succeed("key signer --id ops --out ops.pem");
    run.file("settings.yaml", &settings(&signer, store, http))
}

/// A daemon that started with an empty store must put the first submitted bundle in force without a
/// restart.
#[test]
fn empty_store() {
    let store = standins::store::handle::start(&StoreConfig::default()).expect("the store starts");
    let http = free_tcp();
    let run = prepare(store.address(), http);
    run.succeed("check --settings settings.yaml");
    let mut daemon = start_daemon(&run);
    let status = format!("status --instance {http}");
    assert!(wait_for_code(&run, &status, 1).contains("no bundle"));

    run.succeed("bundle sign --key ops.pem --signer ops --out signed.json bundle.yaml");
    run.succeed("bundle submit --settings settings.yaml signed.json");
    assert!(wait_for_code(&run, &status, 0).contains("bundle v1"));
    let journal = run.succeed(&format!("explain --instance {http}"));
    assert!(
        journal.contains("bundle v1 is in force, signed by ops"),
        "{journal}"
    );

    let metrics = http_port::get(http, "GET", "/metrics").1;
    let accepted = "tamaracklb_decisions_total{kind=\"bundle_accepted\",service=\"\"} 1\n";
    for line in [
        accepted,
        "tamaracklb_bundle_version 1\n",
        "tamaracklb_bundle_refusals_total 0\n",
    ] {
        assert!(metrics.contains(line), "{line} is not in {metrics}");
    }

    run.succeed(&format!("drain --instance {http}"));
    let ended = daemon.child.wait().expect("the daemon is a child process");
    assert!(ended.success(), "{ended:?}");
    let log = run.read("log");
    assert!(!log.contains("opensesame"), "{log}");
    for line in log.lines() {
        let entry: serde_json::Value = serde_json::from_str(line).expect("each line is JSON");
        assert!(
            entry["level"].is_string() && entry["message"].is_string(),
            "{line}"
        );
    }
}

/// SIGHUP applies a changed log level without a restart and keeps the settings in force if the file
/// is faulty; SIGTERM ends the daemon.
#[test]
fn signals() {
    let http = free_tcp();
    // Nothing listens at the address of the store, which the daemon reports at level debug.
    let run = prepare(free_tcp(), http);
    let info_settings = run
        .read("settings.yaml")
        .replace("log_level: debug", "log_level: info");
    let debug_settings = info_settings.replace("log_level: info", "log_level: debug");
    let run = run.file("settings.yaml", &info_settings);
    let mut daemon = start_daemon(&run);
    wait_for_code(&run, &format!("status --instance {http}"), 1);
    assert!(!run.read("log").contains("DEBUG"), "{}", run.read("log"));
    let run = run.file("settings.yaml", "log_level: loud\n");
    send_signal(&daemon, "HUP");
    wait_for_log(&run, "daemon: kept its settings");
    let run = run.file("settings.yaml", &debug_settings);
    send_signal(&daemon, "HUP");
    wait_for_log(&run, "DEBUG");
    send_signal(&daemon, "TERM");
    let ended = daemon.child.wait().expect("the daemon is a child process");
    assert!(ended.success(), "{ended:?}");
}
