//! The zone's picture of its endpoints, as the first instance of a zone returns it to the others.

use serde::Deserialize;
use serde::Serialize;

use crate::pace_sample::EndpointTag;

/// Maximum number of endpoints in a digest; 100 entries of at most 13 bytes fit one datagram.
pub const MAX_DIGEST_ENTRIES: usize = 100;

/// A fraction from 0 to 1 in steps of 1/255.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ByteFraction(u8);

impl ByteFraction {
    /// Returns the fraction as a number from 0 to 1.
    pub fn as_ratio(self) -> f64 {
        f64::from(self.0) / 255.0
    }
}

impl From<f64> for ByteFraction {
    fn from(ratio: f64) -> Self {
        Self((ratio.clamp(0.0, 1.0) * 255.0).round() as u8)
    }
}

/// An endpoint that gets less than its full load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct DigestEntry {
    /// The endpoint.
    pub endpoint: EndpointTag,
    /// Fraction of the reads it would otherwise get that it gets.
    pub admitted: ByteFraction,
    /// Fraction of all reads of its service that go to it in any case, to observe its recovery.
    pub probed: ByteFraction,
    /// Its pace in tenths: the time of its statements relative to the lowest of their kinds.
    pub pace_tenths: u16,
    /// Fraction of statements that it refused, broke or failed.
    pub failed: ByteFraction,
}

/// The endpoints of a zone's picture that get less than their full load. All others get it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PaceDigest(pub Vec<DigestEntry>);
