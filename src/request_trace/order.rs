//! The order of cause and effect among the lines of one request.

use std::collections::BTreeMap;

use super::line::LogLine;
use crate::types::Attempt;

/// Lines of one request, causes first.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestTrace {
    /// The request.
    pub request: String,
    /// Its lines.
    pub lines: Vec<LogLine>,
    /// What the daemons of the trace had last said of themselves when it ended.
    pub last_states: Vec<LogLine>,
}

/// Events by which a daemon tells what it believes.
const LAST_STATE_EVENTS: &[&str] = &[
    "view_in_force",
    "store_reachable",
    "server_state",
    "server_absent",
];

/// Events that end a request at its entry.
const END_EVENTS: &[&str] = &["request_answered", "request_failed", "request_refused"];

/// The request_traces of the requests that are wanted, in order of their ids.
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
    let told = |(request, own): (&str, Vec<&LogLine>)| {
        let ordered = causal_order(&own);
        RequestTrace {
            request: request.to_owned(),
            last_states: last_states(lines, &ordered),
            lines: ordered,
        }
    };
    requests.into_iter().map(told).collect()
}

/// Puts what guards logged of an attempt behind its sending. Lines of one daemon keep their order.
fn causal_order(own: &[&LogLine]) -> Vec<LogLine> {
    let at_entry = |line: &LogLine| !is_guard_event(line);
    let mut ordered = Vec::with_capacity(own.len());
    let mut guards: Vec<&LogLine> = own
        .iter()
        .copied()
        .filter(|line| is_guard_event(line))
        .collect();
    for line in own.iter().copied().filter(|line| at_entry(line)) {
        if END_EVENTS.contains(&line.event.as_str()) {
            continue;
        }
        ordered.push(line.clone());
        if line.event == "attempt_sent" {
            move_attempt_lines(&mut guards, line.attempt, &mut ordered);
        }
    }
    // What is left are attempts whose entry's log is missing.
    ordered.extend(guards.into_iter().cloned());
    let ends = own
        .iter()
        .filter(|line| END_EVENTS.contains(&line.event.as_str()));
    ordered.extend(ends.map(|line| (*line).clone()));
    ordered
}

fn is_guard_event(line: &LogLine) -> bool {
    matches!(line.event.as_str(), "guard_refused" | "call_failed")
}

fn move_attempt_lines(
    guards: &mut Vec<&LogLine>,
    attempt: Option<Attempt>,
    into: &mut Vec<LogLine>,
) {
    guards.retain(|line| {
        let of_it = line.attempt == attempt;
        if of_it {
            into.push((*line).clone());
        }
        !of_it
    });
}

/// The last state of each kind that each daemon of the trace had logged by then.
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
