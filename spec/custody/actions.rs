//! What the daemons of the model do.

use banyanbeam::allowance::leases::{LeaseState, ENDLESS_LEASE};
use banyanbeam::allowance::record::EscrowRecord;
use banyanbeam::link::{LeaseAnswer, LeaseRequest};

use super::super::mutation::Mutation;
use super::{peer, LeaseModel, World, A, B, C, NAMES};

impl LeaseModel {
    pub(super) fn ask(&self, world: &World, next: &mut Vec<(String, World)>) {
        let state = self.daemons.get(world.daemons[A]);
        let Some(request) = state.lease_request() else {
            return;
        };
        let to = NAMES
            .iter()
            .position(|name| **name == *request.grantor.daemon);
        if let (None, None, Some(to)) = (world.ask, world.reply, to) {
            let ask = Some((world.t, to as u8));
            next.push((format!("A asks {}", NAMES[to]), World { ask, ..*world }));
        }
    }

    pub(super) fn promise(&self, world: &World, next: &mut Vec<(String, World)>) {
        if let Some((sent, to)) = world.ask {
            let to = usize::from(to);
            let mut state = self.daemon(world, to);
            let request = LeaseRequest {
                holder: peer(A, 1),
                grantor: peer(to, 1),
            };
            let now = self.clock(to, world.t);
            let answer = state.grant_lease(now, &request);
            let mut after = match self.is(Mutation::NoWaitForLeases) {
                true => *world,
                false => self.with_daemon(world, to, state),
            };
            after.ask = None;
            if let Some(holds_for) = answer.holds_for {
                after.reply = Some((sent, to as u8, holds_for == ENDLESS_LEASE));
                next.push((format!("{} promises", NAMES[to]), after));
            }
            next.push((
                "A's request is lost".to_owned(),
                World {
                    ask: None,
                    ..*world
                },
            ));
        }
        if let Some((sent, from, endless)) = world.reply {
            let now = self.clock(A, world.t);
            let sent_at = match self.is(Mutation::LeaseFromArrival) {
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
                reply: None,
                ..after
            };
            next.push(("A has the promise".to_owned(), after));
        }
    }

    pub(super) fn name(&self, world: &World, next: &mut Vec<(String, World)>) {
        let mut state = self.daemon(world, A);
        let current = state.ledger().holders().get(&peer(A, 1)).cloned();
        let Some(current) = current.filter(|_| !state.is_naming_grantor()) else {
            return;
        };
        let now = self.clock(A, world.t);
        let target = match current.grantor {
            Some(grantor) if grantor == peer(C, 1) => B,
            _ => C,
        };
        let Some(record) = state.name_grantor(now, Some(peer(target, 1))) else {
            return;
        };
        let mut after = self.with_record(world, record);
        if !self.is(Mutation::CountFormerGrantor) {
            after = self.with_daemon(&after, A, state);
        }
        after.named += 1;
        if after != *world {
            next.push((format!("A names {}", NAMES[target]), after));
        }
    }

    pub(super) fn reclaim(&self, world: &World, daemon: usize, next: &mut Vec<(String, World)>) {
        let mut now = self.clock(daemon, world.t);
        if self.is(Mutation::NewGrantorDoesNotWait) && daemon == C {
            now += self.times(C).lease_time;
        }
        let mut state = self.daemon(world, daemon);
        for holder in state.due_reclaims(now) {
            let Some(record) = state.decide_reclaim(now, &holder) else {
                continue;
            };
            let mut after = self.with_record(world, record);
            if !self.is(Mutation::LeaseAfterDecision) {
                after = self.with_daemon(&after, daemon, state.clone());
            }
            if after != *world {
                next.push((format!("{} decides to reclaim", NAMES[daemon]), after));
            }
        }
        if self.is(Mutation::InheritedGrantor) && daemon == C {
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

    pub(super) fn take_open(&self, world: &World, daemon: usize, next: &mut Vec<(String, World)>) {
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

    pub(super) fn hand_over(
        &self,
        world: &World,
        from: usize,
        to: usize,
        next: &mut Vec<(String, World)>,
    ) {
        let now = self.clock(from, world.t);
        let mut state = self.daemon(world, from);
        if state.is_handed_over(0) {
            return;
        }
        let Some(record) = state.hand_over(now, &peer(to, 1), &[0]) else {
            return;
        };
        let mut after = self.with_record(world, record);
        if !self.is(Mutation::SpendAfterHandOver) {
            after = self.with_daemon(&after, from, state);
        }
        let text = format!("{} hands the partition to {}", NAMES[from], NAMES[to]);
        next.push((text, after));
    }

    pub(super) fn retire(&self, world: &World, next: &mut Vec<(String, World)>) {
        let mut state = self.daemon(world, B);
        if state.is_leaving() {
            return;
        }
        let mut retired = state.clone();
        retired.begin_leaving();
        if self.is(Mutation::RetiredReclaims) {
            // Promises without end are given, but the state forgets that it leaves.
            if let Some((sent, to)) = world.ask.filter(|(_, to)| usize::from(*to) == B) {
                state.grant_lease(
                    self.clock(B, world.t),
                    &LeaseRequest {
                        holder: peer(A, 1),
                        grantor: peer(B, 1),
                    },
                );
                let mut after = self.with_daemon(world, B, state);
                after.ask = None;
                after.reply = Some((sent, to, true));
                next.push(("B leaves, promises without end and stays".to_owned(), after));
            }
            return;
        }
        let after = self.with_daemon(world, B, retired);
        next.push(("B begins to leave".to_owned(), after));
    }

    pub(super) fn come_back(&self, world: &World, next: &mut Vec<(String, World)>) {
        if world.returned {
            return;
        }
        let life = match self.is(Mutation::LivesAreOne) {
            true => 1,
            false => 2,
        };
        let state = LeaseState::new(peer(B, life), self.times(B), 1);
        let after = self.with_daemon(world, B, state);
        let after = World {
            returned: true,
            ..after
        };
        next.push(("B ends and comes back".to_owned(), after));
    }
}
