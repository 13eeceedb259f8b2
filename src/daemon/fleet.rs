//! Starts what joins this daemon to the fleet: membership, journal and link.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::thread::JoinHandle;

use crossbeam::channel::Receiver;

use super::common::Common;
use super::newest::view_readers;
use super::peers::PeerDispatch;
use super::rings::Rings;
use crate::allowance::{AllowanceEvent, AllowanceMessage};
use crate::feed::{FeedEvent, FeedMessage};
use crate::guard::GuardMessage;
use crate::health::{HealthEvent, HealthMessage};
use crate::idempotency::{self, IdempotencyMessage};
use crate::journal::{self, JournalEvent, PlatformLog, MEMBERS};
use crate::link::{self, LinkMessage, PeerName, PeerRequest};
use crate::membership::duty::{FleetReader, Peers};
use crate::membership::{self, CallTarget, DaemonEntry, MembershipCall, MembershipEvent, Ticket};
use crate::operator::{OperatorEvent, OperatorMessage};
use crate::ring::{spawn_duty, RingSender};
use crate::routing::{RoutingEvent, RoutingMessage};

/// Makes the description of this daemon known.
pub(super) type Publish = Box<dyn Fn(&DaemonEntry) + Send>;

/// Where other daemons reach this one.
#[derive(Clone, Copy)]
pub(super) struct FleetAddresses {
    /// Its guard.
    pub(super) guard: SocketAddr,
    /// Its peer link.
    pub(super) link: SocketAddr,
}

pub(super) fn start_membership(
    common: &Common,
    rings: &Rings,
    addresses: FleetAddresses,
    (publish, readers): (Publish, Vec<FleetReader>),
    (events, calls): (Receiver<MembershipEvent>, Receiver<MembershipCall>),
) -> JoinHandle<()> {
    let own = DaemonEntry {
        daemon: common.settings.daemon.daemon.clone(),
        incarnation: common.incarnation,
        version: 0,
        domain: common.settings.daemon.domain.clone(),
        guard_address: addresses.guard,
        link_address: addresses.link,
        leaving: false,
        servers: Vec::new(),
    };
    let context = membership::duty::MembershipContext {
        settings: common.settings.membership.clone(),
        clock: common.clock.clone(),
        metrics: common.metrics.clone(),
        publish,
        readers,
        peers: Box::new(LinkPeers {
            link: rings.link.clone(),
            calls: rings.membership_calls.clone(),
        }),
    };
    spawn_duty("membership", move || {
        membership::duty::run(&context, own, &events, &calls)
    })
}

/// Makes this daemon known through the platform's log.
pub(super) fn publish_in_log(common: &Common, rings: &Rings) -> Publish {
    let journal = rings.journal.clone();
    let metrics = common.metrics.clone();
    Box::new(move |entry| {
        let body = serde_json::to_string(entry).expect("plain values become JSON");
        let append = JournalEvent::Append {
            stream: MEMBERS,
            body,
        };
        if journal.offer(append).is_err() {
            metrics.count("membership.publish.refused");
        }
    })
}

/// Makes this daemon known through the newest record of its name.
pub(super) fn publish_newest(common: &Common, notices: RingSender<DaemonEntry>) -> Publish {
    let metrics = common.metrics.clone();
    Box::new(move |entry| {
        if notices.offer(entry.clone()).is_err() {
            metrics.count("membership.publish.refused");
        }
    })
}

/// Who reads snapshots of the fleet, whatever the platform keeps. Each may be full: membership
/// waits for none of them.
pub(super) fn fleet_readers(rings: &Rings) -> Vec<FleetReader> {
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

/// Who reads snapshots of the fleet besides, with the platform's log.
pub(super) fn log_fleet_readers(rings: &Rings) -> Vec<FleetReader> {
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

/// Who reads snapshots of the fleet besides, with a store of newest records.
pub(super) fn newest_fleet_readers(rings: &Rings) -> Vec<FleetReader> {
    let feed = rings.feed.clone();
    vec![Box::new(move |fleet| {
        let event = FeedEvent::Fleet(fleet.clone());
        feed.offer(FeedMessage::Event(event)).is_ok()
    })]
}

/// Calls of membership, carried by the link.
struct LinkPeers {
    link: RingSender<LinkMessage>,
    calls: RingSender<MembershipCall>,
}

impl Peers for LinkPeers {
    fn call(&self, ticket: Ticket, to: CallTarget, request: PeerRequest) {
        let calls = self.calls.clone();
        let reply = Box::new(move |result| {
            // Membership ends a call whose answer finds its ring full by itself.
            let _ = calls.offer(MembershipCall::Answered { ticket, result });
        });
        let message = match to {
            CallTarget::Daemon(to) => LinkMessage::Call { to, request, reply },
            CallTarget::Seed(address) => LinkMessage::CallSeed {
                address,
                request,
                reply,
            },
        };
        // A refused message is dropped with its reply, and counted by its ring.
        let _ = self.link.offer(message);
    }
}

pub(super) fn start_idempotency(
    common: &Common,
    messages: Receiver<IdempotencyMessage>,
) -> JoinHandle<()> {
    let context = idempotency::duty::IdempotencyContext {
        settings: common.settings.idempotency.clone(),
        daemon: common.settings.daemon.daemon.clone(),
        incarnation: common.incarnation,
        clock: common.clock.clone(),
        metrics: common.metrics.clone(),
    };
    spawn_duty("idempotency", move || {
        idempotency::duty::run(&context, &messages)
    })
}

pub(super) fn start_journal(
    common: &Common,
    rings: &Rings,
    log: Arc<dyn PlatformLog>,
    events: Receiver<JournalEvent>,
    stopping: &Arc<AtomicBool>,
) -> Vec<JoinHandle<()>> {
    let context = journal::duty::JournalContext {
        settings: common.settings.journal.clone(),
        own: common.settings.daemon.daemon.clone(),
        seed: common.incarnation,
        log,
        clock: common.clock.clone(),
        metrics: common.metrics.clone(),
        link: rings.link.clone(),
        observers: vec![Box::new(view_readers(common, rings))],
    };
    journal::duty::start(context, (rings.journal.clone(), events), stopping.clone())
}

pub(super) fn start_link(
    common: &Common,
    rings: &Rings,
    listener: TcpListener,
    messages: Receiver<LinkMessage>,
    reads_feed: bool,
) -> JoinHandle<()> {
    let context = link::duty::LinkContext {
        settings: common.settings.link.clone(),
        own: PeerName {
            daemon: common.settings.daemon.daemon.clone(),
            incarnation: common.incarnation,
        },
        key: common.key.clone(),
        metrics: common.metrics.clone(),
        handler: Arc::new(PeerDispatch {
            rings: rings.clone(),
            reads_feed,
        }),
    };
    spawn_duty("link", move || {
        link::duty::run(&context, listener, &messages)
    })
}
