//! Tests of the turns in which the daemons of a fleet read, and of how they notify each other.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{failed, fleet, newest, state};
use crate::feed::message::{FeedAction, FeedEvent, Snapshot, NOTIFIED_COUNT};
use crate::feed::turn::{ReadTurn, SharedTurn};
use crate::membership::Fleet;
use crate::settings::feed::FeedSettings;

/// Returns a fleet of `own` and this many others.
fn fleet_with_others(other_count: usize) -> Fleet {
    let others = (0..other_count).map(|number| format!("other-{number}").into());
    fleet(others.chain(["own".into()]))
}

/// Returns how many peers are notified, and up to which offset.
fn notified(actions: &[FeedAction]) -> Option<(usize, u64)> {
    actions.iter().find_map(|action| match action {
        FeedAction::Notify { peers, next } => Some((peers.len(), next.next)),
        _ => None,
    })
}

#[test]
fn the_daemons_of_a_fleet_have_different_turns() {
    // Arrange
    let fleet = fleet_with_others(20);

    // Act
    let turns = fleet.daemons.keys().map(|own| ReadTurn::new(&fleet, own));
    let mut positions: Vec<u32> = turns.map(|turn| turn.position).collect();

    // Assert
    positions.sort_unstable();
    assert_eq!(positions, (0..21).collect::<Vec<u32>>());
}

#[test]
fn a_daemon_that_is_not_in_the_fleet_reads_as_if_it_knew_none() {
    let turn = ReadTurn::new(&fleet_with_others(3), &"stranger".into());
    let settings = FeedSettings::default();
    let wait = Duration::from_millis(settings.wait_ms);
    assert_eq!(turn.longest_wait(&settings), wait);
    assert_eq!(turn.first_wait(&settings), wait);
}

#[test]
fn first_waits_of_any_fleet_end_in_every_turn() {
    for daemon_count in [1, 2, 3, 4, 5, 6, 7, 21, 355, 7_900] {
        // Arrange
        let settings = FeedSettings::default();
        let turn = Duration::from_millis(settings.turn_ms);

        // Act
        let waits = (0..daemon_count).map(|position| {
            let turn = ReadTurn {
                position,
                daemon_count,
            };
            (turn.first_wait(&settings), turn.longest_wait(&settings))
        });
        let (mut ends, longest): (Vec<Duration>, Vec<Duration>) = waits.unzip();

        // Assert
        ends.sort_unstable();
        let gaps = ends.windows(2).map(|pair| pair[1] - pair[0]);
        assert!(ends[0] <= turn, "{daemon_count}: {ends:?}");
        assert!(gaps.max().unwrap_or_default() <= turn, "{daemon_count}");
        assert_eq!(ends.last(), longest.first(), "{daemon_count}");
    }
}

#[test]
fn the_turn_reaches_the_reader_unchanged() {
    let shared = SharedTurn::default();
    let turn = ReadTurn {
        position: 7_000,
        daemon_count: 7_900,
    };
    assert_eq!(shared.get(), ReadTurn::default());
    shared.set(turn);
    assert_eq!(shared.get(), turn);
}

#[test]
fn peers_are_notified_of_a_change_only_while_their_reads_may_hang() {
    // Arrange
    let now = Instant::now();
    let mut state = state();
    state.handle(now, FeedEvent::Fleet(Arc::new(fleet_with_others(20))));

    // Act
    let calm = state.handle(now, newest(3, "s"));
    state.handle(now, failed());
    let unchanged = state.handle(now, newest(3, "s"));
    let after_failure = state.handle(now, newest(4, "s"));
    let much_later = state.handle(now + Duration::from_secs(10), newest(5, "s"));

    // Assert
    assert_eq!(notified(&calm), None);
    assert_eq!(notified(&unchanged), None);
    assert_eq!(notified(&after_failure), Some((NOTIFIED_COUNT, 4)));
    assert_eq!(notified(&much_later), None);
}

#[test]
fn a_change_that_was_learnt_from_a_peer_is_passed_on() {
    // Arrange
    let now = Instant::now();
    let mut state = state();
    state.handle(now, FeedEvent::Fleet(Arc::new(fleet_with_others(2))));
    state.handle(now, newest(3, "s"));
    let answer = Snapshot {
        next: 4,
        ..(**state.snapshot()).clone()
    };

    // Act
    let newer = state.handle(now, FeedEvent::PeerAnswered(Some(answer.clone())));
    let again = state.handle(now, FeedEvent::PeerAnswered(Some(answer)));

    // Assert
    assert_eq!(notified(&newer), Some((2, 4)));
    assert_eq!(notified(&again), None);
}
