//! The right to spend, and its end: a custodian's promise, or without a custodian a fresh read of
//! the log.
//!
//! Small and pure, so that the model checker in `spec/` drives this very code.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::record::{EscrowRecord, PartitionId};
use super::replay::{Ledger, Move, Moved};
use crate::link::{PeerName, PromiseAnswer, PromiseRequest};
use crate::types::Offset;

/// The times of the escrow, the same on every daemon of a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct EscrowTimes {
    /// How long a read of the log or a promise lets a holder spend, from when it was asked for.
    pub right: Duration,
    /// Longest life of borrowed tokens.
    pub loan: Duration,
    /// Most that two clocks drift apart within `right` and `loan` together.
    pub margin: Duration,
}

impl Default for EscrowTimes {
    fn default() -> Self {
        EscrowTimes {
            right: Duration::from_secs(3),
            loan: Duration::from_millis(250),
            margin: Duration::from_millis(50),
        }
    }
}

/// Promise of a custodian that stops and never reclaims.
pub const ENDLESS: Duration = Duration::from_secs(365 * 24 * 3600);

/// When this daemon may begin to spend from a partition.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Start {
    /// From then on.
    pub at: Instant,
    /// Whether nobody spent from the partition before, so that its buckets start full.
    pub fresh: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Ward {
    custody: Offset,
    /// No reclaim is decided before. Covers every promise given and the time after being named.
    waits_until: Instant,
    /// A reclaim of this custody is or was being appended, so no promise is given any more.
    decided: bool,
}

/// One daemon's part in the custody of partitions.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct CustodyState {
    own: PeerName,
    times: EscrowTimes,
    ledger: Ledger,
    /// The partitions that this daemon holds.
    starts: BTreeMap<PartitionId, Start>,
    /// Partitions that this daemon has sent away; it spends nothing from them any more.
    given: BTreeSet<PartitionId>,
    /// Set by a whole read that shows no reclaim, counted from when the read was sent.
    fresh_until: Option<Instant>,
    /// Set by the custodian's promises, counted from when each was asked for.
    promised_until: Option<Instant>,
    /// The custody that this daemon has sent a record to end. Later promises do not count.
    ending: Option<Offset>,
    wards: BTreeMap<PeerName, Ward>,
    /// This daemon leaves and never reclaims.
    retired: bool,
    /// Records are missing, so nothing read since shows who holds what.
    gapped: bool,
}

impl CustodyState {
    /// Custody of a daemon that has read nothing yet.
    pub fn new(own: PeerName, times: EscrowTimes, partition_count: PartitionId) -> CustodyState {
        CustodyState {
            own,
            times,
            ledger: Ledger::new(partition_count),
            starts: BTreeMap::new(),
            given: BTreeSet::new(),
            fresh_until: None,
            promised_until: None,
            ending: None,
            wards: BTreeMap::new(),
            retired: false,
            gapped: false,
        }
    }

    /// Goes on under the name of a later life, as if that life had read the same records: what the
    /// earlier one held, was promised and promised ended with it.
    pub fn succeed(&mut self, own: PeerName) {
        let times = self.times;
        let earlier = std::mem::replace(self, CustodyState::new(own, times, 0));
        self.ledger = earlier.ledger;
        self.retired = earlier.retired;
        self.gapped = earlier.gapped;
    }

    /// What the stream says, as far as it was read.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// The partitions that this daemon holds, and when it may begin to spend from each.
    pub fn starts(&self) -> &BTreeMap<PartitionId, Start> {
        &self.starts
    }

    /// Whether a partition was sent away.
    pub fn is_given(&self, partition: PartitionId) -> bool {
        self.given.contains(&partition)
    }

    /// Whether the log was read less than `right` ago.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.fresh_until.is_some_and(|until| now < until)
    }

    /// Whether this daemon may spend from a partition now.
    pub fn may_spend(&self, now: Instant, partition: PartitionId) -> bool {
        let Some(start) = self.starts.get(&partition) else {
            return false;
        };
        if now < start.at || self.given.contains(&partition) {
            return false;
        }
        self.right_until().is_some_and(|until| now < until)
    }

    /// When the right to spend ends unless it is renewed.
    ///
    /// Beside a custodian fresh reads count for nothing: the custodian may reclaim once its
    /// promises have run out, and its partitions then start without waiting for reads to grow old.
    pub fn right_until(&self) -> Option<Instant> {
        let entry = self.ledger.holders().get(&self.own)?;
        match entry.custodian {
            Some(_) => self.promised_until,
            None => self.fresh_until.max(self.promised_until),
        }
    }

    /// Takes the records of a read that was sent at `asked_at`.
    ///
    /// `whole` says that the read reached the end of the stream; only then it counts as fresh.
    pub fn read(
        &mut self,
        now: Instant,
        asked_at: Instant,
        records: &[(Offset, Option<EscrowRecord>)],
        whole: bool,
    ) {
        for (offset, record) in records {
            self.gapped |= *offset > self.ledger.next;
            let Some(record) = record else {
                self.ledger.skip(*offset);
                continue;
            };
            for moved in self.ledger.apply(*offset, record) {
                self.moved(now, &moved);
            }
        }
        if whole && !self.gapped {
            self.fresh_until = self.fresh_until.max(Some(asked_at + self.times.right));
        }
        self.follow_own(now);
        self.follow_wards(now);
    }

    fn moved(&mut self, now: Instant, moved: &Move) {
        self.given.remove(&moved.partition);
        if moved.to != self.own {
            self.starts.remove(&moved.partition);
            return;
        }
        let EscrowTimes {
            right,
            loan,
            margin,
        } = self.times;
        let wait = match moved.moved {
            Moved::Claimed => Duration::ZERO,
            Moved::HandedOver | Moved::Reclaimed => loan + margin,
            Moved::Taken => right + loan + margin,
        };
        let start = Start {
            at: now + wait,
            fresh: moved.moved == Moved::Claimed,
        };
        self.starts.insert(moved.partition, start);
    }

    /// A custody that has ended gives no right.
    fn follow_own(&mut self, _now: Instant) {
        let custody = self.ledger.holders().get(&self.own).map(|h| h.custody);
        if custody.is_none() {
            self.promised_until = None;
        }
        if self.ending.is_some() && self.ending != custody {
            self.ending = None;
        }
    }

    fn follow_wards(&mut self, now: Instant) {
        let wait = now + self.times.right;
        for (holder, entry) in self.ledger.holders() {
            if entry.custodian.as_ref() != Some(&self.own) {
                continue;
            }
            let ward = self.wards.entry(holder.clone()).or_insert_with(|| Ward {
                custody: entry.custody,
                waits_until: wait,
                decided: false,
            });
            if ward.custody != entry.custody {
                ward.custody = entry.custody;
                ward.waits_until = ward.waits_until.max(wait);
                ward.decided = false;
            }
        }
        let holders = self.ledger.holders();
        self.wards.retain(|holder, ward| {
            let current = holders.get(holder).map(|entry| entry.custody);
            current == Some(ward.custody) || ward.waits_until > now
        });
    }

    /// The custodian to ask for a promise, where one counts.
    pub fn ask(&self) -> Option<PromiseRequest> {
        let entry = self.ledger.holders().get(&self.own)?;
        if self.ending.is_some() {
            return None;
        }
        Some(PromiseRequest {
            holder: self.own.clone(),
            custodian: entry.custodian.clone()?,
        })
    }

    /// Takes the answer to a request that was sent at `sent_at` to `custodian`.
    pub fn promised(&mut self, sent_at: Instant, custodian: &PeerName, answer: &PromiseAnswer) {
        let Some(holds_for) = answer.holds_for else {
            return;
        };
        if self.ask().map(|request| request.custodian).as_ref() != Some(custodian) {
            return;
        }
        let until = sent_at + holds_for.min(ENDLESS);
        self.promised_until = self.promised_until.max(Some(until));
    }

    /// Answers a holder's request for a promise.
    pub fn promise(&mut self, now: Instant, request: &PromiseRequest) -> PromiseAnswer {
        let refused = PromiseAnswer { holds_for: None };
        if request.custodian != self.own {
            return refused;
        }
        let Some(entry) = self.ledger.holders().get(&request.holder) else {
            return refused;
        };
        if entry.custodian.as_ref() != Some(&self.own) {
            return refused;
        }
        let Some(ward) = self.wards.get_mut(&request.holder) else {
            return refused;
        };
        if ward.decided {
            return refused;
        }
        ward.waits_until = ward.waits_until.max(now + self.times.right);
        let holds_for = if self.retired {
            ENDLESS
        } else {
            self.times.right
        };
        PromiseAnswer {
            holds_for: Some(holds_for),
        }
    }

    /// Holders whose reclaim this custodian may decide now.
    pub fn due(&self, now: Instant) -> Vec<PeerName> {
        if self.retired {
            return Vec::new();
        }
        let mut due = Vec::new();
        for (holder, ward) in &self.wards {
            let current = self.ledger.holders().get(holder);
            let is_mine = current.is_some_and(|entry| {
                entry.custody == ward.custody && entry.custodian.as_ref() == Some(&self.own)
            });
            if is_mine && now >= ward.waits_until {
                due.push(holder.clone());
            }
        }
        due
    }

    /// Decides to reclaim; from now on the holder gets no promise of this custody.
    pub fn decide(&mut self, now: Instant, holder: &PeerName) -> Option<EscrowRecord> {
        if !self.due(now).contains(holder) {
            return None;
        }
        let ward = self.wards.get_mut(holder)?;
        ward.decided = true;
        Some(EscrowRecord::Reclaim {
            holder: holder.clone(),
            custody: ward.custody,
            by: self.own.clone(),
        })
    }

    /// Puts every decision off after a pause in which requests for promises were not answered.
    pub fn paused(&mut self, now: Instant) {
        for ward in self.wards.values_mut() {
            ward.waits_until = ward.waits_until.max(now + self.times.right);
        }
    }

    /// Names a custodian; promises that are asked for from now on count only from it.
    pub fn name(&mut self, now: Instant, custodian: Option<PeerName>) -> Option<EscrowRecord> {
        let entry = self.ledger.holders().get(&self.own)?;
        self.ending = Some(entry.custody);
        let latest = now + self.times.right;
        self.promised_until = self.promised_until.map(|until| until.min(latest));
        Some(EscrowRecord::Name {
            holder: self.own.clone(),
            custody: entry.custody,
            custodian,
        })
    }

    /// Gives partitions to another daemon and spends nothing from them from now on.
    pub fn hand_over(
        &mut self,
        now: Instant,
        to: &PeerName,
        partitions: &[PartitionId],
    ) -> Option<EscrowRecord> {
        let begun = |partition: &&PartitionId| {
            self.starts
                .get(partition)
                .is_some_and(|start| start.at <= now)
        };
        let partitions: Vec<PartitionId> = partitions.iter().filter(begun).copied().collect();
        if partitions.is_empty() {
            return None;
        }
        self.given.extend(&partitions);
        Some(EscrowRecord::HandOver {
            holder: self.own.clone(),
            next: self.ledger.next,
            to: to.clone(),
            partitions,
        })
    }

    /// From now on promises are without end and nothing is reclaimed.
    pub fn retire(&mut self) {
        self.retired = true;
    }

    /// Whether this daemon leaves.
    pub fn is_retired(&self) -> bool {
        self.retired
    }

    /// Whether a custody of this daemon is being ended by its own record.
    pub fn is_naming(&self) -> bool {
        self.ending.is_some()
    }
}
