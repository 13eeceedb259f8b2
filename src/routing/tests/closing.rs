//! Tests of what a process that is about to end does with its open requests.

use std::time::{Duration, Instant};

use super::parked::{dispatch, refused, state};
use crate::error::ErrorKind;
use crate::link::FenceAnswer;
use crate::routing::message::{RoutingAction, RoutingEvent};

/// Longer than any wait in these tests.
const HOUR: Duration = Duration::from_secs(3600);

/// Returns the answer of a guard to the fence of attempt 1.
fn fenced(answer: FenceAnswer) -> RoutingEvent {
    RoutingEvent::Fenced {
        request: 1,
        attempt: 1,
        answer: Some(answer),
    }
}

#[test]
fn a_closing_daemon_fences_attempts_that_queue_at_a_guard() {
    // Arrange
    let now = Instant::now();
    let mut state = state(now, 0.0);
    dispatch(&mut state, now);

    // Act
    let asked = state.handle(now, RoutingEvent::Closing);
    let taken_back = state.handle(now, fenced(FenceAnswer::Fenced));

    // Assert
    assert!(matches!(&asked[..], [RoutingAction::Fence { .. }]));
    assert_eq!(refused(&taken_back), Some(ErrorKind::Stopping));
}

#[test]
fn a_closing_daemon_awaits_the_answers_of_running_attempts() {
    // Arrange
    let now = Instant::now();
    let mut state = state(now, 0.0);
    dispatch(&mut state, now);
    state.handle(now, RoutingEvent::Closing);

    // Act
    let actions = state.handle(now, fenced(FenceAnswer::Unknown));

    // Assert
    assert!(actions.is_empty());
    assert_eq!(state.open_count(), 1);
}

#[test]
fn a_closing_daemon_refuses_parked_requests() {
    // Arrange
    let now = Instant::now();
    let mut state = state(now + Duration::from_millis(100), 0.5);
    dispatch(&mut state, now);

    // Act
    let actions = state.handle(now, RoutingEvent::Closing);

    // Assert
    assert_eq!(refused(&actions), Some(ErrorKind::Stopping));
    assert!(state.handle(now + HOUR, RoutingEvent::Tick).is_empty());
}
