//! Detects that the key of a running request was withdrawn.

use std::cell::Cell;
use std::cell::RefCell;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::watch;

use crate::connection::caller_identity::CallerIdentity;
use crate::connection::listener::ListenerView;
use crate::version::bundle::BundleConfig;

/// Decides when a running request must end because its key was withdrawn.
pub struct WithdrawalMonitor {
    pub(super) identity: CallerIdentity,
    pub(super) view: watch::Receiver<ListenerView>,
    /// Time that the request may go on after the withdrawal.
    pub(super) grace: Duration,
    /// The last bundle that was found to admit the caller.
    pub(super) checked: RefCell<Arc<BundleConfig>>,
    /// When the withdrawal was first observed.
    pub(super) withdrawn_since: Cell<Option<Instant>>,
}

impl WithdrawalMonitor {
    /// Returns whether the key was withdrawn and the grace time has passed.
    pub fn is_grace_over(&self) -> bool {
        let view = self.view.borrow();
        if Arc::ptr_eq(&view.bundle, &self.checked.borrow()) {
            return false;
        }
        if self.identity.check(&view.bundle).is_ok() {
            self.checked.replace(view.bundle.clone());
            self.withdrawn_since.set(None);
            return false;
        }
        let since = self.withdrawn_since.get().unwrap_or_else(Instant::now);
        self.withdrawn_since.set(Some(since));
        since.elapsed() >= self.grace
    }
}
