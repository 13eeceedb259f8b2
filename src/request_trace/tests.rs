use super::text::render;
use super::{read_line, request_traces, LogLine, RequestTrace};

const ENTRY_SENT: &str = r#"{"at_ms":9000,"from":"e","event":"attempt_sent","request":"r1","attempt":1,"server":"s1","to":"g","view":7}"#;
const GUARD_FAILED: &str = r#"{"at_ms":100,"from":"g","event":"call_failed","request":"r1","attempt":1,"server":"s1","outcome":"Failed(Broken)","elapsed_ms":4}"#;
const ENTRY_LOST: &str = r#"{"at_ms":9010,"from":"e","event":"attempt_failed","request":"r1","attempt":1,"kind":"outcome_unknown","ran":"unknown","elapsed_ms":10}"#;
const ENTRY_END: &str = r#"{"at_ms":9011,"from":"e","event":"request_failed","request":"r1","kind":"outcome_unknown","elapsed_ms":11,"route":"order","service":"orders"}"#;
const GUARD_STATE: &str =
    r#"{"at_ms":40,"from":"g","event":"server_state","server":"s1","cold":true}"#;
const GUARD_STATE_LATER: &str =
    r#"{"at_ms":400,"from":"g","event":"server_state","server":"s1","cold":false}"#;

fn lines(texts: &[&str]) -> Vec<LogLine> {
    texts.iter().filter_map(|text| read_line(text)).collect()
}

fn request_trace_of(texts: &[&str]) -> RequestTrace {
    let mut request_traces = request_traces(&lines(texts), |request| request == "r1");
    assert_eq!(request_traces.len(), 1);
    request_traces.remove(0)
}

#[test]
fn a_daemon_not_named_in_a_line_is_taken_from_the_text_before_it() {
    let line = read_line(r#" 0.28 a-2 {"at_ms":5,"event":"caller_left","request":"r1"}"#);
    let line = line.expect("a line");
    assert_eq!((line.daemon.as_str(), line.at_ms), ("a-2", 5));
}

#[test]
fn lines_without_an_event_are_ignored() {
    assert_eq!(read_line("front 10.1.0.4:80 guard 10.1.0.4:81"), None);
    assert_eq!(read_line(r#"{"at_ms":5}"#), None);
    assert_eq!(read_line(r#"{"event":"cut_"#), None);
}

#[test]
fn lines_are_in_causal_order_despite_differing_clocks_and_file_order() {
    // Act
    let trace = request_trace_of(&[GUARD_FAILED, ENTRY_SENT, ENTRY_LOST, ENTRY_END]);

    // Assert
    let events: Vec<&str> = trace.lines.iter().map(|line| line.event.as_str()).collect();
    let wanted = [
        "attempt_sent",
        "call_failed",
        "attempt_failed",
        "request_failed",
    ];
    assert_eq!(events, wanted);
}

#[test]
fn a_call_that_may_have_run_is_shown_as_the_cause_of_a_failure() {
    let text = render(&request_trace_of(&[
        ENTRY_SENT,
        GUARD_FAILED,
        ENTRY_LOST,
        ENTRY_END,
    ]));
    let settled = text.lines().find(|line| line.contains("settled by"));
    let settled = settled.expect("the cause");
    assert!(
        settled.contains("server s1") && settled.contains("Failed(Broken)"),
        "{text}"
    );
}

#[test]
fn the_last_state_of_a_guard_is_shown_with_its_age_by_its_own_clock() {
    let text = render(&request_trace_of(&[
        GUARD_STATE,
        ENTRY_SENT,
        GUARD_FAILED,
        ENTRY_LOST,
        ENTRY_END,
        GUARD_STATE_LATER,
    ]));
    let known: Vec<&str> = text
        .lines()
        .filter(|line| line.contains("known then"))
        .collect();
    assert_eq!(known.len(), 1);
    assert!(
        known[0].contains("cold true") && known[0].contains("60 ms old"),
        "{text}"
    );
}
