//! Model check of partition leases: no two daemons may spend from a partition at once, loans
//! included.
//!
//! Daemon A holds the partition, B is its grantor, and C may become a grantor or the holder. Each
//! daemon's state is a real `LeaseState`; the model adds the log, messages, clocks and time. A
//! record may be appended at any later time or never, and reads and messages may take any time. A
//! daemon that may spend is assumed to lend at every moment. A tick is ten seconds of an exact
//! clock.

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

/// Returns the model with one rule broken.
fn mutated(options: Options, mutation: Mutation) -> LeaseModel {
    LeaseModel::new(Options {
        mutation: Some(mutation),
        ..options
    })
}

/// Lets A request leases of B, which may reclaim.
fn leasing() -> Options {
    Options {
        horizon_ticks: 3,
        loan_s: 5,
        requests_leases: true,
        reclaims: true,
        ..Default::default()
    }
}

/// Does as `leasing`, with loans and a margin of a whole tick, over four ticks.
fn slow_clocks() -> Options {
    Options {
        horizon_ticks: 4,
        requests_leases: true,
        reclaims: true,
        ..Default::default()
    }
}

/// Lets A name another grantor while B may reclaim.
fn naming() -> Options {
    Options {
        horizon_ticks: 2,
        loan_s: 5,
        requests_leases: true,
        naming_limit_count: 1,
        reclaims: true,
        ..Default::default()
    }
}

/// Lets A spend on slow reads without a grantor, and B reclaim.
fn without_grantor() -> Options {
    Options {
        horizon_ticks: 3,
        no_grantor: true,
        slow_reads: true,
        lease_ticks: 2,
        loan_s: 5,
        takes_over: true,
        ..Default::default()
    }
}

/// Lets A begin without a grantor and name one.
fn first_grantor_named() -> Options {
    Options {
        horizon_ticks: 3,
        no_grantor: true,
        requests_leases: true,
        naming_limit_count: 1,
        reclaims: true,
        ..Default::default()
    }
}

/// Lets A and C hand the partition over, with records that may be appended twice.
fn hand_over() -> Options {
    Options {
        horizon_ticks: 4,
        no_grantor: true,
        lease_ticks: 2,
        loan_s: 5,
        hands_over: true,
        duplicates_records: true,
        ..Default::default()
    }
}

/// Lets B leave while A may name another grantor.
fn leaving_grantor() -> Options {
    Options {
        horizon_ticks: 2,
        loan_s: 5,
        requests_leases: true,
        naming_limit_count: 1,
        reclaims: true,
        grantor_leaves: true,
        ..Default::default()
    }
}

/// Lets B end and start again while A requests leases.
fn restarted_grantor() -> Options {
    Options {
        horizon_ticks: 3,
        loan_s: 5,
        requests_leases: true,
        reclaims: true,
        grantor_restarts: true,
        ..Default::default()
    }
}

/// Lets a record that names C be appended again after A has named B.
fn duplicate_records() -> Options {
    Options {
        horizon_ticks: 3,
        loan_s: 5,
        requests_leases: true,
        reclaims: true,
        named_before: true,
        ..Default::default()
    }
}

#[test]
fn leases_and_reclaim_are_safe() {
    expect_safe("leases and reclaim", &LeaseModel::new(leasing()));
}

#[test]
fn slow_clocks_are_safe() {
    expect_safe("slow clocks", &LeaseModel::new(slow_clocks()));
}

#[test]
fn naming_another_grantor_is_safe() {
    expect_safe("naming another grantor", &LeaseModel::new(naming()));
}

#[test]
fn a_holder_without_grantor_is_safe() {
    expect_safe(
        "a holder without grantor",
        &LeaseModel::new(without_grantor()),
    );
    let named = LeaseModel::new(first_grantor_named());
    expect_safe("a first grantor is named", &named);
}

#[test]
fn hand_over_is_safe_with_duplicate_records() {
    expect_safe("hand-over", &LeaseModel::new(hand_over()));
}

#[test]
fn a_leaving_grantor_is_safe() {
    expect_safe("a leaving grantor", &LeaseModel::new(leaving_grantor()));
}

#[test]
fn a_restarted_grantor_is_safe() {
    expect_safe("a restarted grantor", &LeaseModel::new(restarted_grantor()));
}

#[test]
fn duplicate_records_are_safe() {
    expect_safe("duplicate records", &LeaseModel::new(duplicate_records()));
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
    a_lease_counted_from_its_arrival_is_caught: leasing, LeaseFromArrival;
    a_lease_after_the_decision_to_reclaim_is_caught: leasing, LeaseAfterDecision;
    a_start_that_does_not_wait_for_loans_is_caught: leasing, NoWaitForLoans;
    clocks_without_margin_are_caught: slow_clocks, NoMargin;
    a_reclaim_without_waiting_for_leases_is_caught: leasing, NoWaitForLeases;
    leases_of_the_former_grantor_are_caught: naming, CountFormerGrantor;
    a_new_grantor_that_does_not_wait_is_caught: naming, NewGrantorDoesNotWait;
    a_reclaim_by_a_former_grantor_is_caught: naming, FormerGrantorReclaims;
    an_inherited_role_of_grantor_is_caught: leasing, InheritedGrantor;
    freshness_counted_from_arrival_is_caught: without_grantor, FreshFromArrival;
    a_takeover_without_waiting_for_reads_is_caught: without_grantor, NoWaitForReads;
    reads_that_count_despite_a_grantor_are_caught: first_grantor_named, ReadsCountDespiteGrantor;
    spending_after_a_hand_over_is_caught: hand_over, SpendAfterHandOver;
    a_duplicate_hand_over_is_caught: hand_over, HandOverWithoutBase;
    a_leaving_grantor_that_reclaims_is_caught: leaving_grantor, LeavingGrantorReclaims;
    a_new_incarnation_taken_for_the_grantor_is_caught: restarted_grantor, IncarnationsAreOne;
    a_duplicate_naming_is_caught: duplicate_records, NameWithoutBase;
}
