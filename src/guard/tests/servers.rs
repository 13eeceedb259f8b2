//! Tests of how servers are announced, confirmed, replaced and withdrawn.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{announcement, finished, refusal_of, request, starts, INCARNATION};
use crate::contract::{Document, ServiceContract, View};
use crate::error::ErrorKind;
use crate::guard::departures::ANNOUNCEMENT_DELAY_LIMIT;
use crate::guard::message::{Announcement, GuardAction, GuardEvent, GuardRequest, ServerOutcome};
use crate::guard::state::GuardState;
use crate::settings::guard::GuardSettings;
use crate::wire::dialect::HealthReport;
use crate::wire::forward::AttemptTerms;

#[test]
fn a_departed_server_does_not_return_by_an_announcement_of_the_same_incarnation() {
    // Arrange
    let now = Instant::now();
    let settings = GuardSettings {
        departures_final: true,
        ..Default::default()
    };
    let mut state = GuardState::new(settings, INCARNATION);
    let ready = |started_at_ms, sequence| {
        GuardEvent::Announced(Announcement {
            started_at_ms,
            sequence,
            ..announcement()
        })
    };
    state.handle(now, ready(5, 1));
    state.handle(now, withdrawn("s", 0));

    // Act
    state.handle(now, ready(5, 2));
    let same_incarnation = state.handle(now, GuardEvent::Arrived(request(1, now)));
    state.handle(now, ready(6, 1));
    let next_incarnation = state.handle(now, GuardEvent::Arrived(request(2, now)));

    // Assert
    assert_eq!(refusal_of(&same_incarnation, 1), Some(ErrorKind::NoServer));
    assert_eq!(refusal_of(&next_incarnation, 2), None);
}

#[test]
fn a_replaced_server_does_not_take_its_address_back() {
    // Arrange
    let now = Instant::now();
    let mut state = GuardState::new(GuardSettings::default(), INCARNATION);
    let named = |server: &str, started_at_ms| {
        GuardEvent::Announced(Announcement {
            server: server.into(),
            started_at_ms,
            ..announcement()
        })
    };
    state.handle(now, named("old", 5));
    state.handle(now, named("s", 6));

    // Act
    state.handle(now, named("old", 5));
    let to_old = GuardRequest {
        server: "old".into(),
        ..request(1, now)
    };
    let to_old = state.handle(now, GuardEvent::Arrived(to_old));
    let to_new = state.handle(now, GuardEvent::Arrived(request(2, now)));

    // Assert
    assert_eq!(refusal_of(&to_old, 1), Some(ErrorKind::NoServer));
    assert_eq!(refusal_of(&to_new, 2), None);
}

/// Health path of the service in `health_path_view`.
const HEALTH_PATH: &str = "/healthz";

/// Returns a view of a service that has a health path.
fn health_path_view() -> Arc<View> {
    let contract = |service: &str| ServiceContract {
        service: service.into(),
        health_path: HEALTH_PATH.to_owned(),
        ..Default::default()
    };
    let document = Document {
        services: vec![contract("v"), contract("w")],
        ..Default::default()
    };
    Arc::new(View::from_document(1, &document, Default::default()))
}

/// Returns a guard that asks servers for their health, with a service that has a health path.
pub(super) fn inquiring_guard(now: Instant) -> GuardState {
    let settings = GuardSettings {
        inquire: true,
        server_address: Some(announcement().address),
        server_service: "v".into(),
        ..Default::default()
    };
    let mut state = GuardState::new(settings, INCARNATION);
    state.handle(now, GuardEvent::View(health_path_view()));
    state
}

/// Returns the answer of this server to a health inquiry that was sent now.
pub(super) fn health(server: &str, healthy: bool) -> GuardEvent {
    GuardEvent::InquiryEnded {
        address: announcement().address,
        asked_at: Instant::now(),
        report: Some(HealthReport {
            server: server.into(),
            healthy,
            slots_count: Some(1),
            cold: false,
        }),
    }
}

/// Returns the withdrawal of an incarnation of a server.
pub(super) fn withdrawn(server: &str, started_at_ms: u64) -> GuardEvent {
    GuardEvent::Withdrawn {
        server: server.into(),
        started_at_ms,
    }
}

/// Returns an announcement of server `s` as one of this service.
fn announced_as(service: &str, sequence: u64) -> GuardEvent {
    GuardEvent::Announced(Announcement {
        service: service.into(),
        sequence,
        started_at_ms: 5,
        ..announcement()
    })
}

#[test]
fn an_unconfirmed_server_gets_work_after_its_health() {
    // Arrange
    let now = Instant::now();
    let mut state = inquiring_guard(now);

    // Act
    state.handle(now, announced_as("v", 1));
    let before = state.handle(now, GuardEvent::Arrived(request(1, now)));
    state.handle(now, health("s", true));
    let after = state.handle(now, GuardEvent::Arrived(request(2, now)));

    // Assert
    assert_eq!(refusal_of(&before, 1), Some(ErrorKind::NoServer));
    assert_eq!(refusal_of(&after, 2), None);
}

#[test]
fn a_second_announcement_confirms_a_server_once_it_must_be_from_after_the_start() {
    // Arrange
    let now = Instant::now();
    let just_before = now + ANNOUNCEMENT_DELAY_LIMIT - Duration::from_millis(1);
    let later = now + ANNOUNCEMENT_DELAY_LIMIT;
    let mut state = inquiring_guard(now);
    state.handle(now, announced_as("v", 1));
    state.handle(now, health("s", false));

    // Act
    state.handle(just_before, announced_as("v", 2));
    let early = state.handle(just_before, GuardEvent::Arrived(request(1, just_before)));
    state.handle(just_before, health("s", false));
    state.handle(later, announced_as("v", 3));
    let late = state.handle(later, GuardEvent::Arrived(request(2, later)));

    // Assert
    assert_eq!(refusal_of(&early, 1), Some(ErrorKind::NoServer));
    assert_eq!(refusal_of(&late, 2), None);
}

#[test]
fn a_server_announced_before_its_health_path_is_known_is_asked_when_the_view_arrives() {
    // Arrange
    let now = Instant::now();
    let settings = GuardSettings {
        inquire: true,
        ..Default::default()
    };
    let mut state = GuardState::new(settings, INCARNATION);
    state.handle(now, announced_as("v", 1));

    // Act
    let actions = state.handle(now, GuardEvent::View(health_path_view()));

    // Assert
    let asked = |action: &GuardAction| matches!(action, GuardAction::Inquire { .. });
    assert!(actions.iter().any(asked), "{actions:?}");
}

#[test]
fn a_delayed_announcement_of_a_replaced_server_gives_it_no_work() {
    // Arrange
    let now = Instant::now();
    let mut state = inquiring_guard(now);

    // Act
    state.handle(now, announced_as("v", 9));
    state.handle(now, health("another", true));
    let actions = state.handle(now, GuardEvent::Arrived(request(1, now)));

    // Assert
    assert_eq!(refusal_of(&actions, 1), Some(ErrorKind::NoServer));
}

#[test]
fn a_restarted_daemon_serves_a_running_server_before_its_announcement() {
    // Arrange
    let now = Instant::now();
    let mut state = inquiring_guard(now);

    // Act
    state.handle(now, health("s", true));
    let actions = state.handle(now, GuardEvent::Arrived(request(1, now)));

    // Assert
    assert_eq!(refusal_of(&actions, 1), None);
}

/// Returns a guard whose calls to its server ended with these outcomes, one after the other.
fn guard_after(now: Instant, outcomes: &[ServerOutcome], own_calls_fail: bool) -> GuardState {
    let settings = GuardSettings {
        breaker_open_ms: 300,
        ..Default::default()
    };
    let mut state = GuardState::new(settings, INCARNATION);
    state.handle(now, GuardEvent::Announced(announcement()));
    for (index, outcome) in outcomes.iter().enumerate() {
        let number = 100 + index as u128;
        state.handle(now, GuardEvent::Arrived(request(number, now)));
        if own_calls_fail {
            state.handle(now, GuardEvent::OwnCallFailed);
        }
        state.handle(now, finished(number, *outcome));
    }
    state
}

#[test]
fn failures_after_failed_own_calls_do_not_open_the_breaker() {
    // Arrange
    let now = Instant::now();
    let failures = [ServerOutcome::Answered(500); 3];

    // Act
    let arrived = |state: &mut GuardState| state.handle(now, GuardEvent::Arrived(request(1, now)));
    let own_fault = arrived(&mut guard_after(now, &failures, false));
    let fault_of_calls = arrived(&mut guard_after(now, &failures, true));

    // Assert
    assert_eq!(refusal_of(&own_fault, 1), Some(ErrorKind::ServerTripped));
    assert!(starts(&fault_of_calls, 1));
}

#[test]
fn a_shedding_server_takes_the_last_resort() {
    // Arrange
    let now = Instant::now();
    let mut state = guard_after(now, &[ServerOutcome::Shed; 2], false);

    // Act
    let ordinary = state.handle(now, GuardEvent::Arrived(request(1, now)));
    let last_resort = GuardRequest {
        terms: AttemptTerms {
            last_resort: true,
            ..Default::default()
        },
        ..request(2, now)
    };
    let last_resort = state.handle(now, GuardEvent::Arrived(last_resort));

    // Assert
    assert_eq!(refusal_of(&ordinary, 1), Some(ErrorKind::ServerTripped));
    assert!(starts(&last_resort, 2));
}
