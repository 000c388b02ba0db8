//! Checks that of two concurrent submissions one wins and the other reports the winning version.

use std::sync::Arc;
use std::sync::Mutex;

use tamaracklb::process::bundle_submission::BundlePorts;
use tamaracklb::process::bundle_submission::BundleReadError;
use tamaracklb::process::bundle_submission::BundleWriteError;
use tamaracklb::process::bundle_submission::StoredEnvelope;
use tamaracklb::process::bundle_submission::SubmitError;
use tamaracklb::process::bundle_submission::SubmitOutcome;
use tamaracklb::process::bundle_submission::submit_bundle;
use tamaracklb::version::bundle_envelope::BundleEnvelope;
use tamaracklb::version::ids::BundleVersion;
use tamaracklb::version::ids::SignerId;
use tamaracklb::version::signer_key::SignerKey;
use tamaracklb::version::signer_key::SignerSecret;

use crate::bundle_faults::SAMPLE;

/// How the fake store handles one write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WriteFault {
    /// The write takes effect and its answer is lost.
    AnswerLost,
    /// The write does not take effect and gets no answer.
    RequestLost,
    /// Another operator's bundle with this version is written first.
    Overtaken { version: u64 },
    /// The write takes effect and the store then goes down.
    ThenDown,
}

#[derive(Default)]
struct FakeStore {
    current: Option<StoredEnvelope>,
    faults: Vec<WriteFault>,
    down: bool,
}

impl FakeStore {
    fn put(&mut self, text: String) -> u64 {
        let revision = self
            .current
            .as_ref()
            .map_or(1, |stored| stored.revision + 1);
        self.current = Some(StoredEnvelope { revision, text });
        revision
    }

    fn read(&self) -> Result<Option<StoredEnvelope>, BundleReadError> {
        match self.down {
            true => Err(BundleReadError {
                message: "down".to_owned(),
            }),
            false => Ok(self.current.clone()),
        }
    }

    fn write(&mut self, expected: u64, text: String) -> Result<u64, BundleWriteError> {
        let lost = Err(BundleWriteError::Unanswered {
            message: "timeout".to_owned(),
        });
        let fault = self.faults.pop();
        if let Some(WriteFault::Overtaken { version }) = fault {
            self.put(
                signed(version, "other")
                    .to_json()
                    .expect("the envelope is small"),
            );
        }
        if fault == Some(WriteFault::RequestLost) {
            return lost;
        }
        let revision = self.current.as_ref().map_or(0, |stored| stored.revision);
        if revision != expected {
            return Err(BundleWriteError::Conflict);
        }
        let revision = self.put(text);
        self.down = fault == Some(WriteFault::ThenDown);
        match fault {
            Some(WriteFault::AnswerLost | WriteFault::ThenDown) => lost,
            _ => Ok(revision),
        }
    }
}

fn signed(version: u64, comment: &str) -> BundleEnvelope {
    let text = SAMPLE.replacen("version: 1", &format!("version: {version} # {comment}"), 1);
    let id: SignerId = "ops".parse().expect("the id is valid");
    let mut envelope = BundleEnvelope::new(text);
    envelope.sign(id, &SignerSecret::from_seed([1; 32]));
    envelope
}

fn known_signers() -> Vec<SignerKey> {
    let id: SignerId = "ops".parse().expect("the id is valid");
    vec![SignerSecret::from_seed([1; 32]).public_key(id)]
}

fn create_ports(store: &Arc<Mutex<FakeStore>>) -> BundlePorts {
    let (reader, writer) = (Arc::clone(store), Arc::clone(store));
    BundlePorts {
        read: Box::new(move || {
            let answer = reader
                .lock()
                .expect("no holder of the lock panicked")
                .read();
            Box::pin(async move { answer })
        }),
        write: Box::new(move |expected, text| {
            let answer = writer
                .lock()
                .expect("no holder of the lock panicked")
                .write(expected, text);
            Box::pin(async move { answer })
        }),
    }
}

/// Submits to a store that contains version `current` and applies `faults`, the last one first.
fn submit(
    version: u64,
    current: Option<u64>,
    faults: &[WriteFault],
) -> (Result<SubmitOutcome, SubmitError>, Arc<Mutex<FakeStore>>) {
    let store = Arc::new(Mutex::new(FakeStore::default()));
    if let Some(version) = current {
        let text = signed(version, "present")
            .to_json()
            .expect("the envelope is small");
        store
            .lock()
            .expect("no holder of the lock panicked")
            .put(text);
    }
    store.lock().expect("no holder of the lock panicked").faults = faults.to_vec();
    let outcome = run_submit(&signed(version, "mine"), None, &store);
    (outcome, store)
}

fn run_submit(
    envelope: &BundleEnvelope,
    replace: Option<u64>,
    store: &Arc<Mutex<FakeStore>>,
) -> Result<SubmitOutcome, SubmitError> {
    let ports = create_ports(store);
    let signers = known_signers();
    let submission = submit_bundle(envelope, &signers, 1, replace, &ports);
    futures_util::FutureExt::now_or_never(submission).expect("the fake store answers at once")
}

fn accepted(version: u64) -> Result<SubmitOutcome, SubmitError> {
    Ok(SubmitOutcome::Accepted {
        version: BundleVersion(version),
    })
}

/// The first bundle and a higher one are accepted.
#[test]
fn plain_submissions() {
    assert_eq!(submit(1, None, &[]).0, accepted(1));
    assert_eq!(submit(5, Some(4), &[]).0, accepted(5));
    let (_, store) = submit(5, Some(4), &[]);
    let again = run_submit(&signed(5, "mine"), None, &store);
    let version = BundleVersion(5);
    assert_eq!(again, Ok(SubmitOutcome::Unchanged { version }));
}

/// A submission that loses a race or has too low a version reports the winner.
#[test]
fn losers_report_the_winner() {
    for (version, current, faults) in [
        (4, Some(5), vec![]),
        (5, Some(5), vec![]),
        (5, Some(4), vec![WriteFault::Overtaken { version: 5 }]),
        (5, None, vec![WriteFault::Overtaken { version: 5 }]),
    ] {
        let (outcome, store) = submit(version, current, &faults);
        let expected = SubmitError::Lost {
            offered: BundleVersion(version),
            winner: BundleVersion(5),
            signers: "ops".to_owned(),
        };
        assert_eq!(
            outcome,
            Err(expected),
            "{version} on {current:?} with {faults:?}"
        );
        let text = store
            .lock()
            .expect("no holder of the lock panicked")
            .current
            .clone();
        assert!(!text.expect("a bundle is current").text.contains("mine"));
    }
    let overtaken = [WriteFault::Overtaken { version: 5 }];
    assert_eq!(submit(6, Some(4), &overtaken).0, accepted(6));
}

/// A submission whose answer was lost is resolved by reading the store, or reported as unknown.
#[test]
fn lost_answers() {
    assert_eq!(submit(5, Some(4), &[WriteFault::AnswerLost]).0, accepted(5));
    assert_eq!(
        submit(5, Some(4), &[WriteFault::RequestLost]).0,
        accepted(5)
    );
    let (outcome, _) = submit(5, Some(4), &[WriteFault::RequestLost; 3]);
    assert!(
        matches!(outcome, Err(SubmitError::Unknown { .. })),
        "{outcome:?}"
    );
    let (outcome, _) = submit(5, Some(4), &[WriteFault::ThenDown]);
    assert!(
        matches!(outcome, Err(SubmitError::Unknown { .. })),
        "{outcome:?}"
    );
    let overtaken = [
        WriteFault::Overtaken { version: 6 },
        WriteFault::RequestLost,
    ];
    let (outcome, _) = submit(5, Some(4), &overtaken);
    assert!(
        matches!(outcome, Err(SubmitError::Lost { .. })),
        "{outcome:?}"
    );
}

/// A bundle that instances would refuse must not become current.
#[test]
fn refused_submissions() {
    let store = Arc::new(Mutex::new(FakeStore::default()));
    let mut unsigned = signed(5, "mine");
    unsigned.signatures.clear();
    let outcome = run_submit(&unsigned, None, &store);
    assert!(
        matches!(outcome, Err(SubmitError::Refused(_))),
        "{outcome:?}"
    );
    assert_eq!(
        store
            .lock()
            .expect("no holder of the lock panicked")
            .current,
        None
    );
}

/// An unreadable stored bundle blocks submissions until the operator names its revision.
#[test]
fn unreadable_current() {
    let store = Arc::new(Mutex::new(FakeStore::default()));
    store
        .lock()
        .expect("no holder of the lock panicked")
        .put("garbage".to_owned());
    let envelope = signed(5, "mine");
    let outcome = run_submit(&envelope, None, &store);
    assert_eq!(outcome, Err(SubmitError::UnreadableCurrent { revision: 1 }));
    let outcome = run_submit(&envelope, Some(7), &store);
    assert_eq!(outcome, Err(SubmitError::UnreadableCurrent { revision: 1 }));
    assert_eq!(run_submit(&envelope, Some(1), &store), accepted(5));
    let lower = run_submit(&signed(4, "mine"), Some(2), &store);
    assert!(matches!(lower, Err(SubmitError::Lost { .. })), "{lower:?}");
}
