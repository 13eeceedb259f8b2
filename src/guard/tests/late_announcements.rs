//! Announcements, departures and health answers that are delayed, repeated or of an earlier
//! incarnation.

use std::time::{Duration, Instant};

use super::servers::{health, inquiring_guard, withdrawn};
use super::{announcement, refusal_of, request, starts};
use crate::error::ErrorKind;
use crate::guard::message::{Announcement, GuardAction, GuardEvent, IgnoredBecause};
use crate::guard::state::GuardState;
use crate::membership::ServerDeparture;
use crate::settings::guard::GuardSettings;
use crate::wire::dialect::HealthReport;

/// Returns a guard that confirms servers by their health and treats departures as final.
fn guard(now: Instant) -> GuardState {
    let mut state = inquiring_guard(now);
    let settings = GuardSettings {
        departures_final: true,
        announcement_ttl_ms: 60_000,
        ..state.settings.clone()
    };
    state.handle(now, GuardEvent::Settings(Box::new(settings)));
    state
}

/// Returns the announcement of an incarnation of a server at the address of `announcement`.
fn announcement_event(
    server: &str,
    started_at_ms: u64,
    sequence: u64,
    draining: bool,
) -> GuardEvent {
    GuardEvent::Announced(Announcement {
        server: server.into(),
        service: "v".into(),
        started_at_ms,
        sequence,
        draining,
        ..announcement()
    })
}

/// Returns the end of a health inquiry, sent now, that got no answer.
fn unanswered_inquiry(now: Instant) -> GuardEvent {
    GuardEvent::InquiryEnded {
        address: announcement().address,
        asked_at: now,
        report: None,
    }
}

/// Returns a health answer of this server to an inquiry that was sent at `asked_at`.
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

/// Returns why an announcement was ignored, if one was.
fn ignored(actions: &[GuardAction]) -> Option<IgnoredBecause> {
    actions.iter().find_map(|action| match action {
        GuardAction::AnnouncementIgnored { reason, .. } => Some(*reason),
        _ => None,
    })
}

/// Returns whether the guard asks a server for its health.
fn inquires(actions: &[GuardAction]) -> bool {
    let asked = |action: &GuardAction| matches!(action, GuardAction::Inquire { .. });
    actions.iter().any(asked)
}

#[test]
fn a_burst_of_delayed_announcements_does_not_replace_a_server_confirmed_by_health() {
    // Arrange
    let now = Instant::now();
    let mut state = guard(now);
    state.handle(now, health("s", true));

    // Act
    state.handle(now, announcement_event("former", 5, 8, false));
    state.handle(now, announcement_event("former", 5, 9, false));
    let meanwhile = state.handle(now, GuardEvent::Arrived(request(1, now)));
    state.handle(now, health("s", true));
    let after = state.handle(now, GuardEvent::Arrived(request(2, now)));

    // Assert
    assert_eq!(refusal_of(&meanwhile, 1), None);
    assert_eq!(refusal_of(&after, 2), None);
}

#[test]
fn health_restores_a_server_that_was_wrongly_marked_gone() {
    // Arrange
    let now = Instant::now();
    let mut state = guard(now);
    state.handle(now, health("s", true));
    state.handle(now, announcement_event("former", 5, 8, false));
    state.handle(now, unanswered_inquiry(now));
    state.handle(now, announcement_event("former", 5, 9, false));

    // Act
    state.handle(now, health("s", true));
    let arrived = state.handle(now, GuardEvent::Arrived(request(1, now)));

    // Assert
    assert_eq!(refusal_of(&arrived, 1), None);
}

#[test]
fn a_delayed_health_answer_does_not_replace_a_server_seen_since() {
    // Arrange
    let asked_at = Instant::now();
    let now = asked_at + Duration::from_secs(1);
    let mut state = guard(asked_at);
    state.handle(asked_at, announcement_event("former", 5, 1, false));
    state.handle(now, announcement_event("s", 9, 1, false));
    state.handle(now, health_asked_at(now, "s"));

    // Act
    state.handle(now, health_asked_at(asked_at, "former"));
    state.handle(now, health_asked_at(asked_at, "another"));
    let arrived = state.handle(now, GuardEvent::Arrived(request(1, now)));

    // Assert
    assert_eq!(refusal_of(&arrived, 1), None);
    assert_eq!(state.reported_servers.len(), 1);
}

#[test]
fn a_server_whose_clock_was_set_back_is_accepted_again() {
    // Arrange
    let now = Instant::now();
    let mut state = guard(now);
    state.handle(now, announcement_event("s", 100_000, 7, false));
    state.handle(now, health("s", true));
    let later = now + Duration::from_secs(61);
    state.handle(later, GuardEvent::Tick);

    // Act
    let back = state.handle(later, announcement_event("s", 50_000, 1, false));
    state.handle(later, health_asked_at(later, "s"));
    let arrived = state.handle(later, GuardEvent::Arrived(request(1, later)));

    // Assert
    assert!(inquires(&back), "{back:?}");
    assert!(!starts(&back, 1) && refusal_of(&arrived, 1) != Some(ErrorKind::NoServer));
}

#[test]
fn an_announcement_of_an_earlier_incarnation_is_not_acknowledged() {
    // Arrange
    let now = Instant::now();
    let mut state = guard(now);
    state.handle(now, announcement_event("s", 100_000, 7, false));
    state.handle(now, health("s", true));

    // Act
    let earlier = state.handle(now, announcement_event("s", 50_000, 8, true));
    let nameless = state.handle(now, announcement_event("s", 0, 0, false));

    // Assert
    assert_eq!(ignored(&earlier), Some(IgnoredBecause::EarlierIncarnation));
    assert_eq!(ignored(&nameless), Some(IgnoredBecause::EarlierIncarnation));
}

#[test]
fn a_delayed_departure_of_an_earlier_incarnation_does_not_remove_the_later_one() {
    // Arrange
    let now = Instant::now();
    let mut state = guard(now);
    state.handle(now, announcement_event("s", 9, 1, false));
    state.handle(now, health("s", true));

    // Act
    state.handle(now, withdrawn("s", 5));
    let arrived = state.handle(now, GuardEvent::Arrived(request(1, now)));

    // Assert
    assert_eq!(refusal_of(&arrived, 1), None);
}

#[test]
fn a_departure_of_a_server_known_by_its_health_is_final() {
    // Arrange
    let now = Instant::now();
    let mut state = guard(now);
    state.handle(now, health("s", true));

    // Act
    state.handle(now, withdrawn("s", 0));
    state.handle(now, announcement_event("s", 5, 3, false));
    state.handle(now, health("s", true));
    let arrived = state.handle(now, GuardEvent::Arrived(request(1, now)));

    // Assert
    assert_eq!(refusal_of(&arrived, 1), Some(ErrorKind::NoServer));
}

#[test]
fn a_departure_of_an_unknown_server_is_final() {
    // Arrange
    let now = Instant::now();
    let mut announced = guard(now);
    let mut asked = guard(now);

    // Act
    announced.handle(now, withdrawn("s", 5));
    announced.handle(now, announcement_event("s", 5, 3, false));
    announced.handle(now, unanswered_inquiry(now));
    announced.handle(now, announcement_event("s", 5, 4, false));
    asked.handle(now, withdrawn("s", 0));
    asked.handle(now, health("s", true));
    let after_announcements = announced.handle(now, GuardEvent::Arrived(request(1, now)));
    let after_health = asked.handle(now, GuardEvent::Arrived(request(1, now)));

    // Assert
    assert_eq!(
        refusal_of(&after_announcements, 1),
        Some(ErrorKind::NoServer)
    );
    assert_eq!(refusal_of(&after_health, 1), Some(ErrorKind::NoServer));
}

#[test]
fn a_departure_without_a_start_time_does_not_block_later_incarnations_for_good() {
    // Arrange
    let now = Instant::now();
    let later = now + Duration::from_secs(11);
    let mut state = guard(now);
    state.handle(now, withdrawn("s", 0));

    // Act
    state.handle(later, announcement_event("s", 20, 1, false));
    state.handle(later, health_asked_at(later, "s"));
    let arrived = state.handle(later, GuardEvent::Arrived(request(1, later)));

    // Assert
    assert!(starts(&arrived, 1) || refusal_of(&arrived, 1) != Some(ErrorKind::NoServer));
}

#[test]
fn a_departing_server_does_not_block_another_at_its_address() {
    // Arrange
    let now = Instant::now();
    let mut state = guard(now);
    state.handle(now, announcement_event("old", 100_000, 7, false));
    state.handle(now, health("old", true));
    state.handle(now, announcement_event("old", 100_000, 8, true));

    // Act
    let back = state.handle(now, announcement_event("s", 50_000, 1, false));
    state.handle(now, health("s", true));
    let arrived = state.handle(now, GuardEvent::Arrived(request(1, now)));

    // Assert
    assert!(inquires(&back), "{back:?}");
    assert_eq!(refusal_of(&arrived, 1), None);
}

#[test]
fn inquiries_about_a_seemingly_replaced_server_are_rate_limited() {
    // Arrange
    let now = Instant::now();
    let mut state = guard(now);
    state.handle(now, announcement_event("old", 100_000, 7, false));
    state.handle(now, health("old", true));

    // Act
    let first = state.handle(now, announcement_event("s", 50_000, 1, false));
    let second = state.handle(now, announcement_event("s", 50_000, 2, false));
    state.handle(now, health("s", true));
    let arrived = state.handle(now, GuardEvent::Arrived(request(1, now)));

    // Assert
    assert_eq!(ignored(&first), Some(IgnoredBecause::Replaced));
    assert_eq!((inquires(&first), inquires(&second)), (true, false));
    assert_eq!(refusal_of(&arrived, 1), None);
}

#[test]
fn a_health_answer_to_an_inquiry_before_a_reload_is_ignored() {
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
    assert!(state.reported_servers.is_empty());
}

#[test]
fn reloaded_settings_ask_the_server_that_they_name() {
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
    assert!(inquires(&actions), "{actions:?}");
}

/// Guards against a restarted daemon that sends work to a server whose departure it had acknowledged
/// before, after two late announcements.
#[test]
fn late_announcements_do_not_undo_a_departure_from_before_a_restart() {
    // Arrange
    let now = Instant::now();
    let mut unhealthy = guard(now);
    let mut unanswered = guard(now);
    let mut pending = guard(now);

    // Act
    unhealthy.handle(now, announcement_event("s", 5, 7, false));
    unhealthy.handle(now, health("s", false));
    let asked_again = unhealthy.handle(now, announcement_event("s", 5, 8, false));
    unanswered.handle(now, announcement_event("s", 5, 7, false));
    unanswered.handle(now, unanswered_inquiry(now));
    unanswered.handle(now, announcement_event("s", 5, 8, false));
    pending.handle(now, announcement_event("s", 5, 7, false));
    pending.handle(now, announcement_event("s", 5, 8, false));

    // Assert
    assert!(inquires(&asked_again), "{asked_again:?}");
    for mut state in [unhealthy, unanswered, pending] {
        let arrived = state.handle(now, GuardEvent::Arrived(request(1, now)));
        assert_eq!(refusal_of(&arrived, 1), Some(ErrorKind::NoServer));
    }
}

/// Returns the departures that were reported to membership, if any were.
fn reported_departures(actions: &[GuardAction]) -> Option<&[ServerDeparture]> {
    actions.iter().find_map(|action| match action {
        GuardAction::ReportDepartures(departures) => Some(departures.as_slice()),
        _ => None,
    })
}

#[test]
fn a_departure_is_reported_once_for_the_next_incarnation_of_the_daemon() {
    // Arrange
    let now = Instant::now();
    let mut state = guard(now);
    state.handle(now, announcement_event("s", 5, 1, false));

    // Act
    let draining = state.handle(now, announcement_event("s", 5, 2, true));
    let again = state.handle(now, announcement_event("s", 5, 3, true));
    let withdrawal = state.handle(now, withdrawn("s", 5));
    let other = state.handle(now, withdrawn("t", 6));
    let unknown = state.handle(now, withdrawn("u", 0));

    // Assert
    let departure = |server: &str, started_at_ms| ServerDeparture {
        server: server.into(),
        started_at_ms,
    };
    let first = departure("s", 5);
    assert_eq!(reported_departures(&draining), Some(&[first.clone()][..]));
    assert_eq!(reported_departures(&again), None);
    assert_eq!(reported_departures(&withdrawal), None);
    let both = [first, departure("t", 6)];
    assert_eq!(reported_departures(&other), Some(&both[..]));
    assert_eq!(reported_departures(&unknown), None);
}
