//! The era of the store.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

/// Number of times that the store has come back from an older copy. It has no unit and rises by one
/// each time; 0 for a store that does not tell it.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreEra(u32);

impl StoreEra {
    /// The last era, which leaves 40 of 64 bits for the number of a revision.
    pub const MAX: Self = Self((1 << 24) - 1);

    /// Creates an era, or returns `None` beyond [`Self::MAX`].
    pub fn new(era: u64) -> Option<Self> {
        let era = u32::try_from(era).ok()?;
        (era <= Self::MAX.0).then_some(Self(era))
    }

    /// Returns the number of the era.
    pub fn as_u64(self) -> u64 {
        u64::from(self.0)
    }
}

/// A text that is not the decimal number of an era.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EraError(String);

impl fmt::Display for EraError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let EraError(text) = self;
        write!(f, "{text:?} is not an era from 0 to {}", StoreEra::MAX)
    }
}

impl std::error::Error for EraError {}

impl fmt::Display for StoreEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for StoreEra {
    type Err = EraError;

    fn from_str(text: &str) -> Result<Self, EraError> {
        let era = text.parse().ok().and_then(Self::new);
        era.ok_or_else(|| EraError(text.to_owned()))
    }
}
