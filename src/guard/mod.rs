//! The only way to the backend servers on this VM: slots, cold start, queue, drain.

pub mod accept;
pub mod announce;
mod announced;
pub mod breaker;
pub mod cancel;
pub mod cold;
mod deaths;
mod departures;
mod drain;
pub mod duty;
pub mod forward;
mod inquiry;
mod log;
pub mod message;
mod others;
pub mod poison;
pub mod queue;
pub mod retries;
mod server;
pub mod start_rate;
pub mod started;
pub mod state;
pub mod times;
mod warmth;
mod withdraw;

pub use message::{Announcement, AttemptKey, GuardAction, GuardEvent, GuardMessage};

#[cfg(test)]
mod tests;
