//! Hands views and records from the journal to the duties that read them.

use std::sync::Arc;
use std::time::Instant;

use crate::allowance::{AllowanceEvent, AllowanceMessage};
use crate::contract::View;
use crate::front::{FrontEvent, FrontMessage};
use crate::guard::{GuardEvent, GuardMessage};
use crate::journal::duty::JournalReader;
use crate::journal::{LogRecord, Stream, MEMBERS};
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
        _asked_at: Instant,
        records: Vec<LogRecord>,
        _next: Offset,
    ) {
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
