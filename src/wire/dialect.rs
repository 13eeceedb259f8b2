//! How the fleet speaks to callers and to backend servers: header names, statuses and wording.
//!
//! Decisions know requests and error kinds only. Another way of speaking is another `Dialect`.

use std::time::Duration;

use super::client::AnswerMatch;
use super::exchange::WholeAnswer;
use super::forward::{
    strip_fleet_headers, ForwardHead, DEADLINE_MS, ORGANISATION, PREFIX, RAN, REQUEST,
};
use super::http::{header, HeaderPair};
use crate::error::ErrorKind;
use crate::front::answer::refusal;
use crate::types::{format_id, BackendServerId, RequestId};

/// Names of headers that callers send, in lower case.
#[derive(Debug, Clone, Copy)]
pub struct CallerHeaderNames {
    /// How long the caller waits, in milliseconds.
    pub deadline_ms: &'static str,
    /// The caller's idempotency key, where callers have one.
    pub idempotency_key: Option<&'static str>,
    /// The caller's own id of the request, where callers have one.
    pub request: Option<&'static str>,
}

/// Which request an answer is for.
#[derive(Debug, Clone, Copy)]
pub struct AnsweredRequest<'a> {
    /// The request.
    pub request: RequestId,
    /// The caller's own id of it.
    pub caller_id: Option<&'a str>,
}

/// What a backend server's answer says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerMeaning {
    /// The server ran the request.
    Ran,
    /// The server refused the request before it ran it.
    NotRun {
        /// When to try again, where the server says so.
        retry_after: Option<Duration>,
    },
    /// Another server has the address, and did not run the request.
    OtherServer,
    /// No answer that may be passed on.
    Foreign,
}

/// A call to a backend server.
#[derive(Debug, Clone, Copy)]
pub struct ServerCall<'a> {
    /// What the entry told of the request.
    pub head: &'a ForwardHead,
    /// The caller's headers that are passed on.
    pub headers: &'a [HeaderPair],
    /// What is left of its deadline.
    pub remaining: Duration,
}

/// What a backend server says of its health.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HealthReport {
    /// The server that answered.
    pub server: BackendServerId,
    /// Whether it is well and not leaving.
    pub healthy: bool,
    /// Requests that it runs at a time, where it says so.
    pub slots_count: Option<u32>,
    /// Whether it says that it is cold.
    pub cold: bool,
}

/// A way of speaking to callers and backend servers.
pub trait Dialect: Send + Sync {
    /// Names of headers that callers send.
    fn caller_header_names(&self) -> CallerHeaderNames;

    /// Whether a header, in lower case, is set by the fleet only and dropped if a caller sends it.
    fn is_reserved(&self, name: &str) -> bool;

    /// Whether backend servers get the caller's `Host`.
    fn keeps_host(&self) -> bool;

    /// The answer for a kind.
    fn refusal(
        &self,
        to: AnsweredRequest<'_>,
        kind: ErrorKind,
        retry_after: Option<Duration>,
    ) -> WholeAnswer;

    /// A backend server's answer as the caller gets it.
    fn caller_answer(&self, request: RequestId, answer: WholeAnswer) -> WholeAnswer;

    /// Headers of a call to a backend server.
    fn server_headers(&self, call: ServerCall<'_>) -> Vec<HeaderPair>;

    /// The id that backend servers repeat in their answers to a call; none where it has none.
    fn answer_id(&self, call: ServerCall<'_>) -> Option<String>;

    /// What a backend server's answer is to the call with that id. `first` says that its connection
    /// has carried no other call.
    fn answer_match(&self, id: Option<&str>, answer: &WholeAnswer, first: bool) -> AnswerMatch;

    /// What a backend server's answer to a call says.
    fn answer_meaning(&self, answer: &WholeAnswer) -> AnswerMeaning;

    /// What the answer of a backend server's health path says; none where it names no server.
    fn health_report(&self, answer: &WholeAnswer) -> Option<HealthReport>;

    /// Path by which a backend server is told, with `DELETE`, that nobody waits for a request any
    /// more; none where closing the connection tells it.
    fn cancel_path(&self, request: RequestId) -> Option<String>;
}

/// The product's own way of speaking, as `docs/PROTOCOL.md` describes it.
#[derive(Debug, Default, Clone, Copy)]
pub struct FleetDialect;

/// Header with the deadline that a caller asks for, in milliseconds.
pub const CALLER_DEADLINE_MS: &str = "x-deadline-ms";
/// Header with the caller's idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Path under which a backend server takes cancellations, by `DELETE`.
pub const CANCEL_PATH: &str = "/banyanbeam/requests/";

impl Dialect for FleetDialect {
    fn caller_header_names(&self) -> CallerHeaderNames {
        CallerHeaderNames {
            deadline_ms: CALLER_DEADLINE_MS,
            idempotency_key: Some(IDEMPOTENCY_KEY),
            request: None,
        }
    }

    fn is_reserved(&self, name: &str) -> bool {
        name.starts_with(PREFIX)
    }

    fn keeps_host(&self) -> bool {
        false
    }

    fn refusal(
        &self,
        to: AnsweredRequest<'_>,
        kind: ErrorKind,
        retry_after: Option<Duration>,
    ) -> WholeAnswer {
        refusal(to.request, kind, retry_after)
    }

    fn caller_answer(&self, request: RequestId, mut answer: WholeAnswer) -> WholeAnswer {
        strip_fleet_headers(&mut answer.headers);
        answer
            .headers
            .push((REQUEST.to_owned(), format_id(request)));
        answer.headers.push((RAN.to_owned(), "yes".to_owned()));
        answer
    }

    fn server_headers(&self, call: ServerCall<'_>) -> Vec<HeaderPair> {
        let head = call.head;
        let mut headers = vec![
            (REQUEST.to_owned(), format_id(head.request)),
            (ORGANISATION.to_owned(), head.organisation.to_string()),
            (
                DEADLINE_MS.to_owned(),
                call.remaining.as_millis().to_string(),
            ),
        ];
        headers.extend_from_slice(call.headers);
        headers
    }

    fn answer_id(&self, call: ServerCall<'_>) -> Option<String> {
        Some(format_id(call.head.request))
    }

    fn answer_match(&self, id: Option<&str>, answer: &WholeAnswer, _first: bool) -> AnswerMatch {
        match header(&answer.headers, REQUEST) {
            Some(named) if Some(named) != id => AnswerMatch::Foreign,
            _ => AnswerMatch::Own,
        }
    }

    fn answer_meaning(&self, _answer: &WholeAnswer) -> AnswerMeaning {
        AnswerMeaning::Ran
    }

    fn health_report(&self, _answer: &WholeAnswer) -> Option<HealthReport> {
        None
    }

    fn cancel_path(&self, request: RequestId) -> Option<String> {
        Some(format!("{CANCEL_PATH}{}", format_id(request)))
    }
}

#[cfg(test)]
mod tests;
