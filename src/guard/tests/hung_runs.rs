//! Tests of when the guard ends a run that hangs.

use std::time::{Duration, Instant};

use super::overdue::run;
use super::{guard_with_one_slot, id, request};
use crate::guard::message::{GuardAction, GuardEvent, GuardRequest, ServerOutcome};
use crate::guard::state::GuardState;
use crate::wire::client::CallError;

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
        run(state, now, number, ServerOutcome::Answered(200), RUN_TIME);
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

#[test]
fn one_run_that_hangs_hardly_moves_the_usual_time() {
    // Arrange
    let now = Instant::now();
    let mut state = guard_with_one_slot(now);
    answer_some(&mut state, now);

    // Act
    let late = ServerOutcome::Failed(CallError::Late);
    run(&mut state, now, 20, late, RUN_TIME * 100);
    let until = run_until(&mut state, now, replaceable(30, now));

    // Assert
    assert!(until < now + RUN_TIME * 6, "{:?}", until - now);
}

#[test]
fn runs_at_a_server_that_turned_slow_are_soon_let_run_to_their_end() {
    // Arrange: the server takes eight times as long, so no run ends before it counts as hung.
    let now = Instant::now();
    let mut state = guard_with_one_slot(now);
    answer_some(&mut state, now);
    let slow_time = RUN_TIME * 8;

    // Act
    let mut ended_count = 0;
    for number in 20..60 {
        let until = run_until(&mut state, now, replaceable(number, now));
        let ended = until < now + slow_time;
        ended_count += u32::from(ended);
        let finished = GuardEvent::Finished {
            key: (id(1, number), 1),
            outcome: match ended {
                true => ServerOutcome::Failed(CallError::Late),
                false => ServerOutcome::Answered(200),
            },
            elapsed: slow_time.min(until - now),
        };
        state.handle(now, finished);
    }

    // Assert
    assert!(ended_count <= 8, "{ended_count}");
}
