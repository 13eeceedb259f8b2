//! Encodings. Decisions never depend on them.

pub mod call;
pub mod deadline;
pub mod exchange;
pub mod forward;
pub mod hex;
pub mod http;
pub mod listener;
pub mod operator;
pub mod proof;
