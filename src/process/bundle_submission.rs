//! Submits a signed bundle to the store by compare-and-swap.

use std::fmt;

use futures_util::future::BoxFuture;

use crate::version::bundle_envelope::BundleEnvelope;
use crate::version::bundle_envelope::EnvelopeError;
use crate::version::bundle_parser::parse_bundle;
use crate::version::bundle_store::BundleRefusal;
use crate::version::bundle_store::check_envelope;
use crate::version::ids::BundleVersion;
use crate::version::signer_key::SignerKey;

/// The store key that holds the current envelope.
pub const BUNDLE_KEY: &str = "bundle/current";

/// Maximum number of attempts, as answers may be lost and other submissions may come first.
const MAX_ATTEMPTS: u32 = 3;

/// The stored envelope with the revision of its last write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredEnvelope {
    /// The revision.
    pub revision: u64,
    /// The JSON of the envelope.
    pub text: String,
}

/// Why a compare-and-swap failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BundleWriteError {
    /// The key was at another revision; nothing was changed.
    Conflict,
    /// The store refused the write or could not be reached; nothing was changed.
    NotApplied { message: String },
    /// No answer arrived; the write may have taken effect.
    Unanswered { message: String },
}

/// A failed read of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BundleReadError {
    /// The store client's error text.
    pub message: String,
}

type ReadPort = Box<
    dyn Fn() -> BoxFuture<'static, Result<Option<StoredEnvelope>, BundleReadError>> + Send + Sync,
>;
type WritePort =
    Box<dyn Fn(u64, String) -> BoxFuture<'static, Result<u64, BundleWriteError>> + Send + Sync>;

/// The store calls on [`BUNDLE_KEY`] that a submission uses.
pub struct BundlePorts {
    /// Reads the current envelope.
    pub read: ReadPort,
    /// Replaces the envelope at a revision and returns the new revision.
    ///
    /// Revision 0 means that the key has no value.
    pub write: WritePort,
}

/// The outcome of a successful submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The bundle is now current.
    Accepted { version: BundleVersion },
    /// The same bundle was current already.
    Unchanged { version: BundleVersion },
}

/// Why a submission failed or its outcome is unknown.
#[derive(Debug, Clone, PartialEq)]
pub enum SubmitError {
    /// The envelope fails the checks that every instance makes; nothing was sent.
    Refused(BundleRefusal),
    /// The envelope is too large; nothing was sent.
    Envelope(EnvelopeError),
    /// Another bundle is current and its version is not lower.
    Lost {
        offered: BundleVersion,
        winner: BundleVersion,
        signers: String,
    },
    /// The stored text is not an envelope with a valid bundle.
    UnreadableCurrent { revision: u64 },
    /// The store cannot be read or written; nothing was changed.
    Store { message: String },
    /// Other submissions won every attempt; nothing was changed.
    Busy,
    /// The store did not answer; the bundle may have become current.
    Unknown { message: String },
}

impl fmt::Display for SubmitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SubmitError::Refused(refusal) => write!(f, "not submitted: {refusal}"),
            SubmitError::Envelope(error) => write!(f, "not submitted: {error}"),
            SubmitError::Lost {
                offered,
                winner,
                signers,
            } => write!(
                f,
                "{offered} is not current: {winner} is, signed by {signers}; \
                 submit a version above it"
            ),
            SubmitError::UnreadableCurrent { revision } => write!(
                f,
                "not submitted: revision {revision} of '{BUNDLE_KEY}' is not a valid envelope; \
                 '--replace-revision {revision}' replaces it"
            ),
            SubmitError::Store { message } => write!(f, "not submitted: {message}"),
            SubmitError::Busy => write!(f, "not submitted: other submissions came first"),
            SubmitError::Unknown { message } => write!(
                f,
                "outcome unknown: {message}; check with 'bundle show' and submit again"
            ),
        }
    }
}

impl std::error::Error for SubmitError {}

/// Checks an envelope as an instance would and makes it the current one in the store.
///
/// After a lost answer the store is read again, so that a submission that took effect is reported
/// as accepted. An invalid envelope in the store is replaced only if `replace` is its revision.
pub async fn submit_bundle(
    envelope: &BundleEnvelope,
    signers: &[SignerKey],
    required: usize,
    replace: Option<u64>,
    ports: &BundlePorts,
) -> Result<SubmitOutcome, SubmitError> {
    let config = check_envelope(envelope, signers, required).map_err(SubmitError::Refused)?;
    let text = envelope.to_json().map_err(SubmitError::Envelope)?;
    let version = config.version;
    // After a lost answer, a later failure must not be reported as "not submitted".
    let mut unanswered: Option<String> = None;
    for _ in 0..MAX_ATTEMPTS {
        let current = match ((ports.read)().await, &unanswered) {
            (Ok(current), _) => current,
            (Err(_), Some(_)) => break,
            (Err(BundleReadError { message }), None) => {
                return Err(SubmitError::Store { message });
            }
        };
        let revision = current.as_ref().map_or(0, |stored| stored.revision);
        if let Some(stored) = current
            && compare_current(envelope, version, &stored, replace)?
        {
            return Ok(match unanswered {
                Some(_) => SubmitOutcome::Accepted { version },
                None => SubmitOutcome::Unchanged { version },
            });
        }
        match (ports.write)(revision, text.clone()).await {
            Ok(_) => return Ok(SubmitOutcome::Accepted { version }),
            Err(BundleWriteError::Conflict) => {}
            Err(BundleWriteError::NotApplied { message }) if unanswered.is_none() => {
                return Err(SubmitError::Store { message });
            }
            Err(BundleWriteError::NotApplied { .. }) => break,
            Err(BundleWriteError::Unanswered { message }) => unanswered = Some(message),
        }
    }
    Err(match unanswered {
        Some(message) => SubmitError::Unknown { message },
        None => SubmitError::Busy,
    })
}

/// Returns whether the stored bundle equals the offered one.
///
/// Returns an error if the store holds another bundle whose version is not lower, or an unreadable
/// one at a revision other than `replace`.
fn compare_current(
    offered: &BundleEnvelope,
    version: BundleVersion,
    stored: &StoredEnvelope,
    replace: Option<u64>,
) -> Result<bool, SubmitError> {
    let revision = stored.revision;
    let Some((current, winner)) = read_current(&stored.text) else {
        return match replace == Some(revision) {
            true => Ok(false),
            false => Err(SubmitError::UnreadableCurrent { revision }),
        };
    };
    if current.bundle == offered.bundle {
        return Ok(true);
    }
    if winner < version {
        return Ok(false);
    }
    let names: Vec<String> = current
        .signatures
        .iter()
        .map(|signature| signature.signer.to_string())
        .collect();
    Err(SubmitError::Lost {
        offered: version,
        winner,
        signers: names.join(", "),
    })
}

fn read_current(text: &str) -> Option<(BundleEnvelope, BundleVersion)> {
    let envelope = BundleEnvelope::from_json(text).ok()?;
    let version = parse_bundle(&envelope.bundle).ok()?.version;
    Some((envelope, version))
}
