//! HTTP from callers through separate processes: malformed requests, uploads, and callers that
//! disconnect.

mod support;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use banyanbeam::standin::backend_server::ServerFaults;
use support::faults::*;

/// Read timeout that only a connection without an answer reaches.
const READ_TIMEOUT: Duration = Duration::from_secs(20);
const UPLOAD_BYTES: usize = 8 * 1024 * 1024;

/// Sends raw bytes on a new connection and returns all that the front sends back.
fn send_bytes(front: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(front).expect("the front accepts");
    stream
        .set_read_timeout(Some(READ_TIMEOUT))
        .expect("a timeout can be set");
    stream.write_all(bytes).expect("the bytes are sent");
    let mut answer = Vec::new();
    // The front may reset the connection after its answer if it did not read the whole request.
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

/// Returns a POST request with these header lines and the body "hello".
fn request_with_headers(path: &str, headers: &str) -> Vec<u8> {
    let head = format!("POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n");
    format!("{head}{headers}\r\nhello").into_bytes()
}

#[test]
fn ambiguous_requests_are_refused_and_never_reach_a_server() {
    // Arrange
    let fleet = Fleet::start("front-strict", 1, 1);
    let key = "authorization: Bearer key-1\r\n";
    let long = format!(
        "{key}content-length: 5\r\nx-long: {}\r\n",
        "a".repeat(20_000)
    );
    let cases = [
        (
            "both framings",
            format!("{key}content-length: 5\r\ntransfer-encoding: chunked\r\n"),
        ),
        (
            "two lengths",
            format!("{key}content-length: 5\r\ncontent-length: 6\r\n"),
        ),
        (
            "both framings, the encoding first",
            format!("{key}transfer-encoding: chunked\r\ncontent-length: 5\r\n"),
        ),
        (
            "a list of lengths",
            format!("{key}content-length: 5, 5\r\n"),
        ),
        ("no digits", format!("{key}content-length: \r\n")),
        ("a length below 0", format!("{key}content-length: -5\r\n")),
        ("a length in hex", format!("{key}content-length: 0x5\r\n")),
        (
            "a length that is too great",
            format!("{key}content-length: 18446744073709551621\r\n"),
        ),
        (
            "a space behind a name",
            format!("{key}content-length : 5\r\n"),
        ),
        (
            "an unknown encoding",
            format!("{key}transfer-encoding: xchunked\r\n"),
        ),
        (
            "chunks within another encoding",
            format!("{key}transfer-encoding: chunked, identity\r\n"),
        ),
        (
            "two encodings",
            format!("{key}transfer-encoding: identity\r\ntransfer-encoding: chunked\r\n"),
        ),
        ("a folded length", format!("{key}content-length:\r\n 5\r\n")),
        (
            "a bare carriage return",
            format!("{key}x-a: b\rcontent-length: 5\r\n"),
        ),
        (
            "a zero byte",
            format!("{key}content-length: 5\r\nx-a: \0\r\n"),
        ),
        ("a signed length", format!("{key}content-length: +5\r\n")),
        ("two keys", format!("{key}{key}content-length: 5\r\n")),
        (
            "a folded header",
            format!("{key}content-length: 5\r\nx-a: b\r\n c: d\r\n"),
        ),
        ("long headers", long),
        (
            "no deadline",
            format!("{key}content-length: 5\r\nx-deadline-ms: soon\r\n"),
        ),
        ("no key", "content-length: 5\r\n".to_owned()),
    ];

    // Act
    let mut statuses = Vec::new();
    for (name, headers) in &cases {
        let answer = send_bytes(
            fleet.front(0),
            &request_with_headers("/orders/strict", headers),
        );
        let status: u16 = answer.get(9..12).unwrap_or("0").parse().unwrap_or(0);
        statuses.push((*name, status));
    }

    // Assert
    for (name, status) in statuses {
        assert!((400..500).contains(&status), "{name}: {status}");
    }
    assert_eq!(fleet.run_count("/orders/strict"), 0);
}

#[test]
fn large_upload_passes_whole_and_a_truncated_one_never_runs() {
    // Arrange
    let fleet = Fleet::start("front-upload", 1, 1);
    let front = fleet.front(0);
    let head = |path: &str| {
        let lines = "host: x\r\nconnection: close\r\nauthorization: Bearer key-1";
        format!("POST {path} HTTP/1.1\r\n{lines}\r\ncontent-length: {UPLOAD_BYTES}\r\n\r\n")
    };

    // Act
    let mut cut = TcpStream::connect(front).expect("the front accepts");
    cut.write_all(head("/scans/cut").as_bytes())
        .expect("the head is sent");
    cut.write_all(&vec![b'a'; UPLOAD_BYTES / 2])
        .expect("half of the body is sent");
    cut.shutdown(Shutdown::Both).expect("the connection ends");
    let mut whole = head("/scans/whole").into_bytes();
    whole.extend(vec![b'a'; UPLOAD_BYTES]);
    let answer = send_bytes(front, &whole);

    // Assert
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(
        answer.contains(&format!("\"body_bytes\":{UPLOAD_BYTES}")),
        "{answer}"
    );
    assert_eq!(fleet.run_count("/scans/whole"), 1);
    assert_eq!(fleet.run_count("/scans/cut"), 0);
}

#[test]
fn caller_disconnect_cancels_its_request_at_the_server() {
    // Arrange
    let fleet = Fleet::start("front-hangup", 1, 1);
    let slow = ServerFaults {
        slow_ms: 9_000,
        ..Default::default()
    };
    fleet.set_faults(0, &slow);
    let mut caller = TcpStream::connect(fleet.front(0)).expect("the front accepts");
    let request = "GET /sheets/left HTTP/1.1\r\nhost: x\r\nauthorization: Bearer key-1\r\n\r\n";
    caller
        .write_all(request.as_bytes())
        .expect("the request is sent");
    fleet.wait_for_run(0, "/sheets/left");

    // Act
    drop(caller);

    // Assert
    wait_until("the cancelled run", || {
        fleet.run_report(0).cancelled_count == 1
    });
}

/// Number of requests that a caller sends behind each other.
const PIPELINED_COUNT: usize = 6;
/// Time for which work may go on after its caller has left.
const CANCEL_LIMIT: Duration = Duration::from_millis(500);

/// Returns requests for sheets 0 to 5 behind each other, with more header lines in each.
fn pipelined_sheets(header_lines: &str) -> String {
    let lines = format!("host: x\r\nauthorization: Bearer key-1\r\n{header_lines}");
    (0..PIPELINED_COUNT)
        .map(|index| format!("GET /sheets/{index} HTTP/1.1\r\n{lines}\r\n"))
        .collect()
}

#[test]
fn pipelined_requests_of_a_caller_that_left_run_no_longer_and_reach_no_server() {
    let plain = pipelined_sheets("");
    let (head, rest) = plain.split_at(20);
    let with_te = pipelined_sheets("te: trailers\r\n");
    let with_body = plain.replacen("\r\n\r\n", "\r\ncontent-length: 2\r\n\r\nhi", 1);
    let cases = [
        ("whole", [&plain, ""]),
        ("the first head in parts", [head, rest]),
        ("other headers", [&with_te, ""]),
        ("the first with a body", [&with_body, ""]),
    ];
    for (name, parts) in cases {
        // Arrange
        let fleet = Fleet::start("front-pipeline", 1, 1);
        let slow = ServerFaults {
            slow_ms: 2_000,
            ..Default::default()
        };
        fleet.set_faults(0, &slow);
        let before_count = fleet.run_report(0).runs.len();
        let mut caller = TcpStream::connect(fleet.front(0)).expect("the front accepts");
        for part in parts {
            caller.write_all(part.as_bytes()).expect("sent");
            std::thread::sleep(Duration::from_millis(150));
        }
        wait_until("a run", || fleet.run_report(0).runs.len() > before_count);

        // Act
        drop(caller);
        std::thread::sleep(CANCEL_LIMIT);
        let at_limit = fleet.run_report(0);
        std::thread::sleep(Duration::from_secs(5));
        let later = fleet.run_report(0);

        // Assert
        assert_eq!(later.runs_by_path, at_limit.runs_by_path, "{name}");
        let started_count = later.runs.len() - before_count;
        assert_eq!(later.cancelled_count, started_count as u64, "{name}");
    }
}
