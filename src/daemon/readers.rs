//! Hands views and records from the journal to the duties that read them.

use std::cell::Cell;
use std::sync::Arc;
use std::time::Instant;

use crate::allowance::{AllowanceEvent, AllowanceMessage};
use crate::audit::AuditEvent;
use crate::contract::{AppliedChange, View};
use crate::front::{FrontEvent, FrontMessage};
use crate::guard::{GuardEvent, GuardMessage};
use crate::journal::duty::JournalReader;
use crate::journal::{LogRecord, Stream, SubmitOutcome, ESCROW, MEMBERS};
use crate::membership::MembershipEvent;
use crate::metrics::Metrics;
use crate::operator::{OperatorEvent, OperatorMessage};
use crate::ready::ReadyEvent;
use crate::ring::RingSender;
use crate::routing::{RoutingEvent, RoutingMessage};
use crate::types::DomainId;
use crate::types::{Offset, OperationId};

/// Everything that reads views.
pub struct Readers {
    /// The front.
    pub front: RingSender<FrontMessage>,
    /// The allowance.
    pub allowance: RingSender<AllowanceMessage>,
    /// Routing.
    pub routing: RingSender<RoutingMessage>,
    /// The operators' API.
    pub operator: RingSender<OperatorMessage>,
    /// The trail.
    pub trail: RingSender<AuditEvent>,
    /// Membership.
    pub membership: RingSender<MembershipEvent>,
    /// The guard.
    pub guard: RingSender<GuardMessage>,
    /// Readiness.
    pub ready: RingSender<ReadyEvent>,
    /// The failure domain of this VM.
    pub domain: DomainId,
    /// Offset at which the domain last came back, as the guard was told; none before the first
    /// view.
    pub back_at: Cell<Option<Option<Offset>>>,
    /// Most records of one read; a read with as many may have left some.
    pub batch_count: usize,
    /// Counters.
    pub metrics: Metrics,
}

impl Readers {
    /// Tells the guard whether its domain is out of service. One view may hold both an out and an
    /// in; the guard is told both, so that it holds its servers for cold.
    fn tell_guard(&self, view: &View) {
        let out = view.domains_out.contains(&self.domain);
        let back_at = view.domains_back.get(&self.domain).copied();
        let known = self.back_at.replace(Some(back_at));
        let came_back = known.is_some_and(|known| known != back_at);
        if came_back && !out {
            let event = GuardEvent::Domain { out: true };
            self.guard.deliver(GuardMessage::Event(event));
        }
        self.guard
            .deliver(GuardMessage::Event(GuardEvent::Domain { out }));
    }

    fn tell_operator(&self, event: OperatorEvent) {
        self.operator.deliver(OperatorMessage::Event(event));
    }
}

impl JournalReader for Readers {
    fn view(&self, view: Arc<View>) {
        self.tell_operator(OperatorEvent::View(view.clone()));
        self.tell_guard(&view);
        self.guard
            .deliver(GuardMessage::Event(GuardEvent::View(view.clone())));
        self.allowance
            .deliver(AllowanceMessage::Event(AllowanceEvent::View(view.clone())));
        self.routing
            .deliver(RoutingMessage::Event(RoutingEvent::View(view.clone())));
        self.front
            .deliver(FrontMessage::Event(FrontEvent::View(view)));
    }

    fn changed(&self, change: &AppliedChange) {
        let event = AuditEvent::Change(Box::new(change.clone()));
        if self.trail.offer(event).is_err() {
            self.metrics.count("audit.change.lost");
        }
    }

    fn resolved(&self, operation: OperationId, outcome: &SubmitOutcome) {
        self.tell_operator(OperatorEvent::Resolved {
            operation,
            outcome: outcome.clone(),
        });
    }

    fn reachable(&self, reachable: bool) {
        self.tell_operator(OperatorEvent::Reachable(reachable));
    }

    fn usable(&self, usable: bool) {
        self.tell_operator(OperatorEvent::Usable(usable));
        // Readiness that nobody serves takes no events.
        let _ = self.ready.offer(ReadyEvent::Usable(usable));
        self.front
            .deliver(FrontMessage::Event(FrontEvent::ViewUsable(usable)));
    }

    fn read_ended(
        &self,
        stream: Stream,
        asked_at: Instant,
        records: Vec<LogRecord>,
        _next: Offset,
    ) {
        if stream == ESCROW {
            return self.escrow(asked_at, records);
        }
        if stream != MEMBERS {
            return;
        }
        for record in records {
            match serde_json::from_str(&record.body) {
                Ok(entry) => self
                    .membership
                    .deliver(MembershipEvent::EntryReceived(entry)),
                Err(_) => self.metrics.count("membership.record.malformed"),
            }
        }
    }
}

impl Readers {
    fn escrow(&self, asked_at: Instant, records: Vec<LogRecord>) {
        let whole = records.len() < self.batch_count;
        let mut parsed = Vec::with_capacity(records.len());
        for record in records {
            let read = serde_json::from_str(&record.body).ok();
            if read.is_none() {
                self.metrics.count("allowance.record.malformed");
            }
            parsed.push((record.offset, read));
        }
        let event = AllowanceEvent::Read {
            asked_at,
            records: parsed,
            whole,
        };
        self.allowance.deliver(AllowanceMessage::Event(event));
    }
}
