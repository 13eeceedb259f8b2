//! Whether an answer is the one that its call waits for.

use crate::wire::exchange::WholeAnswer;

/// What an answer is to the call that waits for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerMatch {
    /// It answers the call.
    Own,
    /// It refuses the call. The receiver may write it once more on the same connection.
    Refusal,
    /// It belongs to another call, or may.
    Foreign,
}

/// Tells a call's own answer from others that come on the same connection.
pub trait AnswerCheck: Send {
    /// What the receiver repeats in its answers to the call. A call without it is made on a new
    /// connection.
    fn id(&self) -> Option<&str>;

    /// What an answer is. `first` says that the connection has carried no other call.
    fn answer_match(&self, answer: &WholeAnswer, first: bool) -> AnswerMatch;
}
