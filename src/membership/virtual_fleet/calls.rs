//! Simulated calls between daemons, and the simulated log of the platform.

use std::time::Duration;

use super::{
    Index, SimulatedEvent, VirtualFleet, ANSWER_FRAME_BYTES, CALL_FRAME_BYTES, CALL_TIMEOUT,
    LOG_DELAY, NETWORK_DELAY,
};
use crate::link::codec::{answer_bytes, request_bytes};
use crate::link::{LinkError, PeerAnswer, PeerRequest};
use crate::membership::message::{CallTarget, DaemonEntry, MembershipEvent, Ticket};

impl VirtualFleet {
    pub(super) fn append_to_log(&mut self, entry: DaemonEntry) {
        let Some(log) = &mut self.log else {
            return;
        };
        log.push(entry);
        for index in 0..self.daemons.len() {
            self.read_log(index);
        }
    }

    /// Delivers to a daemon the log records that it has not read yet.
    pub(super) fn read_log(&mut self, index: Index) {
        let Some(log) = &self.log else {
            return;
        };
        let read_record_count =
            std::mem::replace(&mut self.daemons[index].read_record_count, log.len());
        let unread = log[read_record_count..].to_vec();
        for entry in unread {
            let event = MembershipEvent::EntryReceived(entry);
            self.schedule(self.now + LOG_DELAY, index, SimulatedEvent::Event(event));
        }
    }

    pub(super) fn simulate_call(
        &mut self,
        from: Index,
        ticket: Ticket,
        to: &CallTarget,
        request: PeerRequest,
    ) {
        let bytes = CALL_FRAME_BYTES + request_bytes(&request) as u64;
        let traffic = &mut self.daemons[from].traffic;
        traffic.sent_bytes += bytes;
        traffic.calls_count += 1;
        let target = match to {
            CallTarget::Daemon(name) => self.by_name.get(name).copied(),
            CallTarget::Seed(address) => self
                .daemons
                .iter()
                .position(|daemon| daemon.alive && daemon.state.own().link_address == *address),
        };
        let alive = target.filter(|target| self.daemons[*target].alive);
        let Some(target) = alive else {
            return self.end_call(from, ticket, NETWORK_DELAY * 2, Err(LinkError::Unreachable));
        };
        // A connection needs both directions.
        let names = (self.peer_name(from).daemon, self.peer_name(target).daemon);
        let reversed = (names.1.clone(), names.0.clone());
        let cut = self.cuts.contains(&names) || self.cuts.contains(&reversed);
        if cut || self.daemons[target].paused.is_some() {
            return self.end_call(from, ticket, CALL_TIMEOUT, Err(LinkError::Silent));
        }
        self.daemons[target].traffic.received_bytes += bytes;
        let event = SimulatedEvent::Request {
            from,
            ticket,
            request,
        };
        self.schedule(self.now + NETWORK_DELAY, target, event);
    }

    fn end_call(
        &mut self,
        caller: Index,
        ticket: Ticket,
        wait: Duration,
        result: Result<PeerAnswer, LinkError>,
    ) {
        let event = MembershipEvent::CallEnded { ticket, result };
        self.schedule(self.now + wait, caller, SimulatedEvent::Event(event));
    }

    pub(super) fn simulate_reply(
        &mut self,
        index: Index,
        ticket: Ticket,
        answer: Option<PeerAnswer>,
    ) {
        let Some((caller, ticket)) = self.requests.remove(&(index, ticket)) else {
            return;
        };
        let content = answer.as_ref().map_or(0, answer_bytes) as u64;
        let bytes = ANSWER_FRAME_BYTES + content;
        self.daemons[index].traffic.sent_bytes += bytes;
        self.daemons[caller].traffic.received_bytes += bytes;
        let result = answer.ok_or(LinkError::Refused);
        self.end_call(caller, ticket, NETWORK_DELAY, result);
    }
}
