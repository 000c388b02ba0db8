//! Names under which statements are prepared at endpoints.

use std::fmt;
use std::fmt::Write;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::caller_statement::AccessMode;
use crate::caller_statement::StatementDefinition;

/// Maximum length in bytes of a text that stands in the name itself. Shorter than a digest, so that
/// names are bounded while ordinary ones can be read in logs.
const MAX_PLAIN_BYTES: usize = 48;

/// Length of a digest in hexadecimal digits.
const DIGEST_DIGITS: usize = 64;

/// Name under which a statement is prepared at endpoints; all sessions share it.
///
/// It is a function of the mode and the text of the definition, and different definitions have
/// different names (SHA-256 is taken to have no collisions). It consists of ASCII letters, digits
/// and `_` only, because it is a field of a line that ends at a blank, while the text of a
/// definition may contain blanks. Short texts of these characters have the form `r_TEXT` or
/// `w_TEXT`, all others `rd_DIGEST` or `wd_DIGEST`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct PreparedName(String);

/// The text is not the name of a prepared statement at endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NameError;

impl fmt::Display for NameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a name of a prepared statement at endpoints")
    }
}

impl std::error::Error for NameError {}

impl PreparedName {
    /// Returns the name of a definition.
    pub fn new(definition: &StatementDefinition) -> Self {
        let mode = match definition.mode {
            AccessMode::Read => 'r',
            AccessMode::Write => 'w',
        };
        if is_plain(&definition.text) {
            return Self(format!("{mode}_{}", definition.text));
        }
        let mut name = format!("{mode}d_");
        for byte in Sha256::digest(&definition.text) {
            // Writing to a string cannot fail.
            let _ = write!(name, "{byte:02x}");
        }
        Self(name)
    }

    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Returns whether a text stands in the name itself.
fn is_plain(text: &str) -> bool {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'_';
    !text.is_empty() && text.len() <= MAX_PLAIN_BYTES && text.bytes().all(is_plain)
}

fn is_name(text: &str) -> bool {
    let Some(rest) = text.strip_prefix(['r', 'w']) else {
        return false;
    };
    let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    match (rest.strip_prefix('_'), rest.strip_prefix("d_")) {
        (Some(text), _) => is_plain(text),
        (None, Some(digest)) => digest.len() == DIGEST_DIGITS && digest.bytes().all(is_digit),
        (None, None) => false,
    }
}

impl fmt::Display for PreparedName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for PreparedName {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        Self::try_from(text.to_owned())
    }
}

impl TryFrom<String> for PreparedName {
    type Error = NameError;

    fn try_from(text: String) -> Result<Self, NameError> {
        is_name(&text).then_some(Self(text)).ok_or(NameError)
    }
}

impl From<PreparedName> for String {
    fn from(name: PreparedName) -> String {
        name.0
    }
}
