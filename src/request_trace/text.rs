//! Renders a request trace as text for an operator.

use std::fmt::Write;

use super::line::LogLine;
use super::order::RequestTrace;

/// Renders one line for each event, then the event that decided the outcome, then the last known
/// states of the daemons with their age.
pub fn render(trace: &RequestTrace) -> String {
    let mut text = format!("request {}\n", trace.request);
    for line in &trace.lines {
        // Writing to a string does not fail.
        let _ = writeln!(text, "  {:<24} {}", line.daemon, event_text(line));
    }
    let _ = writeln!(text, "  settled by: {}", deciding_event(trace));
    for line in &trace.last_states {
        let age_ms = age_ms(trace, line);
        let _ = writeln!(
            text,
            "  known then: {:<12} {} ({age_ms} ms old)",
            line.daemon,
            event_text(line)
        );
    }
    text
}

/// Returns the age of a state in milliseconds at the daemon's last line of the trace. Both times
/// are of the same daemon's clock.
fn age_ms(trace: &RequestTrace, state: &LogLine) -> u64 {
    let own_lines = trace
        .lines
        .iter()
        .filter(|line| line.daemon == state.daemon);
    let last_ms = own_lines
        .map(|line| line.at_ms)
        .max()
        .unwrap_or(state.at_ms);
    last_ms.saturating_sub(state.at_ms)
}

/// Describes a log line in one English sentence without its subject, the daemon.
fn event_text(line: &LogLine) -> String {
    let attempt = line.attempt.unwrap_or_default();
    let field = |name| line.text(name);
    match line.event.as_str() {
        "request_refused" => format!(
            "refused it at once: {} (host {}, target {})",
            field("kind"),
            field("host"),
            field("target")
        ),
        "attempt_sent" => format!(
            "sent attempt {attempt} to server {} on the VM of {} (configuration {})",
            field("server"),
            field("to"),
            field("view")
        ),
        "guard_refused" => format!(
            "did not start attempt {attempt} at server {}: {} ({} of {} slots taken, {} waiting, held by {})",
            field("server"),
            field("kind"),
            field("running_count"),
            field("limit_count"),
            field("waiting_count"),
            field("hold")
        ),
        "call_failed" => format!(
            "server {} failed attempt {attempt} after {} ms: {}",
            field("server"),
            field("elapsed_ms"),
            field("outcome")
        ),
        "attempt_failed" => format!(
            "attempt {attempt} ended after {} ms as {} (ran: {})",
            field("elapsed_ms"),
            field("kind"),
            field("ran")
        ),
        "caller_left" => "the caller closed its connection".to_owned(),
        "request_answered" => format!(
            "answered with the server's {} after {} ms (route {}, service {})",
            field("status"),
            field("elapsed_ms"),
            field("route"),
            field("service")
        ),
        "request_failed" => format!(
            "ended it as {} after {} ms (route {}, service {})",
            field("kind"),
            field("elapsed_ms"),
            field("route"),
            field("service")
        ),
        other => {
            let fields: Vec<String> = line
                .fields
                .iter()
                .map(|(name, value)| format!("{name} {value}"))
                .collect();
            format!("{other}: {}", fields.join(", "))
        }
    }
}

/// Describes the event that decided how the request ended.
fn deciding_event(trace: &RequestTrace) -> String {
    let Some(end) = trace.lines.last() else {
        return "nothing was logged".to_owned();
    };
    if end.event != "request_failed" {
        return event_text(end);
    }
    let decisive = |line: &&LogLine| {
        let at_server = matches!(line.event.as_str(), "guard_refused" | "call_failed");
        at_server || line.event == "attempt_failed" || line.event == "caller_left"
    };
    let may_have_run = |line: &&LogLine| line.event == "call_failed";
    // A call that may have executed explains the outcome better than refusals around it.
    let found = trace
        .lines
        .iter()
        .rfind(may_have_run)
        .or_else(|| trace.lines.iter().rfind(decisive));
    found.map_or_else(|| event_text(end), event_text)
}
