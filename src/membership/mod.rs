//! Keeps track of the fleet: which daemons are members, in which incarnation, and which backend
//! servers run on their VMs.
//!
//! Daemons exchange news by gossip with a few partners, repair gaps by comparing digests, and
//! detect failed daemons by probes from several peers. The platform's log carries descriptions too.

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

pub use digest::tree_position;
pub use message::{
    CallTarget, CompareAnswer, CompareRequest, DaemonEntry, DaemonRecord, Delta, Fleet, Gossip,
    IncarnationRaised, MembersAnswer, MembersRequest, MembershipAction, MembershipCall,
    MembershipEvent, NewsSource, ServerDeparture, ServerEntry, Summary, Ticket,
    FULL_SHARE_PERMILLE,
};

#[cfg(test)]
mod tests;
