//! Identifiers that a bundle defines or references.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

/// Maximum length of an identifier, in bytes.
pub const MAX_ID_BYTES: usize = 63;

/// Why a text is not a valid identifier.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum IdError {
    /// The text is empty.
    Empty,
    /// The text is longer than [`MAX_ID_BYTES`].
    TooLong { bytes: usize },
    /// The text has a character other than an ASCII letter, a digit, `-`, `_` or `.`.
    BadCharacter { character: char },
}

impl fmt::Display for IdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            IdError::Empty => write!(f, "identifier is empty"),
            IdError::TooLong { bytes } => {
                write!(
                    f,
                    "identifier has {bytes} bytes, at most {MAX_ID_BYTES} are allowed"
                )
            }
            IdError::BadCharacter { character } => {
                write!(f, "identifier has the character {character:?}")
            }
        }
    }
}

impl std::error::Error for IdError {}

fn check_id(text: &str) -> Result<(), IdError> {
    if text.is_empty() {
        return Err(IdError::Empty);
    }
    if text.len() > MAX_ID_BYTES {
        return Err(IdError::TooLong { bytes: text.len() });
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    match text.chars().find(|&c| !allowed(c)) {
        Some(character) => Err(IdError::BadCharacter { character }),
        None => Ok(()),
    }
}

macro_rules! define_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// Returns the identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                check_id(text)?;
                Ok(Self(text.to_owned()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(text: String) -> Result<Self, IdError> {
                check_id(&text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> String {
                id.0
            }
        }
    };
}

define_id!(
    /// A team: a tenant with keys and a rate limit.
    TeamId
);
define_id!(
    /// A service: a group of endpoints that callers reach by a database name.
    ServiceId
);
define_id!(
    /// An endpoint: one database server of a service.
    EndpointId
);
define_id!(
    /// An instance: a machine that runs one daemon.
    InstanceId
);
define_id!(
    /// An availability zone.
    ZoneId
);
define_id!(
    /// A key of a team.
    KeyId
);
define_id!(
    /// A signer of bundles.
    SignerId
);

/// The version number of a bundle; a newer bundle has a higher number.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct BundleVersion(pub u64);

impl fmt::Display for BundleVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "v{}", self.0)
    }
}

impl FromStr for BundleVersion {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.strip_prefix('v').unwrap_or(text).parse().map(Self)
    }
}
