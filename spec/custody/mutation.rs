//! Rules broken on purpose.

/// One broken rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// A promise counts from when its answer arrives, not from when it was asked for.
    LeaseFromArrival,
    /// A grantor goes on promising after it decided to reclaim.
    LeaseAfterDecision,
    /// A new holder starts before loans have lapsed.
    NoWaitForLoans,
    /// No allowance is made for clocks that drift apart.
    NoMargin,
    /// A grantor reclaims while its promise runs.
    NoWaitForLeases,
    /// A holder counts promises of the grantor that it has sent a record to replace.
    CountFormerGrantor,
    /// A grantor may reclaim as soon as it reads that it was named.
    NewGrantorDoesNotWait,
    /// Replay lets a former grantor reclaim.
    FormerGrantorReclaims,
    /// Whoever takes the place of a grantor becomes grantor of its holders.
    InheritedGrantor,
    /// A read counts as fresh from when its answer arrives.
    FreshFromArrival,
    /// A new holder waits only half of the time in which reads of the old one grow old.
    NoWaitForReads,
    /// A holder with a grantor also spends on fresh reads.
    ReadsCountDespiteGrantor,
    /// A holder goes on spending from partitions that it has sent away.
    SpendAfterHandOver,
    /// Replay does not check what a hand-over is based on.
    HandOverWithoutBase,
    /// A grantor that promised without end reclaims all the same.
    RetiredReclaims,
    /// A new life of a daemon counts as the grantor that it replaces.
    LivesAreOne,
    /// Replay does not check what a naming is based on.
    NameWithoutBase,
}
