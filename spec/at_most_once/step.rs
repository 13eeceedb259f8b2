//! Steps of the world and messages in its network.

use banyanbeam::error::ErrorKind;
use banyanbeam::link::FenceAnswer;
use banyanbeam::types::RequestId;

/// Stands for the sender of a stray copy.
pub const STRAY: usize = usize::MAX;

/// What callers do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    /// Each entry has a request of its own.
    TwoRequests,
    /// The second entry gets the first one's request again under the same key.
    SentAgain,
}

/// One step of the world.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Step {
    /// A caller sends its request to an entry.
    Send(usize),
    /// A message arrives.
    Deliver(Message),
    /// An attempt arrives, and a copy of it stays in the network.
    Repeat(Message),
    /// An entry gives up on an attempt, whose messages may still arrive.
    GiveUp(usize, RequestId, u32),
    /// An entry hears nothing of a fence or claim.
    NoWord(usize, Message),
    /// A server ends a request.
    EndRun(usize, RequestId, u32),
    /// A daemon dies and begins its next life.
    Restart(usize),
    /// A daemon goes on under a greater number.
    Raise(usize),
    /// An entry learns of the present lives.
    Learn(usize),
}

/// A message in the network.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    Attempt {
        entry: usize,
        guard: usize,
        life: u64,
        request: RequestId,
        attempt: u32,
    },
    Answer {
        entry: usize,
        request: RequestId,
        attempt: u32,
        kind: Option<ErrorKind>,
    },
    Fence {
        entry: usize,
        guard: usize,
        life: u64,
        request: RequestId,
        attempt: u32,
    },
    Fenced {
        entry: usize,
        request: RequestId,
        attempt: u32,
        answer: String,
    },
    Claim {
        entry: usize,
        home: usize,
        request: RequestId,
        release: bool,
    },
    Claimed {
        entry: usize,
        request: RequestId,
        granted: bool,
        taken: bool,
    },
}

/// A copy of an attempt. Its answer comes on a connection that nobody holds.
pub fn stray(message: &Message) -> Message {
    match message.clone() {
        Message::Attempt {
            guard,
            life,
            request,
            attempt,
            ..
        } => Message::Attempt {
            entry: STRAY,
            guard,
            life,
            request,
            attempt,
        },
        other => other,
    }
}

pub fn index_of(daemon: &str) -> usize {
    daemon[1..].parse().expect("a daemon is named by its index")
}

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
