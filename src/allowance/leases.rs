//! The right to spend, and its end: a grantor's promise, or without a grantor a fresh read of
//! the log.
//!
//! Small and pure, so that the model checker in `spec/` drives this very code.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::record::{EscrowRecord, PartitionId};
use super::replay::{Ledger, Transfer, TransferKind};
use crate::link::{LeaseAnswer, LeaseRequest, PeerName};
use crate::types::Offset;

/// The times of the escrow, the same on every daemon of a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct EscrowTimes {
    /// How long a read of the log or a promise lets a holder spend, from when it was asked for.
    pub lease_time: Duration,
    /// Longest life of borrowed tokens.
    pub loan_time: Duration,
    /// Most that two clocks drift apart within `right` and `loan` together.
    pub clock_margin: Duration,
}

impl Default for EscrowTimes {
    fn default() -> Self {
        EscrowTimes {
            lease_time: Duration::from_secs(3),
            loan_time: Duration::from_millis(250),
            clock_margin: Duration::from_millis(50),
        }
    }
}

/// Promise of a grantor that stops and never reclaims.
pub const ENDLESS_LEASE: Duration = Duration::from_secs(365 * 24 * 3600);

/// When this daemon may begin to spend from a partition.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Tenure {
    /// From then on.
    pub begins_at: Instant,
    /// Whether nobody spent from the partition before, so that its buckets tenure full.
    pub starts_full: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Grantee {
    grantor_since: Offset,
    /// No reclaim is decided before. Covers every promise given and the time after being named.
    reclaim_not_before: Instant,
    /// A reclaim of this grantor_since is or was being appended, so no promise is given any more.
    reclaim_decided: bool,
}

/// One daemon's part in the grantor_since of partitions.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseState {
    own: PeerName,
    times: EscrowTimes,
    ledger: Ledger,
    /// The partitions that this daemon holds.
    tenures: BTreeMap<PartitionId, Tenure>,
    /// Partitions that this daemon has sent away; it spends nothing from them any more.
    handed_over: BTreeSet<PartitionId>,
    /// Set by a whole read that shows no reclaim, counted from when the read was sent.
    fresh_until: Option<Instant>,
    /// Set by the grantor's promises, counted from when each was asked for.
    leased_until: Option<Instant>,
    /// The grantor_since that this daemon has sent a record to end. Later promises do not count.
    replaced_since: Option<Offset>,
    grantees: BTreeMap<PeerName, Grantee>,
    /// This daemon leaves and never reclaims.
    is_leaving: bool,
    /// Records are missing, so nothing read since shows who holds what.
    has_gap: bool,
}

impl LeaseState {
    /// Custody of a daemon that has read nothing yet.
    pub fn new(own: PeerName, times: EscrowTimes, partition_count: PartitionId) -> LeaseState {
        LeaseState {
            own,
            times,
            ledger: Ledger::new(partition_count),
            tenures: BTreeMap::new(),
            handed_over: BTreeSet::new(),
            fresh_until: None,
            leased_until: None,
            replaced_since: None,
            grantees: BTreeMap::new(),
            is_leaving: false,
            has_gap: false,
        }
    }

    /// Goes on under the name of a later life, as if that life had read the same records: what the
    /// earlier one held, was promised and promised ended with it.
    pub fn adopt_incarnation(&mut self, own: PeerName) {
        let times = self.times;
        let earlier = std::mem::replace(self, LeaseState::new(own, times, 0));
        self.ledger = earlier.ledger;
        self.is_leaving = earlier.is_leaving;
        self.has_gap = earlier.has_gap;
    }

    /// What the stream says, as far as it was read.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// The partitions that this daemon holds, and when it may begin to spend from each.
    pub fn tenures(&self) -> &BTreeMap<PartitionId, Tenure> {
        &self.tenures
    }

    /// Whether a partition was sent away.
    pub fn is_handed_over(&self, partition: PartitionId) -> bool {
        self.handed_over.contains(&partition)
    }

    /// Whether the log was read less than `right` ago.
    pub fn has_fresh_read(&self, now: Instant) -> bool {
        self.fresh_until.is_some_and(|until| now < until)
    }

    /// Whether this daemon may spend from a partition now.
    pub fn may_spend(&self, now: Instant, partition: PartitionId) -> bool {
        let Some(tenure) = self.tenures.get(&partition) else {
            return false;
        };
        if now < tenure.begins_at || self.handed_over.contains(&partition) {
            return false;
        }
        self.may_spend_until().is_some_and(|until| now < until)
    }

    /// When the right to spend ends unless it is renewed.
    ///
    /// Beside a grantor fresh reads count for nothing: the grantor may reclaim once its
    /// promises have run out, and its partitions then tenure without waiting for reads to grow old.
    pub fn may_spend_until(&self) -> Option<Instant> {
        let entry = self.ledger.holders().get(&self.own)?;
        match entry.grantor {
            Some(_) => self.leased_until,
            None => self.fresh_until.max(self.leased_until),
        }
    }

    /// Takes the records of a read that was sent at `asked_at`.
    ///
    /// `whole` says that the read reached the end of the stream; only then it counts as fresh.
    pub fn apply_read(
        &mut self,
        now: Instant,
        asked_at: Instant,
        records: &[(Offset, Option<EscrowRecord>)],
        whole: bool,
    ) {
        for (offset, record) in records {
            self.has_gap |= *offset > self.ledger.next_offset;
            let Some(record) = record else {
                self.ledger.skip(*offset);
                continue;
            };
            for transfer in self.ledger.apply(*offset, record) {
                self.apply_transfer(now, &transfer);
            }
        }
        if whole && !self.has_gap {
            self.fresh_until = self.fresh_until.max(Some(asked_at + self.times.lease_time));
        }
        self.update_own_lease(now);
        self.update_grantees(now);
    }

    fn apply_transfer(&mut self, now: Instant, transfer: &Transfer) {
        self.handed_over.remove(&transfer.partition);
        if transfer.to != self.own {
            self.tenures.remove(&transfer.partition);
            return;
        }
        let EscrowTimes {
            lease_time,
            loan_time,
            clock_margin,
        } = self.times;
        let wait = match transfer.kind {
            TransferKind::Claimed => Duration::ZERO,
            TransferKind::HandedOver | TransferKind::Reclaimed => loan_time + clock_margin,
            TransferKind::Taken => lease_time + loan_time + clock_margin,
        };
        let tenure = Tenure {
            begins_at: now + wait,
            starts_full: transfer.kind == TransferKind::Claimed,
        };
        self.tenures.insert(transfer.partition, tenure);
    }

    /// A grantor_since that has ended gives no right.
    fn update_own_lease(&mut self, _now: Instant) {
        let grantor_since = self
            .ledger
            .holders()
            .get(&self.own)
            .map(|h| h.grantor_since);
        if grantor_since.is_none() {
            self.leased_until = None;
        }
        if self.replaced_since.is_some() && self.replaced_since != grantor_since {
            self.replaced_since = None;
        }
    }

    fn update_grantees(&mut self, now: Instant) {
        let wait = now + self.times.lease_time;
        for (holder, entry) in self.ledger.holders() {
            if entry.grantor.as_ref() != Some(&self.own) {
                continue;
            }
            let grantee = self
                .grantees
                .entry(holder.clone())
                .or_insert_with(|| Grantee {
                    grantor_since: entry.grantor_since,
                    reclaim_not_before: wait,
                    reclaim_decided: false,
                });
            if grantee.grantor_since != entry.grantor_since {
                grantee.grantor_since = entry.grantor_since;
                grantee.reclaim_not_before = grantee.reclaim_not_before.max(wait);
                grantee.reclaim_decided = false;
            }
        }
        let holders = self.ledger.holders();
        self.grantees.retain(|holder, grantee| {
            let current = holders.get(holder).map(|entry| entry.grantor_since);
            current == Some(grantee.grantor_since) || grantee.reclaim_not_before > now
        });
    }

    /// The grantor to ask for a promise, where one counts.
    pub fn lease_request(&self) -> Option<LeaseRequest> {
        let entry = self.ledger.holders().get(&self.own)?;
        if self.replaced_since.is_some() {
            return None;
        }
        Some(LeaseRequest {
            holder: self.own.clone(),
            grantor: entry.grantor.clone()?,
        })
    }

    /// Takes the answer to a request that was sent at `sent_at` to `grantor`.
    pub fn lease_granted(&mut self, sent_at: Instant, grantor: &PeerName, answer: &LeaseAnswer) {
        let Some(holds_for) = answer.holds_for else {
            return;
        };
        if self.lease_request().map(|request| request.grantor).as_ref() != Some(grantor) {
            return;
        }
        let until = sent_at + holds_for.min(ENDLESS_LEASE);
        self.leased_until = self.leased_until.max(Some(until));
    }

    /// Answers a holder's request for a promise.
    pub fn grant_lease(&mut self, now: Instant, request: &LeaseRequest) -> LeaseAnswer {
        let refused = LeaseAnswer { holds_for: None };
        if request.grantor != self.own {
            return refused;
        }
        let Some(entry) = self.ledger.holders().get(&request.holder) else {
            return refused;
        };
        if entry.grantor.as_ref() != Some(&self.own) {
            return refused;
        }
        let Some(grantee) = self.grantees.get_mut(&request.holder) else {
            return refused;
        };
        if grantee.reclaim_decided {
            return refused;
        }
        grantee.reclaim_not_before = grantee.reclaim_not_before.max(now + self.times.lease_time);
        let holds_for = if self.is_leaving {
            ENDLESS_LEASE
        } else {
            self.times.lease_time
        };
        LeaseAnswer {
            holds_for: Some(holds_for),
        }
    }

    /// Holders whose reclaim this grantor may decide now.
    pub fn due_reclaims(&self, now: Instant) -> Vec<PeerName> {
        if self.is_leaving {
            return Vec::new();
        }
        let mut due = Vec::new();
        for (holder, grantee) in &self.grantees {
            let current = self.ledger.holders().get(holder);
            let is_mine = current.is_some_and(|entry| {
                entry.grantor_since == grantee.grantor_since
                    && entry.grantor.as_ref() == Some(&self.own)
            });
            if is_mine && now >= grantee.reclaim_not_before {
                due.push(holder.clone());
            }
        }
        due
    }

    /// Decides to reclaim; from now on the holder gets no promise of this grantor_since.
    pub fn decide_reclaim(&mut self, now: Instant, holder: &PeerName) -> Option<EscrowRecord> {
        if !self.due_reclaims(now).contains(holder) {
            return None;
        }
        let grantee = self.grantees.get_mut(holder)?;
        grantee.reclaim_decided = true;
        Some(EscrowRecord::Reclaim {
            holder: holder.clone(),
            grantor_since: grantee.grantor_since,
            by: self.own.clone(),
        })
    }

    /// Puts every decision off after a pause in which requests for promises were not answered.
    pub fn postpone_reclaims(&mut self, now: Instant) {
        for grantee in self.grantees.values_mut() {
            grantee.reclaim_not_before =
                grantee.reclaim_not_before.max(now + self.times.lease_time);
        }
    }

    /// Names a grantor; promises that are asked for from now on count only from it.
    pub fn name_grantor(
        &mut self,
        now: Instant,
        grantor: Option<PeerName>,
    ) -> Option<EscrowRecord> {
        let entry = self.ledger.holders().get(&self.own)?;
        self.replaced_since = Some(entry.grantor_since);
        let latest = now + self.times.lease_time;
        self.leased_until = self.leased_until.map(|until| until.min(latest));
        Some(EscrowRecord::Name {
            holder: self.own.clone(),
            grantor_since: entry.grantor_since,
            grantor,
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
            self.tenures
                .get(partition)
                .is_some_and(|tenure| tenure.begins_at <= now)
        };
        let partitions: Vec<PartitionId> = partitions.iter().filter(begun).copied().collect();
        if partitions.is_empty() {
            return None;
        }
        self.handed_over.extend(&partitions);
        Some(EscrowRecord::HandOver {
            holder: self.own.clone(),
            next: self.ledger.next_offset,
            to: to.clone(),
            partitions,
        })
    }

    /// From now on promises are without end and nothing is reclaimed.
    pub fn begin_leaving(&mut self) {
        self.is_leaving = true;
    }

    /// Whether this daemon leaves.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Whether a grantor_since of this daemon is being ended by its own record.
    pub fn is_naming_grantor(&self) -> bool {
        self.replaced_since.is_some()
    }
}
