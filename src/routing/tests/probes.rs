//! Tests of probes of servers whose guard's breaker is open.

use std::time::Duration;

use super::choice::{all, Bench};
use crate::error::ErrorKind;
use crate::routing::choice::ServerChoice;
use crate::routing::message::AttemptOutcome;
use crate::routing::RequestPlan;

/// Time until the probe that the guard named.
const WAIT: Duration = Duration::from_millis(300);

/// Returns a bench at which the guard of one server has named the time of a probe, and that server.
fn tripped() -> (Bench, String) {
    let mut bench = Bench::new(all());
    let (now, plan) = (bench.now, bench.plan.clone());
    let target = bench.choice.pick(now, &plan, &[]).expect("a server");
    bench.choice.attempt_sent(now, &plan, &target);
    let refused = AttemptOutcome::NotRun {
        kind: ErrorKind::ServerTripped,
        retry_after: Some(WAIT),
        by_guard: true,
    };
    let elapsed = Duration::from_millis(1);
    bench
        .choice
        .attempt_ended(now, &plan, &target, &refused, elapsed);
    (bench, target.server.to_string())
}

/// Returns the server that is picked for a request after this time.
fn picked(bench: &mut Bench, after: Duration, plan: &RequestPlan) -> String {
    let target = bench.choice.pick(bench.now + after, plan, &[]);
    target.expect("a server").server.to_string()
}

#[test]
fn a_repeatable_request_probes_a_tripped_server_at_the_time_its_guard_named() {
    let (mut bench, server) = tripped();
    let plan = bench.plan.clone();
    assert_ne!(picked(&mut bench, WAIT / 2, &plan), server);
    assert_eq!(picked(&mut bench, WAIT, &plan), server);
}

#[test]
fn a_request_that_may_not_be_repeated_does_not_probe_while_other_servers_are_free() {
    let (mut bench, server) = tripped();
    let plan = RequestPlan {
        repeatable: false,
        ..bench.plan.clone()
    };
    assert_ne!(picked(&mut bench, WAIT, &plan), server);
}
