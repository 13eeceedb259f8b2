//! Puts the log lines of one request in the order of cause and effect.

use std::collections::BTreeMap;

use super::line::LogLine;
use crate::types::Attempt;

/// Log lines of one request in the order of cause, with the state that its daemons were in.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestTrace {
    /// Id of the request, as the daemons log it.
    pub request: String,
    /// Log lines about the request, causes before their effects.
    pub lines: Vec<LogLine>,
    /// Last line of each kind of state that each daemon of the trace had logged by its end.
    pub last_states: Vec<LogLine>,
}

/// Events that log the state of a daemon: the configuration in force, whether the platform's store
/// answers, and the state or absence of the backend server on its VM.
const LAST_STATE_EVENTS: &[&str] = &[
    "view_in_force",
    "store_reachable",
    "server_state",
    "server_absent",
];

/// Events with which the entry daemon logs the end of a request.
const END_EVENTS: &[&str] = &["request_answered", "request_failed", "request_refused"];

/// Returns the traces of the requests whose id passes `wanted`, sorted by id.
pub fn request_traces(lines: &[LogLine], wanted: impl Fn(&str) -> bool) -> Vec<RequestTrace> {
    let mut requests: BTreeMap<&str, Vec<&LogLine>> = BTreeMap::new();
    for line in lines {
        let Some(request) = line.request.as_deref() else {
            continue;
        };
        if wanted(request) {
            requests.entry(request).or_default().push(line);
        }
    }
    let to_trace = |(request, request_lines): (&str, Vec<&LogLine>)| {
        let ordered = causal_order(&request_lines);
        RequestTrace {
            request: request.to_owned(),
            last_states: last_states(lines, &ordered),
            lines: ordered,
        }
    };
    requests.into_iter().map(to_trace).collect()
}

/// Moves the lines of guards about an attempt behind the line about its sending, and the end of the
/// request to the end. Lines of one daemon otherwise keep their order.
fn causal_order(request_lines: &[&LogLine]) -> Vec<LogLine> {
    let at_entry = |line: &LogLine| !is_guard_event(line);
    let mut ordered = Vec::with_capacity(request_lines.len());
    let mut guard_lines: Vec<&LogLine> = request_lines
        .iter()
        .copied()
        .filter(|line| is_guard_event(line))
        .collect();
    for line in request_lines.iter().copied().filter(|line| at_entry(line)) {
        if END_EVENTS.contains(&line.event.as_str()) {
            continue;
        }
        ordered.push(line.clone());
        if line.event == "attempt_sent" {
            move_attempt_lines(&mut guard_lines, line.attempt, &mut ordered);
        }
    }
    // These belong to attempts whose sending is missing from the logs.
    ordered.extend(guard_lines.into_iter().cloned());
    let ends = request_lines
        .iter()
        .filter(|line| END_EVENTS.contains(&line.event.as_str()));
    ordered.extend(ends.map(|line| (*line).clone()));
    ordered
}

/// Returns whether a guard, and not the entry daemon, logged the line.
fn is_guard_event(line: &LogLine) -> bool {
    matches!(line.event.as_str(), "guard_refused" | "call_failed")
}

/// Moves the guards' lines about this attempt to the end of `into`.
fn move_attempt_lines(
    guard_lines: &mut Vec<&LogLine>,
    attempt: Option<Attempt>,
    into: &mut Vec<LogLine>,
) {
    guard_lines.retain(|line| {
        let is_same_attempt = line.attempt == attempt;
        if is_same_attempt {
            into.push((*line).clone());
        }
        !is_same_attempt
    });
}

/// Returns the last line of each state event that each daemon of the trace logged no later than its
/// own last line of the trace. Only times of the same clock are compared.
fn last_states(lines: &[LogLine], trace: &[LogLine]) -> Vec<LogLine> {
    let mut ended_at: BTreeMap<&str, u64> = BTreeMap::new();
    for line in trace {
        let at_ms = ended_at.entry(&line.daemon).or_default();
        *at_ms = line.at_ms.max(*at_ms);
    }
    let mut last: BTreeMap<(&str, &str), &LogLine> = BTreeMap::new();
    for line in lines {
        let before = ended_at
            .get(line.daemon.as_str())
            .is_some_and(|at_ms| line.at_ms <= *at_ms);
        if before && LAST_STATE_EVENTS.contains(&line.event.as_str()) {
            last.insert((&line.daemon, &line.event), line);
        }
    }
    last.into_values().cloned().collect()
}
