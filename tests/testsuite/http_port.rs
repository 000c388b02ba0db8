//! Checks the answers of the HTTP port, on which operators and load balancers rely.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use tamaracklb::process::burn_page::BurnPage;
use tamaracklb::process::decision_journal::DecisionJournal;
use tamaracklb::process::http_server::DrainRefusal;
use tamaracklb::process::http_server::HttpPorts;
use tamaracklb::process::http_server::HttpServerHandle;
use tamaracklb::process::http_server::authorize_drain;
use tamaracklb::process::http_server::start_http_server;
use tamaracklb::process::instance_status::InstanceStatus;
use tamaracklb::process::journal_decision::JournalDecision;
use tamaracklb::process::metrics::ProcessMetrics;
use tamaracklb::process::store_calls::StoreCallKind;
use tamaracklb::process::store_calls::StoreCalls;
use tamaracklb::process::wall_time::WallTime;
use tamaracklb::request::refusal::RequestRefusal;
use tamaracklb::version::ids::BundleVersion;
use tamaracklb::version::ids::InstanceId;
use tamaracklb::version::secret_text::SecretText;

use crate::decision_journal::record;
use crate::program_run::ProgramRun;

/// An HTTP server with the status, journal and metrics of a sample instance, without a daemon.
pub struct FakeInstance {
    pub address: SocketAddr,
    drains: Arc<AtomicUsize>,
    _server: HttpServerHandle,
}

fn sample_status(instance: &InstanceId, bundle: u64) -> InstanceStatus {
    InstanceStatus {
        instance: instance.clone(),
        zone: "z1".parse().expect("the id is valid"),
        program_version: "0".to_owned(),
        time: WallTime(0),
        uptime_ms: 1000,
        bundle: BundleVersion(bundle),
        store_silence_ms: Some(20),
        live_peers: 2,
        known_peers: 3,
        isolated: false,
        draining: false,
        caller_connections: 4,
        open_transactions: 1,
        services: Vec::new(),
    }
}

impl FakeInstance {
    pub fn start(instance: &str, bundle: u64, token: Option<&str>) -> Self {
        Self::start_at("127.0.0.1:0", instance, bundle, token)
    }

    pub fn start_at(address: &str, instance: &str, bundle: u64, token: Option<&str>) -> Self {
        let id: InstanceId = instance.parse().expect("the id is valid");
        let journal = DecisionJournal::new(id.clone(), 1, 10);
        journal.append(
            WallTime(bundle * 1000),
            JournalDecision::StoreLost,
            Vec::new(),
        );
        let metrics = ProcessMetrics::new("0").expect("the names are valid");
        metrics.record_request(&record("acme", Some(RequestRefusal::NoPrimary)));
        let drains = Arc::new(AtomicUsize::new(0));
        let counted = Arc::clone(&drains);
        let page = BurnPage {
            instances: vec![id.clone()],
            rows: Vec::new(),
        };
        let ports = HttpPorts {
            metrics: Box::new(move || metrics.render()),
            status: Box::new(move || sample_status(&id, bundle)),
            journal: Box::new(move |after| journal.page(after)),
            report: Box::new(move || page.clone()),
            drain: Box::new(move || {
                counted.fetch_add(1, Ordering::SeqCst);
            }),
            operator_token: token.map(|token| SecretText::new(token.to_owned())),
        };
        let listener = TcpListener::bind(address).expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let server = start_http_server(listener, Arc::new(ports)).expect("the server starts");
        Self {
            address,
            drains,
            _server: server,
        }
    }
}

/// Sends one request without TLS and returns the status and the body of the answer.
pub fn get(address: SocketAddr, method: &str, path: &str) -> (u16, String) {
    use std::io::Read;
    use std::io::Write;
    let mut stream = std::net::TcpStream::connect(address).expect("the server listens");
    let request = format!("{method} {path} HTTP/1.1\r\nHost: i\r\nConnection: close\r\n\r\n");
    stream
        .write_all(request.as_bytes())
        .expect("the server accepts the request");
    let mut text = String::new();
    stream
        .read_to_string(&mut text)
        .expect("the server answers");
    let (head, body) = text.split_once("\r\n\r\n").expect("the answer has a head");
    let status = head.split(' ').nth(1).expect("the answer has a status");
    (
        status.parse().expect("the status is a number"),
        body.to_owned(),
    )
}

/// An instance without a bundle is healthy but not ready, so that load balancers send it no
/// callers.
#[test]
fn ready_and_health() {
    let (ready, fresh) = (
        FakeInstance::start("i1", 3, None),
        FakeInstance::start("i2", 0, None),
    );
    assert_eq!(get(ready.address, "GET", "/ready").0, 200);
    assert_eq!(get(fresh.address, "GET", "/health").0, 200);
    let (code, body) = get(fresh.address, "GET", "/ready");
    assert_eq!(
        (code, body.as_str()),
        (503, r#"{"ready":false,"reasons":["no_bundle"]}"#)
    );
    assert_eq!(get(ready.address, "GET", "/drain").0, 405);
    assert_eq!(get(ready.address, "GET", "/nothing").0, 404);
}

/// Dashboards and alerts depend on the names and labels of the metrics.
#[test]
fn metric_text() {
    let instance = FakeInstance::start("i1", 3, None);
    let (code, body) = get(instance.address, "GET", "/metrics");
    assert_eq!(code, 200);
    let line = "tamaracklb_requests_total{class=\"write\",outcome=\"no_primary\",\
                service=\"db\",team=\"acme\"} 1";
    assert!(body.contains(line), "{body}");
    assert!(
        body.contains("tamaracklb_request_wait_seconds_bucket"),
        "{body}"
    );
    assert!(
        body.contains("tamaracklb_build_info{version=\"0\"} 1"),
        "{body}"
    );
}

/// Recording the total of store calls repeatedly must not add them to the counter again.
#[test]
fn store_call_counters() {
    let metrics = ProcessMetrics::new("0").expect("the names are valid");
    let calls = StoreCalls::default();
    calls.count(StoreCallKind::Watch);
    metrics.record_store_calls(&calls);
    calls.count(StoreCallKind::Watch);
    metrics.record_store_calls(&calls);
    metrics.record_store_calls(&calls);
    let text = metrics.render().expect("the metrics can be written");
    let line = "tamaracklb_store_calls_total{operation=\"watch\"} 2\n";
    assert!(text.contains(line), "{text}");
}

/// The commands must show all instances that answer and report those that do not.
#[test]
fn operator_view() {
    let run = ProgramRun::new();
    let (first, second) = (
        FakeInstance::start("i1", 2, None),
        FakeInstance::start("i2", 1, None),
    );
    let both = format!("--instance {} --instance {}", first.address, second.address);
    let shown = run.succeed(&format!("status {both}"));
    assert!(
        shown.starts_with("i1 (z1): ready; bundle v2, store heard 20 ms ago"),
        "{shown}"
    );
    let journal = run.succeed(&format!("explain {both}"));
    let expected = "1970-01-01T00:00:01.000Z i2 the store does not answer\n\
                    1970-01-01T00:00:02.000Z i1 the store does not answer\n";
    assert_eq!(journal, expected);
    assert_eq!(
        run.succeed(&format!("explain {both} --last 1"))
            .lines()
            .count(),
        1
    );
    assert_eq!(run.succeed(&format!("explain {both} --team acme")), "");
    assert!(
        run.succeed(&format!("report {both}"))
            .starts_with("instances: 2\n")
    );
    let fresh = FakeInstance::start("i3", 0, None);
    assert_eq!(
        run.run(&format!("status --instance {}", fresh.address))
            .code,
        1
    );
    let stopped_address = fresh.address;
    drop(fresh);
    let partial = run.run(&format!("explain {both} --instance {stopped_address}"));
    assert_eq!(
        (partial.code, partial.stdout.as_str()),
        (2, expected),
        "{partial:?}"
    );
    assert!(
        partial
            .stderr
            .contains(&format!("{stopped_address}: no answer")),
        "{partial:?}"
    );
}

/// Draining an instance that has an operator token requires that token.
#[test]
fn drain_needs_token() {
    let instance = FakeInstance::start("i1", 1, Some("letmein"));
    let run = ProgramRun::new()
        .file("good", "letmein\n")
        .file("bad", "letme");
    let line = format!("drain --instance {}", instance.address);
    assert_eq!(run.run(&line).code, 2);
    assert_eq!(run.run(&format!("{line} --token-file bad")).code, 2);
    assert_eq!(instance.drains.load(Ordering::SeqCst), 0);
    run.succeed(&format!("{line} --token-file good"));
    assert_eq!(instance.drains.load(Ordering::SeqCst), 1);
}

/// Without a configured token, only callers on the loopback address may drain.
#[test]
fn drain_rules() {
    let token = SecretText::new("t".to_owned());
    let loopback: IpAddr = "127.0.0.1".parse().expect("the address is valid");
    let remote: IpAddr = "10.0.0.1".parse().expect("the address is valid");
    for (token, header, caller, expected) in [
        (None, None, Some(loopback), Ok(())),
        (None, None, Some(remote), Err(DrainRefusal::NotLoopback)),
        (
            None,
            Some("Bearer "),
            Some(remote),
            Err(DrainRefusal::NotLoopback),
        ),
        (None, None, None, Err(DrainRefusal::NotLoopback)),
        (Some(&token), Some("Bearer t"), Some(remote), Ok(())),
        (
            Some(&token),
            None,
            Some(loopback),
            Err(DrainRefusal::BadToken),
        ),
        (
            Some(&token),
            Some("t"),
            Some(loopback),
            Err(DrainRefusal::BadToken),
        ),
        (
            Some(&token),
            Some("Bearer tt"),
            Some(loopback),
            Err(DrainRefusal::BadToken),
        ),
        (
            Some(&token),
            Some("Bearer "),
            Some(loopback),
            Err(DrainRefusal::BadToken),
        ),
    ] {
        assert_eq!(
            authorize_drain(token, header, caller),
            expected,
            "{header:?} {caller:?}"
        );
    }
}
