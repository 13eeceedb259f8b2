//! Chooses a backend server for each request, and decides on retries.

mod at_most_once;
mod attempted;
pub mod budget;
pub mod candidates;
pub mod choice;
pub mod duty;
mod feedback;
pub mod fingerprint;
mod finish;
pub mod forward;
pub mod least_loaded;
mod limits;
mod log;
pub mod measure;
pub mod message;
mod own_repeats;
mod parked;
pub mod paths;
mod pick_criteria;
pub mod speed;
pub mod state;

pub use message::{
    AttemptOutcome, Outcome, RequestPlan, RoutingAction, RoutingEvent, RoutingMessage, Target,
};

#[cfg(test)]
mod tests;
