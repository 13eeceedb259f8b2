//! What may happen in the model.

use super::model::TICK_S;
use super::mutation::Mutation;

/// What may happen, besides time passing.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Ticks.
    pub horizon: u8,
    /// A begins without a grantor.
    pub open: bool,
    /// A asks for promises.
    pub asks: bool,
    /// A's reads take time on both ways.
    pub slow_reads: bool,
    /// Ticks of a right to spend.
    pub right_ticks: u8,
    /// Life of a loan, and also the margin between clocks, in seconds.
    pub loan_s: u64,
    /// How often A names another grantor at most.
    pub names: u8,
    /// Grantors reclaim.
    pub reclaims: bool,
    /// Anyone takes partitions of holders without grantor.
    pub takes: bool,
    /// Holders hand the partition over.
    pub hands_over: bool,
    /// B leaves on plan.
    pub retires: bool,
    /// B ends and comes back.
    pub returns: bool,
    /// Records are taken twice.
    pub doubles: bool,
    /// A has named C and then B again, and the first of these records arrives once more.
    pub named_before: bool,
    /// The broken rule.
    pub mutation: Option<Mutation>,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            horizon: 4,
            open: false,
            asks: false,
            slow_reads: false,
            right_ticks: 1,
            loan_s: TICK_S,
            names: 0,
            reclaims: false,
            takes: false,
            hands_over: false,
            retires: false,
            returns: false,
            doubles: false,
            named_before: false,
            mutation: None,
        }
    }
}
