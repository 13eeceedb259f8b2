//! Which of several announced servers a guard accepts as the one on its VM.

use std::net::SocketAddr;
use std::time::Instant;

use super::{announcement, refusal_of, request, INCARNATION};
use crate::error::ErrorKind;
use crate::guard::departures::ANNOUNCEMENT_DELAY_LIMIT;
use crate::guard::message::{Announcement, GuardAction, GuardEvent, GuardRequest, IgnoredBecause};
use crate::guard::state::GuardState;
use crate::guard::tests::servers::{health, inquiring_guard};
use crate::membership::ServerEntry;
use crate::settings::guard::GuardSettings;

/// Returns the announcement of an incarnation of this server.
fn named(server: &str, service: &str, started_at_ms: u64) -> Announcement {
    Announcement {
        server: server.into(),
        service: service.into(),
        started_at_ms,
        ..announcement()
    }
}

/// Returns why an announcement was ignored, if one was.
fn ignored(actions: &[GuardAction]) -> Option<IgnoredBecause> {
    actions.iter().find_map(|action| match action {
        GuardAction::AnnouncementIgnored { reason, .. } => Some(*reason),
        _ => None,
    })
}

/// Returns the servers in the last report to membership among these actions.
fn reported_servers(actions: &[GuardAction]) -> Option<&[ServerEntry]> {
    actions.iter().rev().find_map(|action| match action {
        GuardAction::ReportServers(servers) => Some(servers.as_slice()),
        _ => None,
    })
}

#[test]
fn an_announcement_that_contradicts_the_settings_is_ignored() {
    // Arrange
    let now = Instant::now();
    let mut state = inquiring_guard(now);
    let elsewhere: SocketAddr = "127.0.0.2:9".parse().expect("a literal address");
    let moved = Announcement {
        address: elsewhere,
        ..named("a", "v", 5)
    };

    // Act
    let other_service = state.handle(now, GuardEvent::Announced(named("a", "w", 5)));
    let other_address = state.handle(now, GuardEvent::Announced(moved));

    // Assert
    assert_eq!(ignored(&other_service), Some(IgnoredBecause::OtherService));
    assert_eq!(ignored(&other_address), Some(IgnoredBecause::OtherAddress));
    assert_eq!(
        reported_servers(&other_service).or(reported_servers(&other_address)),
        None
    );
}

#[test]
fn a_delayed_announcement_does_not_replace_a_server_confirmed_by_health() {
    // Arrange
    let now = Instant::now();
    let mut state = inquiring_guard(now);
    state.handle(now, health("s", true));

    // Act
    state.handle(now, GuardEvent::Announced(named("former", "v", 5)));
    let meanwhile = state.handle(now, GuardEvent::Arrived(request(1, now)));
    state.handle(now, health("s", true));
    let after = state.handle(now, GuardEvent::Arrived(request(2, now)));

    // Assert
    assert_eq!(refusal_of(&meanwhile, 1), None);
    assert_eq!(refusal_of(&after, 2), None);
    assert_eq!(state.reported_servers.len(), 1);
}

#[test]
fn a_server_confirmed_by_health_replaces_the_former_holder_of_its_address() {
    // Arrange
    let now = Instant::now();
    let mut state = inquiring_guard(now);
    state.handle(now, GuardEvent::Announced(named("former", "v", 5)));

    // Act
    let actions = state.handle(now, health("s", true));
    let arrived = state.handle(now, GuardEvent::Arrived(request(1, now)));

    // Assert
    let names =
        reported_servers(&actions).map(|servers| servers.iter().map(|found| &*found.server));
    assert_eq!(names.map(Iterator::collect::<Vec<_>>), Some(vec!["s"]));
    assert_eq!(refusal_of(&arrived, 1), None);
}

#[test]
fn a_second_announcement_replaces_a_holder_that_never_announced_itself() {
    // Arrange
    let now = Instant::now();
    let mut state = inquiring_guard(now);
    state.handle(now, health("former", true));
    let later = now + ANNOUNCEMENT_DELAY_LIMIT;

    // Act
    state.handle(later, GuardEvent::Announced(named("s", "v", 5)));
    state.handle(later, health("s", false));
    let actions = state.handle(later, GuardEvent::Announced(named("s", "v", 5)));

    // Assert
    let names =
        reported_servers(&actions).map(|servers| servers.iter().map(|found| &*found.server));
    assert_eq!(names.map(Iterator::collect::<Vec<_>>), Some(vec!["s"]));
}

#[test]
fn a_server_that_reloaded_settings_exclude_gets_no_more_work() {
    // Arrange
    let now = Instant::now();
    let mut state = GuardState::new(GuardSettings::default(), INCARNATION);
    state.handle(now, GuardEvent::Announced(named("s", "v", 5)));
    let settings = GuardSettings {
        server_service: "w".into(),
        ..Default::default()
    };

    // Act
    state.handle(now, GuardEvent::Settings(Box::new(settings)));
    let actions = state.handle(now, GuardEvent::Arrived(request(1, now)));

    // Assert
    assert_eq!(refusal_of(&actions, 1), Some(ErrorKind::NoServer));
}

#[test]
fn no_server_is_accepted_where_the_settings_name_none() {
    let named_server = GuardSettings {
        only_named_server: true,
        ..inquiring_guard(Instant::now()).settings
    };
    for (address, service) in [(None, ""), (None, "v"), (named_server.server_address, "")] {
        // Arrange
        let now = Instant::now();
        let mut state = GuardState::new(named_server.clone(), INCARNATION);
        state.handle(now, GuardEvent::Announced(named("s", "v", 5)));
        let settings = GuardSettings {
            server_address: address,
            server_service: service.into(),
            ..named_server.clone()
        };

        // Act
        let actions = state.handle(now, GuardEvent::Settings(Box::new(settings)));
        let announced = state.handle(now, GuardEvent::Announced(named("s", "v", 6)));

        // Assert
        assert_eq!(reported_servers(&actions), Some(&[][..]));
        assert!(ignored(&announced).is_some(), "{address:?} {service:?}");
    }
}

#[test]
fn a_request_does_not_run_at_a_server_that_has_changed_its_service() {
    // Arrange
    let now = Instant::now();
    let mut state = GuardState::new(GuardSettings::default(), INCARNATION);
    let for_v = |number| {
        GuardEvent::Arrived(GuardRequest {
            service: "v".into(),
            ..request(number, now)
        })
    };
    state.handle(now, GuardEvent::Announced(named("s", "v", 5)));
    state.handle(now, for_v(1));
    state.handle(now, for_v(2));

    // Act
    let renewed = state.handle(now, GuardEvent::Announced(named("s", "w", 6)));
    let arrived = state.handle(now, for_v(3));

    // Assert
    assert_eq!(refusal_of(&renewed, 2), Some(ErrorKind::ServerReplaced));
    assert_eq!(refusal_of(&arrived, 3), Some(ErrorKind::ServerReplaced));
}

#[test]
fn a_server_that_names_another_service_is_not_taken_for_the_configured_one() {
    for health_first in [true, false] {
        // Arrange
        let now = Instant::now();
        let mut state = inquiring_guard(now);
        let other = GuardEvent::Announced(named("s", "w", 5));

        // Act
        if health_first {
            state.handle(now, health("s", true));
        }
        state.handle(now, other);
        state.handle(now, health("s", true));
        let arrived = state.handle(now, GuardEvent::Arrived(request(1, now)));

        // Assert
        assert_eq!(refusal_of(&arrived, 1), Some(ErrorKind::NoServer));
    }
}

#[test]
fn a_server_that_named_another_service_serves_once_the_settings_name_it() {
    // Arrange
    let now = Instant::now();
    let mut state = inquiring_guard(now);
    state.handle(now, health("s", true));
    state.handle(now, GuardEvent::Announced(named("s", "w", 5)));
    let settings = GuardSettings {
        server_service: "w".into(),
        ..state.settings.clone()
    };
    let for_w = GuardRequest {
        service: "w".into(),
        ..request(1, now)
    };

    // Act
    state.handle(now, GuardEvent::Settings(Box::new(settings)));
    for sequence in [1, 2] {
        let announcement = Announcement {
            sequence,
            ..named("s", "w", 5)
        };
        state.handle(now, GuardEvent::Announced(announcement));
    }
    let arrived = state.handle(now, GuardEvent::Arrived(for_w));

    // Assert
    assert_eq!(refusal_of(&arrived, 1), None);
}
