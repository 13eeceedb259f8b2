//! Rate and burst limits of organisations over several daemons, as separate processes.

mod support;

use std::net::SocketAddr;
use std::time::Instant;

use banyanbeam::contract::{Change, OrganisationContract};
use banyanbeam::wire::proof::hash_key;
use support::*;

/// Publishes an organisation of this rate and burst and grants it the key "key-of-NAME".
fn publish_organisation(log: SocketAddr, name: &str, rate_per_s: f64, burst_count: u32) {
    let contract = OrganisationContract {
        organisation: name.into(),
        rate_per_s,
        burst_count,
        routes: vec!["sheets".into()],
        ..Default::default()
    };
    publish(log, Change::PublishOrganisation { contract });
    let key_hash = hash_key(&organisation_key(name));
    let organisation = name.into();
    publish(
        log,
        Change::GrantKey {
            organisation,
            key_hash,
        },
    );
}

/// Returns the key that `publish_organisation` grants to an organisation.
fn organisation_key(name: &str) -> String {
    format!("key-of-{name}")
}

/// Starts three daemons in three failure domains with one server each; returns daemons and servers.
fn start_fleet(test: &str, log: SocketAddr) -> (Vec<Process>, Vec<Process>) {
    let mut daemons = Vec::new();
    let mut servers = Vec::new();
    for domain in ["north", "south", "west"] {
        let daemon = start_daemon(&settings(&format!("{test}-{domain}"), domain, log));
        servers.push(start_server(
            &format!("{test}-server-{domain}"),
            "workshop",
            &daemon,
        ));
        daemons.push(daemon);
    }
    (daemons, servers)
}

/// Returns how many requests these servers have run.
fn total_run_count(servers: &[Process]) -> u64 {
    let counts = servers.iter().map(|server| {
        let report = send_request(server.address("listening"), "GET", "/ran", None);
        report.body["runs"].as_object().map_or(0, |runs| {
            runs.values().filter_map(|count| count.as_u64()).sum()
        })
    });
    counts.sum()
}

#[test]
fn organisation_does_not_exceed_its_contract_over_all_entries() {
    // Arrange
    const RATE_PER_S: f64 = 30.0;
    const BURST_COUNT: u32 = 12;
    const REQUESTS_PER_CALLER_COUNT: usize = 60;
    let log = start_log();
    let log_address = log.address("listening");
    let (daemons, servers) = start_fleet("bound", log_address);
    publish_test_contracts(log_address);
    let start = Instant::now();
    publish_organisation(log_address, "hasty", RATE_PER_S, BURST_COUNT);
    let key = organisation_key("hasty");
    for daemon in &daemons {
        send_until_status(daemon.address("front"), "/sheets/1", Some(&key), 200);
    }

    // Act
    let mut answered_count = 0;
    std::thread::scope(|scope| {
        let callers: Vec<_> = daemons
            .iter()
            .map(|daemon| {
                let front = daemon.address("front");
                let key = key.clone();
                scope.spawn(move || {
                    let answers = (0..REQUESTS_PER_CALLER_COUNT)
                        .map(|_| send_request(front, "GET", "/sheets/1", Some(&key)));
                    answers.filter(|answer| answer.status == 200).count()
                })
            })
            .collect();
        for caller in callers {
            answered_count += caller.join().expect("a caller ends");
        }
    });
    let run_count = total_run_count(&servers);
    let elapsed = start.elapsed();

    // Assert
    let bound = f64::from(BURST_COUNT) + RATE_PER_S * elapsed.as_secs_f64();
    assert!(answered_count > 0);
    assert!(run_count >= answered_count as u64, "{run_count} ran");
    assert!(
        run_count as f64 <= bound,
        "{run_count} ran, at most {bound} in {elapsed:?}"
    );
}

#[test]
fn allowance_of_a_killed_daemon_is_reclaimed() {
    // Arrange
    let log = start_log();
    let log_address = log.address("listening");
    let (daemons, _servers) = start_fleet("killed", log_address);
    publish_test_contracts(log_address);
    let names: Vec<String> = (0..12).map(|index| format!("small-{index}")).collect();
    for name in &names {
        publish_organisation(log_address, name, 100.0, 5);
    }
    let front = daemons[0].address("front");
    for name in &names {
        send_until_status(front, "/sheets/1", Some(&organisation_key(name)), 200);
    }

    // Act
    daemons[2].signal("KILL");

    // Assert
    for daemon in &daemons[..2] {
        for name in &names {
            send_until_status(
                daemon.address("front"),
                "/sheets/1",
                Some(&organisation_key(name)),
                200,
            );
        }
    }
}

#[test]
fn lone_daemon_regains_its_partitions_after_a_crash() {
    // Arrange
    let log = start_log();
    let log_address = log.address("listening");
    let alone = settings("alone-again", "north", log_address);
    let before = start_daemon(&alone);
    let _server = start_server("alone-server-1", "workshop", &before);
    publish_test_contracts(log_address);
    send_until_status(before.address("front"), "/sheets/1", Some("key-1"), 200);

    // Act
    before.signal("KILL");
    let after = start_daemon(&alone);
    let _server = start_server("alone-server-2", "workshop", &after);

    // Assert
    send_until_status(after.address("front"), "/sheets/1", Some("key-1"), 200);
}

#[test]
fn fleet_killed_at_once_serves_again_under_the_same_names() {
    // Arrange
    let log = start_log();
    let log_address = log.address("listening");
    let (before, servers) = start_fleet("at-once", log_address);
    publish_test_contracts(log_address);
    for daemon in &before {
        send_until_status(daemon.address("front"), "/sheets/1", Some("key-1"), 200);
    }

    // Act
    for daemon in &before {
        daemon.signal("KILL");
    }
    drop((before, servers));
    let (daemons, _servers) = start_fleet("at-once", log_address);

    // Assert
    for daemon in &daemons {
        send_until_status(daemon.address("front"), "/sheets/1", Some("key-1"), 200);
    }
}
