//! Chooses the endpoints of reads by the digest of the zone.
//!
//! The digest gives each slow or failing endpoint the fraction of its load that it still gets. Each
//! instance draws by that fraction, so that load moves gradually: a choice of the fastest endpoint
//! by a picture that all instances share would move all of them at once.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::monotonic_time::MonotonicTime;
use crate::pace_digest::DigestEntry;
use crate::pace_digest::PaceDigest;
use crate::pace_sample::EndpointTag;

/// Age of a digest after which an instance goes by its own observations: four reports.
pub const DIGEST_LIFE: Duration = Duration::from_millis(2_000);

/// Maximum fraction by which a cost is raised at random, so that endpoints of about the same cost
/// share the load.
const COST_JITTER: f64 = 0.1;

/// Fraction of the reads that go to any candidate, whatever its cost. Without them, a zone whose
/// instances all prefer a slow endpoint would never see that its work can take less time.
const EXPLORED: f64 = 0.01;

/// An endpoint that may run a read.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PacedCandidate {
    /// The endpoint.
    pub endpoint: EndpointTag,
    /// Cost of the read there in milliseconds, without the endpoint's pace.
    pub cost_ms: f64,
}

/// The zone's picture of the endpoints, as this instance received it.
#[derive(Debug, Clone, Default)]
pub struct EndpointPace {
    /// When the report was sent that the newest digest answers.
    reported_at: Option<MonotonicTime>,
    entries: BTreeMap<EndpointTag, DigestEntry>,
    random_state: u64,
}

impl EndpointPace {
    /// Creates an empty picture. Instances with different seeds choose independently.
    pub fn new(seed: u64) -> Self {
        Self {
            random_state: seed,
            ..Self::default()
        }
    }

    /// Records the digest that answers the report sent at `reported_at`, unless a newer one is
    /// known.
    pub fn record_digest(&mut self, reported_at: MonotonicTime, digest: &PaceDigest) {
        if self.reported_at.is_some_and(|known| known > reported_at) {
            return;
        }
        self.reported_at = Some(reported_at);
        let entries = digest.0.iter();
        self.entries = entries.map(|entry| (entry.endpoint, *entry)).collect();
    }

    /// Returns whether the newest digest is recent enough to choose by.
    pub fn is_current(&self, now: MonotonicTime) -> bool {
        self.reported_at
            .is_some_and(|at| now.saturating_since(at) < DIGEST_LIFE)
    }

    /// Returns the digest's entry of an endpoint, or `None` if the endpoint gets its full load.
    pub fn entry(&self, endpoint: EndpointTag) -> Option<&DigestEntry> {
        self.entries.get(&endpoint)
    }

    /// Returns the endpoints that get less than their full load.
    pub fn entries(&self) -> impl Iterator<Item = &DigestEntry> {
        self.entries.values()
    }

    /// Returns the index of the candidate that a read uses: the cheapest one that is drawn by its
    /// admitted fraction, or one that is due for an observation. Returns `None` if there are no
    /// candidates.
    pub fn choose(&mut self, candidates: &[PacedCandidate]) -> Option<usize> {
        for (index, candidate) in candidates.iter().enumerate() {
            let entry = self.entries.get(&candidate.endpoint).copied();
            if entry.is_some_and(|entry| self.draw() < entry.probed.as_ratio()) {
                return Some(index);
            }
        }
        if self.draw() < EXPLORED && !candidates.is_empty() {
            return Some((self.draw() * candidates.len() as f64) as usize);
        }
        let mut order: Vec<(f64, usize)> = Vec::with_capacity(candidates.len());
        for (index, candidate) in candidates.iter().enumerate() {
            let jitter = 1.0 + COST_JITTER * self.draw();
            order.push((candidate.cost_ms * jitter, index));
        }
        order.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut fallback: Option<(f64, usize)> = None;
        for (_, index) in order {
            let entry = self.entries.get(&candidates[index].endpoint);
            let admitted = entry.map_or(1.0, |entry| entry.admitted.as_ratio());
            if self.draw() < admitted {
                return Some(index);
            }
            if fallback.is_none_or(|(most, _)| admitted > most) {
                fallback = Some((admitted, index));
            }
        }
        fallback.map(|(_, index)| index)
    }

    /// Returns the next number from 0 to 1 of a SplitMix64 generator.
    fn draw(&mut self) -> f64 {
        self.random_state = self.random_state.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut bits = self.random_state;
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        bits ^= bits >> 31;
        (bits >> 11) as f64 / (1_u64 << 53) as f64
    }
}
