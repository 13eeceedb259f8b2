//! Faults of stand-in servers, and orders that may run once only.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use banyanbeam::settings::Settings;
use banyanbeam::standin::backend_server::{RanReport, ServerFaults};

use super::{
    ask, publish_basics, settings, start_daemon, start_log, start_server, Answer, Process,
};

/// Entries, and daemons with a server beside each.
pub struct Fleet {
    /// The platform's log.
    pub log: Process,
    /// Daemons without servers.
    pub entries: Vec<Process>,
    /// Daemons with a server.
    pub guards: Vec<Process>,
    /// The servers.
    pub servers: Vec<Process>,
}

/// Settings of a daemon whose home grants keys that were issued soon after its start.
pub fn quick_settings(daemon: &str, log: SocketAddr) -> Settings {
    let mut settings = settings(daemon, "north", log);
    settings.idempotency.margin_ms = 100;
    settings
}

impl Fleet {
    /// Starts a fleet and waits until each entry has reached every server.
    pub fn start(name: &str, entry_count: usize, server_count: usize) -> Fleet {
        let log = start_log();
        let log_address = log.address("listening");
        publish_basics(log_address);
        let start = |kind: &str, index: usize| {
            start_daemon(&quick_settings(
                &format!("{name}-{kind}{index}"),
                log_address,
            ))
        };
        let entries = (0..entry_count)
            .map(|index| start("entry", index))
            .collect();
        let guards: Vec<Process> = (0..server_count)
            .map(|index| start("guard", index))
            .collect();
        let beside = |(index, guard)| start_server(&format!("{name}-s{index}"), "workshop", guard);
        let servers = guards.iter().enumerate().map(beside).collect();
        let fleet = Fleet {
            log,
            entries,
            guards,
            servers,
        };
        for entry in 0..entry_count {
            fleet.wait_for_servers(entry);
        }
        fleet
    }

    /// Where callers reach an entry.
    pub fn front(&self, entry: usize) -> SocketAddr {
        self.entries[entry].address("front")
    }

    fn wait_for_servers(&self, entry: usize) {
        let until = Instant::now() + Duration::from_secs(30);
        let mut seen = std::collections::BTreeSet::new();
        while seen.len() < self.servers.len() {
            assert!(Instant::now() < until, "only {seen:?} answered");
            let answer = ask(self.front(entry), "GET", "/sheets/1", Some("key-1"));
            match answer.body["server"].as_str() {
                Some(server) => drop(seen.insert(server.to_owned())),
                None => std::thread::sleep(Duration::from_millis(20)),
            }
        }
    }

    /// Makes a server fail.
    pub fn fail(&self, server: usize, faults: &ServerFaults) {
        set_faults(self.servers[server].address("listening"), faults);
    }

    /// What a server ran.
    pub fn ran(&self, server: usize) -> RanReport {
        ran(self.servers[server].address("listening"))
    }

    /// Waits until a server has run an order, ended or not.
    pub fn wait_for_run(&self, server: usize, path: &str) {
        wait_until(path, || self.ran(server).runs_by_path.contains_key(path));
    }

    /// Runs of orders over all servers, by path.
    pub fn runs(&self, path: &str) -> u64 {
        let count = |server| {
            self.ran(server)
                .runs_by_path
                .get(path)
                .copied()
                .unwrap_or(0)
        };
        (0..self.servers.len()).map(count).sum()
    }
}

/// Makes the server at an address fail.
pub fn set_faults(server: SocketAddr, faults: &ServerFaults) {
    let text = serde_json::to_string(faults).expect("faults become JSON");
    let answer = attohttpc::put(format!("http://{server}/faults"))
        .text(text)
        .send();
    assert!(answer.expect("the server answers").is_success());
}

/// What the server at an address ran.
pub fn ran(server: SocketAddr) -> RanReport {
    let answer = ask(server, "GET", "/ran", None);
    serde_json::from_value(answer.body).expect("a report")
}

/// Waits for a condition; fails after a time that only a broken path needs.
pub fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let until = Instant::now() + Duration::from_secs(30);
    while !holds() {
        assert!(Instant::now() < until, "{what} did not come");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// A new idempotency key.
pub fn new_key() -> String {
    uuid::Uuid::now_v7().to_string()
}

/// Sends an order, which may run once only.
pub fn order(front: SocketAddr, path: &str, key: Option<&str>, deadline_ms: u64) -> Answer {
    let mut request = attohttpc::post(format!("http://{front}{path}"))
        .bearer_auth("key-1")
        .header("x-deadline-ms", deadline_ms.to_string())
        .timeout(Duration::from_secs(30));
    if let Some(key) = key {
        request = request.header("idempotency-key", key);
    }
    let response = request.text("one hinge").send().expect("the front answers");
    let status = response.status().as_u16();
    let text = response.text().expect("the answer is text");
    Answer {
        status,
        body: serde_json::from_str(&text).unwrap_or_default(),
    }
}

/// The answer's kind and whether it ran.
pub fn told(answer: &Answer) -> (String, String) {
    let text = |name: &str| answer.body[name].as_str().unwrap_or("").to_owned();
    (text("kind"), text("ran"))
}
