//! Checks which requests and outages the burn report counts against a service's objective.

use std::time::Duration;

use tamaracklb::process::burn_page::BurnAlert;
use tamaracklb::process::burn_page::BurnPage;
use tamaracklb::process::burn_page::merge_pages;
use tamaracklb::process::burn_report::BurnReport;
use tamaracklb::process::timers::MonotonicTime;
use tamaracklb::request::refusal::RequestRefusal;
use tamaracklb::version::bundle::BundleConfig;
use tamaracklb::version::bundle_parser::parse_bundle;

use crate::bundle_faults::SAMPLE;
use crate::decision_journal::record;

const START: MonotonicTime = MonotonicTime::from_millis(1_000_000);

fn bundle() -> BundleConfig {
    let text = SAMPLE.replace("studio-db", "db").replace("0.999", "0.99");
    parse_bundle(&text).expect("the sample is valid")
}

fn new_report(instance: &str) -> BurnReport {
    BurnReport::new(instance.parse().expect("the id is valid"), START)
}

fn at(seconds: u64) -> MonotonicTime {
    START + Duration::from_secs(seconds)
}

fn record_requests(
    report: &BurnReport,
    team: &str,
    refusal: Option<RequestRefusal>,
    count: u64,
    seconds: u64,
) {
    for _ in 0..count {
        report.record_request(&record(team, refusal), at(seconds));
    }
}

fn rate(page: &BurnPage, team: Option<&str>, span_s: u64) -> f64 {
    let is_team = |row: &&tamaracklb::process::burn_page::BurnRow| {
        row.team.as_ref().map(|team| team.as_str()) == team
    };
    let row = page
        .rows
        .iter()
        .find(is_team)
        .expect("the page has the row");
    row.burn_rate(span_s)
}

fn assert_near(value: f64, expected: f64) {
    assert!((value - expected).abs() < 1e-9, "{value} is not {expected}");
}

/// Refusals that the team causes, such as those above its rate, must not burn; all others must.
#[test]
fn refusals_of_the_team_burn_no_budget() {
    let burning = [
        RequestRefusal::QueueFull,
        RequestRefusal::QueueDeadline,
        RequestRefusal::NoPrimary,
        RequestRefusal::NoEndpoint,
        RequestRefusal::Isolated,
        RequestRefusal::Draining,
        RequestRefusal::OutcomeUnknown,
    ];
    let not_burning = [
        RequestRefusal::AboveRate,
        RequestRefusal::KeyWithdrawn,
        RequestRefusal::TeamNotAllowed,
        RequestRefusal::UnknownService,
        RequestRefusal::TransactionDeadline,
    ];
    for (refusals, expected) in [(&burning[..], 10.0), (&not_burning[..], 0.0)] {
        for &refusal in refusals {
            let report = new_report("i1");
            record_requests(&report, "acme", None, 90, 1);
            record_requests(&report, "acme", Some(refusal), 10, 2);
            let page = report.page(&bundle(), at(60));
            assert_near(rate(&page, Some("acme"), 300), expected);
            assert_near(rate(&page, None, 300), expected);
        }
    }
}

/// Time without a primary counts against the objective even if no request fails.
#[test]
fn time_without_primary() {
    let report = new_report("i1");
    let service = "db".parse().expect("the id is valid");
    report.record_primary(&service, true, at(0));
    record_requests(&report, "acme", None, 100, 10);
    report.record_primary(&service, false, at(100));
    report.record_primary(&service, false, at(110));
    let ongoing = report.page(&bundle(), at(130));
    assert_near(rate(&ongoing, None, 300), 30.0 / 130.0 / 0.01);
    report.record_primary(&service, true, at(130));
    report.record_primary(&service, true, at(190));
    let page = report.page(&bundle(), at(200));
    assert_near(rate(&page, None, 300), 30.0 / 200.0 / 0.01);
    assert_near(rate(&page, Some("acme"), 3600), 30.0 / 200.0 / 0.01);
    // Refusals during the outage are not counted in addition to it.
    record_requests(&report, "acme", Some(RequestRefusal::NoPrimary), 5, 201);
    let page = report.page(&bundle(), at(202));
    assert_near(rate(&page, None, 300), 30.0 / 202.0 / 0.01);
}

/// The short time that a starting instance needs to find the primary must not count as an outage,
/// but a longer absence of the primary must.
#[test]
fn start_without_primary() {
    let service = "db".parse().expect("the id is valid");
    let short_start = new_report("i1");
    short_start.record_primary(&service, false, at(0));
    short_start.record_primary(&service, false, at(2));
    short_start.record_primary(&service, true, at(3));
    assert_near(rate(&short_start.page(&bundle(), at(100)), None, 300), 0.0);
    short_start.record_primary(&service, false, at(103));
    short_start.record_primary(&service, true, at(105));
    assert_near(rate(&short_start.page(&bundle(), at(200)), None, 300), 1.0);

    let no_primary = new_report("i1");
    for seconds in 0..30 {
        no_primary.record_primary(&service, false, at(seconds));
    }
    assert_near(rate(&no_primary.page(&bundle(), at(30)), None, 300), 100.0);
}

/// Each window must drop the counts that are older than its span and no others.
#[test]
fn windows_slide() {
    let report = new_report("i1");
    record_requests(&report, "acme", Some(RequestRefusal::QueueFull), 50, 10);
    record_requests(&report, "acme", None, 50, 10);
    for (seconds, expected) in [
        (200, [50.0, 50.0, 50.0, 50.0]),
        (400, [0.0, 50.0, 50.0, 50.0]),
        (3900, [0.0, 0.0, 50.0, 50.0]),
        (6 * 3600 + 600, [0.0, 0.0, 0.0, 50.0]),
        (74 * 3600, [0.0, 0.0, 0.0, 0.0]),
    ] {
        // A later request starts a new short bucket, which moves the older counts into the rings.
        report.record_request(&record("other", None), at(seconds));
        let page = report.page(&bundle(), at(seconds));
        for (span_s, expected) in [300, 3600, 6 * 3600, 72 * 3600].into_iter().zip(expected) {
            assert_near(rate(&page, Some("acme"), span_s), expected);
        }
        assert_near(rate(&page, Some("acme"), 720 * 3600), 50.0);
    }
}

/// A sum over all teams would hide the worst-served one, so each team has its own row.
#[test]
fn teams_apart() {
    let report = new_report("i1");
    record_requests(&report, "large", None, 990, 1);
    record_requests(&report, "small", Some(RequestRefusal::QueueDeadline), 10, 1);
    let page = report.page(&bundle(), at(5));
    assert_near(rate(&page, None, 300), 1.0);
    assert_near(rate(&page, Some("large"), 300), 0.0);
    assert_near(rate(&page, Some("small"), 300), 100.0);
}

/// Merging must count an outage once and not per instance, and each instance once.
#[test]
fn merged_instances() {
    let service = "db".parse().expect("the id is valid");
    let mut pages = Vec::new();
    for (instance, good, bad) in [("i1", 100, 0), ("i2", 60, 40)] {
        let report = new_report(instance);
        record_requests(&report, "acme", None, good, 1);
        record_requests(&report, "acme", Some(RequestRefusal::Isolated), bad, 1);
        report.record_primary(&service, false, at(10));
        report.record_primary(&service, true, at(20));
        pages.push(report.page(&bundle(), at(100)));
    }
    pages.push(pages[0].clone());
    let merged = merge_pages(pages);
    assert_eq!(merged.instances.len(), 2);
    assert_near(rate(&merged, Some("acme"), 300), 20.0);
    let span = merged.rows[0].spans[0];
    assert_eq!((span.counts.good, span.counts.bad), (160, 40));
    assert_eq!(span.counts.absent_ms, 10_000);
    let text = serde_json::to_string(&merged).expect("a page is JSON");
    assert_eq!(
        merged,
        serde_json::from_str(&text).expect("a page can be read")
    );
    assert!(merged.to_string().contains("page"), "{merged}");
}

/// An alert must require both of its windows, or it would continue after its cause has ended.
#[test]
fn alert_windows() {
    let report = new_report("i1");
    record_requests(&report, "acme", None, 80, 10);
    record_requests(&report, "acme", Some(RequestRefusal::QueueFull), 20, 10);
    let alert = |seconds: u64| {
        report.record_request(&record("other", None), at(seconds));
        let page = report.page(&bundle(), at(seconds));
        page.rows[1].alert()
    };
    assert_eq!(alert(20), BurnAlert::Page);
    assert_eq!(alert(400), BurnAlert::Ticket);
    assert_eq!(alert(7 * 3600), BurnAlert::None);
}

/// The memory for a month of counters must stay bounded.
#[test]
fn bounded_memory() {
    let mut window = tamaracklb::process::burn_window::BurnWindow::default();
    let counts = tamaracklb::process::burn_window::BurnCounts {
        good: 1,
        ..Default::default()
    };
    for step in 0..(100 * 24 * 60) {
        window.add(counts, at(step * 60));
    }
    let shown = format!("{window:?}").matches("good").count();
    assert!(shown < 320, "{shown} buckets are stored");
}
