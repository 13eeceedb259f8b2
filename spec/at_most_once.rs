//! Model check that a request runs at most once, by breadth-first search over the real states of
//! routing, guard and idempotency home.
//!
//! The model has two entries, two daemons with a guard, a home and a backend server each, and a
//! network that may delay any message without bound. A lost message is one that is never delivered,
//! so loss needs no step of its own. Daemons restart or raise their incarnations, and entries give
//! up on attempts, a bounded number of times.

#[path = "at_most_once/daemon.rs"]
mod daemon;
#[path = "at_most_once/deliver.rs"]
mod deliver;
#[path = "at_most_once/mutation.rs"]
mod mutation;
#[path = "at_most_once/node.rs"]
mod node;
#[path = "at_most_once/step.rs"]
mod step;
#[path = "at_most_once/world.rs"]
mod world;

use mutation::Mutation;
use node::SearchNode;
use pathfinding::prelude::bfs;
use step::{Scenario, Step};
use world::World;

/// Explores every state; returns the shortest trace to a violation and the number of states.
fn explore(scenario: Scenario, mutation: Mutation) -> (Option<Vec<Step>>, usize) {
    let start = SearchNode::start(scenario, mutation);
    let mut seen_count = 0;
    let trace = bfs(
        &start,
        |node| {
            seen_count += 1;
            node.successors()
        },
        |node| node.violation.is_some(),
    );
    (
        trace.map(|nodes| nodes.last().unwrap().steps.clone()),
        seen_count,
    )
}

/// Panics if the search finds a violation without a mutation.
fn assert_safe(scenario: Scenario) {
    let (trace, seen_count) = explore(scenario, Mutation::None);
    if let Some(steps) = trace {
        let world = World::replay(scenario, Mutation::None, &steps);
        panic!("{:?} after {steps:#?}", world.violation());
    }
    println!("{scenario:?}: {seen_count} states, no violation");
    assert!(seen_count > 1000, "only {seen_count} states were reached");
}

/// Panics if the search finds no violation under the mutation.
fn assert_caught(scenario: Scenario, mutation: Mutation) {
    let (trace, seen_count) = explore(scenario, mutation);
    let steps = trace.unwrap_or_else(|| panic!("{mutation:?} passes {seen_count} states"));
    println!("{mutation:?}: caught after {} steps", steps.len());
}

#[test]
fn two_requests_without_keys_run_at_most_once_each() {
    assert_safe(Scenario::TwoRequests);
}

#[test]
fn a_request_sent_again_under_its_key_runs_at_most_once() {
    assert_safe(Scenario::SentAgain);
}

#[test]
fn a_retry_without_a_fence_is_caught() {
    assert_caught(Scenario::TwoRequests, Mutation::RetryWithoutFence);
}

#[test]
fn a_fence_that_calls_a_started_request_fenced_is_caught() {
    assert_caught(Scenario::TwoRequests, Mutation::FenceLies);
}

#[test]
fn a_fence_answered_by_another_incarnation_is_caught() {
    assert_caught(Scenario::TwoRequests, Mutation::FenceIgnoresIncarnation);
}

#[test]
fn a_request_taken_by_another_incarnation_is_caught() {
    assert_caught(Scenario::TwoRequests, Mutation::RequestIgnoresIncarnation);
}

#[test]
fn a_guard_that_forgets_when_its_incarnation_is_raised_is_caught() {
    assert_caught(Scenario::TwoRequests, Mutation::RaiseForgets);
}

#[test]
fn a_home_that_forgets_at_a_restart_is_caught() {
    assert_caught(Scenario::SentAgain, Mutation::HomeForgets);
}

#[test]
fn a_key_released_after_an_unknown_outcome_is_caught() {
    assert_caught(Scenario::SentAgain, Mutation::KeyReleasedEarly);
}

#[test]
fn a_start_before_the_home_answers_is_caught() {
    assert_caught(Scenario::SentAgain, Mutation::StartWithoutClaim);
}
