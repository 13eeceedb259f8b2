//! Servers of another service than the settings name.

use std::time::Instant;

use super::servers::{health, inquiring_guard, withdrawn};
use super::{announcement, request, starts};
use crate::guard::message::{Announcement, GuardAction, GuardEvent};
use crate::guard::server::ServerState;
use crate::guard::state::GuardState;
use crate::settings::guard::GuardSettings;

/// Returns the announcement of the server `n` of another service at the address in the settings.
fn other_service() -> GuardEvent {
    announced("n", "w")
}

/// Returns the announcement of a server at the address in the settings.
fn announced(server: &str, service: &str) -> GuardEvent {
    GuardEvent::Announced(Announcement {
        server: server.into(),
        service: service.into(),
        started_at_ms: 9,
        ..announcement()
    })
}

/// Returns what the actions say of a contradiction.
fn contradicted(actions: &[GuardAction]) -> Option<bool> {
    actions.iter().find_map(|action| match action {
        GuardAction::ServiceContradicted(contradicted) => Some(*contradicted),
        _ => None,
    })
}

/// Returns a guard to which the server `n` of another service has announced itself and proven that it
/// holds the address.
fn contradicted_guard(now: Instant) -> GuardState {
    let mut state = inquiring_guard(now);
    state.handle(now, other_service());
    let proven = state.handle(now, health("n", true));
    assert_eq!(contradicted(&proven), Some(true));
    state
}

#[test]
fn a_server_of_another_service_is_not_entered_under_the_service_of_the_settings() {
    // Arrange
    let now = Instant::now();
    let state = contradicted_guard(now);

    // Act
    let entered = state.servers.values().filter(|server| !server.gone);

    // Assert
    assert_eq!(entered.count(), 0);
}

#[test]
fn an_announcement_of_a_server_that_is_not_there_does_not_contradict_the_settings() {
    // Arrange
    let now = Instant::now();
    let mut state = inquiring_guard(now);

    // Act
    let announced = state.handle(now, other_service());
    let answered = state.handle(now, health("s", true));

    // Assert
    assert_eq!(contradicted(&announced), None);
    assert_eq!(contradicted(&answered), None);
}

#[test]
fn another_service_in_the_settings_ends_the_contradiction() {
    // Arrange
    let now = Instant::now();
    let mut state = contradicted_guard(now);
    let settings = GuardSettings {
        server_service: "w".into(),
        ..state.settings.clone()
    };

    // Act
    let actions = state.handle(now, GuardEvent::Settings(Box::new(settings)));

    // Assert
    assert_eq!(contradicted(&actions), Some(false));
}

#[test]
fn a_health_answer_of_another_server_ends_the_contradiction() {
    // Arrange
    let now = Instant::now();
    let mut state = contradicted_guard(now);

    // Act
    let actions = state.handle(now, health("s", true));

    // Assert
    assert_eq!(contradicted(&actions), Some(false));
}

#[test]
fn an_announcement_of_a_service_without_a_contract_does_not_withdraw_its_server() {
    // Arrange
    let now = Instant::now();
    let mut state = inquiring_guard(now);
    state.handle(now, health("s", true));

    // Act
    let actions = state.handle(now, announced("s", "no-such-service"));
    let arrived = state.handle(now, GuardEvent::Arrived(request(1, now)));

    // Assert
    assert_eq!(contradicted(&actions), None);
    assert!(starts(&arrived, 1));
}

#[test]
fn a_late_departure_of_an_earlier_incarnation_does_not_end_the_contradiction() {
    // Arrange
    let now = Instant::now();
    let mut state = contradicted_guard(now);

    // Act
    let actions = state.handle(now, withdrawn("n", 5));

    // Assert
    assert_eq!(contradicted(&actions), None);
}

#[test]
fn a_late_announcement_of_an_earlier_incarnation_does_not_end_the_contradiction() {
    // Arrange
    let now = Instant::now();
    let mut state = contradicted_guard(now);
    let earlier = GuardEvent::Announced(Announcement {
        server: "n".into(),
        started_at_ms: 5,
        ..announcement()
    });

    // Act
    let actions = state.handle(now, earlier);

    // Assert
    assert_eq!(contradicted(&actions), None);
}

#[test]
fn the_server_in_the_settings_ends_the_contradiction_where_its_service_has_no_health_path() {
    // Arrange
    let now = Instant::now();
    let mut state = contradicted_guard(now);
    state.handle(now, GuardEvent::View(Default::default()));
    let own = |sequence| {
        GuardEvent::Announced(Announcement {
            started_at_ms: 20,
            sequence,
            ..announcement()
        })
    };

    // Act
    let first = state.handle(now, own(1));
    let second = state.handle(now, own(2));

    // Assert
    let ended = contradicted(&first).or(contradicted(&second));
    assert_eq!(ended, Some(false));
}

#[test]
fn a_heartbeat_with_a_wrong_service_is_outweighed_by_the_next_right_one() {
    // Arrange
    let now = Instant::now();
    let mut state = contradicted_guard(now);
    let right = GuardEvent::Announced(Announcement {
        server: "n".into(),
        started_at_ms: 9,
        ..announcement()
    });

    // Act
    let actions = state.handle(now, right);
    state.handle(now, health("n", true));

    // Assert
    assert_eq!(contradicted(&actions), Some(false));
    assert!(state.servers.values().any(ServerState::takes_work));
}

#[test]
fn an_incarnation_that_contradicts_no_more_outranks_no_earlier_one() {
    // Arrange
    let now = Instant::now();
    let mut state = contradicted_guard(now);
    let earlier = GuardEvent::Announced(Announcement {
        server: "n".into(),
        started_at_ms: 5,
        ..announcement()
    });
    let later = now + state.announcement_ttl();

    // Act
    let actions = state.handle(later, earlier);

    // Assert
    assert_eq!(contradicted(&actions), Some(false));
}
