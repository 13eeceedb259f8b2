//! Tests of when an attempt is given up for another one.

use std::time::{Duration, Instant};

use super::plan;
use crate::routing::choice::ServerChoice;
use crate::routing::message::{AttemptOutcome, RequestPlan, RoutingAction, RoutingEvent, Target};
use crate::routing::state::RoutingState;
use crate::settings::routing::RoutingSettings;
use crate::types::BackendServerId;

/// How long an attempt may take before the next one is made.
const PATIENCE: Duration = Duration::from_secs(1);
/// Time until the deadline of the request.
const DEADLINE: Duration = Duration::from_secs(10);

/// Target time of the request.
const TARGET: Duration = Duration::from_secs(1);

/// One server that is always open, with a patience of `PATIENCE`.
struct Patient;

impl ServerChoice for Patient {
    /// Returns the only server, whether it was tried or not.
    fn pick(&mut self, _: Instant, _: &RequestPlan, _: &[BackendServerId]) -> Option<Target> {
        Some(Target {
            daemon: "d".into(),
            guard_address: "127.0.0.1:1".parse().expect("a literal address"),
            server: "s".into(),
        })
    }

    fn attempt_sent(&mut self, _: Instant, _: &RequestPlan, _: &Target) {}

    fn attempt_ended(
        &mut self,
        _: Instant,
        _: &RequestPlan,
        _: &Target,
        _: &AttemptOutcome,
        _: Duration,
    ) {
    }

    /// Returns `PATIENCE` for every request.
    fn patience(&self, _: &RequestPlan) -> Option<Duration> {
        Some(PATIENCE)
    }

    fn has_other_server(&self, _: &RequestPlan) -> bool {
        true
    }

    fn update_view(&mut self, _: std::sync::Arc<crate::contract::View>) {}

    fn update_fleet(&mut self, _: std::sync::Arc<crate::membership::Fleet>) {}
}

/// Returns how long the first attempt at a request may take.
fn first_attempt(state: &mut RoutingState, now: Instant) -> Duration {
    first_of(state, now, 2).0
}

/// Sends a request that may reach this many servers. Returns how long its first attempt may take,
/// and after what time its run counts as hung.
fn first_of(
    state: &mut RoutingState,
    now: Instant,
    attempts_limit_count: u32,
) -> (Duration, Option<Duration>) {
    let plan = RequestPlan {
        attempts_limit_count,
        target: TARGET,
        ..plan(now + DEADLINE)
    };
    let actions = state.handle(now, RoutingEvent::Dispatch(plan));
    match &actions[..] {
        [RoutingAction::Send {
            until, hung_after, ..
        }] => (*until - now, *hung_after),
        other => panic!("{other:?}"),
    }
}

#[test]
fn an_attempt_ends_early_enough_for_a_retry() {
    let now = Instant::now();
    let mut state = RoutingState::new(RoutingSettings::default(), Box::new(Patient));
    assert_eq!(first_attempt(&mut state, now), PATIENCE);
}

#[test]
fn a_leaving_daemon_gives_up_no_attempt_before_the_deadline() {
    // Arrange
    let now = Instant::now();
    let mut state = RoutingState::new(RoutingSettings::default(), Box::new(Patient));

    // Act
    let ends_at = now + DEADLINE;
    state.handle(now, RoutingEvent::Leaving { ends_at });

    // Assert
    assert_eq!(first_attempt(&mut state, now), DEADLINE);
}

#[test]
fn the_only_attempt_of_a_request_is_not_given_up_before_the_deadline() {
    let now = Instant::now();
    let settings = RoutingSettings {
        end_hung_runs: true,
        ..Default::default()
    };
    let mut state = RoutingState::new(settings, Box::new(Patient));
    assert_eq!(first_of(&mut state, now, 1), (DEADLINE, None));
    assert_eq!(first_of(&mut state, now, 2), (PATIENCE, Some(TARGET)));
}
