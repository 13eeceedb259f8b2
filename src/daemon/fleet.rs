//! Starts the duties that connect this daemon to the fleet: membership, journal, idempotency and
//! link.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::thread::JoinHandle;

use crossbeam::channel::Receiver;

use super::keyed_store::journal_dispatch;
use super::peers::PeerDispatch;
use super::rings::RingSenders;
use super::shared::SharedResources;
use crate::allowance::{AllowanceEvent, AllowanceMessage};
use crate::feed::{FeedEvent, FeedMessage};
use crate::guard::GuardMessage;
use crate::health::{HealthEvent, HealthMessage};
use crate::idempotency::{self, IdempotencyMessage};
use crate::journal::{self, JournalEvent, PlatformLog, MEMBERS};
use crate::link::{self, LinkMessage, PeerName, PeerRequest};
use crate::membership::duty::{FleetReader, MembershipCaller};
use crate::membership::{
    self, CallTarget, DaemonEntry, DaemonRecord, MembershipCall, MembershipEvent, Ticket,
};
use crate::operator::{OperatorEvent, OperatorMessage};
use crate::ring::{spawn_duty, RingSender, TaskReceiver};
use crate::rollout::{RolloutEvent, RolloutMessage};
use crate::routing::{RoutingEvent, RoutingMessage};

/// Publishes the record of this daemon on the platform.
pub(super) type Publish = Box<dyn Fn(&DaemonRecord) + Send>;

/// Addresses at which other daemons reach this one.
#[derive(Clone, Copy)]
pub(super) struct FleetAddresses {
    /// Address of the guard, for attempts.
    pub(super) guard: SocketAddr,
    /// Address of the link, for control connections.
    pub(super) link: SocketAddr,
}

/// Starts the thread of the membership duty.
pub(super) fn start_membership(
    shared: &SharedResources,
    rings: &RingSenders,
    addresses: FleetAddresses,
    (publish, readers): (Publish, Vec<FleetReader>),
    (events, calls): (Receiver<MembershipEvent>, Receiver<MembershipCall>),
) -> JoinHandle<()> {
    let own = DaemonEntry {
        daemon: shared.settings.daemon.daemon.clone(),
        incarnation: shared.incarnation,
        version: 0,
        domain: shared.settings.daemon.domain.clone(),
        guard_address: addresses.guard,
        link_address: addresses.link,
        leaving: false,
        servers: Vec::new(),
    };
    let context = membership::duty::MembershipContext {
        settings: shared.settings.membership.clone(),
        clock: shared.clock.clone(),
        metrics: shared.metrics.clone(),
        publish,
        readers,
        peers: Box::new(LinkMembershipCaller {
            link: rings.link.clone(),
            calls: rings.membership_calls.clone(),
        }),
    };
    spawn_duty("membership", move || {
        membership::duty::run(&context, own, &events, &calls)
    })
}

/// Publishes the record of this daemon in the platform's log.
pub(super) fn publish_in_log(shared: &SharedResources, rings: &RingSenders) -> Publish {
    let journal = rings.journal.clone();
    let metrics = shared.metrics.clone();
    Box::new(move |record| {
        let body = serde_json::to_string(record).expect("plain values become JSON");
        let append = JournalEvent::Append {
            stream: MEMBERS,
            body,
        };
        if journal.offer(append).is_err() {
            metrics.count("membership.publish.refused");
        }
    })
}

/// Publishes the record of this daemon as the newest one of its key in a keyed store.
pub(super) fn publish_keyed(
    shared: &SharedResources,
    records: RingSender<DaemonRecord>,
) -> Publish {
    let metrics = shared.metrics.clone();
    Box::new(move |record| {
        if records.offer(record.clone()).is_err() {
            metrics.count("membership.publish.refused");
        }
    })
}

/// Returns the duties that receive snapshots of the fleet with either kind of store. Their rings
/// may be full: membership does not block on any of them.
pub(super) fn fleet_readers(rings: &RingSenders) -> Vec<FleetReader> {
    let routing = rings.routing.clone();
    let link = rings.link.clone();
    let allowance = rings.allowance.clone();
    let guard = rings.guard.clone();
    vec![
        Box::new(move |fleet| {
            let event = RoutingEvent::Fleet(fleet.clone());
            routing.offer(RoutingMessage::Event(event)).is_ok()
        }),
        Box::new(move |fleet| link.offer(LinkMessage::Fleet(fleet.clone())).is_ok()),
        Box::new(move |fleet| {
            let event = AllowanceEvent::Fleet(fleet.clone());
            allowance.offer(AllowanceMessage::Event(event)).is_ok()
        }),
        Box::new(move |fleet| guard.offer(GuardMessage::Fleet(fleet.clone())).is_ok()),
    ]
}

/// Returns the further duties that receive snapshots of the fleet when the platform has a log.
pub(super) fn log_fleet_readers(rings: &RingSenders) -> Vec<FleetReader> {
    let journal = rings.journal.clone();
    let health = rings.health.clone();
    let idempotency = rings.idempotency.clone();
    let operator = rings.operator.clone();
    vec![
        Box::new(move |fleet| journal.offer(JournalEvent::Fleet(fleet.clone())).is_ok()),
        Box::new(move |fleet| {
            let event = HealthEvent::Fleet(fleet.clone());
            health.offer(HealthMessage::Event(event)).is_ok()
        }),
        Box::new(move |fleet| {
            let message = IdempotencyMessage::Fleet(fleet.clone());
            idempotency.offer(message).is_ok()
        }),
        Box::new(move |fleet| {
            let event = OperatorEvent::Fleet(fleet.clone());
            operator.offer(OperatorMessage::Event(event)).is_ok()
        }),
    ]
}

/// Returns the further duties that receive snapshots of the fleet when the platform has a keyed
/// store.
pub(super) fn keyed_fleet_readers(rings: &RingSenders) -> Vec<FleetReader> {
    let feed = rings.feed.clone();
    let rollout = rings.rollout.clone();
    vec![
        Box::new(move |fleet| {
            let event = FeedEvent::Fleet(fleet.clone());
            feed.offer(FeedMessage::Event(event)).is_ok()
        }),
        Box::new(move |fleet| {
            let event = RolloutEvent::Fleet(fleet.clone());
            rollout.offer(RolloutMessage::Event(event)).is_ok()
        }),
    ]
}

/// Sends the calls of membership through the link.
struct LinkMembershipCaller {
    /// Ring of the link, which sends the calls.
    link: RingSender<LinkMessage>,
    /// Ring of membership for the results of its calls.
    calls: RingSender<MembershipCall>,
}

impl MembershipCaller for LinkMembershipCaller {
    fn call(&self, ticket: Ticket, to: CallTarget, request: PeerRequest) {
        let calls = self.calls.clone();
        let reply = Box::new(move |result| {
            // If the ring is full the answer is lost, and the call times out in membership.
            let _ = calls.offer(MembershipCall::CallEnded { ticket, result });
        });
        let message = match to {
            CallTarget::Daemon(to) => LinkMessage::Call { to, request, reply },
            CallTarget::Seed(address) => LinkMessage::CallSeed {
                address,
                request,
                reply,
            },
        };
        // A refused message is dropped with its reply; the ring counts it.
        let _ = self.link.offer(message);
    }
}

/// Starts the thread of the idempotency duty.
pub(super) fn start_idempotency(
    shared: &SharedResources,
    messages: Receiver<IdempotencyMessage>,
) -> JoinHandle<()> {
    let context = idempotency::duty::IdempotencyContext {
        settings: shared.settings.idempotency.clone(),
        daemon: shared.settings.daemon.daemon.clone(),
        incarnation: shared.incarnation,
        clock: shared.clock.clone(),
        metrics: shared.metrics.clone(),
    };
    spawn_duty("idempotency", move || {
        idempotency::duty::run(&context, &messages)
    })
}

/// Starts the threads of the journal, which read and append the platform's log.
pub(super) fn start_journal(
    shared: &SharedResources,
    rings: &RingSenders,
    log: Arc<dyn PlatformLog>,
    events: Receiver<JournalEvent>,
    stopping: &Arc<AtomicBool>,
) -> Vec<JoinHandle<()>> {
    let context = journal::duty::JournalContext {
        settings: shared.settings.journal.clone(),
        own: shared.settings.daemon.daemon.clone(),
        seed: shared.incarnation,
        log,
        clock: shared.clock.clone(),
        metrics: shared.metrics.clone(),
        link: rings.link.clone(),
        observers: vec![Box::new(journal_dispatch(shared, rings))],
    };
    journal::duty::start(context, (rings.journal.clone(), events), stopping.clone())
}

/// Starts the thread of the link. `reads_feed` says whether peers' questions for records go to the
/// feed or to the journal.
pub(super) fn start_link(
    shared: &SharedResources,
    rings: &RingSenders,
    listener: TcpListener,
    messages: TaskReceiver<LinkMessage>,
    reads_feed: bool,
) -> JoinHandle<()> {
    let context = link::duty::LinkContext {
        settings: shared.settings.link.clone(),
        own: PeerName {
            daemon: shared.settings.daemon.daemon.clone(),
            incarnation: shared.incarnation,
        },
        key: shared.key.clone(),
        metrics: shared.metrics.clone(),
        handler: Arc::new(PeerDispatch {
            rings: rings.clone(),
            reads_feed,
        }),
    };
    spawn_duty("link", move || {
        link::duty::run(&context, listener, &messages)
    })
}
