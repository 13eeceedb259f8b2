//! Tests of servers that do not announce that they are cold, where no contract names a cold rate.

use std::time::{Duration, Instant};

use super::{announcement, finished, request, starts, INCARNATION};
use crate::guard::message::{Announcement, GuardAction, GuardEvent, ServerOutcome};
use crate::guard::state::GuardState;
use crate::settings::guard::GuardSettings;

/// Slots that the server announces.
const SLOTS_COUNT: u32 = 10;

/// Returns a guard without a contract, and with a server that announces whether it is cold.
fn guard(now: Instant, suspect_cold: bool, cold: bool) -> GuardState {
    let settings = GuardSettings {
        announcement_ttl_ms: 60_000,
        suspect_cold,
        ..Default::default()
    };
    let mut state = GuardState::new(settings, INCARNATION);
    state.handle(now, GuardEvent::Announced(server(cold)));
    state
}

/// Returns the announcement of a server that says whether it is cold.
fn server(cold: bool) -> Announcement {
    Announcement {
        slots_count: SLOTS_COUNT,
        cold,
        ..announcement()
    }
}

/// Sends requests with these numbers and returns how many start at once.
fn started_count(state: &mut GuardState, now: Instant, numbers: std::ops::Range<u128>) -> usize {
    let is_started = |number: &u128| {
        let actions = state.handle(now, GuardEvent::Arrived(request(*number, now)));
        starts(&actions, *number)
    };
    numbers.filter(is_started).count()
}

#[test]
fn a_server_that_says_it_is_warm_is_not_held_to_one_request() {
    let now = Instant::now();
    let mut state = guard(now, false, false);
    assert_eq!(started_count(&mut state, now, 0..20), SLOTS_COUNT as usize);
}

#[test]
fn a_broken_call_does_not_turn_a_server_cold_that_says_it_is_warm() {
    // Arrange
    let now = Instant::now();
    let mut state = guard(now, false, false);
    assert_eq!(started_count(&mut state, now, 0..1), 1);

    // Act
    state.handle(now, finished(0, ServerOutcome::Answered(503)));

    // Assert
    assert_eq!(started_count(&mut state, now, 1..20), SLOTS_COUNT as usize);
}

#[test]
fn a_server_that_says_it_is_cold_starts_at_the_cold_limit_and_ends_there_by_its_word() {
    // Arrange
    let now = Instant::now();
    let mut state = guard(now, false, true);
    assert_eq!(started_count(&mut state, now, 0..3), 1);

    // Act
    let later = now + Duration::from_millis(500);
    let actions = state.handle(later, GuardEvent::Announced(server(false)));

    // Assert
    assert!(starts(&actions, 1) && starts(&actions, 2), "{actions:?}");
    let reports_warm = |action: &GuardAction| matches!(action, GuardAction::ReportServers(found) if !found[0].cold && found[0].slots_count == SLOTS_COUNT);
    assert!(actions.iter().any(reports_warm), "{actions:?}");
}

#[test]
fn by_default_a_server_without_a_cold_rate_may_be_cold_unannounced() {
    let now = Instant::now();
    let mut state = guard(now, GuardSettings::default().suspect_cold, false);
    assert_eq!(started_count(&mut state, now, 0..20), 1);
}
