//! The guard admits every request to the backend servers on this VM: it keeps their slots, limits
//! them while they are cold, queues requests fairly, and drains them.

pub mod accept;
pub mod announce;
pub mod breaker;
pub mod cancel;
pub mod cold;
mod contradiction;
mod deaths;
mod departures;
mod disconnects;
mod drain;
pub mod duty;
pub mod forward;
mod inquiry;
pub mod load;
mod log;
pub mod message;
mod outbound;
pub mod poison;
pub mod queue;
mod registration;
pub mod retries;
mod revoke;
mod rollout;
mod run_limit;
mod server;
pub mod start_rate;
pub mod started;
pub mod state;
pub mod times;
mod view_report;
mod waits;
mod warmth;

pub use message::{Announcement, AttemptKey, GuardAction, GuardEvent, GuardMessage};

#[cfg(test)]
mod tests;
