//! Tests of which claims of idempotency keys a home daemon grants.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::home::{claim_key, HomeMap};
use super::message::IdempotencyEvent;
use super::state::IdempotencyState;
use crate::link::{ClaimAnswer, ClaimRequest, ClaimStep};
use crate::membership::{DaemonEntry, Fleet};
use crate::settings::idempotency::IdempotencySettings;
use crate::types::format_id;

/// Wall time at which the home starts.
const STARTED_AT_MS: u64 = 1_000_000;
/// Greatest difference between clocks.
const MARGIN_MS: u64 = 5_000;
/// How long uses of keys are kept.
const KEEP_MS: u64 = 600_000;

/// Returns a fleet of these daemons.
fn fleet(names: &[&str]) -> Arc<Fleet> {
    let mut daemons = BTreeMap::new();
    for name in names {
        let entry = DaemonEntry {
            daemon: (*name).into(),
            incarnation: 1,
            version: 1,
            domain: "d".into(),
            guard_address: "127.0.0.1:1".parse().unwrap(),
            link_address: "127.0.0.1:2".parse().unwrap(),
            leaving: false,
            servers: Vec::new(),
        };
        daemons.insert(entry.daemon.clone(), Arc::new(entry));
    }
    Arc::new(Fleet {
        daemons: daemons.into_iter().collect(),
    })
}

/// Returns a key of UUID version 7 that was issued at this time.
fn key_at(issued_at_ms: u64, number: u128) -> String {
    format_id((u128::from(issued_at_ms) << 80) | (7 << 76) | (0b10 << 62) | number)
}

/// Returns the state of daemon `a` in a fleet of these daemons.
fn home_state(names: &[&str]) -> IdempotencyState {
    let settings = IdempotencySettings {
        margin_ms: MARGIN_MS,
        keep_ms: KEEP_MS,
        ..Default::default()
    };
    let mut state = IdempotencyState::new(settings, "a".into(), STARTED_AT_MS);
    let event = IdempotencyEvent::Fleet(fleet(names));
    state.handle(Instant::now(), STARTED_AT_MS, event);
    state
}

/// Returns a claim of a key, or its release, for a request.
fn claim(key: &str, request: u128, step: ClaimStep) -> IdempotencyEvent {
    IdempotencyEvent::Claim(ClaimRequest {
        step,
        organisation: "o".into(),
        idempotency_key: key.to_owned(),
        request,
    })
}

/// Claims a key for a request and returns the answer.
fn take(state: &mut IdempotencyState, wall_ms: u64, key: &str, request: u128) -> ClaimAnswer {
    let now = Instant::now();
    let event = claim(key, request, ClaimStep::Take);
    state.handle(now, wall_ms, event).unwrap()
}

#[test]
fn a_key_is_granted_once() {
    let mut state = home_state(&["a"]);
    let wall_ms = STARTED_AT_MS + 60_000;
    let key = key_at(wall_ms, 1);
    assert_eq!(take(&mut state, wall_ms, &key, 1), ClaimAnswer::Granted);
    assert_eq!(take(&mut state, wall_ms, &key, 1), ClaimAnswer::Granted);
    assert_eq!(
        take(&mut state, wall_ms, &key, 2),
        ClaimAnswer::Taken { by: 1 }
    );
}

#[test]
fn a_released_key_is_granted_again() {
    let mut state = home_state(&["a"]);
    let wall_ms = STARTED_AT_MS + 60_000;
    let key = key_at(wall_ms, 1);
    take(&mut state, wall_ms, &key, 1);
    let event = claim(&key, 1, ClaimStep::Release);
    state.handle(Instant::now(), wall_ms, event);
    assert_eq!(take(&mut state, wall_ms, &key, 2), ClaimAnswer::Granted);
}

#[test]
fn a_key_issued_before_the_home_started_is_unknown() {
    let mut state = home_state(&["a"]);
    let key = key_at(STARTED_AT_MS + MARGIN_MS, 1);
    let wall_ms = STARTED_AT_MS + 60_000;
    assert_eq!(take(&mut state, wall_ms, &key, 1), ClaimAnswer::Unknown);
}

#[test]
fn a_key_from_the_future_is_unknown() {
    let mut state = home_state(&["a"]);
    let wall_ms = STARTED_AT_MS + 60_000;
    let key = key_at(wall_ms + MARGIN_MS + 1, 1);
    assert_eq!(take(&mut state, wall_ms, &key, 1), ClaimAnswer::Unknown);
}

#[test]
fn a_key_without_an_issue_time_is_unknown_until_the_home_is_old_enough() {
    let mut state = home_state(&["a"]);
    let young_ms = STARTED_AT_MS + KEEP_MS;
    let old_ms = STARTED_AT_MS + KEEP_MS + MARGIN_MS + 1;
    assert_eq!(take(&mut state, young_ms, "k", 1), ClaimAnswer::Unknown);
    assert_eq!(take(&mut state, old_ms, "k", 2), ClaimAnswer::Granted);
}

#[test]
fn a_key_issued_before_its_former_home_left_is_unknown() {
    // Arrange
    let mut state = home_state(&["a", "b"]);
    let left_at_ms = STARTED_AT_MS + 60_000;
    let both = HomeMap::new(&fleet(&["a", "b"]));
    let key_number_for = |daemon: &str| {
        let number = (0..).find(|number| {
            let key = key_at(left_at_ms - 1_000, *number);
            both.home(&claim_key("o", &key)).unwrap().as_ref() == daemon
        });
        number.unwrap()
    };

    // Act
    let event = IdempotencyEvent::Fleet(fleet(&["a"]));
    state.handle(Instant::now(), left_at_ms, event);
    let wall_ms = left_at_ms + 20_000;
    let inherited = take(
        &mut state,
        wall_ms,
        &key_at(left_at_ms - 1_000, key_number_for("b")),
        1,
    );
    let own = take(
        &mut state,
        wall_ms,
        &key_at(left_at_ms - 1_000, key_number_for("a")),
        2,
    );
    let fresh = take(
        &mut state,
        wall_ms,
        &key_at(wall_ms, key_number_for("b")),
        3,
    );

    // Assert
    assert_eq!(inherited, ClaimAnswer::Unknown);
    assert_eq!(own, ClaimAnswer::Granted);
    assert_eq!(fresh, ClaimAnswer::Granted);
}

#[test]
fn a_key_of_another_home_is_unknown() {
    let mut state = home_state(&["b"]);
    let wall_ms = STARTED_AT_MS + 60_000;
    let key = key_at(wall_ms, 1);
    assert_eq!(take(&mut state, wall_ms, &key, 1), ClaimAnswer::Unknown);
}

#[test]
fn a_forgotten_key_is_unknown() {
    // Arrange
    let mut state = home_state(&["a"]);
    let now = Instant::now();
    let wall_ms = STARTED_AT_MS + 60_000;
    let key = key_at(wall_ms, 1);
    let event = claim(&key, 1, ClaimStep::Take);
    state.handle(now, wall_ms, event);

    // Act
    let later = now + Duration::from_millis(KEEP_MS);
    let event = claim(&key, 2, ClaimStep::Take);
    let answer = state.handle(later, wall_ms + KEEP_MS, event);

    // Assert
    assert_eq!(answer, Some(ClaimAnswer::Unknown));
}
