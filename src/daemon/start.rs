//! Assembly of a daemon, and its graceful shutdown.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crossbeam::channel::{after, bounded, Receiver, Sender};
use rand::Rng;

use super::entry::{start_allowance, start_entry};
use super::fleet::{
    fleet_readers, keyed_fleet_readers, log_fleet_readers, publish_in_log, publish_keyed,
    start_idempotency, start_journal, start_link, start_membership, FleetAddresses,
};
use super::health::start_health;
use super::interfaces::{Interfaces, Store};
use super::keyed_store::{start_keyed_store, start_quota};
use super::listeners::Listeners;
use super::local_servers::{start_announce, start_guard};
use super::operator::{start_audit, start_operator};
use super::reload::SettingsUpdater;
use super::rings::{make_rings, RingSenders};
use super::shared::SharedResources;
use crate::allowance::{AllowanceEvent, AllowanceMessage};
use crate::audit::duty::AuditRing;
use crate::audit::AuditEvent;
use crate::clock::{epoch_ms, Clock, SystemClock};
use crate::feed::FeedMessage;
use crate::front::{FrontEvent, FrontMessage};
use crate::guard::{GuardEvent, GuardMessage};
use crate::health::HealthMessage;
use crate::idempotency::IdempotencyMessage;
use crate::incarnation::{first_life, LIFE_GAP_COUNT};
use crate::journal::JournalEvent;
use crate::link::LinkMessage;
use crate::membership::MembershipEvent;
use crate::metrics::Metrics;
use crate::operator::OperatorMessage;
use crate::ready::{self, ReadyEvent};
use crate::ring::{ring, spawn_duty, RingSender};
use crate::routing::{RoutingEvent, RoutingMessage};
use crate::settings::Settings;
use crate::types::Incarnation;
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
    /// Counters and timings.
    pub metrics: Metrics,
    /// The life that the daemon began with. Membership may raise it.
    pub incarnation: Incarnation,
    linger: Duration,
    audit_events: RingSender<AuditEvent>,
    front: Arc<HttpListener>,
    listeners: Vec<Arc<HttpListener>>,
    rings: RingSenders,
    stopping: Arc<AtomicBool>,
    /// Dropping it ends the waits of readers.
    pause: Option<Sender<()>>,
    /// Each hears once that a part of the daemon has nothing left to do.
    drained: Vec<Receiver<()>>,
    threads: Vec<JoinHandle<()>>,
}

/// Starts a daemon with these settings and the product's own interfaces.
pub fn start(settings: Settings) -> eyre::Result<Daemon> {
    let interfaces = Interfaces::built_in(&settings);
    start_with(settings, interfaces)
}

/// Starts a daemon with these settings and interfaces.
pub fn start_with(settings: Settings, interfaces: Interfaces) -> eyre::Result<Daemon> {
    let metrics = Metrics::from_settings(&settings.metrics)?;
    let (audit_events, audit_events_receiver) = ring("audit", settings.audit.ring_count, &metrics);
    let audit = AuditRing {
        events: audit_events.clone(),
        metrics: metrics.clone(),
    };
    let gap_count = rand::rng().random_range(0..LIFE_GAP_COUNT);
    let wall_ms = epoch_ms(SystemClock.wall());
    let shared = SharedResources {
        key: FleetKey::new(&settings.daemon.fleet_secret),
        clock: Arc::new(SystemClock),
        metrics,
        audit: Arc::new(audit),
        audit_events,
        dialect: interfaces.dialect,
        incarnation: first_life(wall_ms, interfaces.last_incarnation, gap_count),
        settings,
    };
    let listeners = Listeners::bind(&shared)?;
    let (rings, receivers) = make_rings(&shared);
    let stopping = Arc::new(AtomicBool::new(false));
    let addresses = FleetAddresses {
        guard: listeners.guard.address(),
        link: listeners.link_address,
    };
    let (guard_drained, guard_drained_receiver) = bounded(1);
    let (entry_drained, entry_drained_receiver) = bounded(1);
    let mut threads = Vec::new();
    threads.extend(start_entry(
        &shared,
        &rings,
        &listeners.front,
        (receivers.front, receivers.routing),
        entry_drained,
    ));
    threads.extend(start_guard(
        &shared,
        &rings,
        &listeners.guard,
        receivers.guard,
        guard_drained,
    ));
    let announce = start_announce(
        &shared,
        &rings,
        &listeners.announce,
        &interfaces.announcements,
    );
    threads.push(announce);
    let mut readers = fleet_readers(&rings);
    let mut pause = None;
    let reads_feed = matches!(interfaces.store, Store::Keyed(_));
    let publish = match interfaces.store {
        Store::Log(log) => {
            let allowance = start_allowance(&shared, &rings, receivers.allowance);
            threads.push(allowance);
            threads.push(start_health(&shared, &rings, receivers.health));
            let journal = start_journal(&shared, &rings, log, receivers.journal, &stopping);
            threads.extend(journal);
            threads.push(start_idempotency(&shared, receivers.idempotency));
            let operator = &listeners.operator;
            threads.extend(start_operator(
                &shared,
                &rings,
                operator,
                receivers.operator,
            ));
            readers.extend(log_fleet_readers(&rings));
            publish_in_log(&shared, &rings)
        }
        Store::Keyed(store) => {
            threads.push(start_quota(&shared, &rings, receivers.allowance));
            let keyed_store = start_keyed_store(&shared, &rings, store, receivers.feed, &stopping);
            // Its readers may wait for the platform; nothing is lost when they end with the process.
            pause = Some(keyed_store.pause);
            readers.extend(keyed_fleet_readers(&rings));
            publish_keyed(&shared, keyed_store.descriptions)
        }
    };
    threads.push(start_membership(
        &shared,
        &rings,
        addresses,
        (publish, readers),
        (receivers.membership, receivers.membership_calls),
    ));
    threads.push(start_audit(&shared, &rings, audit_events_receiver));
    threads.extend(start_ready(&shared, &listeners, receivers.ready));
    let served = listeners.http_listeners();
    let link = listeners.link;
    threads.push(start_link(
        &shared,
        &rings,
        link,
        receivers.link,
        reads_feed,
    ));
    Ok(Daemon {
        front_address: listeners.front.address(),
        guard_address: listeners.guard.address(),
        announce_address: listeners.announce.address(),
        link_address: listeners.link_address,
        operator_address: listeners.operator.address(),
        metrics: shared.metrics,
        incarnation: shared.incarnation,
        linger: Duration::from_millis(shared.settings.daemon.linger_ms),
        audit_events: shared.audit_events,
        front: listeners.front.clone(),
        listeners: served,
        rings,
        stopping,
        pause,
        drained: vec![entry_drained_receiver, guard_drained_receiver],
        threads,
    })
}

impl Daemon {
    /// Takes other settings while the daemon runs.
    pub fn settings_updater(&self, settings: &Settings) -> SettingsUpdater {
        SettingsUpdater::new(&self.rings, settings)
    }

    /// Graceful shutdown: takes no new work, tells the fleet, finishes what runs, and ends as
    /// soon as nothing runs, at the latest after `limit`.
    pub fn stop(self, limit: Duration) {
        let Daemon {
            listeners,
            rings,
            stopping,
            drained,
            threads,
            audit_events,
            linger,
            front,
            pause,
            ..
        } = self;
        let ends_at = Instant::now() + limit;
        let _ = rings.ready.offer(ReadyEvent::Drain);
        front.wind_down();
        let leaving = RoutingMessage::Event(RoutingEvent::Leaving);
        rings.routing.deliver(leaving);
        rings.membership.deliver(MembershipEvent::Leave);
        // Nothing is lost if this wait ends early.
        let _ = after(linger).recv();
        rings.front.deliver(FrontMessage::Event(FrontEvent::Drain));
        rings.guard.deliver(GuardMessage::Event(GuardEvent::Drain));
        let leave = AllowanceMessage::Event(AllowanceEvent::Leave);
        rings.allowance.deliver(leave);
        let closing_at = ends_at.checked_sub(CLOSING_LEAD_TIME).unwrap_or(ends_at);
        let has_work = |part: &&Receiver<()>| part.recv_deadline(closing_at).is_err();
        let undrained: Vec<&Receiver<()>> = drained.iter().filter(has_work).collect();
        if !undrained.is_empty() {
            let closing = RoutingMessage::Event(RoutingEvent::Closing);
            rings.routing.deliver(closing);
        }
        for part in undrained {
            if part.recv_deadline(ends_at).is_err() {
                log::warn!("requests_left_running");
            }
        }
        stopping.store(true, Ordering::Relaxed);
        drop(pause);
        for listener in &listeners {
            listener.close();
        }
        // The duties answer until no connection of a caller is left.
        if !front.wait_ended(ends_at.min(Instant::now() + LAST_ANSWER_TIME)) {
            log::warn!("connections_left_open");
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
        rings.feed.deliver(FeedMessage::Stop);
        audit_events.deliver(AuditEvent::Stop);
        rings.link.deliver(LinkMessage::Stop);
        drop(rings);
        join_until(threads, ends_at.max(Instant::now() + LAST_ANSWER_TIME));
    }
}

/// Starts what tells of readiness and gives the metrics, where the settings ask for it.
fn start_ready(
    shared: &SharedResources,
    listeners: &Listeners,
    events: Receiver<ReadyEvent>,
) -> Vec<JoinHandle<()>> {
    let mut threads = Vec::new();
    if let Some(listener) = listeners.ready.clone() {
        threads.push(spawn_duty("ready", move || {
            ready::duty::run(&listener, &events);
        }));
    }
    if let Some(listener) = listeners.metrics.clone() {
        let metrics = shared.metrics.clone();
        threads.push(spawn_duty("metrics", move || {
            ready::duty::run_metrics(&listener, &metrics);
        }));
    }
    threads
}

/// Before the end, requests that have not started are taken back, this long before.
const CLOSING_LEAD_TIME: Duration = Duration::from_millis(700);

/// Time that is left for the last answers, however long the shutdown took.
const LAST_ANSWER_TIME: Duration = Duration::from_millis(500);

/// Waits for the threads, but not for those that are still held by a peer at the end.
fn join_until(threads: Vec<JoinHandle<()>>, ends_at: Instant) {
    let (joined, joined_receiver) = bounded(1);
    spawn_duty("join", move || {
        for thread in threads {
            // A duty that panicked has told so on standard error.
            let _ = thread.join();
        }
        // The daemon may have ended without waiting.
        let _ = joined.send(());
    });
    if joined_receiver.recv_deadline(ends_at).is_err() {
        log::warn!("threads_left_running");
    }
}
