//! Assembly of a daemon.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use crossbeam::channel::Receiver;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::readers::Readers;
use crate::allowance::{self, AllowanceEvent};
use crate::clock::{epoch_ms, Clock, SystemClock};
use crate::front::{self, FrontEvent, FrontMessage};
use crate::guard::{self, GuardEvent, GuardMessage};
use crate::journal::client::HttpLog;
use crate::journal::{self, JournalEvent, MEMBERS};
use crate::membership::{self, DaemonEntry, MembershipEvent};
use crate::metrics::Metrics;
use crate::ring::{ring, spawn_duty, RingSender};
use crate::routing::{self, RoutingEvent, RoutingMessage};
use crate::settings::Settings;
use crate::wire::exchange::HttpListener;
use crate::wire::proof::FleetKey;

/// A running daemon.
pub struct Daemon {
    /// Where callers come in.
    pub front_address: SocketAddr,
    /// Where entries come in.
    pub guard_address: SocketAddr,
    /// Where backend servers announce themselves.
    pub announce_address: SocketAddr,
    /// Counters.
    pub metrics: Metrics,
    listeners: Vec<Arc<HttpListener>>,
    rings: Rings,
    stopping: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

#[derive(Clone)]
struct Rings {
    front: RingSender<FrontMessage>,
    allowance: RingSender<AllowanceEvent>,
    routing: RingSender<RoutingMessage>,
    guard: RingSender<GuardMessage>,
    membership: RingSender<MembershipEvent>,
    journal: RingSender<JournalEvent>,
}

struct Receivers {
    front: Receiver<FrontMessage>,
    allowance: Receiver<AllowanceEvent>,
    routing: Receiver<RoutingMessage>,
    guard: Receiver<GuardMessage>,
    membership: Receiver<MembershipEvent>,
    journal: Receiver<JournalEvent>,
}

/// What the parts of one daemon share.
struct Common {
    settings: Settings,
    key: FleetKey,
    clock: Arc<dyn Clock>,
    metrics: Metrics,
}

/// Starts a daemon with these settings.
pub fn start(settings: Settings) -> eyre::Result<Daemon> {
    let common = Common {
        key: FleetKey::new(&settings.daemon.fleet_secret),
        clock: Arc::new(SystemClock),
        metrics: Metrics::from_settings(&settings.metrics)?,
        settings,
    };
    let front_listener = Arc::new(HttpListener::bind(common.settings.front.address)?);
    let guard_listener = Arc::new(HttpListener::bind(common.settings.guard.address)?);
    let announce_listener = Arc::new(HttpListener::bind(common.settings.guard.announce_address)?);
    let (rings, receivers) = make_rings(&common);
    let stopping = Arc::new(AtomicBool::new(false));
    let Receivers {
        front,
        allowance,
        routing,
        guard,
        membership,
        journal,
    } = receivers;
    let mut threads = Vec::new();
    threads.extend(start_entry(
        &common,
        &rings,
        &front_listener,
        (front, allowance, routing),
    ));
    threads.extend(start_guard(&common, &rings, &guard_listener, guard));
    threads.push(start_announce(&rings, &announce_listener));
    threads.push(start_membership(
        &common,
        &rings,
        guard_listener.address(),
        membership,
    ));
    threads.extend(start_journal(&common, &rings, journal, &stopping));
    Ok(Daemon {
        front_address: front_listener.address(),
        guard_address: guard_listener.address(),
        announce_address: announce_listener.address(),
        metrics: common.metrics,
        listeners: vec![front_listener, guard_listener, announce_listener],
        rings,
        stopping,
        threads,
    })
}

fn make_rings(common: &Common) -> (Rings, Receivers) {
    let settings = &common.settings;
    let metrics = &common.metrics;
    let (front, front_end) = ring("front", settings.front.ring_count, metrics);
    let (allowance, allowance_end) = ring("allowance", settings.allowance.ring_count, metrics);
    let (routing, routing_end) = ring("routing", settings.routing.ring_count, metrics);
    let (guard, guard_end) = ring("guard", settings.guard.ring_count, metrics);
    let (membership, membership_end) = ring("membership", settings.membership.ring_count, metrics);
    let (journal, journal_end) = ring("journal", JOURNAL_RING_COUNT, metrics);
    let rings = Rings {
        front,
        allowance,
        routing,
        guard,
        membership,
        journal,
    };
    let receivers = Receivers {
        front: front_end,
        allowance: allowance_end,
        routing: routing_end,
        guard: guard_end,
        membership: membership_end,
        journal: journal_end,
    };
    (rings, receivers)
}

const JOURNAL_RING_COUNT: usize = 1024;
const ANSWER_THREAD_COUNT: usize = 16;
const ACCEPT_THREAD_COUNT: usize = 2;

type EntryReceivers = (
    Receiver<FrontMessage>,
    Receiver<AllowanceEvent>,
    Receiver<RoutingMessage>,
);

fn start_entry(
    common: &Common,
    rings: &Rings,
    listener: &Arc<HttpListener>,
    receivers: EntryReceivers,
) -> Vec<JoinHandle<()>> {
    let settings = &common.settings;
    let (front_end, allowance_end, routing_end) = receivers;
    let mut threads = Vec::new();
    let (answers, answers_end) = ring("answer", settings.front.ring_count, &common.metrics);
    let (forwards, forwards_end) = ring("forward", settings.front.ring_count, &common.metrics);
    for index in 0..ACCEPT_THREAD_COUNT {
        let context = front::accept::AcceptContext {
            settings: settings.front.clone(),
            listener: listener.clone(),
            clock: common.clock.clone(),
            metrics: common.metrics.clone(),
            front: rings.front.clone(),
        };
        threads.push(spawn_duty(&format!("accept-{index}"), move || {
            front::accept::run(&context)
        }));
    }
    let context = front::duty::FrontContext {
        clock: common.clock.clone(),
        metrics: common.metrics.clone(),
        allowance: rings.allowance.clone(),
        routing: rings.routing.clone(),
        answers: answers.clone(),
    };
    threads.push(spawn_duty("front", move || {
        front::duty::run(&context, &front_end)
    }));
    let context = allowance::duty::AllowanceContext {
        clock: common.clock.clone(),
        front: rings.front.clone(),
    };
    threads.push(spawn_duty("allowance", move || {
        allowance::duty::run(&context, &allowance_end)
    }));
    let context = routing::duty::RoutingContext {
        settings: settings.routing.clone(),
        clock: common.clock.clone(),
        metrics: common.metrics.clone(),
        forwards,
        answers,
    };
    let random = ChaCha8Rng::from_rng(&mut rand::rng());
    threads.push(spawn_duty("routing", move || {
        routing::duty::run(&context, random, &routing_end)
    }));
    let context = routing::forward::ForwardContext {
        key: common.key.clone(),
        connect_timeout: Duration::from_millis(settings.routing.connect_timeout_ms),
        answer_limit_bytes: settings.front.answer_limit_bytes,
        retry_body_limit_bytes: settings.front.retry_body_limit_bytes,
        routing: rings.routing.clone(),
    };
    for index in 0..settings.front.worker_count {
        let context = context.clone();
        let jobs = forwards_end.clone();
        threads.push(spawn_duty(&format!("forward-{index}"), move || {
            routing::forward::run(&context, &jobs);
        }));
    }
    threads.extend(start_answers("answer", &answers_end));
    threads
}

fn start_answers(name: &str, jobs: &Receiver<front::duty::AnswerJob>) -> Vec<JoinHandle<()>> {
    let start = |index: usize| {
        let jobs = jobs.clone();
        spawn_duty(&format!("{name}-{index}"), move || {
            front::duty::write_answers(&jobs)
        })
    };
    (0..ANSWER_THREAD_COUNT).map(start).collect()
}

fn start_guard(
    common: &Common,
    rings: &Rings,
    listener: &Arc<HttpListener>,
    messages: Receiver<GuardMessage>,
) -> Vec<JoinHandle<()>> {
    let settings = &common.settings;
    let (starts, starts_end) = ring("start", settings.guard.ring_count, &common.metrics);
    let (answers, answers_end) = ring("refuse", settings.guard.ring_count, &common.metrics);
    let mut threads = Vec::new();
    for index in 0..ACCEPT_THREAD_COUNT {
        let context = guard::accept::AcceptContext {
            listener: listener.clone(),
            key: common.key.clone(),
            clock: common.clock.clone(),
            metrics: common.metrics.clone(),
            guard: rings.guard.clone(),
        };
        threads.push(spawn_duty(&format!("guard-in-{index}"), move || {
            guard::accept::run(&context)
        }));
    }
    let context = guard::duty::GuardContext {
        settings: settings.guard.clone(),
        clock: common.clock.clone(),
        metrics: common.metrics.clone(),
        starts,
        answers,
        membership: rings.membership.clone(),
    };
    threads.push(spawn_duty("guard", move || {
        guard::duty::run(&context, &messages)
    }));
    let context = guard::forward::ForwardContext {
        backend: Arc::new(guard::forward::HttpBackend),
        connect_timeout: Duration::from_millis(settings.guard.connect_timeout_ms),
        answer_limit_bytes: settings.front.answer_limit_bytes,
        guard: rings.guard.clone(),
    };
    for index in 0..settings.guard.worker_count {
        let context = context.clone();
        let jobs = starts_end.clone();
        threads.push(spawn_duty(&format!("call-{index}"), move || {
            guard::forward::run(&context, &jobs)
        }));
    }
    threads.extend(start_answers("refuse", &answers_end));
    threads
}

fn start_announce(rings: &Rings, listener: &Arc<HttpListener>) -> JoinHandle<()> {
    let listener = listener.clone();
    let guard = rings.guard.clone();
    spawn_duty("announce", move || guard::announce::run(&listener, &guard))
}

fn start_membership(
    common: &Common,
    rings: &Rings,
    guard_address: SocketAddr,
    events: Receiver<MembershipEvent>,
) -> JoinHandle<()> {
    let own = DaemonEntry {
        daemon: common.settings.daemon.daemon.clone(),
        incarnation: epoch_ms(common.clock.wall()),
        version: 0,
        domain: common.settings.daemon.domain.clone(),
        guard_address,
        leaving: false,
        servers: Vec::new(),
    };
    let journal = rings.journal.clone();
    let routing = rings.routing.clone();
    let metrics = common.metrics.clone();
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
        changed: Box::new(move |fleet| {
            routing.deliver(RoutingMessage::Event(RoutingEvent::Fleet(fleet)))
        }),
    };
    spawn_duty("membership", move || {
        membership::duty::run(&context, own, &events)
    })
}

fn start_journal(
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
        metrics: common.metrics.clone(),
    };
    let context = journal::duty::JournalContext {
        settings: common.settings.journal.clone(),
        log: Arc::new(HttpLog::new(&common.settings.journal)),
        clock: common.clock.clone(),
        metrics: common.metrics.clone(),
        readers: vec![Box::new(readers)],
    };
    journal::duty::start(context, (rings.journal.clone(), events), stopping.clone())
}

impl Daemon {
    /// Graceful shutdown: takes no new work, tells the fleet, finishes what runs, and ends.
    pub fn stop(self, grace: Duration) {
        let Daemon {
            listeners,
            rings,
            stopping,
            threads,
            ..
        } = self;
        rings.front.deliver(FrontMessage::Event(FrontEvent::Drain));
        rings.guard.deliver(GuardMessage::Event(GuardEvent::Drain));
        rings.membership.deliver(MembershipEvent::Leave);
        std::thread::sleep(grace);
        stopping.store(true, Ordering::Relaxed);
        for listener in &listeners {
            listener.close();
        }
        rings.front.deliver(FrontMessage::Stop);
        rings.allowance.deliver(AllowanceEvent::Stop);
        rings.routing.deliver(RoutingMessage::Stop);
        rings.guard.deliver(GuardMessage::Stop);
        rings.membership.deliver(MembershipEvent::Stop);
        rings.journal.deliver(JournalEvent::Stop);
        drop(rings);
        for thread in threads {
            // A duty that panicked has told so on standard error.
            let _ = thread.join();
        }
    }
}
