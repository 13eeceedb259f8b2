//! Passes views and records from the journal or the feed to the duties that use them.

use std::cell::Cell;
use std::sync::Arc;
use std::time::Instant;

use crate::allowance::{AllowanceEvent, AllowanceMessage};
use crate::audit::AuditEvent;
use crate::contract::{AppliedChange, View};
use crate::front::{FrontEvent, FrontMessage};
use crate::guard::{GuardEvent, GuardMessage};
use crate::journal::duty::JournalObserver;
use crate::journal::{LogRecord, Stream, SubmitOutcome, ESCROW, MEMBERS};
use crate::membership::MembershipEvent;
use crate::metrics::Metrics;
use crate::operator::{OperatorEvent, OperatorMessage};
use crate::ready::ReadyEvent;
use crate::ring::RingSender;
use crate::rollout::{RolloutEvent, RolloutMessage};
use crate::routing::{RoutingEvent, RoutingMessage};
use crate::types::{DomainId, Offset, OperationId, ServiceId};

/// Passes new views, records and states of the platform's log to the duties of this daemon.
pub struct JournalDispatch {
    /// Ring of the front, which gets views and whether they are usable.
    pub front: RingSender<FrontMessage>,
    /// Ring of the allowance or quota, which gets views and records of the escrow stream.
    pub allowance: RingSender<AllowanceMessage>,
    /// Ring of routing, which gets views.
    pub routing: RingSender<RoutingMessage>,
    /// Ring of the operator duty, which gets views, the outcomes of changes and the state of the
    /// log.
    pub operator: RingSender<OperatorMessage>,
    /// Ring of the audit duty, which gets the changes that were read from the log.
    pub audit_events: RingSender<AuditEvent>,
    /// Ring of membership, which gets the descriptions of daemons.
    pub membership: RingSender<MembershipEvent>,
    /// Ring of the guard, which gets views and whether its failure domain is out of service.
    pub guard: RingSender<GuardMessage>,
    /// Ring of the readiness duty, which gets whether the view is usable.
    pub ready: RingSender<ReadyEvent>,
    /// Ring of the roll-out duty, which gets the orders of views; none where it does not run.
    pub rollout: Option<RingSender<RolloutMessage>>,
    /// The failure domain of this VM.
    pub domain: DomainId,
    /// Offset of the domain's last return to service that was sent to the guard. The outer option
    /// is none before the first view, the inner one if the domain never returned.
    pub back_at: Cell<Option<Option<Offset>>>,
    /// Greatest number of records of one read. If a read has this many, more may follow.
    pub batch_count: usize,
    /// Counters of lost and malformed records.
    pub metrics: Metrics,
}

impl JournalDispatch {
    /// Sends the guard whether its failure domain is out of service. One view may contain both the
    /// withdrawal of the domain and its return. Then the guard gets both events, so that it treats
    /// its servers as cold.
    fn send_domain_state(&self, view: &View) {
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

    /// Sends an event to the operator duty.
    fn send_to_operator(&self, event: OperatorEvent) {
        self.operator.deliver(OperatorMessage::Event(event));
    }
}

/// Returns the orders of a view as an event.
fn rollout_orders(view: &View) -> RolloutEvent {
    let is_unknown = |service: &&ServiceId| !view.services.contains_key(*service);
    RolloutEvent::Orders {
        orders: view.rollouts.values().cloned().collect(),
        unknown_services: view.rollouts.keys().filter(is_unknown).cloned().collect(),
        domains_out: view.domains_out.clone(),
    }
}

impl JournalObserver for JournalDispatch {
    fn view_changed(&self, view: Arc<View>) {
        self.send_to_operator(OperatorEvent::View(view.clone()));
        self.send_domain_state(&view);
        if let Some(rollout) = &self.rollout {
            rollout.deliver(RolloutMessage::Event(rollout_orders(&view)));
        }
        self.guard
            .deliver(GuardMessage::Event(GuardEvent::View(view.clone())));
        self.allowance
            .deliver(AllowanceMessage::Event(AllowanceEvent::View(view.clone())));
        self.routing
            .deliver(RoutingMessage::Event(RoutingEvent::View(view.clone())));
        self.front
            .deliver(FrontMessage::Event(FrontEvent::View(view)));
    }

    fn change_read(&self, change: &AppliedChange) {
        let event = AuditEvent::Change(Box::new(change.clone()));
        if self.audit_events.offer(event).is_err() {
            self.metrics.count("audit.change.lost");
        }
    }

    fn change_resolved(&self, operation: OperationId, outcome: &SubmitOutcome) {
        self.send_to_operator(OperatorEvent::ChangeResolved {
            operation,
            outcome: outcome.clone(),
        });
    }

    fn log_reachable_changed(&self, reachable: bool) {
        self.send_to_operator(OperatorEvent::LogReachable(reachable));
    }

    fn usable_changed(&self, usable: bool) {
        self.send_to_operator(OperatorEvent::ViewUsable(usable));
        // Without a readiness address no thread receives these events.
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
            return self.send_escrow_records(asked_at, records);
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

impl JournalDispatch {
    /// Sends the result of a read of the escrow stream to the allowance.
    fn send_escrow_records(&self, asked_at: Instant, records: Vec<LogRecord>) {
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
