//! Rules broken on purpose.

/// One broken rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// A promise counts from when its answer arrives, not from when it was asked for.
    PromiseFromArrival,
    /// A custodian goes on promising after it decided to reclaim.
    PromiseAfterDecision,
    /// A new holder starts before loans have lapsed.
    NoWaitForLoans,
    /// No allowance is made for clocks that drift apart.
    NoMargin,
    /// A custodian reclaims while its promise runs.
    NoWaitForPromises,
    /// A holder counts promises of the custodian that it has sent a record to replace.
    CountOldCustodian,
    /// A custodian may reclaim as soon as it reads that it was named.
    NewCustodianDoesNotWait,
    /// Replay lets a former custodian reclaim.
    FormerCustodianReclaims,
    /// Whoever takes the place of a custodian becomes custodian of its holders.
    InheritedCustody,
    /// A read counts as fresh from when its answer arrives.
    FreshFromArrival,
    /// A new holder waits only half of the time in which reads of the old one grow old.
    NoWaitForReads,
    /// A holder with a custodian also spends on fresh reads.
    ReadsCountBesideCustodian,
    /// A holder goes on spending from partitions that it has sent away.
    SpendAfterHandOver,
    /// Replay does not check what a hand-over is based on.
    HandOverWithoutBase,
    /// A custodian that promised without end reclaims all the same.
    RetiredReclaims,
    /// A new life of a daemon counts as the custodian that it replaces.
    LivesAreOne,
    /// Replay does not check what a naming is based on.
    NameWithoutBase,
}
