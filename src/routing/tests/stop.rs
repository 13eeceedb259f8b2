//! Tests of requests at a daemon that is about to end.

use std::time::{Duration, Instant};

use super::parked::{dispatch, refused, state};
use crate::error::ErrorKind;
use crate::routing::message::{RoutingAction, RoutingEvent};
use crate::routing::state::RoutingState;

/// Time that an attempt is expected to need at most: the target, as no attempt was timed.
const NEEDED: Duration = Duration::from_secs(1);

/// Returns a state with an open server, of a process that ends after `time_left`.
fn leaving(now: Instant, time_left: Duration) -> RoutingState {
    let mut state = state(now, 0.5);
    let ends_at = now + time_left;
    state.handle(now, RoutingEvent::Leaving { ends_at });
    state
}

#[test]
fn a_request_that_would_outlast_the_process_is_refused_as_not_run() {
    let now = Instant::now();
    let late = dispatch(&mut leaving(now, NEEDED / 2), now);
    let early = dispatch(&mut leaving(now, NEEDED * 2), now);
    assert_eq!(refused(&late), Some(ErrorKind::Stopping));
    assert!(matches!(&early[..], [RoutingAction::Send { .. }]));
}

#[test]
fn an_attempt_that_still_queues_when_too_little_time_is_left_is_taken_back_once() {
    // Arrange
    let now = Instant::now();
    let mut state = leaving(now, NEEDED * 2);
    dispatch(&mut state, now);

    // Act
    let due_at = state.next_tick_at();
    let due = state.handle(now + NEEDED, RoutingEvent::Tick);
    let again = state.handle(now + NEEDED, RoutingEvent::Tick);

    // Assert
    assert_eq!(due_at, Some(now + NEEDED));
    assert!(matches!(&due[..], [RoutingAction::Fence { .. }]));
    assert!(again.is_empty());
    assert_eq!(state.next_tick_at(), None);
}

#[test]
fn requests_that_run_when_the_process_ends_are_answered_as_unknown() {
    // Arrange
    let now = Instant::now();
    let mut state = leaving(now, NEEDED * 2);
    dispatch(&mut state, now);

    // Act
    let actions = state.handle(now + NEEDED * 2, RoutingEvent::Ending);

    // Assert
    assert_eq!(refused(&actions), Some(ErrorKind::OutcomeUnknown));
    assert_eq!(state.open_count(), 0);
}
