//! Which server on this VM a guard believes in.

use std::net::SocketAddr;
use std::time::Instant;

use super::{announcement, refusal_of, request, LIFE};
use crate::error::ErrorKind;
use crate::guard::message::{Announcement, GuardAction, GuardEvent, IgnoredBecause};
use crate::guard::state::GuardState;
use crate::guard::tests::servers::proving_guard;
use crate::membership::ServerEntry;
use crate::settings::guard::GuardSettings;

fn named(server: &str, service: &str, started_at_ms: u64) -> Announcement {
    Announcement {
        server: server.into(),
        service: service.into(),
        started_at_ms,
        ..announcement()
    }
}

fn ignored(actions: &[GuardAction]) -> Option<IgnoredBecause> {
    actions.iter().find_map(|action| match action {
        GuardAction::AnnouncementIgnored { reason, .. } => Some(*reason),
        _ => None,
    })
}

/// What membership was told last, of several events.
fn told(actions: &[GuardAction]) -> Option<&[ServerEntry]> {
    actions.iter().rev().find_map(|action| match action {
        GuardAction::Servers(servers) => Some(servers.as_slice()),
        _ => None,
    })
}

#[test]
fn an_announcement_of_another_service_or_address_names_no_server_on_this_vm() {
    // Arrange
    let now = Instant::now();
    let mut state = proving_guard(now);
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
    assert_eq!(told(&other_service).or(told(&other_address)), None);
}

#[test]
fn a_server_that_other_settings_contradict_gets_no_more_work() {
    // Arrange
    let now = Instant::now();
    let mut state = GuardState::new(GuardSettings::default(), LIFE);
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
