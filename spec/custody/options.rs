//! Options of the model: which steps are possible.

use super::model::TICK_S;
use super::mutation::Mutation;

/// Steps that are possible besides the passing of time, and their bounds.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Number of ticks after which time stops.
    pub horizon_ticks: u8,
    /// A begins without a grantor.
    pub no_grantor: bool,
    /// Whether A requests leases of its grantor.
    pub requests_leases: bool,
    /// A's reads take time in both directions.
    pub slow_reads: bool,
    /// Duration of a lease or a fresh read, in ticks.
    pub lease_ticks: u8,
    /// Duration of a loan, and also the margin between clocks, in seconds.
    pub loan_s: u64,
    /// How often A may name another grantor.
    pub naming_limit_count: u8,
    /// Whether grantors reclaim the partition.
    pub reclaims: bool,
    /// B reclaims from a holder without a grantor.
    pub takes_over: bool,
    /// A and C hand the partition over to each other.
    pub hands_over: bool,
    /// B leaves as planned.
    pub grantor_leaves: bool,
    /// B ends and starts again.
    pub grantor_restarts: bool,
    /// Each record may be appended twice.
    pub duplicates_records: bool,
    /// A has named C and then B again, and the first of these records may be appended once more.
    pub named_before: bool,
    /// The broken rule, if any.
    pub mutation: Option<Mutation>,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            horizon_ticks: 4,
            no_grantor: false,
            requests_leases: false,
            slow_reads: false,
            lease_ticks: 1,
            loan_s: TICK_S,
            naming_limit_count: 0,
            reclaims: false,
            takes_over: false,
            hands_over: false,
            grantor_leaves: false,
            grantor_restarts: false,
            duplicates_records: false,
            named_before: false,
            mutation: None,
        }
    }
}
