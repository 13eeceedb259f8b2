//! Detects backend servers on this VM that fail partly, are slow or do not answer, and ejects them
//! while the floor of their service permits it.
//!
//! The requests of each server are compared with those of the other servers of its service. An
//! ejected server returns by probes and growing shares of its requests.

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

/// Receives the starts and outcomes of requests at the backend servers on this VM.
pub trait OutcomeObserver: Send {
    /// Reports that a request started at a server.
    fn request_started(&self, request: StartedRequest);
    /// Reports how a request ended, and the time that the server took.
    fn request_finished(&self, key: AttemptKey, end: RequestEnd, elapsed: Duration);
    /// Reports all servers on this VM, after a change of any of them.
    fn servers_changed(&self, servers: &[ServerEntry]);
}

#[cfg(test)]
mod tests;
