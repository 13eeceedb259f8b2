//! The answer of a request that ends without the server's answer.

use std::time::Duration;

use serde::Serialize;

use crate::error::{ErrorKind, Ran};
use crate::types::{format_id, RequestId};
use crate::wire::exchange::WholeAnswer;
use crate::wire::forward;

/// Body of a refusal.
#[derive(Debug, Serialize)]
struct RefusalBody<'a> {
    kind: &'a str,
    ran: Ran,
    request: String,
    message: &'a str,
}

/// The answer for a kind, by the table from kind to answer.
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
        body,
    }
}

const MAX_RETRY_AFTER_S: f64 = 3600.0;
