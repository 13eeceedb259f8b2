//! Tests of when the guard ends a run that hangs.

use std::time::{Duration, Instant};

use super::{guard_with_one_slot, id, request};
use crate::guard::message::{GuardAction, GuardEvent, GuardRequest, ServerOutcome};
use crate::guard::state::GuardState;

/// Time in which the server answers.
const RUN_TIME: Duration = Duration::from_millis(60);
/// Time after which a run of an unknown route counts as hung.
const HUNG_AFTER: Duration = Duration::from_millis(250);
/// Answers after which the guard knows the mean time.
const ANSWER_COUNT: u128 = 8;

/// Returns when the guard ends the run of a request that starts at once.
fn run_until(state: &mut GuardState, now: Instant, request: GuardRequest) -> Instant {
    let actions = state.handle(now, GuardEvent::Arrived(request));
    let until = actions.iter().find_map(|action| match action {
        GuardAction::Start { until, .. } => Some(*until),
        _ => None,
    });
    until.expect("the request starts")
}

/// Returns a request that another server could run.
fn replaceable(number: u128, now: Instant) -> GuardRequest {
    GuardRequest {
        repeatable: true,
        hung_after: Some(HUNG_AFTER),
        ..request(number, now)
    }
}

/// Lets the server answer some requests, each after `RUN_TIME`.
fn answer_some(state: &mut GuardState, now: Instant) {
    for number in 1..=ANSWER_COUNT {
        state.handle(now, GuardEvent::Arrived(request(number, now)));
        let finished = GuardEvent::Finished {
            key: (id(1, number), 1),
            outcome: ServerOutcome::Answered(200),
            elapsed: RUN_TIME,
        };
        state.handle(now, finished);
    }
}

#[test]
fn a_run_that_hangs_is_ended_while_another_server_can_still_answer() {
    // Arrange
    let now = Instant::now();
    let mut state = guard_with_one_slot(now);
    answer_some(&mut state, now);

    // Act
    let until = run_until(&mut state, now, replaceable(20, now));

    // Assert
    let left = replaceable(20, now).deadline_at - until;
    assert!(until > now + RUN_TIME * 2, "{:?}", until - now);
    assert!(left > RUN_TIME * 2, "{left:?}");
}

#[test]
fn a_run_lasts_to_its_deadline_if_no_other_server_can_take_the_request() {
    // Arrange
    let now = Instant::now();
    let mut state = guard_with_one_slot(now);
    answer_some(&mut state, now);
    let last_attempt = GuardRequest {
        hung_after: None,
        ..replaceable(20, now)
    };

    // Act
    let until = run_until(&mut state, now, last_attempt.clone());

    // Assert
    assert_eq!(until, last_attempt.deadline_at);
}

#[test]
fn a_run_of_an_unknown_route_is_ended_at_half_of_its_time() {
    let now = Instant::now();
    let mut state = guard_with_one_slot(now);
    let first = replaceable(1, now);
    let half = (first.deadline_at - now) / 2;
    assert_eq!(run_until(&mut state, now, first), now + half);
}
