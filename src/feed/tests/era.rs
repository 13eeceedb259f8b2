//! A store that returns from a copy: what it has lost, and offsets that it gives out again.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{asked, fleet, state, view_of};
use crate::contract::{Document, KeyLookup, View};
use crate::feed::kept::Kept;
use crate::feed::message::{ConfigurationItem, FeedAction, FeedEvent, FeedRead, Snapshot};
use crate::feed::{FeedPosition, FeedState, Page};
use crate::rollout::RolloutOrder;
use crate::settings::feed::FeedSettings;
use crate::types::{DocumentVersion, Offset, StoreEra};

/// Hash of a key that versions before `KEY_ENDS` grant.
const KEY: [u8; 32] = [7; 32];
/// First version that no longer grants the key.
const KEY_ENDS: DocumentVersion = 7;

/// Returns the configuration of a version.
fn document(version: DocumentVersion) -> ConfigurationItem {
    let keys = (version < KEY_ENDS).then(|| (KEY, "opticians".into()));
    ConfigurationItem::Document(Arc::new(Document {
        version,
        keys: keys.into_iter().collect(),
        ..Default::default()
    }))
}

/// Returns an order to roll out a version of the service `orders`.
fn order(target_version: &str, order: Offset) -> ConfigurationItem {
    ConfigurationItem::RolloutOrdered(Arc::new(RolloutOrder {
        service: "orders".into(),
        target_version: target_version.into(),
        duration_ms: 1,
        order,
    }))
}

/// Returns a page of an era.
fn page(era: StoreEra, next: Offset, items: Vec<ConfigurationItem>) -> Page<ConfigurationItem> {
    Page { items, next, era }
}

/// Returns the event of a read of the newest items.
fn newest(era: StoreEra, next: Offset, items: Vec<ConfigurationItem>) -> FeedEvent {
    FeedEvent::Read(FeedRead::Newest(page(era, next, items)))
}

/// Returns the event of a read of the items that followed.
fn followed(era: StoreEra, next: Offset, items: Vec<ConfigurationItem>) -> FeedEvent {
    FeedEvent::Read(FeedRead::Followed(page(era, next, items)))
}

/// Handles events at one moment and returns the last view that they put in force.
fn play(state: &mut FeedState, now: Instant, events: Vec<FeedEvent>) -> Option<View> {
    let mut view = None;
    for event in events {
        let actions = state.handle(now, event);
        view = view_of(&actions).cloned().or(view);
    }
    view
}

/// Returns the time at which what was kept is dropped, for an era entered at `now`.
fn settled(now: Instant) -> Instant {
    now + Duration::from_millis(FeedSettings::default().era_settle_ms)
}

/// Returns the version that a daemon has in force.
fn version(state: &FeedState) -> DocumentVersion {
    let document = Kept::in_force(state.snapshot()).document;
    document.map_or(0, |document| document.version)
}

#[test]
fn a_change_is_in_force_although_the_offsets_went_back() {
    let mut state = state();
    let events = vec![
        newest(1, 80, vec![document(3)]),
        newest(2, 5, vec![document(3)]),
        followed(2, 6, vec![document(4)]),
    ];
    play(&mut state, Instant::now(), events);
    assert_eq!(version(&state), 4);
}

#[test]
fn a_withdrawn_key_stays_withdrawn_when_the_store_goes_back() {
    // Arrange
    let now = Instant::now();
    let mut state = state();
    play(&mut state, now, vec![newest(1, 8, vec![document(7)])]);

    // Act
    let view = play(&mut state, now, vec![newest(2, 5, vec![document(5)])]);
    let after = play(&mut state, settled(now), vec![FeedEvent::Tick]);
    let again = play(
        &mut state,
        settled(now),
        vec![followed(2, 6, vec![document(9)])],
    );

    // Assert
    let view = view.expect("a view");
    assert_eq!(view.key(&KEY), KeyLookup::Unknown);
    assert_eq!(view.position(), FeedPosition { era: 2, next: 5 });
    assert!(after.is_none());
    assert_eq!(again.expect("a view").key(&KEY), KeyLookup::Unknown);
    assert_eq!(version(&state), 9);
    assert_eq!(state.snapshot().kept, None);
}

#[test]
fn a_domain_stays_out_until_the_operator_had_time_to_write_it_again() {
    // Arrange
    let now = Instant::now();
    let mut state = state();
    let out = ConfigurationItem::DomainOut("north".into());
    play(&mut state, now, vec![newest(1, 8, vec![document(7), out])]);

    // Act
    let first = play(&mut state, now, vec![newest(2, 5, vec![document(7)])]);
    let due_at = state.next_tick_at();
    let last = play(&mut state, settled(now), vec![FeedEvent::Tick]);

    // Assert
    assert!(first.expect("a view").domains_out.contains("north"));
    assert!(due_at.is_some_and(|at| at <= settled(now)));
    assert!(last.expect("a view").domains_out.is_empty());
}

#[test]
fn a_domain_returns_at_once_when_the_operator_says_so_after_the_loss() {
    // Arrange
    let now = Instant::now();
    let mut state = state();
    let out = ConfigurationItem::DomainOut("north".into());
    let back = ConfigurationItem::DomainIn("north".into());
    let before = newest(1, 8, vec![document(7), out]);
    play(
        &mut state,
        now,
        vec![before, newest(2, 5, vec![document(7)])],
    );

    // Act
    let view = play(&mut state, now, vec![followed(2, 6, vec![back])]);

    // Assert
    assert!(view.expect("a view").domains_out.is_empty());
}

#[test]
fn an_order_that_was_withdrawn_in_the_lost_seconds_does_not_return_with_the_copy() {
    // Arrange
    let now = Instant::now();
    let mut state = state();
    play(&mut state, now, vec![newest(1, 8, vec![document(7)])]);

    // Act
    let copy = newest(2, 5, vec![document(7), order("v2", 4)]);
    let first = play(&mut state, now, vec![copy]).expect("a view");
    let named = play(&mut state, now, vec![followed(2, 6, vec![order("v3", 5)])]);

    // Assert
    assert!(first.rollouts.is_empty());
    let named = named.expect("a view");
    assert_eq!(&*named.rollouts["orders"].target_version, "v3");
}

#[test]
fn an_order_stands_while_the_store_shows_an_earlier_one() {
    let mut state = state();
    let events = vec![
        newest(1, 8, vec![document(7), order("v3", 6)]),
        newest(2, 5, vec![document(7), order("v2", 4)]),
    ];
    let view = play(&mut state, Instant::now(), events).expect("a view");
    assert_eq!(&*view.rollouts["orders"].target_version, "v3");
}

#[test]
fn late_answers_of_an_ended_era_change_nothing() {
    let mut state = state();
    let events = vec![
        newest(1, 8, vec![document(5)]),
        newest(2, 5, vec![document(6)]),
    ];
    play(&mut state, Instant::now(), events);
    let late = vec![
        newest(1, 90, vec![document(9)]),
        followed(1, 91, vec![document(9)]),
    ];
    let view = play(&mut state, Instant::now(), late);
    assert!(view.is_none());
    assert_eq!(
        state.snapshot().position(),
        FeedPosition { era: 2, next: 5 }
    );
}

#[test]
fn records_of_a_new_era_do_not_follow_those_of_an_earlier_one() {
    let mut state = state();
    let events = vec![
        newest(1, 8, vec![document(5)]),
        followed(2, 9, vec![ConfigurationItem::DomainOut("north".into())]),
    ];
    play(&mut state, Instant::now(), events);
    assert_eq!(
        state.snapshot().position(),
        FeedPosition { era: 1, next: 8 }
    );
}

/// Returns a state that has read these pages of the eras 1 and 2.
fn returned(now: Instant, before: DocumentVersion) -> FeedState {
    let mut state = state();
    let peers = Arc::new(fleet(["own".into(), "other".into()].into_iter()));
    let events = vec![
        FeedEvent::Fleet(peers),
        newest(1, before, vec![document(before)]),
        newest(2, 5, vec![document(5)]),
    ];
    play(&mut state, now, events);
    state
}

#[test]
fn daemons_that_saw_different_ends_of_an_era_converge_without_the_store() {
    // Arrange
    let now = Instant::now();
    let (ahead, mut behind) = (returned(now, 7), returned(now, 6));

    // Act
    let soon = now + Duration::from_millis(FeedSettings::default().peer_patience_ms);
    let actions = behind.handle(soon, FeedEvent::Tick);
    let answer = Snapshot::clone(ahead.snapshot());
    behind.handle(soon, FeedEvent::PeerAnswered(Some(answer)));

    // Assert
    assert_eq!(asked(&actions), Some("other"));
    let question = actions.iter().find_map(|action| match action {
        FeedAction::Ask { from, .. } => Some(*from),
        _ => None,
    });
    assert!(question.is_some_and(|from| from < ahead.snapshot().position()));
    assert_eq!((version(&ahead), version(&behind)), (7, 7));
}

#[test]
fn a_daemon_that_starts_after_the_loss_learns_from_a_peer_what_the_store_lost() {
    // Arrange
    let now = Instant::now();
    let ahead = returned(now, 7);
    let mut started = state();
    play(&mut started, now, vec![newest(2, 5, vec![document(5)])]);

    // Act
    let answer = Snapshot::clone(ahead.snapshot());
    let view = started.handle(now, FeedEvent::PeerAnswered(Some(answer)));

    // Assert
    let view = view_of(&view).expect("a view");
    assert_eq!(view.key(&KEY), KeyLookup::Unknown);
}

#[test]
fn a_daemon_without_the_store_takes_the_new_era_from_a_peer_and_keeps_its_later_configuration() {
    // Arrange
    let now = Instant::now();
    let other = returned(now, 6);
    let mut cut = state();
    play(&mut cut, now, vec![newest(1, 90, vec![document(7)])]);

    // Act
    let peer = FeedEvent::PeerAhead {
        peer: "other".into(),
        next: other.snapshot().position(),
    };
    cut.handle(now, peer);
    let patience = Duration::from_millis(FeedSettings::default().peer_patience_ms);
    let actions = cut.handle(now + patience, FeedEvent::Tick);
    let answer = Snapshot::clone(other.snapshot());
    cut.handle(now + patience, FeedEvent::PeerAnswered(Some(answer)));

    // Assert
    assert_eq!(asked(&actions), Some("other"));
    assert_eq!(cut.snapshot().position(), other.snapshot().position());
    assert_eq!(version(&cut), 7);
}

#[test]
fn a_store_that_tells_no_era_is_read_as_before() {
    let now = Instant::now();
    let mut state = state();
    let events = vec![
        newest(0, 8, vec![document(7)]),
        newest(0, 5, vec![document(5)]),
        followed(0, 9, vec![document(6)]),
    ];
    play(&mut state, now, events);
    assert_eq!(version(&state), 6);
    assert_eq!(state.snapshot().kept, None);
    assert_eq!(state.next_tick_at(), None);
    let text = serde_json::to_string(&**state.snapshot()).expect("JSON");
    assert!(!text.contains("era") && !text.contains("kept"), "{text}");
}
