//! Numbers the loan requests of an instance and matches the answers to them.

use std::collections::BTreeMap;

use crate::monotonic_time::MonotonicTime;
use crate::rate_lender::LOAN_TIME;

/// Requests for tokens that have not been answered.
#[derive(Debug, Clone)]
pub struct LoanRequests {
    next_number: u64,
    open: BTreeMap<u64, MonotonicTime>,
}

impl LoanRequests {
    /// Starts with a number that must differ between the incarnations of an instance, so that answers
    /// to an earlier one are not accepted.
    pub fn new(first_number: u64) -> Self {
        Self {
            next_number: first_number,
            open: BTreeMap::new(),
        }
    }

    /// Returns the number of a request that is sent now. The answer to one that wants no tokens is
    /// not awaited, but it has a number of its own: its answer lends nothing, and would otherwise be
    /// taken for that to the next request.
    pub fn create(&mut self, wants_tokens: bool, now: MonotonicTime) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        if wants_tokens {
            self.open
                .retain(|_, requested_at| now.saturating_since(*requested_at) < LOAN_TIME);
            self.open.insert(number, now);
        }
        number
    }

    /// Returns when the request with this number was sent, once for each request, or `None` if no
    /// answer to it is awaited.
    pub fn accept_answer(&mut self, number: u64) -> Option<MonotonicTime> {
        self.open.remove(&number)
    }
}
