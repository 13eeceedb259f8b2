//! Starts what joins this daemon to the fleet: membership, journal and link.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::thread::JoinHandle;

use crossbeam::channel::Receiver;

use super::common::Common;
use super::peers::PeerDispatch;
use super::readers::Readers;
use super::rings::Rings;
use crate::allowance::{AllowanceEvent, AllowanceMessage};
use crate::guard::GuardMessage;
use crate::health::{HealthEvent, HealthMessage};
use crate::idempotency::{self, IdempotencyMessage};
use crate::journal::client::HttpLog;
use crate::journal::{self, JournalEvent, MEMBERS};
use crate::link::{self, LinkMessage, PeerName};
use crate::membership::{self, DaemonEntry, Fleet, MembershipEvent};
use crate::ring::spawn_duty;
use crate::routing::{RoutingEvent, RoutingMessage};

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
    events: Receiver<MembershipEvent>,
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
    let journal = rings.journal.clone();
    let journal_fleet = rings.journal.clone();
    let routing = rings.routing.clone();
    let allowance = rings.allowance.clone();
    let link = rings.link.clone();
    let health = rings.health.clone();
    let metrics = common.metrics.clone();
    let guard = rings.guard.clone();
    let idempotency = rings.idempotency.clone();
    let fleet_metrics = common.metrics.clone();
    let context = membership::duty::MembershipContext {
        clock: common.clock.clone(),
        publish: Box::new(move |entry| {
            let body = serde_json::to_string(entry).expect("plain values become JSON");
            if journal
                .offer(JournalEvent::Append {
                    stream: MEMBERS,
                    body,
                })
                .is_err()
            {
                metrics.count("membership.publish.refused");
            }
        }),
        changed: Box::new(move |fleet: Arc<Fleet>| {
            // A snapshot that finds the ring full is replaced by the next one.
            let _ = journal_fleet.offer(JournalEvent::Fleet(fleet.clone()));
            routing.deliver(RoutingMessage::Event(RoutingEvent::Fleet(fleet.clone())));
            link.deliver(LinkMessage::Fleet(fleet.clone()));
            // Health sends to membership, so membership must not wait for health.
            let event = HealthEvent::Fleet(fleet.clone());
            if health.offer(HealthMessage::Event(event)).is_err() {
                fleet_metrics.count("health.fleet.missed");
            }
            let event = AllowanceEvent::Fleet(fleet.clone());
            let event = AllowanceMessage::Event(event);
            if allowance.offer(event).is_err() {
                fleet_metrics.count("allowance.fleet.missed");
            }
            idempotency.deliver(IdempotencyMessage::Fleet(fleet.clone()));
            if guard.offer(GuardMessage::Fleet(fleet)).is_err() {
                fleet_metrics.count("guard.fleet.missed");
            }
        }),
    };
    spawn_duty("membership", move || {
        membership::duty::run(&context, own, &events)
    })
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
    events: Receiver<JournalEvent>,
    stopping: &Arc<AtomicBool>,
) -> Vec<JoinHandle<()>> {
    let readers = Readers {
        front: rings.front.clone(),
        allowance: rings.allowance.clone(),
        routing: rings.routing.clone(),
        membership: rings.membership.clone(),
        guard: rings.guard.clone(),
        domain: common.settings.daemon.domain.clone(),
        batch_count: common.settings.journal.batch_count,
        metrics: common.metrics.clone(),
    };
    let context = journal::duty::JournalContext {
        settings: common.settings.journal.clone(),
        own: common.settings.daemon.daemon.clone(),
        seed: common.incarnation,
        log: Arc::new(HttpLog::new(&common.settings.journal)),
        clock: common.clock.clone(),
        metrics: common.metrics.clone(),
        link: rings.link.clone(),
        readers: vec![Box::new(readers)],
    };
    journal::duty::start(context, (rings.journal.clone(), events), stopping.clone())
}

pub(super) fn start_link(
    common: &Common,
    rings: &Rings,
    listener: TcpListener,
    messages: Receiver<LinkMessage>,
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
        }),
    };
    spawn_duty("link", move || {
        link::duty::run(&context, listener, &messages)
    })
}
