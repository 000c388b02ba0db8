//! Counts of failed statements.

/// Minimum number of statements for a judgement.
const MIN_STATEMENTS: u32 = 5;

/// Number of failures that do not count, because one reset connection causes as many.
const TOLERATED_FAILURES: u32 = 1;

/// Numbers of recent statements.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FailureCount {
    /// Statements that failed.
    pub failed: u32,
    /// All statements.
    pub total: u32,
}

impl FailureCount {
    /// Returns the fraction of failed statements beyond the tolerated ones, or `None` if there are
    /// too few statements.
    pub fn ratio(self) -> Option<f64> {
        let counted = self.failed.saturating_sub(TOLERATED_FAILURES);
        (self.total >= MIN_STATEMENTS).then(|| f64::from(counted) / f64::from(self.total))
    }

    /// Adds the statements of another count.
    pub fn add(&mut self, other: FailureCount) {
        self.failed += other.failed;
        self.total += other.total;
    }

    /// Removes the statements of another count that was added.
    pub fn remove(&mut self, other: FailureCount) {
        self.failed -= other.failed;
        self.total -= other.total;
    }
}
