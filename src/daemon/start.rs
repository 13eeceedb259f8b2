//! Assembles a daemon from its duties, and shuts it down gracefully.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crossbeam::channel::{after, bounded, Receiver};
use rand::Rng;

use super::entry::{start_allowance, start_entry};
use super::fleet::{
    fleet_readers, keyed_fleet_readers, log_fleet_readers, publish_in_log, publish_keyed,
    start_idempotency, start_journal, start_link, start_membership, FleetAddresses,
};
use super::health::{start_health, HealthSender};
use super::interfaces::{Interfaces, Store};
use super::join::join_until;
use super::keyed_store::{start_keyed_store, start_quota, KeyedFeeds, Pause};
use super::listeners::Listeners;
use super::local_servers::{start_announce, start_guard};
use super::operator::{start_audit, start_operator};
use super::reload::SettingsUpdater;
use super::rings::{make_rings, RingSenders};
use super::rollout::{start_rollout, RolloutSender};
use super::shared::SharedResources;
use crate::allowance::{AllowanceEvent, AllowanceMessage};
use crate::audit::duty::AuditRing;
use crate::audit::AuditEvent;
use crate::clock::{epoch_ms, Clock, SystemClock};
use crate::feed::FeedMessage;
use crate::front::{FrontEvent, FrontMessage};
use crate::guard::{GuardEvent, GuardMessage};
use crate::health::{HealthMessage, OutcomeObserver};
use crate::idempotency::IdempotencyMessage;
use crate::incarnation::{first_incarnation, INCARNATION_GAP_COUNT};
use crate::journal::JournalEvent;
use crate::link::LinkMessage;
use crate::membership::MembershipEvent;
use crate::metrics::Metrics;
use crate::operator::OperatorMessage;
use crate::ready::{self, ReadyEvent};
use crate::reload::duty::ReloadContext;
use crate::reload::{self, ReloadMessage, SettingsSource};
use crate::ring::{ring, spawn_duty, RingSender};
use crate::rollout::RolloutMessage;
use crate::routing::{RoutingEvent, RoutingMessage};
use crate::settings::Settings;
use crate::types::Incarnation;
use crate::wire::client::HttpClient;
use crate::wire::listener::HttpListener;
use crate::wire::memory_budget::MemoryBudget;
use crate::wire::proof::FleetKey;

/// Handle to a running daemon: its bound addresses, and what its shutdown needs.
pub struct Daemon {
    /// Bound address for requests of callers.
    pub front_address: SocketAddr,
    /// Bound address of the guard, for attempts that daemons send.
    pub guard_address: SocketAddr,
    /// Bound address for announcements of backend servers.
    pub announce_address: SocketAddr,
    /// Bound address for control connections of other daemons.
    pub link_address: SocketAddr,
    /// Bound address of the operators' API.
    pub operator_address: SocketAddr,
    /// Counters and timings of this daemon.
    pub metrics: Metrics,
    /// Incarnation that the daemon started with. Membership may raise it later.
    pub incarnation: Incarnation,
    /// Time for which a stopping daemon still accepts requests.
    linger: Duration,
    /// Ring of the audit duty.
    audit_events: RingSender<AuditEvent>,
    /// Listener for requests of callers.
    front: Arc<HttpListener>,
    /// All HTTP listeners, `front` included.
    listeners: Vec<Arc<HttpListener>>,
    /// Rings of the duties.
    rings: RingSenders,
    /// Ends the readers of streams once it is set.
    stopping: Arc<AtomicBool>,
    /// Dropping it ends the waits of the threads that read a keyed store.
    pauses: Vec<Pause>,
    /// Each receives one message when routing or the guard has nothing left to do after the drain.
    drained: Vec<Receiver<()>>,
    /// Threads to join when the daemon stops.
    threads: Vec<JoinHandle<()>>,
}

/// Starts a daemon with these settings and the built-in interfaces.
pub fn start(settings: Settings) -> eyre::Result<Daemon> {
    let interfaces = Interfaces::built_in(&settings);
    start_with(settings, interfaces)
}

/// Starts a daemon with these settings and with replaceable interfaces.
pub fn start_with(settings: Settings, interfaces: Interfaces) -> eyre::Result<Daemon> {
    let metrics = Metrics::from_settings(&settings.metrics)?;
    let (audit_events, audit_events_receiver) = ring("audit", settings.audit.ring_count, &metrics);
    let audit = AuditRing {
        events: audit_events.clone(),
        metrics: metrics.clone(),
    };
    let gap_count = rand::rng().random_range(0..INCARNATION_GAP_COUNT);
    let wall_ms = epoch_ms(SystemClock.wall());
    let answers_bytes = settings
        .daemon
        .memory_share_bytes(settings.front.answer_memory_share);
    let answers = MemoryBudget::new("answers", answers_bytes, metrics.clone());
    let shared = SharedResources {
        key: FleetKey::new(&settings.daemon.fleet_secret),
        clock: Arc::new(SystemClock),
        caller: Arc::new(HttpClient::start_with_budget("call", answers)),
        metrics,
        audit: Arc::new(audit),
        audit_events,
        dialect: interfaces.dialect,
        incarnation: first_incarnation(wall_ms, interfaces.last_incarnation, gap_count),
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
    let reload = interfaces.settings.as_ref().map(|_| rings.reload.clone());
    let mut threads = Vec::new();
    threads.extend(start_entry(
        &shared,
        &rings,
        &listeners.front,
        (receivers.front, receivers.routing),
        reload.clone(),
        entry_drained,
    ));
    if let Some(source) = interfaces.settings {
        threads.push(start_reload(&shared, &rings, source, receivers.reload));
    }
    // The guard's ring holds them before any announcement.
    for departure in interfaces.departures {
        let (server, started_at_ms) = (departure.server, departure.started_at_ms);
        log::info!(server = &*server, started_at_ms; "departure_recovered");
        let event = GuardEvent::Withdrawn {
            server,
            started_at_ms,
        };
        rings.guard.deliver(GuardMessage::Event(event));
    }
    let rollout_active = Arc::new(AtomicBool::new(false));
    let outcomes: Box<dyn OutcomeObserver> = match interfaces.store {
        Store::Log(_) => Box::new(HealthSender(rings.health.clone())),
        Store::Keyed(_) => Box::new(RolloutSender {
            rollout: rings.rollout.clone(),
            active: rollout_active.clone(),
        }),
    };
    threads.extend(start_guard(
        &shared,
        &rings,
        &listeners.guard,
        outcomes,
        receivers.guard,
        guard_drained,
    ));
    let announce = start_announce(
        &shared,
        &rings,
        &listeners.announce,
        &interfaces.announcements,
        reload,
    );
    threads.push(announce);
    let mut readers = fleet_readers(&rings);
    let mut pauses = Vec::new();
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
            threads.push(start_rollout(
                &shared,
                &rings,
                store.rollouts,
                receivers.rollout,
                rollout_active,
            ));
            let feeds = KeyedFeeds {
                configuration: store.configuration,
                members: store.members,
                publisher: store.publisher,
                eras: store.eras,
            };
            let keyed_store = start_keyed_store(&shared, &rings, feeds, receivers.feed, &stopping);
            // The threads of the store are not joined: they may be waiting for the platform, and
            // nothing is lost when they end with the process.
            pauses = keyed_store.pauses;
            readers.extend(keyed_fleet_readers(&rings));
            publish_keyed(&shared, keyed_store.records)
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
    threads.push(start_ready(&shared, &listeners, receivers.ready));
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
        pauses,
        drained: vec![entry_drained_receiver, guard_drained_receiver],
        threads,
    })
}

impl Daemon {
    /// Reads the settings file again, if the daemon has one.
    pub fn reload(&self) {
        // A full ring holds messages, and the read that follows them is of the newest file.
        let _ = self.rings.reload.offer(ReloadMessage::Signal);
    }

    /// Shuts the daemon down gracefully: leaves the fleet, lets callers switch to other daemons for
    /// the linger time, accepts no new work, and finishes what runs. Returns as soon as nothing
    /// runs. After `limit` only the last answers and the threads get a little more time.
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
            pauses,
            ..
        } = self;
        let ends_at = Instant::now() + limit;
        let _ = rings.ready.offer(ReadyEvent::Drain);
        front.wind_down();
        let leaving = RoutingMessage::Event(RoutingEvent::Leaving { ends_at });
        rings.routing.deliver(leaving);
        rings
            .guard
            .deliver(GuardMessage::Event(GuardEvent::Leaving { ends_at }));
        rings.membership.deliver(MembershipEvent::Leave);
        // An early end of this wait would do no harm.
        let _ = after(linger.min(limit / LINGER_DIVISOR)).recv();
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
        rings
            .routing
            .deliver(RoutingMessage::Event(RoutingEvent::Ending));
        stopping.store(true, Ordering::Relaxed);
        drop(pauses);
        for listener in &listeners {
            listener.close();
        }
        // The duties keep answering until no connection of a caller is left.
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
        rings.rollout.deliver(RolloutMessage::Stop);
        // A full ring holds no `Stop`; the thread ends when the rings are dropped.
        let _ = rings.reload.offer(ReloadMessage::Stop);
        audit_events.deliver(AuditEvent::Stop);
        rings.link.deliver(LinkMessage::Stop);
        drop(rings);
        join_until(threads, ends_at.max(Instant::now() + LAST_ANSWER_TIME));
    }
}

/// Starts the thread that reads the settings file.
fn start_reload(
    shared: &SharedResources,
    rings: &RingSenders,
    source: Box<dyn SettingsSource>,
    messages: Receiver<ReloadMessage>,
) -> JoinHandle<()> {
    let settings = shared.settings.clone();
    let context = ReloadContext {
        clock: shared.clock.clone(),
        source,
        target: Box::new(SettingsUpdater::new(rings, &settings)),
    };
    spawn_duty("settings", move || {
        reload::duty::run(context, settings, &messages)
    })
}

/// Starts the thread that answers readiness checks and exports the metrics. It ends at once if the
/// settings name no address for either.
fn start_ready(
    shared: &SharedResources,
    listeners: &Listeners,
    events: Receiver<ReadyEvent>,
) -> JoinHandle<()> {
    let listeners = ready::duty::ReadyListeners {
        checks: listeners.ready.clone(),
        scrapes: listeners.metrics.clone(),
    };
    let metrics = shared.metrics.clone();
    spawn_duty("ready", move || {
        ready::duty::run(&listeners, &events, &metrics)
    })
}

/// The linger time is at most the shutdown's limit divided by this, so that requests that are taken
/// last can still be answered.
const LINGER_DIVISOR: u32 = 2;

/// Time before the shutdown's limit at which requests that have not started are cancelled.
const CLOSING_LEAD_TIME: Duration = Duration::from_millis(700);

/// Time for the last answers and for joining the threads, even if the shutdown reached its limit.
const LAST_ANSWER_TIME: Duration = Duration::from_millis(500);
