//! The rules of one service for statements, from the bundle.

use std::sync::Arc;

use crate::request::sql_token;
use crate::version::bundle::BundleConfig;
use crate::version::ids::ServiceId;

/// The rules of one service for statements, from the latest bundle that was read.
#[derive(Default)]
pub struct ServiceRules {
    bundle: Option<Arc<BundleConfig>>,
    /// Prefixes of statements that must not be repeated, as [`sql_token::normalize_words`] returns
    /// them.
    pub once_only: Vec<String>,
    /// Whether the service allows stale reads.
    pub allows_stale: bool,
}

impl ServiceRules {
    /// Reads the rules again if the bundle has changed.
    pub fn update(&mut self, bundle: &Arc<BundleConfig>, id: &ServiceId) {
        let known = self.bundle.as_ref();
        if known.is_some_and(|known| Arc::ptr_eq(known, bundle)) {
            return;
        }
        let service = bundle.services.iter().find(|service| service.id == *id);
        let prefixes = service.map_or(&[][..], |service| &service.once_only);
        let words = prefixes
            .iter()
            .map(|prefix| sql_token::normalize_words(prefix));
        self.once_only = words.collect();
        self.allows_stale = service.is_some_and(|service| service.staleness_limit_ms.is_some());
        self.bundle = Some(bundle.clone());
    }
}
