//! Measures the allowance under scripted loads and faults, compared with two simpler policies.
//!
//! The states are those that `serve` runs. Time, messages and the log are simulated in memory, and
//! every run is determined by its seed.

pub mod baselines;
pub mod escrow_log;
pub mod fault;
pub mod load;
pub mod network;
pub mod report;
pub mod scenarios;
pub mod score;
pub mod slopes;

use std::time::Instant;

use super::message::{AllowanceAction, AllowanceEvent};
use super::state::AllowanceState;

/// A way to enforce rate and burst over the fleet, as the state of one daemon.
pub trait Policy {
    /// Applies one event and returns the actions that follow from it.
    fn handle(&mut self, now: Instant, event: AllowanceEvent) -> Vec<AllowanceAction>;
    /// Returns when the next `Tick` event is due.
    fn next_at(&self) -> Option<Instant>;
}

impl Policy for AllowanceState {
    fn handle(&mut self, now: Instant, event: AllowanceEvent) -> Vec<AllowanceAction> {
        AllowanceState::handle(self, now, event)
    }

    fn next_at(&self) -> Option<Instant> {
        AllowanceState::next_at(self)
    }
}
