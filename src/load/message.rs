//! What is sent, and what became of it.

use std::net::SocketAddr;
use std::time::Duration;

use crate::error::Ran;
use crate::types::{OrganisationId, RequestId, ServiceId};

/// One kind of request in the mix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadRequest {
    /// The organisation that sends it.
    pub organisation: OrganisationId,
    /// The service that should answer.
    pub service: ServiceId,
    /// The organisation's key.
    pub key: String,
    /// HTTP method.
    pub method: String,
    /// Path with query.
    pub target: String,
    /// Length of the body.
    pub body_bytes: u64,
    /// Whether it may run more than once.
    pub repeatable: bool,
}

/// A whole load.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// Entries, used in turn.
    pub fronts: Vec<SocketAddr>,
    /// Whether the addresses are backend servers, to be called as a guard would.
    pub direct: bool,
    /// The mix, drawn evenly at random.
    pub mix: Vec<LoadRequest>,
    /// Requests in all.
    pub request_count: u64,
    /// Requests a second over all workers; none for as fast as answers come.
    pub rate_per_s: Option<f64>,
    /// Requests at a time.
    pub worker_count: usize,
    /// Deadline of each request.
    pub deadline: Duration,
    /// Seed of the draw.
    pub seed: u64,
}

/// What became of one request, as the caller saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerVerdict {
    /// The server's whole answer to this very request.
    Answered,
    /// Refused with this kind, and whether it ran by the answer's own word.
    Refused {
        /// The kind's stable name.
        kind: String,
        /// Whether it ran.
        ran: Ran,
    },
    /// An answer that is not true, with what is wrong with it.
    Untrue(String),
    /// No answer.
    NoAnswer,
}

/// One request and its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadResult {
    /// Place of its kind in the mix.
    pub kind_index: usize,
    /// The id that the answer named.
    pub request: Option<RequestId>,
    /// What became of it.
    pub verdict: AnswerVerdict,
    /// From sending to the end of the answer.
    pub elapsed: Duration,
}
