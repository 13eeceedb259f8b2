//! Requests and fences that arrive for different incarnations of the guard's daemon.

use std::time::Instant;

use super::*;
use crate::types::Incarnation;

/// Incarnation of an earlier process of this daemon, which peers knew until now.
const ENDED_INCARNATION: Incarnation = 20;
/// Later incarnation under which this process continues.
const RAISED_INCARNATION: Incarnation = 30;

/// Returns the arrival of a request that is addressed to this incarnation of the daemon.
fn request_for(number: u128, incarnation: Incarnation, now: Instant) -> GuardEvent {
    GuardEvent::Arrived(GuardRequest {
        incarnation,
        ..request(number, now)
    })
}

/// Returns a fence of attempt 1 that is addressed to this incarnation of the daemon.
fn fence_for(number: u128, incarnation: Incarnation) -> GuardEvent {
    GuardEvent::Fence(FenceRequest {
        request: id(1, number),
        attempt: 1,
        incarnation,
    })
}

/// Returns a guard that runs a request of its first incarnation and continues under another one.
fn raised_guard(now: Instant) -> GuardState {
    let mut state = guard_with_one_slot(now);
    state.handle(now, GuardEvent::Arrived(request(1, now)));
    state.handle(now, GuardEvent::Incarnation(RAISED_INCARNATION));
    state
}

#[test]
fn attempts_for_own_incarnations_start_and_for_an_ended_one_are_refused() {
    // Arrange
    let now = Instant::now();
    let mut state = raised_guard(now);
    state.handle(now, finished(1, ServerOutcome::Answered(200)));

    // Act
    let dead = state.handle(now, request_for(2, ENDED_INCARNATION, now));
    let raised = state.handle(now, request_for(3, RAISED_INCARNATION, now));
    state.handle(now, finished(3, ServerOutcome::Answered(200)));
    let first = state.handle(now, request_for(4, INCARNATION, now));

    // Assert
    assert_eq!(refusal_of(&dead, 2), Some(ErrorKind::NoServer));
    assert!(starts(&raised, 3));
    assert!(starts(&first, 4));
}

#[test]
fn fences_for_own_incarnations_share_one_record() {
    // Arrange
    let now = Instant::now();
    let mut state = raised_guard(now);

    // Act
    let first = state.handle(now, fence_for(1, INCARNATION));
    let raised = state.handle(now, fence_for(1, RAISED_INCARNATION));
    let unstarted = state.handle(now, fence_for(2, RAISED_INCARNATION));

    // Assert
    let answered = GuardAction::FenceAnswered;
    assert_eq!(first, [answered(FenceAnswer::Running)]);
    assert_eq!(raised, [answered(FenceAnswer::Running)]);
    assert_eq!(unstarted, [answered(FenceAnswer::Fenced)]);
}

#[test]
fn a_fence_for_an_ended_incarnation_is_not_answered_from_the_present_record() {
    // Arrange
    let now = Instant::now();
    let mut state = raised_guard(now);

    // Act
    let actions = state.handle(now, fence_for(2, ENDED_INCARNATION));

    // Assert
    assert_eq!(actions, [GuardAction::FenceAnswered(FenceAnswer::Unknown)]);
}

#[test]
fn an_attempt_does_not_start_again_under_a_raised_incarnation() {
    // Arrange
    let now = Instant::now();
    let mut state = raised_guard(now);
    state.handle(now, finished(1, ServerOutcome::Answered(200)));

    // Act
    let again = state.handle(now, request_for(1, RAISED_INCARNATION, now));

    // Assert
    assert_eq!(refusal_of(&again, 1), Some(ErrorKind::OutcomeUnknown));
}
