//! Measures the cost of one daemon: start time, memory, processor time and requests a second. Run
//! with `cargo bench --bench cost`. Prints a table and checks nothing.

#[path = "../tests/support/mod.rs"]
mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use banyanbeam::load::{duty, LoadPlan, LoadRequest};
use support::*;

/// Number of connections that are open and idle while memory is measured.
const IDLE_CONNECTION_COUNT: usize = 300;
/// Length of the body of each upload.
const UPLOAD_BYTES: u64 = 64 * 1024 * 1024;
/// Number of uploads that are sent.
const UPLOAD_COUNT: u64 = 16;
/// Number of uploads that are sent at the same time.
const UPLOAD_WORKER_COUNT: usize = 4;
/// Number of requests without a body that are sent.
const REQUEST_COUNT: u64 = 20_000;
/// Number of requests without a body that are sent at the same time.
const REQUEST_WORKER_COUNT: usize = 64;
/// Contracted rate of the organisation, high enough not to limit the load.
const RATE_PER_S: u32 = 1_000_000;
/// Clock ticks a second in which the kernel counts processor time.
const TICKS_PER_S: f64 = 100.0;

/// Returns a memory field of a process's status, in kilobytes.
fn memory_kb(id: u32, field: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).expect("the process runs");
    let line = status
        .lines()
        .find(|line| line.starts_with(field))
        .expect("the field is there");
    line.split_whitespace()
        .nth(1)
        .and_then(|number| number.parse().ok())
        .expect("a number")
}

/// Returns the processor time of a process so far, user and system together.
fn processor_time(id: u32) -> Duration {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).expect("the process runs");
    let after_name = stat.rsplit(')').next().expect("the name is in parentheses");
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks: f64 = fields[11..13]
        .iter()
        .map(|ticks| ticks.parse::<f64>().expect("ticks"))
        .sum();
    Duration::from_secs_f64(ticks / TICKS_PER_S)
}

/// Returns a plan that sends one kind of request to a front.
fn load_plan(front: SocketAddr, method: &str, target: &str, body_bytes: u64) -> LoadPlan {
    LoadPlan {
        fronts: vec![front],
        direct: false,
        mix: vec![LoadRequest {
            organisation: "optician-1".into(),
            service: "workshop".into(),
            key: "key-1".to_owned(),
            method: method.to_owned(),
            target: target.to_owned(),
            body_bytes,
            repeatable: true,
        }],
        request_count: REQUEST_COUNT,
        rate_per_s: None,
        worker_count: REQUEST_WORKER_COUNT,
        deadline: Duration::from_secs(60),
        seed: 1,
    }
}

/// Starts a stand-in server of 16 slots that answers without simulated work.
fn start_fast_server(server: &str, daemon: &Process) -> Process {
    let announce = daemon.address("announce").to_string();
    let name = ["--server", server, "--service", "workshop"];
    let speed = ["--slots", "16", "--work-ms", "0"];
    let arguments = ["standin", "backend-server", "--announce", &announce];
    Process::start(&[&arguments[..], &name, &speed].concat())
}

/// Opens connections that have had one answer each and are kept open.
fn open_idle_connections(front: SocketAddr) -> Vec<TcpStream> {
    let mut idle = Vec::new();
    for _ in 0..IDLE_CONNECTION_COUNT {
        let mut stream = TcpStream::connect(front).expect("the front accepts");
        let request = b"GET /nowhere HTTP/1.1\r\nhost: x\r\n\r\n";
        stream.write_all(request).expect("the request is sent");
        let mut buffer = [0; 2048];
        assert!(stream.read(&mut buffer).expect("the front answers") > 0);
        idle.push(stream);
    }
    idle
}

fn main() {
    let log = start_log();
    let log_address = log.address("listening");
    publish_contracts_with_limits(log_address, RATE_PER_S, UPLOAD_BYTES);
    let mut settings = settings("bench", "north", log_address);
    settings.log.level = "warn".to_owned();
    let started_at = Instant::now();
    let daemon = start_daemon(&settings);
    println!(
        "listening after                     {:8.1} ms",
        ms(started_at.elapsed())
    );
    let front = daemon.address("front");
    let _servers: Vec<Process> = (1..=4)
        .map(|n| start_fast_server(&format!("server-{n}"), &daemon))
        .collect();
    send_until_status(front, "/sheets/7", Some("key-1"), 200);
    println!(
        "first request served after          {:8.1} ms",
        ms(started_at.elapsed())
    );
    let id = daemon.id();
    println!(
        "memory idle                         {:8} KB",
        memory_kb(id, "VmRSS:")
    );
    let before = processor_time(id);
    std::thread::sleep(Duration::from_secs(10));
    let idle_share = (processor_time(id) - before).as_secs_f64() / 10.0;
    println!(
        "processor idle                      {:8.2} % of a core",
        idle_share * 100.0
    );
    let idle = open_idle_connections(front);
    println!(
        "memory with {IDLE_CONNECTION_COUNT} idle connections    {:8} KB",
        memory_kb(id, "VmRSS:")
    );
    drop(idle);
    let before = processor_time(id);
    let report = duty::run(&load_plan(front, "GET", "/sheets/7", 0));
    let spent = (processor_time(id) - before).as_secs_f64();
    let count = report.sent_count() as f64;
    println!(
        "requests a second, 64 callers       {:8.0} ({} whole)",
        count / report.elapsed.as_secs_f64(),
        report.answered_count()
    );
    println!(
        "processor time a request            {:8.0} us (entry and guard)",
        spent / count * 1e6
    );
    println!(
        "memory after {REQUEST_COUNT} requests         {:8} KB",
        memory_kb(id, "VmRSS:")
    );
    let mut uploads = load_plan(front, "POST", "/orders/7", UPLOAD_BYTES);
    uploads.request_count = UPLOAD_COUNT;
    uploads.worker_count = UPLOAD_WORKER_COUNT;
    let report = duty::run(&uploads);
    println!(
        "uploads of 64 MB, 4 at a time       {:8.1} MB a second ({} whole)",
        64.0 * UPLOAD_COUNT as f64 / report.elapsed.as_secs_f64(),
        report.answered_count()
    );
    println!(
        "most memory in all                  {:8} KB",
        memory_kb(id, "VmHWM:")
    );
}

/// Returns a time in milliseconds.
fn ms(elapsed: Duration) -> f64 {
    elapsed.as_secs_f64() * 1000.0
}
