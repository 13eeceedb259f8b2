//! Tests of requests during which servers died.

use std::time::{Duration, Instant};

use super::{announcement, finished, guard_with_one_slot, refusal_of, request, starts};
use crate::error::ErrorKind;
use crate::guard::message::{GuardAction, GuardEvent, GuardRequest, ServerOutcome};
use crate::guard::state::GuardState;
use crate::link::message::PoisonReport;

/// Runs a request whose server dies, and lets the server announce itself again.
fn run_until_death(state: &mut GuardState, now: Instant, number: u128) -> Vec<GuardAction> {
    state.handle(now, GuardEvent::Arrived(request(number, now)));
    let actions = state.handle(now, finished(number, ServerOutcome::Died));
    state.handle(now, GuardEvent::Announced(announcement()));
    actions
}

#[test]
fn a_request_is_refused_after_two_deaths_and_others_still_start() {
    // Arrange
    let now = Instant::now();
    let mut state = guard_with_one_slot(now);
    let again = |number| GuardRequest {
        fingerprint: [1; 32],
        ..request(number, now)
    };

    // Act
    let first = run_until_death(&mut state, now, 1);
    state.handle(now, GuardEvent::Arrived(again(2)));
    state.handle(now, finished(2, ServerOutcome::Died));
    state.handle(now, GuardEvent::Announced(announcement()));
    let third = state.handle(now, GuardEvent::Arrived(again(3)));
    let other = state.handle(now, GuardEvent::Arrived(request(4, now)));

    // Assert
    assert!(first
        .iter()
        .any(|action| matches!(action, GuardAction::ReportPoison { .. })));
    assert_eq!(refusal_of(&third, 3), Some(ErrorKind::PoisonRequest));
    assert!(starts(&other, 4));
}

#[test]
fn a_death_that_another_guard_reports_counts() {
    // Arrange
    let now = Instant::now();
    let mut state = guard_with_one_slot(now);
    let reports = vec![PoisonReport {
        fingerprint: [9; 32],
        death_count: 1,
        holds_for: Duration::from_secs(60),
    }];
    let from = "elsewhere".into();

    // Act
    state.handle(now, GuardEvent::PoisonReported { from, reports });
    run_until_death(&mut state, now, 9);
    let again = GuardRequest {
        fingerprint: [9; 32],
        ..request(10, now)
    };
    let actions = state.handle(now, GuardEvent::Arrived(again));

    // Assert
    assert_eq!(refusal_of(&actions, 10), Some(ErrorKind::PoisonRequest));
}

#[test]
fn an_answer_clears_a_poison_suspect() {
    // Arrange
    let now = Instant::now();
    let mut state = guard_with_one_slot(now);
    let same = |number| GuardRequest {
        fingerprint: [1; 32],
        ..request(number, now)
    };
    run_until_death(&mut state, now, 1);

    // Act
    state.handle(now, GuardEvent::Arrived(same(2)));
    state.handle(now, finished(2, ServerOutcome::Answered(200)));
    state.handle(now, GuardEvent::Arrived(same(3)));
    state.handle(now, finished(3, ServerOutcome::Died));
    state.handle(now, GuardEvent::Announced(announcement()));
    let actions = state.handle(now, GuardEvent::Arrived(same(4)));

    // Assert
    assert!(starts(&actions, 4));
}
