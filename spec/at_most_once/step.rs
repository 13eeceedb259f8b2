//! Steps of the model, and messages in its network.

use banyanbeam::error::ErrorKind;
use banyanbeam::link::FenceAnswer;
use banyanbeam::types::RequestId;

/// Entry index of the sender of a stray copy, which matches no entry.
pub const STRAY_ENTRY: usize = usize::MAX;

/// The requests that callers send to the two entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    /// Each entry gets a request of its own, without a key.
    TwoRequests,
    /// Both entries get requests under one idempotency key, as if a caller sent its request again.
    SentAgain,
}

/// One step of the model. Entries, guards and daemons are given by index.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Step {
    /// A caller sends its request to an entry.
    Send(usize),
    /// A message arrives at its recipient.
    Deliver(Message),
    /// An attempt arrives, and a stray copy of it stays in the network.
    Duplicate(Message),
    /// An entry gives up on an attempt; messages of the attempt may still arrive.
    GiveUp(usize, RequestId, u32),
    /// An entry gets no answer to a fence or claim.
    NoAnswer(usize, Message),
    /// A server finishes an attempt.
    EndRun(usize, RequestId, u32),
    /// A daemon crashes and starts again under its next incarnation.
    Restart(usize),
    /// A daemon raises its incarnation.
    RaiseIncarnation(usize),
    /// An entry learns the present incarnations.
    LearnFleet(usize),
}

/// A message in the network. Entries, guards and homes are given by index.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    /// An attempt of a request, from an entry to a guard.
    Attempt {
        entry: usize,
        guard: usize,
        incarnation: u64,
        request: RequestId,
        attempt: u32,
    },
    /// The answer to an attempt; `kind` is `None` if the server answered.
    Answer {
        entry: usize,
        request: RequestId,
        attempt: u32,
        kind: Option<ErrorKind>,
    },
    /// A request to a guard not to start an attempt any more.
    Fence {
        entry: usize,
        guard: usize,
        incarnation: u64,
        request: RequestId,
        attempt: u32,
    },
    /// A guard's answer to a fence, by the name of its variant.
    Fenced {
        entry: usize,
        request: RequestId,
        attempt: u32,
        answer: String,
    },
    /// A claim or a release of an idempotency key.
    Claim {
        entry: usize,
        home: usize,
        request: RequestId,
        release: bool,
    },
    /// A home's answer to a claim.
    Claimed {
        entry: usize,
        request: RequestId,
        granted: bool,
        taken: bool,
    },
}

/// Returns a copy of an attempt whose answer reaches no entry, because its connection is closed.
pub fn stray_copy(message: &Message) -> Message {
    match message.clone() {
        Message::Attempt {
            guard,
            incarnation,
            request,
            attempt,
            ..
        } => Message::Attempt {
            entry: STRAY_ENTRY,
            guard,
            incarnation,
            request,
            attempt,
        },
        other => other,
    }
}

/// Returns the index of a daemon from its name.
pub fn index_of(daemon: &str) -> usize {
    daemon[1..].parse().expect("a daemon is named by its index")
}

/// Returns the answer with this variant name.
pub fn fence_answer(text: &str) -> FenceAnswer {
    let answers = [
        FenceAnswer::Fenced,
        FenceAnswer::Running,
        FenceAnswer::Ended,
        FenceAnswer::Unknown,
    ];
    let found = answers
        .into_iter()
        .find(|answer| format!("{answer:?}") == text);
    found.expect("an answer was written by its name")
}
