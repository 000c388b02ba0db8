//! Guards against comparing points of different terms by position alone.

use tamaracklb::request::log_point::LogPoint;

#[test]
fn later_term_wins() {
    assert!(LogPoint::new(3, 10) > LogPoint::new(2, 500));
}

#[test]
fn text_round_trip() {
    let point = LogPoint::new(7, 42);
    assert_eq!(point.to_string().parse(), Ok(point));
}
