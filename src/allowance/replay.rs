//! Who holds which partition, and who is whose grantor: a pure function of the escrow stream.

use std::collections::BTreeMap;

use super::record::{EscrowRecord, PartitionId};
use crate::link::PeerName;
use crate::types::Offset;

/// One partition after a prefix of the stream.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Partition {
    /// Who holds it. Once held, a partition is always held by someone.
    pub holder: Option<PeerName>,
    /// Offset of the record that gave it to its holder.
    pub since: Offset,
}

/// One holder after a prefix of the stream.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Holder {
    /// Its grantor; with none, anyone may reclaim.
    pub grantor: Option<PeerName>,
    /// Offset of the record that made this grantor_since. Differs for every grantor_since.
    pub grantor_since: Offset,
    /// Whether a later life of the grantor has told that this one ended.
    pub grantor_ended: bool,
    /// Never 0: a holder without partitions is forgotten.
    pub partition_count: usize,
}

/// How a partition came to its holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TransferKind {
    /// Nobody held it before.
    Claimed,
    /// From a holder that stopped spending before it sent the record.
    HandedOver,
    /// By its grantor, which let every promise run out first.
    Reclaimed,
    /// From a holder without grantor, which may still be spending after a read of the log.
    Taken,
}

/// A partition that got a new holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transfer {
    /// The partition.
    pub partition: PartitionId,
    /// How.
    pub kind: TransferKind,
    /// Its new holder.
    pub to: PeerName,
}

/// The outcome of a prefix of the escrow stream.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Ledger {
    /// Offset after the last record applied.
    pub next_offset: Offset,
    partitions: Vec<Partition>,
    holders: BTreeMap<PeerName, Holder>,
}

impl Ledger {
    /// The ledger of an empty stream.
    pub fn new(partition_count: PartitionId) -> Ledger {
        Ledger {
            next_offset: 0,
            partitions: vec![Partition::default(); usize::from(partition_count)],
            holders: BTreeMap::new(),
        }
    }

    /// The partitions, by number.
    pub fn partitions(&self) -> &[Partition] {
        &self.partitions
    }

    /// The holders, by name.
    pub fn holders(&self) -> &BTreeMap<PeerName, Holder> {
        &self.holders
    }

    /// Who holds a partition.
    pub fn holder_of(&self, partition: PartitionId) -> Option<&PeerName> {
        self.partitions.get(usize::from(partition))?.holder.as_ref()
    }

    /// Passes over a record that can't be read.
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

    fn renounce(&mut self, grantor: &PeerName, by: &PeerName) {
        if !is_later_incarnation(by, grantor) {
            return;
        }
        for entry in self.holders.values_mut() {
            entry.grantor_ended |= entry.grantor.as_ref() == Some(grantor);
        }
    }

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

    fn partition_is(&self, partition: PartitionId, test: impl Fn(&Partition) -> bool) -> bool {
        self.partitions
            .get(usize::from(partition))
            .is_some_and(test)
    }

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

/// Whether one name is a later life of the same daemon.
///
/// A daemon's later life starts only after the earlier one has ended.
pub fn is_later_incarnation(later: &PeerName, earlier: &PeerName) -> bool {
    later.daemon == earlier.daemon && later.incarnation > earlier.incarnation
}
