//! The platform's log: streams of records with offsets, kept for a limited count, with faults.
//!
//! `GET /streams/NAME?from=N&limit=M&wait_ms=W`, `POST /streams/NAME`, and
//! `PUT /faults` with a `LogFaults` to change how it fails.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use tiny_http::{Method, Request, Response, Server};

use crate::journal::client::{AppendAnswer, ReadAnswer, RecordAnswer};
use crate::ring::spawn_duty;
use crate::types::Offset;

/// How the stand-in fails.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// Answers every request with 503 and does nothing.
    pub down: bool,
    /// Waits this long before each answer, in milliseconds.
    pub slow_ms: u64,
    /// Takes this many appends and then answers them with 503.
    pub lost_answers_count: u64,
    /// Keeps this many records a stream; 0 keeps all.
    pub retention_count: usize,
}

#[derive(Default)]
struct Kept {
    faults: LogFaults,
    streams: HashMap<String, StreamKept>,
    /// Reads that wait for a record.
    parked: Vec<ParkedRead>,
}

struct ParkedRead {
    request: Request,
    stream: String,
    from: Offset,
    limit_count: usize,
    until: Instant,
}

#[derive(Default)]
struct StreamKept {
    first: Offset,
    /// Record `i` has offset `first + i`.
    records: VecDeque<String>,
}

impl StreamKept {
    fn next(&self) -> Offset {
        self.first + self.records.len() as Offset
    }
}

#[derive(Default)]
struct Shared {
    kept: Mutex<Kept>,
    grown: Condvar,
}

/// A running stand-in. It ends with its process.
pub struct PlatformLogStandin {
    /// Where it listens.
    pub address: SocketAddr,
}

/// Starts the stand-in.
pub fn start(address: SocketAddr) -> eyre::Result<PlatformLogStandin> {
    let server = Arc::new(Server::http(address).map_err(|error| eyre::eyre!("{error}"))?);
    let address = server
        .server_addr()
        .to_ip()
        .expect("a TCP listener has an IP address");
    let shared = Arc::new(Shared::default());
    for index in 0..WORKER_COUNT {
        let server = server.clone();
        let shared = shared.clone();
        spawn_duty(&format!("platform-log-{index}"), move || {
            while let Ok(request) = server.recv() {
                answer(&shared, request);
            }
        });
    }
    spawn_duty("platform-log-reads", move || answer_parked(&shared));
    Ok(PlatformLogStandin { address })
}

const WORKER_COUNT: usize = 8;
const MAX_WAIT: Duration = Duration::from_secs(60);

fn answer(shared: &Shared, mut request: Request) {
    let mut body = String::new();
    if request.as_reader().read_to_string(&mut body).is_err() {
        return respond(request, 400, "the body is not text");
    }
    let (path, query) = match request.url().split_once('?') {
        Some((path, query)) => (path.to_owned(), query.to_owned()),
        None => (request.url().to_owned(), String::new()),
    };
    if path == "/faults" && *request.method() == Method::Put {
        return set_faults(shared, request, &body);
    }
    let Some(stream) = path.strip_prefix("/streams/") else {
        return respond(request, 404, "no such path");
    };
    let faults = shared
        .kept
        .lock()
        .expect("no panic while locked")
        .faults
        .clone();
    std::thread::sleep(Duration::from_millis(faults.slow_ms));
    if faults.down {
        return respond(request, 503, "down");
    }
    match *request.method() {
        Method::Get => read(shared, request, stream, &query),
        Method::Post => append(shared, request, stream, body),
        _ => respond(request, 405, "GET or POST"),
    }
}

fn set_faults(shared: &Shared, request: Request, body: &str) {
    match serde_json::from_str(body) {
        Ok(faults) => {
            let mut kept = shared.kept.lock().expect("no panic while locked");
            kept.faults = faults;
            let keep = kept.faults.retention_count;
            for stream in kept.streams.values_mut() {
                retain(stream, keep);
            }
            drop(kept);
            shared.grown.notify_all();
            respond(request, 200, "{}");
        }
        Err(error) => respond(request, 400, &error.to_string()),
    }
}

fn retain(stream: &mut StreamKept, keep_count: usize) {
    while keep_count > 0 && stream.records.len() > keep_count {
        stream.records.pop_front();
        stream.first += 1;
    }
}

fn append(shared: &Shared, request: Request, stream: &str, body: String) {
    let mut kept = shared.kept.lock().expect("no panic while locked");
    let keep = kept.faults.retention_count;
    let entry = kept.streams.entry(stream.to_owned()).or_default();
    let offset = entry.next();
    entry.records.push_back(body);
    retain(entry, keep);
    let lost = kept.faults.lost_answers_count > 0;
    kept.faults.lost_answers_count = kept.faults.lost_answers_count.saturating_sub(1);
    drop(kept);
    shared.grown.notify_all();
    if lost {
        return respond(request, 503, "the answer was lost");
    }
    respond(request, 200, &to_json(&AppendAnswer { offset }));
}

fn read(shared: &Shared, request: Request, stream: &str, query: &str) {
    let wait = Duration::from_millis(parameter(query, "wait_ms").unwrap_or(0)).min(MAX_WAIT);
    let read = ParkedRead {
        request,
        stream: stream.to_owned(),
        from: parameter(query, "from").unwrap_or(0),
        limit_count: parameter(query, "limit").unwrap_or(DEFAULT_LIMIT_COUNT) as usize,
        until: Instant::now() + wait,
    };
    shared
        .kept
        .lock()
        .expect("no panic while locked")
        .parked
        .push(read);
    shared.grown.notify_all();
}

const DEFAULT_LIMIT_COUNT: u64 = 512;

/// Answers each parked read once it has a record, or its time is over.
fn answer_parked(shared: &Shared) {
    let mut kept = shared.kept.lock().expect("no panic while locked");
    loop {
        let now = Instant::now();
        let mut ready = Vec::new();
        let mut waiting = Vec::new();
        for read in std::mem::take(&mut kept.parked) {
            let grown = kept
                .streams
                .get(&read.stream)
                .is_some_and(|kept| kept.next() > read.from);
            let due = grown || kept.faults.down || read.until <= now;
            if due { &mut ready } else { &mut waiting }.push(read);
        }
        kept.parked = waiting;
        if !ready.is_empty() {
            let answers: Vec<_> = ready.into_iter().map(|read| prepare(&kept, read)).collect();
            drop(kept);
            for (request, status, body) in answers {
                respond(request, status, &body);
            }
            kept = shared.kept.lock().expect("no panic while locked");
            continue;
        }
        let next_at = kept.parked.iter().map(|read| read.until).min();
        let wait = next_at.map_or(MAX_WAIT, |at| at.saturating_duration_since(now));
        kept = shared
            .grown
            .wait_timeout(kept, wait)
            .expect("no panic while locked")
            .0;
    }
}

fn prepare(kept: &Kept, read: ParkedRead) -> (Request, u16, String) {
    if kept.faults.down {
        return (read.request, 503, "down".to_owned());
    }
    let answer = read_answer(kept.streams.get(&read.stream), read.from, read.limit_count);
    (read.request, 200, to_json(&answer))
}

fn read_answer(stream: Option<&StreamKept>, from: Offset, limit_count: usize) -> ReadAnswer {
    let Some(stream) = stream else {
        return ReadAnswer {
            first: 0,
            next: from,
            records: Vec::new(),
        };
    };
    let mut records = Vec::new();
    for (index, body) in stream.records.iter().enumerate() {
        let offset = stream.first + index as Offset;
        if offset < from || records.len() >= limit_count {
            continue;
        }
        records.push(RecordAnswer {
            offset,
            body: body.clone(),
        });
    }
    let next = records.last().map_or(from, |record| record.offset + 1);
    ReadAnswer {
        first: stream.first,
        next,
        records,
    }
}

fn parameter(query: &str, name: &str) -> Option<u64> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .filter(|(key, _)| *key == name)
        .find_map(|(_, value)| value.parse().ok())
}

fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("plain values become JSON")
}

fn respond(request: Request, status: u16, body: &str) {
    // A reader that left has nothing to be told.
    let _ = request.respond(Response::from_string(body).with_status_code(status));
}
