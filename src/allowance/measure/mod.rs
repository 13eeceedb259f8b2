//! Measures the allowance on scripted loads under virtual time, beside two simpler ways.
//!
//! The states are those of `serve`; time, messages and the log are in memory, and every run is
//! a function of its seed.

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

/// One way to keep rate and burst over the fleet, at one daemon.
pub trait Policy {
    /// Takes one event and gives what is to be done.
    fn handle(&mut self, now: Instant, event: AllowanceEvent) -> Vec<AllowanceAction>;
    /// When `Tick` is due.
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
