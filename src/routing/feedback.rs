//! What the end of an attempt says about the server and about the way to it.

use std::time::Duration;

use super::message::AttemptOutcome;
use super::paths::PathEnd;
use crate::error::ErrorKind;

/// What an attempt says about a server.
pub(super) enum ServerFeedback {
    Time(Duration),
    Failure,
    Busy(Option<Duration>),
    Closed(Option<Duration>),
    Tripped(Option<Duration>),
    Nothing,
}

pub(super) fn server_feedback(outcome: &AttemptOutcome, elapsed: Duration) -> ServerFeedback {
    match outcome {
        AttemptOutcome::Answered(answer) if answer.status >= FAILURE_STATUS => {
            ServerFeedback::Failure
        }
        AttemptOutcome::Answered(_) => ServerFeedback::Time(elapsed),
        AttemptOutcome::Unknown { by_guard: true, .. } => ServerFeedback::Failure,
        AttemptOutcome::NotRun {
            kind: ErrorKind::Stopping | ErrorKind::NoServer,
            retry_after,
            by_guard: true,
        } => ServerFeedback::Closed(*retry_after),
        AttemptOutcome::NotRun {
            kind: ErrorKind::ServerTripped,
            retry_after,
            by_guard: true,
        } => ServerFeedback::Tripped(*retry_after),
        AttemptOutcome::NotRun {
            kind: ErrorKind::Busy | ErrorKind::DeadlineUnmeetable,
            retry_after,
            by_guard: true,
        } => ServerFeedback::Busy(*retry_after),
        _ => ServerFeedback::Nothing,
    }
}

/// Lowest status that counts as a failure of the server.
const FAILURE_STATUS: u16 = 500;

/// How the attempt fared on its way; none where it was not sent for a reason of the entry's own.
pub(super) fn path_end(outcome: &AttemptOutcome) -> Option<PathEnd> {
    match outcome {
        AttemptOutcome::Answered(_) => Some(PathEnd::Answered),
        AttemptOutcome::NotRun { by_guard: true, .. } => Some(PathEnd::Answered),
        AttemptOutcome::Unknown { by_guard: true, .. } => Some(PathEnd::Answered),
        AttemptOutcome::NotRun {
            kind: ErrorKind::NoServer,
            ..
        } => Some(PathEnd::NoConnection),
        AttemptOutcome::NotRun { .. } => None,
        AttemptOutcome::Unknown {
            kind: ErrorKind::AnswerTooLarge,
            ..
        } => Some(PathEnd::Answered),
        AttemptOutcome::Unknown { .. } => Some(PathEnd::Lost),
    }
}
