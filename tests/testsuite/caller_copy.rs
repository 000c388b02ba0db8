//! Tests COPY in both directions and callers that read their answers slowly or not at all.

use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use futures_util::TryStreamExt;
use tamaracklb::connection::wire_frame::WireFrame;

use crate::caller_fixture::CallerFixture;
use crate::raw_caller::RawCaller;

/// COPY FROM STDIN must forward all rows, be confirmed once and leave the session usable.
#[tokio::test]
async fn copy_in_passes_all_rows() {
    let fixture = CallerFixture::start().await;
    let client = fixture.connect().await;
    for round in 1..=2 {
        let sink = client.copy_in("COPY t FROM STDIN").await.expect("copy");
        let mut sink = std::pin::pin!(sink);
        for _ in 0..100 {
            let rows = Bytes::from(vec![b'x'; 10_000]);
            sink.send(rows).await.expect("rows");
        }
        sink.finish().await.expect("finish");
        assert_eq!(
            fixture.primary.copied.load(Ordering::SeqCst),
            round * 1_000_000
        );
    }
    assert_eq!(fixture.state.confirmed.lock().expect("lock").len(), 2);
    assert_eq!(fixture.state.held_permits.load(Ordering::SeqCst), 0);
}

/// A copy that the caller aborts must not be confirmed and must leave the session usable.
#[tokio::test]
async fn abandoned_copy_in_commits_nothing() {
    let fixture = CallerFixture::start().await;
    let client = fixture.connect().await;
    {
        let sink: tokio_postgres::CopyInSink<Bytes> =
            client.copy_in("COPY t FROM STDIN").await.expect("copy");
        drop(sink);
    }
    client
        .batch_execute("SELECT 1")
        .await
        .expect("next request succeeds");
    assert!(fixture.state.confirmed.lock().expect("lock").is_empty());
}

/// COPY TO STDOUT must forward all rows.
#[tokio::test]
async fn copy_out_passes_all_rows() {
    let fixture = CallerFixture::start().await;
    let client = fixture.connect().await;
    let rows = client.copy_out("COPY t TO STDOUT").await.expect("copy");
    let rows: Vec<Bytes> = rows.try_collect().await.expect("rows");
    assert_eq!(rows.iter().map(Bytes::len).sum::<usize>(), 1_000_000);
}

/// A caller that reads slowly must get the complete answer, however large.
#[tokio::test]
async fn large_answer_is_complete() {
    let fixture = CallerFixture::start().await;
    let client = fixture.connect().await;
    let rows = client.query_raw("SELECT 'many rows'", &[] as &[&str]).await;
    let mut rows = std::pin::pin!(rows.expect("query"));
    let mut count = 0;
    while let Some(row) = rows.next().await {
        row.expect("row");
        count += 1;
        if count % 10_000 == 0 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    assert_eq!(count, 50_000);
}

/// A caller that never reads its answers must lose its slot at the transaction deadline.
#[tokio::test]
async fn caller_that_never_reads_loses_its_slot() {
    let fixture = CallerFixture::start_with(|config| {
        config.limits.transaction_timeout = Duration::from_millis(500);
    })
    .await;
    let mut raw = RawCaller::start(&fixture).await;
    raw.send_query("COPY t TO STDOUT").await;
    raw.send_query("SELECT 'many rows'; SELECT 'many rows'")
        .await;
    for _ in 0..8 {
        raw.send_query("SELECT 'many rows'; SELECT 'many rows'")
            .await;
    }
    let refused = async {
        loop {
            let records = fixture.state.records.lock().expect("lock").clone();
            if records.iter().any(|record| record.refusal.is_some()) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(20), refused)
        .await
        .expect("a request is refused");
    let released = async {
        while fixture.state.held_permits.load(Ordering::SeqCst) > 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(20), released)
        .await
        .expect("all permits are released");
}

/// Rows that arrive after a copy has failed must not count as further requests.
#[tokio::test]
async fn rows_after_a_failed_copy_are_ignored() {
    let fixture = CallerFixture::start().await;
    let mut raw = RawCaller::start(&fixture).await;
    raw.send_query("FAIL FROM STDIN").await;
    for kind in [b'd', b'd', b'c'] {
        raw.send(WireFrame::new(kind, b"").bytes()).await;
    }
    raw.send_query("SELECT 1").await;
    let mut kinds = Vec::new();
    while kinds.iter().filter(|&&kind| kind == b'Z').count() < 2 {
        kinds.push(raw.recv().await.expect("message").kind());
    }
    assert_eq!(kinds, b"EZTDCZ");
}
