use std::time::Instant;

use super::*;
use crate::types::Incarnation;

/// A number that an earlier process of this daemon bore, and that peers knew until now.
const DEAD_LIFE: Incarnation = 20;
const RAISED_LIFE: Incarnation = 30;

fn request_for(number: u128, incarnation: Incarnation, now: Instant) -> GuardEvent {
    GuardEvent::Arrived(GuardRequest {
        incarnation,
        ..request(number, now)
    })
}

fn fence_for(number: u128, incarnation: Incarnation) -> GuardEvent {
    GuardEvent::Fence(FenceRequest {
        request: id(1, number),
        attempt: 1,
        incarnation,
    })
}

/// A guard that runs a request of its first life, and has gone on under another number.
fn raised_guard(now: Instant) -> GuardState {
    let mut state = guard_with_one_slot(now);
    state.handle(now, GuardEvent::Arrived(request(1, now)));
    state.handle(now, GuardEvent::Incarnation(RAISED_LIFE));
    state
}

#[test]
fn attempts_for_each_number_of_this_process_are_taken_and_for_a_dead_life_refused() {
    // Arrange
    let now = Instant::now();
    let mut state = raised_guard(now);
    state.handle(now, finished(1, ServerOutcome::Answered(200)));

    // Act
    let dead = state.handle(now, request_for(2, DEAD_LIFE, now));
    let raised = state.handle(now, request_for(3, RAISED_LIFE, now));
    state.handle(now, finished(3, ServerOutcome::Answered(200)));
    let first = state.handle(now, request_for(4, LIFE, now));

    // Assert
    assert_eq!(refusal_of(&dead, 2), Some(ErrorKind::NoServer));
    assert!(starts(&raised, 3));
    assert!(starts(&first, 4));
}

#[test]
fn fences_for_each_number_of_this_process_look_into_one_record() {
    // Arrange
    let now = Instant::now();
    let mut state = raised_guard(now);

    // Act
    let first = state.handle(now, fence_for(1, LIFE));
    let raised = state.handle(now, fence_for(1, RAISED_LIFE));
    let unstarted = state.handle(now, fence_for(2, RAISED_LIFE));

    // Assert
    let answered = GuardAction::FenceAnswered;
    assert_eq!(first, [answered(FenceAnswer::Running)]);
    assert_eq!(raised, [answered(FenceAnswer::Running)]);
    assert_eq!(unstarted, [answered(FenceAnswer::Fenced)]);
}

#[test]
fn a_fence_for_a_life_that_is_over_is_not_answered_from_the_record_of_this_one() {
    // Arrange
    let now = Instant::now();
    let mut state = raised_guard(now);

    // Act
    let actions = state.handle(now, fence_for(2, DEAD_LIFE));

    // Assert
    assert_eq!(actions, [GuardAction::FenceAnswered(FenceAnswer::Unknown)]);
}

#[test]
fn an_attempt_under_a_new_number_does_not_repeat_one_under_the_old() {
    // Arrange
    let now = Instant::now();
    let mut state = raised_guard(now);
    state.handle(now, finished(1, ServerOutcome::Answered(200)));

    // Act
    let again = state.handle(now, request_for(1, RAISED_LIFE, now));

    // Assert
    assert_eq!(refusal_of(&again, 1), Some(ErrorKind::OutcomeUnknown));
}
