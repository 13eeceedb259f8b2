//! Tests of messages and descriptions with values out of bounds.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use super::{entry, state_of};
use crate::link::{PeerAnswer, PeerName, PeerRequest};
use crate::membership::state::MembershipState;
use crate::membership::{
    CompareAnswer, CompareRequest, DaemonEntry, Delta, Fleet, Gossip, MembersAnswer,
    MembersRequest, MembershipAction, MembershipEvent, ServerEntry, Summary,
};
use crate::types::DaemonId;

/// Random sequences of events that are tried.
const CASES_COUNT: u32 = 256;

/// Returns a valid server with this id.
fn server(name: &str) -> ServerEntry {
    ServerEntry {
        server: name.into(),
        service: "s".into(),
        slots_count: 5,
        cold: false,
        draining: false,
        share_permille: 1000,
        ..Default::default()
    }
}

/// Returns the event that daemon `b` sends this request.
fn asked(request: PeerRequest) -> MembershipEvent {
    MembershipEvent::RequestReceived {
        ticket: 1,
        from: PeerName {
            daemon: "b".into(),
            incarnation: 1,
        },
        request,
    }
}

/// Returns the event that daemon `b` sends these descriptions.
fn gossip_of(entries: Vec<DaemonEntry>) -> MembershipEvent {
    asked(PeerRequest::Gossip(Gossip {
        entries: entries.into_iter().map(Arc::new).collect(),
        ..Default::default()
    }))
}

/// Returns the newest snapshot after a tick one second later.
fn shown(state: &mut MembershipState, actions: &[MembershipAction], now: Instant) -> Arc<Fleet> {
    let later = now + Duration::from_secs(1);
    let ticked = state.handle(later, MembershipEvent::Tick);
    let mut fleets = actions
        .iter()
        .chain(&ticked)
        .filter_map(|action| match action {
            MembershipAction::FleetChanged(fleet) => Some(fleet.clone()),
            _ => None,
        });
    fleets.next_back().unwrap_or_default()
}

/// Returns descriptions that each break one bound.
fn invalid_entries() -> Vec<DaemonEntry> {
    let good = entry("m", 1, 1);
    let long: DaemonId = "n".repeat(1 << 20).into();
    let any_port = |port| SocketAddr::from(([10, 0, 0, 1], port));
    let with = |servers: Vec<ServerEntry>| DaemonEntry {
        servers,
        ..good.clone()
    };
    let one = |change: fn(&mut ServerEntry)| {
        let mut invalid = server("i");
        change(&mut invalid);
        with(vec![invalid])
    };
    vec![
        entry("m", u64::MAX, 1),
        entry("m", 1, u64::MAX),
        entry("", 1, 1),
        entry(&long, 1, 1),
        DaemonEntry {
            domain: long.clone(),
            ..good.clone()
        },
        DaemonEntry {
            guard_address: any_port(0),
            ..good.clone()
        },
        DaemonEntry {
            link_address: any_port(0),
            ..good.clone()
        },
        with((0..5_000).map(|_| server("i")).collect()),
        one(|invalid| invalid.slots_count = u32::MAX),
        one(|invalid| invalid.share_permille = u16::MAX),
        one(|invalid| invalid.server = "".into()),
        one(|invalid| invalid.service = "n".repeat(1 << 20).into()),
    ]
}

#[test]
fn an_invalid_description_is_refused_and_valid_ones_around_it_are_kept() {
    for invalid in invalid_entries() {
        let name: String = format!("{invalid:?}").chars().take(200).collect();
        let entries = vec![entry("c", 1, 1), invalid.clone(), entry("z", 1, 1)];
        let received = |entry: &DaemonEntry| MembershipEvent::EntryReceived(entry.clone());
        let ways = [
            vec![gossip_of(entries.clone())],
            entries.iter().map(received).collect(),
        ];
        for events in ways {
            // Arrange
            let now = Instant::now();
            let mut state = state_of("a");

            // Act
            let mut actions = Vec::new();
            for event in events {
                actions.extend(state.handle(now, event));
            }

            // Assert
            let fleet = shown(&mut state, &actions, now);
            let names: Vec<&str> = fleet.daemons.keys().map(|name| &**name).collect();
            assert_eq!(names, ["a", "c", "z"], "{name}");
            let refused = MembershipAction::Count("membership.entry.refused");
            assert!(actions.contains(&refused), "{name}");
        }
    }
}

#[test]
fn a_delta_to_an_invalid_description_is_refused() {
    // Arrange
    let now = Instant::now();
    let mut state = state_of("a");
    let received = state.handle(now, MembershipEvent::EntryReceived(entry("m", 1, 1)));
    let delta = |version, slots_count| Delta {
        daemon: "m".into(),
        incarnation: 1,
        from_version: 1,
        version,
        leaving: false,
        servers: vec![ServerEntry {
            slots_count,
            ..server("i")
        }],
        removed: Vec::new(),
    };
    let deltas = vec![Arc::new(delta(u64::MAX, 5)), Arc::new(delta(2, u32::MAX))];

    // Act
    let gossip = Gossip {
        deltas,
        ..Default::default()
    };
    let mut actions = state.handle(now, asked(PeerRequest::Gossip(gossip)));
    actions.splice(0..0, received);

    // Assert
    let fleet = shown(&mut state, &actions, now);
    let kept = fleet.daemons.get("m").expect("the daemon is known");
    assert_eq!((kept.version, kept.servers.len()), (1, 0));
}

#[test]
fn a_suspicion_in_the_greatest_round_does_not_end_the_daemon() {
    let now = Instant::now();
    let mut state = state_of("a");
    let summary = Summary {
        daemon: "a".into(),
        incarnation: 1,
        version: 0,
        round: u32::MAX,
        suspect: true,
    };
    let gossip = Gossip {
        summaries: vec![summary],
        ..Default::default()
    };
    state.handle(now, asked(PeerRequest::Gossip(gossip)));
    assert!(!state.own().leaving);
}

#[test]
fn an_oversized_description_does_not_block_others() {
    // Arrange
    let now = Instant::now();
    let mut state = state_of("a");
    let long = "n".repeat(200);
    let large = DaemonEntry {
        servers: (0..100)
            .map(|turn| server(&format!("{long}{turn}")))
            .collect(),
        ..entry("c", 1, 1)
    };
    state.handle(now, MembershipEvent::EntryReceived(large));
    state.handle(now, MembershipEvent::EntryReceived(entry("d", 1, 1)));

    // Act
    let gossip = Gossip {
        wanted: vec!["c".into(), "d".into()],
        ..Default::default()
    };
    let actions = state.handle(now, asked(PeerRequest::Gossip(gossip)));

    // Assert
    let described = actions.iter().find_map(|action| match action {
        MembershipAction::Reply {
            answer: Some(PeerAnswer::Gossip(answer)),
            ..
        } => Some(&answer.entries),
        _ => None,
    });
    let described: Vec<&str> = described
        .into_iter()
        .flatten()
        .map(|entry| &*entry.daemon)
        .collect();
    assert_eq!(described, ["d"]);
}

/// Generates small numbers, the greatest ones and any others.
fn number() -> impl Strategy<Value = u64> {
    prop_oneof![0..4_u64, Just(u64::MAX), Just(u64::MAX - 1), any::<u64>()]
}

/// Generates short ids, the empty one and one that is too long.
fn name() -> impl Strategy<Value = DaemonId> {
    prop_oneof![
        "[abc]".prop_map(|name| name.into()),
        Just("".into()),
        Just("n".repeat(4_096).into()),
    ]
}

/// Generates servers with any figures.
fn any_server() -> impl Strategy<Value = ServerEntry> {
    (name(), any::<u32>(), any::<u16>()).prop_map(|(name, slots_count, share_permille)| {
        ServerEntry {
            slots_count,
            share_permille,
            ..server(&name)
        }
    })
}

/// Generates descriptions, of which many are invalid.
fn any_entry() -> impl Strategy<Value = DaemonEntry> {
    let servers = prop::collection::vec(any_server(), 0..4);
    (name(), number(), number(), any::<u16>(), servers).prop_map(
        |(daemon, incarnation, version, port, servers)| DaemonEntry {
            link_address: SocketAddr::from(([127, 0, 0, 1], port)),
            servers,
            ..entry(&daemon, incarnation, version)
        },
    )
}

/// Generates summaries, of which many are invalid.
fn any_summary() -> impl Strategy<Value = Summary> {
    (name(), number(), number(), number(), any::<bool>()).prop_map(
        |(daemon, incarnation, version, round, suspect)| Summary {
            daemon,
            incarnation,
            version,
            round: round as u32,
            suspect,
        },
    )
}

/// Generates deltas, of which many are invalid.
fn any_delta() -> impl Strategy<Value = Arc<Delta>> {
    let servers = prop::collection::vec(any_server(), 0..3);
    let removed = prop::collection::vec(name(), 0..3);
    (name(), number(), number(), number(), servers, removed).prop_map(
        |(daemon, incarnation, from_version, version, servers, removed)| {
            Arc::new(Delta {
                daemon,
                incarnation,
                from_version,
                version,
                leaving: false,
                servers,
                removed,
            })
        },
    )
}

/// Generates gossip with any summaries, deltas and descriptions.
fn any_gossip() -> impl Strategy<Value = Gossip> {
    (
        prop::collection::vec(any_summary(), 0..80),
        prop::collection::vec(any_delta(), 0..4),
        prop::collection::vec(any_entry(), 0..4),
        prop::collection::vec(name(), 0..4),
        number(),
    )
        .prop_map(|(summaries, deltas, entries, wanted, digest)| Gossip {
            summaries,
            deltas,
            entries: entries.into_iter().map(Arc::new).collect(),
            wanted,
            known: digest,
            digest,
        })
}

/// Generates events with any content.
fn any_event() -> impl Strategy<Value = MembershipEvent> {
    let digests = prop::collection::vec(number(), 0..20);
    let page = (any_gossip(), name(), any::<bool>());
    prop_oneof![
        any_entry().prop_map(MembershipEvent::EntryReceived),
        any_gossip().prop_map(|gossip| asked(PeerRequest::Gossip(gossip))),
        (any::<u8>(), number(), digests).prop_map(|(depth, prefix, digests)| {
            asked(PeerRequest::Compare(CompareRequest {
                depth,
                prefix,
                digests,
            }))
        }),
        (name(), any::<u32>()).prop_map(|(after, limit_bytes)| {
            asked(PeerRequest::Members(MembersRequest { after, limit_bytes }))
        }),
        (1..64_u64, any_gossip()).prop_map(|(ticket, gossip)| MembershipEvent::CallEnded {
            ticket,
            result: Ok(PeerAnswer::Gossip(gossip)),
        }),
        (1..64_u64, any_gossip(), any::<u16>(), any::<u16>()).prop_map(
            |(ticket, gossip, listed, deeper)| MembershipEvent::CallEnded {
                ticket,
                result: Ok(PeerAnswer::Compare(CompareAnswer {
                    summaries: gossip.summaries,
                    listed,
                    deeper,
                })),
            }
        ),
        (1..64_u64, page).prop_map(|(ticket, (gossip, next, complete))| {
            MembershipEvent::CallEnded {
                ticket,
                result: Ok(PeerAnswer::Members(MembersAnswer {
                    summaries: gossip.summaries,
                    entries: gossip.entries,
                    next,
                    complete,
                })),
            }
        }),
        Just(MembershipEvent::Tick),
    ]
}

#[test]
fn no_message_of_a_peer_ends_membership_or_hides_a_daemon() {
    let config = Config {
        cases: CASES_COUNT,
        failure_persistence: None,
        ..Config::default()
    };
    let random = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, random);
    let events = prop::collection::vec((any_event(), 0..5_000_u64), 1..40);
    let result = runner.run(&events, |events| {
        let mut now = Instant::now();
        let mut state = state_of("a");
        let mut actions = state.handle(now, MembershipEvent::EntryReceived(entry("good", 1, 1)));
        for (event, wait_ms) in events {
            now = now.max(state.next_tick_at()) + Duration::from_millis(wait_ms);
            actions.extend(state.handle(now, MembershipEvent::Tick));
            actions.extend(state.handle(now, event));
        }
        let fleet = shown(&mut state, &actions, now);
        prop_assert!(fleet.daemons.contains_key("good"));
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}
