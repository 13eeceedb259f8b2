//! Tests of routing; helpers that several of them use.

mod choice;
mod closing;
mod disconnects;
mod duty;
mod exposure;
mod full;
mod invalid;
mod last_resort;
mod origin;
mod parked;
mod patience;
mod probes;
mod stop;
mod uneven;

use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::least_loaded::LeastLoaded;
use super::message::{AttemptOutcome, Outcome, RequestPlan, RoutingAction, RoutingEvent};
use super::state::RoutingState;
use crate::error::ErrorKind;
use crate::settings::routing::RoutingSettings;
use crate::types::Attempt;

/// Returns the event that a guard refused an attempt at request 1 without running it.
fn not_run(attempt: Attempt, kind: ErrorKind, retry_after: Option<Duration>) -> RoutingEvent {
    RoutingEvent::Attempted {
        request: 1,
        attempt,
        outcome: AttemptOutcome::NotRun {
            kind,
            retry_after,
            by_guard: true,
        },
        elapsed: Duration::from_millis(1),
        resendable: true,
    }
}

/// Returns the plan of a request that may be repeated.
fn plan(deadline_at: Instant) -> RequestPlan {
    RequestPlan {
        request: 1,
        organisation: "o".into(),
        weight_share: 1,
        service: "s".into(),
        route: "r".into(),
        repeatable: true,
        foreground: true,
        rank: 0,
        attempts_limit_count: 0,
        body_bytes: 0,
        body_limit_bytes: 0,
        idempotency_key: None,
        target: Duration::from_secs(1),
        deadline_at,
    }
}

#[test]
fn a_service_without_servers_is_refused_as_not_run() {
    // Arrange
    let now = Instant::now();
    let choice = LeastLoaded::new(
        RoutingSettings::default(),
        "north".into(),
        ChaCha8Rng::seed_from_u64(1),
    );
    let mut state = RoutingState::new(RoutingSettings::default(), Box::new(choice));
    let plan = plan(now + Duration::from_secs(1));

    // Act
    let action = state.handle(now, RoutingEvent::Dispatch(plan));

    // Assert
    let outcome = Outcome::Failed {
        kind: ErrorKind::NoServer,
        retry_after: None,
    };
    let finish = RoutingAction::Finish {
        request: 1,
        outcome,
    };
    assert_eq!(action[..], [finish]);
}
