//! Accepts signed bundles from the store, peers and files, and puts newer valid ones in force.

use std::fmt;
use std::sync::Arc;

use tracing::info;
use tracing::warn;

use crate::version::bundle_envelope::BundleEnvelope;
use crate::version::bundle_store::BundleStore;
use crate::version::bundle_store::OfferOutcome;
use crate::version::ids::BundleVersion;

/// Where a bundle came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BundleSource {
    /// The platform's store.
    Store,
    /// Another instance.
    Peer,
    /// The file given by the `bundle_file` setting.
    File,
}

impl fmt::Display for BundleSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            BundleSource::Store => "store",
            BundleSource::Peer => "peer",
            BundleSource::File => "file",
        })
    }
}

/// Called with each bundle that is put in force.
pub type AcceptedFn = Box<dyn Fn(BundleVersion, BundleSource) + Send + Sync>;

/// Checks every bundle that arrives, from any source, before it comes into force.
pub struct BundleIntake {
    bundles: Arc<BundleStore>,
    on_accepted: AcceptedFn,
}

impl BundleIntake {
    /// Creates an intake for the bundle store of a process.
    pub fn new(bundles: Arc<BundleStore>, on_accepted: AcceptedFn) -> Self {
        Self {
            bundles,
            on_accepted,
        }
    }

    /// Puts a signed bundle in force if it is valid and newer than the current one.
    ///
    /// An unreadable or refused bundle is logged and changes nothing.
    pub fn offer(&self, text: &str, source: BundleSource) {
        let envelope = match BundleEnvelope::from_json(text) {
            Ok(envelope) => envelope,
            Err(error) => return warn!("bundle: unreadable bundle from the {source}: {error}"),
        };
        match self.bundles.offer(envelope) {
            Ok(OfferOutcome::Accepted { version }) => {
                info!("bundle: {version} from the {source} is in force");
                (self.on_accepted)(version, source);
            }
            Ok(OfferOutcome::Unchanged { .. }) => {}
            Err(error) => warn!("bundle: refused the bundle from the {source}: {error}"),
        }
    }
}
