//! Processes of the binary on loopback, for tests of the whole path.
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

/// A process that is killed when the test ends.
pub struct Process {
    child: Child,
    /// The first line that it printed.
    pub line: String,
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
        logs::keep_output(child.id(), output);
        Process {
            child,
            line: line.trim().to_owned(),
        }
    }

    /// The address that follows a word in the first line.
    pub fn address(&self, word: &str) -> SocketAddr {
        let mut words = self
            .line
            .split_whitespace()
            .skip_while(|found| *found != word);
        words
            .nth(1)
            .unwrap_or_else(|| panic!("{word} in {:?}", self.line))
            .parse()
            .expect("an address")
    }

    /// The process id.
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

    /// Waits for the end and says whether it was a success.
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

/// Starts the platform's log.
pub fn start_log() -> Process {
    Process::start(&["standin", "platform-log", "--address", "127.0.0.1:0"])
}

/// Settings of a daemon that takes free ports and reads this log.
pub fn settings(daemon: &str, domain: &str, log: SocketAddr) -> Settings {
    let any = "127.0.0.1:0".parse().expect("a literal address");
    let mut settings = Settings::default();
    settings.daemon.daemon = daemon.into();
    settings.daemon.domain = domain.into();
    settings.daemon.stop_grace_ms = 10_000;
    settings.front.address = any;
    settings.guard.address = any;
    settings.guard.announce_address = any;
    settings.link.address = any;
    settings.operator.address = any;
    settings.journal.address = log;
    settings
}

/// Starts a daemon with these settings.
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

/// Starts a backend server beside a daemon.
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

/// Appends a change of configuration.
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

/// One organisation, one service with three routes, and the key "key-1".
pub fn publish_basics(log: SocketAddr) {
    publish_limits(log, 1000, RouteContract::default().body_limit_bytes);
}

/// The same with this rate and burst, and this limit of bodies.
pub fn publish_limits(log: SocketAddr, rate_per_s: u32, body_limit_bytes: u64) {
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

/// An answer as the caller sees it.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: serde_json::Value,
}

/// Sends one request as a caller.
pub fn ask(front: SocketAddr, method: &str, path: &str, key: Option<&str>) -> Answer {
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

/// Asks until the status comes; fails after a time that only a broken path needs.
pub fn ask_until(front: SocketAddr, path: &str, key: Option<&str>, status: u16) -> Answer {
    let until = Instant::now() + Duration::from_secs(30);
    loop {
        let answer = ask(front, "GET", path, key);
        if answer.status == status {
            return answer;
        }
        assert!(
            Instant::now() < until,
            "{path}: wanted {status}, last {answer:?}"
        );
        std::thread::sleep(Duration::from_millis(50));
    }
}
