//! Finds backend servers that fail partly, slowly or silently, and takes them out of service
//! while the floor of their service permits it.

pub mod message;

pub use message::{
    FailureKind, HealthAction, HealthDecision, HealthEvent, RequestEnd, RouteCounts, RouteSummary,
    ServerSummary, StartedRequest, Verdict,
};
