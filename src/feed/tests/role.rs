//! Tests of the roles of the daemons of a fleet in its reads, and of how they notify each other.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{asked, failed, fleet, newest, state};
use crate::feed::message::{FeedAction, FeedEvent, Snapshot, NOTIFIED_COUNT};
use crate::feed::role::{watchers, ReadRole, SharedRole};
use crate::feed::FeedPosition;
use crate::membership::{DaemonEntry, Fleet};
use crate::settings::feed::FeedSettings;
use crate::types::DaemonId;

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
fn any_fleet_has_two_watchers_and_the_others_read_as_rarely_as_before() {
    let settings = FeedSettings::default();
    for daemon_count in [1, 2, 3, 4, 5, 6, 7, 21, 355, 7_900] {
        // Act
        let fleet = fleet_with_others(daemon_count - 1);
        let watchers = watchers(&fleet);

        // Assert
        assert_eq!(watchers.len(), daemon_count.min(2), "{daemon_count}");
        for watcher in watchers {
            assert_eq!(ReadRole::new(&fleet, watcher), ReadRole::Watcher);
        }
    }
    for daemon_count in [1, 2, 3, 4, 7, 21, 355] {
        let fleet = fleet_with_others(daemon_count - 1);
        let daemons = fleet.daemons.keys();
        let watching = daemons.filter(|daemon| ReadRole::new(&fleet, daemon) == ReadRole::Watcher);
        assert_eq!(watching.count(), daemon_count.min(2), "{daemon_count}");
    }
    let waits = [ReadRole::Watcher, ReadRole::Follower].map(|role| role.longest_wait(&settings));
    assert_eq!(waits.map(|wait| wait.as_millis()), [1_400, 5_000]);
}

/// Guards against a fleet that learns of no change in time since both watchers went with their failure
/// domain, or leave.
#[test]
fn watchers_stay_and_are_in_different_failure_domains() {
    // Arrange
    let mut fleet = fleet_with_others(20);
    let replace = |fleet: &mut Fleet, id: &DaemonId, change: &dyn Fn(&mut DaemonEntry)| {
        let mut daemon = DaemonEntry::clone(&fleet.daemons[id]);
        change(&mut daemon);
        fleet.daemons.insert(id.clone(), Arc::new(daemon));
    };
    let ids: Vec<DaemonId> = fleet.daemons.keys().cloned().collect();
    for (index, id) in ids.iter().enumerate() {
        let domain = format!("d-{}", index % 3);
        replace(&mut fleet, id, &|daemon| {
            daemon.domain = domain.as_str().into()
        });
    }
    for _ in 0..10 {
        // Act
        let found: Vec<DaemonId> = watchers(&fleet).into_iter().cloned().collect();

        // Assert
        assert_eq!(found.len(), 2, "{found:?}");
        let [first, second] = [&found[0], &found[1]].map(|id| fleet.daemons[id].domain.clone());
        assert_ne!(first, second);

        replace(&mut fleet, &found[0], &|daemon| daemon.leaving = true);
        let later = ids.iter().filter(|id| !fleet.daemons[*id].leaving);
        let later = later.filter(|id| ReadRole::new(&fleet, id) == ReadRole::Watcher);
        assert_eq!(later.count(), 2);
    }
}

/// Guards against daemons that start together, and whose first reads all hang for long since none knew
/// its fleet when they began.
#[test]
fn a_daemon_that_is_not_in_the_fleet_watches() {
    let fleet = fleet_with_others(3);
    assert_eq!(ReadRole::new(&fleet, &"stranger".into()), ReadRole::Watcher);
    assert_eq!(SharedRole::default().get(), ReadRole::Watcher);
}

#[test]
fn the_role_reaches_the_reader_unchanged() {
    let shared = SharedRole::default();
    for role in [ReadRole::Follower, ReadRole::Watcher] {
        shared.set(role);
        assert_eq!(shared.get(), role);
    }
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

/// Guards against a daemon that stays behind: its question to one peer was answered with nothing new,
/// and the notification of another one that came meanwhile was dropped with it.
#[test]
fn a_notification_that_comes_while_another_peer_is_asked_is_not_lost() {
    // Arrange
    let now = Instant::now();
    let mut state = state();
    state.handle(now, FeedEvent::Fleet(Arc::new(fleet_with_others(3))));
    state.handle(now, newest(3, "s"));
    let notified = |peer: &str, next| FeedEvent::PeerNotified {
        peer: peer.into(),
        next: FeedPosition { era: 0, next },
    };
    let first = state.handle(now, notified("other-0", 4));

    // Act
    let meanwhile = state.handle(now, notified("other-1", 5));
    state.handle(now, FeedEvent::PeerAnswered(None));
    let due_at = state.next_tick_at().expect("a question to come");
    let second = state.handle(due_at, FeedEvent::Tick);

    // Assert
    assert_eq!(asked(&first), Some("other-0"));
    assert_eq!(asked(&meanwhile), None);
    assert_eq!(asked(&second), Some("other-1"));
    assert!(due_at - now <= Duration::from_millis(FeedSettings::default().peer_patience_ms));
}
