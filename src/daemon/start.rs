//! Assembly of a daemon, and its graceful shutdown.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crossbeam::channel::{bounded, Receiver};

use super::beside::{start_announce, start_guard};
use super::common::Common;
use super::entry::start_entry;
use super::fleet::{
    start_idempotency, start_journal, start_link, start_membership, FleetAddresses,
};
use super::health::start_health;
use super::operator::{start_audit, start_operator};
use super::rings::{make_rings, Receivers, Rings};
use crate::allowance::{AllowanceEvent, AllowanceMessage};
use crate::audit::duty::AuditRing;
use crate::audit::AuditEvent;
use crate::clock::{epoch_ms, Clock, SystemClock};
use crate::front::{FrontEvent, FrontMessage};
use crate::guard::{GuardEvent, GuardMessage};
use crate::health::HealthMessage;
use crate::idempotency::IdempotencyMessage;
use crate::journal::JournalEvent;
use crate::link::{self, LinkMessage};
use crate::membership::MembershipEvent;
use crate::metrics::Metrics;
use crate::operator::OperatorMessage;
use crate::ring::spawn_duty;
use crate::ring::{ring, RingSender};
use crate::routing::RoutingMessage;
use crate::settings::Settings;
use crate::wire::listener::HttpListener;
use crate::wire::proof::FleetKey;

/// A running daemon.
pub struct Daemon {
    /// Where callers come in.
    pub front_address: SocketAddr,
    /// Where entries come in.
    pub guard_address: SocketAddr,
    /// Where backend servers announce themselves.
    pub announce_address: SocketAddr,
    /// Where other daemons come in for control.
    pub link_address: SocketAddr,
    /// Where operators come in.
    pub operator_address: SocketAddr,
    /// Counters.
    pub metrics: Metrics,
    trail: RingSender<AuditEvent>,
    listeners: Vec<Arc<HttpListener>>,
    rings: Rings,
    stopping: Arc<AtomicBool>,
    /// Each hears once that a part of the daemon has nothing left to do.
    drained: Vec<Receiver<()>>,
    threads: Vec<JoinHandle<()>>,
}

/// Starts a daemon with these settings.
pub fn start(settings: Settings) -> eyre::Result<Daemon> {
    let metrics = Metrics::from_settings(&settings.metrics)?;
    let (trail, trail_end) = ring("audit", settings.audit.ring_count, &metrics);
    let audit = AuditRing {
        events: trail.clone(),
        metrics: metrics.clone(),
    };
    let common = Common {
        key: FleetKey::new(&settings.daemon.fleet_secret),
        clock: Arc::new(SystemClock),
        metrics,
        audit: Arc::new(audit),
        trail,
        incarnation: epoch_ms(SystemClock.wall()),
        settings,
    };
    let front_listener = Arc::new(HttpListener::bind(common.settings.front.address)?);
    let guard_listener = Arc::new(HttpListener::bind(common.settings.guard.address)?);
    let announce_listener = Arc::new(HttpListener::bind(common.settings.guard.announce_address)?);
    let operator_listener = Arc::new(HttpListener::bind(common.settings.operator.address)?);
    let link_listener = link::duty::bind(common.settings.link.address)?;
    let link_address = link_listener.local_addr()?;
    let (rings, receivers) = make_rings(&common);
    let stopping = Arc::new(AtomicBool::new(false));
    let Receivers {
        front,
        allowance,
        routing,
        guard,
        health,
        membership,
        membership_calls,
        journal,
        link,
        idempotency,
        operator,
    } = receivers;
    let addresses = FleetAddresses {
        guard: guard_listener.address(),
        link: link_address,
    };
    let (guard_drained, guard_drained_end) = bounded(1);
    let (entry_drained, entry_drained_end) = bounded(1);
    let mut threads = Vec::new();
    threads.extend(start_entry(
        &common,
        &rings,
        &front_listener,
        (front, allowance, routing),
        entry_drained,
    ));
    threads.extend(start_guard(
        &common,
        &rings,
        &guard_listener,
        guard,
        guard_drained,
    ));
    threads.push(start_health(&common, &rings, health));
    threads.push(start_announce(&rings, &announce_listener));
    threads.push(start_membership(
        &common,
        &rings,
        addresses,
        (membership, membership_calls),
    ));
    threads.extend(start_journal(&common, &rings, journal, &stopping));
    threads.push(start_idempotency(&common, idempotency));
    threads.extend(start_operator(
        &common,
        &rings,
        &operator_listener,
        operator,
    ));
    threads.push(start_audit(&common, &rings, trail_end));
    threads.push(start_link(&common, &rings, link_listener, link));
    Ok(Daemon {
        front_address: front_listener.address(),
        guard_address: guard_listener.address(),
        announce_address: announce_listener.address(),
        link_address,
        operator_address: operator_listener.address(),
        metrics: common.metrics,
        trail: common.trail,
        listeners: vec![
            front_listener,
            guard_listener,
            announce_listener,
            operator_listener,
        ],
        rings,
        stopping,
        drained: vec![entry_drained_end, guard_drained_end],
        threads,
    })
}

impl Daemon {
    /// Graceful shutdown: takes no new work, tells the fleet, finishes what runs, and ends as
    /// soon as nothing runs, at the latest after `limit`.
    pub fn stop(self, limit: Duration) {
        let Daemon {
            listeners,
            rings,
            stopping,
            drained,
            threads,
            trail,
            ..
        } = self;
        let ends_at = Instant::now() + limit;
        rings.front.deliver(FrontMessage::Event(FrontEvent::Drain));
        rings.guard.deliver(GuardMessage::Event(GuardEvent::Drain));
        let leave = AllowanceMessage::Event(AllowanceEvent::Leave);
        rings.allowance.deliver(leave);
        rings.membership.deliver(MembershipEvent::Leave);
        for part in &drained {
            if part.recv_deadline(ends_at).is_err() {
                log::warn!("requests still run after the longest stop");
            }
        }
        stopping.store(true, Ordering::Relaxed);
        for listener in &listeners {
            listener.close();
        }
        rings.front.deliver(FrontMessage::Stop);
        rings.allowance.deliver(AllowanceMessage::Stop);
        rings.routing.deliver(RoutingMessage::Stop);
        rings.guard.deliver(GuardMessage::Stop);
        rings.health.deliver(HealthMessage::Stop);
        rings.membership.deliver(MembershipEvent::Stop);
        rings.idempotency.deliver(IdempotencyMessage::Stop);
        rings.journal.deliver(JournalEvent::Stop);
        rings.operator.deliver(OperatorMessage::Stop);
        trail.deliver(AuditEvent::Stop);
        rings.link.deliver(LinkMessage::Stop);
        drop(rings);
        join_until(threads, ends_at.max(Instant::now() + LAST_ANSWERS));
    }
}

/// Time that is left for the last answers, however long the shutdown took.
const LAST_ANSWERS: Duration = Duration::from_secs(1);

/// Waits for the threads, but not for those that are still held by a peer at the end.
fn join_until(threads: Vec<JoinHandle<()>>, ends_at: Instant) {
    let (joined, joined_end) = bounded(1);
    spawn_duty("join", move || {
        for thread in threads {
            // A duty that panicked has told so on standard error.
            let _ = thread.join();
        }
        // The daemon may have ended without waiting.
        let _ = joined.send(());
    });
    if joined_end.recv_deadline(ends_at).is_err() {
        log::warn!("threads still run after the longest stop");
    }
}
