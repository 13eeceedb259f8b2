//! Planned stops of daemons while requests run, through separate processes.

mod support;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use banyanbeam::standin::backend_server::ServerFaults;
use support::faults::*;
use support::*;

const CALLER_COUNT: usize = 6;
/// Deadline that no order of these tests reaches without a fault.
const LONG_DEADLINE_MS: u64 = 8_000;

/// Sends orders until `stop` is set and returns the path and the answer of each.
fn send_orders_until(
    front: std::net::SocketAddr,
    caller: usize,
    stop: &AtomicBool,
) -> Vec<(String, Answer)> {
    let mut answers = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let path = format!("/orders/{caller}-{}", answers.len());
        let answer = send_order(front, &path, None, LONG_DEADLINE_MS);
        answers.push((path, answer));
    }
    answers
}

#[test]
fn daemon_stopping_under_load_fails_no_request() {
    // Arrange
    let mut fleet = Fleet::start("stop-load", 1, 2);
    let slow = ServerFaults {
        slow_ms: 40,
        ..Default::default()
    };
    fleet.set_faults(0, &slow);
    fleet.set_faults(1, &slow);
    let front = fleet.front(0);
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLER_COUNT)
        .map(|caller| {
            let stop = stop.clone();
            thread::spawn(move || send_orders_until(front, caller, &stop))
        })
        .collect();
    wait_until("load at the server", || fleet.run_report(0).runs.len() > 20);

    // Act
    fleet.guards[0].signal("TERM");
    let exited_cleanly = fleet.guards[0].wait();
    thread::sleep(Duration::from_millis(300));
    stop.store(true, Ordering::Relaxed);

    // Assert
    assert!(exited_cleanly);
    let mut answered_count = 0;
    for caller in callers {
        for (path, answer) in caller.join().unwrap() {
            assert_eq!(answer.status, 200, "{path}: {answer:?}");
            assert_eq!(fleet.run_count(&path), 1, "{path}");
            answered_count += 1;
        }
    }
    assert!(answered_count > 20, "only {answered_count} orders");
}

#[test]
fn stopping_entry_answers_running_requests_and_exits() {
    // Arrange
    let mut fleet = Fleet::start("stop-entry", 1, 1);
    let slow = ServerFaults {
        slow_ms: 1_500,
        ..Default::default()
    };
    fleet.set_faults(0, &slow);
    let front = fleet.front(0);
    let caller = thread::spawn(move || send_order(front, "/orders/1", None, LONG_DEADLINE_MS));
    fleet.wait_for_run(0, "/orders/1");

    // Act
    fleet.entries[0].signal("TERM");
    let answer = caller.join().unwrap();
    let exited_cleanly = fleet.entries[0].wait();

    // Assert
    assert_eq!(answer.status, 200, "{answer:?}");
    assert!(exited_cleanly);
}
