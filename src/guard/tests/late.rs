//! Announcements, departures and health answers that come late, twice or from an earlier life.

use std::time::{Duration, Instant};

use super::servers::{health, proving_guard, withdrawn};
use super::{announcement, refusal_of, request, starts};
use crate::error::ErrorKind;
use crate::guard::message::{Announcement, GuardAction, GuardEvent, IgnoredBecause};
use crate::guard::state::GuardState;
use crate::settings::guard::GuardSettings;
use crate::wire::dialect::HealthReport;

/// A guard that proves servers and holds them to their departures.
fn guard(now: Instant) -> GuardState {
    let mut state = proving_guard(now);
    let settings = GuardSettings {
        departures_final: true,
        announcement_ttl_ms: 60_000,
        ..state.settings.clone()
    };
    state.handle(now, GuardEvent::Settings(Box::new(settings)));
    state
}

fn beat(server: &str, started_at_ms: u64, sequence: u64, draining: bool) -> GuardEvent {
    GuardEvent::Announced(Announcement {
        server: server.into(),
        service: "v".into(),
        started_at_ms,
        sequence,
        draining,
        ..announcement()
    })
}

fn unhelpful(now: Instant) -> GuardEvent {
    GuardEvent::InquiryEnded {
        address: announcement().address,
        asked_at: now,
        report: None,
    }
}

fn health_asked_at(asked_at: Instant, server: &str) -> GuardEvent {
    GuardEvent::InquiryEnded {
        address: announcement().address,
        asked_at,
        report: Some(HealthReport {
            server: server.into(),
            healthy: true,
            slots_count: Some(1),
            cold: false,
        }),
    }
}

fn ignored(actions: &[GuardAction]) -> Option<IgnoredBecause> {
    actions.iter().find_map(|action| match action {
        GuardAction::AnnouncementIgnored { reason, .. } => Some(*reason),
        _ => None,
    })
}

fn asks(actions: &[GuardAction]) -> bool {
    let asked = |action: &GuardAction| matches!(action, GuardAction::Inquire { .. });
    actions.iter().any(asked)
}

#[test]
fn late_announcements_in_a_bunch_do_not_end_the_server_that_health_has_named() {
    // Arrange
    let now = Instant::now();
    let mut state = guard(now);
    state.handle(now, health("s", true));

    // Act
    state.handle(now, beat("former", 5, 8, false));
    state.handle(now, beat("former", 5, 9, false));
    let meanwhile = state.handle(now, GuardEvent::Arrived(request(1, now)));
    state.handle(now, health("s", true));
    let after = state.handle(now, GuardEvent::Arrived(request(2, now)));

    // Assert
    assert_eq!(refusal_of(&meanwhile, 1), None);
    assert_eq!(refusal_of(&after, 2), None);
}

#[test]
fn health_brings_a_server_back_that_was_taken_for_gone() {
    // Arrange
    let now = Instant::now();
    let mut state = guard(now);
    state.handle(now, health("s", true));
    state.handle(now, beat("former", 5, 8, false));
    state.handle(now, unhelpful(now));
    state.handle(now, beat("former", 5, 9, false));

    // Act
    state.handle(now, health("s", true));
    let arrived = state.handle(now, GuardEvent::Arrived(request(1, now)));

    // Assert
    assert_eq!(refusal_of(&arrived, 1), None);
}

#[test]
fn a_late_health_answer_does_not_end_a_server_that_was_seen_since() {
    // Arrange
    let asked_at = Instant::now();
    let now = asked_at + Duration::from_secs(1);
    let mut state = guard(asked_at);
    state.handle(asked_at, beat("former", 5, 1, false));
    state.handle(now, beat("s", 9, 1, false));
    state.handle(now, health_asked_at(now, "s"));

    // Act
    state.handle(now, health_asked_at(asked_at, "former"));
    state.handle(now, health_asked_at(asked_at, "another"));
    let arrived = state.handle(now, GuardEvent::Arrived(request(1, now)));

    // Assert
    assert_eq!(refusal_of(&arrived, 1), None);
    assert_eq!(state.reported.len(), 1);
}

#[test]
fn a_server_whose_clock_was_set_back_is_served_again_under_its_name() {
    // Arrange
    let now = Instant::now();
    let mut state = guard(now);
    state.handle(now, beat("s", 100_000, 7, false));
    state.handle(now, health("s", true));
    let later = now + Duration::from_secs(61);
    state.handle(later, GuardEvent::Tick);

    // Act
    let back = state.handle(later, beat("s", 50_000, 1, false));
    state.handle(later, health_asked_at(later, "s"));
    let arrived = state.handle(later, GuardEvent::Arrived(request(1, later)));

    // Assert
    assert!(asks(&back), "{back:?}");
    assert!(!starts(&back, 1) && refusal_of(&arrived, 1) != Some(ErrorKind::NoServer));
}

#[test]
fn a_word_of_an_earlier_life_is_not_acknowledged_as_taken() {
    // Arrange
    let now = Instant::now();
    let mut state = guard(now);
    state.handle(now, beat("s", 100_000, 7, false));
    state.handle(now, health("s", true));

    // Act
    let earlier = state.handle(now, beat("s", 50_000, 8, true));
    let nameless = state.handle(now, beat("s", 0, 0, false));

    // Assert
    assert_eq!(ignored(&earlier), Some(IgnoredBecause::EarlierIncarnation));
    assert_eq!(ignored(&nameless), Some(IgnoredBecause::EarlierIncarnation));
}

#[test]
fn a_late_departure_of_an_earlier_life_does_not_end_the_later_one() {
    // Arrange
    let now = Instant::now();
    let mut state = guard(now);
    state.handle(now, beat("s", 9, 1, false));
    state.handle(now, health("s", true));

    // Act
    state.handle(now, withdrawn("s", 5));
    let arrived = state.handle(now, GuardEvent::Arrived(request(1, now)));

    // Assert
    assert_eq!(refusal_of(&arrived, 1), None);
}

#[test]
fn a_departure_of_a_server_known_by_its_health_binds() {
    // Arrange
    let now = Instant::now();
    let mut state = guard(now);
    state.handle(now, health("s", true));

    // Act
    state.handle(now, withdrawn("s", 0));
    state.handle(now, beat("s", 5, 3, false));
    state.handle(now, health("s", true));
    let arrived = state.handle(now, GuardEvent::Arrived(request(1, now)));

    // Assert
    assert_eq!(refusal_of(&arrived, 1), Some(ErrorKind::NoServer));
}

#[test]
fn a_departure_of_a_server_that_is_not_known_binds() {
    // Arrange
    let now = Instant::now();
    let mut announced = guard(now);
    let mut asked = guard(now);

    // Act
    announced.handle(now, withdrawn("s", 5));
    announced.handle(now, beat("s", 5, 3, false));
    announced.handle(now, unhelpful(now));
    announced.handle(now, beat("s", 5, 4, false));
    asked.handle(now, withdrawn("s", 0));
    asked.handle(now, health("s", true));
    let after_words = announced.handle(now, GuardEvent::Arrived(request(1, now)));
    let after_health = asked.handle(now, GuardEvent::Arrived(request(1, now)));

    // Assert
    assert_eq!(refusal_of(&after_words, 1), Some(ErrorKind::NoServer));
    assert_eq!(refusal_of(&after_health, 1), Some(ErrorKind::NoServer));
}

#[test]
fn a_departure_without_a_start_does_not_bind_the_next_life_for_good() {
    // Arrange
    let now = Instant::now();
    let later = now + Duration::from_secs(11);
    let mut state = guard(now);
    state.handle(now, withdrawn("s", 0));

    // Act
    state.handle(later, beat("s", 20, 1, false));
    state.handle(later, health_asked_at(later, "s"));
    let arrived = state.handle(later, GuardEvent::Arrived(request(1, later)));

    // Assert
    assert!(starts(&arrived, 1) || refusal_of(&arrived, 1) != Some(ErrorKind::NoServer));
}

#[test]
fn a_server_that_said_it_leaves_keeps_no_other_from_its_address() {
    // Arrange
    let now = Instant::now();
    let mut state = guard(now);
    state.handle(now, beat("old", 100_000, 7, false));
    state.handle(now, health("old", true));
    state.handle(now, beat("old", 100_000, 8, true));

    // Act
    let back = state.handle(now, beat("s", 50_000, 1, false));
    state.handle(now, health("s", true));
    let arrived = state.handle(now, GuardEvent::Arrived(request(1, now)));

    // Assert
    assert!(asks(&back), "{back:?}");
    assert_eq!(refusal_of(&arrived, 1), None);
}

#[test]
fn a_server_that_seems_replaced_is_asked_for_now_and_then() {
    // Arrange
    let now = Instant::now();
    let mut state = guard(now);
    state.handle(now, beat("old", 100_000, 7, false));
    state.handle(now, health("old", true));

    // Act
    let first = state.handle(now, beat("s", 50_000, 1, false));
    let second = state.handle(now, beat("s", 50_000, 2, false));
    state.handle(now, health("s", true));
    let arrived = state.handle(now, GuardEvent::Arrived(request(1, now)));

    // Assert
    assert_eq!(ignored(&first), Some(IgnoredBecause::Replaced));
    assert_eq!((asks(&first), asks(&second)), (true, false));
    assert_eq!(refusal_of(&arrived, 1), None);
}

#[test]
fn health_that_was_asked_for_before_other_settings_names_no_server_of_theirs() {
    // Arrange
    let asked_at = Instant::now();
    let now = asked_at + Duration::from_secs(1);
    let mut state = guard(asked_at);
    let settings = GuardSettings {
        server_service: "w".into(),
        ..state.settings.clone()
    };

    // Act
    state.handle(now, GuardEvent::Settings(Box::new(settings)));
    state.handle(now, health_asked_at(asked_at, "old"));

    // Assert
    assert!(state.reported.is_empty());
}

#[test]
fn other_settings_ask_the_server_that_they_name() {
    // Arrange
    let now = Instant::now();
    let mut state = guard(now);
    state.handle(now, health("s", true));
    let settings = GuardSettings {
        server_address: Some("127.0.0.3:7".parse().expect("a literal address")),
        ..state.settings.clone()
    };

    // Act
    let actions = state.handle(now, GuardEvent::Settings(Box::new(settings)));

    // Assert
    assert!(asks(&actions), "{actions:?}");
}
