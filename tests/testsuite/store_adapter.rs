//! Checks that the store adapter resolves calls whose answers were lost and counts every call, and
//! that the stand-in store follows the protocol for leases and revisions.

use std::time::Duration;

use standins::store::StoreConfig;
use standins::store::StoreFaults;
use standins::store::StoreHandle;
use standins::store::StoreOutage;
use standins::store::start;
use store_wire::CasRequest;
use store_wire::InstanceEntry;
use store_wire::InstanceState;
use store_wire::MAX_VALUE_BYTES;
use tamaracklb::process::store_calls::StoreCallKind;
use tamaracklb::process::store_client::StoreClient;
use tamaracklb::process::store_client::SwapOutcome;
use tamaracklb::process::store_client::parse_instances;
use tamaracklb::process::store_error::StoreError;

use crate::support::group::eventually;

const TIMEOUT: Duration = Duration::from_secs(5);
const SHORT_TIMEOUT: Duration = Duration::from_millis(100);

fn start_store(timeout: Duration) -> (StoreHandle, StoreClient) {
    let store = start(&StoreConfig::default()).unwrap();
    let client = StoreClient::start(store.address(), timeout).unwrap();
    (store, client)
}

fn swap(key: &str, expected_revision: u64, value: &str) -> CasRequest {
    CasRequest {
        key: key.to_owned(),
        expected_revision,
        value: value.to_owned(),
        lease: None,
    }
}

fn lose_answers(store: &StoreHandle, lose_answers: u64) {
    store.set_faults(StoreFaults {
        lose_answers,
        ..StoreFaults::default()
    });
}

/// Guards against a write that overwrites a revision which the writer has not read.
#[tokio::test]
async fn swaps_require_the_current_revision() {
    let (_store, client) = start_store(TIMEOUT);
    assert_eq!(client.get("bundle/current").await, Ok(None));
    let first = client
        .compare_and_swap(&swap("bundle/current", 0, "one"))
        .await;
    let Ok(SwapOutcome::Written { revision }) = first else {
        panic!("{first:?}");
    };
    for stale in [0, revision + 1] {
        let outcome = client
            .compare_and_swap(&swap("bundle/current", stale, "two"))
            .await;
        assert_eq!(outcome, Ok(SwapOutcome::Conflict { revision }));
    }
    let entry = client.get("bundle/current").await.unwrap().unwrap();
    assert_eq!((entry.revision, entry.value.as_str()), (revision, "one"));
}

/// Guards against treating a write whose answer was lost as failed, and so repeating or dropping
/// it.
#[tokio::test]
async fn lost_swap_answer_is_resolved() {
    let (store, client) = start_store(TIMEOUT);
    lose_answers(&store, 1);
    let outcome = client.compare_and_swap(&swap("shares/1", 0, "a")).await;
    assert_eq!(outcome, Ok(SwapOutcome::Written { revision: 1 }));
    assert_eq!(store.calls().cas, 1);
    assert_eq!(store.calls().get, 1);
}

/// After a lost answer, another writer's value in the store leaves the outcome unknown: it may
/// have replaced the client's own write, so neither success nor failure may be reported.
#[tokio::test]
async fn overtaken_swap_stays_unknown() {
    let (store, client) = start_store(Duration::from_secs(1));
    let other = StoreClient::start(store.address(), TIMEOUT).unwrap();
    // The slow store answers after the client's timeout, so the client gets no answer to the write.
    store.set_faults(StoreFaults {
        slow_ms: 2000,
        ..StoreFaults::default()
    });
    let request = swap("shares/1", 0, "mine");
    let pending = tokio::spawn(async move { client.compare_and_swap(&request).await });
    eventually("the slow call arrives", || store.calls().cas == 1).await;
    store.set_faults(StoreFaults::default());
    let first = other.compare_and_swap(&swap("shares/1", 0, "theirs")).await;
    assert_eq!(first, Ok(SwapOutcome::Written { revision: 1 }));
    let outcome = pending.await.unwrap();
    assert_eq!(outcome, Err(StoreError::Overtaken { revision: 1 }));
    assert!(!outcome.unwrap_err().is_not_applied());
}

/// Guards against reporting "not applied" for a call that may have been applied, and "unknown" for
/// one that was never sent.
#[tokio::test]
async fn errors_distinguish_not_applied_from_unknown() {
    let (store, client) = start_store(SHORT_TIMEOUT);
    for outage in [StoreOutage::Unavailable, StoreOutage::Silent] {
        store.set_faults(StoreFaults {
            outage,
            ..StoreFaults::default()
        });
        let outcome = client.compare_and_swap(&swap("k", 0, "v")).await;
        assert_eq!(outcome, Err(StoreError::NoAnswer), "{outage:?}");
        assert_eq!(client.get("k").await, Err(StoreError::NoAnswer));
    }
    store.set_faults(StoreFaults::default());
    let client = StoreClient::start(store.address(), TIMEOUT).unwrap();
    assert_eq!(client.get("k").await, Ok(None));
    let large = swap("k", 0, &"x".repeat(MAX_VALUE_BYTES + 1));
    let error = client.compare_and_swap(&large).await.unwrap_err();
    assert!(error.is_not_applied(), "{error}");
    let mut leased = swap("k", 0, "v");
    leased.lease = Some("unknown".to_owned());
    let error = client.compare_and_swap(&leased).await.unwrap_err();
    assert_eq!(error, StoreError::LeaseNotFound);

    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = closed.local_addr().unwrap();
    drop(closed);
    let client = StoreClient::start(address, TIMEOUT).unwrap();
    let error = client
        .compare_and_swap(&swap("k", 0, "v"))
        .await
        .unwrap_err();
    assert_eq!(error, StoreError::ConnectFailed);
    assert!(error.is_not_applied());
}

/// Guards against keys that outlive their lease, and leases that can be renewed after they lapsed.
#[tokio::test]
async fn keys_end_with_their_lease() {
    let (store, client) = start_store(TIMEOUT);
    let lease = client.grant_lease(Duration::from_secs(60)).await.unwrap();
    let mut request = swap("instances/a", 0, "a");
    request.lease = Some(lease.clone());
    client.compare_and_swap(&request).await.unwrap();
    assert_eq!(client.renew_lease(&lease).await, Ok(()));
    store.expire_leases(Some(&lease));
    assert_eq!(client.get("instances/a").await, Ok(None));
    let renewed = client.renew_lease(&lease).await;
    assert_eq!(renewed, Err(StoreError::LeaseNotFound));

    let short = client.grant_lease(Duration::from_millis(30)).await.unwrap();
    request.lease = Some(short);
    let outcome = client.compare_and_swap(&request).await.unwrap();
    let SwapOutcome::Written { revision } = outcome else {
        panic!("{outcome:?}");
    };
    let answer = client.watch("instances/", revision, TIMEOUT).await.unwrap();
    assert_eq!(answer.events.len(), 1);
    assert_eq!(answer.events[0].value, None);

    let revoked = client.grant_lease(Duration::from_secs(60)).await.unwrap();
    request.lease = Some(revoked.clone());
    client.compare_and_swap(&request).await.unwrap();
    client.revoke_lease(&revoked).await.unwrap();
    assert_eq!(client.get("instances/a").await, Ok(None));
}

/// Guards against a watch that misses a change between two calls or reports keys of other prefixes.
#[tokio::test]
async fn watch_reports_each_change() {
    let (_store, client) = start_store(TIMEOUT);
    let watcher = client.clone();
    let waiting = tokio::spawn(async move { watcher.watch("bundle/", 0, TIMEOUT).await });
    client
        .compare_and_swap(&swap("other/key", 0, "x"))
        .await
        .unwrap();
    client
        .compare_and_swap(&swap("bundle/current", 0, "v1"))
        .await
        .unwrap();
    let answer = waiting.await.unwrap().unwrap();
    assert_eq!(answer.events.len(), 1);
    assert_eq!(answer.events[0].value.as_deref(), Some("v1"));
    client
        .compare_and_swap(&swap("bundle/current", answer.revision, "v2"))
        .await
        .unwrap();
    let next = client
        .watch("bundle/", answer.revision, TIMEOUT)
        .await
        .unwrap();
    assert_eq!(next.events[0].value.as_deref(), Some("v2"));
    let none = client
        .watch("bundle/", next.revision, Duration::from_millis(1))
        .await
        .unwrap();
    assert_eq!(none.events, []);
}

/// Guards against store calls that are missing from the call counters.
#[tokio::test]
async fn every_call_is_counted() {
    let (store, client) = start_store(TIMEOUT);
    let entry = InstanceEntry {
        id: "i1".to_owned(),
        address: "127.0.0.1:7432".to_owned(),
        zone: "lagos-a".to_owned(),
        state: InstanceState::Leaving,
    };
    store.set_instances(vec![entry.clone()]);
    assert_eq!(client.instances().await, Ok(vec![entry]));
    let lease = client.grant_lease(TIMEOUT).await.unwrap();
    client.renew_lease(&lease).await.unwrap();
    client.revoke_lease(&lease).await.unwrap();
    client.watch("", 0, Duration::ZERO).await.unwrap();
    lose_answers(&store, 1);
    client
        .compare_and_swap(&swap("a b?&%/ü", 0, "v"))
        .await
        .unwrap();
    assert!(store.get("a b?&%/ü").is_some());
    let received = store.calls();
    let counted = [
        (StoreCallKind::Get, received.get),
        (StoreCallKind::CompareAndSwap, received.cas),
        (StoreCallKind::Lease, received.lease),
        (StoreCallKind::Renew, received.renew),
        (StoreCallKind::Revoke, received.revoke),
        (StoreCallKind::Watch, received.watch),
        (StoreCallKind::Instances, received.instances),
    ];
    for (kind, count) in counted {
        assert_eq!((kind, client.calls().get(kind)), (kind, count));
        assert_eq!(count, 1, "{kind:?}");
    }
    assert_eq!(client.calls().total(), received.total());
}

/// An entry of another writer that is deeply nested, out of range or unreadable must not hide the
/// other entries of the instance list.
#[test]
fn odd_instances_are_skipped() {
    let good = r#"{"id":"i-1","address":"10.0.0.1:9432","zone":"zone-a","state":"live"}"#;
    let nested = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let odd = [
        nested.clone(),
        format!(r#"{{"id":{nested},"address":"10.0.0.2:9432","zone":"zone-a","state":"live"}}"#),
        format!(
            r#"{{"id":{},"address":1e999,"zone":"zone-a","state":"live"}}"#,
            "9".repeat(400)
        ),
        r#"{"id":"i-2","address":"10.0.0.2:9432","zone":"zone-a","state":"odd"}"#.to_owned(),
        "null".to_owned(),
    ];
    for odd in odd {
        let body = format!(r#"{{"instances":[{odd},{good}]}}"#);
        let entries = parse_instances(body.as_bytes()).expect("the list is read");
        let ids: Vec<&str> = entries.iter().map(|entry| entry.id.as_str()).collect();
        assert_eq!(ids, ["i-1"], "{}", &odd[..odd.len().min(80)]);
    }
    assert_eq!(parse_instances(b"[]"), Err(StoreError::BadAnswer));
}
