//! Fleets whose stand-in servers fail on demand, and orders (requests that may run only once).

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use banyanbeam::settings::Settings;
use banyanbeam::standin::backend_server::{RanReport, ServerFaults};

use super::{
    publish_test_contracts, send_request, settings, start_daemon, start_log, start_server, Answer,
    Process,
};

/// A fleet of entry daemons without servers and of guard daemons with one server each.
pub struct Fleet {
    /// Process of the platform's log.
    pub log: Process,
    /// Daemons without servers, to which callers send their requests.
    pub entries: Vec<Process>,
    /// Daemons to which one server each announces itself.
    pub guards: Vec<Process>,
    /// Stand-in servers, in the order of their guards.
    pub servers: Vec<Process>,
}

/// Returns settings with an idempotency margin of 100 ms, so that a key home grants keys issued
/// soon after its start.
pub fn short_margin_settings(daemon: &str, log: SocketAddr) -> Settings {
    let mut settings = settings(daemon, "north", log);
    settings.idempotency.margin_ms = 100;
    settings
}

impl Fleet {
    /// Starts a fleet and waits until each entry has got an answer from every server.
    pub fn start(name: &str, entry_count: usize, server_count: usize) -> Fleet {
        Fleet::start_with(name, entry_count, server_count, |_| {})
    }

    /// Starts a fleet whose daemons' settings are changed by `change`.
    pub fn start_with(
        name: &str,
        entry_count: usize,
        server_count: usize,
        change: impl Fn(&mut Settings),
    ) -> Fleet {
        let log = start_log();
        let log_address = log.address("listening");
        publish_test_contracts(log_address);
        let start_one = |kind: &str, index: usize| {
            let mut settings = short_margin_settings(&format!("{name}-{kind}{index}"), log_address);
            change(&mut settings);
            start_daemon(&settings)
        };
        let entries = (0..entry_count)
            .map(|index| start_one("entry", index))
            .collect();
        let guards: Vec<Process> = (0..server_count)
            .map(|index| start_one("guard", index))
            .collect();
        let start_for_guard =
            |(index, guard)| start_server(&format!("{name}-s{index}"), "workshop", guard);
        let servers = guards.iter().enumerate().map(start_for_guard).collect();
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

    /// Returns the address at which an entry takes requests from callers.
    pub fn front(&self, entry: usize) -> SocketAddr {
        self.entries[entry].address("front")
    }

    /// Sends requests to an entry until every server has answered one; panics after 30 seconds.
    fn wait_for_servers(&self, entry: usize) {
        let deadline_at = Instant::now() + Duration::from_secs(30);
        let mut seen = std::collections::BTreeSet::new();
        while seen.len() < self.servers.len() {
            assert!(
                Instant::now() < deadline_at,
                "only these servers answered: {seen:?}"
            );
            let answer = send_request(self.front(entry), "GET", "/sheets/1", Some("key-1"));
            match answer.body["server"].as_str() {
                Some(server) => drop(seen.insert(server.to_owned())),
                None => std::thread::sleep(Duration::from_millis(20)),
            }
        }
    }

    /// Sets the faults of a server, selected by its index.
    pub fn set_faults(&self, server: usize, faults: &ServerFaults) {
        set_faults(self.servers[server].address("listening"), faults);
    }

    /// Returns what a server has run.
    pub fn run_report(&self, server: usize) -> RanReport {
        run_report(self.servers[server].address("listening"))
    }

    /// Waits until a server has started to run the order of this path.
    pub fn wait_for_run(&self, server: usize, path: &str) {
        wait_until(path, || {
            self.run_report(server).runs_by_path.contains_key(path)
        });
    }

    /// Returns how often all servers together have run the order of this path.
    pub fn run_count(&self, path: &str) -> u64 {
        let count_at = |server| {
            self.run_report(server)
                .runs_by_path
                .get(path)
                .copied()
                .unwrap_or(0)
        };
        (0..self.servers.len()).map(count_at).sum()
    }
}

/// Sets the faults of the stand-in server at an address.
pub fn set_faults(server: SocketAddr, faults: &ServerFaults) {
    let text = serde_json::to_string(faults).expect("faults become JSON");
    let answer = attohttpc::put(format!("http://{server}/faults"))
        .text(text)
        .send();
    assert!(answer.expect("the server answers").is_success());
}

/// Returns what the stand-in server at an address has run.
pub fn run_report(server: SocketAddr) -> RanReport {
    let answer = send_request(server, "GET", "/ran", None);
    serde_json::from_value(answer.body).expect("a report")
}

/// Waits until a condition holds; panics after 30 seconds, which only a fault takes.
pub fn wait_until(description: &str, condition: impl Fn() -> bool) {
    let deadline_at = Instant::now() + Duration::from_secs(30);
    while !condition() {
        assert!(
            Instant::now() < deadline_at,
            "timed out waiting for {description}"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Returns a new idempotency key, a version 7 UUID.
pub fn new_idempotency_key() -> String {
    uuid::Uuid::now_v7().to_string()
}

/// Sends an order, a request that may run only once, with an optional idempotency key.
pub fn send_order(front: SocketAddr, path: &str, key: Option<&str>, deadline_ms: u64) -> Answer {
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

/// Returns the error kind of an answer and whether the request ran, as its body states them.
pub fn kind_and_ran(answer: &Answer) -> (String, String) {
    let text = |name: &str| answer.body[name].as_str().unwrap_or("").to_owned();
    (text("kind"), text("ran"))
}
