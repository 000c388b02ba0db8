//! Identifies one incarnation of an instance: one run of its process.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::version::ids::IdError;
use crate::version::ids::InstanceId;

/// An instance and the random number that its process drew at start, written `INSTANCE#HEX`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct InstanceIncarnation {
    /// The instance.
    pub instance: InstanceId,
    /// The random number of this incarnation.
    pub number: u64,
}

/// Why a text is not a valid incarnation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum IncarnationError {
    /// The text has no `#` between the instance and the number.
    NoNumber,
    /// The part after `#` is not a hexadecimal number.
    BadNumber,
    /// The part before `#` is not an identifier.
    BadInstance(IdError),
}

impl fmt::Display for IncarnationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            IncarnationError::NoNumber => write!(f, "incarnation has no number"),
            IncarnationError::BadNumber => write!(f, "incarnation number is invalid"),
            IncarnationError::BadInstance(error) => write!(f, "instance: {error}"),
        }
    }
}

impl std::error::Error for IncarnationError {}

impl fmt::Display for InstanceIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:x}", self.instance, self.number)
    }
}

impl FromStr for InstanceIncarnation {
    type Err = IncarnationError;

    fn from_str(text: &str) -> Result<Self, IncarnationError> {
        let (instance, number) = text.split_once('#').ok_or(IncarnationError::NoNumber)?;
        Ok(Self {
            instance: instance.parse().map_err(IncarnationError::BadInstance)?,
            number: u64::from_str_radix(number, 16).map_err(|_| IncarnationError::BadNumber)?,
        })
    }
}

impl TryFrom<String> for InstanceIncarnation {
    type Error = IncarnationError;

    fn try_from(text: String) -> Result<Self, IncarnationError> {
        text.parse()
    }
}

impl From<InstanceIncarnation> for String {
    fn from(incarnation: InstanceIncarnation) -> String {
        incarnation.to_string()
    }
}
