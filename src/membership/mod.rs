//! Which daemons are there, in which life, and which backend servers stand beside them.

pub mod bounds;
pub mod duty;
pub mod measure;
pub mod message;
pub mod state;
pub mod virtual_fleet;

mod budget;
mod compare;
mod delta;
mod digest;
mod full_sync;
mod gossip;
mod members;
mod merge;
mod own_incarnation;
mod partners;
mod rumours;
mod suspicion;

pub use message::{
    CallTarget, CompareAnswer, CompareRequest, DaemonEntry, Delta, Fleet, Gossip,
    IncarnationRaised, MembersAnswer, MembersRequest, MembershipAction, MembershipCall,
    MembershipEvent, NewsSource, ServerEntry, Summary, Ticket, FULL_SHARE_PERMILLE,
};

#[cfg(test)]
mod tests;
