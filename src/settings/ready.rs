//! Settings of the HTTP endpoints for readiness and metrics.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Addresses of the endpoints for readiness and metrics; each is off unless it is set.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ReadySettings {
    /// Address that serves `GET /ready`, which says whether callers may send requests; none
    /// disables it.
    pub address: Option<SocketAddr>,
    /// Address that serves the counters at `GET /metrics`; none disables it.
    pub metrics_address: Option<SocketAddr>,
}
