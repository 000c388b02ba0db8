//! The messages between instances and their encoding.

use serde::Deserialize;
use serde::Serialize;

use crate::process::peers::peer_digest::PeerDigest;
use crate::process::peers::peer_error::PeerError;
use crate::version::ids::BundleVersion;

/// The version of the encoding, which is the first byte of each message.
pub const MESSAGE_VERSION: u8 = 1;

/// Maximum size of a message in bytes; a bundle may have up to 1 MB.
pub const MAX_MESSAGE_BYTES: usize = 1_200_000;

/// A request to a peer, which is answered by one [`PeerReply`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerRequest {
    /// A heartbeat with the sender's digest; answered with the receiver's.
    Heartbeat(PeerDigest),
    /// Requests the signed bundle if it is newer than the given version.
    FetchBundle { newer_than: BundleVersion },
    /// A message for one component, encoded by that component.
    Part {
        part: PeerComponent,
        payload: Vec<u8>,
    },
}

/// The component of a process that a message is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerComponent {
    /// The shares of the teams' rates.
    Shares,
    /// The permits for the slots of a service.
    Slots,
}

/// The answer to a [`PeerRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerReply {
    /// The answer to a heartbeat.
    Heartbeat(PeerDigest),
    /// The signed bundle in the form in which it is stored, or `None` if there is no newer one.
    Bundle(Option<String>),
    /// The answer of a component, encoded by that component.
    Part(Vec<u8>),
    /// The receiver cannot answer at present.
    Unavailable,
}

/// Encodes a message with its version byte; fails if it exceeds [`MAX_MESSAGE_BYTES`].
pub fn encode_message<T: Serialize>(message: &T) -> Result<Vec<u8>, PeerError> {
    let mut bytes = vec![MESSAGE_VERSION];
    let body = postcard::to_allocvec(message).map_err(|_| PeerError::Malformed)?;
    bytes.extend_from_slice(&body);
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(PeerError::TooLarge { bytes: bytes.len() });
    }
    Ok(bytes)
}

/// Decodes a message; fails if the version is unknown or bytes are left over.
pub fn decode_message<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, PeerError> {
    match bytes.split_first() {
        Some((&MESSAGE_VERSION, body)) => {
            let (message, rest) =
                postcard::take_from_bytes(body).map_err(|_| PeerError::Malformed)?;
            if rest.is_empty() {
                Ok(message)
            } else {
                Err(PeerError::Malformed)
            }
        }
        Some((&version, _)) => Err(PeerError::UnknownVersion { version }),
        None => Err(PeerError::Malformed),
    }
}
