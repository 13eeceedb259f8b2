use crate::allowance::record::EscrowRecord;
use crate::allowance::replay::{Ledger, TransferKind};
use crate::link::PeerName;

fn peer(name: &str) -> PeerName {
    PeerName {
        daemon: name.into(),
        incarnation: 1,
    }
}

fn claim(holder: &str, grantor: &str) -> EscrowRecord {
    EscrowRecord::Claim {
        holder: peer(holder),
        grantor: Some(peer(grantor)),
        partitions: vec![0, 1],
    }
}

fn name(holder: &str, grantor_since: u64, grantor: &str) -> EscrowRecord {
    EscrowRecord::Name {
        holder: peer(holder),
        grantor_since,
        grantor: Some(peer(grantor)),
    }
}

fn reclaim(holder: &str, grantor_since: u64, by: &str) -> EscrowRecord {
    EscrowRecord::Reclaim {
        holder: peer(holder),
        grantor_since,
        by: peer(by),
    }
}

fn hand_over(holder: &str, next: u64, to: &str) -> EscrowRecord {
    EscrowRecord::HandOver {
        holder: peer(holder),
        next,
        to: peer(to),
        partitions: vec![0],
    }
}

/// Replays the records; returns the ledger and the number of transfers by each record.
fn replay(records: &[EscrowRecord]) -> (Ledger, Vec<usize>) {
    let mut ledger = Ledger::new(2);
    let mut transfers = Vec::new();
    for (offset, record) in records.iter().enumerate() {
        transfers.push(ledger.apply(offset as u64, record).len());
    }
    (ledger, transfers)
}

#[test]
fn the_first_claim_of_a_partition_wins() {
    let (ledger, transfers) = replay(&[claim("a", "b"), claim("b", "a")]);
    assert_eq!(transfers, [2, 0]);
    assert_eq!(ledger.holder_of(0), Some(&peer("a")));
    assert_eq!(ledger.holders().len(), 1);
}

#[test]
fn only_the_grantor_named_at_that_offset_reclaims() {
    // Arrange
    let records = [
        claim("a", "b"),
        reclaim("a", 0, "c"),
        name("a", 0, "c"),
        reclaim("a", 0, "b"),
        reclaim("a", 2, "b"),
        reclaim("a", 2, "c"),
    ];

    // Act
    let (ledger, transfers) = replay(&records);

    // Assert
    assert_eq!(transfers, [2, 0, 0, 0, 0, 2]);
    assert_eq!(ledger.holder_of(1), Some(&peer("c")));
}

#[test]
fn a_naming_appended_twice_takes_effect_once() {
    let records = [
        claim("a", "b"),
        name("a", 0, "c"),
        name("a", 1, "b"),
        name("a", 0, "c"),
    ];
    let (ledger, _) = replay(&records);
    assert_eq!(ledger.holders()[&peer("a")].grantor, Some(peer("b")));
}

#[test]
fn the_role_of_grantor_is_not_inherited() {
    let records = [
        claim("a", "b"),
        EscrowRecord::Claim {
            holder: peer("b"),
            grantor: Some(peer("c")),
            partitions: vec![1],
        },
        reclaim("a", 0, "c"),
    ];
    let (_, transfers) = replay(&records);
    assert_eq!(transfers, [2, 0, 0]);
}

#[test]
fn a_hand_over_appended_twice_does_not_take_a_returned_partition() {
    // Arrange
    let records = [
        claim("a", "b"),
        hand_over("a", 1, "b"),
        hand_over("b", 2, "a"),
        hand_over("a", 1, "b"),
    ];

    // Act
    let (ledger, transfers) = replay(&records);

    // Assert
    assert_eq!(transfers, [2, 1, 1, 0]);
    assert_eq!(ledger.holder_of(0), Some(&peer("a")));
}

#[test]
fn any_daemon_reclaims_from_a_holder_without_grantor() {
    // Arrange
    let open = EscrowRecord::Claim {
        holder: peer("a"),
        grantor: None,
        partitions: vec![0, 1],
    };
    let mut ledger = Ledger::new(2);
    ledger.apply(0, &open);

    // Act
    let transfers = ledger.apply(1, &reclaim("a", 0, "d"));

    // Assert
    assert!(transfers
        .iter()
        .all(|transfer| transfer.kind == TransferKind::Taken));
    assert_eq!(transfers.len(), 2);
    assert_eq!(ledger.holders()[&peer("d")].grantor, None);
}

/// Returns a peer with this incarnation.
fn peer_at(name: &str, incarnation: u64) -> PeerName {
    PeerName {
        incarnation,
        ..peer(name)
    }
}

/// Returns the transfers of a holder's partitions to `by`, after its grantor may have ended.
fn transfers_after_restart(grantor_ended: bool, by: PeerName) -> Vec<usize> {
    let mut records = vec![claim("a", "b")];
    if grantor_ended {
        records.push(EscrowRecord::Renounce {
            grantor: peer("b"),
            by: peer_at("b", peer("b").incarnation + 1),
        });
    }
    records.push(EscrowRecord::Reclaim {
        holder: peer("a"),
        grantor_since: 0,
        by,
    });
    replay(&records).1
}

#[test]
fn a_later_incarnation_gets_its_partitions_back_once_the_grantor_has_ended_too() {
    let later = peer_at("a", peer("a").incarnation + 1);
    assert!(*transfers_after_restart(true, later).last().unwrap() > 0);
}

#[test]
fn a_later_incarnation_takes_nothing_while_the_grantor_may_grant_leases() {
    let later = peer_at("a", peer("a").incarnation + 1);
    assert_eq!(transfers_after_restart(false, later).last(), Some(&0));
}

#[test]
fn no_other_daemon_takes_partitions_whose_grantor_has_ended() {
    assert_eq!(transfers_after_restart(true, peer("c")).last(), Some(&0));
}
