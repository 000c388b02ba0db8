//! The parts into which each rate is divided, and which instance lends each of them.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// Number of parts of each rate. Without one of its lenders, a team still gets three quarters of its
/// rate; more parts would make each too small for teams with a rate of a few operations per second.
pub const PART_COUNT: usize = 4;

/// Set of parts of each rate.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PartSet(u8);

impl PartSet {
    /// Returns whether the set has this part.
    pub fn contains(self, part: usize) -> bool {
        self.0 & (1 << part) != 0
    }

    /// Adds a part.
    pub fn insert(&mut self, part: usize) {
        self.0 |= 1 << part;
    }

    /// Returns whether the set has no parts.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }
}

/// Address of the lender of each part, as it is kept in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LenderTable([SocketAddr; PART_COUNT]);

impl LenderTable {
    /// Divides the parts among the first candidates, or gives all of them to `own` if there are
    /// none.
    pub fn new(candidates: &[SocketAddr], own: SocketAddr) -> Self {
        Self(std::array::from_fn(|part| {
            let count = candidates.len().clamp(1, PART_COUNT);
            candidates.get(part % count).copied().unwrap_or(own)
        }))
    }

    /// Returns the lender of a part.
    pub fn lender(&self, part: usize) -> SocketAddr {
        self.0[part]
    }

    /// Sets the lender of a part.
    pub fn set_lender(&mut self, part: usize, lender: SocketAddr) {
        self.0[part] = lender;
    }

    /// Returns the parts of a lender.
    pub fn parts(&self, lender: SocketAddr) -> PartSet {
        let mut parts = PartSet::default();
        for part in 0..PART_COUNT {
            if self.0[part] == lender {
                parts.insert(part);
            }
        }
        parts
    }

    /// Returns each lender once, in the order of their parts.
    pub fn lenders(&self) -> Vec<SocketAddr> {
        let mut lenders = Vec::new();
        for lender in self.0 {
            if !lenders.contains(&lender) {
                lenders.push(lender);
            }
        }
        lenders
    }
}
