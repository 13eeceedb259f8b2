//! Steps of a roll-out: which servers take work, and what the fleet is told.

use std::time::{Duration, Instant};

use super::{announcement, finished, id, refusal_of, request, starts, INCARNATION};
use crate::error::ErrorKind;
use crate::guard::message::{Announcement, GuardAction, GuardEvent, GuardRequest, ServerOutcome};
use crate::guard::state::GuardState;
use crate::link::FenceAnswer;
use crate::membership::ServerEntry;
use crate::rollout::{RolloutRule, RolloutStep};
use crate::settings::guard::GuardSettings;

/// How long a trial goes on after one rule.
const HOLD: Duration = Duration::from_secs(3);

/// Returns an announcement of server `s` with this version of its software.
fn announced(version: &str) -> GuardEvent {
    GuardEvent::Announced(Announcement {
        software_version: version.into(),
        ..announcement()
    })
}

/// Returns a guard whose only server has one slot and this version.
fn guard(now: Instant, version: &str) -> GuardState {
    let settings = GuardSettings {
        announcement_ttl_ms: 60_000,
        ..Default::default()
    };
    let mut state = GuardState::new(settings, INCARNATION);
    state.handle(now, announced(version));
    state
}

/// Returns the rule of a roll-out of `v2`.
fn rule(now: Instant, target_step: RolloutStep, other_step: RolloutStep) -> GuardEvent {
    GuardEvent::Rollout(RolloutRule {
        service: "v".into(),
        target_version: "v2".into(),
        target_step,
        other_step,
        holds_until: Some(now + HOLD),
    })
}

/// Returns the server of the last report to membership.
fn reported(actions: &[GuardAction]) -> ServerEntry {
    let reports = actions.iter().rev().find_map(|action| match action {
        GuardAction::ReportServers(servers) => servers.first(),
        _ => None,
    });
    reports.expect("a report").clone()
}

/// Returns whether a request to the server starts now.
fn takes_work(state: &mut GuardState, now: Instant, number: u128) -> bool {
    let actions = state.handle(now, GuardEvent::Arrived(request(number, now)));
    let taken = starts(&actions, number);
    let refusal = refusal_of(&actions, number);
    assert_eq!(refusal.is_none(), taken, "{refusal:?}");
    assert!(refusal.is_none_or(|kind| kind == ErrorKind::NoServer));
    taken
}

#[test]
fn a_closed_server_refuses_as_not_run_what_arrives_and_waits_and_what_runs_goes_on() {
    // Arrange
    let now = Instant::now();
    let mut state = guard(now, "v1");
    state.handle(now, GuardEvent::Arrived(request(1, now)));
    state.handle(now, GuardEvent::Arrived(request(2, now)));

    // Act
    let closed = state.handle(now, rule(now, RolloutStep::Full, RolloutStep::Closed));
    let arrived = state.handle(now, GuardEvent::Arrived(request(3, now)));
    let fenced = state.handle(now, super::fence(2, 1));

    // Assert
    assert_eq!(refusal_of(&closed, 1), None);
    assert_eq!(refusal_of(&closed, 2), Some(ErrorKind::NoServer));
    assert_eq!(refusal_of(&arrived, 3), Some(ErrorKind::NoServer));
    assert!(fenced.contains(&GuardAction::FenceAnswered(FenceAnswer::Fenced)));
    let entry = reported(&closed);
    assert!(entry.draining && entry.rollout_step == RolloutStep::Closed);
    assert!(state.running.contains_key(&(id(1, 1), 1)));
    state.handle(now, finished(1, ServerOutcome::Answered(200)));
    assert!(state.running.is_empty());
}

#[test]
fn every_step_tells_the_fleet_and_takes_work_unless_it_is_closed() {
    let cases = [
        (
            "v2",
            RolloutStep::Trial,
            RolloutStep::None,
            RolloutStep::Trial,
        ),
        (
            "v1",
            RolloutStep::Trial,
            RolloutStep::None,
            RolloutStep::None,
        ),
        (
            "v2",
            RolloutStep::Full,
            RolloutStep::Closed,
            RolloutStep::Full,
        ),
        (
            "v1",
            RolloutStep::Full,
            RolloutStep::Closed,
            RolloutStep::Closed,
        ),
        (
            "v2",
            RolloutStep::Closed,
            RolloutStep::None,
            RolloutStep::Closed,
        ),
        (
            "",
            RolloutStep::Closed,
            RolloutStep::None,
            RolloutStep::None,
        ),
    ];
    for (version, target_step, other_step, expected) in cases {
        // Arrange: the rule comes before the announcement.
        let now = Instant::now();
        let mut state = GuardState::new(GuardSettings::default(), INCARNATION);
        state.handle(now, rule(now, target_step, other_step));

        // Act
        let actions = state.handle(now, announced(version));

        // Assert
        let entry = reported(&actions);
        let closed = expected == RolloutStep::Closed;
        assert_eq!(entry.rollout_step, expected, "{version}");
        assert_eq!(entry.draining, closed, "{version} {expected:?}");
        assert_eq!(
            takes_work(&mut state, now, 1),
            !closed,
            "{version} {expected:?}"
        );
    }
}

#[test]
fn a_trial_closes_when_its_rule_is_not_renewed_and_opens_with_the_next_rule() {
    // Arrange
    let now = Instant::now();
    let mut state = guard(now, "v2");
    state.handle(now, rule(now, RolloutStep::Trial, RolloutStep::None));
    let renewed_at = now + HOLD / 2;
    state.handle(
        renewed_at,
        rule(renewed_at, RolloutStep::Trial, RolloutStep::None),
    );
    assert!(takes_work(&mut state, now + HOLD, 1));
    let waiting = GuardRequest {
        deadline_at: now + Duration::from_secs(30),
        ..request(2, now)
    };
    state.handle(now + HOLD, GuardEvent::Arrived(waiting));

    // Act
    let due_at = state.next_tick_at();
    let end = renewed_at + HOLD;
    let ticked = state.handle(end, GuardEvent::Tick);

    // Assert
    assert_eq!(due_at, Some(end));
    assert_eq!(refusal_of(&ticked, 2), Some(ErrorKind::NoServer));
    assert_eq!(reported(&ticked).rollout_step, RolloutStep::Closed);
    assert!(!takes_work(&mut state, end, 3));
    assert_ne!(
        state.next_tick_at(),
        Some(end),
        "a tick that changes nothing"
    );
    state.handle(end, finished(1, ServerOutcome::Answered(200)));
    state.handle(end, rule(end, RolloutStep::Trial, RolloutStep::None));
    assert!(takes_work(&mut state, end, 4));
}

#[test]
fn a_request_that_arrives_after_the_end_of_a_trial_is_refused_before_the_tick() {
    // Arrange
    let now = Instant::now();
    let mut state = guard(now, "v2");
    state.handle(now, rule(now, RolloutStep::Trial, RolloutStep::None));

    // Act
    let taken = takes_work(&mut state, now + HOLD, 1);

    // Assert
    assert!(!taken);
}

#[test]
fn the_end_of_a_roll_out_lifts_its_rule() {
    // Arrange
    let now = Instant::now();
    let mut state = guard(now, "v1");
    state.handle(now, rule(now, RolloutStep::Full, RolloutStep::Closed));

    // Act
    let actions = state.handle(now, GuardEvent::RolloutEnded("v".into()));

    // Assert
    assert!(!reported(&actions).draining);
    assert!(takes_work(&mut state, now, 1));
}

#[test]
fn a_server_that_returns_with_another_version_takes_the_step_of_that_version() {
    // Arrange
    let now = Instant::now();
    let mut state = guard(now, "v1");
    state.handle(now, rule(now, RolloutStep::Closed, RolloutStep::None));
    state.handle(now, GuardEvent::Arrived(request(1, now)));
    state.handle(now, GuardEvent::Arrived(request(2, now)));

    // Act
    let replaced = state.handle(now, announced("v2"));
    let closed = !takes_work(&mut state, now, 3);
    state.handle(now, finished(1, ServerOutcome::Answered(200)));
    state.handle(now, announced("v1"));

    // Assert
    assert_eq!(refusal_of(&replaced, 2), Some(ErrorKind::NoServer));
    assert_eq!(reported(&replaced).rollout_step, RolloutStep::Closed);
    assert!(closed);
    assert!(takes_work(&mut state, now, 4));
}
