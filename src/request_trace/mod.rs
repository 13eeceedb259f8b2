//! Tells the trace of one request from the logs of many daemons.
//!
//! Clocks of daemons differ, so lines are put in order by cause: what an entry logged stands in the
//! entry's own order, and what a guard logged of an attempt stands between the sending of that
//! attempt and its end.

pub mod line;
pub mod order;
pub mod text;

pub use line::{read_line, LogLine};
pub use order::{request_traces, RequestTrace};

#[cfg(test)]
mod tests;
