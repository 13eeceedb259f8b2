//! Parses one line of a daemon's log.

use serde_json::{Map, Value};

use crate::types::Attempt;

/// Line of a daemon's log, split into its known fields and all others.
#[derive(Debug, Clone, PartialEq)]
pub struct LogLine {
    /// Name of the daemon that wrote the line; empty if it is not known.
    pub daemon: String,
    /// Time of the line by that daemon's clock, in milliseconds since the epoch; 0 if not logged.
    pub at_ms: u64,
    /// Name of the logged event.
    pub event: String,
    /// Id of the request, if the line is about one.
    pub request: Option<String>,
    /// Number of the attempt, if the line is about one.
    pub attempt: Option<Attempt>,
    /// All other fields of the log line, by key.
    pub fields: Map<String, Value>,
}

/// Parses a line. Returns none if it does not contain a JSON object with an event. Log collectors
/// may write text before the object; if the object does not name the daemon, the last word of that
/// text is taken as the daemon's name.
pub fn read_line(text: &str) -> Option<LogLine> {
    let start = text.find('{')?;
    let (before, object) = text.split_at(start);
    let mut fields: Map<String, Value> = serde_json::from_str(object.trim_end()).ok()?;
    let mut string = |name: &str| match fields.remove(name) {
        Some(Value::String(string)) => Some(string),
        _ => None,
    };
    let event = string("event")?;
    let request = string("request");
    let named = string("from").or_else(|| before.split_whitespace().next_back().map(str::to_owned));
    let mut number = |name: &str| fields.remove(name).and_then(|value| value.as_u64());
    let at_ms = number("at_ms").unwrap_or_default();
    let attempt = number("attempt").and_then(|attempt| attempt.try_into().ok());
    for common in ["level", "duty", "life"] {
        fields.remove(common);
    }
    Some(LogLine {
        daemon: named.unwrap_or_default(),
        at_ms,
        event,
        request,
        attempt,
        fields,
    })
}

impl LogLine {
    /// Returns one of the other fields as text; empty if the line does not have it.
    pub fn text(&self, name: &str) -> String {
        match self.fields.get(name) {
            Some(Value::String(text)) => text.clone(),
            Some(value) => value.to_string(),
            None => String::new(),
        }
    }
}
