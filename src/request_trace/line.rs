//! One line of a log.

use serde_json::{Map, Value};

use crate::types::Attempt;

/// One line of a log, as far as it can be read.
#[derive(Debug, Clone, PartialEq)]
pub struct LogLine {
    /// The daemon that wrote it; empty where it is not named.
    pub daemon: String,
    /// Milliseconds since the epoch by that daemon's clock.
    pub at_ms: u64,
    /// What happened.
    pub event: String,
    /// The request, where the line is about one.
    pub request: Option<String>,
    /// The attempt, where the line is about one.
    pub attempt: Option<Attempt>,
    /// All other fields.
    pub fields: Map<String, Value>,
}

/// Reads a line; none where it holds no JSON object with an event. Collectors may write text before
/// the object; its last word stands for the daemon where the object names none.
pub fn read_line(text: &str) -> Option<LogLine> {
    let start = text.find('{')?;
    let (before, object) = text.split_at(start);
    let mut fields: Map<String, Value> = serde_json::from_str(object.trim_end()).ok()?;
    let mut word = |name: &str| match fields.remove(name) {
        Some(Value::String(word)) => Some(word),
        _ => None,
    };
    let event = word("event")?;
    let request = word("request");
    let named = word("from").or_else(|| before.split_whitespace().next_back().map(str::to_owned));
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
    /// A field as text; empty where there is none.
    pub fn text(&self, name: &str) -> String {
        match self.fields.get(name) {
            Some(Value::String(text)) => text.clone(),
            Some(value) => value.to_string(),
            None => String::new(),
        }
    }
}
