//! Events that the front handles, actions that it returns, and messages to its thread.

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
    /// Id of the request in the fleet.
    pub request: RequestId,
    /// Id that the caller gave the request.
    pub caller_id: Option<String>,
    /// Value of the host header; empty if there is none.
    pub host: String,
    /// When the request had arrived, with its body unless that is read in parts.
    pub arrived_at: Instant,
    /// When the first bytes of the request may have arrived; not after `arrived_at`.
    pub began_at: Instant,
    /// Method of the request line.
    pub method: String,
    /// Path with its query string.
    pub target: String,
    /// Headers that are passed on to the server: without the API key, connection headers and those
    /// reserved for the fleet.
    pub headers: Vec<HeaderPair>,
    /// Hash of the API key in the request.
    pub key_hash: Option<KeyHash>,
    /// Time from the request's arrival by which the caller wants the answer.
    pub deadline: Option<Duration>,
    /// The caller's idempotency key.
    pub idempotency_key: Option<String>,
    /// Length of the body in bytes; a body of unknown length was refused before.
    pub body_bytes: u64,
}

impl RequestHead {
    /// Returns the name of the request in logs: the caller's id of it, or else its own.
    pub fn log_name(&self) -> String {
        let own = || format_id(self.request);
        self.caller_id.clone().unwrap_or_else(own)
    }

    /// Returns the ids that an answer must carry.
    pub fn answer_to(&self) -> AnsweredRequest<'_> {
        AnsweredRequest {
            request: self.request,
            caller_id: self.caller_id.as_deref(),
        }
    }
}

/// Input of the front's decisions.
#[derive(Debug, Clone)]
pub enum FrontEvent {
    /// A well-formed request arrived.
    Arrived(Arc<RequestHead>),
    /// The organisation's allowance granted a token.
    TokenGranted {
        /// Request that may go on.
        request: RequestId,
    },
    /// The organisation's allowance refused a token.
    TokenRefused {
        /// Request that is to be refused.
        request: RequestId,
        /// Reason of the refusal.
        kind: ErrorKind,
        /// Time after which a token may be available.
        retry_after: Duration,
    },
    /// A new view of the configuration was read.
    View(Arc<View>),
    /// The view became usable, or too old to rely on.
    ViewUsable(bool),
    /// The daemon is stopping and takes no new requests.
    Drain,
}

/// Message to the front's thread: an event together with the data that decisions do not need.
pub enum FrontMessage {
    /// A well-formed request arrived, with the exchange that takes its answer.
    Arrived(Arc<RequestHead>, Box<dyn Exchange>),
    /// An event without further data.
    Event(FrontEvent),
    /// Ends the front's thread.
    Stop,
}

/// Effect of a decision, to be carried out by the front's thread.
#[derive(Debug, Clone, PartialEq)]
pub enum FrontAction {
    /// Asks the allowance for a token.
    TakeToken {
        /// Request that needs the token.
        request: RequestId,
        /// Organisation whose allowance is charged.
        organisation: OrganisationId,
    },
    /// Passes the request to routing.
    Dispatch(RequestPlan),
    /// Reports, after `Drain`, that no request waits for a token any more.
    Drained,
    /// Refuses a request with an error.
    Refuse {
        /// Request that is refused.
        request: RequestId,
        /// Reason of the refusal.
        kind: ErrorKind,
        /// Time after which the caller should try again, where known.
        retry_after: Option<Duration>,
    },
}
