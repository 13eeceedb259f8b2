//! Runs one request at the stand-in server, with its faults.

use std::collections::HashSet;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Condvar, Mutex};
use std::time::{Duration, Instant};

use tiny_http::{Header, Request, Response};

use super::faults::{RanReport, ServerFaults};
use super::BackendServerOptions;
use crate::wire::forward;

/// State that the threads of one stand-in share.
#[derive(Default)]
pub(super) struct SharedState {
    /// Faults that the server simulates now.
    pub(super) faults: Mutex<ServerFaults>,
    /// Report on the requests that the server ran so far.
    pub(super) report: Mutex<RanReport>,
    /// Number of requests that run at present.
    running_count: AtomicU64,
    /// Number of requests that have started to run so far.
    served_count: AtomicU64,
    /// Ids of requests whose caller left and whose runs have not ended yet.
    cancelled: Mutex<HashSet<String>>,
    /// Signals that a request was added to `cancelled`.
    cancelled_changed: Condvar,
}

/// Length of the start of a body in which the text of `ServerFaults::dies_on` is searched.
const KEPT_BODY_LIMIT_BYTES: usize = 4096;
/// Size of the buffer in which bodies are read.
const COPY_BUFFER_BYTES: usize = 32 * 1024;
/// Time for which a silent server holds a request.
const SILENT_HOLD_TIME: Duration = Duration::from_secs(60);
/// Deadline of requests that carry none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(120);

/// How the run of a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RunEnd {
    /// The request ran for its full time.
    Completed,
    /// The caller left while the request ran.
    Cancelled,
    /// The deadline of the request passed while it ran.
    TimedOut,
}

impl SharedState {
    /// Ends the run of a request whose caller left.
    pub(super) fn cancel(&self, id: &str) {
        let mut cancelled = self.cancelled.lock().expect("no panic while locked");
        cancelled.insert(id.to_owned());
        self.cancelled_changed.notify_all();
    }

    /// Returns the faults set at present.
    pub(super) fn faults(&self) -> ServerFaults {
        self.faults.lock().expect("no panic while locked").clone()
    }

    /// Waits until the work is done, the caller leaves or the deadline passes.
    fn wait_for_end(&self, id: &str, work: Duration, deadline: Duration) -> RunEnd {
        let started_at = Instant::now();
        let mut cancelled = self.cancelled.lock().expect("no panic while locked");
        loop {
            if cancelled.remove(id) {
                return RunEnd::Cancelled;
            }
            let elapsed = started_at.elapsed();
            if elapsed >= deadline {
                return RunEnd::TimedOut;
            }
            if elapsed >= work {
                return RunEnd::Completed;
            }
            let left = work.min(deadline) - elapsed;
            let waited = self.cancelled_changed.wait_timeout(cancelled, left);
            cancelled = waited.expect("no panic while locked").0;
        }
    }
}

/// Reads the whole request, runs it and answers.
pub(super) fn run(shared: &SharedState, options: &BackendServerOptions, mut request: Request) {
    let faults = shared.faults();
    let length_bytes = request.body_length();
    let (body_bytes, kept_body) = read_body(&mut request);
    if length_bytes.is_some_and(|length| length as u64 != body_bytes) {
        let mut report = shared.report.lock().expect("no panic while locked");
        report.short_body_count += 1;
        drop(report);
        return respond(request, 400, "short body".to_owned(), None);
    }
    exit_on_matching_request(&faults, &request, &kept_body);
    let id = header(&request, forward::REQUEST).unwrap_or_default();
    let deadline = header(&request, forward::DEADLINE_MS)
        .and_then(|value| value.parse().ok())
        .map_or(DEFAULT_DEADLINE, Duration::from_millis);
    let running = shared.running_count.fetch_add(1, Ordering::SeqCst) + 1;
    let served = shared.served_count.fetch_add(1, Ordering::SeqCst) + 1;
    let is_nth = |count: u64| count > 0 && served % count == 0;
    let overloaded = faults.bears_count > 0 && running > faults.bears_count;
    record_start(shared, &request, &id, running, overloaded);
    let mut work = options.work;
    if faults.slow_every_count == 0 || is_nth(faults.slow_every_count) {
        work += Duration::from_millis(faults.slow_ms);
    }
    if faults.silent {
        work = SILENT_HOLD_TIME;
    }
    let wait_limit = if faults.silent {
        SILENT_HOLD_TIME
    } else {
        deadline
    };
    let end = shared.wait_for_end(&id, work, wait_limit);
    shared.running_count.fetch_sub(1, Ordering::SeqCst);
    record_end(shared, end);
    if end == RunEnd::TimedOut {
        return respond(request, 504, "late".to_owned(), None);
    }
    if end == RunEnd::Cancelled || faults.silent || is_nth(faults.lost_answer_every_count) {
        return close_without_answer(request);
    }
    if overloaded {
        return respond(request, 503, "overloaded".to_owned(), None);
    }
    if is_nth(faults.error_every_count) {
        return respond(request, 500, "failed".to_owned(), None);
    }
    if is_nth(faults.short_answer_every_count) {
        let cut_count = served / faults.short_answer_every_count;
        return send_truncated_answer(request, faults.cuts_heads.then_some(cut_count));
    }
    let answer = serde_json::json!({
        "server": &*options.server,
        "request": id,
        "organisation": header(&request, forward::ORGANISATION).unwrap_or_default(),
        "path": request.url(),
        "body_bytes": body_bytes,
    });
    let answered_id = if is_nth(faults.wrong_id_every_count) {
        crate::types::format_id(0)
    } else {
        id
    };
    respond(request, 200, answer.to_string(), Some(answered_id));
}

/// Reads the body and returns its length and its first `KEPT_BODY_LIMIT_BYTES`.
fn read_body(request: &mut Request) -> (u64, Vec<u8>) {
    let mut kept_body = Vec::new();
    let mut buffer = vec![0; COPY_BUFFER_BYTES];
    let mut body_bytes = 0;
    let reader = request.as_reader();
    while let Ok(read_bytes) = reader.read(&mut buffer) {
        if read_bytes == 0 {
            break;
        }
        let kept_limit = KEPT_BODY_LIMIT_BYTES.saturating_sub(kept_body.len());
        kept_body.extend_from_slice(&buffer[..kept_limit.min(read_bytes)]);
        body_bytes += read_bytes as u64;
    }
    (body_bytes, kept_body)
}

/// Exits the process if the request contains the text of `ServerFaults::dies_on`.
fn exit_on_matching_request(faults: &ServerFaults, request: &Request, body: &[u8]) {
    if faults.dies_on.is_empty() {
        return;
    }
    let in_body = String::from_utf8_lossy(body).contains(&faults.dies_on);
    if in_body || request.url().contains(&faults.dies_on) {
        std::process::exit(CRASH_EXIT_CODE);
    }
}

/// Exit code of a process that a request made crash.
const CRASH_EXIT_CODE: i32 = 70;

/// Counts the start of a run in the report.
fn record_start(shared: &SharedState, request: &Request, id: &str, running: u64, overloaded: bool) {
    let key = header(request, "idempotency-key");
    let mut report = shared.report.lock().expect("no panic while locked");
    *report.runs.entry(id.to_owned()).or_default() += 1;
    *report
        .runs_by_path
        .entry(request.url().to_owned())
        .or_default() += 1;
    if let Some(key) = key {
        *report.runs_by_key.entry(key).or_default() += 1;
    }
    report.peak_count = report.peak_count.max(running);
    report.overload_count += u64::from(overloaded);
    report.keys_seen_count += u64::from(header(request, "authorization").is_some());
}

/// Counts a run that was cancelled or timed out in the report.
fn record_end(shared: &SharedState, end: RunEnd) {
    let mut report = shared.report.lock().expect("no panic while locked");
    report.cancelled_count += u64::from(end == RunEnd::Cancelled);
    report.late_count += u64::from(end == RunEnd::TimedOut);
}

/// Closes the connection without an answer.
fn close_without_answer(request: Request) {
    drop(request.into_writer());
}

/// Sends an answer that ends before its length. With a `cut_count`, that count decides at which
/// byte, so that successive answers are cut one byte later.
fn send_truncated_answer(request: Request, cut_count: Option<u64>) {
    const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort";
    let cut_at = |count| (count % ANSWER.len() as u64) as usize;
    let length = cut_count.map_or(ANSWER.len(), cut_at);
    let mut writer = request.into_writer();
    // A caller that left cannot receive an error.
    let _ = writer.write_all(&ANSWER[..length]);
    let _ = writer.flush();
}

/// Returns the value of a request's header, whose name may have any case.
pub(super) fn header(request: &Request, name: &str) -> Option<String> {
    let mut headers = request.headers().iter();
    let found = headers.find(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name))?;
    Some(found.value.to_string())
}

/// Answers with a status and a body, and with a request id if there is one.
pub(super) fn respond(request: Request, status: u16, body: String, id: Option<String>) {
    let mut response = Response::from_string(body).with_status_code(status);
    if let Some(id) = id {
        let header = Header::from_bytes(forward::REQUEST, id).expect("an id is a header value");
        response.add_header(header);
    }
    // A caller that left cannot receive an error.
    let _ = request.respond(response);
}
