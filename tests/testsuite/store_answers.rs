//! Guards against answers of the platform that are taken for the answers to other calls: a server may
//! send an answer twice, the second time late.

use std::fmt::Debug;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use platform::call_counts::CallCounts;
use platform::promotion_client::PromotionClient;
use platform::promotion_client::PromotionOrder;
use platform::store_client;
use platform::store_client::LeaseId;
use platform::store_client::ReadFreshness;
use platform::store_client::StoreChange;
use platform::store_client::StoreItem;
use platform::store_client::StoreView;
use platform::store_error;
use store_wire::CasRequest;
use tamaracklb::process::store_client::StoreClient;
use tamaracklb::process::store_client::SwapOutcome;
use tamaracklb::process::store_error::StoreError;
use tokio::sync::oneshot;
use tokio::task::LocalSet;

use crate::support::copying_server::ANSWER_TIME;
use crate::support::copying_server::CopyTime;
use crate::support::copying_server::CopyingServer;
use crate::support::copying_server::ScriptedAnswers;

/// Maximum time of a call.
const TIME: Duration = Duration::from_secs(2);

/// Time between two calls, longer than the time of a late copy.
const GAP_TIME: Duration = Duration::from_millis(60);

/// What happens between two calls.
#[derive(Debug, Clone, Copy)]
enum CallGap {
    /// Nothing.
    None,
    /// The thread of the client waits.
    Idle,
    /// The thread of the client is busy, so that it reads nothing meanwhile.
    Busy,
}

/// Runs calls with copies before the last call, during it, and at its start. The outcome of the last
/// call must be its own answer.
async fn with_copies<T: Debug + PartialEq>(
    answers: &ScriptedAnswers,
    expected: T,
    mut calls: impl AsyncFnMut(SocketAddr, CallGap) -> T,
) {
    let copy_times = [
        CopyTime::AtOnce,
        CopyTime::After(ANSWER_TIME / 2),
        CopyTime::WithNextRequest,
    ];
    let mut crossed = Vec::new();
    for copy_time in copy_times {
        for gap in [CallGap::None, CallGap::Idle, CallGap::Busy] {
            let server = CopyingServer::start(copy_time, answers.clone());
            let outcome = calls(server.address(), gap).await;
            if outcome != expected {
                crossed.push((copy_time, gap, outcome));
            }
        }
    }
    assert!(crossed.is_empty(), "crossed answers: {crossed:#?}");
}

async fn pause(gap: CallGap) {
    match gap {
        CallGap::None => {}
        CallGap::Idle => tokio::time::sleep(GAP_TIME).await,
        CallGap::Busy => thread::sleep(GAP_TIME),
    }
}

fn platform_client(address: SocketAddr) -> store_client::StoreClient {
    store_client::StoreClient::new(address, CallCounts::default())
}

fn change(revision: u64) -> StoreChange {
    StoreChange {
        conditions: vec![("duty".to_owned(), revision.into())],
        puts: vec![("duty".to_owned(), b"holder".to_vec(), None)],
        removals: Vec::new(),
    }
}

/// A copied success of a transaction that is taken for the success of a refused one makes two
/// instances act as the holder of one duty.
#[tokio::test]
async fn copied_change_grants_nothing() {
    let answers = vec![(200, r#"{"Revision":7}"#), (412, r#"{"items":[]}"#)];
    let refused = Err(store_error::StoreError::Conflict(Vec::new()));
    let test = with_copies(&answers, refused, async |address, gap| {
        let client = platform_client(address);
        assert_eq!(client.change(change(0), TIME).await, Ok(7.into()));
        pause(gap).await;
        client.change(change(7), TIME).await
    });
    LocalSet::new().run_until(test).await;
}

/// A copied answer to a renewal that is taken for that of the next one lets an instance use a lease
/// that has ended.
#[tokio::test]
async fn copied_renewal_prolongs_nothing() {
    let answers = vec![(200, r#"{"TtlMs":1000}"#), (404, "{}")];
    let ended = Err(store_error::StoreError::NotFound);
    let test = with_copies(&answers, ended, async |address, gap| {
        let client = platform_client(address);
        assert_eq!(client.renew_lease(LeaseId(3), TIME).await, Ok(()));
        pause(gap).await;
        client.renew_lease(LeaseId(3), TIME).await
    });
    LocalSet::new().run_until(test).await;
}

/// A copied answer to a grant gives a second key the lease of the first one.
#[tokio::test]
async fn copied_grant_gives_no_lease() {
    let answers = vec![(200, r#"{"Lease":3}"#), (200, r#"{"Lease":4}"#)];
    let test = with_copies(&answers, Ok(LeaseId(4)), async |address, gap| {
        let client = platform_client(address);
        assert_eq!(client.grant_lease(TIME, TIME).await, Ok(LeaseId(3)));
        pause(gap).await;
        client.grant_lease(TIME, TIME).await
    });
    LocalSet::new().run_until(test).await;
}

/// A copied answer to a watch that is taken for that of the next one shows that nothing changed, for a
/// time in which something did.
#[tokio::test]
async fn copied_watch_hides_nothing() {
    let answers = vec![
        (200, r#"{"events":[],"StoreRevision":5}"#),
        (
            200,
            r#"{"events":[{"Key":"op/config","Revision":6,"Deleted":true}],"StoreRevision":6}"#,
        ),
    ];
    let removed = StoreItem {
        key: "op/config".to_owned(),
        value: None,
        revision: 6.into(),
    };
    let changed = Ok(StoreView {
        items: vec![removed],
        revision: 6.into(),
    });
    let test = with_copies(&answers, changed, async |address, gap| {
        let client = platform_client(address);
        let first = client
            .watch("", 5.into(), TIME, TIME)
            .await
            .expect("an answer");
        assert_eq!((first.items.len(), first.revision), (0, 5.into()));
        pause(gap).await;
        client.watch("", 5.into(), TIME, TIME).await
    });
    LocalSet::new().run_until(test).await;
}

/// A copied page of a read that is taken for the next page ends the read or repeats items.
#[tokio::test]
async fn copied_page_hides_nothing() {
    let answers = vec![
        (
            200,
            r#"{"items":[{"Key":"a","Revision":1}],"HasMore":true,"StoreRevision":5}"#,
        ),
        (
            200,
            r#"{"items":[{"Key":"b","Revision":2}],"HasMore":false,"StoreRevision":5}"#,
        ),
        (200, r#"{"items":[],"HasMore":false,"StoreRevision":5}"#),
    ];
    let keys = vec!["a".to_owned(), "b".to_owned()];
    let test = with_copies(&answers, keys, async |address, _| {
        let client = platform_client(address);
        let view = client.range("", ReadFreshness::Current, TIME).await;
        let items = view.expect("an answer").items;
        items.into_iter().map(|item| item.key).collect()
    });
    LocalSet::new().run_until(test).await;
}

/// A copied acceptance of a promotion that is taken for that of a refused one makes the leader wait
/// for an endpoint that never leads, or opens an order for it.
#[tokio::test]
async fn copied_promotion_orders_nothing() {
    let answers = vec![(200, "{}"), (409, "{}")];
    let refused = Err(store_error::StoreError::Refused(409));
    let test = with_copies(&answers, refused, async |address, gap| {
        let client = PromotionClient::new(address, CallCounts::default());
        let service = "orders".parse().expect("a service");
        let leader = "front-1".parse().expect("an instance");
        let first = "db-1".parse().expect("an endpoint");
        let second = "db-2".parse().expect("an endpoint");
        let order = |endpoint| PromotionOrder {
            service: &service,
            endpoint,
            leader: &leader,
            token: 7.into(),
        };
        let accepted = client.promote(order(&first), TIME, || TIME).await;
        assert_eq!(accepted, Ok(()));
        pause(gap).await;
        client.promote(order(&second), TIME, || TIME).await
    });
    LocalSet::new().run_until(test).await;
}

/// A copied success of a write by the PostgreSQL daemon, taken for that of a refused one, loses the
/// value of another writer.
#[tokio::test]
async fn copied_swap_writes_nothing() {
    let answers = vec![(200, r#"{"revision":7}"#), (409, r#"{"revision":9}"#)];
    let refused = Ok(SwapOutcome::Conflict { revision: 9 });
    let test = with_copies(&answers, refused, async |address, gap| {
        let client = StoreClient::start(address, TIME).expect("a client");
        let request = CasRequest {
            key: "shares/1".to_owned(),
            expected_revision: 7,
            value: "mine".to_owned(),
            lease: None,
        };
        let written = client.compare_and_swap(&request).await;
        assert_eq!(written, Ok(SwapOutcome::Written { revision: 7 }));
        pause(gap).await;
        client.compare_and_swap(&request).await
    });
    test.await;
}

/// A copied answer to a renewal by the PostgreSQL daemon lets it use a lease that has ended.
#[tokio::test]
async fn copied_renew_prolongs_nothing() {
    let answers = vec![(200, "{}"), (404, "{}")];
    let ended = Err(StoreError::LeaseNotFound);
    let test = with_copies(&answers, ended, async |address, gap| {
        let client = StoreClient::start(address, TIME).expect("a client");
        assert_eq!(client.renew_lease("3").await, Ok(()));
        pause(gap).await;
        client.renew_lease("3").await
    });
    test.await;
}

/// A call that is given up while its request is written must not leave a part of it in front of the
/// next request.
#[tokio::test]
async fn cut_request_stays_alone() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bind a port");
    let address = listener.local_addr().expect("a bound address");
    let (sender, begun) = oneshot::channel();
    let server = thread::spawn(move || {
        let (mut cut, _) = listener.accept().expect("accept the first call");
        let mut bytes = [0; 4_096];
        let read = cut.read(&mut bytes).expect("read the first call");
        assert!(bytes[..read].starts_with(b"POST /kv-txn "));
        sender.send(()).expect("the call is under way");
        let (mut stream, _) = listener.accept().expect("accept the second call");
        let read = stream.read(&mut bytes).expect("read the second call");
        assert!(bytes[..read].starts_with(b"POST /kv-keep/3 "));
        let answer = b"HTTP/1.1 200 -\r\ncontent-length: 2\r\n\r\n{}";
        stream.write_all(answer).expect("answer the second call");
        let mut rest = Vec::new();
        // The connection of the call that was given up may be reset.
        cut.read_to_end(&mut rest).ok();
        assert!(!rest.windows(5).any(|part| part == b"POST "));
    });
    let calls = async {
        let client = platform_client(address);
        let mut large = change(0);
        large.puts[0].1 = vec![0; 16 * 1024 * 1024];
        tokio::select! {
            answer = client.change(large, TIME) => panic!("{answer:?}"),
            begun = begun => begun.expect("the call has begun"),
        }
        assert_eq!(client.renew_lease(LeaseId(3), TIME).await, Ok(()));
    };
    LocalSet::new().run_until(calls).await;
    server.join().expect("no part of another request");
}
