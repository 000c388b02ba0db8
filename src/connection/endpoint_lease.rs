//! The use of an endpoint connection by one session, for a transaction or a pinned session.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use crate::connection::endpoint_pool::PooledLink;
use crate::connection::prepared_statement::PreparedStatement;
use crate::request::ports::RequestClass;
use crate::request::ports::SlotPermit;
use crate::request::statement::StatementKind;
use crate::version::ids::EndpointId;

/// A change of session settings that counts once its transaction is committed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingChange {
    /// A setting gets a value.
    Set {
        /// The name of the setting.
        setting: String,
        /// The statement that sets it.
        text: String,
    },
    /// A setting, or all, gets its default.
    Reset {
        /// The name of the setting; `None` stands for all.
        setting: Option<String>,
    },
    /// A savepoint that changes behind it can be undone to.
    Savepoint {
        /// The name of the savepoint.
        savepoint: String,
    },
}

/// The use of an endpoint connection by one session.
pub struct EndpointLease {
    /// The connection.
    pub link: PooledLink,
    /// The endpoint that it leads to.
    pub endpoint: EndpointId,
    /// The right to run; `None` while a pinned session is between transactions.
    pub permit: Option<SlotPermit>,
    /// Whether the endpoint was believed to be the primary.
    pub primary: bool,
    /// How the transaction uses the service.
    pub class: RequestClass,
    /// The transaction status that the endpoint last reported.
    pub status: u8,
    /// Whether the session keeps the connection between transactions.
    pub pinned: bool,
    /// When the request that opened the transaction arrived.
    pub arrived: Instant,
    /// When the permit was obtained.
    pub admitted: Instant,
    /// The portals of the transaction, by name.
    pub portals: HashMap<Vec<u8>, Option<Arc<PreparedStatement>>>,
    /// Setting changes of the transaction.
    pub changes: Vec<SettingChange>,
    /// Whether a request on it was answered before within the transaction.
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

    /// Whether a transaction is open.
    pub fn in_transaction(&self) -> bool {
        self.status != b'I'
    }

    /// Notes what a completed statement does to the settings.
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
            StatementKind::RollbackTo { savepoint } => self.undo_to(savepoint),
            StatementKind::Rollback => self.changes.clear(),
            _ => {}
        }
    }

    fn undo_to(&mut self, name: &str) {
        let mark = self.changes.iter().rposition(
            |change| matches!(change, SettingChange::Savepoint { savepoint } if savepoint == name),
        );
        if let Some(mark) = mark {
            self.changes.truncate(mark + 1);
        }
    }
}
