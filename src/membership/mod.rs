//! Which daemons are there, in which life, and which backend servers stand beside them.

pub mod duty;
pub mod message;
pub mod state;

pub use message::{
    DaemonEntry, Fleet, MembershipAction, MembershipEvent, ServerEntry, FULL_SHARE_PERMILLE,
};

#[cfg(test)]
mod tests;
