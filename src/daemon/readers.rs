//! Hands views and records from the journal to the duties that read them.

use std::sync::Arc;
use std::time::Instant;

use crate::allowance::{AllowanceEvent, AllowanceMessage};
use crate::contract::View;
use crate::front::{FrontEvent, FrontMessage};
use crate::guard::{GuardEvent, GuardMessage};
use crate::journal::duty::JournalReader;
use crate::journal::{LogRecord, Stream, ESCROW, MEMBERS};
use crate::membership::MembershipEvent;
use crate::metrics::Metrics;
use crate::ring::RingSender;
use crate::routing::{RoutingEvent, RoutingMessage};
use crate::types::DomainId;
use crate::types::Offset;

/// Everything that reads views.
pub struct Readers {
    /// The front.
    pub front: RingSender<FrontMessage>,
    /// The allowance.
    pub allowance: RingSender<AllowanceMessage>,
    /// Routing.
    pub routing: RingSender<RoutingMessage>,
    /// Membership.
    pub membership: RingSender<MembershipEvent>,
    /// The guard.
    pub guard: RingSender<GuardMessage>,
    /// The failure domain of this VM.
    pub domain: DomainId,
    /// Most records of one read; a read with as many may have left some.
    pub batch_count: usize,
    /// Counters.
    pub metrics: Metrics,
}

impl JournalReader for Readers {
    fn view(&self, view: Arc<View>) {
        let out = view.domains_out.contains(&self.domain);
        self.guard
            .deliver(GuardMessage::Event(GuardEvent::Domain { out }));
        self.allowance
            .deliver(AllowanceMessage::Event(AllowanceEvent::View(view.clone())));
        self.routing
            .deliver(RoutingMessage::Event(RoutingEvent::View(view.clone())));
        self.front
            .deliver(FrontMessage::Event(FrontEvent::View(view)));
    }

    fn usable(&self, usable: bool) {
        self.front
            .deliver(FrontMessage::Event(FrontEvent::Usable(usable)));
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
                Ok(entry) => self.membership.deliver(MembershipEvent::Heard(entry)),
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
