//! The closed list of error kinds, and the table of the HTTP status, code and text of each kind.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a backend server executed a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// No backend server started the request, so it can be sent again safely.
    No,
    /// A backend server executed the request to its end.
    Yes,
    /// A backend server may have executed the request, wholly or in part.
    Unknown,
}

impl Ran {
    /// Returns the lower-case name that answers and headers carry.
    pub fn as_str(self) -> &'static str {
        match self {
            Ran::No => "no",
            Ran::Yes => "yes",
            Ran::Unknown => "unknown",
        }
    }
}

macro_rules! error_kinds {
    ($($(#[$doc:meta])* $kind:ident = $code:literal, $status:literal, $ran:ident, $text:literal;)*) => {
        /// Reason why a request ended without an answer of the backend server.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum ErrorKind {
            $($(#[$doc])* $kind,)*
        }

        /// One row for each `ErrorKind`, at the index of its discriminant.
        pub const ERROR_TABLE: &[ErrorRow] = &[
            $(ErrorRow { kind: ErrorKind::$kind, code: $code, status: $status, ran: Ran::$ran, text: $text },)*
        ];
    };
}

/// Row of `ERROR_TABLE`: how callers, logs and counters see one error kind.
#[derive(Debug, Clone, Copy)]
pub struct ErrorRow {
    /// Error kind that the row describes.
    pub kind: ErrorKind,
    /// Stable name of the kind in answers, logs and counters.
    pub code: &'static str,
    /// HTTP status of the answer to the caller.
    pub status: u16,
    /// Whether a backend server executed a request that ended with this kind.
    pub ran: Ran,
    /// English sentence that explains the error to a person.
    pub text: &'static str,
}

error_kinds! {
    /// The request is not well formed.
    BadRequest = "bad_request", 400, No, "The request is not well formed.";
    /// The deadline header is not a positive number of milliseconds.
    BadDeadline = "bad_deadline", 400, No, "The deadline header must be a positive number of milliseconds.";
    /// The request has both Content-Length and Transfer-Encoding, or one of them is repeated or
    /// malformed.
    BadFraming = "bad_framing", 400, No, "The length of the body is ambiguous or malformed.";
    /// The body ended before its declared length.
    ShortUpload = "short_upload", 400, No, "The body ended before its announced length.";
    /// The headers exceed their limit in bytes or in number.
    HeadersTooLarge = "headers_too_large", 431, No, "The headers exceed their limit.";
    /// The body exceeds the size limit of its route.
    BodyTooLarge = "body_too_large", 413, No, "The body exceeds the limit of its route.";
    /// The body has no Content-Length, and chunked bodies are not accepted.
    LengthRequired = "length_required", 411, No, "The body needs a Content-Length.";
    /// The request has no API key, and its route needs one.
    KeyMissing = "key_missing", 401, No, "The route needs a key.";
    /// The current configuration does not contain the API key.
    KeyUnknown = "key_unknown", 401, No, "The key is not known.";
    /// The API key was withdrawn.
    KeyWithdrawn = "key_withdrawn", 401, No, "The key was withdrawn.";
    /// No route matches the method and path.
    RouteUnknown = "route_unknown", 404, No, "No route matches the method and path.";
    /// A route matches the path, but none matches it with this method.
    MethodUnknown = "method_unknown", 405, No, "The route does not take this method.";
    /// The organisation's contract does not grant the route.
    RouteForbidden = "route_forbidden", 403, No, "The organisation's contract does not grant this route.";
    /// The organisation has used up its rate and burst.
    RateExceeded = "rate_exceeded", 429, No, "The organisation is over its rate.";
    /// Daemons that hold parts of the organisation's allowance can't be reached.
    AllowanceUnreachable = "allowance_unreachable", 503, No, "A part of the organisation's allowance is out of reach.";
    /// The daemon has no configuration that is recent enough to serve requests with.
    NoView = "no_view", 503, No, "This daemon has no current configuration.";
    /// No backend server is in service for the request.
    NoServer = "no_server", 503, No, "No backend server can take the request.";
    /// Every queue or concurrency limit that the request could use is full.
    Busy = "busy", 503, No, "The service is at its capacity.";
    /// The daemon is shutting down and accepts no new requests.
    Stopping = "stopping", 503, No, "This daemon is stopping.";
    /// The deadline can't be met, so the request was not started.
    DeadlineUnmeetable = "deadline_unmeetable", 504, No, "The deadline can not be met.";
    /// The caller closed its connection before the request was started.
    Cancelled = "cancelled", 499, No, "The caller left before the request was started.";
    /// The request was running when backend servers crashed, and is refused for a time.
    PoisonRequest = "poison_request", 422, No, "Backend servers died while running this request.";
    /// A request with the same idempotency key is running or has run.
    DuplicateRequest = "duplicate_request", 409, No, "A request with this idempotency key was already taken.";
    /// The circuit breaker at the guard is open after failures of the backend server.
    ServerTripped = "server_tripped", 503, No, "The backend server has just failed and is left alone for a moment.";
    /// The retry budget of the service is used up at the guard.
    RetriesSpent = "retries_spent", 503, No, "The retries of the service are used up for the moment.";
    /// The request was fenced (withdrawn at the guard) before its start.
    Fenced = "fenced", 503, No, "The request was withdrawn before its start.";
    /// The backend server shed the request before it executed it.
    ServerShed = "server_shed", 503, No, "The backend server took no more requests.";
    /// Another backend server now has the address, and did not execute the request.
    ServerReplaced = "server_replaced", 503, No, "The backend server was replaced by another one.";
    /// The operator's token is missing or not known.
    OperatorUnknown = "operator_unknown", 401, No, "The operator's token is missing or not known.";
    /// The operators' API has no such path and method.
    PathUnknown = "path_unknown", 404, No, "The operators' API has no such path and method.";
    /// A change of the configuration is invalid; the answer names the invalid fields.
    ChangeInvalid = "change_invalid", 422, No, "The change is refused whole; its wrong fields are named.";
    /// Taking the failure domain out of service would leave services below their floor.
    FloorBroken = "floor_broken", 409, No, "Services would fall below their floor.";
    /// A backend server may have executed the request, and its answer was lost.
    OutcomeUnknown = "outcome_unknown", 504, Unknown, "The outcome of the request is not known.";
    /// The answer of the backend server was truncated or malformed.
    BadAnswer = "bad_answer", 502, Unknown, "The backend server's answer was incomplete.";
    /// The answer of the backend server exceeds the size limit.
    AnswerTooLarge = "answer_too_large", 502, Yes, "The backend server's answer exceeds its limit.";
    /// The answer of the backend server was ended, because answers held too much memory.
    AnswerDropped = "answer_dropped", 502, Unknown, "The answer was given up, as answers held too much memory.";
    /// The backend server crashed while it executed the request.
    ServerDied = "server_died", 502, Unknown, "The backend server died while running the request.";
    /// The daemon failed after the request may have been executed.
    Internal = "internal", 500, Unknown, "The daemon failed while handling the request.";
}

impl ErrorKind {
    /// Returns the row of this kind in `ERROR_TABLE`.
    pub fn row(self) -> &'static ErrorRow {
        &ERROR_TABLE[self as usize]
    }

    /// Returns the stable name of this kind in answers, logs and counters.
    pub fn code(self) -> &'static str {
        self.row().code
    }

    /// Returns whether a backend server executed a request that ended with this kind.
    pub fn ran(self) -> Ran {
        self.row().ran
    }

    /// Returns the kind with this code, if there is one.
    pub fn from_code(code: &str) -> Option<ErrorKind> {
        ERROR_TABLE
            .iter()
            .find(|row| row.code == code)
            .map(|row| row.kind)
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}

#[cfg(test)]
mod tests;
