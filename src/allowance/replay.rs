//! Computes from the escrow stream which daemon holds each partition and which grantor each holder
//! has. The result depends on the records alone.

use std::collections::BTreeMap;

use super::record::{EscrowRecord, PartitionId};
use crate::link::PeerName;
use crate::types::Offset;

/// State of one partition after a prefix of the stream.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Partition {
    /// Daemon that holds the partition. Once held, a partition always has a holder.
    pub holder: Option<PeerName>,
    /// Offset of the record that assigned the partition to its holder.
    pub since: Offset,
}

/// State of one holder after a prefix of the stream.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Holder {
    /// Daemon that grants the holder's leases; if none, any daemon may reclaim.
    pub grantor: Option<PeerName>,
    /// Offset of the record that last set the grantor. Identifies that naming: no two share an
    /// offset.
    pub grantor_since: Offset,
    /// Whether a later incarnation of the grantor has recorded that this one ended.
    pub grantor_ended: bool,
    /// Number of partitions held, never 0: a holder without partitions is removed.
    pub partition_count: usize,
}

/// Why a partition changed its holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TransferKind {
    /// Claimed; nobody held it before.
    Claimed,
    /// Handed over by a holder that stopped spending before it sent the record.
    HandedOver,
    /// Reclaimed by the grantor, after every lease it granted had run out.
    Reclaimed,
    /// Reclaimed from a holder that may still be spending after a read of the log.
    Taken,
}

/// Change of the holder of one partition.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transfer {
    /// Partition that changed its holder.
    pub partition: PartitionId,
    /// Why the partition changed its holder.
    pub kind: TransferKind,
    /// Daemon that holds the partition from now on.
    pub to: PeerName,
}

/// Partitions and holders after a prefix of the escrow stream.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Ledger {
    /// Offset after the last record applied.
    pub next_offset: Offset,
    partitions: Vec<Partition>,
    holders: BTreeMap<PeerName, Holder>,
}

impl Ledger {
    /// Returns the ledger of an empty stream with `partition_count` partitions.
    pub fn new(partition_count: PartitionId) -> Ledger {
        Ledger {
            next_offset: 0,
            partitions: vec![Partition::default(); usize::from(partition_count)],
            holders: BTreeMap::new(),
        }
    }

    /// Returns the partitions, indexed by their numbers.
    pub fn partitions(&self) -> &[Partition] {
        &self.partitions
    }

    /// Returns the holders by name.
    pub fn holders(&self) -> &BTreeMap<PeerName, Holder> {
        &self.holders
    }

    /// Returns the daemon that holds a partition.
    pub fn holder_of(&self, partition: PartitionId) -> Option<&PeerName> {
        self.partitions.get(usize::from(partition))?.holder.as_ref()
    }

    /// Skips a record that cannot be decoded.
    pub fn skip(&mut self, offset: Offset) {
        self.next_offset = self.next_offset.max(offset + 1);
    }

    /// Applies the record at `offset`; a record below `next_offset` changes nothing.
    pub fn apply(&mut self, offset: Offset, record: &EscrowRecord) -> Vec<Transfer> {
        if offset < self.next_offset {
            return Vec::new();
        }
        self.next_offset = offset + 1;
        match record {
            EscrowRecord::Claim {
                holder,
                grantor,
                partitions,
            } => self.claim(offset, holder, grantor, partitions),
            EscrowRecord::Name {
                holder,
                grantor_since,
                grantor,
            } => {
                self.name(offset, holder, *grantor_since, grantor);
                Vec::new()
            }
            EscrowRecord::Reclaim {
                holder,
                grantor_since,
                by,
            } => self.reclaim(offset, holder, *grantor_since, by),
            EscrowRecord::HandOver {
                holder,
                next,
                to,
                partitions,
            } => self.hand_over(offset, holder, *next, (to, partitions)),
            EscrowRecord::Renounce { grantor, by } => {
                self.renounce(grantor, by);
                Vec::new()
            }
        }
    }

    /// Marks the holders whose grantor has ended, as a later incarnation of it records.
    fn renounce(&mut self, grantor: &PeerName, by: &PeerName) {
        if !is_later_incarnation(by, grantor) {
            return;
        }
        for entry in self.holders.values_mut() {
            entry.grantor_ended |= entry.grantor.as_ref() == Some(grantor);
        }
    }

    /// Assigns those of the partitions that have no holder.
    fn claim(
        &mut self,
        offset: Offset,
        holder: &PeerName,
        grantor: &Option<PeerName>,
        partitions: &[PartitionId],
    ) -> Vec<Transfer> {
        let mut transfers = Vec::new();
        for &partition in partitions {
            if self.partition_is(partition, |partition| partition.holder.is_none()) {
                transfers.push(self.transfer(offset, partition, holder, TransferKind::Claimed));
            }
        }
        self.add_partitions(offset, holder, grantor, transfers.len());
        transfers
    }

    /// Sets a holder's grantor if the record is based on the present `grantor_since`.
    fn name(
        &mut self,
        offset: Offset,
        holder: &PeerName,
        grantor_since: Offset,
        grantor: &Option<PeerName>,
    ) {
        let Some(entry) = self.holders.get_mut(holder) else {
            return;
        };
        if entry.grantor_since != grantor_since || grantor.as_ref() == Some(holder) {
            return;
        }
        entry.grantor.clone_from(grantor);
        entry.grantor_ended = false;
        entry.grantor_since = offset;
    }

    /// Moves all partitions of a holder to `by` if the record is valid and `by` is entitled.
    fn reclaim(
        &mut self,
        offset: Offset,
        holder: &PeerName,
        grantor_since: Offset,
        by: &PeerName,
    ) -> Vec<Transfer> {
        let Some(entry) = self.holders.get(holder) else {
            return Vec::new();
        };
        let recovers_own = entry.grantor_ended && is_later_incarnation(by, holder);
        let allowed = recovers_own || entry.grantor.as_ref().is_none_or(|named| named == by);
        if entry.grantor_since != grantor_since || !allowed || holder == by {
            return Vec::new();
        }
        let kind = match entry.grantor {
            Some(_) if !recovers_own => TransferKind::Reclaimed,
            _ => TransferKind::Taken,
        };
        self.holders.remove(holder);
        let mut transfers = Vec::new();
        for partition in 0..self.partitions.len() as PartitionId {
            if self.partition_is(partition, |partition| {
                partition.holder.as_ref() == Some(holder)
            }) {
                transfers.push(self.transfer(offset, partition, by, kind));
            }
        }
        self.add_partitions(offset, by, &None, transfers.len());
        transfers
    }

    /// Moves partitions that the holder had before offset `next` to another daemon.
    fn hand_over(
        &mut self,
        offset: Offset,
        holder: &PeerName,
        next: Offset,
        (to, partitions): (&PeerName, &[PartitionId]),
    ) -> Vec<Transfer> {
        let mut transfers = Vec::new();
        if holder == to {
            return transfers;
        }
        for &partition in partitions {
            let held = |partition: &Partition| {
                partition.holder.as_ref() == Some(holder) && partition.since < next
            };
            if self.partition_is(partition, held) {
                transfers.push(self.transfer(offset, partition, to, TransferKind::HandedOver));
            }
        }
        if let Some(entry) = self.holders.get_mut(holder) {
            entry.partition_count -= transfers.len();
            if entry.partition_count == 0 {
                self.holders.remove(holder);
            }
        }
        self.add_partitions(offset, to, &None, transfers.len());
        transfers
    }

    /// Returns whether a partition exists and passes the test.
    fn partition_is(&self, partition: PartitionId, test: impl Fn(&Partition) -> bool) -> bool {
        self.partitions
            .get(usize::from(partition))
            .is_some_and(test)
    }

    /// Sets the holder of one partition.
    fn transfer(
        &mut self,
        offset: Offset,
        partition: PartitionId,
        to: &PeerName,
        kind: TransferKind,
    ) -> Transfer {
        self.partitions[usize::from(partition)] = Partition {
            holder: Some(to.clone()),
            since: offset,
        };
        Transfer {
            partition,
            kind,
            to: to.clone(),
        }
    }

    /// Adds to a holder's count, and creates the holder with `grantor` if it is new.
    fn add_partitions(
        &mut self,
        offset: Offset,
        holder: &PeerName,
        grantor: &Option<PeerName>,
        partition_count: usize,
    ) {
        if partition_count == 0 {
            return;
        }
        let entry = self
            .holders
            .entry(holder.clone())
            .or_insert_with(|| Holder {
                grantor: grantor.clone().filter(|named| named != holder),
                grantor_since: offset,
                grantor_ended: false,
                partition_count: 0,
            });
        entry.partition_count += partition_count;
    }
}

/// Returns whether `later` is a later incarnation of the same daemon as `earlier`.
///
/// A later incarnation of a daemon starts only after the earlier one has ended.
pub fn is_later_incarnation(later: &PeerName, earlier: &PeerName) -> bool {
    later.daemon == earlier.daemon && later.incarnation > earlier.incarnation
}
