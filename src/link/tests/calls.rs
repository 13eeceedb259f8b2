use std::sync::Arc;
use std::time::Duration;

use crate::health::{RouteCounts, RouteSummary, ServerSummary};
use crate::journal::LogRecord;
use crate::link::codec::{answer_bytes, request_bytes};
use crate::link::message::*;
use crate::link::tests::support::*;
use crate::membership::virtual_fleet::{ANSWER_FRAME_BYTES, CALL_FRAME_BYTES};
use crate::membership::*;

/// Returns a membership summary without default values.
fn summary() -> Summary {
    Summary {
        daemon: "c".into(),
        incarnation: 3,
        version: 9,
        round: 2,
        suspect: true,
    }
}

/// Returns the description of a daemon with one server, without default values.
fn entry() -> DaemonEntry {
    DaemonEntry {
        daemon: "c".into(),
        incarnation: 3,
        version: 9,
        domain: "south".into(),
        guard_address: "127.0.0.1:81".parse().unwrap(),
        link_address: "[::1]:82".parse().unwrap(),
        leaving: true,
        servers: vec![ServerEntry {
            server: "s".into(),
            service: "workshop".into(),
            slots_count: 5,
            cold: true,
            draining: true,
            share_permille: 250,
            ..Default::default()
        }],
    }
}

/// Returns the name of a daemon in this incarnation.
fn peer(daemon: &str, incarnation: u64) -> PeerName {
    PeerName {
        daemon: daemon.into(),
        incarnation,
    }
}

/// Exchanges that concern requests, allowances and idempotency keys.
fn control_exchanges() -> Vec<(PeerRequest, PeerAnswer)> {
    let borrow = |escrow| PeerRequest::Borrow(BorrowRequest { escrow, count: 5 });
    let lent = PeerAnswer::Borrow(BorrowAnswer {
        count: 4,
        lapses_after: Duration::from_millis(1500),
        retry_after: Duration::from_millis(20),
    });
    let lease = PeerRequest::Lease(LeaseRequest {
        holder: peer("a", 1),
        grantor: peer("b", 2),
    });
    let granted = |holds_for| PeerAnswer::Lease(LeaseAnswer { holds_for });
    let fence = PeerRequest::Fence(FenceRequest {
        request: 17,
        attempt: 2,
        incarnation: 7,
    });
    let claim_step = |step| {
        PeerRequest::Claim(ClaimRequest {
            step,
            organisation: "optician-1".into(),
            idempotency_key: "k".to_owned(),
            request: 18,
        })
    };
    let claim = claim_step(ClaimStep::Take);
    let release = claim_step(ClaimStep::Release);
    vec![
        (borrow(EscrowId::Organisation("o".into())), lent.clone()),
        (borrow(EscrowId::Service("s".into())), lent),
        (lease.clone(), granted(Some(Duration::from_millis(900)))),
        (lease, granted(None)),
        (fence.clone(), PeerAnswer::Fence(FenceAnswer::Fenced)),
        (fence.clone(), PeerAnswer::Fence(FenceAnswer::Running)),
        (fence.clone(), PeerAnswer::Fence(FenceAnswer::Ended)),
        (fence, PeerAnswer::Fence(FenceAnswer::Unknown)),
        (PeerRequest::Cancel(u128::MAX), PeerAnswer::Done),
        (claim.clone(), PeerAnswer::Claim(ClaimAnswer::Granted)),
        (release, PeerAnswer::Claim(ClaimAnswer::Unknown)),
        (claim, PeerAnswer::Claim(ClaimAnswer::Taken { by: 19 })),
    ]
}

/// Exchanges that spread records and state among the daemons.
fn replication_exchanges() -> Vec<(PeerRequest, PeerAnswer)> {
    let records = PeerRequest::Records(RecordsRequest {
        stream: "configuration".to_owned(),
        from: 4,
        era: 3,
        limit_count: 10,
    });
    let found = |checkpoint| {
        PeerAnswer::Records(RecordsAnswer {
            checkpoint,
            records: vec![LogRecord {
                offset: 4,
                body: "{}".to_owned(),
            }],
            next: 5,
        })
    };
    let poison = PeerRequest::Poison(vec![PoisonReport {
        fingerprint: [3; 32],
        death_count: 2,
        holds_for: Duration::from_secs(60),
    }]);
    let update = Gossip {
        summaries: vec![summary()],
        deltas: vec![Arc::new(Delta {
            daemon: "c".into(),
            incarnation: 3,
            from_version: 7,
            version: 9,
            leaving: true,
            servers: entry().servers,
            removed: vec!["t".into()],
        })],
        entries: vec![entry().into()],
        wanted: vec!["c".into()],
        known: 5,
        digest: u64::MAX,
    };
    let gossip = PeerRequest::Gossip(update.clone());
    let gossiped = PeerAnswer::Gossip(update);
    let compare = PeerRequest::Compare(CompareRequest {
        depth: 2,
        prefix: 0xab,
        digests: (0..16).collect(),
    });
    let compared = PeerAnswer::Compare(CompareAnswer {
        summaries: vec![summary()],
        deeper: 0x8001,
        listed: 0x0ff0,
    });
    let members = PeerRequest::Members(MembersRequest {
        after: "b".into(),
        limit_bytes: 65_536,
    });
    let page = PeerAnswer::Members(MembersAnswer {
        summaries: vec![summary()],
        entries: vec![entry().into()],
        next: "c".into(),
        complete: true,
    });
    let counts = RouteCounts {
        seen_count: 9,
        failed_count: 2,
        stuck_count: 1,
        buckets: vec![4, 0, 5],
    };
    let summaries = vec![ServerSummary {
        server: "s".into(),
        routes: vec![RouteSummary {
            route: "sheets".into(),
            recent: counts.clone(),
            long: counts,
        }],
    }];
    vec![
        (
            PeerRequest::Summary("workshop".into()),
            PeerAnswer::Summary(summaries),
        ),
        (records.clone(), found(None)),
        (records, found(Some("{\"next\":4}".to_owned()))),
        (
            PeerRequest::Tombstones(vec![[1; 32], [2; 32]]),
            PeerAnswer::Done,
        ),
        (poison, PeerAnswer::Done),
        (gossip, gossiped),
        (compare, compared),
        (members, page),
        (PeerRequest::Probe("c".into()), PeerAnswer::Probe(true)),
    ]
}

#[test]
fn every_kind_of_request_and_answer_survives_encoding_and_decoding() {
    // Arrange
    let mut exchanges = control_exchanges();
    exchanges.extend(replication_exchanges());
    let expected = exchanges.clone();
    let script = std::sync::Mutex::new(exchanges.into_iter());
    let answerer = start_link(
        "b",
        SECRET,
        Box::new(move |from, request| {
            let (wanted, answer) = script.lock().unwrap().next().unwrap();
            let same = request == wanted && *from == peer("a", 7);
            Some(if same {
                Ok(answer)
            } else {
                Err(LinkError::Refused)
            })
        }),
    );
    let caller = start_link("a", SECRET, refuse_all());
    caller.set_fleet(&[("b", answerer.address)]);

    for (request, answer) in expected {
        // Act
        let found = caller.ask("b", request);

        // Assert
        assert_eq!(found, Ok(answer));
    }
}

#[test]
fn a_refusal_of_the_handler_reaches_the_caller_as_refused() {
    // Arrange
    let answerer = start_link("b", SECRET, refuse_all());
    let caller = start_link("a", SECRET, refuse_all());
    caller.set_fleet(&[("b", answerer.address)]);

    // Act
    let found = caller.ask("b", PeerRequest::Cancel(1));

    // Assert
    assert_eq!(found, Err(LinkError::Refused));
}

#[test]
fn a_call_to_a_daemon_that_is_not_in_the_fleet_fails_as_unreachable() {
    // Arrange
    let caller = start_link("a", SECRET, refuse_all());

    // Act
    let found = caller.ask("b", PeerRequest::Cancel(1));

    // Assert
    assert_eq!(found, Err(LinkError::Unreachable));
}

#[test]
fn a_call_without_an_answer_fails_as_silent_once() {
    // Arrange
    let answerer = start_link("b", SECRET, Box::new(|_, _| None));
    let caller = start_link("a", SECRET, refuse_all());
    caller.set_fleet(&[("b", answerer.address)]);

    // Act
    let found = caller.ask("b", PeerRequest::Cancel(1));

    // Assert
    assert_eq!(found, Err(LinkError::Silent));
    assert_eq!(caller.count_of("link.connection.silent"), 0);
}

#[test]
fn calls_in_flight_fail_once_when_the_link_stops() {
    // Arrange
    let answerer = start_link("b", SECRET, Box::new(|_, _| None));
    let caller = start_link("a", SECRET, refuse_all());
    caller.set_fleet(&[("b", answerer.address)]);
    let waiting = caller.call("b", PeerRequest::Cancel(1));
    answerer.wait_for_count("link.accept.proven");

    // Act
    drop(caller);

    // Assert
    assert!(only_answer(&waiting).is_err());
}

#[test]
fn calls_over_the_limit_of_a_peer_are_not_sent() {
    // Arrange
    let settings = crate::settings::link::LinkSettings {
        calls_limit_count: 1,
        ..Default::default()
    };
    let answerer = start_link("b", SECRET, Box::new(|_, _| None));
    let caller = start_link_with("a", SECRET, settings, refuse_all());
    caller.set_fleet(&[("b", answerer.address)]);
    let first = caller.call("b", PeerRequest::Cancel(1));

    // Act
    let second = caller.ask("b", PeerRequest::Cancel(2));

    // Assert
    assert_eq!(second, Err(LinkError::Unreachable));
    assert_eq!(caller.count_of("link.call.over_limit"), 1);
    assert_eq!(only_answer(&first), Err(LinkError::Silent));
}

#[test]
fn a_daemon_at_a_seed_address_answers_without_its_name_being_known() {
    // Arrange
    let answerer = start_link("b", SECRET, answer_done());
    let caller = start_link("a", SECRET, refuse_all());
    let (answers, receiver) = crossbeam::channel::bounded(4);

    // Act
    caller.sender.deliver(LinkMessage::CallSeed {
        address: answerer.address,
        request: PeerRequest::Cancel(1),
        reply: Box::new(move |result| answers.send(result).unwrap()),
    });

    // Assert
    assert_eq!(only_answer(&receiver), Ok(PeerAnswer::Done));
}

/// Length of the RPC library's release message.
const RELEASE_BYTES: usize = 48;

#[test]
fn calls_take_as_many_bytes_as_the_simulated_fleet_counts() {
    // Arrange
    let calls_count = 10;
    let request = PeerRequest::Probe("c".into());
    let answerer = start_link("b", SECRET, answer_done());
    let relay = Relay::start(answerer.address);
    let caller = start_link("a", SECRET, refuse_all());
    caller.set_fleet(&[("b", relay.address)]);
    caller.ask("b", request.clone()).unwrap();
    let before = (
        relay.sent.lock().unwrap().len(),
        relay.received.lock().unwrap().len(),
    );

    // Act
    for _ in 0..calls_count {
        caller.ask("b", request.clone()).unwrap();
    }

    // Assert
    let sent = relay.sent.lock().unwrap().len() - before.0;
    let received = relay.received.lock().unwrap().len() - before.1;
    let call = CALL_FRAME_BYTES as usize + request_bytes(&request);
    let answer = ANSWER_FRAME_BYTES as usize + answer_bytes(&PeerAnswer::Done);
    assert_eq!(received, calls_count * answer);
    // The release message of the last answer may not have been relayed yet, in either count.
    assert!(sent.abs_diff(calls_count * call) <= RELEASE_BYTES, "{sent}");
}
