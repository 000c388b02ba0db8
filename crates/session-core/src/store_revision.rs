//! Places in the history of the store.
//!
//! A store that comes back from an older copy gives revision numbers out again. A number therefore
//! names a place in the history only together with the era, and a lower number of a later era is newer.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::store_era::StoreEra;

/// Number of bits of a packed revision that hold its number: enough for 69 years of 500 changes per
/// second.
const NUMBER_BITS: u32 = 40;

/// A revision of the store in its era, ordered by era first. The default is before all revisions.
///
/// It is encoded as one number that has the same order and, in era 0, equals the number of the
/// revision, as earlier versions encode it.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(from = "u64", into = "u64")]
pub struct StoreRevision {
    era: StoreEra,
    number: u64,
}

impl StoreRevision {
    /// Creates a revision, or returns `None` if the number is too large to be packed.
    pub fn new(era: StoreEra, number: u64) -> Option<Self> {
        (number >> NUMBER_BITS == 0).then_some(Self { era, number })
    }

    /// Returns the era.
    pub fn era(self) -> StoreEra {
        self.era
    }

    /// Returns the number, which is unique and rises within the era only.
    pub fn number(self) -> u64 {
        self.number
    }

    /// Returns whether the revision is that of a key which does not exist.
    pub fn is_none(self) -> bool {
        self.number == 0
    }
}

impl From<u64> for StoreRevision {
    fn from(packed: u64) -> Self {
        Self {
            // The upper 24 bits are an era at most.
            era: StoreEra::new(packed >> NUMBER_BITS).unwrap_or(StoreEra::MAX),
            number: packed & ((1 << NUMBER_BITS) - 1),
        }
    }
}

impl From<StoreRevision> for u64 {
    fn from(revision: StoreRevision) -> Self {
        revision.era.as_u64() << NUMBER_BITS | revision.number
    }
}

/// A text that is not a revision in the form `ERA.NUMBER`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RevisionError(String);

impl fmt::Display for RevisionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let RevisionError(text) = self;
        write!(f, "{text:?} is not a revision in the form ERA.NUMBER")
    }
}

impl std::error::Error for RevisionError {}

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}

impl FromStr for StoreRevision {
    type Err = RevisionError;

    fn from_str(text: &str) -> Result<Self, RevisionError> {
        let parts = text.split_once('.');
        let revision = parts.and_then(|(era, number)| {
            let era = era.parse().ok()?;
            Self::new(era, number.parse().ok()?)
        });
        revision.ok_or_else(|| RevisionError(text.to_owned()))
    }
}
