//! Tests of attempts at failing servers when no other server is left.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{not_run, plan};
use crate::contract::View;
use crate::error::ErrorKind;
use crate::membership::Fleet;
use crate::routing::choice::ServerChoice;
use crate::routing::message::{
    AttemptOutcome, Outcome, RequestPlan, RoutingAction, RoutingEvent, Target,
};
use crate::routing::state::{RoutingActions, RoutingState};
use crate::settings::routing::RoutingSettings;
use crate::types::{Attempt, BackendServerId};
use crate::wire::exchange::WholeAnswer;

/// Two servers; the breaker of a server's guard is open once the server was asked.
struct Tripping {
    /// Servers that were sent an attempt.
    asked: Vec<BackendServerId>,
}

/// Returns the target for an attempt at this server.
fn target(server: &str) -> Target {
    Target {
        daemon: format!("beside-{server}").into(),
        guard_address: "127.0.0.1:1".parse().expect("a literal address"),
        server: server.into(),
    }
}

impl ServerChoice for Tripping {
    /// Returns the first server that was neither tried nor sent an attempt.
    fn pick(&mut self, _: Instant, _: &RequestPlan, tried: &[BackendServerId]) -> Option<Target> {
        let mut servers = ["a", "b"].into_iter();
        let fresh = servers.find(|server| !tried.iter().any(|other| **other == **server));
        fresh
            .filter(|server| !self.asked.iter().any(|other| **other == **server))
            .map(target)
    }

    /// Returns the first server that was sent an attempt and was not tried.
    fn pick_tripped(
        &mut self,
        _: Instant,
        _: &RequestPlan,
        tried: &[BackendServerId],
    ) -> Option<Target> {
        let open = self.asked.iter().find(|server| !tried.contains(server));
        open.map(|server| target(server))
    }

    /// Remembers that the breaker of the server's guard is open from now on.
    fn attempt_sent(&mut self, _: Instant, _: &RequestPlan, target: &Target) {
        self.asked.push(target.server.clone());
    }

    fn attempt_ended(
        &mut self,
        _: Instant,
        _: &RequestPlan,
        _: &Target,
        _: &AttemptOutcome,
        _: Duration,
    ) {
    }

    fn has_other_server(&self, _: &RequestPlan) -> bool {
        true
    }

    fn update_view(&mut self, _: Arc<View>) {}

    fn update_fleet(&mut self, _: Arc<Fleet>) {}
}

/// Returns a state with the servers of `Tripping`.
fn state() -> RoutingState {
    let settings = RoutingSettings {
        refusals_limit_count: 8,
        end_hung_runs: true,
        ..Default::default()
    };
    RoutingState::new(settings, Box::new(Tripping { asked: Vec::new() }))
}

/// Returns the refusal of an attempt by a guard whose breaker is open.
fn tripped(attempt: Attempt) -> RoutingEvent {
    not_run(attempt, ErrorKind::ServerTripped, None)
}

/// Returns the server of the attempt that is sent, and whether it is a last resort.
fn sent(actions: &RoutingActions) -> Option<(&str, bool)> {
    actions.iter().find_map(|action| match action {
        RoutingAction::Send { target, terms, .. } => Some((&*target.server, terms.last_resort)),
        _ => None,
    })
}

/// Returns the time after which the run of the attempt that is sent counts as hung.
fn hung_after(actions: &RoutingActions) -> Option<Duration> {
    actions.iter().find_map(|action| match action {
        RoutingAction::Send { hung_after, .. } => *hung_after,
        _ => None,
    })
}

#[test]
fn the_run_of_a_last_resort_lasts_to_its_deadline() {
    // Arrange
    let now = Instant::now();
    let mut state = state();

    // Act
    let first = state.handle(
        now,
        RoutingEvent::Dispatch(plan(now + Duration::from_secs(1))),
    );
    state.handle(now, tripped(1));
    let last = state.handle(now, tripped(2));

    // Assert
    assert!(hung_after(&first).is_some());
    assert_eq!(sent(&last), Some(("a", true)));
    assert_eq!(hung_after(&last), None);
}

#[test]
fn a_run_lasts_to_its_deadline_if_another_server_had_no_room() {
    // Arrange
    let now = Instant::now();
    let mut state = state();
    state.handle(
        now,
        RoutingEvent::Dispatch(plan(now + Duration::from_secs(1))),
    );

    // Act
    let second = state.handle(now, not_run(1, ErrorKind::Busy, None));

    // Assert
    assert_eq!(sent(&second), Some(("b", false)));
    assert_eq!(hung_after(&second), None);
}

#[test]
fn when_every_server_is_closed_one_is_asked_as_a_last_resort() {
    // Arrange
    let now = Instant::now();
    let mut state = state();
    let plan = plan(now + Duration::from_secs(1));

    // Act
    let first = state.handle(now, RoutingEvent::Dispatch(plan));
    let second = state.handle(now, tripped(1));
    let last = state.handle(now, tripped(2));

    // Assert
    assert_eq!(sent(&first), Some(("a", false)));
    assert_eq!(sent(&second), Some(("b", false)));
    assert_eq!(sent(&last), Some(("a", true)));
}

#[test]
fn a_server_that_refuses_a_last_resort_is_not_asked_again() {
    // Arrange
    let now = Instant::now();
    let mut state = state();
    let plan = plan(now + Duration::from_secs(1));
    state.handle(now, RoutingEvent::Dispatch(plan));
    state.handle(now, tripped(1));
    state.handle(now, tripped(2));

    // Act
    let fourth = state.handle(now, tripped(3));
    let fifth = state.handle(now, tripped(4));

    // Assert
    assert_eq!(sent(&fourth), Some(("b", true)));
    assert_eq!(sent(&fifth), None);
}

#[test]
fn a_failed_call_of_the_local_server_is_reported_to_its_guard() {
    // Arrange
    let now = Instant::now();
    let mut state = state();
    let plan = RequestPlan {
        organisation: "".into(),
        repeatable: false,
        ..plan(now + Duration::from_secs(1))
    };
    state.handle(now, RoutingEvent::Dispatch(plan));

    // Act
    let answered = RoutingEvent::Attempted {
        request: 1,
        attempt: 1,
        outcome: AttemptOutcome::Answered(WholeAnswer {
            status: 500,
            headers: Vec::new(),
            body: Default::default(),
        }),
        elapsed: Duration::from_millis(1),
        resendable: true,
    };
    let actions = state.handle(now, answered);

    // Assert
    assert!(actions.contains(&RoutingAction::OwnCallFailed));
}

/// One server whose guard has no room, and one whose guard's breaker is open.
struct FullAndTripped;

impl ServerChoice for FullAndTripped {
    /// Returns server `full` unless it was tried.
    fn pick(&mut self, _: Instant, _: &RequestPlan, tried: &[BackendServerId]) -> Option<Target> {
        let full = tried.iter().all(|server| &**server != "full");
        full.then(|| target("full"))
    }

    /// Returns server `tripped`, whether it was tried or not.
    fn pick_tripped(
        &mut self,
        _: Instant,
        _: &RequestPlan,
        _: &[BackendServerId],
    ) -> Option<Target> {
        Some(target("tripped"))
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

/// Returns the state and the actions after the only healthy server had no room for a request.
fn after_refusal_as_full(now: Instant, repeatable: bool) -> (RoutingState, RoutingActions) {
    let settings = RoutingSettings {
        refusals_limit_count: 8,
        ..Default::default()
    };
    let mut state = RoutingState::new(settings, Box::new(FullAndTripped));
    let plan = RequestPlan {
        repeatable,
        ..plan(now + Duration::from_secs(1))
    };
    state.handle(now, RoutingEvent::Dispatch(plan));
    let full = not_run(1, ErrorKind::Busy, Some(SLOT_WAIT));
    let actions = state.handle(now, full);
    (state, actions)
}

/// Wait that the guard of the full server expects.
const SLOT_WAIT: Duration = Duration::from_millis(700);

/// Returns whether request 1 ends as busy, with the wait of the full server.
fn ends_as_busy(actions: &RoutingActions) -> bool {
    let refused = Outcome::Failed {
        kind: ErrorKind::Busy,
        retry_after: Some(SLOT_WAIT),
    };
    actions.contains(&RoutingAction::Finish {
        request: 1,
        outcome: refused,
    })
}

#[test]
fn a_request_that_may_not_be_repeated_is_not_sent_to_a_failing_server_when_others_are_full() {
    // Arrange
    let now = Instant::now();

    // Act
    let (_, actions) = after_refusal_as_full(now, false);

    // Assert
    assert_eq!(sent(&actions), None);
    assert!(ends_as_busy(&actions));
}

#[test]
fn a_repeatable_request_is_sent_to_a_failing_server_once_when_others_are_full() {
    // Arrange
    let now = Instant::now();
    let (mut state, second) = after_refusal_as_full(now, true);

    // Act
    let last = state.handle(now, not_run(2, ErrorKind::Busy, None));

    // Assert
    assert_eq!(sent(&second), Some(("tripped", true)));
    assert_eq!(sent(&last), None);
}
