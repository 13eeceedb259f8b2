//! Tests of daemons that restart with a wrong clock or are known in a later incarnation.

use std::time::{Duration, Instant};

use super::{entry, state_of};
use crate::incarnation::INCARNATION_LIMIT;
use crate::link::{PeerAnswer, PeerName, PeerRequest};
use crate::membership::state::MembershipState;
use crate::membership::virtual_fleet::VirtualFleet;
use crate::membership::{DaemonEntry, Fleet, Gossip, MembershipAction, MembershipEvent, Summary};
use crate::settings::membership::MembershipSettings;

/// Daemons of the fleet.
const DAEMON_COUNT: usize = 12;
/// One minute in milliseconds, for clocks that are wrong.
const MINUTE_MS: i64 = 60_000;

/// Returns the id of the daemon with this index.
fn name(index: usize) -> String {
    format!("daemon-{index}")
}

/// Starts a fleet with clocks a minute ahead, and then corrects the clocks.
fn fleet_with_clocks_ahead() -> VirtualFleet {
    let mut fleet = VirtualFleet::new(MembershipSettings::default(), 11);
    for index in 0..DAEMON_COUNT {
        fleet.set_clock(&name(index), MINUTE_MS);
        fleet.start(&name(index), "domain", &[]);
        fleet.set_clock(&name(index), 0);
    }
    fleet.run_until(Duration::from_secs(5));
    fleet
}

/// Returns daemons that some snapshot lacks, or shows as leaving or in another incarnation.
fn out_of_service(fleet: &VirtualFleet) -> Vec<String> {
    let mut found = Vec::new();
    for viewer in 0..DAEMON_COUNT {
        let view = fleet.view(&name(viewer));
        for index in 0..DAEMON_COUNT {
            let daemon = name(index);
            let entry = view.daemons.get(daemon.as_str());
            let serves = |entry: &DaemonEntry| {
                !entry.leaving && entry.incarnation == fleet.incarnation(&daemon)
            };
            if !entry.is_some_and(|entry| serves(entry)) {
                found.push(format!("{daemon} for {}", name(viewer)));
            }
        }
    }
    found
}

#[test]
fn daemons_restarted_with_clocks_set_back_and_no_store_serve_again() {
    // Arrange
    let mut fleet = fleet_with_clocks_ahead();
    fleet.set_log(false);

    // Act
    for index in 0..8 {
        fleet.restart(&name(index), &["daemon-8", "daemon-9"]);
    }
    fleet.run_until(fleet.elapsed() + Duration::from_secs(2));

    // Assert
    assert_eq!(out_of_service(&fleet), Vec::<String>::new());
}

#[test]
fn a_restarted_daemon_that_only_its_peers_call_serves_again() {
    // Arrange
    let mut fleet = fleet_with_clocks_ahead();
    fleet.set_log(false);

    // Act
    fleet.restart("daemon-0", &[]);
    fleet.run_until(fleet.elapsed() + Duration::from_secs(5));

    // Assert
    assert_eq!(out_of_service(&fleet), Vec::<String>::new());
}

#[test]
fn a_whole_fleet_restarted_with_clocks_set_back_serves_once_the_store_is_available() {
    // Arrange
    let mut fleet = fleet_with_clocks_ahead();
    fleet.set_log(false);
    for index in 0..DAEMON_COUNT {
        fleet.restart(&name(index), &[]);
    }
    fleet.run_until(fleet.elapsed() + Duration::from_secs(20));

    // Act
    fleet.set_log(true);
    fleet.run_until(fleet.elapsed() + Duration::from_secs(2));

    // Assert
    assert_eq!(out_of_service(&fleet), Vec::<String>::new());
}

/// Describes the daemon `a` at the addresses that `state_of` uses.
fn later_incarnation(incarnation: u64) -> DaemonEntry {
    entry("a", incarnation, 3)
}

/// Describes the daemon `a` at other addresses than those of `state_of`.
fn elsewhere(incarnation: u64) -> DaemonEntry {
    DaemonEntry {
        guard_address: "127.0.0.9:1".parse().unwrap(),
        link_address: "127.0.0.9:2".parse().unwrap(),
        ..later_incarnation(incarnation)
    }
}

/// Returns the description that is published, if one is.
fn published(actions: &[MembershipAction]) -> Option<&DaemonEntry> {
    actions.iter().find_map(|action| match action {
        MembershipAction::Publish(record) => Some(&record.entry),
        _ => None,
    })
}

/// Returns the new snapshot of the fleet, if there is one.
fn changed(actions: &[MembershipAction]) -> Option<&Fleet> {
    actions.iter().find_map(|action| match action {
        MembershipAction::FleetChanged(fleet) => Some(&**fleet),
        _ => None,
    })
}

#[test]
fn a_later_incarnation_at_own_addresses_raises_the_own_number_at_once() {
    // Arrange
    let mut state = state_of("a");
    let now = Instant::now();

    // Act
    let actions = state.handle(
        now,
        MembershipEvent::EntryReceived(later_incarnation(1_000)),
    );

    // Assert
    let own = state.own().incarnation;
    assert!(own > 1_000, "{own}");
    assert_eq!(
        published(&actions).map(|entry| entry.incarnation),
        Some(own)
    );
    let snapshot = changed(&actions).expect("a snapshot");
    assert_eq!(snapshot.daemons["a"].incarnation, own);
}

#[test]
fn a_later_incarnation_at_other_addresses_supersedes_this_process_for_good() {
    // Arrange
    let mut state = state_of("a");
    let mut now = Instant::now();

    // Act
    let received = state.handle(now, MembershipEvent::EntryReceived(elsewhere(1_000)));
    let mut publishes = published(&received).is_some();
    for _ in 0..1_000 {
        now = state.next_tick_at().max(now);
        let actions = state.handle(now, MembershipEvent::Tick);
        publishes |= published(&actions).is_some();
    }

    // Assert
    assert_eq!(state.own().incarnation, 1);
    assert!(!publishes);
}

#[test]
fn the_latest_incarnation_decides_and_not_an_earlier_one_at_own_addresses() {
    // Arrange
    let mut state = state_of("a");
    let now = Instant::now();

    // Act
    state.handle(now, MembershipEvent::EntryReceived(elsewhere(1_000)));
    state.handle(now, MembershipEvent::EntryReceived(later_incarnation(500)));
    let between = state.own().incarnation;
    state.handle(
        now,
        MembershipEvent::EntryReceived(later_incarnation(2_000)),
    );

    // Assert
    assert_eq!(between, 1);
    assert!(state.own().incarnation > 2_000);
}

/// Returns the answer to gossip that daemon `b` sends in this incarnation.
fn answer_to(state: &mut MembershipState, incarnation: u64, message: Gossip) -> Gossip {
    let asked = MembershipEvent::RequestReceived {
        ticket: 1,
        from: PeerName {
            daemon: "b".into(),
            incarnation,
        },
        request: PeerRequest::Gossip(message),
    };
    for action in state.handle(Instant::now(), asked) {
        if let MembershipAction::Reply {
            answer: Some(PeerAnswer::Gossip(answer)),
            ..
        } = action
        {
            return answer;
        }
    }
    panic!("gossip is answered at once");
}

#[test]
fn a_later_number_without_addresses_makes_the_description_wanted() {
    // Arrange
    let mut state = state_of("a");
    let summaries = vec![Summary {
        daemon: "a".into(),
        incarnation: 1_000,
        version: 1,
        round: 0,
        suspect: false,
    }];
    let message = Gossip {
        summaries,
        ..Default::default()
    };

    // Act
    let answer = answer_to(&mut state, 1, message);

    // Assert
    assert_eq!(state.own().incarnation, 1);
    assert!(answer.wanted.contains(&"a".into()), "{answer:?}");
}

#[test]
fn a_request_of_an_earlier_incarnation_is_answered_with_the_later_description() {
    // Arrange
    let mut state = state_of("a");
    let now = Instant::now();
    state.handle(now, MembershipEvent::EntryReceived(entry("b", 1_000, 3)));

    // Act
    let answer = answer_to(&mut state, 7, Gossip::default());

    // Assert
    let described = answer.entries.iter().map(|entry| entry.incarnation);
    assert_eq!(described.collect::<Vec<_>>(), [1_000]);
}

#[test]
fn an_incarnation_above_the_limit_is_refused() {
    // Arrange
    let mut state = state_of("a");
    let now = Instant::now();
    state.handle(now, MembershipEvent::EntryReceived(entry("b", 5, 1)));
    let before = state.digest();

    // Act
    state.handle(
        now,
        MembershipEvent::EntryReceived(later_incarnation(u64::MAX)),
    );
    state.handle(now, MembershipEvent::EntryReceived(entry("b", u64::MAX, 1)));

    // Assert
    assert_eq!(state.own().incarnation, 1);
    assert_eq!(state.digest(), before);
}

#[test]
fn two_processes_at_one_address_do_not_raise_their_numbers_without_a_wait() {
    // Arrange
    let mut state = state_of("a");
    let now = Instant::now();
    state.handle(
        now,
        MembershipEvent::EntryReceived(later_incarnation(1_000_000)),
    );
    let first = state.own().incarnation;

    // Act
    let received_at = now + Duration::from_millis(10);
    state.handle(
        received_at,
        MembershipEvent::EntryReceived(later_incarnation(2_000_000)),
    );
    let at_once = state.own().incarnation;
    let later = now + Duration::from_secs(5);
    state.handle(later, MembershipEvent::Tick);

    // Assert
    assert_eq!(at_once, first);
    assert!(state.own().incarnation > 2_000_000);
}

#[test]
fn an_incarnation_at_the_limit_supersedes_without_a_busy_loop_of_ticks() {
    // Arrange
    let mut state = state_of("a");
    let now = Instant::now();
    state.handle(
        now,
        MembershipEvent::EntryReceived(later_incarnation(INCARNATION_LIMIT)),
    );

    // Act
    let later = now + Duration::from_secs(30);
    for _ in 0..10 {
        state.handle(later, MembershipEvent::Tick);
    }

    // Assert
    assert!(state.next_tick_at() > later);
    assert_eq!(state.own().incarnation, 1);
}

#[test]
fn raised_numbers_do_not_run_ahead_of_the_clock() {
    // Arrange
    let mut state = state_of("a");
    let first = Instant::now();
    let mut now = first;
    let mut ended = 1_000_000;

    // Act
    for _ in 0..20 {
        state.handle(
            now,
            MembershipEvent::EntryReceived(later_incarnation(ended)),
        );
        ended = state.own().incarnation + 1;
        now += Duration::from_secs(1);
    }

    // Assert
    let ahead_ms = state.own().incarnation - 1_000_000;
    let passed_ms = (now - first).as_millis() as u64;
    assert!(ahead_ms <= passed_ms, "{ahead_ms} ms in {passed_ms} ms");
}

#[test]
fn an_incarnation_just_below_the_limit_does_not_supersede() {
    // Arrange
    let mut state = state_of("a");
    let now = Instant::now();

    // Act
    state.handle(
        now,
        MembershipEvent::EntryReceived(later_incarnation(INCARNATION_LIMIT - 1)),
    );

    // Assert
    assert_eq!(state.own().incarnation, INCARNATION_LIMIT);
}
