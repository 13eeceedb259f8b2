//! Custody of a partition: no two daemons may spend from it at once, loans included.
//!
//! Daemon A holds the partition, B is its grantor, C may become one. The daemons' states are the
//! real `LeaseState`; the model adds the log, messages, clocks and time. Records may arrive at
//! any later time or never, reads and messages take any time, and whoever may spend is taken to
//! lend at every moment. A tick is ten seconds of an exact clock.

#[path = "custody/model.rs"]
mod model;
#[path = "custody/mutation.rs"]
mod mutation;
#[path = "custody/options.rs"]
mod options;
mod support;

use model::LeaseModel;
use mutation::Mutation;
use options::Options;
use support::{expect_safe, expect_violation};

fn mutated(options: Options, mutation: Mutation) -> LeaseModel {
    LeaseModel::new(Options {
        mutation: Some(mutation),
        ..options
    })
}

fn promises() -> Options {
    Options {
        horizon: 3,
        loan_s: 5,
        asks: true,
        reclaims: true,
        ..Default::default()
    }
}

fn slow_clocks() -> Options {
    Options {
        horizon: 4,
        asks: true,
        reclaims: true,
        ..Default::default()
    }
}

fn naming() -> Options {
    Options {
        horizon: 2,
        loan_s: 5,
        asks: true,
        names: 1,
        reclaims: true,
        ..Default::default()
    }
}

fn open_custody() -> Options {
    Options {
        horizon: 3,
        open: true,
        slow_reads: true,
        right_ticks: 2,
        loan_s: 5,
        takes: true,
        ..Default::default()
    }
}

fn open_then_named() -> Options {
    Options {
        horizon: 3,
        open: true,
        asks: true,
        names: 1,
        reclaims: true,
        ..Default::default()
    }
}

fn hand_over() -> Options {
    Options {
        horizon: 4,
        open: true,
        right_ticks: 2,
        loan_s: 5,
        hands_over: true,
        doubles: true,
        ..Default::default()
    }
}

fn leaving_custodian() -> Options {
    Options {
        horizon: 2,
        loan_s: 5,
        asks: true,
        names: 1,
        reclaims: true,
        retires: true,
        ..Default::default()
    }
}

fn returning_custodian() -> Options {
    Options {
        horizon: 3,
        loan_s: 5,
        asks: true,
        reclaims: true,
        returns: true,
        ..Default::default()
    }
}

fn doubled_records() -> Options {
    Options {
        horizon: 3,
        loan_s: 5,
        asks: true,
        reclaims: true,
        named_before: true,
        ..Default::default()
    }
}

#[test]
fn promises_and_reclaim_hold() {
    expect_safe("promises and reclaim", &LeaseModel::new(promises()));
}

#[test]
fn slow_clocks_hold() {
    expect_safe("slow clocks", &LeaseModel::new(slow_clocks()));
}

#[test]
fn naming_another_custodian_holds() {
    expect_safe("naming another grantor", &LeaseModel::new(naming()));
}

#[test]
fn custody_without_custodian_holds() {
    expect_safe("custody without grantor", &LeaseModel::new(open_custody()));
    let named = LeaseModel::new(open_then_named());
    expect_safe("a first grantor is named", &named);
}

#[test]
fn hand_over_holds_with_doubled_records() {
    expect_safe("hand-over", &LeaseModel::new(hand_over()));
}

#[test]
fn a_leaving_custodian_holds() {
    expect_safe("a leaving grantor", &LeaseModel::new(leaving_custodian()));
}

#[test]
fn a_returning_custodian_holds() {
    expect_safe(
        "a returning grantor",
        &LeaseModel::new(returning_custodian()),
    );
}

#[test]
fn doubled_records_hold() {
    expect_safe("doubled records", &LeaseModel::new(doubled_records()));
}

macro_rules! caught {
    ($($name:ident: $options:ident, $mutation:ident;)*) => {
        $(
            #[test]
            fn $name() {
                let model = mutated($options(), Mutation::$mutation);
                expect_violation(stringify!($name), &model);
            }
        )*
    };
}

caught! {
    a_promise_counted_from_its_arrival_is_caught: promises, LeaseFromArrival;
    a_promise_after_the_decision_is_caught: promises, LeaseAfterDecision;
    a_start_that_does_not_wait_for_loans_is_caught: promises, NoWaitForLoans;
    clocks_without_margin_are_caught: slow_clocks, NoMargin;
    a_reclaim_without_waiting_for_promises_is_caught: promises, NoWaitForLeases;
    promises_of_the_old_custodian_are_caught: naming, CountFormerGrantor;
    a_new_custodian_that_does_not_wait_is_caught: naming, NewGrantorDoesNotWait;
    a_reclaim_by_a_former_custodian_is_caught: naming, FormerGrantorReclaims;
    inherited_custody_is_caught: promises, InheritedGrantor;
    freshness_counted_from_arrival_is_caught: open_custody, FreshFromArrival;
    a_take_without_waiting_for_reads_is_caught: open_custody, NoWaitForReads;
    reads_that_count_beside_a_custodian_are_caught: open_then_named, ReadsCountDespiteGrantor;
    spending_after_a_hand_over_is_caught: hand_over, SpendAfterHandOver;
    a_doubled_hand_over_is_caught: hand_over, HandOverWithoutBase;
    a_custodian_that_leaves_and_reclaims_is_caught: leaving_custodian, RetiredReclaims;
    a_new_life_that_is_the_old_custodian_is_caught: returning_custodian, LivesAreOne;
    a_doubled_naming_is_caught: doubled_records, NameWithoutBase;
}
