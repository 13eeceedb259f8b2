//! Tests of requests whose callers disconnect.

use std::time::{Duration, Instant};

use super::{full, not_run, plan};
use crate::error::ErrorKind;
use crate::routing::message::{Outcome, RequestPlan, RoutingAction, RoutingEvent};
use crate::routing::state::RoutingState;

/// Returns a state in which request 1 looks for a free slot at its first server.
fn looking_for_a_slot(now: Instant, repeatable: bool) -> RoutingState {
    let mut state = full::state();
    let plan = RequestPlan {
        repeatable,
        ..plan(now + Duration::from_secs(10))
    };
    state.handle(now, RoutingEvent::Dispatch(plan));
    state
}

/// Returns whether any of these actions sends an attempt.
fn sends(actions: &[RoutingAction]) -> bool {
    let is_send = |action: &RoutingAction| matches!(action, RoutingAction::Send { .. });
    actions.iter().any(is_send)
}

#[test]
fn a_request_whose_caller_left_is_not_sent_on_by_a_guard_that_is_busy() {
    // Arrange
    let now = Instant::now();
    let mut state = looking_for_a_slot(now, true);

    // Act
    let left = state.handle(now, RoutingEvent::CallerLeft(1));
    let refused = state.handle(now, not_run(1, ErrorKind::Busy, None));

    // Assert
    assert!(!sends(&left) && !sends(&refused));
    assert_eq!(state.open_count(), 0);
}

#[test]
fn a_disconnect_ends_the_attempt_without_waiting_for_its_guard() {
    for repeatable in [false, true] {
        // Arrange
        let now = Instant::now();
        let mut state = looking_for_a_slot(now, repeatable);

        // Act
        let actions = state.handle(now, RoutingEvent::CallerLeft(1));

        // Assert
        let is_end = |action: &RoutingAction| {
            let failed = |outcome: &Outcome| matches!(outcome, Outcome::Failed { .. });
            matches!(action, RoutingAction::Finish { outcome, .. } if failed(outcome))
        };
        assert!(actions.iter().any(is_end), "{actions:?}");
        assert_eq!(state.open_count(), 0);
    }
}
