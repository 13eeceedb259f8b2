//! Orders that may run once only, through separate processes that fail at every step.
//!
//! Each test compares what the caller was told with the servers' own count of runs.

mod support;

use std::thread;

use banyanbeam::idempotency::home::{claim_key, DaemonScore};
use banyanbeam::standin::backend_server::ServerFaults;
use support::faults::*;
use support::*;

const LONG_MS: u64 = 8_000;

fn unknown() -> (String, String) {
    ("outcome_unknown".to_owned(), "unknown".to_owned())
}

fn slow(slow_ms: u64) -> ServerFaults {
    ServerFaults {
        slow_ms,
        ..Default::default()
    }
}

#[test]
fn before_the_send_a_lost_guard_lets_the_order_go_elsewhere() {
    // Arrange
    let mut fleet = Fleet::start("amo-before", 1, 2);
    fleet.guards[0].signal("KILL");
    fleet.guards[0].wait();

    // Act
    let answers: Vec<Answer> = (0..6)
        .map(|number| order(fleet.front(0), &format!("/orders/{number}"), None, LONG_MS))
        .collect();

    // Assert
    for (number, answer) in answers.iter().enumerate() {
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(fleet.runs(&format!("/orders/{number}")), 1);
    }
}

#[test]
fn after_the_send_a_guard_that_is_silent_leaves_the_outcome_unknown() {
    // Arrange
    let fleet = Fleet::start("amo-silent", 1, 1);
    fleet.guards[0].signal("STOP");

    // Act
    let answer = order(fleet.front(0), "/orders/1", None, 700);
    fleet.guards[0].signal("CONT");
    let served = || order(fleet.front(0), "/orders/2", None, LONG_MS).status == 200;
    wait_until("an answered order", served);

    // Assert
    assert_eq!(told(&answer), unknown());
    assert!(fleet.runs("/orders/1") <= 1);
}

#[test]
fn after_the_start_a_killed_guard_leaves_the_outcome_unknown() {
    // Arrange
    let fleet = Fleet::start("amo-start", 1, 1);
    fleet.fail(0, &slow(1_500));
    let front = fleet.front(0);
    let caller = thread::spawn(move || order(front, "/orders/1", None, LONG_MS));
    fleet.wait_for_run(0, "/orders/1");

    // Act
    fleet.guards[0].signal("KILL");
    let answer = caller.join().unwrap();

    // Assert
    assert_eq!(told(&answer), unknown());
    assert_eq!(fleet.runs("/orders/1"), 1);
}

#[test]
fn a_lost_answer_leaves_the_outcome_unknown_and_no_other_server_runs_it() {
    // Arrange
    let fleet = Fleet::start("amo-answer", 1, 2);
    let lost = ServerFaults {
        lost_answer_every_count: 1,
        ..Default::default()
    };
    fleet.fail(0, &lost);
    fleet.fail(1, &lost);

    // Act
    let answer = order(fleet.front(0), "/orders/1", None, LONG_MS);

    // Assert
    assert_eq!(told(&answer), unknown());
    assert_eq!(fleet.runs("/orders/1"), 1);
}

#[test]
fn a_short_answer_is_never_passed_on_and_the_order_is_not_run_again() {
    // Arrange
    let fleet = Fleet::start("amo-short", 1, 2);
    let short = ServerFaults {
        short_answer_every_count: 1,
        ..Default::default()
    };
    fleet.fail(0, &short);
    fleet.fail(1, &short);

    // Act
    let answer = order(fleet.front(0), "/orders/1", None, LONG_MS);

    // Assert
    assert_eq!(answer.status, 502, "{answer:?}");
    assert_eq!(answer.body["ran"], "unknown");
    assert_eq!(fleet.runs("/orders/1"), 1);
}

#[test]
fn a_server_that_dies_while_it_runs_leaves_the_outcome_unknown() {
    // Arrange
    let fleet = Fleet::start("amo-death", 1, 2);
    let dies = ServerFaults {
        dies_on: "/orders/9".to_owned(),
        ..Default::default()
    };
    fleet.fail(0, &dies);
    fleet.fail(1, &dies);

    // Act
    let answer = order(fleet.front(0), "/orders/9", None, LONG_MS);
    let other = order(fleet.front(0), "/orders/1", None, LONG_MS);

    // Assert
    assert_eq!(answer.body["ran"], "unknown", "{answer:?}");
    assert_eq!(other.status, 200, "{other:?}");
}

#[test]
fn an_order_sent_again_under_its_key_to_another_daemon_runs_once() {
    // Arrange
    let fleet = Fleet::start("amo-again", 2, 2);
    let key = new_key_once_granted(&fleet);

    // Act
    let first = order(fleet.front(0), "/orders/1", Some(&key), LONG_MS);
    let second = order(fleet.front(1), "/orders/1", Some(&key), LONG_MS);

    // Assert
    assert_eq!(first.status, 200, "{first:?}");
    assert_eq!(second.status, 409, "{second:?}");
    assert_eq!(
        told(&second),
        ("duplicate_request".to_owned(), "no".to_owned())
    );
    assert_eq!(fleet.runs("/orders/1"), 1);
}

#[test]
fn an_order_of_unknown_outcome_sent_again_under_its_key_is_not_run_again() {
    // Arrange
    let fleet = Fleet::start("amo-lost", 2, 2);
    let key = new_key_once_granted(&fleet);
    let lost = ServerFaults {
        lost_answer_every_count: 1,
        ..Default::default()
    };
    fleet.fail(0, &lost);
    fleet.fail(1, &lost);

    // Act
    let first = order(fleet.front(0), "/orders/1", Some(&key), LONG_MS);
    fleet.fail(0, &ServerFaults::default());
    fleet.fail(1, &ServerFaults::default());
    let second = order(fleet.front(1), "/orders/1", Some(&key), LONG_MS);

    // Assert
    assert_eq!(told(&first), unknown());
    assert_eq!(second.status, 409, "{second:?}");
    assert_eq!(fleet.runs("/orders/1"), 1);
}

#[test]
fn a_key_that_was_in_use_before_its_home_was_replaced_is_answered_as_unknown() {
    // Arrange
    let mut fleet = Fleet::start("amo-home", 2, 1);
    new_key_once_granted(&fleet);
    let key = key_of_home(
        "amo-home-guard0",
        &["amo-home-entry0", "amo-home-entry1", "amo-home-guard0"],
    );
    let first = order(fleet.front(0), "/orders/1", Some(&key), LONG_MS);
    let log_address = fleet.log.address("listening");

    // Act
    fleet.guards[0].signal("KILL");
    fleet.servers.clear();
    fleet.guards[0] = start_daemon(&quick_settings("amo-home-guard0", log_address));
    let server = start_server("amo-home-again", "workshop", &fleet.guards[0]);
    fleet.servers.push(server);
    new_key_once_granted(&fleet);
    let second = order(fleet.front(1), "/orders/1", Some(&key), LONG_MS);

    // Assert
    assert_eq!(first.status, 200, "{first:?}");
    assert_eq!(told(&second), unknown());
    assert_eq!(fleet.runs("/orders/1"), 0);
}

/// A key issued late enough that every home grants it at both entries.
fn new_key_once_granted(fleet: &Fleet) -> String {
    for entry in 0..fleet.entries.len() {
        wait_until("a granted key", || {
            let answer = order(
                fleet.front(entry),
                "/orders/first",
                Some(&new_key()),
                LONG_MS,
            );
            answer.status == 200
        });
    }
    new_key()
}

/// A new key whose home is this daemon, whichever of the others may be homes too.
fn key_of_home(home: &str, daemons: &[&str]) -> String {
    let score = |daemon: &str, key: &str| {
        let key = claim_key("optician-1", key);
        DaemonScore::new(daemon).score_for(&key)
    };
    loop {
        let key = new_key();
        let best = daemons.iter().max_by_key(|daemon| score(daemon, &key));
        if best == Some(&home) {
            return key;
        }
    }
}
