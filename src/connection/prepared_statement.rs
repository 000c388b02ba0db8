//! Prepared statements of a session, independent of those on endpoint connections.

use std::fmt;
use std::sync::Arc;

use sha2::Digest;
use sha2::Sha256;

use crate::connection::wire_frame;
use crate::connection::wire_frame::FrameError;
use crate::connection::wire_frame::WireFrame;
use crate::request::statement;
use crate::request::statement::StatementInfo;

/// Hash of a statement's text and parameter types, which is its name on endpoints.
///
/// Sessions that prepare the same statement share it on an endpoint connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct StatementHash(u128);

impl fmt::Display for StatementHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "tlb_{:032x}", self.0)
    }
}

/// A statement that a session prepared.
#[derive(Debug, Clone)]
pub struct PreparedStatement {
    /// Its name on endpoints.
    pub hash: StatementHash,
    /// Its classification; `None` for an empty text or several statements, which the endpoint
    /// accepts or refuses.
    pub info: Option<Arc<StatementInfo>>,
    /// The text and parameter types, as they follow the name in the body of Parse.
    definition: Vec<u8>,
}

impl PreparedStatement {
    /// Reads a Parse message; returns the caller's name for the statement, and the statement.
    pub fn from_parse(frame: &WireFrame) -> Result<(Vec<u8>, Self), FrameError> {
        let (name, definition) = wire_frame::split_text(frame.body())?;
        let (text, _) = wire_frame::split_text(definition)?;
        let mut infos = statement::parse_statements(&String::from_utf8_lossy(text));
        let digest: [u8; 32] = Sha256::digest(definition).into();
        let (half, _) = digest.split_at(16);
        let hash = half
            .iter()
            .fold(0_u128, |hash, &byte| hash << 8 | u128::from(byte));
        let prepared = Self {
            hash: StatementHash(hash),
            info: if infos.len() == 1 {
                infos.pop().map(Arc::new)
            } else {
                None
            },
            definition: definition.to_vec(),
        };
        Ok((name.to_vec(), prepared))
    }

    /// Returns the Parse message that prepares the statement on an endpoint.
    pub fn to_parse(&self) -> WireFrame {
        let mut body = self.hash.to_string().into_bytes();
        body.push(0);
        body.extend_from_slice(&self.definition);
        WireFrame::new(b'P', &body)
    }

    /// Returns the approximate memory use of the statement, in bytes.
    pub fn size(&self) -> usize {
        self.definition.len() * 2 + size_of::<Self>()
    }
}

/// Replaces the statement name in a Bind message.
pub fn rename_bind(frame: &WireFrame, name: &str) -> Result<WireFrame, FrameError> {
    let (portal, rest) = wire_frame::split_text(frame.body())?;
    let (_, values) = wire_frame::split_text(rest)?;
    let mut body = Vec::with_capacity(frame.body().len() + name.len());
    body.extend_from_slice(portal);
    body.push(0);
    body.extend_from_slice(name.as_bytes());
    body.push(0);
    body.extend_from_slice(values);
    Ok(WireFrame::new(b'B', &body))
}

/// Returns a Describe (`D`) or Close (`C`) message for a statement.
pub fn statement_message(kind: u8, name: &str) -> WireFrame {
    let mut body = vec![b'S'];
    body.extend_from_slice(name.as_bytes());
    body.push(0);
    WireFrame::new(kind, &body)
}
