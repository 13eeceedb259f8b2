//! Records that are published again after the platform's store has returned from a copy.

use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::entry;
use crate::membership::state::MembershipState;
use crate::membership::{DaemonRecord, MembershipAction, MembershipEvent, ServerDeparture};
use crate::settings::membership::MembershipSettings;

/// Returns the state of a daemon whose random choices follow from a seed, after its first record.
fn published(seed: u64, now: Instant) -> MembershipState {
    let settings = MembershipSettings {
        publish_change_ms: 200,
        ..Default::default()
    };
    let random = ChaCha8Rng::seed_from_u64(seed);
    let mut state = MembershipState::new(settings, entry("a", 1, 0), random, now);
    state.handle(now, MembershipEvent::Tick);
    state
}

/// Ticks whenever it is due until `until`; returns the first record and when it was published.
fn next_record(
    state: &mut MembershipState,
    mut now: Instant,
    until: Instant,
) -> Option<(Instant, DaemonRecord)> {
    loop {
        now = now.max(state.next_tick_at());
        if now > until {
            return None;
        }
        for action in state.handle(now, MembershipEvent::Tick) {
            if let MembershipAction::Publish(record) = action {
                return Some((now, record));
            }
        }
    }
}

#[test]
fn departures_are_published_again_although_an_older_record_is_read_back() {
    // Arrange
    let now = Instant::now();
    let mut state = published(1, now);
    let departures = vec![ServerDeparture {
        server: "s".into(),
        started_at_ms: 5,
    }];
    state.handle(now, MembershipEvent::Departures(departures.clone()));
    state.handle(now, MembershipEvent::Tick);
    state.handle(now, MembershipEvent::EntryReceived(entry("a", 1, 0)));

    // Act
    state.handle(now, MembershipEvent::StoreReturned);
    state.handle(now, MembershipEvent::EntryReceived(entry("a", 1, 0)));
    let again = next_record(&mut state, now, now + Duration::from_secs(1));
    let more = next_record(&mut state, now, now + Duration::from_secs(5));

    // Assert
    let (_, record) = again.expect("a record");
    assert_eq!(record.departures, departures);
    assert_eq!(more, None);
}

#[test]
fn a_large_fleet_publishes_again_within_the_rate_of_the_store() {
    // Arrange
    const DAEMON_COUNT: u64 = 300;
    let now = Instant::now();
    let spread = Duration::from_millis(10) * DAEMON_COUNT as u32;
    let mut counts = [0; 3];

    // Act
    for seed in 0..DAEMON_COUNT {
        let mut state = published(seed, now);
        for other in 1..DAEMON_COUNT {
            let other = entry(&format!("m-{other}"), 1, 0);
            state.handle(now, MembershipEvent::EntryReceived(other));
        }
        state.handle(now, MembershipEvent::StoreReturned);
        let (at, _) = next_record(&mut state, now, now + spread).expect("a record");
        counts[(at - now).as_secs().min(2) as usize] += 1;
    }

    // Assert
    assert!(counts.iter().all(|count| *count < 130), "{counts:?}");
}
