//! Exclusive use of an endpoint connection by one session, for a transaction or while pinned.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use crate::connection::endpoint_pool::PooledLink;
use crate::connection::prepared_statement::PreparedStatement;
use crate::request::ports::RequestClass;
use crate::request::ports::SlotPermit;
use crate::request::statement::StatementKind;
use crate::version::ids::EndpointId;

/// A change of session settings that takes effect when its transaction commits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingChange {
    /// Sets a setting to a value.
    Set {
        /// The name of the setting.
        setting: String,
        /// The statement that sets it.
        text: String,
    },
    /// Resets one setting, or all, to the default.
    Reset {
        /// The name of the setting; `None` means all.
        setting: Option<String>,
    },
    /// A savepoint; later changes are undone by a rollback to it.
    Savepoint {
        /// The name of the savepoint.
        savepoint: String,
    },
}

/// Exclusive use of an endpoint connection by one session.
pub struct EndpointLease {
    /// The connection.
    pub link: PooledLink,
    /// The endpoint of the connection.
    pub endpoint: EndpointId,
    /// The permit to run; `None` while a pinned session is between transactions.
    pub permit: Option<SlotPermit>,
    /// Whether the endpoint was considered the primary when the permit was granted.
    pub primary: bool,
    /// How the transaction uses the service.
    pub class: RequestClass,
    /// The transaction status that the endpoint last reported.
    pub status: u8,
    /// Whether the session keeps the connection between transactions.
    pub pinned: bool,
    /// When the request that opened the transaction arrived.
    pub arrived: Instant,
    /// When the permit was granted.
    pub admitted: Instant,
    /// The portals of the transaction, by name.
    pub portals: HashMap<Vec<u8>, Option<Arc<PreparedStatement>>>,
    /// Setting changes of the transaction.
    pub changes: Vec<SettingChange>,
    /// Whether an earlier request of the current transaction was answered.
    pub in_progress: bool,
}

impl EndpointLease {
    /// Wraps a connection that has no permit yet.
    pub fn new(link: PooledLink, endpoint: EndpointId) -> Self {
        let now = Instant::now();
        Self {
            link,
            endpoint,
            permit: None,
            primary: false,
            class: RequestClass::Write,
            status: b'I',
            pinned: false,
            arrived: now,
            admitted: now,
            portals: HashMap::new(),
            changes: Vec::new(),
            in_progress: false,
        }
    }

    /// Starts a transaction under a permit.
    pub fn open(&mut self, permit: SlotPermit, class: RequestClass, arrived: Instant) {
        self.primary = permit.primary;
        self.permit = Some(permit);
        self.class = class;
        self.arrived = arrived;
        self.admitted = Instant::now();
        self.in_progress = false;
    }

    /// Returns whether a transaction is open.
    pub fn in_transaction(&self) -> bool {
        self.status != b'I'
    }

    /// Records the effect of a completed statement on the settings.
    pub fn record_completed(&mut self, kind: &StatementKind, text: &str) {
        match kind {
            StatementKind::Set { setting } => self.changes.push(SettingChange::Set {
                setting: setting.clone(),
                text: text.to_owned(),
            }),
            StatementKind::Reset { setting } => self.changes.push(SettingChange::Reset {
                setting: setting.clone(),
            }),
            StatementKind::Savepoint { savepoint } => {
                self.changes.push(SettingChange::Savepoint {
                    savepoint: savepoint.clone(),
                });
            }
            StatementKind::RollbackTo { savepoint } => self.roll_back_to(savepoint),
            StatementKind::Rollback => self.changes.clear(),
            _ => {}
        }
    }

    fn roll_back_to(&mut self, name: &str) {
        let index = self.changes.iter().rposition(
            |change| matches!(change, SettingChange::Savepoint { savepoint } if savepoint == name),
        );
        if let Some(index) = index {
            self.changes.truncate(index + 1);
        }
    }
}
