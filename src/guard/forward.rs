//! Builds the calls to backend servers and interprets their answers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;

use super::message::{GuardRequest, ServerOutcome};
use crate::error::ErrorKind;
use crate::front::answer::refusal;
use crate::types::{format_id, RequestId};
use crate::wire::client::{AnswerCheck, AnswerMatch, Call, CallError, OutgoingBody};
use crate::wire::dialect::{AnswerMeaning, Dialect, ServerCall};
use crate::wire::exchange::{Exchange, RawHead, RequestBody, WholeAnswer};
use crate::wire::forward::{strip_fleet_headers, ForwardHead, PREFIX, REQUEST};
use crate::wire::http::HeaderPair;

/// A request whose call to the server is to be made.
pub struct StartJob {
    /// Headers that daemons add to a forwarded request.
    pub head: ForwardHead,
    /// Request line and headers as received.
    pub raw: RawHead,
    /// Exchange with the entry daemon that takes the answer.
    pub exchange: Box<dyn Exchange>,
    /// When the answer must have arrived.
    pub deadline_at: Instant,
}

/// Dialect and limits of the calls to backend servers.
#[derive(Clone)]
pub struct ServerCallContext {
    /// Writes the headers of calls and reads the answers.
    pub dialect: Arc<dyn Dialect>,
    /// Longest wait for a new connection to a server.
    pub connect_timeout: Duration,
    /// Largest answer that is accepted, in bytes.
    pub answer_limit_bytes: usize,
    /// A kept connection is reused if it has been idle for at most this time.
    pub reuse_idle: Duration,
    /// Longest idle time of a kept connection for a request that may not run more than once.
    pub reuse_idle_once: Duration,
}

/// Returns the caller's headers, without those that daemons added.
pub fn caller_headers(raw: &RawHead) -> Vec<HeaderPair> {
    let own = |name: &str| name.to_ascii_lowercase().starts_with(PREFIX);
    raw.headers
        .iter()
        .filter(|(name, _)| !own(name))
        .cloned()
        .collect()
}

/// Builds the call of a request to its server.
pub fn server_call(
    context: &ServerCallContext,
    job: &StartJob,
    headers: &[HeaderPair],
    address: std::net::SocketAddr,
) -> Call {
    let remaining = job.deadline_at.saturating_duration_since(Instant::now());
    let call = ServerCall {
        head: &job.head,
        headers,
        remaining,
    };
    let host = job
        .raw
        .headers
        .iter()
        .find(|(name, _)| name.eq_ignore_ascii_case("host"));
    let host = host.map(|(_, value)| value.clone());
    let body = match job.exchange.body() {
        RequestBody::Whole(body) => OutgoingBody::Whole(body),
        RequestBody::Parts {
            length_bytes,
            parts,
        } => OutgoingBody::Parts {
            length_bytes,
            parts,
        },
    };
    let check = ServerAnswerCheck {
        dialect: context.dialect.clone(),
        id: context.dialect.answer_id(call),
    };
    Call {
        address,
        method: job.raw.method.clone(),
        target: job.raw.target.clone(),
        host: host.filter(|_| context.dialect.keeps_host()),
        headers: context.dialect.server_headers(call),
        body,
        connect_timeout: context.connect_timeout,
        deadline_at: job.deadline_at,
        answer_limit_bytes: context.answer_limit_bytes,
        reuse_idle: match job.head.repeatable {
            true => context.reuse_idle,
            false => context.reuse_idle_once,
        },
        reconnect_check: true,
        check: Some(Box::new(check)),
    }
}

/// Builds the call that asks a server for its health.
pub fn health_call(
    context: &ServerCallContext,
    address: std::net::SocketAddr,
    path: String,
) -> Call {
    Call {
        address,
        method: "GET".to_owned(),
        target: path,
        host: None,
        headers: Vec::new(),
        body: OutgoingBody::Whole(Bytes::new()),
        connect_timeout: context.connect_timeout,
        deadline_at: Instant::now() + INQUIRY_TIMEOUT,
        answer_limit_bytes: context.answer_limit_bytes,
        reuse_idle: context.reuse_idle,
        reconnect_check: false,
        check: None,
    }
}

/// Longest wait for a health answer; a server whose slots are all in use answers slowly.
const INQUIRY_TIMEOUT: Duration = Duration::from_secs(2);

/// Checks whether an answer of a server belongs to this call.
struct ServerAnswerCheck {
    /// Protocol that the server speaks.
    dialect: Arc<dyn Dialect>,
    /// Id that the answer to this call carries, if the dialect has one.
    id: Option<String>,
}

impl AnswerCheck for ServerAnswerCheck {
    /// Returns the id that the server repeats in its answer, if the dialect has one.
    fn id(&self) -> Option<&str> {
        self.id.as_deref()
    }

    /// Returns how an answer relates to the call, as the dialect decides it.
    fn answer_match(&self, answer: &WholeAnswer, first: bool) -> AnswerMatch {
        self.dialect.answer_match(self.id(), answer, first)
    }
}

/// Returns the outcome of a call for the guard, and the answer for the entry daemon.
pub fn interpret_result(
    dialect: &dyn Dialect,
    request: RequestId,
    result: Result<WholeAnswer, CallError>,
) -> (ServerOutcome, WholeAnswer) {
    let answer = match result {
        Ok(answer) => answer,
        Err(CallError::Died) => {
            let answer = refusal(request, ErrorKind::ServerDied, None);
            return (ServerOutcome::Died, answer);
        }
        Err(error) => {
            let answer = refusal(request, error_kind(error), None);
            return (ServerOutcome::Failed(error), answer);
        }
    };
    match dialect.answer_meaning(&answer) {
        AnswerMeaning::Ran => {
            let outcome = ServerOutcome::Answered(answer.status);
            (outcome, with_request_id(request, answer))
        }
        AnswerMeaning::NotRun { retry_after } => {
            let answer = refusal(request, ErrorKind::ServerShed, retry_after);
            (ServerOutcome::Shed, answer)
        }
        AnswerMeaning::OtherServer => {
            let answer = refusal(request, ErrorKind::ServerReplaced, None);
            (ServerOutcome::Replaced, answer)
        }
        AnswerMeaning::Foreign => {
            let answer = refusal(request, ErrorKind::BadAnswer, None);
            (ServerOutcome::Failed(CallError::ShortAnswer), answer)
        }
    }
}

/// Adds the request id that the entry daemon checks to the server's answer.
fn with_request_id(request: RequestId, mut answer: WholeAnswer) -> WholeAnswer {
    strip_fleet_headers(&mut answer.headers);
    answer
        .headers
        .push((REQUEST.to_owned(), format_id(request)));
    answer
}

/// Returns the kind of refusal for a call that failed.
fn error_kind(error: CallError) -> ErrorKind {
    match error {
        CallError::NotSent => ErrorKind::NoServer,
        CallError::Unwritable => ErrorKind::BadRequest,
        CallError::ShortBody => ErrorKind::ShortUpload,
        CallError::Late | CallError::Broken => ErrorKind::OutcomeUnknown,
        CallError::Died => ErrorKind::ServerDied,
        CallError::ShortAnswer => ErrorKind::BadAnswer,
        CallError::AnswerTooLarge => ErrorKind::AnswerTooLarge,
        CallError::Evicted => ErrorKind::AnswerDropped,
    }
}

/// Extracts the parts of a request on which the guard decides.
pub fn guard_request(head: &ForwardHead, arrived_at: Instant) -> GuardRequest {
    GuardRequest {
        request: head.request,
        attempt: head.attempt,
        incarnation: head.incarnation,
        organisation: head.organisation.clone(),
        weight_share: head.weight_share,
        service: head.service.clone(),
        route: head.route.clone(),
        server: head.server.clone(),
        repeatable: head.repeatable,
        foreground: head.foreground,
        rank: head.rank,
        terms: head.terms,
        fingerprint: head.fingerprint,
        arrived_at,
        deadline_at: arrived_at + head.remaining,
        hung_after: head.hung_after,
    }
}
