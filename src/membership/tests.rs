//! Tests of membership, and helpers that several of them use.

mod convergence;
mod incarnations;
mod invalid;
mod rules;
mod store_return;

use std::time::{Duration, Instant};

use super::message::{
    DaemonEntry, MembershipAction, MembershipEvent, ServerDeparture, ServerEntry,
    FULL_SHARE_PERMILLE,
};
use super::state::MembershipState;
use crate::settings::membership::MembershipSettings;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Returns a description without servers of a daemon.
fn entry(daemon: &str, incarnation: u64, version: u64) -> DaemonEntry {
    DaemonEntry {
        daemon: daemon.into(),
        incarnation,
        version,
        domain: "d".into(),
        guard_address: "127.0.0.1:1".parse().unwrap(),
        link_address: "127.0.0.1:2".parse().unwrap(),
        leaving: false,
        servers: Vec::new(),
    }
}

/// Returns the state of a daemon that knows no other.
fn state_of(daemon: &str) -> MembershipState {
    MembershipState::new(
        MembershipSettings::default(),
        entry(daemon, 1, 0),
        ChaCha8Rng::seed_from_u64(1),
        Instant::now(),
    )
}

#[test]
fn an_earlier_incarnation_never_replaces_a_later_one() {
    // Arrange
    let now = Instant::now();
    let mut state = state_of("a");
    state.handle(now, MembershipEvent::EntryReceived(entry("b", 5, 1)));

    let before = state.digest();

    // Act
    let earlier = state.handle(now, MembershipEvent::EntryReceived(entry("b", 4, 9)));
    let later = state.handle(now + Duration::from_secs(1), MembershipEvent::Tick);

    // Assert
    assert!(earlier.is_empty());
    assert_eq!(state.digest(), before);
    let shown = later.iter().find_map(|action| match action {
        MembershipAction::FleetChanged(fleet) => {
            fleet.daemons.get("b").map(|found| found.incarnation)
        }
        _ => None,
    });
    assert_eq!(shown, Some(5));
}

#[test]
fn a_share_set_by_health_survives_a_new_report_of_the_guard() {
    // Arrange
    let now = Instant::now();
    let mut state = state_of("a");
    let server = ServerEntry {
        server: "s".into(),
        service: "v".into(),
        slots_count: 5,
        cold: false,
        draining: false,
        share_permille: FULL_SHARE_PERMILLE,
        ..Default::default()
    };
    state.handle(now, MembershipEvent::Local(vec![server.clone()]));
    let ejected = MembershipEvent::ShareChanged {
        server: "s".into(),
        share_permille: 0,
    };
    state.handle(now, ejected);

    // Act
    let report = ServerEntry {
        slots_count: 4,
        ..server
    };
    state.handle(now, MembershipEvent::Local(vec![report]));

    // Assert
    let own = state.own();
    assert_eq!(own.servers[0].share_permille, 0);
    assert_eq!(own.servers[0].slots_count, 4);
}

#[test]
fn a_new_local_server_is_published_soon_and_a_change_of_its_load_is_not() {
    // Arrange
    let begin = Instant::now();
    let settings = MembershipSettings {
        publish_change_ms: 200,
        ..Default::default()
    };
    let random = ChaCha8Rng::seed_from_u64(1);
    let mut state = MembershipState::new(settings, entry("a", 1, 0), random, begin);
    state.handle(begin, MembershipEvent::Tick);
    let with = |slots_count| {
        MembershipEvent::Local(vec![ServerEntry {
            server: "s".into(),
            service: "v".into(),
            slots_count,
            cold: false,
            draining: false,
            share_permille: FULL_SHARE_PERMILLE,
            ..Default::default()
        }])
    };
    let published = |actions: &[MembershipAction]| {
        let publishes = |action: &MembershipAction| matches!(action, MembershipAction::Publish(_));
        actions.iter().any(publishes)
    };
    let second = Duration::from_secs(1);

    // Act
    state.handle(begin, with(5));
    let other = state.handle(begin + second, MembershipEvent::Tick);
    state.handle(begin + second, with(4));
    let load = state.handle(begin + second * 2, MembershipEvent::Tick);

    // Assert
    assert!(published(&other));
    assert!(!published(&load));
}

#[test]
fn acknowledged_departures_are_published_at_once_and_in_every_later_record() {
    // Arrange
    let begin = Instant::now();
    let settings = MembershipSettings {
        publish_change_ms: 200,
        publish_ms: 1_000,
        ..Default::default()
    };
    let random = ChaCha8Rng::seed_from_u64(1);
    let mut state = MembershipState::new(settings, entry("a", 1, 0), random, begin);
    state.handle(begin, MembershipEvent::Tick);
    let departures = vec![ServerDeparture {
        server: "s".into(),
        started_at_ms: 5,
    }];
    let published = |actions: Vec<MembershipAction>| {
        actions.into_iter().find_map(|action| match action {
            MembershipAction::Publish(record) => Some(record.departures),
            _ => None,
        })
    };

    // Act
    state.handle(begin, MembershipEvent::Departures(departures.clone()));
    let at_once = published(state.handle(begin, MembershipEvent::Tick));
    let much_later = begin + Duration::from_secs(60);
    let again = published(state.handle(much_later, MembershipEvent::Tick));

    // Assert
    assert_eq!(at_once.as_ref(), Some(&departures));
    assert_eq!(again, Some(departures));
}
