//! Membership of daemons as processes: starts without the log, kills, pauses, and incarnations.

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

/// Least number of successful requests in a row before a condition counts as met.
const LEAST_SUCCESS_COUNT: usize = 30;

/// Sends requests until enough in a row succeed and the set of their servers meets the condition;
/// panics after 60 seconds.
fn wait_for_answering_servers(front: SocketAddr, condition: impl Fn(&BTreeSet<String>) -> bool) {
    let deadline_at = Instant::now() + Duration::from_secs(60);
    let mut servers = BTreeSet::new();
    let mut count = 0;
    while count < LEAST_SUCCESS_COUNT || !condition(&servers) {
        assert!(Instant::now() < deadline_at, "last servers {servers:?}");
        let answer = send_request(front, "GET", "/sheets/7", Some("key-1"));
        count += 1;
        if answer.status != 200 || count > 2 * LEAST_SUCCESS_COUNT {
            servers.clear();
            count = 0;
            std::thread::sleep(Duration::from_millis(50));
            continue;
        }
        let server = answer.body["server"].as_str().expect("a name");
        servers.insert(server.to_owned());
    }
}

/// Returns a condition that only this server answers.
fn only_server(server: &'static str) -> impl Fn(&BTreeSet<String>) -> bool {
    move |servers| servers.iter().all(|found| found == server)
}

/// Returns whether exactly two servers answer.
fn two_servers(servers: &BTreeSet<String>) -> bool {
    servers.len() == 2
}

/// Publishes a route that takes requests without a key.
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
fn daemon_started_without_the_log_joins_by_a_seed() {
    // Arrange
    let mut log = start_log();
    let log_address = log.address("listening");
    let first = start_daemon(&settings("first", "north", log_address));
    let _server = start_server("server-1", "workshop", &first);
    publish_open_route(log_address);
    send_until_status(first.address("front"), "/catalogue", None, 200);
    log.signal("KILL");
    log.wait();

    // Act
    let mut later = settings("later", "south", log_address);
    later.membership.seed_addresses = vec![first.address("link")];
    let later = start_daemon(&later);

    // Assert
    let answer = send_until_status(later.address("front"), "/catalogue", None, 200);
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
    publish_test_contracts(log_address);
    wait_for_answering_servers(entry.address("front"), two_servers);

    // Act
    killed.signal("KILL");

    // Assert
    wait_for_answering_servers(entry.address("front"), only_server("server-2"));
}

#[test]
fn paused_daemon_gets_no_requests_until_it_resumes() {
    // Arrange
    let log = start_log();
    let log_address = log.address("listening");
    let entry = start_daemon(&settings("pause-entry", "north", log_address));
    let paused = start_daemon(&settings("paused", "south", log_address));
    let other = start_daemon(&settings("other", "west", log_address));
    let _first = start_server("server-1", "workshop", &paused);
    let _second = start_server("server-2", "workshop", &other);
    publish_test_contracts(log_address);
    wait_for_answering_servers(entry.address("front"), two_servers);

    // Act
    paused.signal("STOP");
    wait_for_answering_servers(entry.address("front"), only_server("server-2"));
    paused.signal("CONT");

    // Assert
    wait_for_answering_servers(entry.address("front"), two_servers);
}

/// Reads descriptions of daemons from the log until one matches; panics after 60 seconds.
fn wait_for_description(log: &HttpLog, matches: impl Fn(&DaemonEntry) -> bool) -> DaemonEntry {
    let deadline_at = Instant::now() + Duration::from_secs(60);
    let mut from = 0;
    while Instant::now() < deadline_at {
        let batch = log.read(MEMBERS, from, 100, Duration::from_millis(500));
        let batch = batch.expect("the log answers");
        from = batch.next;
        let bodies = batch.records.iter().map(|record| &record.body);
        let mut entries = bodies.map(|body| serde_json::from_str(body).expect("a description"));
        if let Some(found) = entries.find(&matches) {
            return found;
        }
    }
    panic!("no description matches");
}

#[test]
fn daemon_serves_again_when_peers_know_a_later_incarnation_of_it() {
    // Arrange
    let log = start_log();
    let log_address = log.address("listening");
    let entry = start_daemon(&settings("life-entry", "north", log_address));
    let set_back = start_daemon(&settings("set-back", "south", log_address));
    let _server = start_server("server-1", "workshop", &set_back);
    publish_open_route(log_address);
    send_until_status(entry.address("front"), "/catalogue", None, 200);
    let members = HttpLog::new(&JournalSettings {
        address: log_address,
        ..Default::default()
    });
    let own = wait_for_description(&members, |entry| &*entry.daemon == "set-back");
    let later_incarnation = DaemonEntry {
        incarnation: own.incarnation + 3_600_000,
        ..own
    };

    // Act
    let body = serde_json::to_string(&later_incarnation).expect("a description becomes JSON");
    members.append(MEMBERS, &body).expect("the log takes it");

    // Assert
    wait_for_description(&members, |entry| {
        entry.incarnation > later_incarnation.incarnation
    });
    let answer = send_until_status(entry.address("front"), "/catalogue", None, 200);
    assert_eq!(answer.body["server"], "server-1");
}
