use std::time::{Duration, Instant};

use super::{Breaker, CallEnd, STARVED_FACTOR};

const OPEN_TIME: Duration = Duration::from_millis(300);

fn opened(now: Instant) -> Breaker {
    let mut breaker = Breaker::new(OPEN_TIME);
    breaker.ended(now, CallEnd::Broken);
    breaker
}

#[test]
fn one_broken_call_opens_it() {
    let now = Instant::now();
    assert!(!opened(now).admits(now, true));
}

#[test]
fn one_failed_answer_among_good_ones_leaves_it_closed_and_two_open_it() {
    // Arrange
    let now = Instant::now();
    let mut breaker = Breaker::new(OPEN_TIME);

    // Act
    breaker.ended(now, CallEnd::FailedAnswer);
    breaker.ended(now, CallEnd::Good);
    let after_one = breaker.admits(now, false);
    breaker.ended(now, CallEnd::FailedAnswer);

    // Assert
    assert!(after_one);
    assert!(!breaker.admits(now, false));
}

#[test]
fn after_the_open_time_one_request_that_may_run_twice_probes() {
    // Arrange
    let now = Instant::now();
    let mut breaker = opened(now);
    let later = now + OPEN_TIME;

    // Act and assert
    assert!(!breaker.admits(later, false));
    assert!(breaker.admits(later, true));
    breaker.started();
    assert!(!breaker.admits(later, true));
}

#[test]
fn a_good_probe_closes_it_and_a_bad_one_doubles_the_open_time() {
    // Arrange
    let now = Instant::now();
    let later = now + OPEN_TIME;
    let mut good = opened(now);
    let mut bad = opened(now);

    // Act
    good.ended(later, CallEnd::Good);
    bad.ended(later, CallEnd::Broken);

    // Assert
    assert!(good.admits(later, false));
    assert_eq!(bad.open_for(later), Some(OPEN_TIME * 2));
}

#[test]
fn without_requests_that_may_run_twice_any_request_probes_in_the_end() {
    let now = Instant::now();
    let breaker = opened(now);
    assert!(breaker.admits(now + OPEN_TIME * (STARVED_FACTOR + 1), false));
}

#[test]
fn without_an_open_time_it_never_opens() {
    let now = Instant::now();
    let mut breaker = Breaker::new(Duration::ZERO);
    breaker.ended(now, CallEnd::Broken);
    assert!(breaker.admits(now, false));
}
