//! How messages, records and reads travel.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use super::super::platform::Reader;
use super::{Happening, Network, CALL_TIMEOUT, HEAR, READ_RETRY, READ_WAIT};
use crate::allowance::message::{AllowanceEvent, CallId};
use crate::allowance::EscrowRecord;
use crate::link::{LinkError, PeerAnswer, PeerName, PeerRequest};
use crate::membership::{DaemonEntry, Fleet};
use crate::types::DaemonId;

impl Network {
    pub(super) fn call(
        &mut self,
        daemon: usize,
        call: CallId,
        to: &DaemonId,
        request: PeerRequest,
    ) {
        self.message_count += 1;
        let life = self.nodes[daemon].life;
        let answered = |answer| AllowanceEvent::Answered { call, answer };
        let target = self.nodes.iter().position(|node| node.name == *to);
        let Some(to) = target.filter(|to| self.nodes[*to].policy.is_some()) else {
            let at = self.now + self.options.delay.1;
            let event = answered(Err(LinkError::Unreachable));
            return self.schedule(at, Happening::Event(daemon, life, event));
        };
        let event = answered(Err(LinkError::Silent));
        self.schedule(
            self.now + CALL_TIMEOUT,
            Happening::Event(daemon, life, event),
        );
        let name = PeerName {
            daemon: self.nodes[daemon].name.clone(),
            incarnation: self.nodes[daemon].incarnation,
        };
        let copies = self.copies(daemon, to);
        for _ in 0..copies {
            let at = self.now + self.between(self.options.delay.0, self.options.delay.1);
            let happening = Happening::Asked {
                to,
                from: (daemon, life, name.clone()),
                call,
                request: request.clone(),
            };
            self.schedule(at, happening);
        }
    }

    pub(super) fn asked(
        &mut self,
        to: usize,
        (from, life, name): (usize, u64, PeerName),
        call: CallId,
        request: PeerRequest,
    ) {
        let reply = self.next_reply;
        self.next_reply += 1;
        self.replies.insert(reply, (from, life, call));
        let event = match request {
            PeerRequest::Borrow(request) => AllowanceEvent::Borrow {
                call: reply,
                from: name,
                request,
            },
            PeerRequest::Lease(request) => AllowanceEvent::Lease {
                call: reply,
                request,
            },
            _ => return,
        };
        self.event(to, self.nodes[to].life, event);
    }

    pub(super) fn reply(&mut self, daemon: usize, call: CallId, answer: PeerAnswer) {
        let Some((to, life, call)) = self.replies.remove(&call) else {
            return;
        };
        self.message_count += 1;
        for _ in 0..self.copies(daemon, to) {
            let at = self.now + self.between(self.options.delay.0, self.options.delay.1);
            let event = AllowanceEvent::Answered {
                call,
                answer: Ok(answer.clone()),
            };
            self.schedule(at, Happening::Event(to, life, event));
        }
    }

    pub(super) fn append(&mut self, daemon: usize, record: EscrowRecord) {
        if self.nodes[daemon].log_cut {
            return;
        }
        let doubled = self.rng.random_bool(self.options.double_share);
        for _ in 0..1 + usize::from(doubled) {
            let mut way = self.between(self.options.log_delay.0, self.options.log_delay.1);
            if self.rng.random_bool(self.options.late_share) {
                way += self.between(Duration::ZERO, self.options.late);
            }
            self.schedule(self.now + way, Happening::Appended(record.clone()));
        }
    }

    pub(super) fn send_read(&mut self, daemon: usize, life: u64) {
        let node = &self.nodes[daemon];
        if node.life != life || node.policy.is_none() {
            return;
        }
        if self.now < node.paused_until {
            let at = node.paused_until;
            return self.schedule(at, Happening::ReadSent(daemon, life));
        }
        let way = self.between(self.options.log_delay.0, self.options.log_delay.1);
        let reader = Reader {
            daemon,
            life,
            from: self.nodes[daemon].next,
            asked_at: self.now,
            until: self.now + way + READ_WAIT,
        };
        self.schedule(self.now + way, Happening::ReadArrives(reader));
    }

    pub(super) fn read_arrives(&mut self, reader: Reader) {
        if self.platform.down || self.nodes[reader.daemon].log_cut {
            let again = Happening::ReadSent(reader.daemon, reader.life);
            return self.schedule(self.now + READ_RETRY, again);
        }
        if self.platform.has(reader.from) {
            return self.answer_read(reader);
        }
        self.platform.wait(reader.clone());
        self.schedule(reader.until, Happening::ReadOver(reader));
    }

    pub(super) fn answer_read(&mut self, reader: Reader) {
        let Reader { daemon, life, .. } = reader;
        if self.nodes[daemon].life != life {
            return;
        }
        let at = self.now + self.between(self.options.log_delay.0, self.options.log_delay.1);
        let again = Happening::ReadSent(daemon, life);
        if self.platform.down || self.nodes[daemon].log_cut {
            return self.schedule(at + READ_RETRY, again);
        }
        let records = self.platform.read(reader.from);
        if let Some((last, _)) = records.last() {
            self.nodes[daemon].next = last + 1;
        }
        let event = AllowanceEvent::Read {
            asked_at: reader.asked_at,
            records,
            whole: true,
        };
        self.schedule(at, Happening::Event(daemon, life, event));
        self.schedule(at, again);
    }

    pub(super) fn copies(&mut self, from: usize, to: usize) -> usize {
        let cut = self.cuts.get(&(from, to)).copied().unwrap_or(false);
        if cut || self.rng.random_bool(self.options.loss_share) {
            return 0;
        }
        1 + usize::from(self.rng.random_bool(self.options.double_share))
    }

    pub(super) fn raise(&mut self, daemon: usize) {
        self.nodes[daemon].incarnation += 1;
        self.tell_fleet(Duration::ZERO);
    }

    pub(super) fn tell_fleet(&mut self, after: Duration) {
        for daemon in 0..self.nodes.len() {
            if self.nodes[daemon].policy.is_none() {
                continue;
            }
            let at = self.now + after + self.between(HEAR.0, HEAR.1);
            self.schedule(at, Happening::Fleet(daemon, self.nodes[daemon].life));
        }
    }

    pub(super) fn fleet(&self) -> Fleet {
        let address = "127.0.0.1:1".parse().expect("a literal address");
        let mut fleet = Fleet::default();
        for node in self.nodes.iter().filter(|node| node.seen) {
            let entry = DaemonEntry {
                daemon: node.name.clone(),
                incarnation: node.incarnation,
                version: 1,
                domain: node.domain.clone(),
                guard_address: address,
                link_address: address,
                leaving: node.leaving,
                servers: Vec::new(),
            };
            fleet.daemons.insert(node.name.clone(), Arc::new(entry));
        }
        fleet
    }
}
