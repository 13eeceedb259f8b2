//! What the parts of one daemon share.

use std::sync::Arc;

use crate::audit::{AuditEvent, AuditSink};
use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::ring::RingSender;
use crate::settings::Settings;
use crate::types::Incarnation;
use crate::wire::dialect::Dialect;
use crate::wire::proof::FleetKey;

/// What the parts of one daemon share.
pub(super) struct SharedResources {
    pub(super) settings: Settings,
    pub(super) key: FleetKey,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) metrics: Metrics,
    /// Trail of decisions.
    pub(super) audit: Arc<dyn AuditSink>,
    /// The ring of the audit duty.
    pub(super) audit_events: RingSender<AuditEvent>,
    /// How callers and backend servers are spoken to.
    pub(super) dialect: Arc<dyn Dialect>,
    /// The life that the daemon begins with. A later one comes with snapshots of the fleet.
    pub(super) incarnation: Incarnation,
}
