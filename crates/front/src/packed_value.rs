//! Values of the store as instances keep and relay them: long ones are compressed.
//!
//! The configuration of a large fleet takes a megabyte, and the links of small instances ten
//! megabits a second. It is compressed once, by the instance that reads it from the store.

use std::io;
use std::io::Read;
use std::io::Write;

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::Deserialize;
use serde::Serialize;

/// The length from which a value is compressed; shorter ones gain nothing.
const LEAST_PACKED_BYTES: usize = 1_024;

/// The longest value after unpacking: several times the longest value of the store.
const MAX_VALUE_BYTES: u64 = 16 * 1024 * 1024;

/// A value, compressed or not.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PackedValue {
    bytes: Bytes,
    is_compressed: bool,
}

impl PackedValue {
    /// Compresses a value where that helps.
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

    /// Returns the value.
    ///
    /// # Errors
    ///
    /// Fails where the compressed bytes cannot be read, or are too long.
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
    if value.len() < LEAST_PACKED_BYTES {
        return None;
    }
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(value).ok()?;
    encoder
        .finish()
        .ok()
        .filter(|packed| packed.len() < value.len())
}
