//! Checks that the bundle in force never reverts and is never replaced by a faulty one.

use std::sync::Arc;

use tamaracklb::version::bundle_envelope::BundleEnvelope;
use tamaracklb::version::bundle_store::BundleRefusal;
use tamaracklb::version::bundle_store::BundleStore;
use tamaracklb::version::bundle_store::OfferOutcome;
use tamaracklb::version::ids::BundleVersion;
use tamaracklb::version::ids::SignerId;
use tamaracklb::version::signer_key::SignerSecret;

use crate::bundle_faults::SAMPLE;

fn sample_text(version: u64) -> String {
    SAMPLE.replacen("version: 1", &format!("version: {version}"), 1)
}

fn sign(text: String, seed: u8) -> BundleEnvelope {
    let id: SignerId = "ops".parse().expect("the id is valid");
    let mut envelope = BundleEnvelope::new(text);
    envelope.sign(id, &SignerSecret::from_seed([seed; 32]));
    envelope
}

fn new_store() -> BundleStore {
    let id: SignerId = "ops".parse().expect("the id is valid");
    BundleStore::new(vec![SignerSecret::from_seed([1; 32]).public_key(id)], 1)
}

/// A lower or faulty bundle must neither replace the one in force nor notify subscribers.
#[test]
fn only_higher_versions() {
    let store = new_store();
    let mut receiver = store.subscribe();
    assert_eq!(store.version(), BundleVersion(0));
    let version = BundleVersion(5);
    let offer = store.offer(sign(sample_text(5), 1));
    assert_eq!(offer, Ok(OfferOutcome::Accepted { version }));
    assert!(receiver.has_changed().expect("the store is not dropped"));
    receiver.mark_unchanged();

    let same = store.offer(sign(sample_text(5), 1));
    assert_eq!(same, Ok(OfferOutcome::Unchanged { version }));
    let lower = store.offer(sign(sample_text(4), 1));
    assert!(matches!(lower, Err(BundleRefusal::Superseded { .. })));
    let conflict = store.offer(sign(format!("# other\n{}", sample_text(5)), 1));
    assert_eq!(conflict, Err(BundleRefusal::Conflict { version }));
    let faulty = store.offer(sign(sample_text(6).replace("rate: 50", "rate: 0"), 1));
    assert!(matches!(faulty, Err(BundleRefusal::Faults(_))));
    let unsigned = store.offer(sign(sample_text(7), 2));
    assert!(matches!(unsigned, Err(BundleRefusal::Envelope(_))));

    assert_eq!(
        store.refusals(),
        3,
        "a conflict, a fault and a missing signature"
    );
    assert_eq!(store.version(), version);
    assert!(!receiver.has_changed().expect("the store is not dropped"));
}

/// Concurrent offers must end with the highest version.
#[test]
fn racing_offers() {
    let store = Arc::new(new_store());
    let threads: Vec<_> = (0..4)
        .map(|thread| {
            let store = Arc::clone(&store);
            std::thread::spawn(move || {
                for step in 0..10 {
                    let before = store.version();
                    let _ = store.offer(sign(sample_text(1 + step * 4 + thread), 1));
                    assert!(store.version() >= before);
                }
            })
        })
        .collect();
    for thread in threads {
        thread.join().expect("the version never decreases");
    }
    assert_eq!(store.version(), BundleVersion(40));
}
