//! Orders, steps and records of roll-outs, and the messages that daemons exchange about them.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::health::ServerSummary;
use crate::types::{Offset, ServiceId, SoftwareVersion};

/// An operator's order to move a service to the servers of a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutOrder {
    /// The service that is moved.
    pub service: ServiceId,
    /// The version that is to serve it.
    pub target_version: SoftwareVersion,
    /// Time from the order within which the move is to be completed, in milliseconds.
    pub duration_ms: u64,
    /// Offset of the order's record, which tells it from an earlier order of the same version.
    pub order: Offset,
}

/// Step of a roll-out at one server, as its guard applies it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, Hash)]
#[serde(rename_all = "snake_case")]
pub enum RolloutStep {
    /// No roll-out concerns the server.
    #[default]
    None,
    /// The server's version is under trial: entries bound the share of requests that it gets.
    Trial,
    /// The server's version has passed the trial and takes every request.
    Full,
    /// The server takes nothing: its version is being replaced, or was rolled back.
    Closed,
}

impl RolloutStep {
    /// Returns whether no roll-out concerns the server.
    pub fn is_none(&self) -> bool {
        *self == RolloutStep::None
    }

    /// Returns the name of the step in records and logs.
    pub fn name(self) -> &'static str {
        match self {
            RolloutStep::None => "none",
            RolloutStep::Trial => "trial",
            RolloutStep::Full => "full",
            RolloutStep::Closed => "closed",
        }
    }

    /// Returns whether a server takes its whole share of requests, so that it counts for the floor
    /// of its service.
    pub fn counts_for_floor(self) -> bool {
        matches!(self, RolloutStep::None | RolloutStep::Full)
    }

    /// Returns the number of the step in messages between daemons.
    pub fn number(self) -> u8 {
        match self {
            RolloutStep::None => 0,
            RolloutStep::Trial => 1,
            RolloutStep::Full => 2,
            RolloutStep::Closed => 3,
        }
    }

    /// Returns the step with this number. A server with an unknown step takes nothing.
    pub fn from_number(number: u8) -> RolloutStep {
        match number {
            0 => RolloutStep::None,
            1 => RolloutStep::Trial,
            2 => RolloutStep::Full,
            _ => RolloutStep::Closed,
        }
    }
}

/// What a guard does with its servers of one service during a roll-out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutRule {
    /// The service that is moved.
    pub service: ServiceId,
    /// The version that is rolled out.
    pub target_version: SoftwareVersion,
    /// Step of the servers of that version.
    pub target_step: RolloutStep,
    /// Step of the servers of all other versions; `None` or `Closed`.
    pub other_step: RolloutStep,
    /// When servers under trial close unless the rule is renewed; `None` for never.
    pub holds_until: Option<Instant>,
}

/// Tells a daemon the step of a roll-out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutCall {
    /// The service that is moved.
    pub service: ServiceId,
    /// The version that is rolled out.
    pub target_version: SoftwareVersion,
    /// Offset of the order.
    pub order: Offset,
    /// Step of the called daemon's server of the service, whichever its version.
    pub step: RolloutStep,
    /// For how long a trial goes on without another call, counted from when the call arrives. A
    /// closed server stays closed for good if this is zero: its version was rolled back.
    pub holds_for: Duration,
}

/// A daemon's answer to a `RolloutCall`.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RolloutReport {
    /// What its servers of the service answered since the order: in `long` the requests that ended,
    /// in `recent` those that run, by their age.
    pub servers: Vec<ServerSummary>,
    /// Requests that run or wait at them.
    pub open_count: u32,
    /// Step that its guard applies to them.
    pub step: RolloutStep,
}

/// State of a roll-out as operators see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RolloutState {
    /// The version is under trial, or is taking over.
    Running,
    /// The version serves all requests; the servers of other versions may stop.
    Completed,
    /// The version gets no requests; its servers may stop.
    RolledBack,
}

impl RolloutState {
    /// Returns the name of the state in logs.
    pub fn name(self) -> &'static str {
        match self {
            RolloutState::Running => "running",
            RolloutState::Completed => "completed",
            RolloutState::RolledBack => "rolled_back",
        }
    }
}

/// Record of a roll-out on the platform.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RolloutStatus {
    /// The service that is moved.
    pub service: ServiceId,
    /// The version that is rolled out.
    pub target_version: SoftwareVersion,
    /// State that operators see. Never leaves `Completed` or `RolledBack` for the same order.
    pub state: RolloutState,
    /// Offset of the order; 0 in a record that names none.
    pub order: Offset,
    /// Step of the target version's servers, from which another daemon goes on.
    pub step: RolloutStep,
    /// Time since the order when the status was written, in milliseconds; at least as much has
    /// passed when it is read.
    pub age_ms: u64,
    /// Why the roll-out is in this state, for operators; empty if there is nothing to say.
    pub reason: String,
}

/// The status of one service, and where the stream of statuses ended when it was read.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct StatusPage {
    /// The status; none if nothing was written about the service.
    pub status: Option<RolloutStatus>,
    /// Offset after the last record, which a conditional write names.
    pub end: Offset,
}

/// How a conditional write ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConditionalWrite {
    /// The record was written.
    Written,
    /// Another record was written before; nothing was done.
    Changed,
}

impl ConditionalWrite {
    /// Returns the name in logs.
    pub fn name(self) -> &'static str {
        match self {
            ConditionalWrite::Written => "written",
            ConditionalWrite::Changed => "changed",
        }
    }
}
