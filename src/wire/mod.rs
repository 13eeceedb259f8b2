//! Encodings. Decisions never depend on them.

pub mod client;
pub mod dialect;
pub mod exchange;
pub mod forward;
pub mod hex;
pub mod http;
pub mod listener;
pub mod operator;
pub mod proof;
