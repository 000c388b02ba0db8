//! Collects an instance's observations until they are reported.

use std::collections::VecDeque;

use crate::pace_sample::PaceSample;

/// Maximum number of samples in a report; 80 samples of at most 14 bytes fit one datagram.
pub const MAX_REPORT_SAMPLES: usize = 80;

/// The newest samples of an instance that have not been reported.
#[derive(Debug, Clone, Default)]
pub struct PaceReport {
    samples: VecDeque<PaceSample>,
}

impl PaceReport {
    /// Adds a sample and drops the oldest one if there are too many.
    pub fn record(&mut self, sample: PaceSample) {
        if self.samples.len() == MAX_REPORT_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(sample);
    }

    /// Removes and returns the samples.
    pub fn take(&mut self) -> Vec<PaceSample> {
        self.samples.drain(..).collect()
    }
}
