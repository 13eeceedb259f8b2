//! A planned stop under load, through separate processes.

mod support;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use banyanbeam::standin::backend_server::ServerFaults;
use support::faults::*;
use support::*;

const CALLER_COUNT: usize = 6;
const LONG_MS: u64 = 8_000;

/// Sends orders, each to run once, until told to stop; gives path and answer of each.
fn call_until(
    front: std::net::SocketAddr,
    caller: usize,
    stop: &AtomicBool,
) -> Vec<(String, Answer)> {
    let mut answers = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let path = format!("/orders/{caller}-{}", answers.len());
        let answer = order(front, &path, None, LONG_MS);
        answers.push((path, answer));
    }
    answers
}

#[test]
fn a_daemon_that_stops_under_load_cuts_off_no_request_and_none_fails() {
    // Arrange
    let mut fleet = Fleet::start("stop-load", 1, 2);
    let slow = ServerFaults {
        slow_ms: 40,
        ..Default::default()
    };
    fleet.fail(0, &slow);
    fleet.fail(1, &slow);
    let front = fleet.front(0);
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLER_COUNT)
        .map(|caller| {
            let stop = stop.clone();
            thread::spawn(move || call_until(front, caller, &stop))
        })
        .collect();
    wait_until("load at the server", || fleet.ran(0).runs.len() > 20);

    // Act
    fleet.guards[0].signal("TERM");
    let clean = fleet.guards[0].wait();
    thread::sleep(Duration::from_millis(300));
    stop.store(true, Ordering::Relaxed);

    // Assert
    assert!(clean);
    let mut answered_count = 0;
    for caller in callers {
        for (path, answer) in caller.join().unwrap() {
            assert_eq!(answer.status, 200, "{path}: {answer:?}");
            assert_eq!(fleet.runs(&path), 1, "{path}");
            answered_count += 1;
        }
    }
    assert!(answered_count > 20, "only {answered_count} orders");
}

#[test]
fn an_entry_that_stops_answers_what_runs_and_ends_soon_after() {
    // Arrange
    let mut fleet = Fleet::start("stop-entry", 1, 1);
    let slow = ServerFaults {
        slow_ms: 1_500,
        ..Default::default()
    };
    fleet.fail(0, &slow);
    let front = fleet.front(0);
    let caller = thread::spawn(move || order(front, "/orders/1", None, LONG_MS));
    fleet.wait_for_run(0, "/orders/1");

    // Act
    fleet.entries[0].signal("TERM");
    let answer = caller.join().unwrap();
    let clean = fleet.entries[0].wait();

    // Assert
    assert_eq!(answer.status, 200, "{answer:?}");
    assert!(clean);
}
