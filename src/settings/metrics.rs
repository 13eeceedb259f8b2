//! Counters and timings.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Counters and timings.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MetricsSettings {
    /// Address of a statsd server; none by default.
    pub statsd_address: Option<SocketAddr>,
}
