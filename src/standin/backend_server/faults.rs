//! Faults that a stand-in server can have, and its report of what it ran.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Faults of the stand-in server; the default has none.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServerFaults {
    /// Answers every n-th request with status 500; 0 for none.
    pub error_every_count: u64,
    /// Time added to the work of each request, in milliseconds.
    pub slow_ms: u64,
    /// Adds `slow_ms` to every n-th request only; 0 for all requests.
    pub slow_every_count: u64,
    /// Whether it accepts requests and never answers them.
    pub silent: bool,
    /// Whether it announces that it is cold.
    pub cold: bool,
    /// Whether it announces that it accepts no new work.
    pub draining: bool,
    /// Whether it stops announcing itself.
    pub unannounced: bool,
    /// Answers each request above this many at a time with status 503; 0 for no limit.
    pub bears_count: u64,
    /// Runs the request and closes the connection before every n-th answer; 0 for none.
    pub lost_answer_every_count: u64,
    /// Truncates every n-th answer; 0 for none.
    pub short_answer_every_count: u64,
    /// Truncates each of these answers one byte later than the one before, from the head's first
    /// byte on.
    pub cuts_heads: bool,
    /// Puts another request's id into every n-th answer; 0 for none.
    pub wrong_id_every_count: u64,
    /// Exits the process when a request's body or target contains this text; empty for never.
    pub dies_on: String,
}

/// What a stand-in server received and ran, as the reference that tests compare with.
#[derive(Debug, Default, Clone, Serialize, Deserialize)]
pub struct RanReport {
    /// Number of runs by request id.
    pub runs: BTreeMap<String, u64>,
    /// Number of runs by request target.
    #[serde(default)]
    pub runs_by_path: BTreeMap<String, u64>,
    /// Number of runs by the caller's idempotency key.
    #[serde(default)]
    pub runs_by_key: BTreeMap<String, u64>,
    /// Largest number of requests that ran at once.
    pub peak_count: u64,
    /// Number of requests that carried an `authorization` header; must stay 0.
    pub keys_seen_count: u64,
    /// Number of requests above `ServerFaults::bears_count` at a time.
    #[serde(default)]
    pub overload_count: u64,
    /// Number of requests that ended early because their caller left.
    #[serde(default)]
    pub cancelled_count: u64,
    /// Number of requests that ended early because their deadline passed.
    #[serde(default)]
    pub late_count: u64,
    /// Number of bodies shorter than their announced length; must stay 0.
    #[serde(default)]
    pub short_body_count: u64,
}
