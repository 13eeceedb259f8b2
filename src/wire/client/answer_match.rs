//! Decides whether an answer belongs to the call that waits for it.

use crate::wire::exchange::WholeAnswer;

/// How an answer relates to the call that waits for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerMatch {
    /// The answer belongs to the call.
    Own,
    /// The answer refuses the call. The server may send it a second time on the same connection.
    Refusal,
    /// The answer belongs to another call, or may belong to one.
    Foreign,
}

/// Distinguishes a call's own answer from those to other calls on the same connection.
pub trait AnswerCheck: Send {
    /// Returns the id that the server repeats in its answers to the call. A call without one is
    /// sent on a new connection.
    fn id(&self) -> Option<&str>;

    /// Returns how an answer relates to the call. `first` says that the connection has carried no
    /// other call.
    fn answer_match(&self, answer: &WholeAnswer, first: bool) -> AnswerMatch;
}
