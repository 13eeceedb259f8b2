//! Daemons as processes: starts without the log, kills and pauses.

mod support;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use banyanbeam::contract::{Change, RouteContract, ServiceContract};
use banyanbeam::journal::client::HttpLog;
use banyanbeam::journal::{PlatformLog, MEMBERS};
use banyanbeam::membership::DaemonEntry;
use banyanbeam::settings::journal::JournalSettings;
use support::*;

/// Requests in a row that must go well before a change counts as seen.
const IN_A_ROW: usize = 30;

/// Names of the servers that answered a row of requests without a failure, once there is one.
fn servers_in_a_row(front: SocketAddr, holds: impl Fn(&BTreeSet<String>) -> bool) {
    let until = Instant::now() + Duration::from_secs(60);
    let mut servers = BTreeSet::new();
    let mut count = 0;
    while count < IN_A_ROW || !holds(&servers) {
        assert!(Instant::now() < until, "last servers {servers:?}");
        let answer = ask(front, "GET", "/sheets/7", Some("key-1"));
        count += 1;
        if answer.status != 200 || count > 2 * IN_A_ROW {
            servers.clear();
            count = 0;
            std::thread::sleep(Duration::from_millis(50));
            continue;
        }
        let server = answer.body["server"].as_str().expect("a name");
        servers.insert(server.to_owned());
    }
}

fn only(server: &'static str) -> impl Fn(&BTreeSet<String>) -> bool {
    move |servers| servers.iter().all(|found| found == server)
}

fn both(servers: &BTreeSet<String>) -> bool {
    servers.len() == 2
}

/// A route that takes requests without a key.
fn publish_open_route(log: SocketAddr) {
    let route = RouteContract {
        route: "catalogue".into(),
        method: "GET".to_owned(),
        path_prefix: "/catalogue".to_owned(),
        repeatable: true,
        open: true,
        ..Default::default()
    };
    let contract = ServiceContract {
        service: "workshop".into(),
        routes: vec![route],
        ..Default::default()
    };
    publish(log, Change::PublishService { contract });
}

#[test]
fn a_daemon_that_starts_without_the_log_finds_the_fleet_by_a_seed() {
    // Arrange
    let mut log = start_log();
    let log_address = log.address("listening");
    let first = start_daemon(&settings("first", "north", log_address));
    let _server = start_server("server-1", "workshop", &first);
    publish_open_route(log_address);
    ask_until(first.address("front"), "/catalogue", None, 200);
    log.signal("KILL");
    log.wait();

    // Act
    let mut later = settings("later", "south", log_address);
    later.membership.seed_addresses = vec![first.address("link")];
    let later = start_daemon(&later);

    // Assert
    let answer = ask_until(later.address("front"), "/catalogue", None, 200);
    assert_eq!(answer.body["server"], "server-1");
}

#[test]
fn servers_of_a_killed_daemon_get_no_more_requests() {
    // Arrange
    let log = start_log();
    let log_address = log.address("listening");
    let entry = start_daemon(&settings("kill-entry", "north", log_address));
    let killed = start_daemon(&settings("killed", "south", log_address));
    let kept = start_daemon(&settings("kept", "west", log_address));
    let _first = start_server("server-1", "workshop", &killed);
    let _second = start_server("server-2", "workshop", &kept);
    publish_basics(log_address);
    servers_in_a_row(entry.address("front"), both);

    // Act
    killed.signal("KILL");

    // Assert
    servers_in_a_row(entry.address("front"), only("server-2"));
}

#[test]
fn a_paused_daemon_gets_no_requests_until_it_goes_on() {
    // Arrange
    let log = start_log();
    let log_address = log.address("listening");
    let entry = start_daemon(&settings("pause-entry", "north", log_address));
    let paused = start_daemon(&settings("paused", "south", log_address));
    let other = start_daemon(&settings("other", "west", log_address));
    let _first = start_server("server-1", "workshop", &paused);
    let _second = start_server("server-2", "workshop", &other);
    publish_basics(log_address);
    servers_in_a_row(entry.address("front"), both);

    // Act
    paused.signal("STOP");
    servers_in_a_row(entry.address("front"), only("server-2"));
    paused.signal("CONT");

    // Assert
    servers_in_a_row(entry.address("front"), both);
}

/// Reads descriptions of daemons until one fits.
fn wait_for_description(log: &HttpLog, fits: impl Fn(&DaemonEntry) -> bool) -> DaemonEntry {
    let until = Instant::now() + Duration::from_secs(60);
    let mut from = 0;
    while Instant::now() < until {
        let batch = log.read(MEMBERS, from, 100, Duration::from_millis(500));
        let batch = batch.expect("the log answers");
        from = batch.next;
        let bodies = batch.records.iter().map(|record| &record.body);
        let mut entries = bodies.map(|body| serde_json::from_str(body).expect("a description"));
        if let Some(found) = entries.find(&fits) {
            return found;
        }
    }
    panic!("no description fits");
}

#[test]
fn a_daemon_of_which_peers_believe_a_later_life_that_is_over_serves_again() {
    // Arrange
    let log = start_log();
    let log_address = log.address("listening");
    let entry = start_daemon(&settings("life-entry", "north", log_address));
    let set_back = start_daemon(&settings("set-back", "south", log_address));
    let _server = start_server("server-1", "workshop", &set_back);
    publish_open_route(log_address);
    ask_until(entry.address("front"), "/catalogue", None, 200);
    let members = HttpLog::new(&JournalSettings {
        address: log_address,
        ..Default::default()
    });
    let own = wait_for_description(&members, |entry| &*entry.daemon == "set-back");
    let later_life = DaemonEntry {
        incarnation: own.incarnation + 3_600_000,
        ..own
    };

    // Act
    let body = serde_json::to_string(&later_life).expect("a description becomes JSON");
    members.append(MEMBERS, &body).expect("the log takes it");

    // Assert
    wait_for_description(&members, |entry| entry.incarnation > later_life.incarnation);
    let answer = ask_until(entry.address("front"), "/catalogue", None, 200);
    assert_eq!(answer.body["server"], "server-1");
}
