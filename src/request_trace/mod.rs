//! Reconstructs the trace of one request from the logs of many daemons.
//!
//! The clocks of daemons differ, so lines are ordered by cause and not by time. The lines of the
//! entry daemon keep their own order. The lines that a guard logged about an attempt come after the
//! line about the sending of this attempt and before the lines about its end.

pub mod line;
pub mod order;
pub mod text;

pub use line::{read_line, LogLine};
pub use order::{request_traces, RequestTrace};

#[cfg(test)]
mod tests;
