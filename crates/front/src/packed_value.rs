//! Values of the store in the form in which instances keep and relay them: long ones are
//! compressed.
//!
//! The configuration of a large fleet is about a megabyte long, and the links of small instances
//! carry ten megabits per second. The instance that reads a value from the store compresses it
//! once.

use std::io;
use std::io::Read;
use std::io::Write;

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::Deserialize;
use serde::Serialize;

/// Minimum length of a value that is compressed, in bytes; shorter ones gain nothing.
const MIN_COMPRESSED_BYTES: usize = 1_024;

/// Maximum length of a decompressed value in bytes: several times the longest value in the store.
const MAX_VALUE_BYTES: u64 = 16 * 1024 * 1024;

/// A value that may be compressed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PackedValue {
    bytes: Bytes,
    is_compressed: bool,
}

impl PackedValue {
    /// Compresses a value if that makes it shorter.
    pub fn pack(value: Vec<u8>) -> Self {
        match compress(&value) {
            Some(bytes) => Self {
                bytes: bytes.into(),
                is_compressed: true,
            },
            None => Self {
                bytes: value.into(),
                is_compressed: false,
            },
        }
    }

    /// Returns the decompressed value.
    ///
    /// # Errors
    ///
    /// Fails if the bytes cannot be decompressed or the value is longer than [`MAX_VALUE_BYTES`].
    pub fn unpack(&self) -> io::Result<Vec<u8>> {
        if !self.is_compressed {
            return Ok(self.bytes.to_vec());
        }
        let mut value = Vec::new();
        let mut decoder = DeflateDecoder::new(&self.bytes[..]).take(MAX_VALUE_BYTES + 1);
        decoder.read_to_end(&mut value)?;
        match value.len() as u64 > MAX_VALUE_BYTES {
            true => Err(io::Error::from(io::ErrorKind::InvalidData)),
            false => Ok(value),
        }
    }
}

fn compress(value: &[u8]) -> Option<Vec<u8>> {
    if value.len() < MIN_COMPRESSED_BYTES {
        return None;
    }
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(value).ok()?;
    encoder
        .finish()
        .ok()
        .filter(|packed| packed.len() < value.len())
}
