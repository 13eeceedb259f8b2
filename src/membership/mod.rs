//! Which daemons are there, in which life, and which backend servers stand beside them.

pub mod duty;
pub mod message;
pub mod state;

pub use message::{
    CompareAnswer, CompareRequest, DaemonEntry, Fleet, GossipAnswer, GossipRequest, MembersAnswer,
    MembersRequest, MembershipAction, MembershipEvent, ServerEntry, Summary, FULL_SHARE_PERMILLE,
};

#[cfg(test)]
mod tests;
