//! Stand-in for the platform's log: streams of records with offsets, with configurable retention
//! and faults.
//!
//! `GET /streams/NAME?from=N&limit=M&wait_ms=W`, `POST /streams/NAME`, `PUT /faults` with a `LogFaults`
//! to change how it fails, and `POST /return?lost_ms=N` to come back from a copy that is so old.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use tiny_http::{Header, Method, Request, Response, Server};

use crate::journal::client::{AppendAnswer, ReadAnswer, RecordAnswer, ERA_HEADER};
use crate::ring::spawn_duty;
use crate::types::Offset;

/// Faults and retention of the stand-in log; the default has no faults and keeps all records.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// Answers every request to a stream with status 503 and does nothing else.
    pub down: bool,
    /// Delay before each request to a stream is handled, in milliseconds.
    pub slow_ms: u64,
    /// Number of next appends that are stored but answered with status 503.
    pub lost_answers_count: u64,
    /// Number of records kept in each stream; 0 keeps all.
    pub retention_count: usize,
}

/// Streams, waiting reads and faults of the log.
#[derive(Default)]
struct LogState {
    /// Faults that the log simulates now.
    faults: LogFaults,
    /// Retained records by the name of their stream.
    streams: HashMap<String, StoredStream>,
    /// Reads that wait for a new record.
    waiting_reads: Vec<WaitingRead>,
}

/// A read that is answered once its stream has a record from `from` on, or at `until`.
struct WaitingRead {
    /// HTTP request of the read, which is still unanswered.
    request: Request,
    /// Name of the stream to read.
    stream: String,
    /// Offset of the first record to return.
    from: Offset,
    /// Most records to return.
    limit_count: usize,
    /// Time at which the read is answered even without a record.
    until: Instant,
}

/// Retained records of one stream.
#[derive(Default)]
struct StoredStream {
    /// Offset of the oldest retained record.
    first_offset: Offset,
    /// Record `i` has offset `first_offset + i`; each with the time of its append.
    records: VecDeque<(Instant, String)>,
}

impl StoredStream {
    /// Returns the offset that the next appended record gets.
    fn next_offset(&self) -> Offset {
        self.first_offset + self.records.len() as Offset
    }
}

/// State that the threads of the stand-in share.
#[derive(Default)]
struct SharedState {
    /// Streams, waiting reads and faults.
    state: Mutex<LogState>,
    /// Signals new records, new reads and new faults.
    changed: Condvar,
    /// Number of returns from a copy.
    era: AtomicU64,
}

/// A running stand-in log, which ends with its process.
pub struct PlatformLogStandin {
    /// Address at which it listens.
    pub address: SocketAddr,
}

/// Starts the stand-in log at an address; port 0 takes a free one.
pub fn start(address: SocketAddr) -> eyre::Result<PlatformLogStandin> {
    let server = Arc::new(Server::http(address).map_err(|error| eyre::eyre!("{error}"))?);
    let address = server
        .server_addr()
        .to_ip()
        .expect("a TCP listener has an IP address");
    let shared = Arc::new(SharedState::default());
    for index in 0..WORKER_COUNT {
        let server = server.clone();
        let shared = shared.clone();
        spawn_duty(&format!("platform-log-{index}"), move || {
            while let Ok(request) = server.recv() {
                handle_request(&shared, request);
            }
        });
    }
    spawn_duty("platform-log-reads", move || answer_waiting_reads(&shared));
    Ok(PlatformLogStandin { address })
}

/// Number of threads that handle requests.
const WORKER_COUNT: usize = 8;
/// Upper bound on the time for which a read waits.
const WAIT_LIMIT: Duration = Duration::from_secs(60);

/// Handles one request; a read waits until `answer_waiting_reads` answers it.
fn handle_request(shared: &SharedState, mut request: Request) {
    let mut body = String::new();
    if request.as_reader().read_to_string(&mut body).is_err() {
        return respond(shared, request, 400, "the body is not text");
    }
    let (path, query) = match request.url().split_once('?') {
        Some((path, query)) => (path.to_owned(), query.to_owned()),
        None => (request.url().to_owned(), String::new()),
    };
    if path == "/faults" && *request.method() == Method::Put {
        return set_faults(shared, request, &body);
    }
    if path == "/return" && *request.method() == Method::Post {
        return return_from_copy(shared, request, &query);
    }
    let Some(stream) = path.strip_prefix("/streams/") else {
        return respond(shared, request, 404, "no such path");
    };
    let faults = shared
        .state
        .lock()
        .expect("no panic while locked")
        .faults
        .clone();
    std::thread::sleep(Duration::from_millis(faults.slow_ms));
    if faults.down {
        return respond(shared, request, 503, "down");
    }
    match *request.method() {
        Method::Get => read(shared, request, stream, &query),
        Method::Post => append(shared, request, stream, body),
        _ => respond(shared, request, 405, "GET or POST"),
    }
}

/// Replaces the faults by those in the body and applies their retention to all streams.
fn set_faults(shared: &SharedState, request: Request, body: &str) {
    match serde_json::from_str(body) {
        Ok(faults) => {
            let mut state = shared.state.lock().expect("no panic while locked");
            state.faults = faults;
            let retention_count = state.faults.retention_count;
            for stream in state.streams.values_mut() {
                apply_retention(stream, retention_count);
            }
            drop(state);
            shared.changed.notify_all();
            respond(shared, request, 200, "{}");
        }
        Err(error) => respond(shared, request, 400, &error.to_string()),
    }
}

/// Loses the records of the last `lost_ms` milliseconds and begins an era, as a store does that comes
/// back from a copy.
fn return_from_copy(shared: &SharedState, request: Request, query: &str) {
    let lost = Duration::from_millis(parameter(query, "lost_ms").unwrap_or(0));
    let now = Instant::now();
    let mut state = shared.state.lock().expect("no panic while locked");
    for stream in state.streams.values_mut() {
        stream
            .records
            .retain(|(appended_at, _)| now - *appended_at >= lost);
    }
    shared.era.fetch_add(1, Ordering::Relaxed);
    drop(state);
    shared.changed.notify_all();
    respond(shared, request, 200, "{}");
}

/// Drops the oldest records beyond the retention count; 0 keeps all.
fn apply_retention(stream: &mut StoredStream, retention_count: usize) {
    while retention_count > 0 && stream.records.len() > retention_count {
        stream.records.pop_front();
        stream.first_offset += 1;
    }
}

/// Appends a record to a stream and answers with its offset.
fn append(shared: &SharedState, request: Request, stream: &str, body: String) {
    let mut state = shared.state.lock().expect("no panic while locked");
    let retention_count = state.faults.retention_count;
    let entry = state.streams.entry(stream.to_owned()).or_default();
    let offset = entry.next_offset();
    entry.records.push_back((Instant::now(), body));
    apply_retention(entry, retention_count);
    let is_lost = state.faults.lost_answers_count > 0;
    state.faults.lost_answers_count = state.faults.lost_answers_count.saturating_sub(1);
    drop(state);
    shared.changed.notify_all();
    if is_lost {
        return respond(shared, request, 503, "the answer was lost");
    }
    respond(shared, request, 200, &to_json(&AppendAnswer { offset }));
}

/// Adds a read to the reads that wait for a record.
fn read(shared: &SharedState, request: Request, stream: &str, query: &str) {
    let wait = Duration::from_millis(parameter(query, "wait_ms").unwrap_or(0)).min(WAIT_LIMIT);
    let read = WaitingRead {
        request,
        stream: stream.to_owned(),
        from: parameter(query, "from").unwrap_or(0),
        limit_count: parameter(query, "limit").unwrap_or(DEFAULT_LIMIT_COUNT) as usize,
        until: Instant::now() + wait,
    };
    shared
        .state
        .lock()
        .expect("no panic while locked")
        .waiting_reads
        .push(read);
    shared.changed.notify_all();
}

/// Number of records in an answer if the read names no limit.
const DEFAULT_LIMIT_COUNT: u64 = 512;

/// Answers each waiting read once it has a record or its time limit is reached.
fn answer_waiting_reads(shared: &SharedState) {
    let mut state = shared.state.lock().expect("no panic while locked");
    loop {
        let now = Instant::now();
        let mut ready = Vec::new();
        let mut waiting = Vec::new();
        for read in std::mem::take(&mut state.waiting_reads) {
            let has_record = state
                .streams
                .get(&read.stream)
                .is_some_and(|stream| stream.next_offset() > read.from);
            let is_lost = is_beyond_copy(shared, &state, &read);
            let due = is_lost || has_record || state.faults.down || read.until <= now;
            if due { &mut ready } else { &mut waiting }.push(read);
        }
        state.waiting_reads = waiting;
        if !ready.is_empty() {
            let answers: Vec<_> = ready
                .into_iter()
                .map(|read| prepare_answer(shared, &state, read))
                .collect();
            drop(state);
            for (request, status, body) in answers {
                respond(shared, request, status, &body);
            }
            state = shared.state.lock().expect("no panic while locked");
            continue;
        }
        let next_at = state.waiting_reads.iter().map(|read| read.until).min();
        let wait = next_at.map_or(WAIT_LIMIT, |at| at.saturating_duration_since(now));
        state = shared
            .changed
            .wait_timeout(state, wait)
            .expect("no panic while locked")
            .0;
    }
}

/// Returns whether a read asks for an offset that a log which returned from a copy doesn't have yet.
fn is_beyond_copy(shared: &SharedState, state: &LogState, read: &WaitingRead) -> bool {
    let stream = state.streams.get(&read.stream);
    let next = stream.map_or(0, StoredStream::next_offset);
    shared.era.load(Ordering::Relaxed) > 0 && read.from > next
}

/// Returns the request of a read with the status and the body of its answer.
fn prepare_answer(
    shared: &SharedState,
    state: &LogState,
    read: WaitingRead,
) -> (Request, u16, String) {
    if state.faults.down {
        return (read.request, 503, "down".to_owned());
    }
    if is_beyond_copy(shared, state, &read) {
        return (
            read.request,
            410,
            "the copy ends before this offset".to_owned(),
        );
    }
    let answer = read_answer(state.streams.get(&read.stream), read.from, read.limit_count);
    (read.request, 200, to_json(&answer))
}

/// Returns the retained records of a stream from an offset on, up to the limit.
fn read_answer(stream: Option<&StoredStream>, from: Offset, limit_count: usize) -> ReadAnswer {
    let Some(stream) = stream else {
        return ReadAnswer {
            first: 0,
            next: from,
            records: Vec::new(),
        };
    };
    let mut records = Vec::new();
    for (index, (_, body)) in stream.records.iter().enumerate() {
        let offset = stream.first_offset + index as Offset;
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
        first: stream.first_offset,
        next,
        records,
    }
}

/// Parses the number in a query parameter; returns none if it is missing or not a number.
fn parameter(query: &str, name: &str) -> Option<u64> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .filter(|(key, _)| *key == name)
        .find_map(|(_, value)| value.parse().ok())
}

/// Encodes a value as JSON.
fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("plain values become JSON")
}

/// Answers a request with a status and a body.
fn respond(shared: &SharedState, request: Request, status: u16, body: &str) {
    // A reader that left cannot receive an error.
    let era = shared.era.load(Ordering::Relaxed).to_string();
    let era = Header::from_bytes(ERA_HEADER, era).expect("a number is a header's value");
    let response = Response::from_string(body).with_status_code(status);
    let _ = request.respond(response.with_header(era));
}
