//! Notices callers that hang up while their request runs.
//!
//! The HTTP library hides its sockets, so the connections are looked up in the kernel's table,
//! and only while a request has been open for some time.

pub mod duty;
pub mod state;
pub mod table;

#[cfg(test)]
mod tests;
