//! Broken rules that the model must find.

/// One broken rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// All rules hold.
    None,
    /// An entry that lost a guard goes elsewhere without its word.
    RetryWithoutFence,
    /// A guard calls a request fenced that it has started.
    FenceLies,
    /// A guard answers a fence that was meant for an earlier life.
    FenceIgnoresLife,
    /// A guard takes a request that was meant for an earlier life.
    RequestIgnoresLife,
    /// A guard that goes on under a greater number forgets what it started under the last one.
    RaiseForgets,
    /// A home that restarted grants keys that were issued before.
    HomeForgets,
    /// A key is given back although its request may have run.
    KeyGivenBack,
    /// An entry takes a home without an answer for one that granted.
    StartWithoutClaim,
}
