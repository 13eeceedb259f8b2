//! Moves a service to another version of its software, or back before the version does harm.
//!
//! An operator orders a version while servers of it run beside those of the present version. The
//! guards of both give work by the step that they are told.

pub mod course;
pub mod driver;
pub mod duty;
pub mod event;
pub mod evidence;
pub mod judgement;
pub mod local;
pub mod members;
pub mod message;
pub mod plan;
pub mod record;
pub mod state;

pub use event::{RolloutAction, RolloutEvent, RolloutMessage};
pub use message::{
    ConditionalWrite, RolloutCall, RolloutOrder, RolloutReport, RolloutRule, RolloutState,
    RolloutStatus, RolloutStep, StatusPage,
};
pub use state::Rollouts;

use crate::feed::FeedError;
use crate::types::{Offset, ServiceId};

/// Access to the records in which operators follow roll-outs.
pub trait RolloutStore: Send {
    /// Reads the status of a service's roll-out.
    fn read(&mut self, service: &ServiceId) -> Result<StatusPage, FeedError>;

    /// Writes a status if nothing was written since the page that ended at `end`. After an error it
    /// may be written still, as long as that holds.
    fn write(&mut self, status: &RolloutStatus, end: Offset)
        -> Result<ConditionalWrite, FeedError>;
}

#[cfg(test)]
mod tests;
