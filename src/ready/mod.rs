//! Answers readiness checks of callers' load balancers, and serves the counters and timings.

pub mod duty;
pub mod state;

pub use state::{ReadyEvent, ReadyState};

#[cfg(test)]
mod tests;
