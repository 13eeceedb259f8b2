//! Decides when to claim, hand over and reclaim partitions, and which daemon to name as grantor.
//!
//! Safety does not depend on these decisions: `leases` refuses any that would be unsafe.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::leases::{EscrowTimes, LeaseState};
use super::partition::{Candidate, Candidates, SHARD_COUNT};
use super::record::{EscrowRecord, PartitionId};
use super::replay::is_later_incarnation;
use crate::link::{LeaseRequest, PeerName};
use crate::types::DaemonId;

/// Actions that the assignment of partitions asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum AssignmentAction {
    /// Append a record to the escrow stream.
    Append(EscrowRecord),
    /// Request a lease from the grantor.
    RequestLease(LeaseRequest),
    /// Check that a daemon answers before it is given partitions.
    Probe(PeerName),
}

/// When each decision about partitions is due, and what other daemons are known.
#[derive(Debug)]
pub struct Assignment {
    own: Candidate,
    times: EscrowTimes,
    /// Wait before partitions without a holder are claimed.
    claim_wait: Duration,
    /// The daemons that may hold partitions, this one included.
    candidates: Candidates,
    /// When each candidate was first known in its present incarnation.
    known_since: BTreeMap<PeerName, Instant>,
    /// Daemons that did not answer, and until when they are not used.
    avoided_until: BTreeMap<DaemonId, Instant>,
    /// Since when partitions without a holder have been seen.
    unheld_since: Option<Instant>,
    /// Since when each holder without a grantor has been missing from the candidates.
    dead_since: BTreeMap<PeerName, Instant>,
    /// The grantor, and when it last granted a lease or was first seen as the grantor.
    answered_at: Option<(PeerName, Instant)>,
    /// A hand-over that waits for the answer to its probe.
    planned: Option<(PeerName, Vec<PartitionId>)>,
    /// When each kind of record was last sent, to limit how often a lost one is sent again.
    last_sent: LastSent,
    /// When `tick` last ran; a long gap means that this daemon was paused.
    ticked_at: Option<Instant>,
}

/// When this daemon last sent each kind of record.
#[derive(Debug, Default)]
struct LastSent {
    claim: Option<Instant>,
    /// A record that names a grantor.
    name: Option<Instant>,
    /// A `Renounce`, or the reclaim of an earlier incarnation's partitions.
    recovery: Option<Instant>,
    /// A hand-over, or the probe before it.
    moves: Option<Instant>,
    /// Reclaims, by the holder that loses its partitions.
    reclaims: BTreeMap<PeerName, Instant>,
}

impl Assignment {
    /// Returns the assignment of a daemon that knows no other daemon.
    pub fn new(own: Candidate, times: EscrowTimes, claim_wait: Duration) -> Assignment {
        Assignment {
            candidates: Candidates::new(vec![own.clone()]),
            own,
            times,
            claim_wait,
            known_since: BTreeMap::new(),
            avoided_until: BTreeMap::new(),
            unheld_since: None,
            dead_since: BTreeMap::new(),
            answered_at: None,
            planned: None,
            last_sent: LastSent::default(),
            ticked_at: None,
        }
    }

    /// Sets the daemons that may hold partitions; this daemon is always one of them.
    pub fn set_candidates(&mut self, now: Instant, mut others: Vec<Candidate>) {
        others.retain(|candidate| candidate.name.daemon != self.own.name.daemon);
        self.known_since
            .retain(|name, _| others.iter().any(|c| c.name == *name));
        for candidate in &others {
            let name = candidate.name.clone();
            self.known_since.entry(name).or_insert(now);
        }
        others.push(self.own.clone());
        others.sort_by(|a, b| a.name.cmp(&b.name));
        self.candidates = Candidates::new(others);
    }

    /// Returns the interval at which `tick` is due, a sixth of the lease time.
    pub fn tick_interval(&self) -> Duration {
        self.times.lease_time / 6
    }

    /// Records whether a daemon answered a call.
    pub fn answered(&mut self, now: Instant, daemon: &DaemonId, answered: bool) {
        if answered {
            self.avoided_until.remove(daemon);
        } else {
            let until = now + self.times.lease_time / 2;
            self.avoided_until.insert(daemon.clone(), until);
        }
    }

    /// Returns whether a daemon has not failed to answer within the last half lease time.
    pub fn is_reachable(&self, now: Instant, daemon: &DaemonId) -> bool {
        self.avoided_until
            .get(daemon)
            .is_none_or(|until| *until <= now)
    }

    /// Records that the grantor granted a lease.
    pub fn lease_granted(&mut self, now: Instant, grantor: &PeerName) {
        self.answered_at = Some((grantor.clone(), now));
    }

    /// Continues the planned hand-over once the probed daemon has answered.
    pub fn probe_answered(
        &mut self,
        now: Instant,
        leases: &mut LeaseState,
        to: &PeerName,
    ) -> Option<AssignmentAction> {
        let (planned, partitions) = self.planned.take()?;
        if planned != *to {
            return None;
        }
        let record = leases.hand_over(now, to, &partitions)?;
        Some(AssignmentAction::Append(record))
    }

    /// Returns all actions that are due now.
    pub fn tick(&mut self, now: Instant, leases: &mut LeaseState) -> Vec<AssignmentAction> {
        let mut actions = Vec::new();
        let paused = self
            .ticked_at
            .is_some_and(|at| now > at + self.times.lease_time / 2);
        self.ticked_at = Some(now);
        if paused {
            leases.postpone_reclaims(now);
        }
        if let Some(request) = leases.lease_request() {
            actions.push(AssignmentAction::RequestLease(request));
        }
        if !leases.has_fresh_read(now) {
            return actions;
        }
        actions.extend(self.claim_unheld(now, leases));
        actions.extend(self.replace_grantor(now, leases));
        actions.extend(self.recover_earlier_incarnation(now, leases));
        self.reclaim_from_grantees(now, leases, &mut actions);
        self.reclaim_without_grantor(now, leases, &mut actions);
        if leases.is_leaving() {
            self.hand_over_all(now, leases, &mut actions);
        } else {
            actions.extend(self.rebalance(now, leases));
        }
        actions
    }

    /// Claims partitions without a holder. Waits longer for those that prefer other candidates.
    fn claim_unheld(&mut self, now: Instant, leases: &LeaseState) -> Option<AssignmentAction> {
        let partitions = leases.ledger().partitions();
        let is_unheld =
            |partition: &PartitionId| partitions[usize::from(*partition)].holder.is_none();
        let unheld: Vec<PartitionId> = (0..partitions.len() as PartitionId)
            .filter(is_unheld)
            .collect();
        if unheld.is_empty() || leases.is_leaving() {
            self.unheld_since = None;
            return None;
        }
        let since = *self.unheld_since.get_or_insert(now);
        if !self.may_resend(now, self.last_sent.claim) || now < since + self.claim_wait {
            return None;
        }
        let own = &self.own.name;
        let is_mine = |partition: &PartitionId| {
            let rank = self.candidates.rank(*partition, own) as u32;
            now >= since + self.claim_wait * (rank + 1)
        };
        let partitions: Vec<PartitionId> = unheld.into_iter().filter(is_mine).collect();
        if partitions.is_empty() {
            return None;
        }
        self.last_sent.claim = Some(now);
        Some(AssignmentAction::Append(EscrowRecord::Claim {
            holder: self.own.name.clone(),
            grantor: self.choose_grantor(now, None),
            partitions,
        }))
    }

    /// Names another grantor if the present one is silent or missing.
    fn replace_grantor(
        &mut self,
        now: Instant,
        leases: &mut LeaseState,
    ) -> Option<AssignmentAction> {
        let entry = leases.ledger().holders().get(&self.own.name)?.clone();
        if leases.is_naming_grantor() && !self.may_resend(now, self.last_sent.name) {
            return None;
        }
        let silent = match &entry.grantor {
            None => true,
            Some(named) => self.is_grantor_silent(now, named),
        };
        if !silent {
            return None;
        }
        let grantor = self.choose_grantor(now, entry.grantor.as_ref());
        if grantor == entry.grantor || !self.may_resend(now, self.last_sent.name) {
            return None;
        }
        self.last_sent.name = Some(now);
        let record = leases.name_grantor(now, grantor)?;
        Some(AssignmentAction::Append(record))
    }

    /// Records that this daemon's earlier incarnation is no longer a grantor. Reclaims what its
    /// earlier incarnation held once that one's grantor has ended too; otherwise a holder and a
    /// grantor that died together would keep their partitions for ever.
    fn recover_earlier_incarnation(
        &mut self,
        now: Instant,
        leases: &LeaseState,
    ) -> Option<AssignmentAction> {
        if leases.is_leaving() || !self.may_resend(now, self.last_sent.recovery) {
            return None;
        }
        let own = &self.own.name;
        let holders = leases.ledger().holders();
        let grantors = holders.values().filter(|entry| !entry.grantor_ended);
        let mut grantors = grantors.filter_map(|entry| entry.grantor.as_ref());
        let mut held = holders.iter().filter(|(_, entry)| entry.grantor_ended);
        let record = if let Some(earlier) = grantors.find(|named| is_later_incarnation(own, named))
        {
            EscrowRecord::Renounce {
                grantor: earlier.clone(),
                by: own.clone(),
            }
        } else {
            let (earlier, entry) = held.find(|(holder, _)| is_later_incarnation(own, holder))?;
            EscrowRecord::Reclaim {
                holder: earlier.clone(),
                grantor_since: entry.grantor_since,
                by: own.clone(),
            }
        };
        self.last_sent.recovery = Some(now);
        Some(AssignmentAction::Append(record))
    }

    /// Returns whether the grantor has left, or granted no lease for half the lease time.
    fn is_grantor_silent(&mut self, now: Instant, named: &PeerName) -> bool {
        let known = self.candidates.iter().any(|c| c.name == *named);
        match &self.answered_at {
            Some((answered, at)) if answered == named => {
                !known || now > *at + self.times.lease_time / 2
            }
            _ => {
                self.answered_at = Some((named.clone(), now));
                !known
            }
        }
    }

    /// Returns a reachable daemon other than `silent` to be this daemon's grantor.
    fn choose_grantor(&self, now: Instant, silent: Option<&PeerName>) -> Option<PeerName> {
        self.candidates.grantor_for(&self.own, |name| {
            Some(name) != silent && self.is_reachable(now, &name.daemon)
        })
    }

    /// Reclaims the partitions of grantees whose leases have run out.
    fn reclaim_from_grantees(
        &mut self,
        now: Instant,
        leases: &mut LeaseState,
        actions: &mut Vec<AssignmentAction>,
    ) {
        for holder in leases.due_reclaims(now) {
            if !self.may_resend(now, self.last_sent.reclaims.get(&holder).copied()) {
                continue;
            }
            if let Some(record) = leases.decide_reclaim(now, &holder) {
                self.last_sent.reclaims.insert(holder, now);
                actions.push(AssignmentAction::Append(record));
            }
        }
        let holders = leases.ledger().holders();
        self.last_sent
            .reclaims
            .retain(|holder, _| holders.contains_key(holder));
    }

    /// Reclaims from holders without a grantor that are missing. The candidate that their
    /// partitions prefer most acts first.
    fn reclaim_without_grantor(
        &mut self,
        now: Instant,
        leases: &LeaseState,
        actions: &mut Vec<AssignmentAction>,
    ) {
        let holders = leases.ledger().holders();
        self.dead_since
            .retain(|holder, _| holders.contains_key(holder));
        for (holder, entry) in holders {
            let is_known = self.candidates.iter().any(|c| c.name == *holder);
            if entry.grantor.is_some() || is_known || *holder == self.own.name {
                self.dead_since.remove(holder);
                continue;
            }
            let since = *self.dead_since.entry(holder.clone()).or_insert(now);
            if leases.is_leaving() || now < since + self.times.lease_time * 2 {
                continue;
            }
            let rank = self.holder_rank(holder, leases);
            let sent = self.last_sent.reclaims.get(holder).copied();
            if now < since + self.times.lease_time * 2 + RESEND_INTERVAL * rank
                || !self.may_resend(now, sent)
            {
                continue;
            }
            self.last_sent.reclaims.insert(holder.clone(), now);
            actions.push(AssignmentAction::Append(EscrowRecord::Reclaim {
                holder: holder.clone(),
                grantor_since: entry.grantor_since,
                by: self.own.name.clone(),
            }));
        }
    }

    /// Returns this daemon's rank for the first partition of a holder.
    fn holder_rank(&self, holder: &PeerName, leases: &LeaseState) -> u32 {
        let partitions = leases.ledger().partitions();
        let first = partitions
            .iter()
            .position(|s| s.holder.as_ref() == Some(holder));
        first.map_or(0, |partition| {
            self.candidates
                .rank(partition as PartitionId, &self.own.name) as u32
        })
    }

    /// Hands all partitions over before this daemon leaves.
    fn hand_over_all(
        &mut self,
        now: Instant,
        leases: &mut LeaseState,
        actions: &mut Vec<AssignmentAction>,
    ) {
        if !self.may_resend(now, self.last_sent.moves) {
            return;
        }
        let others = self.candidates.iter().filter(|c| {
            c.name.daemon != self.own.name.daemon && self.is_reachable(now, &c.name.daemon)
        });
        let others = Candidates::new(others.cloned().collect());
        let mut by_target: BTreeMap<PeerName, Vec<PartitionId>> = BTreeMap::new();
        for partition in leases.tenures().keys() {
            if let Some(target) = others.preferred(*partition) {
                let partitions = by_target.entry(target.name.clone()).or_default();
                partitions.push(*partition);
            }
        }
        for (target, partitions) in by_target {
            let Some(record) = leases.hand_over(now, &target, &partitions) else {
                continue;
            };
            self.last_sent.moves = Some(now);
            actions.push(AssignmentAction::Append(record));
        }
    }

    /// Plans to hand partitions of one class to a daemon that they prefer. One class at a time, so
    /// that no organisation has two shards in transfer.
    fn rebalance(&mut self, now: Instant, leases: &LeaseState) -> Option<AssignmentAction> {
        let pause = self.times.loan_time + self.times.lease_time / 3;
        if self.last_sent.moves.is_some_and(|at| now < at + pause) {
            return None;
        }
        let mut found: Option<(PeerName, Vec<PartitionId>)> = None;
        for (partition, tenure) in leases.tenures() {
            if tenure.begins_at > now {
                continue;
            }
            let Some(target) = self.preferred_target(now, *partition, leases) else {
                continue;
            };
            match &mut found {
                None => found = Some((target, vec![*partition])),
                Some((to, partitions))
                    if *to == target && partitions[0] % SHARD_COUNT == partition % SHARD_COUNT =>
                {
                    partitions.push(*partition);
                }
                Some(_) => {}
            }
        }
        let (to, partitions) = found?;
        self.last_sent.moves = Some(now);
        self.planned = Some((to.clone(), partitions));
        Some(AssignmentAction::Probe(to))
    }

    /// Returns the daemon that should get a partition, if any. A partition that this daemon should
    /// hold, but gave away in a record that was lost, goes to any reachable daemon.
    fn preferred_target(
        &self,
        now: Instant,
        partition: PartitionId,
        leases: &LeaseState,
    ) -> Option<PeerName> {
        let target = self.candidates.preferred(partition)?.name.clone();
        if target == self.own.name {
            return leases
                .is_handed_over(partition)
                .then(|| self.choose_grantor(now, None))
                .flatten();
        }
        self.has_settled(now, &target).then_some(target)
    }

    /// Returns whether a daemon has been known for a lease time and is reachable.
    fn has_settled(&self, now: Instant, target: &PeerName) -> bool {
        let since = self.known_since.get(target);
        let settled = since.is_some_and(|since| now >= *since + self.times.lease_time);
        settled && self.is_reachable(now, &target.daemon)
    }

    /// Returns whether a record sent at `sent` may be sent again.
    fn may_resend(&self, now: Instant, sent: Option<Instant>) -> bool {
        sent.is_none_or(|at| now >= at + RESEND_INTERVAL)
    }
}

/// Time after which a record that was not read back is sent again.
const RESEND_INTERVAL: Duration = Duration::from_secs(1);
