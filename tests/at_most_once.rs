//! Orders (requests that may run only once) through separate processes, with a failure at each
//! step of the way.
//!
//! Each test compares the answer that the caller got with the servers' own count of runs.

mod support;

use std::thread;

use banyanbeam::idempotency::home::{claim_key, DaemonScore};
use banyanbeam::standin::backend_server::ServerFaults;
use support::faults::*;
use support::*;

/// Deadline that no order of these tests reaches without a fault.
const LONG_DEADLINE_MS: u64 = 8_000;

/// Returns the error kind and the run state of an answer whose outcome is unknown.
fn outcome_unknown() -> (String, String) {
    ("outcome_unknown".to_owned(), "unknown".to_owned())
}

fn slow_faults(slow_ms: u64) -> ServerFaults {
    ServerFaults {
        slow_ms,
        ..Default::default()
    }
}

#[test]
fn guard_killed_before_the_send_does_not_fail_the_order() {
    // Arrange
    let mut fleet = Fleet::start("amo-before", 1, 2);
    fleet.guards[0].signal("KILL");
    fleet.guards[0].wait();

    // Act
    let answers: Vec<Answer> = (0..6)
        .map(|number| {
            send_order(
                fleet.front(0),
                &format!("/orders/{number}"),
                None,
                LONG_DEADLINE_MS,
            )
        })
        .collect();

    // Assert
    for (number, answer) in answers.iter().enumerate() {
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(fleet.run_count(&format!("/orders/{number}")), 1);
    }
}

#[test]
fn silent_guard_after_the_send_leaves_the_outcome_unknown() {
    // Arrange
    let fleet = Fleet::start("amo-silent", 1, 1);
    fleet.guards[0].signal("STOP");

    // Act
    let answer = send_order(fleet.front(0), "/orders/1", None, 700);
    fleet.guards[0].signal("CONT");
    let served = || send_order(fleet.front(0), "/orders/2", None, LONG_DEADLINE_MS).status == 200;
    wait_until("an answered order", served);

    // Assert
    assert_eq!(kind_and_ran(&answer), outcome_unknown());
    assert!(fleet.run_count("/orders/1") <= 1);
}

#[test]
fn guard_killed_after_the_start_leaves_the_outcome_unknown() {
    // Arrange
    let fleet = Fleet::start("amo-start", 1, 1);
    fleet.set_faults(0, &slow_faults(1_500));
    let front = fleet.front(0);
    let caller = thread::spawn(move || send_order(front, "/orders/1", None, LONG_DEADLINE_MS));
    fleet.wait_for_run(0, "/orders/1");

    // Act
    fleet.guards[0].signal("KILL");
    let answer = caller.join().unwrap();

    // Assert
    assert_eq!(kind_and_ran(&answer), outcome_unknown());
    assert_eq!(fleet.run_count("/orders/1"), 1);
}

#[test]
fn lost_answer_leaves_the_outcome_unknown_without_a_second_run() {
    // Arrange
    let fleet = Fleet::start("amo-answer", 1, 2);
    let lost = ServerFaults {
        lost_answer_every_count: 1,
        ..Default::default()
    };
    fleet.set_faults(0, &lost);
    fleet.set_faults(1, &lost);

    // Act
    let answer = send_order(fleet.front(0), "/orders/1", None, LONG_DEADLINE_MS);

    // Assert
    assert_eq!(kind_and_ran(&answer), outcome_unknown());
    assert_eq!(fleet.run_count("/orders/1"), 1);
}

#[test]
fn truncated_answer_is_not_forwarded_and_the_order_is_not_rerun() {
    // Arrange
    let fleet = Fleet::start("amo-short", 1, 2);
    let short = ServerFaults {
        short_answer_every_count: 1,
        ..Default::default()
    };
    fleet.set_faults(0, &short);
    fleet.set_faults(1, &short);

    // Act
    let answer = send_order(fleet.front(0), "/orders/1", None, LONG_DEADLINE_MS);

    // Assert
    assert_eq!(answer.status, 502, "{answer:?}");
    assert_eq!(answer.body["ran"], "unknown");
    assert_eq!(fleet.run_count("/orders/1"), 1);
}

#[test]
fn server_crash_during_a_run_leaves_the_outcome_unknown() {
    // Arrange
    let fleet = Fleet::start("amo-death", 1, 2);
    let dies = ServerFaults {
        dies_on: "/orders/9".to_owned(),
        ..Default::default()
    };
    fleet.set_faults(0, &dies);
    fleet.set_faults(1, &dies);

    // Act
    let answer = send_order(fleet.front(0), "/orders/9", None, LONG_DEADLINE_MS);
    let other = send_order(fleet.front(0), "/orders/1", None, LONG_DEADLINE_MS);

    // Assert
    assert_eq!(answer.body["ran"], "unknown", "{answer:?}");
    assert_eq!(other.status, 200, "{other:?}");
}

#[test]
fn order_resent_under_its_key_to_another_daemon_runs_once() {
    // Arrange
    let fleet = Fleet::start("amo-again", 2, 2);
    let key = wait_for_grants_and_new_key(&fleet);

    // Act
    let first = send_order(fleet.front(0), "/orders/1", Some(&key), LONG_DEADLINE_MS);
    let second = send_order(fleet.front(1), "/orders/1", Some(&key), LONG_DEADLINE_MS);

    // Assert
    assert_eq!(first.status, 200, "{first:?}");
    assert_eq!(second.status, 409, "{second:?}");
    assert_eq!(
        kind_and_ran(&second),
        ("duplicate_request".to_owned(), "no".to_owned())
    );
    assert_eq!(fleet.run_count("/orders/1"), 1);
}

#[test]
fn order_with_unknown_outcome_is_not_rerun_under_its_key() {
    // Arrange
    let fleet = Fleet::start("amo-lost", 2, 2);
    let key = wait_for_grants_and_new_key(&fleet);
    let lost = ServerFaults {
        lost_answer_every_count: 1,
        ..Default::default()
    };
    fleet.set_faults(0, &lost);
    fleet.set_faults(1, &lost);

    // Act
    let first = send_order(fleet.front(0), "/orders/1", Some(&key), LONG_DEADLINE_MS);
    fleet.set_faults(0, &ServerFaults::default());
    fleet.set_faults(1, &ServerFaults::default());
    let second = send_order(fleet.front(1), "/orders/1", Some(&key), LONG_DEADLINE_MS);

    // Assert
    assert_eq!(kind_and_ran(&first), outcome_unknown());
    assert_eq!(second.status, 409, "{second:?}");
    assert_eq!(fleet.run_count("/orders/1"), 1);
}

#[test]
fn key_used_before_its_home_restarted_gets_outcome_unknown() {
    // Arrange
    let mut fleet = Fleet::start("amo-home", 2, 1);
    wait_for_grants_and_new_key(&fleet);
    let key = key_of_home(
        "amo-home-guard0",
        &["amo-home-entry0", "amo-home-entry1", "amo-home-guard0"],
    );
    let first = send_order(fleet.front(0), "/orders/1", Some(&key), LONG_DEADLINE_MS);
    let log_address = fleet.log.address("listening");

    // Act
    fleet.guards[0].signal("KILL");
    fleet.servers.clear();
    fleet.guards[0] = start_daemon(&short_margin_settings("amo-home-guard0", log_address));
    let server = start_server("amo-home-again", "workshop", &fleet.guards[0]);
    fleet.servers.push(server);
    wait_for_grants_and_new_key(&fleet);
    let second = send_order(fleet.front(1), "/orders/1", Some(&key), LONG_DEADLINE_MS);

    // Assert
    assert_eq!(first.status, 200, "{first:?}");
    assert_eq!(kind_and_ran(&second), outcome_unknown());
    assert_eq!(fleet.run_count("/orders/1"), 0);
}

/// Waits until every entry has served an order with a new key and returns another new key. Key
/// homes grant only keys that were issued some time after their own start.
fn wait_for_grants_and_new_key(fleet: &Fleet) -> String {
    for entry in 0..fleet.entries.len() {
        wait_until("a granted key", || {
            let answer = send_order(
                fleet.front(entry),
                "/orders/first",
                Some(&new_idempotency_key()),
                LONG_DEADLINE_MS,
            );
            answer.status == 200
        });
    }
    new_idempotency_key()
}

/// Returns a new key whose home among these daemons is `home`.
fn key_of_home(home: &str, daemons: &[&str]) -> String {
    let score = |daemon: &str, key: &str| {
        let key = claim_key("optician-1", key);
        DaemonScore::new(daemon).score_for(&key)
    };
    loop {
        let key = new_idempotency_key();
        let best = daemons.iter().max_by_key(|daemon| score(daemon, &key));
        if best == Some(&home) {
            return key;
        }
    }
}
