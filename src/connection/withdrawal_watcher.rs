//! Ends requests whose key was withdrawn.

use std::cell::Cell;
use std::cell::RefCell;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::watch;

use crate::connection::caller_identity::CallerIdentity;
use crate::connection::listener::ListenerView;
use crate::version::bundle::BundleConfig;

/// Tells when a running request must end because its key was withdrawn.
pub struct WithdrawalWatcher {
    pub(super) identity: CallerIdentity,
    pub(super) view: watch::Receiver<ListenerView>,
    pub(super) grace: Duration,
    /// The last bundle that lets the caller in.
    pub(super) checked: RefCell<Arc<BundleConfig>>,
    pub(super) seen: Cell<Option<Instant>>,
}

impl WithdrawalWatcher {
    /// Whether the key was withdrawn and the time to finish has passed.
    pub fn is_over(&self) -> bool {
        let view = self.view.borrow();
        if Arc::ptr_eq(&view.bundle, &self.checked.borrow()) {
            return false;
        }
        if self.identity.check(&view.bundle).is_ok() {
            self.checked.replace(view.bundle.clone());
            self.seen.set(None);
            return false;
        }
        let since = self.seen.get().unwrap_or_else(Instant::now);
        self.seen.set(Some(since));
        since.elapsed() >= self.grace
    }
}
