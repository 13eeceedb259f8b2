//! Decides when a daemon may spend from a partition: while its grantor's lease lasts, or, without a
//! grantor, while its last read of the log is recent.
//!
//! Free of I/O, so that the model checker in `spec/` runs this code.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::record::{EscrowRecord, PartitionId};
use super::replay::{Ledger, Transfer, TransferKind};
use crate::link::{LeaseAnswer, LeaseRequest, PeerName};
use crate::types::Offset;

/// Durations of the escrow protocol, the same on every daemon of a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct EscrowTimes {
    /// How long a lease, or a read of the log, allows spending, counted from when it was requested.
    pub lease_time: Duration,
    /// Longest time for which tokens are lent.
    pub loan_time: Duration,
    /// Most that two clocks drift apart within `lease_time` and `loan_time` together.
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

/// Lease that a leaving grantor gives: it never reclaims, so the lease need not end.
pub const ENDLESS_LEASE: Duration = Duration::from_secs(365 * 24 * 3600);

/// One uninterrupted period in which this daemon holds a partition.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Tenure {
    /// When this daemon may begin to spend from the partition.
    pub begins_at: Instant,
    /// Whether nobody has spent from the partition before, so that its buckets start full.
    pub starts_full: bool,
}

/// A holder whose lease this daemon grants.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Grantee {
    /// Offset of the record that named this daemon as the grantor.
    grantor_since: Offset,
    /// Earliest time to decide a reclaim: after every lease granted and the wait after being named.
    reclaim_not_before: Instant,
    /// Set once a reclaim record was sent to the log; no lease is granted from then on.
    reclaim_decided: bool,
}

/// Leases and partitions of one daemon, both as a holder and as a grantor.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseState {
    own: PeerName,
    times: EscrowTimes,
    ledger: Ledger,
    /// The partitions that this daemon holds, with the tenure of each.
    tenures: BTreeMap<PartitionId, Tenure>,
    /// Partitions in a hand-over record that was sent; nothing is spent from them any more.
    handed_over: BTreeSet<PartitionId>,
    /// End of the time that the last complete read of the log allows, counted from its sending.
    fresh_until: Option<Instant>,
    /// End of the grantor's lease, counted from when it was requested.
    leased_until: Option<Instant>,
    /// `grantor_since` replaced by a sent `Name` record; no new lease counts until that is read.
    replaced_since: Option<Offset>,
    /// The holders whose leases this daemon grants, or may still have granted.
    grantees: BTreeMap<PeerName, Grantee>,
    /// Set when this daemon begins to leave; it reclaims nothing from then on.
    is_leaving: bool,
    /// Set when records are missing, so that later reads do not show who holds what.
    has_gap: bool,
}

impl LeaseState {
    /// Returns the state of a daemon that has read no record yet.
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

    /// Continues under a later incarnation, as if that one had read the same records. Partitions,
    /// leases and grants of the earlier incarnation end with it.
    pub fn adopt_incarnation(&mut self, own: PeerName) {
        let times = self.times;
        let earlier = std::mem::replace(self, LeaseState::new(own, times, 0));
        self.ledger = earlier.ledger;
        self.is_leaving = earlier.is_leaving;
        self.has_gap = earlier.has_gap;
    }

    /// Returns the holders and partitions according to the records read so far.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the partitions that this daemon holds, with the tenure of each.
    pub fn tenures(&self) -> &BTreeMap<PartitionId, Tenure> {
        &self.tenures
    }

    /// Returns whether a hand-over record was sent for a partition.
    pub fn is_handed_over(&self, partition: PartitionId) -> bool {
        self.handed_over.contains(&partition)
    }

    /// Returns whether the log was read completely less than `lease_time` ago.
    pub fn has_fresh_read(&self, now: Instant) -> bool {
        self.fresh_until.is_some_and(|until| now < until)
    }

    /// Returns whether this daemon may spend from a partition now.
    pub fn may_spend(&self, now: Instant, partition: PartitionId) -> bool {
        let Some(tenure) = self.tenures.get(&partition) else {
            return false;
        };
        if now < tenure.begins_at || self.handed_over.contains(&partition) {
            return false;
        }
        self.may_spend_until().is_some_and(|until| now < until)
    }

    /// Returns when this daemon must stop spending unless it renews its lease or reads the log.
    ///
    /// With a grantor, reads do not count: it may reclaim once its leases have run out, and its
    /// partitions then begin without waiting for reads to expire.
    pub fn may_spend_until(&self) -> Option<Instant> {
        let entry = self.ledger.holders().get(&self.own)?;
        match entry.grantor {
            Some(_) => self.leased_until,
            None => self.fresh_until.max(self.leased_until),
        }
    }

    /// Applies the records of a read that was sent at `asked_at`.
    ///
    /// Only a `whole` read, one that reached the end of the stream, allows spending.
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

    /// Begins or ends a tenure; the wait lets spending and loans of the last holder end.
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

    /// Ends this daemon's lease when it is no longer a holder.
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

    /// Updates the grantees to the holders that name this daemon as grantor.
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

    /// Returns the request to the grantor, unless there is none or it is being replaced.
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

    /// Takes the answer of `grantor` to a lease request that was sent at `sent_at`.
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

    /// Answers a holder's request for a lease.
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

    /// Returns the grantees whose leases have run out, so that a reclaim may be decided.
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

    /// Decides to reclaim a grantee's partitions; it gets no lease from then on.
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

    /// Postpones all reclaims after a pause in which lease requests were not answered.
    pub fn postpone_reclaims(&mut self, now: Instant) {
        for grantee in self.grantees.values_mut() {
            grantee.reclaim_not_before =
                grantee.reclaim_not_before.max(now + self.times.lease_time);
        }
    }

    /// Returns a record that names another grantor. Leases count only if the new one grants them.
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

    /// Returns a record that gives partitions to `to`, and stops spending from them.
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

    /// Makes all leases granted from now on endless, and stops reclaiming.
    pub fn begin_leaving(&mut self) {
        self.is_leaving = true;
    }

    /// Returns whether this daemon is leaving.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Returns whether a sent record that replaces the grantor was not read back yet.
    pub fn is_naming_grantor(&self) -> bool {
        self.replaced_since.is_some()
    }
}
