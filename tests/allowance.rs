//! Rate and burst over several daemons, as separate processes.

mod support;

use std::net::SocketAddr;
use std::time::Instant;

use banyanbeam::contract::{Change, OrganisationContract};
use banyanbeam::wire::proof::hash_key;
use support::*;

/// Publishes an organisation with the key "key of NAME".
fn publish_organisation(log: SocketAddr, name: &str, rate_per_s: f64, burst_count: u32) {
    let contract = OrganisationContract {
        organisation: name.into(),
        rate_per_s,
        burst_count,
        routes: vec!["sheets".into()],
        ..Default::default()
    };
    publish(log, Change::PublishOrganisation { contract });
    let key_hash = hash_key(&key_of(name));
    let organisation = name.into();
    publish(
        log,
        Change::GrantKey {
            organisation,
            key_hash,
        },
    );
}

fn key_of(name: &str) -> String {
    format!("key-of-{name}")
}

/// Three daemons in three failure domains, with a server beside each.
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

fn ran_count(servers: &[Process]) -> u64 {
    let counts = servers.iter().map(|server| {
        let ran = ask(server.address("listening"), "GET", "/ran", None);
        ran.body["runs"].as_object().map_or(0, |ran| {
            ran.values().filter_map(|count| count.as_u64()).sum()
        })
    });
    counts.sum()
}

#[test]
fn an_organisation_gets_no_more_than_its_contract_over_all_entries() {
    // Arrange
    const RATE_PER_S: f64 = 30.0;
    const BURST_COUNT: u32 = 12;
    const REQUESTS_A_CALLER: usize = 60;
    let log = start_log();
    let log_address = log.address("listening");
    let (daemons, servers) = start_fleet("bound", log_address);
    publish_basics(log_address);
    let start = Instant::now();
    publish_organisation(log_address, "hasty", RATE_PER_S, BURST_COUNT);
    let key = key_of("hasty");
    for daemon in &daemons {
        ask_until(daemon.address("front"), "/sheets/1", Some(&key), 200);
    }

    // Act
    let mut granted_count = 0;
    std::thread::scope(|scope| {
        let callers: Vec<_> = daemons
            .iter()
            .map(|daemon| {
                let front = daemon.address("front");
                let key = key.clone();
                scope.spawn(move || {
                    let answers =
                        (0..REQUESTS_A_CALLER).map(|_| ask(front, "GET", "/sheets/1", Some(&key)));
                    answers.filter(|answer| answer.status == 200).count()
                })
            })
            .collect();
        for caller in callers {
            granted_count += caller.join().expect("a caller ends");
        }
    });
    let ran = ran_count(&servers);
    let elapsed = start.elapsed();

    // Assert
    let bound = f64::from(BURST_COUNT) + RATE_PER_S * elapsed.as_secs_f64();
    assert!(granted_count > 0);
    assert!(ran >= granted_count as u64, "{ran} ran");
    assert!(
        ran as f64 <= bound,
        "{ran} ran, at most {bound} in {elapsed:?}"
    );
}

#[test]
fn the_share_of_a_killed_daemon_comes_back() {
    // Arrange
    let log = start_log();
    let log_address = log.address("listening");
    let (daemons, _servers) = start_fleet("killed", log_address);
    publish_basics(log_address);
    let names: Vec<String> = (0..12).map(|index| format!("small-{index}")).collect();
    for name in &names {
        publish_organisation(log_address, name, 100.0, 5);
    }
    let front = daemons[0].address("front");
    for name in &names {
        ask_until(front, "/sheets/1", Some(&key_of(name)), 200);
    }

    // Act
    daemons[2].signal("KILL");

    // Assert
    for daemon in &daemons[..2] {
        for name in &names {
            ask_until(
                daemon.address("front"),
                "/sheets/1",
                Some(&key_of(name)),
                200,
            );
        }
    }
}

#[test]
fn a_daemon_alone_gets_its_seats_back_after_a_crash() {
    // Arrange
    let log = start_log();
    let log_address = log.address("listening");
    let alone = settings("alone-again", "north", log_address);
    let before = start_daemon(&alone);
    let _server = start_server("alone-server-1", "workshop", &before);
    publish_basics(log_address);
    ask_until(before.address("front"), "/sheets/1", Some("key-1"), 200);

    // Act
    before.signal("KILL");
    let after = start_daemon(&alone);
    let _server = start_server("alone-server-2", "workshop", &after);

    // Assert
    ask_until(after.address("front"), "/sheets/1", Some("key-1"), 200);
}

#[test]
fn a_fleet_that_was_killed_at_once_serves_again_under_its_names() {
    // Arrange
    let log = start_log();
    let log_address = log.address("listening");
    let (before, servers) = start_fleet("at-once", log_address);
    publish_basics(log_address);
    for daemon in &before {
        ask_until(daemon.address("front"), "/sheets/1", Some("key-1"), 200);
    }

    // Act
    for daemon in &before {
        daemon.signal("KILL");
    }
    drop((before, servers));
    let (daemons, _servers) = start_fleet("at-once", log_address);

    // Assert
    for daemon in &daemons {
        ask_until(daemon.address("front"), "/sheets/1", Some("key-1"), 200);
    }
}
