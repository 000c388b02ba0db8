//! The bundle in force on this instance and the checks a new bundle must pass.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio::sync::watch;

use crate::version::bundle::BundleConfig;
use crate::version::bundle_envelope::BundleEnvelope;
use crate::version::bundle_envelope::EnvelopeError;
use crate::version::bundle_parser::parse_bundle;
use crate::version::fault_list::FaultList;
use crate::version::ids::BundleVersion;
use crate::version::signer_key::SignerKey;

/// A bundle that passed all checks, with the envelope that is forwarded to peers.
#[derive(Debug)]
pub struct AcceptedBundle {
    /// The content.
    pub config: Arc<BundleConfig>,
    /// The signed text.
    pub envelope: BundleEnvelope,
}

/// The outcome of an offer that was not refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The bundle is now in force.
    Accepted { version: BundleVersion },
    /// The same bundle text was already in force.
    Unchanged { version: BundleVersion },
}

/// Why an offered bundle was refused.
#[derive(Debug, Clone, PartialEq)]
pub enum BundleRefusal {
    /// The envelope is malformed or not signed by enough signers.
    Envelope(EnvelopeError),
    /// The bundle has faults.
    Faults(FaultList),
    /// A higher version is in force.
    Superseded {
        offered: BundleVersion,
        current: BundleVersion,
    },
    /// A different bundle text with the same version is in force.
    Conflict { version: BundleVersion },
}

impl fmt::Display for BundleRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BundleRefusal::Envelope(error) => write!(f, "{error}"),
            BundleRefusal::Faults(faults) => write!(f, "{faults}"),
            BundleRefusal::Superseded { offered, current } => {
                write!(f, "{offered} is not above {current}, which is in force")
            }
            BundleRefusal::Conflict { version } => {
                write!(f, "another bundle is in force under {version}")
            }
        }
    }
}

impl std::error::Error for BundleRefusal {}

/// Verifies the signatures of an envelope, then parses and validates its bundle.
pub fn check_envelope(
    envelope: &BundleEnvelope,
    signers: &[SignerKey],
    required: usize,
) -> Result<BundleConfig, BundleRefusal> {
    envelope
        .verify(signers, required)
        .map_err(BundleRefusal::Envelope)?;
    parse_bundle(&envelope.bundle).map_err(BundleRefusal::Faults)
}

/// Holds the bundle in force, which is only replaced by one with a higher version.
#[derive(Debug)]
pub struct BundleStore {
    signers: Vec<SignerKey>,
    required_signatures: usize,
    current: watch::Sender<Option<Arc<AcceptedBundle>>>,
    refusals: AtomicU64,
}

impl BundleStore {
    /// Creates an empty store; a bundle needs valid signatures of `required_signatures` signers.
    pub fn new(signers: Vec<SignerKey>, required_signatures: usize) -> Self {
        Self {
            signers,
            required_signatures,
            current: watch::Sender::new(None),
            refusals: AtomicU64::new(0),
        }
    }

    /// Returns the content of the bundle in force, if there is one.
    pub fn config(&self) -> Option<Arc<BundleConfig>> {
        let current = self.current.borrow();
        current.as_ref().map(|bundle| Arc::clone(&bundle.config))
    }

    /// Returns the bundle in force with its envelope, if there is one.
    pub fn accepted(&self) -> Option<Arc<AcceptedBundle>> {
        self.current.borrow().clone()
    }

    /// Returns the version in force, or version 0 if there is none.
    pub fn version(&self) -> BundleVersion {
        let current = self.current.borrow();
        current
            .as_ref()
            .map_or(BundleVersion(0), |bundle| bundle.config.version)
    }

    /// Returns a receiver that is notified when another bundle comes into force.
    pub fn subscribe(&self) -> watch::Receiver<Option<Arc<AcceptedBundle>>> {
        self.current.subscribe()
    }

    /// Returns the number of refused offers. Offers of older versions are common and not counted.
    pub fn refusals(&self) -> u64 {
        self.refusals.load(Ordering::Relaxed)
    }

    /// Checks a bundle and puts it in force if its version is higher than the current one.
    pub fn offer(&self, envelope: BundleEnvelope) -> Result<OfferOutcome, BundleRefusal> {
        let outcome = self.accept_newer(envelope);
        if !matches!(outcome, Ok(_) | Err(BundleRefusal::Superseded { .. })) {
            self.refusals.fetch_add(1, Ordering::Relaxed);
        }
        outcome
    }

    fn accept_newer(&self, envelope: BundleEnvelope) -> Result<OfferOutcome, BundleRefusal> {
        let config = check_envelope(&envelope, &self.signers, self.required_signatures)?;
        let version = config.version;
        let bundle = Arc::new(AcceptedBundle {
            config: Arc::new(config),
            envelope,
        });
        let mut outcome = Ok(OfferOutcome::Accepted { version });
        self.current.send_if_modified(|current| {
            if let Some(in_force) = current {
                outcome = compare_versions(in_force, &bundle);
            }
            let accepted = matches!(outcome, Ok(OfferOutcome::Accepted { .. }));
            if accepted {
                *current = Some(bundle);
            }
            accepted
        });
        outcome
    }
}

fn compare_versions(
    in_force: &AcceptedBundle,
    offered: &AcceptedBundle,
) -> Result<OfferOutcome, BundleRefusal> {
    let current = in_force.config.version;
    let version = offered.config.version;
    if version > current {
        Ok(OfferOutcome::Accepted { version })
    } else if version < current {
        Err(BundleRefusal::Superseded {
            offered: version,
            current,
        })
    } else if in_force.envelope.bundle == offered.envelope.bundle {
        Ok(OfferOutcome::Unchanged { version })
    } else {
        Err(BundleRefusal::Conflict { version })
    }
}
