//! Chooses the instance to which an instance reports its reads.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::monotonic_time::MonotonicTime;

/// Time after an unanswered report after which another instance is chosen: two further reports.
const SILENCE_TIME: Duration = Duration::from_millis(1_200);

/// Time for which an instance that did not answer is not chosen.
const EXCLUSION_TIME: Duration = Duration::from_secs(5);

/// The first instance of the zone that answers reports.
#[derive(Debug, Clone, Default)]
pub struct CollectorChoice {
    chosen: Option<SocketAddr>,
    /// When the oldest report was sent that has no answer, nor any report after it.
    unanswered_since: Option<MonotonicTime>,
    silent_until: BTreeMap<SocketAddr, MonotonicTime>,
}

impl CollectorChoice {
    /// Returns the first of the ranked addresses that is not known to be silent.
    pub fn choose(&mut self, ranked: &[SocketAddr], now: MonotonicTime) -> Option<SocketAddr> {
        self.silent_until.retain(|_, until| now < *until);
        if let (Some(chosen), Some(since)) = (self.chosen, self.unanswered_since)
            && now.saturating_since(since) >= SILENCE_TIME
        {
            self.silent_until.insert(chosen, now + EXCLUSION_TIME);
        }
        let mut answering = ranked.iter().filter(|a| !self.silent_until.contains_key(a));
        let chosen = answering.next().copied();
        if chosen != self.chosen {
            self.chosen = chosen;
            self.unanswered_since = None;
        }
        chosen
    }

    /// Records that a report was sent to the chosen instance.
    pub fn record_report(&mut self, now: MonotonicTime) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Records an answer. Returns whether it came from the chosen instance.
    pub fn record_answer(&mut self, from: SocketAddr) -> bool {
        let expected = self.chosen == Some(from);
        if expected {
            self.unanswered_since = None;
        }
        expected
    }
}
