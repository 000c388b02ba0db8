//! Messages between the instances of a shard, and the actions that their process carries out.

use serde::Deserialize;
use serde::Serialize;

use crate::process::shares::table::ShareTable;
use crate::process::shares::table::TeamLimit;
use crate::version::ids::InstanceId;
use crate::version::ids::TeamId;

/// A message between two instances; the link names the sender's incarnation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ShareMessage {
    /// A borrower states its loans and its demand, for one or more teams.
    Request(Vec<LoanRequest>),
    /// An owner's answers to a request.
    Grant(Vec<LoanGrant>),
    /// An owner recalls the part of a loan that exceeds the fraction `keep`.
    Recall { team: TeamId, keep: f64 },
    /// An owner renews its lease with a witness, under a table version.
    Renew { sequence: u64, version: u64 },
    /// A witness vouches for the renewal with this sequence number.
    Vouch { sequence: u64 },
    /// A witness has only this older table version; 0 is none since its start.
    NeedTable { version: u64 },
    /// A table that was read from or written to the store.
    Table(Box<ShareTable>),
    /// The receiver of a table has at least this version.
    TableAck { version: u64 },
}

/// One team's entry in [`ShareMessage::Request`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct LoanRequest {
    /// The team.
    pub team: TeamId,
    /// Increases with every request of the borrower, which ignores answers to lower numbers.
    pub number: u64,
    /// The fraction that the borrower still has on loan from this owner.
    pub holds: f64,
    /// The tokens that the borrower returns.
    pub returned: f64,
    /// The borrower's demand in requests per second; 0 requests nothing.
    pub demand: f64,
}

/// One team's entry in [`ShareMessage::Grant`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct LoanGrant {
    /// The team.
    pub team: TeamId,
    /// The number of the request that this answers.
    pub number: u64,
    /// The fraction added to the one that the borrower stated.
    pub fraction: f64,
    /// The tokens added.
    pub tokens: f64,
    /// The limit that the fractions refer to.
    pub limit: TeamLimit,
    /// Term of the whole loan, in ms from when the request was sent; 0 is a refusal.
    pub term_ms: u64,
    /// The fraction that the borrower may keep.
    pub keep: f64,
    /// Time until more may be free, in ms; 0 if no more is expected.
    pub pending_ms: u64,
}

/// An action that the process carries out for a shard.
#[derive(Debug, Clone, PartialEq)]
pub enum ShareAction {
    /// Send a message to an instance.
    Send {
        to: InstanceId,
        message: ShareMessage,
    },
    /// Read `shares/SHARD` and hand the answer to the shard.
    Read,
    /// Replace `shares/SHARD` if it still has the expected revision; 0 if the key must be absent.
    Write {
        expected_revision: u64,
        table: Box<ShareTable>,
    },
    /// Try the deferred requests of a team again.
    Wake(TeamId),
}

/// The store's answer to a read or a write.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreAnswer {
    /// The value and its revision; `None` if the key is absent.
    Value(Option<(u64, Box<ShareTable>)>),
    /// The write took effect with this revision.
    Written { revision: u64 },
    /// Another write came first.
    Conflict,
    /// The call was not answered; a write may have taken effect.
    Unknown,
}
