//! The resources that the duties of one daemon share.

use std::sync::Arc;

use crate::audit::{AuditEvent, AuditSink};
use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::ring::RingSender;
use crate::settings::Settings;
use crate::types::Incarnation;
use crate::wire::client::Caller;
use crate::wire::dialect::Dialect;
use crate::wire::proof::FleetKey;

/// Settings, keys, clock and sinks that the start functions pass on to the duties.
pub(super) struct SharedResources {
    /// Settings that the daemon starts with.
    pub(super) settings: Settings,
    /// Key that authenticates daemons of the fleet to each other.
    pub(super) key: FleetKey,
    /// Clock of all duties.
    pub(super) clock: Arc<dyn Clock>,
    /// Counters and timings of the daemon.
    pub(super) metrics: Metrics,
    /// Sink of decisions for the audit trail.
    pub(super) audit: Arc<dyn AuditSink>,
    /// Ring of the audit duty.
    pub(super) audit_events: RingSender<AuditEvent>,
    /// HTTP dialect that callers and backend servers use.
    pub(super) dialect: Arc<dyn Dialect>,
    /// Makes the calls to guards and backend servers. Their answers share a memory budget.
    pub(super) caller: Arc<dyn Caller>,
    /// Incarnation that the daemon starts with. If membership raises it, snapshots of the fleet carry
    /// the later one.
    pub(super) incarnation: Incarnation,
}
