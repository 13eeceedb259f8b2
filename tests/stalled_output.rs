//! Checks that a daemon serves requests while nobody reads its standard output.

mod support;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Command, Stdio};
use std::time::Duration;

use support::{settings, start_log};

/// More refused requests than the log lines that the pipe and the ring of lines hold together.
const REQUEST_COUNT: usize = 8_000;
/// Read timeout that only a blocked daemon reaches.
const READ_TIMEOUT: Duration = Duration::from_secs(60);
/// A request that the front refuses and logs.
const REQUEST: &[u8] = b"GET /none HTTP/1.1\r\nhost: x\r\n\r\n";

/// Reads one answer with a `content-length` and returns its status line.
fn read_answer(reader: &mut BufReader<TcpStream>) -> String {
    let mut status = String::new();
    reader.read_line(&mut status).expect("a status line");
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).expect("a header");
        if line.trim().is_empty() {
            break;
        }
        let lower = line.to_ascii_lowercase();
        if let Some(value) = lower.strip_prefix("content-length:") {
            length = value.trim().parse().expect("a length");
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).expect("the body");
    status
}

#[test]
fn unread_output_blocks_no_request() {
    // Arrange
    let log = start_log();
    let settings = settings("stalled", "north", log.address("listening"));
    let name = format!("banyanbeam-stalled-{}.json", std::process::id());
    let path = std::env::temp_dir().join(name);
    let text = serde_json::to_string(&settings).expect("settings become JSON");
    std::fs::write(&path, text).expect("the settings are written");
    let mut daemon = Command::new(env!("CARGO_BIN_EXE_banyanbeam"))
        .args(["serve".as_ref(), path.as_os_str()])
        .stdout(Stdio::piped())
        .spawn()
        .expect("the binary starts");
    let mut output = BufReader::new(daemon.stdout.take().expect("stdout is piped"));
    let mut line = String::new();
    output.read_line(&mut line).expect("the first line");
    let front = line.split_whitespace().nth(1).expect("the front's address");
    let front: SocketAddr = front.parse().expect("an address");

    // Act
    let stream = TcpStream::connect(front).expect("the front accepts");
    stream
        .set_read_timeout(Some(READ_TIMEOUT))
        .expect("a timeout can be set");
    let mut writer = stream.try_clone().expect("a second handle");
    let mut reader = BufReader::new(stream);
    let mut answered_count = 0;
    for _ in 0..REQUEST_COUNT {
        writer.write_all(REQUEST).expect("the request is sent");
        let status = read_answer(&mut reader);
        let refused = ["HTTP/1.1 404", "HTTP/1.1 503"];
        let known = refused.iter().any(|start| status.starts_with(start));
        answered_count += usize::from(known);
    }

    // Assert
    daemon.kill().expect("the daemon is still there");
    daemon.wait().expect("the daemon ends");
    assert_eq!(answered_count, REQUEST_COUNT);
}
