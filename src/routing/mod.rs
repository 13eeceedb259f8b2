//! Chooses a backend server for each request, and decides on retries.
//!
//! Routing runs at the entry, the daemon that took the request from its caller. It sends each
//! attempt to a guard: the part of the daemon on the chosen server's VM that queues requests and
//! passes them to the server.

mod admission;
mod at_most_once;
mod attempted;
pub mod budget;
pub mod candidates;
pub mod choice;
mod disconnects;
pub mod duty;
pub mod exposure;
mod feedback;
pub mod fingerprint;
mod finish;
pub mod forward;
pub mod least_loaded;
mod limits;
mod log;
pub mod measure;
pub mod message;
mod origin;
mod own_repeats;
mod parked;
pub mod paths;
mod peer_calls;
mod pick_criteria;
pub mod speed;
pub mod state;
pub(crate) mod stop;

pub use message::{
    AttemptOutcome, Outcome, RequestPlan, RoutingAction, RoutingEvent, RoutingMessage, Target,
};

#[cfg(test)]
mod tests;
