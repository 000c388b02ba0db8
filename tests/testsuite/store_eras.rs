//! Guards against answers of the store that are taken for a continuation of an earlier era.

use std::time::Duration;

use platform::call_counts::CallCounts;
use platform::store_client::ReadFreshness;
use platform::store_client::StoreChange;
use platform::store_client::StoreClient;
use platform::store_error::StoreError;
use session_core::store_era::StoreEra;
use session_core::store_revision::StoreRevision;
use standins::platform::platform_handle::FIRST_ERAS;
use standins::platform::platform_handle::PlatformHandle;
use tokio::task::LocalSet;

/// Maximum time of a call.
const TIME: Duration = Duration::from_secs(2);

const KEY: &str = "tamaracklb/leader";

fn revision(era: u64, number: u64) -> StoreRevision {
    let era = StoreEra::new(era).expect("the era is valid");
    StoreRevision::new(era, number).expect("the number is valid")
}

/// Starts a store in which `KEY` had a revision that it has again, as a different change, in the next
/// era. Returns that revision of the first era.
async fn repeated_revision(platform: &PlatformHandle, client: &StoreClient) -> StoreRevision {
    let copy = platform.copy_store();
    platform.shared.store().put(KEY, b"first".to_vec(), 0);
    let read = client.range(KEY, ReadFreshness::Current, TIME).await;
    let known = read.expect("an answer").items[0].revision;
    let mut store = platform.shared.store();
    copy.restore(&mut store, false);
    store.put(KEY, b"second".to_vec(), 0);
    assert_eq!(store.revision, known.number());
    known
}

/// Runs a test with a store that begins in each of the first eras.
async fn run(test: impl AsyncFn(PlatformHandle, StoreClient)) {
    for era in FIRST_ERAS {
        let platform = PlatformHandle::start_in_era("orders", era).await;
        let platform = platform.expect("a stand-in");
        let client = StoreClient::new(platform.address, CallCounts::default());
        LocalSet::new().run_until(test(platform, client)).await;
    }
}

/// A revision of a later era is newer, whatever its number, also as the one number on the wire.
#[test]
fn later_era_is_newer() {
    let ordered = [
        revision(0, 9),
        revision(1, 2),
        revision(1, 3),
        revision(2, 1),
    ];
    assert!(ordered.is_sorted());
    let packed: Vec<u64> = ordered.iter().map(|r| u64::from(*r)).collect();
    assert!(packed.is_sorted(), "{packed:?}");
    for (revision, packed) in ordered.into_iter().zip(packed) {
        assert_eq!(StoreRevision::from(packed), revision);
        assert_eq!(revision.to_string().parse(), Ok(revision));
    }
    // Versions before eras wrote the number alone.
    assert_eq!(u64::from(revision(0, 9)), 9);
}

/// Numbers that do not fit and texts that are no revision are refused.
#[test]
fn bad_revisions_are_refused() {
    assert_eq!(StoreEra::new(1 << 24), None);
    assert_eq!(StoreRevision::new(StoreEra::MAX, 1 << 40), None);
    for text in ["", "7", "-1", "x", "16777216", "1 "] {
        let era = text.parse::<StoreEra>();
        assert!(era.is_err() || text == "7", "{text:?}: {era:?}");
        assert!(text.parse::<StoreRevision>().is_err(), "{text:?}");
    }
}

/// A watch whose revision the store has passed again returns the changes after that number, but not
/// those that it missed. It must fail, so that the whole view is read.
#[tokio::test]
async fn watch_does_not_span_eras() {
    run(async |platform, client| {
        let known = repeated_revision(&platform, &client).await;
        platform.shared.store().put(KEY, b"third".to_vec(), 0);
        for _ in 0..2 {
            let watched = client.watch("", known, Duration::ZERO, TIME).await;
            assert_eq!(watched, Err(StoreError::HistoryDropped));
        }
        let next = StoreEra::new(known.era().as_u64() + 1);
        assert_eq!(Some(client.era().era), next);
    })
    .await;
}

/// A change whose condition names a revision that was given out again must not count as done on that
/// condition, whether or not the client knows of the era.
#[tokio::test]
async fn condition_does_not_span_eras() {
    run(async |platform, client| {
        let known = repeated_revision(&platform, &client).await;
        for _ in 0..2 {
            let change = StoreChange {
                conditions: vec![(KEY.to_owned(), known)],
                puts: vec![(KEY.to_owned(), b"third".to_vec(), None)],
                removals: Vec::new(),
            };
            assert_eq!(client.change(change, TIME).await, Err(StoreError::EraEnded));
        }
    })
    .await;
}
