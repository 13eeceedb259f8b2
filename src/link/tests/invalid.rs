use std::sync::Arc;
use std::time::Duration;

use capnp::message::{Builder, ReaderOptions};
use capnp::serialize::{read_message, write_message_to_words};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::health::{RouteCounts, RouteSummary, ServerSummary};
use crate::link::codec::{read_answer, read_request, write_answer, write_request};
use crate::link::message::PoisonReport;
use crate::link::peer_capnp::{answer, request};
use crate::link::{
    BorrowRequest, EscrowId, LeaseRequest, PeerAnswer, PeerName, PeerRequest, RecordsAnswer,
};
use crate::membership::{
    CompareRequest, DaemonEntry, Delta, Gossip, MembersAnswer, ServerEntry, Summary,
};

/// Seed of the random changes.
const SEED: u64 = 1;
/// Changed copies of each sample message.
const TURN_COUNT: usize = 2_000;
/// Greatest number of bytes changed in one copy of a message.
const CHANGED_LIMIT_COUNT: usize = 6;

/// Returns a gossip message with every kind of content.
fn gossip() -> Gossip {
    let server = ServerEntry {
        server: "i".into(),
        service: "s".into(),
        slots_count: 5,
        cold: false,
        draining: false,
        share_permille: 1000,
        ..Default::default()
    };
    let entry = DaemonEntry {
        daemon: "b".into(),
        incarnation: 1,
        version: 2,
        domain: "d".into(),
        guard_address: "127.0.0.1:1".parse().expect("a literal address"),
        link_address: "[::1]:2".parse().expect("a literal address"),
        leaving: false,
        servers: vec![server.clone()],
    };
    let delta = Delta {
        daemon: "b".into(),
        incarnation: 1,
        from_version: 1,
        version: 2,
        leaving: false,
        servers: vec![server],
        removed: vec!["j".into()],
    };
    let summary = Summary {
        daemon: "b".into(),
        incarnation: 1,
        version: 2,
        round: 3,
        suspect: true,
    };
    Gossip {
        summaries: vec![summary],
        deltas: vec![Arc::new(delta)],
        entries: vec![Arc::new(entry)],
        wanted: vec!["c".into()],
        known: 1,
        digest: 2,
    }
}

/// Returns the requests whose encodings are corrupted.
fn requests() -> Vec<PeerRequest> {
    let name = PeerName {
        daemon: "b".into(),
        incarnation: 1,
    };
    vec![
        PeerRequest::Gossip(gossip()),
        PeerRequest::Borrow(BorrowRequest {
            escrow: EscrowId::Organisation("o".into()),
            count: 3,
        }),
        PeerRequest::Lease(LeaseRequest {
            holder: name.clone(),
            grantor: name,
        }),
        PeerRequest::Tombstones(vec![[1; 32]]),
        PeerRequest::Poison(vec![PoisonReport {
            fingerprint: [2; 32],
            death_count: 1,
            holds_for: Duration::from_secs(1),
        }]),
        PeerRequest::Compare(CompareRequest {
            depth: 1,
            prefix: 2,
            digests: vec![3; 16],
        }),
    ]
}

/// Returns the answers whose encodings are corrupted.
fn answers() -> Vec<PeerAnswer> {
    let counts = RouteCounts {
        seen_count: 3,
        failed_count: 2,
        stuck_count: 1,
        buckets: vec![1, 2],
    };
    let page = gossip();
    vec![
        PeerAnswer::Gossip(page.clone()),
        PeerAnswer::Members(MembersAnswer {
            summaries: page.summaries,
            entries: page.entries,
            next: "c".into(),
            complete: false,
        }),
        PeerAnswer::Summary(vec![ServerSummary {
            server: "i".into(),
            routes: vec![RouteSummary {
                route: "r".into(),
                recent: counts.clone(),
                long: counts,
            }],
        }]),
        PeerAnswer::Records(RecordsAnswer {
            checkpoint: Some("{}".to_owned()),
            records: Vec::new(),
            next: 4,
        }),
    ]
}

/// Returns a copy of a message with some of its bytes changed, and sometimes its end cut off.
fn corrupted(random: &mut ChaCha8Rng, bytes: &[u8]) -> Vec<u8> {
    let mut bytes = bytes.to_vec();
    for _ in 0..random.random_range(1..=CHANGED_LIMIT_COUNT) {
        let place = random.random_range(0..bytes.len());
        bytes[place] = match random.random_range(0..4) {
            0 => 0,
            1 => u8::MAX,
            2 => bytes[place] ^ 1,
            _ => random.random(),
        };
    }
    if random.random_bool(0.1) {
        bytes.truncate(random.random_range(0..bytes.len()));
    }
    bytes
}

/// Returns reader options that limit the traversal of a message.
fn reader_options() -> ReaderOptions {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(1 << 17));
    options
}

#[test]
fn decoding_a_corrupted_request_never_panics() {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    for sample in requests() {
        let mut message = Builder::new_default();
        write_request(&sample, message.init_root());
        let bytes = write_message_to_words(&message);
        for _ in 0..TURN_COUNT {
            let invalid = corrupted(&mut random, &bytes);
            let Ok(message) = read_message(&invalid[..], reader_options()) else {
                continue;
            };
            // An error is expected; a panic is not.
            let _ = message.get_root::<request::Reader>().and_then(read_request);
        }
    }
}

#[test]
fn decoding_a_corrupted_answer_never_panics() {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    for sample in answers() {
        let mut message = Builder::new_default();
        write_answer(&sample, message.init_root());
        let bytes = write_message_to_words(&message);
        for _ in 0..TURN_COUNT {
            let invalid = corrupted(&mut random, &bytes);
            let Ok(message) = read_message(&invalid[..], reader_options()) else {
                continue;
            };
            // An error is expected; a panic is not.
            let _ = message.get_root::<answer::Reader>().and_then(read_answer);
        }
    }
}
