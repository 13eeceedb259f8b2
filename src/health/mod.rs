//! Finds backend servers that fail partly, slowly or silently, and takes them out of service
//! while the floor of their service permits it.

pub mod baseline;
pub mod detector;
pub mod duty;
mod ejection;
pub mod ejection_state;
pub mod evidence;
pub mod fixed;
pub mod histogram;
pub mod message;
pub mod peers;
pub mod running;
pub mod sequential;
pub mod shift;
pub mod state;
pub mod watch;
pub mod window;

pub use duty::{HealthMessage, PermitRequester, SummarySource};
pub use evidence::request_end;
pub use message::{
    FailureKind, HealthAction, HealthDecision, HealthEvent, HealthVerdict, RequestEnd, RouteCounts,
    RouteSummary, ServerSummary, StartedRequest,
};

use std::time::Duration;

use crate::guard::message::AttemptKey;
use crate::membership::ServerEntry;

/// Learns what requests meet at the backend servers beside this daemon.
pub trait OutcomeObserver: Send {
    /// A request started.
    fn request_started(&self, request: StartedRequest);
    /// A request ended.
    fn request_finished(&self, key: AttemptKey, end: RequestEnd, elapsed: Duration);
    /// The servers changed.
    fn servers_changed(&self, servers: &[ServerEntry]);
}

#[cfg(test)]
mod tests;
