//! The HTTP dialect that daemons use with callers and backend servers: header names, statuses and
//! texts.
//!
//! Modules that make decisions only know requests and error kinds, so that another HTTP dialect is
//! another implementation of `Dialect`.

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

/// Names in lower case of the headers that callers send.
#[derive(Debug, Clone, Copy)]
pub struct CallerHeaderNames {
    /// Header with the time that the caller waits, in milliseconds.
    pub deadline_ms: &'static str,
    /// Header with the caller's idempotency key, if the dialect has one.
    pub idempotency_key: Option<&'static str>,
    /// Header with the caller's own id of the request, if the dialect has one.
    pub request: Option<&'static str>,
}

/// The ids of the request that an answer is for.
#[derive(Debug, Clone, Copy)]
pub struct AnsweredRequest<'a> {
    /// Id that the entry assigned to the request.
    pub request: RequestId,
    /// The caller's own id of the request, if it sent one.
    pub caller_id: Option<&'a str>,
}

/// What a backend server's answer says about the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerMeaning {
    /// The server ran the request.
    Ran,
    /// The server refused the request before it ran it.
    NotRun {
        /// Time after which to try again, if the server sends one.
        retry_after: Option<Duration>,
    },
    /// Another server has the address now and did not run the request.
    OtherServer,
    /// The answer is not valid for the request and must not be forwarded to the caller.
    Foreign,
}

/// The parts of a request from which its call to a backend server is made.
#[derive(Debug, Clone, Copy)]
pub struct ServerCall<'a> {
    /// The entry's description of the request.
    pub head: &'a ForwardHead,
    /// The caller's headers to be forwarded.
    pub headers: &'a [HeaderPair],
    /// Time left until the request's deadline.
    pub remaining: Duration,
}

/// What a backend server reports about its own health.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HealthReport {
    /// The server that answered.
    pub server: BackendServerId,
    /// Whether the server is healthy and not shutting down.
    pub healthy: bool,
    /// Number of requests that the server runs at a time, if it reports one.
    pub slots_count: Option<u32>,
    /// Whether the server reports that it is cold.
    pub cold: bool,
}

/// Translates between the daemon and the HTTP messages of callers and backend servers.
pub trait Dialect: Send + Sync {
    /// Returns the names of the headers that callers send.
    fn caller_header_names(&self) -> CallerHeaderNames;

    /// Returns whether a header, in lower case, is set by the fleet only, so that it is dropped if
    /// a caller sends it.
    fn is_reserved(&self, name: &str) -> bool;

    /// Returns whether backend servers get the caller's `Host` header.
    fn keeps_host(&self) -> bool;

    /// Returns whether backend servers expect the service in whose name a request is sent, so that
    /// no request may reach them without it.
    fn needs_origin(&self) -> bool {
        false
    }

    /// Returns the answer to a caller for an error kind.
    fn refusal(
        &self,
        to: AnsweredRequest<'_>,
        kind: ErrorKind,
        retry_after: Option<Duration>,
    ) -> WholeAnswer;

    /// Converts a backend server's answer to the one that the caller gets.
    fn caller_answer(&self, request: RequestId, answer: WholeAnswer) -> WholeAnswer;

    /// Returns the headers of a call to a backend server.
    fn server_headers(&self, call: ServerCall<'_>) -> Vec<HeaderPair>;

    /// Returns the id that backend servers repeat in their answers to a call, or `None` if the call
    /// has no such id.
    fn answer_id(&self, call: ServerCall<'_>) -> Option<String>;

    /// Returns whether a backend server's answer belongs to the call with that id. `first` says
    /// that the connection has carried no other call.
    fn answer_match(&self, id: Option<&str>, answer: &WholeAnswer, first: bool) -> AnswerMatch;

    /// Returns what a backend server's answer says about the request.
    fn answer_meaning(&self, answer: &WholeAnswer) -> AnswerMeaning;

    /// Returns what the answer of a backend server's health path reports, or `None` if it names no
    /// server.
    fn health_report(&self, answer: &WholeAnswer) -> Option<HealthReport>;

    /// Returns the path to which `DELETE` is sent to tell a backend server that nobody waits for a
    /// request any more, or `None` if closing the connection is enough.
    fn cancel_path(&self, request: RequestId) -> Option<String>;
}

/// The default dialect, which `docs/PROTOCOL.md` describes.
#[derive(Debug, Default, Clone, Copy)]
pub struct FleetDialect;

/// Header with the time in milliseconds that a caller sets as the request's deadline.
pub const CALLER_DEADLINE_MS: &str = "x-deadline-ms";
/// Header with the caller's idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Path prefix under which a backend server takes `DELETE` to cancel the request with the id that
/// follows.
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
