//! Readiness and metrics over HTTP.
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Readiness and metrics over HTTP.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ReadySettings {
    /// Address at which `GET /ready` tells whether callers may come; none serves it nowhere.
    pub address: Option<SocketAddr>,
    /// Address at which `GET /metrics` gives the counters; none serves it nowhere.
    pub metrics_address: Option<SocketAddr>,
}
