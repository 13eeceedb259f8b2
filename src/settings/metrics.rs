//! Settings for the export of counters and timings.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Where counters and timings are sent.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MetricsSettings {
    /// Address of a statsd server; none disables the export.
    pub statsd_address: Option<SocketAddr>,
}
