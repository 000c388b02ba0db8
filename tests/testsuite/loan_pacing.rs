//! Guards against loan requests that keep an overloaded lender overloaded, and against answers that are
//! taken for those to other requests.

use std::time::Duration;

use session_core::loan_pacer::LoanPacer;
use session_core::loan_pacer::REQUEST_PAUSE;
use session_core::loan_requests::LoanRequests;
use session_core::monotonic_time::MonotonicTime;
use session_core::rate_share::RateShare;

/// Returns how many loan requests an instance sends in a second in which a caller always waits.
fn count_requests(answered: bool) -> usize {
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

/// Without answers the pause between requests must grow; an answer must reset it.
#[test]
fn silence_slows_requests() {
    let fast = count_requests(true);
    let slow = count_requests(false);
    assert!(fast as u128 >= 1_000 / REQUEST_PAUSE.as_millis(), "{fast}");
    assert!(slow <= 12, "{slow}");
}

/// After a lender had no tokens left, an instance must pause before it requests more.
#[test]
fn exhausted_lender_is_not_queried() {
    let start = MonotonicTime::from_millis(1_000);
    let mut share = RateShare::new(start);
    assert!(share.wanted(3, start) >= 3.0);
    share.record_exhausted(start);
    assert!(share.wanted(3, start + Duration::from_millis(20)) < 1.0);
    assert!(share.wanted(3, start + Duration::from_millis(60)) >= 3.0);
}

/// The answer to a report that wants no tokens lends none. Taken for the answer to the request after it,
/// it would lose the tokens that the lender has deducted for that one.
#[test]
fn report_answers_no_request() {
    let start = MonotonicTime::from_millis(1_000);
    let mut requests = LoanRequests::new(7);
    let report = requests.create(false, start);
    let requested_at = start + Duration::from_millis(1);
    let request = requests.create(true, requested_at);
    let later_report = requests.create(false, start + Duration::from_millis(2));
    assert_eq!(requests.accept_answer(report), None);
    assert_eq!(requests.accept_answer(later_report), None);
    assert_eq!(requests.accept_answer(request), Some(requested_at));
    assert_eq!(requests.accept_answer(request), None);
}
