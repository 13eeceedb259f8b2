//! The closed list of error kinds and the table from kind to answer.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a backend server ran the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// No backend server started the request.
    No,
    /// A backend server ran the request to its end.
    Yes,
    /// A backend server may have run the request.
    Unknown,
}

impl Ran {
    /// Text form, as in answers and headers.
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
        /// Every way in which a request can end without the server's answer.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum ErrorKind {
            $($(#[$doc])* $kind,)*
        }

        /// The table from kind to answer, one row a kind.
        pub const ERROR_TABLE: &[ErrorRow] = &[
            $(ErrorRow { kind: ErrorKind::$kind, code: $code, status: $status, ran: Ran::$ran, text: $text },)*
        ];
    };
}

/// One row of the table from kind to answer.
#[derive(Debug, Clone, Copy)]
pub struct ErrorRow {
    /// The kind.
    pub kind: ErrorKind,
    /// Stable name in answers, logs and counters.
    pub code: &'static str,
    /// HTTP status towards the caller.
    pub status: u16,
    /// Whether a backend server ran the request.
    pub ran: Ran,
    /// One English sentence for people.
    pub text: &'static str,
}

error_kinds! {
    /// The request is not well formed.
    BadRequest = "bad_request", 400, No, "The request is not well formed.";
    /// The deadline header is not a positive number of milliseconds.
    BadDeadline = "bad_deadline", 400, No, "The deadline header must be a positive number of milliseconds.";
    /// Both framings, or a repeated or malformed length.
    BadFraming = "bad_framing", 400, No, "The length of the body is ambiguous or malformed.";
    /// The body was shorter than announced.
    ShortUpload = "short_upload", 400, No, "The body ended before its announced length.";
    /// The headers are too long or too many.
    HeadersTooLarge = "headers_too_large", 431, No, "The headers exceed their limit.";
    /// The body is over the route's limit.
    BodyTooLarge = "body_too_large", 413, No, "The body exceeds the limit of its route.";
    /// The upload has no length where one is needed.
    LengthRequired = "length_required", 411, No, "The body needs a Content-Length.";
    /// No key came with a request to a route that needs one.
    KeyMissing = "key_missing", 401, No, "The route needs a key.";
    /// The key is not known.
    KeyUnknown = "key_unknown", 401, No, "The key is not known.";
    /// The key was withdrawn.
    KeyWithdrawn = "key_withdrawn", 401, No, "The key was withdrawn.";
    /// No route matches the method and path.
    RouteUnknown = "route_unknown", 404, No, "No route matches the method and path.";
    /// The path is known, but not with this method.
    MethodUnknown = "method_unknown", 405, No, "The route does not take this method.";
    /// The organisation's contract does not grant the route.
    RouteForbidden = "route_forbidden", 403, No, "The organisation's contract does not grant this route.";
    /// The organisation is over its rate and burst.
    RateExceeded = "rate_exceeded", 429, No, "The organisation is over its rate.";
    /// Daemons that hold shares of the organisation's allowance are out of reach.
    AllowanceUnreachable = "allowance_unreachable", 503, No, "A part of the organisation's allowance is out of reach.";
    /// The daemon has no configuration that it may rely on.
    NoView = "no_view", 503, No, "This daemon has no current configuration.";
    /// No backend server may take the request.
    NoServer = "no_server", 503, No, "No backend server can take the request.";
    /// Every queue in reach is full.
    Busy = "busy", 503, No, "The service is at its capacity.";
    /// The daemon is stopping.
    Stopping = "stopping", 503, No, "This daemon is stopping.";
    /// The deadline can not be met, so the request was not started.
    DeadlineUnmeetable = "deadline_unmeetable", 504, No, "The deadline can not be met.";
    /// The caller left before the request was started.
    Cancelled = "cancelled", 499, No, "The caller left before the request was started.";
    /// The request was running when backend servers died, and is refused for a time.
    PoisonRequest = "poison_request", 422, No, "Backend servers died while running this request.";
    /// The same idempotency key is running or has run.
    DuplicateRequest = "duplicate_request", 409, No, "A request with this idempotency key was already taken.";
    /// The server has just failed, and its guard gives it no requests for a moment.
    ServerTripped = "server_tripped", 503, No, "The backend server has just failed and is left alone for a moment.";
    /// The service's budget of retries is used up at the guard.
    RetriesSpent = "retries_spent", 503, No, "The retries of the service are used up for the moment.";
    /// The request was fenced before its start.
    Fenced = "fenced", 503, No, "The request was withdrawn before its start.";
    /// The backend server refused the request before it ran it.
    ServerShed = "server_shed", 503, No, "The backend server took no more requests.";
    /// Another backend server has the address, and did not run the request.
    ServerReplaced = "server_replaced", 503, No, "The backend server was replaced by another one.";
    /// The operator's token is missing or not known.
    OperatorUnknown = "operator_unknown", 401, No, "The operator's token is missing or not known.";
    /// The operators' API has no such path.
    PathUnknown = "path_unknown", 404, No, "The operators' API has no such path and method.";
    /// A change does not hold what it must; its fields are named.
    ChangeInvalid = "change_invalid", 422, No, "The change is refused whole; its wrong fields are named.";
    /// Taking the failure domain out would push services below their floor.
    FloorBroken = "floor_broken", 409, No, "Services would fall below their floor.";
    /// A backend server may have run the request.
    OutcomeUnknown = "outcome_unknown", 504, Unknown, "The outcome of the request is not known.";
    /// The server's answer was short or malformed.
    BadAnswer = "bad_answer", 502, Unknown, "The backend server's answer was incomplete.";
    /// The server's answer is over the limit.
    AnswerTooLarge = "answer_too_large", 502, Yes, "The backend server's answer exceeds its limit.";
    /// The backend server died while it ran the request.
    ServerDied = "server_died", 502, Unknown, "The backend server died while running the request.";
    /// A fault in this daemon after the request may have run.
    Internal = "internal", 500, Unknown, "The daemon failed while handling the request.";
}

impl ErrorKind {
    /// The kind's row in the table.
    pub fn row(self) -> &'static ErrorRow {
        &ERROR_TABLE[self as usize]
    }

    /// Stable name in answers, logs and counters.
    pub fn code(self) -> &'static str {
        self.row().code
    }

    /// Whether a backend server ran a request that ended with this kind.
    pub fn ran(self) -> Ran {
        self.row().ran
    }

    /// Finds a kind by its stable name.
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
