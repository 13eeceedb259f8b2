//! Tests of requests that may wait only briefly for a slot.

use std::time::{Duration, Instant};

use super::{finished, guard_with_one_slot, refusal_of, request, starts};
use crate::error::ErrorKind;
use crate::guard::message::{GuardEvent, GuardRequest, ServerOutcome};
use crate::guard::state::GuardState;
use crate::types::RequestId;
use crate::wire::forward::AttemptTerms;

/// Time that the server takes for a request.
const TYPICAL_TIME: Duration = Duration::from_millis(100);

/// Returns a guard whose only slot is in use and whose server takes 100 ms for a request.
fn busy_guard(now: Instant) -> GuardState {
    let mut state = guard_with_one_slot(now);
    state.handle(now, GuardEvent::Arrived(request(1, now)));
    let answered = GuardEvent::Finished {
        key: (super::id(1, 1), 1),
        outcome: ServerOutcome::Answered(200),
        elapsed: TYPICAL_TIME,
    };
    state.handle(now, answered);
    state.handle(now, GuardEvent::Arrived(request(2, now)));
    state
}

/// Returns the arrival of a request that may wait at most `wait_limit` for a slot.
fn arrives(number: u128, now: Instant, wait_limit: Duration) -> GuardEvent {
    GuardEvent::Arrived(GuardRequest {
        terms: AttemptTerms {
            wait_limit_ms: Some(wait_limit.as_millis() as u32),
            ..Default::default()
        },
        ..request(number, now)
    })
}

#[test]
fn a_request_waits_if_the_expected_wait_is_within_its_limit() {
    // Arrange
    let now = Instant::now();
    let mut state = busy_guard(now);

    // Act
    let waiting = state.handle(now, arrives(3, now, TYPICAL_TIME * 2));
    let freed = state.handle(now, finished(2, ServerOutcome::Answered(200)));

    // Assert
    assert_eq!(refusal_of(&waiting, 3), None);
    assert!(starts(&freed, 3));
}

#[test]
fn a_request_is_refused_at_once_if_the_expected_wait_exceeds_its_limit() {
    let now = Instant::now();
    for wait_limit in [Duration::ZERO, TYPICAL_TIME / 2] {
        // Arrange
        let mut state = busy_guard(now);

        // Act
        let refused = state.handle(now, arrives(3, now, wait_limit));

        // Assert
        assert_eq!(refusal_of(&refused, 3), Some(ErrorKind::Busy));
    }
}

#[test]
fn a_request_with_no_wait_allowed_is_refused_before_any_time_is_known() {
    // Arrange
    let now = Instant::now();
    let mut state = guard_with_one_slot(now);
    state.handle(now, GuardEvent::Arrived(request(1, now)));

    // Act
    let refused = state.handle(now, arrives(2, now, Duration::ZERO));

    // Assert
    let number: RequestId = 2;
    assert_eq!(refusal_of(&refused, number), Some(ErrorKind::Busy));
}

#[test]
fn a_request_that_would_outlast_a_leaving_daemon_is_refused_as_not_run() {
    // Arrange
    let now = Instant::now();
    let leaving = |time_left| {
        let mut state = busy_guard(now);
        let ends_at = now + time_left;
        state.handle(now, GuardEvent::Leaving { ends_at });
        state.handle(now, arrives(3, now, TYPICAL_TIME * 2))
    };

    // Act
    let late = leaving(TYPICAL_TIME / 2);
    let early = leaving(TYPICAL_TIME * 4);

    // Assert
    assert_eq!(refusal_of(&late, 3), Some(ErrorKind::Stopping));
    assert_eq!(refusal_of(&early, 3), None);
}

#[test]
fn a_request_that_waits_longer_than_expected_is_refused_when_its_limit_has_passed() {
    // Arrange: the slot is expected after 100 ms, but the run in it lasts much longer.
    let now = Instant::now();
    let wait_limit = TYPICAL_TIME * 2;
    let mut state = busy_guard(now);
    let waiting = state.handle(now, arrives(3, now, wait_limit));

    // Act
    let tick_at = state.next_tick_at().expect("a tick");
    let at_limit = state.handle(tick_at, GuardEvent::Tick);
    let later = tick_at + TYPICAL_TIME;
    let freed = state.handle(later, finished(2, ServerOutcome::Answered(200)));

    // Assert
    assert_eq!(refusal_of(&waiting, 3), None);
    assert_eq!(tick_at, now + wait_limit);
    assert_eq!(refusal_of(&at_limit, 3), Some(ErrorKind::Busy));
    assert!(!starts(&freed, 3));
}

#[test]
fn a_request_whose_deadline_passes_before_its_wait_limit_is_refused_for_its_deadline() {
    // Arrange
    let now = Instant::now();
    let mut state = busy_guard(now);
    state.handle(now, arrives(3, now, Duration::from_secs(5)));

    // Act
    let deadline_at = now + Duration::from_secs(1);
    let actions = state.handle(deadline_at, GuardEvent::Tick);

    // Assert
    assert_eq!(refusal_of(&actions, 3), Some(ErrorKind::DeadlineUnmeetable));
}
