//! Delivers calls, answers, records, reads and fleet changes in the simulated network.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use super::super::escrow_log::LogReader;
use super::{Network, SimEvent, CALL_TIMEOUT, FLEET_DELAY, READ_RETRY_INTERVAL, READ_WAIT_LIMIT};
use crate::allowance::message::{AllowanceEvent, CallId};
use crate::allowance::EscrowRecord;
use crate::link::{LinkError, PeerAnswer, PeerName, PeerRequest};
use crate::membership::{DaemonEntry, Fleet};
use crate::types::DaemonId;

impl Network {
    /// Sends a request to a daemon; without an answer the caller gets an error event.
    pub(super) fn call(
        &mut self,
        daemon: usize,
        call: CallId,
        to: &DaemonId,
        request: PeerRequest,
    ) {
        self.message_count += 1;
        let run = self.nodes[daemon].run;
        let answered = |answer| AllowanceEvent::Answered { call, answer };
        let target = self.nodes.iter().position(|node| node.name == *to);
        let Some(to) = target.filter(|to| self.nodes[*to].policy.is_some()) else {
            let at = self.now + self.options.delay.1;
            let event = answered(Err(LinkError::Unreachable));
            return self.schedule(at, SimEvent::Event(daemon, run, event));
        };
        let event = answered(Err(LinkError::Silent));
        self.schedule(self.now + CALL_TIMEOUT, SimEvent::Event(daemon, run, event));
        let name = PeerName {
            daemon: self.nodes[daemon].name.clone(),
            incarnation: self.nodes[daemon].incarnation,
        };
        let copies = self.copies(daemon, to);
        for _ in 0..copies {
            let at = self.now + self.random_between(self.options.delay.0, self.options.delay.1);
            let scheduled = SimEvent::PeerAsked {
                to,
                from: (daemon, run, name.clone()),
                call,
                request: request.clone(),
            };
            self.schedule(at, scheduled);
        }
    }

    /// Delivers a request to the daemon that is called.
    pub(super) fn asked(
        &mut self,
        to: usize,
        (from, run, name): (usize, u64, PeerName),
        call: CallId,
        request: PeerRequest,
    ) {
        let reply = self.next_reply;
        self.next_reply += 1;
        self.pending_replies.insert(reply, (from, run, call));
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
        self.deliver_event(to, self.nodes[to].run, event);
    }

    /// Sends the answer to a request back to its caller.
    pub(super) fn reply(&mut self, daemon: usize, call: CallId, answer: PeerAnswer) {
        let Some((to, run, call)) = self.pending_replies.remove(&call) else {
            return;
        };
        self.message_count += 1;
        for _ in 0..self.copies(daemon, to) {
            let at = self.now + self.random_between(self.options.delay.0, self.options.delay.1);
            let event = AllowanceEvent::Answered {
                call,
                answer: Ok(answer.clone()),
            };
            self.schedule(at, SimEvent::Event(to, run, event));
        }
    }

    /// Sends a record to the log, perhaps twice or late.
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
            self.schedule(self.now + delay, SimEvent::RecordArrived(record.clone()));
        }
    }

    /// Sends a read of the log for one run of a daemon.
    pub(super) fn send_read(&mut self, daemon: usize, run: u64) {
        let node = &self.nodes[daemon];
        if node.run != run || node.policy.is_none() {
            return;
        }
        if self.now < node.paused_until {
            let at = node.paused_until;
            return self.schedule(at, SimEvent::SendRead(daemon, run));
        }
        let delay = self.random_between(self.options.log_delay.0, self.options.log_delay.1);
        let reader = LogReader {
            daemon,
            run,
            from: self.nodes[daemon].next_offset,
            asked_at: self.now,
            until: self.now + delay + READ_WAIT_LIMIT,
        };
        self.schedule(self.now + delay, SimEvent::ReadArrived(reader));
    }

    /// Answers a read at once if there are records, or lets it wait.
    pub(super) fn read_arrives(&mut self, reader: LogReader) {
        if self.log.down || self.nodes[reader.daemon].log_cut {
            let again = SimEvent::SendRead(reader.daemon, reader.run);
            return self.schedule(self.now + READ_RETRY_INTERVAL, again);
        }
        if self.log.has(reader.from) {
            return self.answer_read(reader);
        }
        self.log.wait(reader.clone());
        self.schedule(reader.until, SimEvent::ReadTimedOut(reader));
    }

    /// Answers a read, and schedules the next one.
    pub(super) fn answer_read(&mut self, reader: LogReader) {
        let LogReader { daemon, run, .. } = reader;
        if self.nodes[daemon].run != run {
            return;
        }
        let at = self.now + self.random_between(self.options.log_delay.0, self.options.log_delay.1);
        let again = SimEvent::SendRead(daemon, run);
        if self.log.down || self.nodes[daemon].log_cut {
            return self.schedule(at + READ_RETRY_INTERVAL, again);
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
        self.schedule(at, SimEvent::Event(daemon, run, event));
        self.schedule(at, again);
    }

    /// Returns how many copies of a message arrive: 0 if it is lost, 2 if it is duplicated.
    pub(super) fn copies(&mut self, from: usize, to: usize) -> usize {
        let cut = self.cut_links.get(&(from, to)).copied().unwrap_or(false);
        if cut || self.rng.random_bool(self.options.loss_share) {
            return 0;
        }
        1 + usize::from(self.rng.random_bool(self.options.duplicate_share))
    }

    /// Raises a daemon's incarnation and publishes it.
    pub(super) fn raise_incarnation(&mut self, daemon: usize) {
        self.nodes[daemon].incarnation += 1;
        self.publish_fleet(Duration::ZERO);
    }

    /// Schedules a fleet event for every running daemon, `after` and a random delay from now.
    pub(super) fn publish_fleet(&mut self, after: Duration) {
        for daemon in 0..self.nodes.len() {
            if self.nodes[daemon].policy.is_none() {
                continue;
            }
            let at = self.now + after + self.random_between(FLEET_DELAY.0, FLEET_DELAY.1);
            self.schedule(at, SimEvent::FleetChanged(daemon, self.nodes[daemon].run));
        }
    }

    /// Returns the fleet as membership lists it.
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
