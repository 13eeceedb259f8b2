//! The steps that the model's daemons can take.

use banyanbeam::allowance::leases::{LeaseState, ENDLESS_LEASE};
use banyanbeam::allowance::record::EscrowRecord;
use banyanbeam::link::{LeaseAnswer, LeaseRequest};

use super::super::mutation::Mutation;
use super::{peer, LeaseModel, World, A, B, C, NAMES};

impl LeaseModel {
    /// Adds the step in which A asks its grantor for a lease, one request at a time.
    pub(super) fn request_lease(&self, world: &World, next: &mut Vec<(String, World)>) {
        let state = self.daemons.get(world.daemons[A]);
        let Some(request) = state.lease_request() else {
            return;
        };
        let to = NAMES
            .iter()
            .position(|name| **name == *request.grantor.daemon);
        if let (None, None, Some(to)) = (world.lease_request, world.lease_answer, to) {
            let lease_request = Some((world.tick, to as u8));
            next.push((
                format!("A asks {}", NAMES[to]),
                World {
                    lease_request,
                    ..*world
                },
            ));
        }
    }

    /// Adds the steps in which the grantor answers, the request is lost, or A gets the answer.
    pub(super) fn exchange_lease(&self, world: &World, next: &mut Vec<(String, World)>) {
        if let Some((sent, to)) = world.lease_request {
            let to = usize::from(to);
            let mut state = self.daemon(world, to);
            let request = LeaseRequest {
                holder: peer(A, 1),
                grantor: peer(to, 1),
            };
            let now = self.clock(to, world.tick);
            let answer = state.grant_lease(now, &request);
            let mut after = match self.has(Mutation::NoWaitForLeases) {
                true => *world,
                false => self.with_daemon(world, to, state),
            };
            after.lease_request = None;
            if let Some(holds_for) = answer.holds_for {
                after.lease_answer = Some((sent, to as u8, holds_for == ENDLESS_LEASE));
                next.push((format!("{} grants a lease", NAMES[to]), after));
            }
            next.push((
                "A's request is lost".to_owned(),
                World {
                    lease_request: None,
                    ..*world
                },
            ));
        }
        if let Some((sent, from, endless)) = world.lease_answer {
            let now = self.clock(A, world.tick);
            let sent_at = match self.has(Mutation::LeaseFromArrival) {
                true => now,
                false => self.clock(A, sent),
            };
            let holds_for = match endless {
                true => ENDLESS_LEASE,
                false => self.times(A).lease_time,
            };
            let answer = LeaseAnswer {
                holds_for: Some(holds_for),
            };
            let mut state = self.daemon(world, A);
            state.lease_granted(sent_at, &peer(usize::from(from), 1), &answer);
            let after = self.with_daemon(world, A, state);
            let after = World {
                lease_answer: None,
                ..after
            };
            next.push(("A receives the lease".to_owned(), after));
        }
    }

    /// Adds the step in which A names another grantor: C, or B if C is the grantor.
    pub(super) fn name_grantor(&self, world: &World, next: &mut Vec<(String, World)>) {
        let mut state = self.daemon(world, A);
        let current = state.ledger().holders().get(&peer(A, 1)).cloned();
        let Some(current) = current.filter(|_| !state.is_naming_grantor()) else {
            return;
        };
        let now = self.clock(A, world.tick);
        let target = match current.grantor {
            Some(grantor) if grantor == peer(C, 1) => B,
            _ => C,
        };
        let Some(record) = state.name_grantor(now, Some(peer(target, 1))) else {
            return;
        };
        let mut after = self.with_record(world, record);
        if !self.has(Mutation::CountFormerGrantor) {
            after = self.with_daemon(&after, A, state);
        }
        after.naming_count += 1;
        if after != *world {
            next.push((format!("A names {}", NAMES[target]), after));
        }
    }

    /// Adds the steps in which a grantor decides to reclaim once its leases have run out.
    pub(super) fn reclaim(&self, world: &World, daemon: usize, next: &mut Vec<(String, World)>) {
        let mut now = self.clock(daemon, world.tick);
        if self.has(Mutation::NewGrantorDoesNotWait) && daemon == C {
            now += self.times(C).lease_time;
        }
        let mut state = self.daemon(world, daemon);
        for holder in state.due_reclaims(now) {
            let Some(record) = state.decide_reclaim(now, &holder) else {
                continue;
            };
            let mut after = self.with_record(world, record);
            if !self.has(Mutation::LeaseAfterDecision) {
                after = self.with_daemon(&after, daemon, state.clone());
            }
            if after != *world {
                next.push((format!("{} decides to reclaim", NAMES[daemon]), after));
            }
        }
        if self.has(Mutation::InheritedGrantor) && daemon == C {
            if let Some(entry) = state.ledger().holders().get(&peer(A, 1)) {
                let inherited = EscrowRecord::Name {
                    holder: peer(A, 1),
                    grantor_since: entry.grantor_since,
                    grantor: Some(peer(C, 1)),
                };
                let after = self.with_record(world, inherited);
                next.push(("C takes B's place as grantor".to_owned(), after));
            }
        }
    }

    /// Adds the steps in which a daemon reclaims from a holder without a grantor.
    pub(super) fn take_over(&self, world: &World, daemon: usize, next: &mut Vec<(String, World)>) {
        let state = self.daemons.get(world.daemons[daemon]);
        for (holder, entry) in state.ledger().holders() {
            if entry.grantor.is_some() || *holder == peer(daemon, 1) {
                continue;
            }
            let record = EscrowRecord::Reclaim {
                holder: holder.clone(),
                grantor_since: entry.grantor_since,
                by: peer(daemon, 1),
            };
            let after = self.with_record(world, record);
            next.push((format!("{} takes the partition", NAMES[daemon]), after));
        }
    }

    /// Adds the step in which one daemon hands the partition to another.
    pub(super) fn hand_over(
        &self,
        world: &World,
        from: usize,
        to: usize,
        next: &mut Vec<(String, World)>,
    ) {
        let now = self.clock(from, world.tick);
        let mut state = self.daemon(world, from);
        if state.is_handed_over(0) {
            return;
        }
        let Some(record) = state.hand_over(now, &peer(to, 1), &[0]) else {
            return;
        };
        let mut after = self.with_record(world, record);
        if !self.has(Mutation::SpendAfterHandOver) {
            after = self.with_daemon(&after, from, state);
        }
        let text = format!("{} hands the partition to {}", NAMES[from], NAMES[to]);
        next.push((text, after));
    }

    /// Adds the step in which B begins its planned stop.
    pub(super) fn begin_leaving(&self, world: &World, next: &mut Vec<(String, World)>) {
        let mut state = self.daemon(world, B);
        if state.is_leaving() {
            return;
        }
        let mut retired = state.clone();
        retired.begin_leaving();
        if self.has(Mutation::LeavingGrantorReclaims) {
            // B grants an endless lease, but its state does not record that it leaves.
            if let Some((sent, to)) = world.lease_request.filter(|(_, to)| usize::from(*to) == B) {
                state.grant_lease(
                    self.clock(B, world.tick),
                    &LeaseRequest {
                        holder: peer(A, 1),
                        grantor: peer(B, 1),
                    },
                );
                let mut after = self.with_daemon(world, B, state);
                after.lease_request = None;
                after.lease_answer = Some((sent, to, true));
                next.push((
                    "B leaves, grants an endless lease and stays".to_owned(),
                    after,
                ));
            }
            return;
        }
        let after = self.with_daemon(world, B, retired);
        next.push(("B begins to leave".to_owned(), after));
    }

    /// Adds the step in which B ends and starts again under its next incarnation.
    pub(super) fn restart_grantor(&self, world: &World, next: &mut Vec<(String, World)>) {
        if world.restarted {
            return;
        }
        let incarnation = match self.has(Mutation::IncarnationsAreOne) {
            true => 1,
            false => 2,
        };
        let state = LeaseState::new(peer(B, incarnation), self.times(B), 1);
        let after = self.with_daemon(world, B, state);
        let after = World {
            restarted: true,
            ..after
        };
        next.push(("B ends and comes back".to_owned(), after));
    }
}
