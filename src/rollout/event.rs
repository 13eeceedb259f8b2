//! Events and actions of the roll-out duty, and messages to its thread.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use super::message::{
    ConditionalWrite, RolloutCall, RolloutOrder, RolloutReport, RolloutRule, RolloutStatus,
    StatusPage,
};
use crate::feed::FeedError;
use crate::guard::message::AttemptKey;
use crate::health::{RequestEnd, StartedRequest};
use crate::link::PeerReply;
use crate::membership::{Fleet, ServerEntry};
use crate::types::{DaemonId, DomainId, Offset, ServiceId};

/// Identifies a peer's call until it is answered.
pub type CallId = u64;

/// Input of `Rollouts::handle`.
#[derive(Debug, Clone)]
pub enum RolloutEvent {
    /// Another view of the configuration is in force.
    Orders {
        /// All orders of the view.
        orders: Vec<Arc<RolloutOrder>>,
        /// Services of these orders that the configuration does not have.
        unknown_services: Vec<ServiceId>,
        /// Failure domains that are out of service.
        domains_out: BTreeSet<DomainId>,
    },
    /// The snapshot of the fleet changed.
    Fleet(Arc<Fleet>),
    /// The backend servers on this VM changed; holds all of them.
    Servers(Vec<ServerEntry>),
    /// A request started at a backend server on this VM.
    Started(StartedRequest),
    /// A request at a backend server on this VM ended.
    Finished {
        /// Key of the attempt that was reported as started.
        key: AttemptKey,
        /// How the request ended.
        end: RequestEnd,
        /// Time that the server took.
        elapsed: Duration,
    },
    /// The driver of a roll-out told the step of the server on this VM.
    Called {
        /// The call, under which it is answered.
        id: CallId,
        /// Content of the call.
        call: RolloutCall,
    },
    /// A call of this daemon, as the driver, ended.
    CallEnded {
        /// The service of the call.
        service: ServiceId,
        /// The daemon that was called.
        from: DaemonId,
        /// Its answer; `None` if the call failed.
        report: Option<RolloutReport>,
    },
    /// A status was read from the store, or the read failed.
    StatusRead {
        /// The service whose status was read.
        service: ServiceId,
        /// The status and the end of its stream.
        result: Result<StatusPage, FeedError>,
    },
    /// A write of a status ended.
    StatusWritten {
        /// The service of the status.
        service: ServiceId,
        /// Whether it was written. After an error it may be written still.
        result: Result<ConditionalWrite, FeedError>,
    },
    /// The time that `Rollouts::next_tick_at` returned has come.
    Tick,
}

/// Output of `Rollouts::handle`, which the thread carries out.
#[derive(Debug, Clone, PartialEq)]
pub enum RolloutAction {
    /// Tells the guard what to do with its servers of a service.
    Apply(RolloutRule),
    /// Tells the guard that no roll-out concerns the service.
    End(ServiceId),
    /// Calls a daemon; `RolloutEvent::CallEnded` follows.
    Call {
        /// The daemon to be called.
        to: DaemonId,
        /// Content of the call.
        call: RolloutCall,
    },
    /// Answers a call of the driver.
    Answer {
        /// The call that is answered.
        id: CallId,
        /// The answer; `None` refuses the call.
        report: Option<RolloutReport>,
    },
    /// Reads the status of a service; `RolloutEvent::StatusRead` follows.
    Read(ServiceId),
    /// Writes a status on the condition that its stream still ends at `end`;
    /// `RolloutEvent::StatusWritten` follows.
    Write {
        /// The status to be written.
        status: RolloutStatus,
        /// Offset after the last record when the stream was read.
        end: Offset,
    },
    /// Logs a step of a roll-out with the evidence for it.
    Log(StepRecord),
    /// Increments the counter of this name.
    Count(&'static str),
}

/// A step of a roll-out, as the log shows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StepRecord {
    /// The order, with service and version.
    pub order: Arc<RolloutOrder>,
    /// Name of the step.
    pub step: &'static str,
    /// Time since the order.
    pub age: Duration,
    /// Why the step was taken, with the evidence.
    pub reason: String,
}

/// Message to the roll-out thread.
pub enum RolloutMessage {
    /// The driver of a roll-out calls.
    Called {
        /// Content of the call.
        call: RolloutCall,
        /// Callback that sends the answer.
        reply: PeerReply,
    },
    /// Any other event, which the state handles.
    Event(RolloutEvent),
    /// Ends the roll-out thread.
    Stop,
}
