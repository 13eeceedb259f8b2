//! Reads an answer and says whether it is true.

use serde::Deserialize;

use super::message::{LoadRequest, Verdict};
use crate::error::{ErrorKind, Ran};
use crate::types::{format_id, parse_id, RequestId};
use crate::wire::exchange::WholeAnswer;
use crate::wire::forward::REQUEST;
use crate::wire::http::header;

/// What the stand-in server says of the request that it ran.
#[derive(Debug, Deserialize)]
struct ServerAnswer {
    request: String,
    organisation: String,
    path: String,
    body_bytes: u64,
}

#[derive(Debug, Deserialize)]
struct Refusal {
    kind: String,
    ran: Ran,
}

/// The id that an answer names.
pub fn request_of(answer: &WholeAnswer) -> Option<RequestId> {
    header(&answer.headers, REQUEST).and_then(parse_id)
}

/// Says what an answer means for the request that it answers.
pub fn judge(sent: &LoadRequest, answer: &WholeAnswer) -> Verdict {
    let Some(request) = request_of(answer) else {
        return Verdict::Untrue(format!("status {} without a request id", answer.status));
    };
    if answer.status != 200 {
        return judge_refusal(answer);
    }
    let Ok(body) = serde_json::from_slice::<ServerAnswer>(&answer.body) else {
        return Verdict::Untrue("the body is not the server's".to_owned());
    };
    if body.request != format_id(request) {
        return Verdict::Untrue(format!("answer of request {}", body.request));
    }
    if body.organisation != *sent.organisation {
        return Verdict::Untrue(format!("ran for organisation {:?}", body.organisation));
    }
    if body.path != sent.target || body.body_bytes != sent.body_bytes {
        return Verdict::Untrue(format!("ran {} with {} bytes", body.path, body.body_bytes));
    }
    Verdict::Answered
}

fn judge_refusal(answer: &WholeAnswer) -> Verdict {
    let Ok(refusal) = serde_json::from_slice::<Refusal>(&answer.body) else {
        return Verdict::Untrue(format!("status {} without a kind", answer.status));
    };
    let Some(kind) = ErrorKind::from_code(&refusal.kind) else {
        return Verdict::Untrue(format!("unknown kind {:?}", refusal.kind));
    };
    if kind.row().status != answer.status {
        return Verdict::Untrue(format!("kind {kind} with status {}", answer.status));
    }
    Verdict::Refused {
        kind: refusal.kind,
        ran: refusal.ran,
    }
}
