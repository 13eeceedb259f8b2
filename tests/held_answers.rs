//! Long answers, many at a time, through a separate process: their servers leave out the end, or their
//! callers don't read them.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::LazyLock;
use std::time::{Duration, Instant};

use banyanbeam::guard::Announcement;
use support::*;

/// Length that the server announces for each answer: the greatest that is accepted.
const ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// Body of the long answers.
static BODY: LazyLock<Vec<u8>> = LazyLock::new(|| vec![b'x'; ANSWER_BYTES]);
/// Long answers at a time.
const CALLER_COUNT: usize = 200;
/// Time between two requests, so that the server's queue of new connections does not overflow.
const CALLER_GAP: Duration = Duration::from_millis(2);
/// Time over which the memory of the daemon is read.
const WATCH_TIME: Duration = Duration::from_secs(8);
/// Memory that the daemon may use.
const MEMORY_LIMIT_BYTES: u64 = 160_000_000;

/// Starts a server whose answers are long, except to paths with "small". To paths with "short" it
/// leaves out the last byte.
fn start_long_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || while answer_once(&stream) {});
        }
    });
    address
}

/// Answers the next request of a connection; returns whether it is still open.
fn answer_once(mut stream: &TcpStream) -> bool {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).unwrap_or(0) == 0 {
            return false;
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head);
    if head.contains("/small") {
        return stream
            .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}")
            .is_ok();
    }
    let is_short = head.contains("/short");
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {ANSWER_BYTES}\r\n\r\n");
    let body = &BODY[usize::from(is_short)..];
    let sent = stream.write_all(head.as_bytes()).is_ok() && stream.write_all(body).is_ok();
    sent && (!is_short || stream.read(&mut byte).unwrap_or(0) > 0)
}

/// Returns the resident memory of a process in kilobytes.
fn resident_kb(process: &Process) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.id()));
    let status = status.expect("the process runs");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    kilobytes.and_then(|text| text.parse().ok()).expect("VmRSS")
}

/// Sends `CALLER_COUNT` requests for a path and reads none of the answers. Asserts that the daemon
/// keeps to its memory, and that other requests are answered meanwhile.
fn assert_memory_bounded(name: &str, path: &str) {
    // Arrange
    let log = start_log();
    let log_address = log.address("listening");
    publish_test_contracts(log_address);
    let mut settings = settings(name, "north", log_address);
    settings.front.worker_count = 1024;
    settings.guard.worker_count = 512;
    settings.guard.cold_limit_count = 256;
    settings.guard.announcement_ttl_ms = 60_000;
    settings.daemon.memory_limit_bytes = MEMORY_LIMIT_BYTES;
    let daemon = start_daemon(&settings);
    let announcement = Announcement {
        server: "server-1".into(),
        service: "workshop".into(),
        address: start_long_server(),
        slots_count: 256,
        ..Default::default()
    };
    let body = serde_json::to_string(&announcement).expect("plain values become JSON");
    attohttpc::post(format!("http://{}/announce", daemon.address("announce")))
        .text(body)
        .send()
        .expect("the daemon takes the announcement");
    let front = daemon.address("front");
    send_until_status(front, "/sheets/small", Some("key-1"), 200);
    let before_kb = resident_kb(&daemon);

    // Act
    let head = "host: x\r\nauthorization: Bearer key-1";
    let request = format!("GET {path} HTTP/1.1\r\n{head}\r\n\r\n");
    let callers: Vec<TcpStream> = (0..CALLER_COUNT)
        .map(|_| {
            let mut caller = TcpStream::connect(front).expect("the front accepts");
            let sent = caller.write_all(request.as_bytes());
            sent.expect("the request is sent");
            std::thread::sleep(CALLER_GAP);
            caller
        })
        .collect();
    let end_at = Instant::now() + WATCH_TIME;
    let (mut peak_kb, mut small_count, mut answered_count) = (0, 0, 0);
    while Instant::now() < end_at {
        let small = send_request(front, "GET", "/sheets/small", Some("key-1"));
        small_count += 1;
        answered_count += usize::from(small.status == 200);
        peak_kb = peak_kb.max(resident_kb(&daemon));
        std::thread::sleep(Duration::from_millis(20));
    }
    drop(callers);

    // Assert
    println!("{path}: resident {before_kb} kB, at most {peak_kb} kB; {answered_count} of {small_count} small answers");
    assert!(peak_kb * 1024 < MEMORY_LIMIT_BYTES, "{peak_kb} kB");
    assert_eq!(answered_count, small_count);
}

#[test]
fn answers_that_stop_below_their_limit_do_not_exhaust_the_memory() {
    assert_memory_bounded("held-short", "/sheets/short");
}

#[test]
fn answers_that_wait_for_slow_callers_do_not_exhaust_the_memory() {
    assert_memory_bounded("held-whole", "/sheets/whole");
}
