//! Measures the policy under load and faults, under virtual time.
//!
//! The states of routing, guard and health are those that run in `serve`. Servers, links, the
//! spread of descriptions, ejection permits and the organisations' tokens are fakes at their
//! interfaces: exact, in one place, with the delays named in `world`.

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
mod tests;
