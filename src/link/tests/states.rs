use std::time::{Duration, Instant};

use crate::link::handshake::{Role, Transcript};
use crate::link::message::PeerName;
use crate::link::state::*;
use crate::link::tests::support::SECRET;
use crate::settings::link::LinkSettings;
use crate::wire::proof::FleetKey;

/// Returns the time `ms` milliseconds after `start`.
fn after(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

#[test]
fn a_call_without_an_answer_leads_to_a_heartbeat_and_then_closes_the_connection() {
    // Arrange
    let start = Instant::now();
    let mut state = ConnectionState::new(LinkSettings::default(), start);
    state.handle(start, ConnectionEvent::CallSent);

    // Act
    let early = state.handle(after(start, 249), ConnectionEvent::Tick);
    let first = state.handle(after(start, 250), ConnectionEvent::Tick);
    let waiting = state.handle(after(start, 749), ConnectionEvent::Tick);
    let second = state.handle(after(start, 750), ConnectionEvent::Tick);

    // Assert
    assert_eq!(early, None);
    assert_eq!(first, Some(ConnectionAction::SendHeartbeat));
    assert_eq!(waiting, None);
    assert_eq!(second, Some(ConnectionAction::CloseSilent));
}

#[test]
fn a_slow_call_keeps_its_connection_while_heartbeats_are_answered() {
    // Arrange
    let start = Instant::now();
    let mut state = ConnectionState::new(LinkSettings::default(), start);
    state.handle(start, ConnectionEvent::CallSent);

    for turn in 1..20 {
        // Act
        let now = state.next_tick_at();
        let action = state.handle(now, ConnectionEvent::Tick);
        state.handle(now, ConnectionEvent::Received);

        // Assert
        assert_eq!(action, Some(ConnectionAction::SendHeartbeat), "turn {turn}");
    }
}

#[test]
fn an_idle_connection_is_kept_alive_and_then_closed() {
    // Arrange
    let start = Instant::now();
    let mut state = ConnectionState::new(LinkSettings::default(), start);
    let mut actions = Vec::new();

    // Act
    while actions.last() != Some(&ConnectionAction::CloseIdle) {
        let now = state.next_tick_at();
        actions.extend(state.handle(now, ConnectionEvent::Tick));
        state.handle(now, ConnectionEvent::Received);
    }

    // Assert
    assert_eq!(actions.len(), 6, "{actions:?}");
    assert_eq!(actions[0], ConnectionAction::SendHeartbeat);
}

#[test]
fn a_suspect_peer_is_dialled_with_backoff_until_it_answers() {
    // Arrange
    let settings = LinkSettings::default();
    let start = Instant::now();
    let mut state = PeerState::default();

    // Act
    let first = state.record_end(&settings, start, ConnectionEnd::Silent);
    let may_after_first = state.may_dial(start);
    let second = state.record_end(&settings, start, ConnectionEnd::Failed);
    let may_after_second = state.may_dial(after(start, 199));
    state.record_end(&settings, start, ConnectionEnd::Failed);
    let may_after_third = state.may_dial(after(start, 399));

    // Assert
    assert!(!first && may_after_first);
    assert!(second && !may_after_second);
    assert!(!may_after_third && state.may_dial(after(start, 400)));
    state.record_answer();
    assert!(state.may_dial(start) && !state.is_suspect());
}

#[test]
fn a_proof_is_valid_for_one_end_and_one_pair_of_incarnations() {
    // Arrange
    let key = FleetKey::new(SECRET);
    let name = |daemon: &str| PeerName {
        daemon: daemon.into(),
        incarnation: 1,
    };
    let transcript = Transcript {
        caller: name("a"),
        caller_nonce: [1; 32],
        answerer: name("b"),
        answerer_nonce: [2; 32],
    };
    let proof = transcript.sign(&key, Role::Caller);
    let mut later_incarnation = transcript.clone();
    later_incarnation.answerer.incarnation = 2;
    let mut swapped = transcript.clone();
    swapped.caller = transcript.answerer.clone();
    swapped.answerer = transcript.caller.clone();

    // Act
    let reflected = transcript.verify(&key, Role::Answerer, &proof);
    let in_later_incarnation = later_incarnation.verify(&key, Role::Caller, &proof);
    let with_names_swapped = swapped.verify(&key, Role::Caller, &proof);
    let cut = transcript.verify(&key, Role::Caller, &proof[..31]);

    // Assert
    assert!(transcript.verify(&key, Role::Caller, &proof));
    assert!(!reflected && !in_later_incarnation && !with_names_swapped && !cut);
}

#[test]
fn a_peer_that_keeps_an_earlier_incarnation_is_dialled_with_backoff() {
    // Arrange
    let settings = LinkSettings::default();
    let first = Instant::now();
    let mut peer = PeerState::default();
    let mut now = first;
    let mut dials_count = 0;

    // Act
    while now < first + Duration::from_secs(60) {
        if peer.may_redial(now) {
            peer.saw_earlier_incarnation(&settings, now);
            dials_count += 1;
        }
        now += Duration::from_millis(10);
    }

    // Assert
    assert!((12..=20).contains(&dials_count), "{dials_count}");
    peer.forget_earlier_incarnation();
    assert!(peer.may_redial(now));
}
