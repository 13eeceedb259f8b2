//! Plan of a load, and the results of its requests.

use std::net::SocketAddr;
use std::time::Duration;

use crate::error::Ran;
use crate::types::{OrganisationId, RequestId, ServiceId};

/// One kind of request in the mix of a load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadRequest {
    /// Organisation that sends the request.
    pub organisation: OrganisationId,
    /// Service that should answer the request.
    pub service: ServiceId,
    /// API key of the organisation; empty for none.
    pub key: String,
    /// HTTP method of the request.
    pub method: String,
    /// Request target: the path with its query.
    pub target: String,
    /// Length of the request body in bytes.
    pub body_bytes: u64,
    /// Whether the request may run more than once.
    pub repeatable: bool,
}

/// Requests to send, with their targets, rate and deadline.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// Addresses to send to, used round robin.
    pub fronts: Vec<SocketAddr>,
    /// Whether the addresses are backend servers, which are called as a guard calls them.
    pub direct: bool,
    /// Kinds of requests, drawn at random with equal probability.
    pub mix: Vec<LoadRequest>,
    /// Total number of requests.
    pub request_count: u64,
    /// Requests per second over all workers; none to send as fast as answers arrive.
    pub rate_per_s: Option<f64>,
    /// Number of workers, each with one request at a time.
    pub worker_count: usize,
    /// Time that each request allows for its answer.
    pub deadline: Duration,
    /// Seed of the draws from the mix.
    pub seed: u64,
}

/// Result of checking one answer, as the caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerVerdict {
    /// A complete answer whose body fits exactly this request.
    Answered,
    /// A refusal of a known kind, with what it says about the run.
    Refused {
        /// Stable code of the error kind.
        kind: String,
        /// Whether the request ran, according to the refusal.
        ran: Ran,
    },
    /// An answer that contradicts the request or is malformed, with the problem found.
    Untrue(String),
    /// No complete answer arrived.
    NoAnswer,
}

/// Result of one request of a load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadResult {
    /// Index of the kind of request in the mix.
    pub kind_index: usize,
    /// Request id that the answer carries, if any.
    pub request: Option<RequestId>,
    /// Result of checking the answer.
    pub verdict: AnswerVerdict,
    /// Time to the end of the answer, from when the request was due, or sent if there is no rate.
    pub elapsed: Duration,
}
