use std::net::SocketAddr;

use futures::FutureExt;

use super::{Evicted, MemoryBudget, SMALL_HOLD_BYTES};
use crate::metrics::Metrics;

/// Limit of the budgets in these tests.
const LIMIT_BYTES: usize = 1_000_000;

/// Returns the address of one of several peers.
fn peer(index: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1000 + index))
}

/// Returns a budget with its counters.
fn budget() -> (MemoryBudget, Metrics) {
    let metrics = Metrics::local();
    let budget = MemoryBudget::new("test", LIMIT_BYTES, metrics.clone());
    (budget, metrics)
}

#[test]
fn a_holder_releases_its_bytes_when_dropped() {
    // Arrange
    let (budget, _) = budget();
    let hold = budget.hold(peer(0));
    hold.resize(600_000).expect("room");

    // Act
    drop(hold);

    // Assert
    assert_eq!(budget.held_bytes(), 0);
}

#[test]
fn the_greatest_holder_of_the_address_that_holds_most_is_evicted() {
    // Arrange
    let (budget, metrics) = budget();
    let hog = [budget.hold(peer(0)), budget.hold(peer(0))];
    hog[0].resize(250_000).expect("room");
    hog[1].resize(300_000).expect("room");
    let other = budget.hold(peer(1));
    other.resize(400_000).expect("room");

    // Act
    let newcomer = budget.hold(peer(2));
    let result = newcomer.resize(100_000);

    // Assert
    assert_eq!(result, Ok(()));
    let evicted = |hold: &super::MemoryHold| hold.evicted().now_or_never().is_some();
    assert!(evicted(&hog[1]));
    assert!(!evicted(&hog[0]) && !evicted(&other) && !evicted(&newcomer));
    assert_eq!(hog[1].resize(300_001), Err(Evicted));
    assert_eq!(budget.held_bytes(), 750_000);
    assert_eq!(metrics.counts()["memory.test.evicted"], 1);
}

#[test]
fn a_holder_of_the_address_that_holds_most_is_refused_its_own_growth() {
    // Arrange
    let (budget, _) = budget();
    let other = budget.hold(peer(1));
    other.resize(200_000).expect("room");
    let hog = budget.hold(peer(0));
    hog.resize(700_000).expect("room");

    // Act
    let result = hog.resize(900_000);

    // Assert
    assert_eq!(result, Err(Evicted));
    assert_eq!(other.resize(200_001), Ok(()));
    assert_eq!(budget.held_bytes(), 200_001);
}

#[test]
fn small_holders_are_never_refused() {
    // Arrange
    let (budget, _) = budget();
    let settled = budget.hold(peer(0));
    settled.resize(LIMIT_BYTES).expect("room");
    let _whole = settled.settle(vec![0; LIMIT_BYTES]).expect("not evicted");

    // Act
    let (small, long) = (budget.hold(peer(1)), budget.hold(peer(2)));
    let results = [
        small.resize(SMALL_HOLD_BYTES),
        long.resize(SMALL_HOLD_BYTES + 1),
    ];

    // Assert
    assert_eq!(results, [Ok(()), Err(Evicted)]);
}

#[test]
fn small_holders_of_the_address_that_holds_most_are_not_evicted() {
    // Arrange
    let (budget, _) = budget();
    let settled = budget.hold(peer(0));
    settled.resize(900_000).expect("room");
    let _whole = settled.settle(vec![0; 900_000]).expect("not evicted");
    let small = budget.hold(peer(0));
    small.resize(SMALL_HOLD_BYTES).expect("room");

    // Act
    let refused = budget.hold(peer(1)).resize(200_000);

    // Assert
    assert_eq!((refused, small.resize(1)), (Err(Evicted), Ok(())));
}

#[test]
fn settled_bytes_stay_charged_until_the_last_clone_is_dropped() {
    // Arrange
    let (budget, _) = budget();
    let hold = budget.hold(peer(0));
    hold.resize(900_000).expect("room");
    let mut whole = hold.settle(vec![1; 900_000]).expect("not evicted");
    let part = whole.split_to(10);

    // Act and assert
    drop(whole);
    assert_eq!(budget.held_bytes(), 900_000);
    drop(part);
    assert_eq!(budget.held_bytes(), 0);
}

#[test]
fn an_evicted_holder_can_not_settle() {
    // Arrange
    let (budget, _) = budget();
    let hog = budget.hold(peer(0));
    hog.resize(900_000).expect("room");
    budget.hold(peer(1)).resize(200_000).expect("room");

    // Act and assert
    assert_eq!(hog.settle(vec![0; 900_000]), Err(Evicted));
}

#[test]
fn exhaustion_and_recovery_are_each_reported_once() {
    use super::BudgetChange::{Exhausted, Recovered};
    // Arrange
    let mut ledger = super::Ledger {
        held_bytes: 900,
        ..Default::default()
    };

    // Act
    let mut changes = Vec::new();
    for (evicted_count, held_bytes) in [(2, 900), (1, 900), (0, 501), (0, 500), (0, 0)] {
        ledger.held_bytes = held_bytes;
        changes.extend(ledger.record(evicted_count, 1_000));
    }

    // Assert
    assert_eq!(changes, [Exhausted, Recovered]);
}
