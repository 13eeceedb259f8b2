//! Load tool: sends a mix of requests through real sockets and checks every answer.

pub mod duty;
pub mod message;
pub mod report;
pub mod state;
pub mod table;

pub use message::{AnswerVerdict, LoadPlan, LoadRequest};
pub use report::LoadReport;

#[cfg(test)]
mod tests;
