//! Model check of the status record of a roll-out: of two drivers and any kills, no order is written
//! as both completed and rolled back, nothing follows its end, and none writes `completed` while it
//! knows of evidence against the version.
//!
//! The record of each driver is a real `StatusRecord`, and what it takes from a status is the real
//! `Phase::after`. Calls to the store may arrive at any later time or never, also after their driver
//! has given them up, and answers may be lost.

#[path = "rollout/model.rs"]
mod model;
mod support;

use model::{Mutation, RolloutModel};
use support::{expect_safe, expect_violation};

#[test]
fn two_drivers_and_a_kill_are_safe() {
    expect_safe("two drivers and a kill", &RolloutModel::new(None, false));
}

#[test]
fn two_drivers_and_a_lost_answer_are_safe() {
    let model = RolloutModel::new(None, true);
    expect_safe("two drivers and a lost answer", &model);
}

#[test]
fn writes_without_a_condition_are_caught() {
    let model = RolloutModel::new(Some(Mutation::NoCondition), true);
    expect_violation("writes without a condition", &model);
}

#[test]
fn a_write_that_is_repeated_despite_evidence_is_caught() {
    let model = RolloutModel::new(Some(Mutation::KeepWanted), true);
    expect_violation("a write kept despite evidence", &model);
}

#[test]
fn a_write_that_is_kept_after_another_drivers_step_is_caught() {
    let model = RolloutModel::new(Some(Mutation::KeepAfterNews), true);
    expect_violation("a write kept after another driver's step", &model);
}
