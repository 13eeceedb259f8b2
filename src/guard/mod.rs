//! The only way to the backend servers on this VM: slots, cold start, queue, drain.

pub mod accept;
pub mod announce;
pub mod duty;
pub mod forward;
pub mod message;
pub mod state;

pub use message::{Announcement, GuardAction, GuardEvent, GuardMessage};

#[cfg(test)]
mod tests;
