//! Checks an answer against the request that it answers.

use serde::Deserialize;

use super::message::{AnswerVerdict, LoadRequest};
use crate::error::{ErrorKind, Ran};
use crate::types::{format_id, parse_id, RequestId};
use crate::wire::exchange::WholeAnswer;
use crate::wire::forward::REQUEST;
use crate::wire::http::header;

/// Body with which the stand-in server describes the request that it ran.
#[derive(Debug, Deserialize)]
struct ServerAnswer {
    /// Id of the request, in text form.
    request: String,
    /// Organisation for which the server ran the request.
    organisation: String,
    /// Path of the request as it reached the server.
    path: String,
    /// Length of the request body that the server read.
    body_bytes: u64,
}

/// Body of a daemon's refusal.
#[derive(Debug, Deserialize)]
struct Refusal {
    /// Code of the reason for the refusal.
    kind: String,
    /// Whether the request ran at a server.
    ran: Ran,
}

/// Returns the request id in the headers of an answer.
pub fn answered_request_id(answer: &WholeAnswer) -> Option<RequestId> {
    header(&answer.headers, REQUEST).and_then(parse_id)
}

/// Checks whether an answer fits the request that was sent, and returns the verdict.
pub fn check_answer(sent: &LoadRequest, answer: &WholeAnswer) -> AnswerVerdict {
    let Some(request) = answered_request_id(answer) else {
        return AnswerVerdict::Untrue(format!("status {} without a request id", answer.status));
    };
    if answer.status != 200 {
        return check_refusal(answer);
    }
    let Ok(body) = serde_json::from_slice::<ServerAnswer>(&answer.body) else {
        return AnswerVerdict::Untrue("the body is not the server's".to_owned());
    };
    if body.request != format_id(request) {
        return AnswerVerdict::Untrue(format!("answer of request {}", body.request));
    }
    if body.organisation != *sent.organisation {
        return AnswerVerdict::Untrue(format!("ran for organisation {:?}", body.organisation));
    }
    if body.path != sent.target || body.body_bytes != sent.body_bytes {
        return AnswerVerdict::Untrue(format!("ran {} with {} bytes", body.path, body.body_bytes));
    }
    AnswerVerdict::Answered
}

/// Checks whether an answer other than 200 is a valid refusal.
fn check_refusal(answer: &WholeAnswer) -> AnswerVerdict {
    let Ok(refusal) = serde_json::from_slice::<Refusal>(&answer.body) else {
        return AnswerVerdict::Untrue(format!("status {} without a kind", answer.status));
    };
    let Some(kind) = ErrorKind::from_code(&refusal.kind) else {
        return AnswerVerdict::Untrue(format!("unknown kind {:?}", refusal.kind));
    };
    if kind.row().status != answer.status {
        return AnswerVerdict::Untrue(format!("kind {kind} with status {}", answer.status));
    }
    AnswerVerdict::Refused {
        kind: refusal.kind,
        ran: refusal.ran,
    }
}
