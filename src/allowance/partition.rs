//! Maps organisations and services to partitions, and partitions to the daemons that should hold
//! them.

use smallvec::SmallVec;

use super::record::PartitionId;
use crate::contract::OrganisationContract;
use crate::link::PeerName;
use crate::types::DomainId;

/// Largest number of shards of one organisation or service.
pub const SHARD_COUNT: PartitionId = 3;
/// Number of partitions of a fleet, and so the largest number of daemons that hold any.
pub const PARTITION_COUNT: PartitionId = 512 * SHARD_COUNT;
/// Smallest burst that is divided into shards.
const MIN_SHARDED_BURST_COUNT: u32 = 2 * SHARD_COUNT as u32;

/// Index of a shard within its organisation, from 0.
pub type ShardIndex = u8;

/// Returns how many shards a contract is divided into when its organisation first appears.
///
/// An organisation keeps that number. Daemons that have read different versions of its contract
/// then give each shard the same part of their version, and the parts add up to no more than the
/// largest of the versions.
pub fn shard_count(contract: &OrganisationContract) -> ShardIndex {
    if contract.burst_count < MIN_SHARDED_BURST_COUNT {
        1
    } else {
        SHARD_COUNT as ShardIndex
    }
}

/// Returns rate per second and burst of one shard of a contract that has `shard_count` shards.
pub fn shard_limits(
    contract: &OrganisationContract,
    shard_count: ShardIndex,
    shard: ShardIndex,
) -> (f64, f64) {
    let shards = u32::from(shard_count);
    let burst_count = (contract.burst_count + shards - 1 - u32::from(shard)) / shards;
    let rate_per_s = contract.rate_per_s / f64::from(shards);
    (rate_per_s, f64::from(burst_count))
}

/// Returns the partitions of a name's shards, one for each shard, each in another class modulo
/// `SHARD_COUNT`.
pub fn partitions_of(
    name: &str,
    shard_count: ShardIndex,
    partition_count: PartitionId,
) -> SmallVec<[PartitionId; 3]> {
    let hash = hash_of(&[name.as_bytes()]);
    let group_count = (partition_count / SHARD_COUNT).max(1);
    let group = (hash % u64::from(group_count)) as PartitionId;
    let rotation = (hash >> 32) as PartitionId % SHARD_COUNT;
    (0..PartitionId::from(shard_count))
        .map(|shard| (group * SHARD_COUNT + (rotation + shard) % SHARD_COUNT) % partition_count)
        .collect()
}

/// A daemon that may hold partitions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Name and incarnation of the daemon.
    pub name: PeerName,
    /// Failure domain of the daemon.
    pub domain: DomainId,
}

/// The daemons that may hold partitions, in order of their names.
#[derive(Debug, Clone, Default)]
pub struct Candidates {
    /// Each candidate with the index of its domain in `domains`.
    all: Vec<(Candidate, u64)>,
    /// The failure domains of all candidates, sorted.
    domains: Vec<DomainId>,
}

impl Candidates {
    /// Builds the candidates of a fleet from daemons sorted by name.
    pub fn new(all: Vec<Candidate>) -> Candidates {
        let mut domains: Vec<DomainId> = all.iter().map(|c| c.domain.clone()).collect();
        domains.sort();
        domains.dedup();
        let index_of = |domain: &DomainId| domains.binary_search(domain).unwrap_or(0) as u64;
        let all = all
            .into_iter()
            .map(|candidate| {
                let index = index_of(&candidate.domain);
                (candidate, index)
            })
            .collect();
        Candidates { all, domains }
    }

    /// Returns all candidates in order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Candidate> {
        self.all.iter().map(|(candidate, _)| candidate)
    }

    /// Returns the daemon that should hold a partition.
    pub fn preferred(&self, partition: PartitionId) -> Option<&Candidate> {
        let score = |(candidate, domain): &&(Candidate, u64)| {
            self.preference(partition, candidate, *domain)
        };
        let best = self.all.iter().min_by_key(score)?;
        Some(&best.0)
    }

    /// Returns how many candidates the partition prefers to `own`.
    pub fn rank(&self, partition: PartitionId, own: &PeerName) -> usize {
        let mine = self.all.iter().find(|(c, _)| c.name == *own);
        let Some((candidate, domain)) = mine else {
            return self.all.len();
        };
        let mine = self.preference(partition, candidate, *domain);
        self.all
            .iter()
            .filter(|(c, domain)| self.preference(partition, c, *domain) < mine)
            .count()
    }

    /// Returns a grantor for a holder, in another failure domain if there is one.
    pub fn grantor_for(
        &self,
        own: &Candidate,
        is_reachable: impl Fn(&PeerName) -> bool,
    ) -> Option<PeerName> {
        let own_name = own.name.daemon.as_bytes();
        let score = |c: &&Candidate| {
            let hash = hash_of(&[own_name, c.name.daemon.as_bytes()]);
            (c.domain == own.domain, hash)
        };
        self.iter()
            .filter(|c| c.name.daemon != own.name.daemon && is_reachable(&c.name))
            .min_by_key(score)
            .map(|c| c.name.clone())
    }

    /// Returns the order of preference, smallest first. Partitions of one group prefer different
    /// failure domains; within a domain a hash decides.
    fn preference(&self, partition: PartitionId, candidate: &Candidate, domain: u64) -> (u64, u64) {
        let domain_count = self.domains.len().max(1) as u64;
        let rotation = u64::from(partition / SHARD_COUNT) + u64::from(partition % SHARD_COUNT);
        let distance = (domain + domain_count - rotation % domain_count) % domain_count;
        let hash = hash_of(&[&partition.to_be_bytes(), candidate.name.daemon.as_bytes()]);
        (distance, hash)
    }
}

/// Hashes the parts with FNV-1a and a final mix, the same on every daemon and in every release.
pub(crate) fn hash_of(parts: &[&[u8]]) -> u64 {
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
    for part in parts {
        for byte in part.iter().chain(&[0xff]) {
            hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }
    hash ^= hash >> 30;
    hash = hash.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash ^= hash >> 27;
    hash = hash.wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
