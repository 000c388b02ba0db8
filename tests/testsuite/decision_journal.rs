//! Checks that the decision journal is ordered, bounded and complete enough to explain past events.

use std::time::Duration;

use tamaracklb::process::decision_journal::DecisionJournal;
use tamaracklb::process::decision_journal::merge_journals;
use tamaracklb::process::journal_decision::DecisionEvidence;
use tamaracklb::process::journal_decision::JournalDecision;
use tamaracklb::process::wall_time::WallTime;
use tamaracklb::request::log_point::LogTerm;
use tamaracklb::request::ports::RequestClass;
use tamaracklb::request::ports::RequestRecord;
use tamaracklb::request::refusal::RequestRefusal;

fn new_journal(instance: &str, capacity: usize) -> DecisionJournal {
    DecisionJournal::new(instance.parse().expect("the id is valid"), 7, capacity)
}

fn promoted(term: u64) -> JournalDecision {
    JournalDecision::Promoted {
        service: "db".parse().expect("the id is valid"),
        endpoint: "db-2".parse().expect("the id is valid"),
        term: LogTerm(term),
    }
}

pub fn record(team: &str, refusal: Option<RequestRefusal>) -> RequestRecord {
    RequestRecord {
        team: team.parse().expect("the id is valid"),
        service: "db".parse().expect("the id is valid"),
        class: RequestClass::Write,
        replica: false,
        wait: Duration::from_millis(1),
        total: Duration::from_millis(5),
        refusal,
    }
}

/// The journal drops its oldest entries at its capacity, so that a month of decisions does not
/// exhaust memory, and reports how many it dropped.
#[test]
fn bounded_length() {
    let journal = new_journal("i1", 3);
    for term in 0..10 {
        journal.append(WallTime(term), promoted(term), Vec::new());
    }
    let page = journal.page(None);
    let sequences: Vec<u64> = page.entries.iter().map(|entry| entry.sequence).collect();
    assert_eq!((page.dropped, sequences), (7, vec![7, 8, 9]));
    assert_eq!(journal.page(Some(8)).entries.len(), 1);
    assert!(journal.page(Some(9)).entries.is_empty());
}

/// Refusals are summed, so that many of them do not evict other decisions from the journal.
#[test]
fn summed_refusals() {
    let journal = new_journal("i1", 10);
    journal.append(WallTime(1), promoted(2), Vec::new());
    for _ in 0..100_000 {
        journal.record_request(&record("acme", Some(RequestRefusal::AboveRate)));
    }
    journal.record_request(&record("acme", None));
    journal.sum_refusals(WallTime(2));
    journal.sum_refusals(WallTime(3));
    let entries = journal.page(None).entries;
    let shown: Vec<String> = entries
        .iter()
        .map(|entry| entry.decision.to_string())
        .collect();
    let expected = [
        "db: db-2 was promoted at term 2",
        "db: 100000 requests of team acme refused: the team is above its rate",
    ];
    assert_eq!(shown, expected);
}

/// Merged journals are ordered by time, since the order across instances explains a failover.
#[test]
fn merged_order() {
    let (first, second) = (new_journal("i1", 10), new_journal("i2", 10));
    first.append(WallTime(1000), JournalDecision::StoreLost, Vec::new());
    let silence = DecisionEvidence::UpstreamSilence {
        endpoint: "db-3".parse().expect("the id is valid"),
        silence_ms: 1040,
    };
    second.append(WallTime(1500), promoted(4), vec![silence]);
    first.append(WallTime(2000), JournalDecision::StoreReturned, Vec::new());
    // The clock of i1 is set back; its entries keep their order.
    first.append(WallTime(900), JournalDecision::Isolated, Vec::new());
    let pages = vec![first.page(None), second.page(None), first.page(None)];
    let merged = merge_journals(pages);
    let shown: Vec<String> = merged.iter().map(ToString::to_string).collect();
    let expected = [
        "1970-01-01T00:00:01.000Z i1 the store does not answer",
        "1970-01-01T00:00:01.500Z i2 db: db-2 was promoted at term 4\n    \
         because db-3 heard nothing from the primary for 1040 ms",
        "1970-01-01T00:00:02.000Z i1 the store answers again",
        "1970-01-01T00:00:00.900Z i1 the instance is isolated and refuses requests",
    ];
    assert_eq!(shown, expected);
}

/// Journals are exchanged as JSON between programs whose versions may differ.
#[test]
fn json_round_trip() {
    let journal = new_journal("i1", 10);
    let evidence = DecisionEvidence::PeerView {
        asked: 8,
        answered: 2,
        seeing_store: 0,
    };
    journal.append(WallTime(5), JournalDecision::Isolated, vec![evidence]);
    journal.append(WallTime(6), promoted(9), Vec::new());
    let page = journal.page(None);
    let text = serde_json::to_string(&page).expect("a page is JSON");
    let read = serde_json::from_str(&text).expect("a page can be read");
    assert_eq!(page, read);
}

/// Checks leap years and ends of months, since the code computes dates itself.
#[test]
fn calendar_dates() {
    for (seconds, expected) in [
        (0, "1970-01-01T00:00:00.000Z"),
        (951_782_400, "2000-02-29T00:00:00.000Z"),
        (951_868_800, "2000-03-01T00:00:00.000Z"),
        (1_772_323_199, "2026-02-28T23:59:59.000Z"),
        (1_798_761_600, "2027-01-01T00:00:00.000Z"),
        (4_107_542_400, "2100-03-01T00:00:00.000Z"),
    ] {
        assert_eq!(WallTime(seconds * 1000).to_string(), expected);
    }
}
