//! Tests of the circuit breaker: what opens it, what closes it, and who probes.

use std::time::{Duration, Instant};

use super::{Breaker, CallEnd, NO_TURN_WAIT, PROBE_STARVATION_FACTOR};

/// How long the breaker stays open in these tests.
const OPEN_TIME: Duration = Duration::from_millis(300);
/// Time that each recorded call took.
const CALL_TIME: Duration = Duration::from_millis(10);

/// Returns a breaker that one broken call has opened.
fn opened(now: Instant) -> Breaker {
    let mut breaker = Breaker::new(OPEN_TIME, 1);
    breaker.record_end(now, CallEnd::Broken, CALL_TIME);
    breaker
}

#[test]
fn one_broken_call_opens_the_breaker() {
    let now = Instant::now();
    assert!(!opened(now).admits(now, true));
}

#[test]
fn one_failed_answer_among_good_ones_keeps_the_breaker_closed_and_two_open_it() {
    // Arrange
    let now = Instant::now();
    let mut breaker = Breaker::new(OPEN_TIME, 1);

    // Act
    breaker.record_end(now, CallEnd::FailedAnswer, CALL_TIME);
    breaker.record_end(now, CallEnd::Good, CALL_TIME);
    let after_one = breaker.admits(now, false);
    breaker.record_end(now, CallEnd::FailedAnswer, CALL_TIME);

    // Assert
    assert!(after_one);
    assert!(!breaker.admits(now, false));
}

#[test]
fn after_the_open_time_one_repeatable_request_probes() {
    // Arrange
    let now = Instant::now();
    let mut breaker = opened(now);
    let later = now + OPEN_TIME;

    // Act and assert
    assert!(!breaker.admits(later, false));
    assert!(breaker.admits(later, true));
    breaker.record_start();
    assert!(!breaker.admits(later, true));
}

/// Returns a breaker that two failed answers opened.
fn opened_by_answers(now: Instant) -> Breaker {
    let mut breaker = Breaker::new(OPEN_TIME, 1);
    breaker.record_end(now, CallEnd::FailedAnswer, CALL_TIME);
    breaker.record_end(now, CallEnd::FailedAnswer, CALL_TIME);
    breaker
}

#[test]
fn a_good_probe_closes_the_breaker_and_a_bad_one_doubles_the_open_time() {
    // Arrange
    let now = Instant::now();
    let later = now + OPEN_TIME;
    let mut good = opened_by_answers(now);
    let mut bad = opened(now);

    // Act
    good.record_end(later, CallEnd::Good, CALL_TIME);
    bad.record_end(later, CallEnd::Broken, CALL_TIME);

    // Assert
    assert!(good.admits(later, false));
    assert_eq!(bad.open_for(later), Some(OPEN_TIME * 2));
}

#[test]
fn after_a_broken_call_two_good_probes_close_the_breaker() {
    // Arrange
    let now = Instant::now();
    let later = now + OPEN_TIME;
    let mut breaker = opened(now);

    // Act
    breaker.record_end(later, CallEnd::Good, CALL_TIME);
    let after_one = (breaker.admits(later, false), breaker.admits(later, true));
    breaker.record_end(later, CallEnd::Good, CALL_TIME);

    // Assert
    assert_eq!(after_one, (false, true));
    assert!(breaker.admits(later, false));
}

#[test]
fn calls_started_before_the_opening_neither_close_nor_extend_it() {
    // Arrange
    let now = Instant::now();
    let later = now + CALL_TIME / 2;
    let mut breaker = opened_by_answers(now);

    // Act
    breaker.record_end(later, CallEnd::Good, CALL_TIME);
    breaker.record_end(later, CallEnd::Broken, CALL_TIME);

    // Assert
    assert_eq!(breaker.open_for(now), Some(OPEN_TIME));
}

#[test]
fn a_failure_soon_after_closing_opens_the_breaker_for_longer() {
    // Arrange
    let now = Instant::now();
    let later = now + OPEN_TIME;
    let mut breaker = opened_by_answers(now);
    breaker.record_end(later, CallEnd::Good, CALL_TIME);

    // Act
    breaker.record_end(later, CallEnd::Broken, CALL_TIME);

    // Assert
    assert_eq!(breaker.open_for(later), Some(OPEN_TIME * 2));
}

#[test]
fn the_last_resort_passes_unless_calls_break_and_it_is_not_repeatable() {
    let now = Instant::now();
    assert!(opened_by_answers(now).admits_last_resort(false));
    assert!(opened(now).admits_last_resort(true));
    assert!(!opened(now).admits_last_resort(false));
}

#[test]
fn without_repeatable_requests_any_request_probes_eventually() {
    let now = Instant::now();
    let breaker = opened(now);
    assert!(breaker.admits(now + OPEN_TIME * (PROBE_STARVATION_FACTOR + 1), false));
}

#[test]
fn without_an_open_time_the_breaker_never_opens() {
    let now = Instant::now();
    let mut breaker = Breaker::new(Duration::ZERO, 1);
    breaker.record_end(now, CallEnd::Broken, CALL_TIME);
    assert!(breaker.admits(now, false));
}

#[test]
fn refused_entry_daemons_probe_one_after_the_other() {
    // Arrange
    let now = Instant::now();
    let mut breaker = opened(now);

    // Act
    let waits: Vec<Duration> = (0..30).filter_map(|_| breaker.retry_after(now)).collect();

    // Assert
    assert_eq!(waits[0], OPEN_TIME);
    assert!(waits[1] > waits[0] && waits[2] > waits[1]);
    assert_eq!(waits[29], OPEN_TIME + NO_TURN_WAIT);
}

/// Returns a closed breaker that two resets open.
fn tolerant() -> Breaker {
    Breaker::new(OPEN_TIME, 2)
}

#[test]
fn one_reset_of_a_sound_server_does_not_shut_it_and_a_second_one_does() {
    // Arrange
    let now = Instant::now();
    let mut breaker = tolerant();

    // Act
    breaker.record_end(now, CallEnd::Reset, CALL_TIME);
    breaker.record_end(now + CALL_TIME, CallEnd::Good, CALL_TIME);
    let after_one = breaker.admits(now, false);
    breaker.record_end(now + CALL_TIME * 3, CallEnd::Reset, CALL_TIME);

    // Assert
    assert!(after_one);
    assert!(!breaker.admits(now, false));
}

#[test]
fn connections_cut_at_one_moment_count_once() {
    let now = Instant::now();
    let mut breaker = tolerant();
    for _ in 0..5 {
        breaker.record_end(now, CallEnd::Reset, CALL_TIME);
    }
    assert!(breaker.admits(now, false));
}

#[test]
fn a_refused_connection_shuts_a_server_at_once() {
    let now = Instant::now();
    let mut breaker = tolerant();
    breaker.record_end(now, CallEnd::Broken, CALL_TIME);
    assert!(!breaker.admits(now, true));
}

#[test]
fn a_reset_and_a_failed_answer_shut_a_server() {
    let now = Instant::now();
    let mut breaker = tolerant();
    breaker.record_end(now, CallEnd::Reset, CALL_TIME);
    breaker.record_end(now, CallEnd::FailedAnswer, CALL_TIME);
    assert!(!breaker.admits(now, true));
}
