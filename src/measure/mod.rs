//! Measures the policy under load and faults, in a discrete-event simulation.
//!
//! The states of routing, guard and health are those that run in `serve`. Servers, links, the
//! spread of descriptions, ejection permits and the organisations' tokens are exact, central fakes
//! behind the same interfaces; their delays are constants in `simulation`.

mod callers;
pub mod deployment;
mod detection;
pub mod event_queue;
mod guards;
pub mod memory;
pub mod node;
pub mod permits;
pub mod policy;
pub mod report;
pub mod round_robin;
pub mod runs;
pub mod server;
pub mod simulation;
pub mod table;
pub mod tally;
pub mod traffic;

#[cfg(test)]
mod reset_spells;
#[cfg(test)]
mod tests;
