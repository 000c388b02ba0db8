//! Guards against loan requests that keep an overloaded leader overloaded.

use std::time::Duration;

use session_core::loan_pacer::LoanPacer;
use session_core::loan_pacer::REQUEST_PAUSE;
use session_core::monotonic_time::MonotonicTime;
use session_core::rate_share::RateShare;

/// Returns how many requests an instance sends in a second while an operation always waits.
fn requests(answered: bool) -> usize {
    let mut pacer = LoanPacer::default();
    let mut count = 0;
    for millis in 0..1_000 {
        let now = MonotonicTime::from_millis(1_000 + millis);
        if pacer.may_request(now) {
            pacer.record_request(now);
            count += 1;
            if answered {
                pacer.record_answer();
            }
        }
    }
    count
}

/// Without answers the pause must grow; with them, a request must not wait for it.
#[test]
fn silence_slows_requests() {
    let fast = requests(true);
    let slow = requests(false);
    assert!(fast as u128 >= 1_000 / REQUEST_PAUSE.as_millis(), "{fast}");
    assert!(slow <= 12, "{slow}");
}

/// Tokens that do not exist must not be requested again for each waiting operation.
#[test]
fn exhausted_lender_gets_no_requests() {
    let start = MonotonicTime::from_millis(1_000);
    let mut share = RateShare::new(start);
    assert!(share.wanted(3, start) >= 3.0);
    share.record_exhausted(start);
    assert!(share.wanted(3, start + Duration::from_millis(20)) < 1.0);
    assert!(share.wanted(3, start + Duration::from_millis(60)) >= 3.0);
}
