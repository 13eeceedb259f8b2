//! Rules that the model breaks on purpose, to show that the search finds the violation.

/// A rule of the protocol that is broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// A lease counts from when its answer arrives, not from when it was requested.
    LeaseFromArrival,
    /// A grantor still grants leases after it decided to reclaim.
    LeaseAfterDecision,
    /// A new holder starts before loans have lapsed.
    NoWaitForLoans,
    /// The times leave no margin for clocks that drift apart.
    NoMargin,
    /// A grantor reclaims while its lease lasts.
    NoWaitForLeases,
    /// A holder counts leases of the grantor that it has sent a record to replace.
    CountFormerGrantor,
    /// A grantor may reclaim as soon as it reads that it was named.
    NewGrantorDoesNotWait,
    /// Replay lets a former grantor reclaim.
    FormerGrantorReclaims,
    /// A daemon that takes over a grantor's place becomes the grantor of its holders.
    InheritedGrantor,
    /// A read counts as fresh from when its answer arrives.
    FreshFromArrival,
    /// A new holder waits only half of the time for which reads of the old one stay fresh.
    NoWaitForReads,
    /// A holder with a grantor also spends on fresh reads.
    ReadsCountDespiteGrantor,
    /// A holder still spends from partitions that it has handed over.
    SpendAfterHandOver,
    /// Replay does not check what state a hand-over is based on.
    HandOverWithoutBase,
    /// A grantor that granted an endless lease reclaims all the same.
    LeavingGrantorReclaims,
    /// A new incarnation of a daemon counts as the grantor that it replaces.
    IncarnationsAreOne,
    /// Replay does not check what state a naming is based on.
    NameWithoutBase,
}
