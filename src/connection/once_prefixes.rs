//! Statements that run at most once.

use std::sync::Arc;

use crate::request::sql_token;
use crate::version::bundle::BundleConfig;
use crate::version::ids::ServiceId;

/// The prefixes of statements that run at most once, as one bundle states them.
#[derive(Default)]
pub struct OncePrefixes {
    pub(super) bundle: Option<Arc<BundleConfig>>,
    pub(super) prefixes: Vec<String>,
}

impl OncePrefixes {
    /// Reads the prefixes again where the bundle is another one.
    pub fn update(&mut self, bundle: &Arc<BundleConfig>, id: &ServiceId) {
        let known = self.bundle.as_ref();
        if known.is_some_and(|known| Arc::ptr_eq(known, bundle)) {
            return;
        }
        let service = bundle.services.iter().find(|service| service.id == *id);
        let prefixes = service.map_or(&[][..], |service| &service.once_only);
        let words = prefixes.iter().map(|prefix| sql_token::plain_words(prefix));
        self.prefixes = words.collect();
        self.bundle = Some(bundle.clone());
    }
}
