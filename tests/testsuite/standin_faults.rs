//! Checks that each fault of the stand-in endpoint has its documented effect, since tests with
//! faults are meaningless otherwise, and that fences and promotions follow the design page exactly.

use std::time::Duration;

use standins::endpoint::EndpointConfig;
use standins::endpoint::EndpointFaults;
use standins::endpoint::EndpointHandle;
use tokio_postgres::Client;

use crate::support::group::connect;
use crate::support::group::connect_with_driver;
use crate::support::group::eventually;
use crate::support::group::read;
use crate::support::group::sqlstate;
use crate::support::group::start_group;
use crate::support::group::try_connect;
use crate::support::group::wait_for_replicas;
use crate::support::group::write;

const SILENCE_TIME: Duration = Duration::from_millis(150);

/// Calls a platform function and returns its role, term, position, fenced term and proposer.
async fn platform(client: &Client, call: &str) -> (String, i64, i64, i64, String) {
    let query = format!("SELECT * FROM platform_{call}");
    let row = client.query_one(&query, &[]).await.unwrap();
    (row.get(0), row.get(1), row.get(2), row.get(4), row.get(5))
}

async fn promote(endpoint: &EndpointHandle, term: u64, proposer: &str) {
    let client = connect(endpoint).await;
    platform(&client, &format!("fence({term}, '{proposer}')")).await;
    platform(&client, &format!("promote({term}, '{proposer}')")).await;
    let report = endpoint.report();
    assert_eq!((report.role.as_str(), report.term), ("primary", term));
}

async fn is_silent(client: &Client) -> bool {
    tokio::time::timeout(SILENCE_TIME, client.simple_query("SELECT 1"))
        .await
        .is_err()
}

/// Guards against an endpoint that accepts fences of two proposers for the same term.
#[tokio::test]
async fn fence_accepts_one_proposer_per_term() {
    let group = start_group(1, EndpointConfig::default());
    let client = connect(&group[0]).await;
    let fenced = |answer: (String, i64, i64, i64, String)| (answer.3, answer.4);
    let accepted = (5, "p".to_owned());
    assert_eq!(fenced(platform(&client, "fence(5, 'p')").await), accepted);
    assert_eq!(fenced(platform(&client, "fence(5, 'p')").await), accepted);
    assert_eq!(fenced(platform(&client, "fence(5, 'q')").await), accepted);
    assert_eq!(fenced(platform(&client, "fence(4, 'q')").await), accepted);
    let next = (6, "q".to_owned());
    assert_eq!(fenced(platform(&client, "fence(6, 'q')").await), next);
}

/// Guards against a promotion by a proposer whose fence was superseded, and against a repeated
/// promotion that starts the term twice.
#[tokio::test]
async fn promotion_needs_its_own_fence() {
    let group = start_group(1, EndpointConfig::default());
    let client = connect(&group[0]).await;
    platform(&client, "fence(5, 'p')").await;
    for call in ["promote(4, 'p')", "promote(6, 'p')", "promote(5, 'q')"] {
        let answer = platform(&client, call).await;
        assert_eq!((answer.0.as_str(), answer.1), ("replica", 1), "{call}");
    }
    let first = platform(&client, "promote(5, 'p')").await;
    assert_eq!((first.0.as_str(), first.1, first.2), ("primary", 5, 2));
    assert_eq!(platform(&client, "promote(5, 'p')").await, first);
}

/// Guards against a fenced primary that still accepts writes, including the commit of a transaction
/// that began before the fence.
#[tokio::test]
async fn fenced_primary_accepts_no_writes() {
    let group = start_group(1, EndpointConfig::default());
    let mut client = connect(&group[0]).await;
    let control = connect(&group[0]).await;
    let transaction = client.transaction().await.unwrap();
    transaction
        .execute("INSERT INTO kv VALUES ('a', '1')", &[])
        .await
        .unwrap();
    platform(&control, "fence(2, 'p')").await;
    let error = transaction.commit().await.unwrap_err();
    assert_eq!(sqlstate(&error), "25006");
    let error = write(&client, "b", "1").await.unwrap_err();
    assert_eq!(sqlstate(&error), "25006");
    assert_eq!(read(&client, "a").await, None);
    assert!(group[0].executed().is_empty());
}

/// Guards against a replica that retains entries of a partitioned primary, or that reports a term
/// before it has the entry that starts the term.
#[tokio::test]
async fn diverging_entries_are_removed() {
    let group = start_group(3, EndpointConfig::default());
    let old = connect(&group[0]).await;
    write(&old, "a", "kept").await.unwrap();
    wait_for_replicas(&group, 2).await;
    group[0].set_faults(EndpointFaults {
        cut_to_peers: true,
        cut_from_peers: true,
        ..EndpointFaults::default()
    });
    write(&old, "a", "lost").await.unwrap();
    write(&old, "b", "lost").await.unwrap();
    assert_eq!(group[0].report().position, 4);
    promote(&group[1], 2, "p").await;
    let new = connect(&group[1]).await;
    write(&new, "c", "new").await.unwrap();
    eventually("the other replica follows", || {
        group[2].log() == group[1].log()
    })
    .await;
    let report = group[2].report();
    assert_eq!((report.term, report.start, report.position), (2, 3, 4));
    assert_eq!(group[0].report().term, 1);

    group[0].set_faults(EndpointFaults::default());
    eventually("the old primary follows", || {
        group[0].log() == group[1].log()
    })
    .await;
    assert_eq!(group[0].report().role, "replica");
    assert_eq!(read(&old, "a").await.as_deref(), Some("kept"));
    assert_eq!(read(&old, "b").await, None);
    assert_eq!(group[0].executed().len(), 3);
}

/// Guards against a fenced replica that still follows the primary of a lower term.
#[tokio::test]
async fn fenced_replica_accepts_no_entries() {
    let group = start_group(2, EndpointConfig::default());
    wait_for_replicas(&group, 1).await;
    let control = connect(&group[1]).await;
    platform(&control, "fence(2, 'p')").await;
    let client = connect(&group[0]).await;
    write(&client, "a", "1").await.unwrap();
    eventually("the replica reports upstream silence", || {
        group[1].report().upstream_silence_ms >= Some(200)
    })
    .await;
    assert_eq!(group[1].report().position, 1);
}

/// Guards against a cut that lets traffic through, drops it instead of delaying it, or also blocks
/// the other direction.
#[tokio::test]
async fn cut_delays_one_direction() {
    let group = start_group(2, EndpointConfig::default());
    wait_for_replicas(&group, 1).await;
    let client = connect(&group[0]).await;
    group[0].set_faults(EndpointFaults {
        cut_to_clients: true,
        ..EndpointFaults::default()
    });
    let pending = tokio::spawn(async move {
        client
            .batch_execute("INSERT INTO kv VALUES ('a', '1')")
            .await
    });
    wait_for_replicas(&group, 2).await;
    assert!(!pending.is_finished());
    group[0].set_faults(EndpointFaults::default());
    pending.await.unwrap().unwrap();

    let client = connect(&group[0]).await;
    group[0].set_faults(EndpointFaults {
        cut_from_clients: true,
        ..EndpointFaults::default()
    });
    assert!(is_silent(&client).await);
    group[0].set_faults(EndpointFaults {
        cut_to_peers: true,
        ..EndpointFaults::default()
    });
    write(&client, "b", "1").await.unwrap();
    eventually("the replica reports upstream silence", || {
        group[1].report().upstream_silence_ms >= Some(200)
    })
    .await;
    assert_eq!(group[1].report().position, 2);
    group[0].set_faults(EndpointFaults::default());
    wait_for_replicas(&group, 3).await;
}

/// Guards against a frozen endpoint that still answers on existing or new connections.
#[tokio::test]
async fn freeze_stops_everything() {
    let group = start_group(1, EndpointConfig::default());
    let client = connect(&group[0]).await;
    group[0].set_faults(EndpointFaults {
        freeze: true,
        ..EndpointFaults::default()
    });
    assert!(is_silent(&client).await);
    let connecting = tokio::time::timeout(SILENCE_TIME, try_connect(&group[0]));
    assert!(connecting.await.is_err());
    group[0].set_faults(EndpointFaults::default());
    client.simple_query("SELECT 1").await.unwrap();
}

/// Guards against silenced connections that recover, and against silence on new connections.
#[tokio::test]
async fn only_existing_connections_go_silent() {
    let group = start_group(1, EndpointConfig::default());
    let (old, driver) = connect_with_driver(&group[0]).await.unwrap();
    group[0].set_faults(EndpointFaults {
        silence_existing: true,
        ..EndpointFaults::default()
    });
    assert!(is_silent(&old).await);
    let new = connect(&group[0]).await;
    new.simple_query("SELECT 1").await.unwrap();
    group[0].set_faults(EndpointFaults::default());
    assert!(is_silent(&old).await);
    driver.abort();
    eventually("the silent connection is released", || {
        group[0].counters().connections == 1
    })
    .await;
}

/// Guards against a refusal of connections that closes existing ones or cannot be switched off.
#[tokio::test]
async fn refused_connections_keep_existing_ones() {
    let group = start_group(1, EndpointConfig::default());
    let old = connect(&group[0]).await;
    group[0].set_faults(EndpointFaults {
        refuse_connections: true,
        ..EndpointFaults::default()
    });
    let address = group[0].address();
    let mut refused = false;
    for _ in 0..100 {
        refused = tokio::net::TcpStream::connect(address).await.is_err();
        if refused {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert!(refused);
    old.simple_query("SELECT 1").await.unwrap();
    group[0].set_faults(EndpointFaults::default());
    for _ in 0..100 {
        if try_connect(&group[0]).await.is_ok() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the endpoint still refuses connections");
}

/// Guards against a lost answer whose write is lost too, and against more lost answers than set.
#[tokio::test]
async fn lost_answer_does_not_undo_the_write() {
    let group = start_group(1, EndpointConfig::default());
    let client = connect(&group[0]).await;
    group[0].set_faults(EndpointFaults {
        lose_answers: 1,
        ..EndpointFaults::default()
    });
    assert!(write(&client, "a", "1").await.is_err());
    let client = connect(&group[0]).await;
    assert_eq!(read(&client, "a").await.as_deref(), Some("1"));
    write(&client, "b", "1").await.unwrap();
    let texts: Vec<_> = group[0]
        .executed()
        .iter()
        .map(|write| write.statements[0].parameters[0].clone())
        .collect();
    assert_eq!(texts, [Some("a".to_owned()), Some("b".to_owned())]);
}

/// Guards against a lag that does not delay entries or that counts as silence of the primary.
#[tokio::test]
async fn lag_delays_entries() {
    let group = start_group(2, EndpointConfig::default());
    wait_for_replicas(&group, 1).await;
    group[1].set_faults(EndpointFaults {
        lag_ms: 60_000,
        ..EndpointFaults::default()
    });
    // A pull that was already waiting when the lag was set still uses the old lag.
    tokio::time::sleep(Duration::from_millis(200)).await;
    let client = connect(&group[0]).await;
    write(&client, "a", "1").await.unwrap();
    tokio::time::sleep(Duration::from_millis(200)).await;
    let report = group[1].report();
    assert_eq!(report.position, 1);
    assert!(report.upstream_silence_ms < Some(5000));
    group[1].set_faults(EndpointFaults::default());
    wait_for_replicas(&group, 2).await;
}

/// Guards against a slow endpoint that answers status queries at once or refuses connections.
#[tokio::test]
async fn slow_endpoint_delays_each_statement() {
    let group = start_group(1, EndpointConfig::default());
    let client = connect(&group[0]).await;
    group[0].set_faults(EndpointFaults {
        slow_ms: 60_000,
        ..EndpointFaults::default()
    });
    assert!(is_silent(&client).await);
    let status = connect(&group[0]).await;
    let query = status.simple_query("SELECT * FROM platform_status()");
    assert!(tokio::time::timeout(SILENCE_TIME, query).await.is_err());
    group[0].set_faults(EndpointFaults::default());
    let client = connect(&group[0]).await;
    client.simple_query("SELECT 1").await.unwrap();
}

/// Guards against limits that are not enforced and cancel requests that do not stop the statement.
#[tokio::test]
async fn limits_and_cancel_work() {
    let config = EndpointConfig {
        slots: 2,
        connections: 4,
        statement_ms: 20,
        ..EndpointConfig::default()
    };
    let group = start_group(1, config);
    let mut clients = Vec::new();
    for _ in 0..4 {
        clients.push(connect(&group[0]).await);
    }
    let error = try_connect(&group[0]).await.unwrap_err();
    assert_eq!(sqlstate(&error), "53300");
    let queries = clients.iter().map(|client| client.simple_query("SELECT 1"));
    for result in futures_util::future::join_all(queries).await {
        result.unwrap();
    }
    let counters = group[0].counters();
    assert_eq!((counters.peak_running, counters.statements), (2, 4));

    let token = clients[0].cancel_token();
    let sleeping = clients[0].simple_query("SELECT pg_sleep(60)");
    let cancelling = async {
        for _ in 0..100 {
            if group[0].counters().running == 1 {
                break;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        token.cancel_query(tokio_postgres::NoTls).await.unwrap();
    };
    let (result, ()) = futures_util::future::join(sleeping, cancelling).await;
    assert_eq!(sqlstate(&result.unwrap_err()), "57014");
    clients[0].simple_query("SELECT 1").await.unwrap();
}

/// Guards against credentials that are not recorded. Other tests search the record for callers'
/// keys.
#[tokio::test]
async fn received_credentials_are_recorded() {
    let group = start_group(1, EndpointConfig::default());
    let address = group[0].address();
    let error = tokio_postgres::Config::new()
        .host(address.ip().to_string())
        .port(address.port())
        .user("team")
        .password("a-callers-key")
        .connect(tokio_postgres::NoTls)
        .await
        .err()
        .unwrap();
    assert_eq!(sqlstate(&error), "28P01");
    let received = group[0].received_credentials();
    assert_eq!(received[0].user, "team");
    assert_eq!(received[0].password, "a-callers-key");
}

/// Guards against a COPY that loses or changes rows.
#[tokio::test]
async fn copy_round_trip() {
    use futures_util::SinkExt;
    use futures_util::TryStreamExt;

    let group = start_group(1, EndpointConfig::default());
    let client = connect(&group[0]).await;
    let text = b"a\tone\nb\ttab\\tand\\\\slash\n";
    let sink = client.copy_in("COPY kv FROM STDIN").await.unwrap();
    futures_util::pin_mut!(sink);
    sink.send(bytes::Bytes::from_static(text)).await.unwrap();
    assert_eq!(sink.finish().await.unwrap(), 2);
    assert_eq!(read(&client, "b").await.as_deref(), Some("tab\tand\\slash"));
    let out = client.copy_out("COPY kv TO STDOUT").await.unwrap();
    let parts: Vec<bytes::Bytes> = out.try_collect().await.unwrap();
    assert_eq!(parts.concat(), text);
}
