//! Answers to requests that end without an answer of the server.

use std::time::Duration;

use serde::Serialize;

use crate::error::{ErrorKind, Ran};
use crate::types::{format_id, RequestId};
use crate::wire::exchange::WholeAnswer;
use crate::wire::forward;

/// JSON body of a refusal.
#[derive(Debug, Serialize)]
struct RefusalBody<'a> {
    /// Code of the error kind.
    kind: &'a str,
    /// Whether the request may have run.
    ran: Ran,
    /// Request id in its text form.
    request: String,
    /// Explanation for people, from the error table.
    message: &'a str,
}

/// Builds the answer for an error kind from its row in the error table.
pub fn refusal(request: RequestId, kind: ErrorKind, retry_after: Option<Duration>) -> WholeAnswer {
    let row = kind.row();
    let body = RefusalBody {
        kind: row.code,
        ran: row.ran,
        request: format_id(request),
        message: row.text,
    };
    let mut headers = vec![
        ("content-type".to_owned(), "application/json".to_owned()),
        (forward::REQUEST.to_owned(), format_id(request)),
        (forward::KIND.to_owned(), row.code.to_owned()),
        (forward::RAN.to_owned(), row.ran.as_str().to_owned()),
    ];
    if let Some(after) = retry_after {
        let seconds = after.as_secs_f64().ceil().clamp(1.0, MAX_RETRY_AFTER_S);
        headers.push(("retry-after".to_owned(), format!("{seconds:.0}")));
        let wait_ms = after.as_millis().to_string();
        headers.push((forward::WAIT_MS.to_owned(), wait_ms));
    }
    let body = serde_json::to_vec(&body).expect("plain values become JSON");
    WholeAnswer {
        status: row.status,
        headers,
        body: body.into(),
    }
}

/// Upper bound of the `retry-after` header.
const MAX_RETRY_AFTER_S: f64 = 3600.0;
