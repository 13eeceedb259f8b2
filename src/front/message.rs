//! Events and actions of the front.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::contract::View;
use crate::error::ErrorKind;
use crate::routing::RequestPlan;
use crate::types::{format_id, KeyHash, OrganisationId, RequestId};
use crate::wire::dialect::AnsweredRequest;
use crate::wire::exchange::Exchange;
use crate::wire::http::HeaderPair;

/// A well-formed request, without its body.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestHead {
    /// The request.
    pub request: RequestId,
    /// The caller's own id of it.
    pub caller_id: Option<String>,
    /// Host that the caller names.
    pub host: String,
    /// When it arrived.
    pub arrived_at: Instant,
    /// Method.
    pub method: String,
    /// Path with query.
    pub target: String,
    /// Headers that are passed on: no key, none of the connection, none of the fleet's own.
    pub headers: Vec<HeaderPair>,
    /// Hash of the key that came with it.
    pub key_hash: Option<KeyHash>,
    /// Deadline that the caller asks for.
    pub deadline: Option<Duration>,
    /// The caller's idempotency key.
    pub idempotency_key: Option<String>,
    /// Length of the body; a body without one was refused.
    pub body_bytes: u64,
}

impl RequestHead {
    /// The name of the request in logs: the caller's own id of it where there is one.
    pub fn log_name(&self) -> String {
        let own = || format_id(self.request);
        self.caller_id.clone().unwrap_or_else(own)
    }

    /// Whom an answer is for.
    pub fn answer_to(&self) -> AnsweredRequest<'_> {
        AnsweredRequest {
            request: self.request,
            caller_id: self.caller_id.as_deref(),
        }
    }
}

/// What happens to the front.
#[derive(Debug, Clone)]
pub enum FrontEvent {
    /// A well-formed request arrived.
    Arrived(Arc<RequestHead>),
    /// The request has its token.
    TokenGranted {
        /// The request.
        request: RequestId,
    },
    /// The request gets no token.
    TokenRefused {
        /// The request.
        request: RequestId,
        /// Why.
        kind: ErrorKind,
        /// When a token may be there.
        retry_after: Duration,
    },
    /// A new view is in force.
    View(Arc<View>),
    /// Whether requests may rely on the view.
    ViewUsable(bool),
    /// The daemon stops taking requests.
    Drain,
}

/// An event, with what the state need not see.
pub enum FrontMessage {
    /// A request with its exchange.
    Arrived(Arc<RequestHead>, Box<dyn Exchange>),
    /// Any other event.
    Event(FrontEvent),
    /// The duty ends.
    Stop,
}

/// What the front does.
#[derive(Debug, Clone, PartialEq)]
pub enum FrontAction {
    /// Asks for a token.
    TakeToken {
        /// The request.
        request: RequestId,
        /// Whose token.
        organisation: OrganisationId,
    },
    /// Hands the request to routing.
    Dispatch(RequestPlan),
    /// After `Drain`: no request waits for its token any more.
    Drained,
    /// Refuses the request.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why.
        kind: ErrorKind,
        /// When to try again, where known.
        retry_after: Option<Duration>,
    },
}
