//! Derives from the end of an attempt what it says about the server and about the path to it.

use std::time::Duration;

use super::message::AttemptOutcome;
use super::paths::PathEnd;
use crate::error::ErrorKind;

/// What the end of an attempt says about its server. The durations of `Busy`, `Closed` and
/// `Tripped` are when the guard said to try again.
pub(super) enum ServerFeedback {
    /// The server answered after this time.
    Time(Duration),
    /// The server answered with a failure, or failed while it ran the request.
    Failure,
    /// The guard refused the request because the server had no room for it.
    Busy(Option<Duration>),
    /// The guard takes no requests for the server.
    Closed(Option<Duration>),
    /// The breaker of the guard is open.
    Tripped(Option<Duration>),
    /// The outcome does not depend on the server.
    Nothing,
}

/// Returns what the end of an attempt says about its server.
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

/// Lowest HTTP status that counts as a failure of the server.
const FAILURE_STATUS: u16 = 500;

/// Returns how the attempt ended on the path to its guard; none if this entry itself did not send
/// it.
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
            kind: ErrorKind::AnswerTooLarge | ErrorKind::AnswerDropped,
            ..
        } => Some(PathEnd::Answered),
        AttemptOutcome::Unknown { .. } => Some(PathEnd::Lost),
    }
}
