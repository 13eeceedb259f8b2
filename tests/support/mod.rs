//! Starts processes of the binary on loopback, publishes test contracts and sends requests to
//! daemons, for tests of the whole system.
#![allow(dead_code)]

pub mod faults;
pub mod logs;

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use banyanbeam::contract::{Change, OrganisationContract, Record, RouteContract, ServiceContract};
use banyanbeam::journal::client::HttpLog;
use banyanbeam::journal::{PlatformLog, CONFIGURATION};
use banyanbeam::settings::journal::JournalSettings;
use banyanbeam::settings::Settings;
use banyanbeam::types::new_operation_id;
use banyanbeam::wire::proof::hash_key;

/// A running process of the binary, which is killed when the value is dropped.
pub struct Process {
    child: Child,
    /// First line of its standard output, which lists the addresses that it listens on.
    pub first_line: String,
}

impl Process {
    /// Starts the binary and waits for its first line.
    pub fn start(arguments: &[&str]) -> Process {
        let mut child = Command::new(env!("CARGO_BIN_EXE_banyanbeam"))
            .args(arguments)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the binary starts");
        let mut line = String::new();
        let mut output = BufReader::new(child.stdout.take().expect("stdout is piped"));
        output
            .read_line(&mut line)
            .expect("the process prints a line");
        logs::save_output(child.id(), output);
        Process {
            child,
            first_line: line.trim().to_owned(),
        }
    }

    /// Returns the address that follows this label in the first line.
    pub fn address(&self, label: &str) -> SocketAddr {
        let mut remaining_words = self
            .first_line
            .split_whitespace()
            .skip_while(|word| *word != label);
        remaining_words
            .nth(1)
            .unwrap_or_else(|| panic!("{label} in {:?}", self.first_line))
            .parse()
            .expect("an address")
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, such as "TERM", "KILL", "STOP" or "CONT".
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill")
            .args([&format!("-{name}"), &id])
            .status();
        assert!(status.expect("kill runs").success(), "signal {name}");
    }

    /// Waits until the process exits and returns whether its exit code was 0.
    pub fn wait(&mut self) -> bool {
        self.child
            .wait()
            .expect("the process can be waited for")
            .success()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts the stand-in of the platform's log on a free port.
pub fn start_log() -> Process {
    Process::start(&["standin", "platform-log", "--address", "127.0.0.1:0"])
}

/// Returns settings of a daemon that listens on free ports and uses the log at this address.
pub fn settings(daemon: &str, domain: &str, log: SocketAddr) -> Settings {
    let free_port = "127.0.0.1:0".parse().expect("a literal address");
    let mut settings = Settings::default();
    settings.daemon.daemon = daemon.into();
    settings.daemon.domain = domain.into();
    settings.daemon.stop_grace_ms = 10_000;
    settings.front.address = free_port;
    settings.guard.address = free_port;
    settings.guard.announce_address = free_port;
    settings.link.address = free_port;
    settings.operator.address = free_port;
    settings.journal.address = log;
    settings
}

/// Writes these settings to a temporary file and starts a daemon with it.
pub fn start_daemon(settings: &Settings) -> Process {
    let name = format!(
        "banyanbeam-{}-{}.json",
        std::process::id(),
        settings.daemon.daemon
    );
    let path: PathBuf = std::env::temp_dir().join(name);
    std::fs::write(
        &path,
        serde_json::to_string(settings).expect("settings become JSON"),
    )
    .expect("the settings file is written");
    Process::start(&["serve", path.to_str().expect("a path of text")])
}

/// Starts a stand-in backend server that announces itself to this daemon.
pub fn start_server(server: &str, service: &str, daemon: &Process) -> Process {
    let announce = daemon.address("announce").to_string();
    let arguments = [
        "standin",
        "backend-server",
        "--server",
        server,
        "--service",
        service,
        "--announce",
        &announce,
    ];
    Process::start(&arguments)
}

/// Appends a configuration change to the log, with the author "test" and without a base.
pub fn publish(log: SocketAddr, change: Change) {
    let record = Record {
        operation: new_operation_id(),
        base: None,
        author: "test".to_owned(),
        at_ms: 0,
        change,
    };
    let log = HttpLog::new(&JournalSettings {
        address: log,
        ..Default::default()
    });
    log.append(
        CONFIGURATION,
        &serde_json::to_string(&record).expect("a record becomes JSON"),
    )
    .expect("the log takes the record");
}

/// Publishes the organisation "optician-1" with the key "key-1" and the service "workshop" with
/// three routes, at 1000 requests per second and the default body limit.
pub fn publish_test_contracts(log: SocketAddr) {
    publish_contracts_with_limits(log, 1000, RouteContract::default().body_limit_bytes);
}

/// Publishes the test contracts with this rate, used as the burst too, and this body limit for
/// all routes but "scans", which takes up to 64 MiB.
pub fn publish_contracts_with_limits(log: SocketAddr, rate_per_s: u32, body_limit_bytes: u64) {
    let route = |route: &str, method: &str, repeatable| RouteContract {
        route: route.into(),
        method: method.to_owned(),
        path_prefix: format!("/{route}"),
        repeatable,
        body_limit_bytes,
        ..Default::default()
    };
    let scans = RouteContract {
        body_limit_bytes: 64 * 1024 * 1024,
        ..route("scans", "POST", false)
    };
    let sheets = route("sheets", "GET", true);
    let routes = vec![sheets, route("orders", "POST", false), scans];
    publish(
        log,
        Change::PublishService {
            contract: ServiceContract {
                service: "workshop".into(),
                routes,
                ..Default::default()
            },
        },
    );
    publish(
        log,
        Change::PublishOrganisation {
            contract: OrganisationContract {
                organisation: "optician-1".into(),
                rate_per_s: f64::from(rate_per_s),
                burst_count: rate_per_s,
                routes: vec!["sheets".into(), "orders".into(), "scans".into()],
                ..Default::default()
            },
        },
    );
    let key_hash = hash_key("key-1");
    publish(
        log,
        Change::GrantKey {
            organisation: "optician-1".into(),
            key_hash,
        },
    );
}

/// An HTTP answer as the caller receives it.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status code of the answer.
    pub status: u16,
    /// Body parsed as JSON; null where it is not JSON.
    pub body: serde_json::Value,
}

/// Sends one request without a body, with the key as bearer token, and returns the answer.
pub fn send_request(front: SocketAddr, method: &str, path: &str, key: Option<&str>) -> Answer {
    let method = attohttpc::Method::from_bytes(method.as_bytes()).expect("a method");
    let mut request = attohttpc::RequestBuilder::new(method, format!("http://{front}{path}"))
        .timeout(Duration::from_secs(20));
    if let Some(key) = key {
        request = request.bearer_auth(key);
    }
    let response = request.send().expect("the front answers");
    let status = response.status().as_u16();
    let text = response.text().expect("the answer is text");
    Answer {
        status,
        body: serde_json::from_str(&text).unwrap_or(serde_json::Value::Null),
    }
}

/// Repeats a GET request until it is answered with this status; panics after 30 seconds, which
/// only a fault takes.
pub fn send_until_status(front: SocketAddr, path: &str, key: Option<&str>, status: u16) -> Answer {
    let deadline_at = Instant::now() + Duration::from_secs(30);
    loop {
        let answer = send_request(front, "GET", path, key);
        if answer.status == status {
            return answer;
        }
        assert!(
            Instant::now() < deadline_at,
            "{path}: wanted {status}, last {answer:?}"
        );
        std::thread::sleep(Duration::from_millis(50));
    }
}
