//! Tests of requests that wait at the entry while every server is closed.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::plan;
use crate::contract::View;
use crate::error::ErrorKind;
use crate::membership::Fleet;
use crate::routing::choice::ServerChoice;
use crate::routing::message::Target;
use crate::routing::message::{AttemptOutcome, Outcome, RequestPlan, RoutingAction, RoutingEvent};
use crate::routing::state::{RoutingActions, RoutingState};
use crate::settings::routing::RoutingSettings;
use crate::types::BackendServerId;

/// Target time of the requests.
const TARGET: Duration = Duration::from_secs(1);
/// Time until the closed server opens again.
const OPEN_AFTER: Duration = Duration::from_millis(300);

/// One server that is closed until a time.
struct ClosedUntil(Instant);

impl ServerChoice for ClosedUntil {
    /// Returns the server once it is open.
    fn pick(&mut self, now: Instant, _: &RequestPlan, _: &[BackendServerId]) -> Option<Target> {
        (now >= self.0).then(|| Target {
            daemon: "d".into(),
            guard_address: "127.0.0.1:1".parse().expect("a literal address"),
            server: "s".into(),
        })
    }

    /// Returns when the server opens.
    fn reopens_at(&self, now: Instant, _: &RequestPlan) -> Option<Instant> {
        Some(self.0.max(now))
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

    fn update_view(&mut self, _: Arc<View>) {}

    fn update_fleet(&mut self, _: Arc<Fleet>) {}
}

/// Returns a state whose only server is closed until `open_at`.
pub(super) fn state(open_at: Instant, park_share: f64) -> RoutingState {
    let settings = RoutingSettings {
        park_share,
        ..Default::default()
    };
    RoutingState::new(settings, Box::new(ClosedUntil(open_at)))
}

/// Dispatches request 1 with a target time of `TARGET`.
pub(super) fn dispatch(state: &mut RoutingState, now: Instant) -> RoutingActions {
    let plan = RequestPlan {
        target: TARGET,
        ..plan(now + Duration::from_secs(10))
    };
    state.handle(now, RoutingEvent::Dispatch(plan))
}

/// Returns the error with which a request ends, if it does.
pub(super) fn refused(actions: &RoutingActions) -> Option<ErrorKind> {
    actions.iter().find_map(|action| match action {
        RoutingAction::Finish {
            outcome: Outcome::Failed { kind, .. },
            ..
        } => Some(*kind),
        _ => None,
    })
}

#[test]
fn a_parked_request_is_sent_when_a_server_reopens() {
    // Arrange
    let now = Instant::now();
    let mut state = state(now + OPEN_AFTER, 0.5);

    // Act
    let at_once = dispatch(&mut state, now);
    let due_at = state.next_tick_at();
    let later = state.handle(now + OPEN_AFTER, RoutingEvent::Tick);

    // Assert
    assert!(at_once.is_empty());
    assert_eq!(due_at, Some(now + OPEN_AFTER));
    assert!(matches!(&later[..], [RoutingAction::Send { .. }]));
}

#[test]
fn a_request_that_may_not_wait_until_a_server_reopens_is_refused_at_once() {
    let now = Instant::now();
    let mut state = state(now + OPEN_AFTER, 0.2);
    let actions = dispatch(&mut state, now);
    assert_eq!(refused(&actions), Some(ErrorKind::NoServer));
}

#[test]
fn a_parked_request_ends_when_its_caller_leaves() {
    // Arrange
    let now = Instant::now();
    let mut state = state(now + OPEN_AFTER, 0.5);
    dispatch(&mut state, now);

    // Act
    let left = state.handle(now, RoutingEvent::CallerLeft(1));
    let later = state.handle(now + OPEN_AFTER, RoutingEvent::Tick);

    // Assert
    assert_eq!(refused(&left), Some(ErrorKind::NoServer));
    assert!(later.is_empty());
    assert_eq!(state.open_count(), 0);
}
