//! How messages, records and reads travel.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use super::super::escrow_log::LogReader;
use super::{Network, SimEvent, CALL_TIMEOUT, FLEET_CHANGE_DELAY, READ_RETRY, READ_WAIT};
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
        let process = self.nodes[daemon].process;
        let answered = |answer| AllowanceEvent::Answered { call, answer };
        let target = self.nodes.iter().position(|node| node.name == *to);
        let Some(to) = target.filter(|to| self.nodes[*to].policy.is_some()) else {
            let at = self.now + self.options.delay.1;
            let event = answered(Err(LinkError::Unreachable));
            return self.schedule(at, SimEvent::Event(daemon, process, event));
        };
        let event = answered(Err(LinkError::Silent));
        self.schedule(
            self.now + CALL_TIMEOUT,
            SimEvent::Event(daemon, process, event),
        );
        let name = PeerName {
            daemon: self.nodes[daemon].name.clone(),
            incarnation: self.nodes[daemon].incarnation,
        };
        let copies = self.copies(daemon, to);
        for _ in 0..copies {
            let at = self.now + self.random_between(self.options.delay.0, self.options.delay.1);
            let scheduled = SimEvent::Asked {
                to,
                from: (daemon, process, name.clone()),
                call,
                request: request.clone(),
            };
            self.schedule(at, scheduled);
        }
    }

    pub(super) fn asked(
        &mut self,
        to: usize,
        (from, process, name): (usize, u64, PeerName),
        call: CallId,
        request: PeerRequest,
    ) {
        let reply = self.next_reply;
        self.next_reply += 1;
        self.replies.insert(reply, (from, process, call));
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
        self.deliver_event(to, self.nodes[to].process, event);
    }

    pub(super) fn reply(&mut self, daemon: usize, call: CallId, answer: PeerAnswer) {
        let Some((to, process, call)) = self.replies.remove(&call) else {
            return;
        };
        self.message_count += 1;
        for _ in 0..self.copies(daemon, to) {
            let at = self.now + self.random_between(self.options.delay.0, self.options.delay.1);
            let event = AllowanceEvent::Answered {
                call,
                answer: Ok(answer.clone()),
            };
            self.schedule(at, SimEvent::Event(to, process, event));
        }
    }

    pub(super) fn append(&mut self, daemon: usize, record: EscrowRecord) {
        if self.nodes[daemon].log_cut {
            return;
        }
        let doubled = self.rng.random_bool(self.options.duplicate_share);
        for _ in 0..1 + usize::from(doubled) {
            let mut delay = self.random_between(self.options.log_delay.0, self.options.log_delay.1);
            if self.rng.random_bool(self.options.late_share) {
                delay += self.random_between(Duration::ZERO, self.options.late);
            }
            self.schedule(self.now + delay, SimEvent::Appended(record.clone()));
        }
    }

    pub(super) fn send_read(&mut self, daemon: usize, process: u64) {
        let node = &self.nodes[daemon];
        if node.process != process || node.policy.is_none() {
            return;
        }
        if self.now < node.paused_until {
            let at = node.paused_until;
            return self.schedule(at, SimEvent::ReadSent(daemon, process));
        }
        let delay = self.random_between(self.options.log_delay.0, self.options.log_delay.1);
        let reader = LogReader {
            daemon,
            process,
            from: self.nodes[daemon].next_offset,
            asked_at: self.now,
            until: self.now + delay + READ_WAIT,
        };
        self.schedule(self.now + delay, SimEvent::ReadArrives(reader));
    }

    pub(super) fn read_arrives(&mut self, reader: LogReader) {
        if self.log.down || self.nodes[reader.daemon].log_cut {
            let again = SimEvent::ReadSent(reader.daemon, reader.process);
            return self.schedule(self.now + READ_RETRY, again);
        }
        if self.log.has(reader.from) {
            return self.answer_read(reader);
        }
        self.log.wait(reader.clone());
        self.schedule(reader.until, SimEvent::ReadOver(reader));
    }

    pub(super) fn answer_read(&mut self, reader: LogReader) {
        let LogReader {
            daemon, process, ..
        } = reader;
        if self.nodes[daemon].process != process {
            return;
        }
        let at = self.now + self.random_between(self.options.log_delay.0, self.options.log_delay.1);
        let again = SimEvent::ReadSent(daemon, process);
        if self.log.down || self.nodes[daemon].log_cut {
            return self.schedule(at + READ_RETRY, again);
        }
        let records = self.log.read(reader.from);
        if let Some((last, _)) = records.last() {
            self.nodes[daemon].next_offset = last + 1;
        }
        let event = AllowanceEvent::Read {
            asked_at: reader.asked_at,
            records,
            whole: true,
        };
        self.schedule(at, SimEvent::Event(daemon, process, event));
        self.schedule(at, again);
    }

    pub(super) fn copies(&mut self, from: usize, to: usize) -> usize {
        let cut = self.cuts.get(&(from, to)).copied().unwrap_or(false);
        if cut || self.rng.random_bool(self.options.loss_share) {
            return 0;
        }
        1 + usize::from(self.rng.random_bool(self.options.duplicate_share))
    }

    pub(super) fn raise_incarnation(&mut self, daemon: usize) {
        self.nodes[daemon].incarnation += 1;
        self.publish_fleet(Duration::ZERO);
    }

    pub(super) fn publish_fleet(&mut self, after: Duration) {
        for daemon in 0..self.nodes.len() {
            if self.nodes[daemon].policy.is_none() {
                continue;
            }
            let at =
                self.now + after + self.random_between(FLEET_CHANGE_DELAY.0, FLEET_CHANGE_DELAY.1);
            self.schedule(at, SimEvent::Fleet(daemon, self.nodes[daemon].process));
        }
    }

    pub(super) fn fleet(&self) -> Fleet {
        let address = "127.0.0.1:1".parse().expect("a literal address");
        let mut fleet = Fleet::default();
        for node in self.nodes.iter().filter(|node| node.is_member) {
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
