//! Classifies the outcome of a call as evidence about the server that was called.

use super::message::{FailureKind, RequestEnd};
use crate::guard::message::ServerOutcome;
use crate::wire::client::CallError;

/// Lowest HTTP status that counts as a failure of the server.
const FAILURE_STATUS: u16 = 500;

/// Returns the outcome of a call as evidence about the server.
pub fn request_end(outcome: ServerOutcome) -> RequestEnd {
    match outcome {
        ServerOutcome::Answered(status) if status >= FAILURE_STATUS => {
            RequestEnd::Failed(FailureKind::Status)
        }
        ServerOutcome::Answered(_) => RequestEnd::Good,
        ServerOutcome::Died | ServerOutcome::Failed(CallError::Died) => RequestEnd::Died,
        ServerOutcome::Shed => RequestEnd::Failed(FailureKind::Status),
        ServerOutcome::Replaced | ServerOutcome::Abandoned => RequestEnd::Neutral,
        ServerOutcome::Failed(error) => failed_call_end(error),
    }
}

/// Returns the outcome of a call that failed, as evidence about the server.
fn failed_call_end(error: CallError) -> RequestEnd {
    match error {
        CallError::NotSent => RequestEnd::Failed(FailureKind::Connect),
        CallError::Broken | CallError::Died => RequestEnd::Failed(FailureKind::Broken),
        CallError::ShortAnswer => RequestEnd::Failed(FailureKind::ShortAnswer),
        CallError::Late => RequestEnd::TimedOut,
        CallError::Unwritable
        | CallError::ShortBody
        | CallError::AnswerTooLarge
        | CallError::Evicted => RequestEnd::Neutral,
    }
}
