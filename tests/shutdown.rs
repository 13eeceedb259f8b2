//! Planned stops of daemons while requests run, through separate processes.

mod support;

use std::net::SocketAddr;
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
fn send_orders_until(front: SocketAddr, caller: usize, stop: &AtomicBool) -> Vec<(String, Answer)> {
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

/// Time between two orders of a caller that does not wait for answers.
const ORDER_INTERVAL: Duration = Duration::from_millis(50);

/// Sends one order on a new connection and returns its status; none without a complete answer.
fn order_status(front: SocketAddr, path: &str) -> Option<u16> {
    let order = attohttpc::post(format!("http://{front}{path}"))
        .bearer_auth("key-1")
        .timeout(Duration::from_secs(20));
    let response = order.text("one hinge").send().ok()?;
    let status = response.status().as_u16();
    response.text().ok().map(|_| status)
}

/// Stops an entry that is killed after `KILL_AFTER`, while orders that run for `work` come without
/// pause, and asserts that each order that ran got the server's answer.
fn assert_no_order_lost(name: &str, work: Duration) {
    // Arrange
    let fleet = Fleet::start_with(name, 1, 1, |settings| {
        settings.daemon.kill_after_ms = KILL_AFTER.as_millis() as u64;
        settings.daemon.linger_ms = 2_300;
    });
    let slow = ServerFaults {
        slow_ms: work.as_millis() as u64,
        ..Default::default()
    };
    fleet.set_faults(0, &slow);
    let front = fleet.front(0);
    assert_eq!(order_status(front, "/orders/first"), Some(200));
    let send = |index: usize| {
        let path = format!("/orders/{index}");
        thread::spawn(move || (order_status(front, &path), path))
    };

    // Act
    fleet.entries[0].signal("TERM");
    let mut orders = Vec::new();
    for index in 0..(KILL_AFTER.as_millis() / ORDER_INTERVAL.as_millis()) as usize {
        orders.push(send(index));
        thread::sleep(ORDER_INTERVAL);
    }
    fleet.entries[0].signal("KILL");

    // Assert
    let orders = orders.into_iter().map(|order| order.join().unwrap());
    let lost: Vec<String> = orders
        .filter(|(status, path)| *status != Some(200) && fleet.run_count(path) > 0)
        .map(|(_, path)| path)
        .collect();
    assert!(
        lost.is_empty(),
        "orders that ran without their answer: {lost:?}"
    );
}

/// Time from SIGTERM until the platform kills the process.
const KILL_AFTER: Duration = Duration::from_secs(3);

#[test]
fn orders_late_in_a_planned_stop_are_answered() {
    assert_no_order_lost("stop-late", Duration::from_millis(1_000));
}

#[test]
fn orders_that_would_outlast_a_planned_stop_are_not_started() {
    assert_no_order_lost("stop-long", Duration::from_millis(1_800));
}
