//! Tests of the rules of suspicion, merging and deltas.

use std::time::{Duration, Instant};

use super::{entry, state_of};
use crate::link::{LinkError, PeerAnswer, PeerName, PeerRequest};
use crate::membership::state::MembershipState;
use crate::membership::{
    CallTarget, Delta, Fleet, Gossip, MembershipAction, MembershipEvent, ServerEntry, Summary,
    Ticket,
};

/// Returns the summary of a daemon in its first incarnation and version.
fn summary(daemon: &str, round: u32, suspect: bool) -> Summary {
    Summary {
        daemon: daemon.into(),
        incarnation: 1,
        version: 1,
        round,
        suspect,
    }
}

/// Returns the answer to gossip of daemon `b`.
fn gossip(state: &mut MembershipState, now: Instant, gossip: Gossip) -> Gossip {
    let asked = MembershipEvent::RequestReceived {
        ticket: 1,
        from: PeerName {
            daemon: "b".into(),
            incarnation: 1,
        },
        request: PeerRequest::Gossip(gossip),
    };
    for action in state.handle(now, asked) {
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

/// Returns the calls to known daemons: ticket, target and request.
fn calls(actions: &[MembershipAction]) -> Vec<(Ticket, String, &PeerRequest)> {
    let mut found = Vec::new();
    for action in actions {
        if let MembershipAction::Call {
            ticket,
            to: CallTarget::Daemon(to),
            request,
        } = action
        {
            found.push((*ticket, to.to_string(), request));
        }
    }
    found
}

/// Ticks until the state gossips with a daemon; returns the ticket of the call.
fn next_call(state: &mut MembershipState, now: &mut Instant, daemon: &str) -> Ticket {
    for _ in 0..1000 {
        *now = state.next_tick_at().max(*now);
        let actions = state.handle(*now, MembershipEvent::Tick);
        let to = calls(&actions)
            .into_iter()
            .find(|(_, to, request)| to == daemon && matches!(request, PeerRequest::Gossip(_)));
        if let Some((ticket, _, _)) = to {
            return ticket;
        }
    }
    panic!("{daemon} is never called");
}

#[test]
fn a_suspicion_of_this_daemon_is_refuted_by_a_greater_round() {
    // Arrange
    let now = Instant::now();
    let mut state = state_of("a");
    let message = Gossip {
        summaries: vec![Summary {
            version: 0,
            ..summary("a", 4, true)
        }],
        ..Default::default()
    };

    // Act
    let answer = gossip(&mut state, now, message);

    // Assert
    let own = answer.summaries.iter().find(|found| &*found.daemon == "a");
    assert!(
        own.is_some_and(|own| own.round == 5 && !own.suspect),
        "{answer:?}"
    );
}

#[test]
fn a_suspicion_that_helpers_deny_is_not_spread() {
    // Arrange
    let mut now = Instant::now();
    let mut state = state_of("a");
    for daemon in ["b", "c", "d"] {
        state.handle(now, MembershipEvent::EntryReceived(entry(daemon, 1, 1)));
    }
    let first = next_call(&mut state, &mut now, "b");
    let again = state.handle(now, silent(first));
    let second = calls(&again)[0].0;
    let asked = state.handle(now, silent(second));

    // Act
    for (ticket, _, request) in calls(&asked) {
        assert_eq!(*request, PeerRequest::Probe("b".into()));
        let result = Ok(PeerAnswer::Probe(true));
        state.handle(now, MembershipEvent::CallEnded { ticket, result });
    }

    // Assert
    assert_eq!(calls(&asked).len(), 2);
    let answer = gossip(&mut state, now, Gossip::default());
    assert!(
        answer.summaries.iter().all(|found| !found.suspect),
        "{answer:?}"
    );
}

#[test]
fn a_suspicion_that_helpers_confirm_is_spread() {
    // Arrange
    let mut now = Instant::now();
    let mut state = state_of("a");
    for daemon in ["b", "c", "d"] {
        state.handle(now, MembershipEvent::EntryReceived(entry(daemon, 1, 1)));
    }
    let first = next_call(&mut state, &mut now, "c");
    let again = state.handle(now, silent(first));
    let second = calls(&again)[0].0;
    let asked = state.handle(now, silent(second));

    // Act
    for (ticket, _, _) in calls(&asked) {
        let result = Ok(PeerAnswer::Probe(false));
        state.handle(now, MembershipEvent::CallEnded { ticket, result });
    }

    // Assert
    let answer = gossip(&mut state, now, Gossip::default());
    let suspicion = answer.summaries.iter().find(|found| &*found.daemon == "c");
    assert!(
        suspicion.is_some_and(|suspicion| suspicion.suspect),
        "{answer:?}"
    );
}

#[test]
fn a_forgotten_daemon_is_not_added_again_by_old_news() {
    // Arrange
    let mut now = Instant::now();
    let mut state = state_of("a");
    let mut left = entry("b", 1, 1);
    left.leaving = true;
    state.handle(now, MembershipEvent::EntryReceived(left));
    now += Duration::from_secs(7_201);
    state.handle(now, MembershipEvent::Tick);

    // Act
    let old = MembershipEvent::EntryReceived(entry("b", 1, 9));
    state.handle(now + Duration::from_secs(1), old);
    let after_old = state.digest();
    state.handle(
        now + Duration::from_secs(1),
        MembershipEvent::EntryReceived(entry("b", 2, 1)),
    );

    // Assert
    assert_eq!(after_old, state_of("a").digest());
    assert_ne!(state.digest(), after_old);
}

#[test]
fn a_delta_applies_only_to_versions_that_it_covers() {
    // Arrange
    let now = Instant::now();
    let server = |slots_count| ServerEntry {
        server: "s".into(),
        service: "v".into(),
        slots_count,
        cold: false,
        draining: false,
        share_permille: 1000,
        ..Default::default()
    };
    let delta = |from_version, version| {
        std::sync::Arc::new(Delta {
            daemon: "b".into(),
            incarnation: 1,
            from_version,
            version,
            leaving: false,
            servers: vec![server(version as u32)],
            removed: Vec::new(),
        })
    };
    let send = |state: &mut MembershipState, delta: std::sync::Arc<Delta>| {
        let summaries = vec![Summary {
            version: delta.version,
            ..summary("b", 0, false)
        }];
        let message = Gossip {
            summaries,
            deltas: vec![delta],
            ..Default::default()
        };
        gossip(state, now, message)
    };
    let mut state = state_of("a");
    state.handle(now, MembershipEvent::EntryReceived(entry("b", 1, 3)));

    // Act
    let covered = send(&mut state, delta(2, 5));
    let with_gap = send(&mut state, delta(6, 7));

    // Assert
    assert!(covered.wanted.is_empty(), "{covered:?}");
    assert_eq!(with_gap.wanted, ["b".into()]);
}

/// Returns the end of a call that the peer did not answer.
fn silent(ticket: Ticket) -> MembershipEvent {
    MembershipEvent::CallEnded {
        ticket,
        result: Err(LinkError::Silent),
    }
}

/// Leaves every call unanswered for 20 s; returns the last snapshot.
fn run_cut_off(state: &mut MembershipState, now: &mut Instant) -> std::sync::Arc<Fleet> {
    let until = *now + Duration::from_secs(20);
    let mut fleet = std::sync::Arc::default();
    while *now < until {
        *now = state.next_tick_at().max(*now);
        let mut actions = state.handle(*now, MembershipEvent::Tick);
        while let Some(action) = actions.pop() {
            match action {
                MembershipAction::Call { ticket, .. } => {
                    actions.extend(state.handle(*now, silent(ticket)));
                }
                MembershipAction::FleetChanged(changed) => fleet = changed,
                _ => {}
            }
        }
    }
    fleet
}

#[test]
fn an_isolated_daemon_clears_its_suspicions_at_the_first_contact() {
    // Arrange
    let mut now = Instant::now();
    let mut state = state_of("a");
    for daemon in ["b", "c", "d"] {
        state.handle(now, MembershipEvent::EntryReceived(entry(daemon, 1, 1)));
    }
    let cut_off = run_cut_off(&mut state, &mut now);

    // Act
    now += Duration::from_millis(100);
    let asked = MembershipEvent::RequestReceived {
        ticket: 1,
        from: PeerName {
            daemon: "b".into(),
            incarnation: 1,
        },
        request: PeerRequest::Gossip(Gossip::default()),
    };
    let actions = state.handle(now, asked);

    // Assert
    let gone = |fleet: &Fleet| fleet.daemons.values().filter(|found| found.leaving).count();
    assert_eq!(gone(&cut_off), 3);
    let back = actions.iter().find_map(|action| match action {
        MembershipAction::FleetChanged(fleet) => Some(gone(fleet)),
        _ => None,
    });
    assert_eq!(back, Some(0), "{actions:?}");
}

#[test]
fn a_call_from_before_a_pause_of_this_daemon_is_no_evidence() {
    // Arrange
    let mut now = Instant::now();
    let mut state = state_of("a");
    for daemon in ["b", "c", "d"] {
        state.handle(now, MembershipEvent::EntryReceived(entry(daemon, 1, 1)));
    }
    let before = next_call(&mut state, &mut now, "b");
    let awake = now + Duration::from_secs(30);
    state.handle(awake, MembershipEvent::Tick);

    // Act
    let actions = state.handle(awake, silent(before));

    // Assert
    assert_eq!(calls(&actions), []);
}

#[test]
fn a_superseded_daemon_does_not_tick_without_a_wait() {
    // Arrange
    let mut state = state_of("a");
    let now = Instant::now();
    let mut later_incarnation = entry("a", 1_000, 3);
    later_incarnation.link_address = "127.0.0.9:2".parse().unwrap();
    state.handle(now, MembershipEvent::EntryReceived(later_incarnation));

    // Act
    let later = now + Duration::from_secs(30);
    for _ in 0..10 {
        state.handle(later, MembershipEvent::Tick);
    }

    // Assert
    assert!(state.next_tick_at() > later);
}
