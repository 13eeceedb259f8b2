//! When to claim, hand over and reclaim partitions, and whom to name as grantor.
//!
//! Nothing here is needed for safety; `leases` refuses what would not be safe.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::leases::{EscrowTimes, LeaseState};
use super::partition::{Candidate, Candidates, SHARD_COUNT};
use super::record::{EscrowRecord, PartitionId};
use super::replay::is_later_incarnation;
use crate::link::{LeaseRequest, PeerName};
use crate::types::DaemonId;

/// What the assignment of partitions wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum AssignmentAction {
    /// Appends a record.
    Append(EscrowRecord),
    /// Asks the grantor for a promise.
    RequestLease(LeaseRequest),
    /// Finds out whether a daemon lives before it is given partitions.
    Probe(PeerName),
}

/// Decisions about partitions over time.
#[derive(Debug)]
pub struct Assignment {
    own: Candidate,
    times: EscrowTimes,
    claim_wait: Duration,
    candidates: Candidates,
    /// Since when each candidate has been known in its present life.
    known_since: BTreeMap<PeerName, Instant>,
    /// Daemons that did not answer, and until when they are passed over.
    avoided_until: BTreeMap<DaemonId, Instant>,
    /// Since when partitions without holder have been seen.
    unheld_since: Option<Instant>,
    /// Since when holders without grantor have looked dead.
    dead_since: BTreeMap<PeerName, Instant>,
    /// When the grantor last answered, or was read to be the grantor.
    answered_at: Option<(PeerName, Instant)>,
    /// A hand-over that waits for the answer to its probe.
    planned_hand_over: Option<(PeerName, Vec<PartitionId>)>,
    /// When each kind of record was last sent, so that a lost one is sent again, but not at once.
    last_sent: LastSent,
    ticked_at: Option<Instant>,
}

#[derive(Debug, Default)]
struct LastSent {
    claim: Option<Instant>,
    name: Option<Instant>,
    recovery: Option<Instant>,
    move_partitions: Option<Instant>,
    reclaims: BTreeMap<PeerName, Instant>,
}

impl Assignment {
    /// Assignment of a daemon that knows no other.
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
            planned_hand_over: None,
            last_sent: LastSent::default(),
            ticked_at: None,
        }
    }

    /// Takes the daemons that may hold partitions; this daemon is always one unless it leaves.
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

    /// How often `tick` is due.
    pub fn tick_interval(&self) -> Duration {
        self.times.lease_time / 6
    }

    /// Notes whether a daemon answered.
    pub fn answered(&mut self, now: Instant, daemon: &DaemonId, answered: bool) {
        if answered {
            self.avoided_until.remove(daemon);
        } else {
            let until = now + self.times.lease_time / 2;
            self.avoided_until.insert(daemon.clone(), until);
        }
    }

    /// Whether a daemon answered when it was last asked.
    pub fn is_reachable(&self, now: Instant, daemon: &DaemonId) -> bool {
        self.avoided_until
            .get(daemon)
            .is_none_or(|until| *until <= now)
    }

    /// Notes a grantor's promise.
    pub fn lease_granted(&mut self, now: Instant, grantor: &PeerName) {
        self.answered_at = Some((grantor.clone(), now));
    }

    /// The probed daemon lives: the planned hand-over goes on.
    pub fn probe_answered(
        &mut self,
        now: Instant,
        leases: &mut LeaseState,
        to: &PeerName,
    ) -> Option<AssignmentAction> {
        let (planned, partitions) = self.planned_hand_over.take()?;
        if planned != *to {
            return None;
        }
        let record = leases.hand_over(now, to, &partitions)?;
        Some(AssignmentAction::Append(record))
    }

    /// Everything that is due now.
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
        if !self.may_send_again(now, self.last_sent.claim) || now < since + self.claim_wait {
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

    fn replace_grantor(
        &mut self,
        now: Instant,
        leases: &mut LeaseState,
    ) -> Option<AssignmentAction> {
        let entry = leases.ledger().holders().get(&self.own.name)?.clone();
        if leases.is_naming_grantor() && !self.may_send_again(now, self.last_sent.name) {
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
        if grantor == entry.grantor || !self.may_send_again(now, self.last_sent.name) {
            return None;
        }
        self.last_sent.name = Some(now);
        let record = leases.name_grantor(now, grantor)?;
        Some(AssignmentAction::Append(record))
    }

    /// Tells that this daemon's earlier life is a grantor no more, and reclaims what its earlier
    /// life held once that life's grantor has ended too. A holder and a grantor that died
    /// together would keep their partitions for good otherwise.
    fn recover_earlier_incarnation(
        &mut self,
        now: Instant,
        leases: &LeaseState,
    ) -> Option<AssignmentAction> {
        if leases.is_leaving() || !self.may_send_again(now, self.last_sent.recovery) {
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

    /// Whether a grantor has left or has not promised for half of what a promise lasts.
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

    fn choose_grantor(&self, now: Instant, silent: Option<&PeerName>) -> Option<PeerName> {
        self.candidates.grantor_for(&self.own, |name| {
            Some(name) != silent && self.is_reachable(now, &name.daemon)
        })
    }

    fn reclaim_from_grantees(
        &mut self,
        now: Instant,
        leases: &mut LeaseState,
        actions: &mut Vec<AssignmentAction>,
    ) {
        for holder in leases.due_reclaims(now) {
            if !self.may_send_again(now, self.last_sent.reclaims.get(&holder).copied()) {
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

    /// Reclaims holders that name no grantor and are gone; the nearest to their partitions does it.
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
            let lives = self.candidates.iter().any(|c| c.name == *holder);
            if entry.grantor.is_some() || lives || *holder == self.own.name {
                self.dead_since.remove(holder);
                continue;
            }
            let since = *self.dead_since.entry(holder.clone()).or_insert(now);
            if leases.is_leaving() || now < since + self.times.lease_time * 2 {
                continue;
            }
            let rank = self.rank_for_partitions_of(holder, leases);
            let sent = self.last_sent.reclaims.get(holder).copied();
            if now < since + self.times.lease_time * 2 + RESEND_INTERVAL * rank
                || !self.may_send_again(now, sent)
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

    fn rank_for_partitions_of(&self, holder: &PeerName, leases: &LeaseState) -> u32 {
        let partitions = leases.ledger().partitions();
        let first = partitions
            .iter()
            .position(|s| s.holder.as_ref() == Some(holder));
        first.map_or(0, |partition| {
            self.candidates
                .rank(partition as PartitionId, &self.own.name) as u32
        })
    }

    fn hand_over_all(
        &mut self,
        now: Instant,
        leases: &mut LeaseState,
        actions: &mut Vec<AssignmentAction>,
    ) {
        if !self.may_send_again(now, self.last_sent.move_partitions) {
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
            self.last_sent.move_partitions = Some(now);
            actions.push(AssignmentAction::Append(record));
        }
    }

    /// Plans to hand partitions of one class to a daemon that they prefer, so that no organisation
    /// has two shards on the move.
    fn rebalance(&mut self, now: Instant, leases: &LeaseState) -> Option<AssignmentAction> {
        let pause = self.times.loan_time + self.times.lease_time / 3;
        if self
            .last_sent
            .move_partitions
            .is_some_and(|at| now < at + pause)
        {
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
        self.last_sent.move_partitions = Some(now);
        self.planned_hand_over = Some((to.clone(), partitions));
        Some(AssignmentAction::Probe(to))
    }

    /// Where a partition should go; a partition whose hand-over was lost goes to anyone.
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

    fn has_settled(&self, now: Instant, target: &PeerName) -> bool {
        let since = self.known_since.get(target);
        let settled = since.is_some_and(|since| now >= *since + self.times.lease_time);
        settled && self.is_reachable(now, &target.daemon)
    }

    fn may_send_again(&self, now: Instant, sent: Option<Instant>) -> bool {
        sent.is_none_or(|at| now >= at + RESEND_INTERVAL)
    }
}

/// A record that was not read back after this time is sent again.
const RESEND_INTERVAL: Duration = Duration::from_secs(1);
