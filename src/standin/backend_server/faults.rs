//! How a stand-in server fails, and what it counts.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// How the stand-in fails.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServerFaults {
    /// Answers every n-th request with 500; 0 for none.
    pub error_every_count: u64,
    /// Adds this to the work of each request, in milliseconds.
    pub slow_ms: u64,
    /// Adds `slow_ms` to every n-th request only; 0 for all.
    pub slow_every_count: u64,
    /// Takes requests and never answers.
    pub silent: bool,
    /// Says that it is cold.
    pub cold: bool,
    /// Says that it takes no new work.
    pub draining: bool,
    /// Stops announcing itself.
    pub unannounced: bool,
    /// Falls over above this many requests at a time: each is answered with 503; 0 for never.
    pub bears_count: u64,
    /// Runs the request and breaks the connection before every n-th answer; 0 for none.
    pub lost_answer_every_count: u64,
    /// Ends every n-th answer before its length; 0 for none.
    pub short_answer_every_count: u64,
    /// Ends these answers after ever more bytes, from their heads' first one on.
    pub cuts_heads: bool,
    /// Gives every n-th answer another request's id; 0 for none.
    pub wrong_id_every_count: u64,
    /// The process dies when a request's body or target holds this text; empty for never.
    pub dies_on: String,
}

/// What a server saw and did; the truth that tests compare with.
#[derive(Debug, Default, Clone, Serialize, Deserialize)]
pub struct RanReport {
    /// Runs by request id.
    pub runs: BTreeMap<String, u64>,
    /// Runs by path.
    #[serde(default)]
    pub runs_by_path: BTreeMap<String, u64>,
    /// Runs by the caller's idempotency key.
    #[serde(default)]
    pub runs_by_key: BTreeMap<String, u64>,
    /// Most requests at once.
    pub peak_count: u64,
    /// Requests that carried an `authorization` header; must stay 0.
    pub keys_seen_count: u64,
    /// Requests above what it bears.
    #[serde(default)]
    pub overload_count: u64,
    /// Requests that ended early because their caller left.
    #[serde(default)]
    pub cancelled_count: u64,
    /// Requests that ended early because their deadline came.
    #[serde(default)]
    pub late_count: u64,
    /// Bodies shorter than their announced length; must stay 0.
    #[serde(default)]
    pub short_body_count: u64,
}
