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

    fn update_view(&mut self, _: std::sync::Arc<crate::contract::View>) {}

    fn update_fleet(&mut self, _: std::sync::Arc<crate::membership::Fleet>) {}
}

/// Returns how long the first attempt at a request may take.
fn first_attempt(state: &mut RoutingState, now: Instant) -> Duration {
    let plan = RequestPlan {
        attempts_limit_count: 2,
        ..plan(now + DEADLINE)
    };
    let actions = state.handle(now, RoutingEvent::Dispatch(plan));
    match &actions[..] {
        [RoutingAction::Send { until, .. }] => *until - now,
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
