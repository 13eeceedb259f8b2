//! Token buckets of the shards whose partitions this daemon holds.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use super::bucket::{Bucket, NEVER};
use super::leases::{EscrowTimes, LeaseState, Tenure};
use super::partition::{self, ShardIndex};
use super::record::PartitionId;
use crate::contract::{OrganisationContract, View};
use crate::link::BorrowAnswer;
use crate::types::OrganisationId;

/// Bucket of one shard of one organisation.
#[derive(Debug, Clone)]
struct Shard {
    /// Tenure of the partition that the bucket belongs to; another tenure needs a new bucket.
    tenure: Tenure,
    bucket: Bucket,
}

/// The buckets of the partitions that this daemon holds. A bucket is created when it is first used.
#[derive(Debug, Default)]
pub struct Lender {
    shards: HashMap<(OrganisationId, ShardIndex), Shard>,
}

impl Lender {
    /// Takes one token for a request on this daemon, or returns how long until there may be one.
    pub fn take(
        &mut self,
        now: Instant,
        view: &View,
        leases: &LeaseState,
        contract: &OrganisationContract,
    ) -> Result<(), Duration> {
        let mut wait = NEVER;
        for (shard, partition, tenure) in own_shards(now, view, leases, contract) {
            debug_assert!(leases.may_spend(now, partition));
            let bucket = self.bucket(now, view, contract, (shard, tenure));
            match bucket.take(now, 1.0) {
                Ok(()) => return Ok(()),
                Err(later) => wait = wait.min(later),
            }
        }
        Err(wait)
    }

    /// Returns how long until this daemon's own shards may have a token.
    pub fn wait_for_token(
        &mut self,
        now: Instant,
        view: &View,
        leases: &LeaseState,
        contract: &OrganisationContract,
    ) -> Duration {
        let mut wait = NEVER;
        for (shard, _, tenure) in own_shards(now, view, leases, contract) {
            let bucket = self.bucket(now, view, contract, (shard, tenure));
            wait = wait.min(bucket.wait_for(now, 1.0));
        }
        wait
    }

    /// Lends at most `count` tokens to a peer.
    pub fn lend(
        &mut self,
        now: Instant,
        view: &View,
        leases: &LeaseState,
        contract: &OrganisationContract,
        (count, times): (u32, EscrowTimes),
    ) -> BorrowAnswer {
        let mut answer = BorrowAnswer {
            count: 0,
            lapses_after: times.loan_time,
            retry_after: NEVER,
        };
        for (shard, _, tenure) in own_shards(now, view, leases, contract) {
            let bucket = self.bucket(now, view, contract, (shard, tenure));
            let time = bucket.loan_time(times.loan_time);
            let lapsed_at = now + time + times.clock_margin.min(time / CLOCK_MARGIN_PARTS);
            let lent = bucket.lend(now, count - answer.count, lapsed_at);
            if lent == 0 {
                answer.retry_after = answer.retry_after.min(bucket.wait_for(now, 1.0));
                continue;
            }
            answer.count += lent;
            answer.lapses_after = answer.lapses_after.min(time);
        }
        answer
    }

    /// Removes buckets of partitions no longer held, and full ones, which would be recreated the
    /// same.
    pub fn sweep(&mut self, now: Instant, leases: &LeaseState) {
        let tenures: HashSet<Tenure> = leases.tenures().values().copied().collect();
        self.shards
            .retain(|_, shard| tenures.contains(&shard.tenure) && !shard.bucket.is_full(now));
    }

    /// Returns the bucket of a shard with its present rate and burst, creating it if needed.
    fn bucket(
        &mut self,
        now: Instant,
        view: &View,
        contract: &OrganisationContract,
        (shard, tenure): (ShardIndex, Tenure),
    ) -> &mut Bucket {
        let (rate_per_s, burst_count) =
            partition::shard_limits(contract, view.shard_count(contract), shard);
        let key = (contract.organisation.clone(), shard);
        let make = || Shard {
            tenure,
            bucket: if tenure.starts_full {
                Bucket::full(now, rate_per_s, burst_count)
            } else {
                Bucket::empty(tenure.begins_at, rate_per_s, burst_count)
            },
        };
        let held = self.shards.entry(key).or_insert_with(make);
        if held.tenure != tenure {
            *held = make();
        }
        held.bucket.resize(now, rate_per_s, burst_count);
        &mut held.bucket
    }
}

/// Clocks drift apart by less than this fraction (1/50) of a loan's lifetime.
const CLOCK_MARGIN_PARTS: u32 = 50;

/// Returns an organisation's shards that this daemon may spend from now.
fn own_shards(
    now: Instant,
    view: &View,
    leases: &LeaseState,
    contract: &OrganisationContract,
) -> smallvec::SmallVec<[(ShardIndex, PartitionId, Tenure); 3]> {
    let partition_count = leases.ledger().partitions().len() as PartitionId;
    let partitions = partition::partitions_of(
        &contract.organisation,
        view.shard_count(contract),
        partition_count,
    );
    let mut own = smallvec::SmallVec::new();
    for (shard, partition) in partitions.into_iter().enumerate() {
        if !leases.may_spend(now, partition) {
            continue;
        }
        if let Some(tenure) = leases.tenures().get(&partition) {
            own.push((shard as ShardIndex, partition, *tenure));
        }
    }
    own
}
