//! Memory of a daemon whose callers stall within their requests.

mod support;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use support::{send_request, settings, start_daemon, start_log, Process};

/// Longest body that is kept for a retry.
const BODY_BYTES: usize = 4 * 1024 * 1024;
/// Number of callers that stall within a body.
const UPLOAD_COUNT: usize = 60;
/// Number of callers that stall within a head.
const HEAD_COUNT: usize = 900;
/// Bytes of a head that never ends.
const HEAD_BYTES: usize = 60_000;
/// Most memory that the callers of a test may take together.
const GROWTH_LIMIT_BYTES: usize = 80 * 1024 * 1024;
/// Share of the memory that requests may hold where callers stall within a head.
const HEADS_SHARE: f64 = 0.03;

/// Time after which a daemon that takes no more memory has read what was sent.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Starts a daemon that keeps bodies of `BODY_BYTES`.
fn start(name: &str, request_memory_share: f64) -> (Process, Process) {
    let log = start_log();
    let mut settings = settings(name, "north", log.address("listening"));
    settings.front.retry_body_limit_bytes = BODY_BYTES;
    settings.front.request_memory_share = request_memory_share;
    settings.front.chunked_bodies = true;
    (start_daemon(&settings), log)
}

/// Returns the resident memory of a process.
fn resident_bytes(process: &Process) -> usize {
    let path = format!("/proc/{}/status", process.id());
    let status = std::fs::read_to_string(path).expect("the status of the process");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    let resident_kib: usize = value.expect("a value").parse().expect("a number");
    resident_kib * 1024
}

/// Sends these bytes on a new connection, as far as the daemon takes them.
fn send(front: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut caller = TcpStream::connect(front).expect("the front accepts");
    caller
        .set_write_timeout(Some(Duration::from_secs(2)))
        .expect("a timeout can be set");
    let _ = caller.write_all(bytes);
    caller
}

/// Returns by how much the memory of a daemon grows while callers hold back the rest of a request.
fn growth_bytes(daemon: &Process, caller_count: usize, part: &[u8]) -> usize {
    let front = daemon.address("front");
    let before = resident_bytes(daemon);
    let _callers: Vec<TcpStream> = (0..caller_count).map(|_| send(front, part)).collect();
    let mut after = resident_bytes(daemon);
    loop {
        std::thread::sleep(SETTLE_TIME);
        let earlier = std::mem::replace(&mut after, resident_bytes(daemon));
        if after <= earlier {
            break;
        }
    }
    // Other callers still get their answers, here a refusal.
    assert_eq!(
        send_request(front, "GET", "/sheets/1", None).body["ran"],
        "no"
    );
    after.saturating_sub(before)
}

#[test]
fn stalled_chunked_uploads_do_not_exhaust_the_memory() {
    // Arrange
    let (daemon, _log) = start("request-memory-uploads", 0.125);
    let head = "POST /a HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n";
    let chunk = [b"4000\r\n".as_slice(), &[b'x'; 0x4000], b"\r\n"].concat();
    let part = [head.as_bytes(), &chunk.repeat(BODY_BYTES / 0x4000 - 1)].concat();

    // Act
    let growth = growth_bytes(&daemon, UPLOAD_COUNT, &part);

    // Assert
    assert!(growth <= GROWTH_LIMIT_BYTES, "{growth} bytes");
}

#[test]
fn heads_that_never_end_do_not_exhaust_the_memory() {
    // Arrange
    let (daemon, _log) = start("request-memory-heads", HEADS_SHARE);
    let header = format!("x-a: {}\r\n", "y".repeat(993));
    let head = format!("GET /a HTTP/1.1\r\n{}", header.repeat(HEAD_BYTES / 1000));

    // Act
    let growth = growth_bytes(&daemon, HEAD_COUNT, head.as_bytes());

    // Assert
    assert!(growth <= GROWTH_LIMIT_BYTES / 2, "{growth} bytes");
}
