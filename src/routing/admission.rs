//! Takes requests over from the front, once it is known in whose name they are sent.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::duty::{finish, RoutingDuty};
use super::log::{log_caller_left, log_origin};
use super::message::{HeldRequest, Outcome, RequestPlan, RoutingEvent, RoutingMessage};
use super::origin::{Origin, OriginAt, READ_LIMIT};
use crate::error::ErrorKind;
use crate::front::RequestHead;
use crate::reload::{ReloadMessage, ServiceRead};
use crate::types::{RequestId, ServiceId};
use crate::wire::exchange::Exchange;

/// A request that the front admitted and whose origin is not known yet.
pub(super) struct Unnamed {
    /// What routing decides on.
    plan: RequestPlan,
    /// Request line and headers.
    head: Arc<RequestHead>,
    /// Reads the body and sends the answer to the caller.
    exchange: Box<dyn Exchange>,
    /// When the request is refused unless its origin is known.
    until: Instant,
}

impl Unnamed {
    /// Returns a request that the front passed on at `now`.
    pub(super) fn new(
        now: Instant,
        plan: RequestPlan,
        head: Arc<RequestHead>,
        exchange: Box<dyn Exchange>,
    ) -> Unnamed {
        Unnamed {
            plan,
            head,
            exchange,
            until: now + READ_LIMIT,
        }
    }
}

impl RoutingDuty<'_> {
    /// Dispatches a request, refuses it if it can get no origin, or lets it wait for a read of the
    /// settings. Nothing is done for a caller that has left already.
    pub(super) fn admit(&mut self, request: Unnamed) {
        let context = self.context;
        if !request.exchange.caller_waits() {
            context.metrics.count("routing.caller_left");
            return log_caller_left(context, &request.head, Some((0, "new")));
        }
        let head = &request.head;
        let arrival = (head.began_at, head.arrived_at);
        match self.origin.at(context.clock.now(), arrival) {
            OriginAt::Known(origin) => self.dispatch(request, origin),
            OriginAt::Unknown => self.refuse(request, ErrorKind::OriginUnknown),
            OriginAt::Unconfirmed if self.ending => self.refuse(request, ErrorKind::Stopping),
            OriginAt::Unconfirmed => {
                self.unnamed.push_back(request);
                self.ask_for_read();
            }
        }
    }

    /// Begins the attempts at a request.
    fn dispatch(&mut self, request: Unnamed, origin: ServiceId) {
        let Unnamed {
            plan,
            head,
            mut exchange,
            ..
        } = request;
        self.watch_caller(plan.request, &mut *exchange);
        let held = HeldRequest::new(&plan, head, exchange, origin);
        self.held.insert(plan.request, Box::new(held));
        self.decide(RoutingEvent::Dispatch(plan));
    }

    /// Arranges for a report when the caller disconnects.
    fn watch_caller(&self, request: RequestId, exchange: &mut dyn Exchange) {
        let own = self.context.own_ring.clone();
        let metrics = self.context.metrics.clone();
        let left = self.left.clone();
        exchange.watch(Box::new(move || {
            metrics.count("routing.caller_left");
            left.add(request);
            // A full ring holds messages, and the reports are taken after each of them.
            let _ = own.offer(RoutingMessage::CallersLeft);
        }));
    }

    /// Asks for a read of the settings, unless one is pending.
    fn ask_for_read(&mut self) {
        let Some(reload) = self.context.reload.as_ref().filter(|_| !self.read_pending) else {
            return;
        };
        // If the ring is full, a read is due that ends with a report.
        let _ = reload.offer(ReloadMessage::Confirm);
        self.read_pending = true;
    }

    /// Takes over the service that a read of the settings named, and decides again on the requests
    /// that wait for it.
    pub(super) fn confirm_origin(&mut self, read: ServiceRead) {
        self.read_pending = false;
        self.change_origin(|origin| {
            origin.confirm(read);
        });
        for request in std::mem::take(&mut self.unnamed) {
            self.admit(request);
        }
    }

    /// Changes what is known of the origin, and logs another name.
    pub(super) fn change_origin(&mut self, change: impl FnOnce(&mut Origin)) {
        let before = self.origin.present().clone();
        change(&mut self.origin);
        log_origin(&before, self.origin.present());
    }

    /// Returns when the first of the requests that wait for a read is refused.
    pub(super) fn next_expiry_at(&self) -> Option<Instant> {
        self.unnamed.front().map(|request| request.until)
    }

    /// Refuses the requests for which no read has ended in time.
    pub(super) fn refuse_expired(&mut self) {
        let now = self.context.clock.now();
        while self.next_expiry_at().is_some_and(|until| until <= now) {
            let Some(request) = self.unnamed.pop_front() else {
                return;
            };
            self.refuse(request, ErrorKind::OriginUnknown);
        }
    }

    /// Refuses all requests that wait for a read.
    pub(super) fn refuse_unnamed(&mut self, kind: ErrorKind) {
        for request in std::mem::take(&mut self.unnamed) {
            self.refuse(request, kind);
        }
    }

    /// Refuses a request that was not dispatched.
    fn refuse(&self, request: Unnamed, kind: ErrorKind) {
        let Unnamed {
            plan,
            head,
            exchange,
            ..
        } = request;
        let retry_after = Duration::from_millis(self.context.settings.retry_after_ms);
        let outcome = Outcome::Failed {
            kind,
            retry_after: Some(retry_after).filter(|after| !after.is_zero()),
        };
        let id = plan.request;
        let held = HeldRequest::new(&plan, head, exchange, "".into());
        finish(self.context, id, held, outcome);
    }
}
