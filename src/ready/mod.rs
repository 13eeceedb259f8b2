//! Tells callers' balancers whether to come, and gives the counters.

pub mod duty;
pub mod state;

pub use state::{ReadyEvent, ReadyState};

#[cfg(test)]
mod tests;
