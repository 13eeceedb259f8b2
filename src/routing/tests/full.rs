//! Tests of requests whose servers have no free slot.

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
use crate::wire::forward::AttemptTerms;

/// Five healthy servers, which are all known to be busy or all not.
struct Healthy {
    /// Whether every server is known to be busy.
    busy: bool,
}

impl ServerChoice for Healthy {
    /// Returns the first server that was not tried.
    fn pick(&mut self, _: Instant, _: &RequestPlan, tried: &[BackendServerId]) -> Option<Target> {
        let mut servers = ["a", "b", "c", "d", "e"].into_iter();
        let server = servers.find(|server| !tried.iter().any(|other| **other == **server))?;
        Some(Target {
            daemon: format!("beside-{server}").into(),
            guard_address: "127.0.0.1:1".parse().expect("a literal address"),
            server: server.into(),
        })
    }

    /// Returns `busy` for every server.
    fn is_busy(&self, _: Instant, _: &Target) -> bool {
        self.busy
    }

    fn has_other_server(&self, _: &RequestPlan) -> bool {
        true
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

/// Returns a state whose servers are not known to be busy.
pub(super) fn state() -> RoutingState {
    state_with(Healthy { busy: false })
}

/// Returns a state with these servers, and two tries for a free slot.
fn state_with(servers: Healthy) -> RoutingState {
    let settings = RoutingSettings {
        refusals_limit_count: 12,
        free_slot_tries_count: 2,
        free_slot_wait_share: 0.125,
        queue_wait_share: 0.5,
        ..Default::default()
    };
    RoutingState::new(settings, Box::new(servers))
}

/// Returns the refusal of an attempt as busy, with the wait that the guard expects.
fn busy(attempt: Attempt, wait_ms: u64) -> RoutingEvent {
    not_run(
        attempt,
        ErrorKind::Busy,
        Some(Duration::from_millis(wait_ms)),
    )
}

/// Returns the terms of the attempt that is sent.
fn terms(actions: &RoutingActions) -> AttemptTerms {
    let sent = actions.iter().find_map(|action| match action {
        RoutingAction::Send { terms, .. } => Some(*terms),
        _ => None,
    });
    sent.expect("an attempt")
}

#[test]
fn two_refusals_as_full_end_a_request_with_the_shortest_wait() {
    // Arrange: two tries for a free slot come first.
    let now = Instant::now();
    let mut state = state();
    let plan = plan(now + Duration::from_secs(10));
    state.handle(now, RoutingEvent::Dispatch(plan));
    for attempt in 1..=3 {
        state.handle(now, busy(attempt, 900));
    }

    // Act
    let actions = state.handle(now, busy(4, 700));

    // Assert
    let outcome = Outcome::Failed {
        kind: ErrorKind::Busy,
        retry_after: Some(Duration::from_millis(700)),
    };
    let finish = RoutingAction::Finish {
        request: 1,
        outcome,
    };
    assert!(actions.contains(&finish));
}

#[test]
fn a_request_queues_for_a_share_of_its_target_time_at_most() {
    // Arrange: the target is a second.
    let now = Instant::now();
    let mut state = state();
    let plan = plan(now + Duration::from_secs(10));

    // Act
    let free_slot_try = terms(&state.handle(now, RoutingEvent::Dispatch(plan)));
    state.handle(now, busy(1, 900));
    let queue = terms(&state.handle(now, busy(2, 900)));

    // Assert
    assert_eq!(
        (free_slot_try.seeks_free_slot, free_slot_try.wait_limit_ms),
        (true, Some(125))
    );
    assert_eq!(
        (queue.seeks_free_slot, queue.wait_limit_ms),
        (false, Some(500))
    );
}

#[test]
fn a_call_of_the_local_server_may_queue_until_its_deadline() {
    // Arrange
    let now = Instant::now();
    let mut state = state();
    let plan = RequestPlan {
        organisation: "".into(),
        ..plan(now + Duration::from_secs(10))
    };
    state.handle(now, RoutingEvent::Dispatch(plan));
    state.handle(now, busy(1, 900));

    // Act
    let queue = terms(&state.handle(now, busy(2, 900)));

    // Assert
    assert_eq!((queue.seeks_free_slot, queue.wait_limit_ms), (false, None));
}

#[test]
fn a_request_whose_servers_are_known_to_be_busy_queues_no_longer_than_others() {
    // Arrange
    let now = Instant::now();
    let mut state = state_with(Healthy { busy: true });
    let plan = plan(now + Duration::from_secs(10));

    // Act
    let first = terms(&state.handle(now, RoutingEvent::Dispatch(plan)));

    // Assert
    assert_eq!(
        (first.seeks_free_slot, first.wait_limit_ms),
        (false, Some(500))
    );
}

#[test]
fn guards_without_retry_budget_do_not_count_as_full() {
    // Arrange
    let now = Instant::now();
    let mut state = state();
    let plan = plan(now + Duration::from_secs(10));
    state.handle(now, RoutingEvent::Dispatch(plan));
    state.handle(now, not_run(1, ErrorKind::RetriesSpent, None));

    // Act
    let third = state.handle(now, not_run(2, ErrorKind::RetriesSpent, None));

    // Assert
    assert!(!terms(&third).last_resort);
}

/// Returns the terms of an attempt that `refused_count` guards have refused before it as busy, at a
/// call of the server on this VM with two seconds left.
fn own_call_terms(own_call_wait_share: f64, refused_count: Attempt) -> AttemptTerms {
    let now = Instant::now();
    let mut state = state();
    let settings = RoutingSettings {
        own_call_wait_share,
        ..state.settings.clone()
    };
    state.handle(now, RoutingEvent::Settings(Box::new(settings)));
    let call = RequestPlan {
        organisation: "".into(),
        ..plan(now + Duration::from_secs(2))
    };
    let mut actions = state.handle(now, RoutingEvent::Dispatch(call));
    for attempt in 1..=refused_count {
        actions = state.handle(now, busy(attempt, 900));
    }
    terms(&actions)
}

#[test]
fn a_call_of_a_server_leaves_time_to_wait_at_another_server() {
    // Act: two tries for a free slot come first.
    let first_wait = own_call_terms(0.4, 2);
    let last_wait = own_call_terms(0.4, 3);

    // Assert
    assert_eq!(first_wait.wait_limit_ms, Some(800));
    assert_eq!(last_wait.wait_limit_ms, None);
}

#[test]
fn without_a_share_a_call_of_a_server_waits_to_its_deadline() {
    assert_eq!(own_call_terms(0.0, 2).wait_limit_ms, None);
}
