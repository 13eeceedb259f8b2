//! HTTP, JSON and header encodings, with the HTTP client and listener. Modules that make decisions
//! do not depend on the encodings.

pub mod client;
pub mod dialect;
pub mod exchange;
pub mod forward;
pub mod hex;
pub mod http;
pub mod listener;
pub mod memory_budget;
pub mod operator;
pub mod proof;
