//! Answers that stop short of their end, many at a time, through a separate process.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use banyanbeam::guard::Announcement;
use support::*;

/// Length that the server announces for each answer: the greatest that is accepted.
const ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// Requests at a time to the server whose answers never end.
const CALLER_COUNT: usize = 200;
/// Time between two requests, so that the server's queue of new connections does not overflow.
const CALLER_GAP: Duration = Duration::from_millis(2);
/// Time over which the memory of the daemon is read.
const WATCH_TIME: Duration = Duration::from_secs(8);
/// Greatest growth of the daemon while the answers are held.
const GROWTH_LIMIT_KB: u64 = 130_000;

/// Starts a server that leaves out the last byte of its answers, except those to paths with
/// "small".
fn start_short_server() -> SocketAddr {
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
    if String::from_utf8_lossy(&head).contains("/small") {
        return stream
            .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}")
            .is_ok();
    }
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {ANSWER_BYTES}\r\n\r\n");
    let body = vec![b'x'; ANSWER_BYTES - 1];
    stream.write_all(head.as_bytes()).is_ok()
        && stream.write_all(&body).is_ok()
        && stream.read(&mut byte).unwrap_or(0) > 0
}

/// Returns the resident memory of a process in kilobytes.
fn resident_kb(process: &Process) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.id()));
    let status = status.expect("the process runs");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    kilobytes.and_then(|text| text.parse().ok()).expect("VmRSS")
}

#[test]
fn answers_that_stop_below_their_limit_do_not_exhaust_the_memory() {
    // Arrange
    let log = start_log();
    let log_address = log.address("listening");
    publish_test_contracts(log_address);
    let mut settings = settings("held-answers", "north", log_address);
    settings.front.worker_count = 1024;
    settings.guard.worker_count = 512;
    settings.guard.cold_limit_count = 256;
    settings.guard.announcement_ttl_ms = 60_000;
    let daemon = start_daemon(&settings);
    let announcement = Announcement {
        server: "held-answers-s1".into(),
        service: "workshop".into(),
        address: start_short_server(),
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
    let request =
        "GET /sheets/long HTTP/1.1\r\nhost: x\r\nauthorization: Bearer key-1\r\n\r\n".as_bytes();
    let callers: Vec<TcpStream> = (0..CALLER_COUNT)
        .map(|_| {
            let mut caller = TcpStream::connect(front).expect("the front accepts");
            caller.write_all(request).expect("the request is sent");
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
    println!("resident {before_kb} kB, at most {peak_kb} kB; {answered_count} of {small_count} small answers");
    assert!(
        peak_kb - before_kb < GROWTH_LIMIT_KB,
        "{before_kb} kB, then {peak_kb} kB"
    );
    assert_eq!(answered_count, small_count);
}
