//! Rules that are broken on purpose, each of which the model must catch.

/// A rule of the protocol that is broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// No rule is broken.
    None,
    /// An entry that lost a guard sends the request elsewhere without an answer to its fence.
    RetryWithoutFence,
    /// A guard reports a request as fenced although it has started it.
    FenceLies,
    /// A guard answers a fence that was meant for an earlier incarnation.
    FenceIgnoresIncarnation,
    /// A guard accepts a request that was meant for an earlier incarnation.
    RequestIgnoresIncarnation,
    /// A guard forgets what it started when its incarnation is raised.
    RaiseForgets,
    /// A home that restarted grants keys that were issued before its restart.
    HomeForgets,
    /// A key is released although its request may have run.
    KeyReleasedEarly,
    /// An entry treats a home that does not answer as one that granted the key.
    StartWithoutClaim,
}
