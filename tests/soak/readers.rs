//! Callers that keep their connection to an entry until it closes and pipeline requests on it.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time after which a reader gives up its connection.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Most requests that are sent before their answers are read.
const PIPELINE_LIMIT_COUNT: usize = 6;

/// Answers that one reader got.
#[derive(Debug, Default)]
pub struct ReaderReport {
    /// Number of answers with status 200.
    pub served_count: usize,
    /// Answers that belong to another request, as received.
    pub foreign: Vec<String>,
}

/// Reads sheets on kept connections until `stop` is set.
pub fn read_sheets(seed: u64, fronts: &[SocketAddr], stop: &AtomicBool) -> ReaderReport {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut report = ReaderReport::default();
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        let front = *fronts.choose(&mut random).expect("entries");
        let Ok(connection) = TcpStream::connect(front) else {
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        let mut answers = BufReader::new(&connection);
        let mut open = connection.set_read_timeout(Some(ANSWER_TIMEOUT)).is_ok();
        while open && !stop.load(Ordering::Relaxed) {
            let count = random.random_range(1..=PIPELINE_LIMIT_COUNT);
            let paths: Vec<String> = (number..number + count)
                .map(|number| format!("/sheets/{seed}-{number}"))
                .collect();
            number += count;
            open = send_requests(&connection, &paths).is_some();
            for path in &paths {
                open = open && read_answer(&mut answers, path, &mut report).is_some();
            }
            thread::sleep(Duration::from_millis(random.random_range(0..20)));
        }
    }
    report
}

/// Sends a request for each path; none where the connection fails.
fn send_requests(mut connection: &TcpStream, paths: &[String]) -> Option<()> {
    let request = |path: &String| {
        format!("GET {path} HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-1\r\n\r\n")
    };
    let requests: String = paths.iter().map(request).collect();
    connection.write_all(requests.as_bytes()).ok()
}

/// Reads the next answer into the report; none where the connection ends with it or before it.
fn read_answer(answers: &mut impl BufRead, path: &str, report: &mut ReaderReport) -> Option<()> {
    let mut line = String::new();
    answers.read_line(&mut line).ok()?;
    let served = line.starts_with("HTTP/1.1 200");
    let (mut length, mut closes) = (0, false);
    loop {
        let mut line = String::new();
        if answers.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
        closes |= line == "connection: close";
    }
    let mut body = vec![0; length];
    answers.read_exact(&mut body).ok()?;
    let body = String::from_utf8_lossy(&body);
    if served && !body.contains(&format!("\"{path}\"")) {
        report.foreign.push(format!("{path}: {body}"));
    }
    report.served_count += usize::from(served);
    (!closes).then_some(())
}
