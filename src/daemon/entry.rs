//! Starts the entry: front, allowance and routing.

use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::common::Common;
use super::health::HealthFeed;
use super::peers::FleetCaller;
use super::rings::Rings;
use crate::allowance::partition::Candidate;
use crate::allowance::state::AllowanceOptions;
use crate::allowance::{self, AllowanceMessage};
use crate::front::{self, FrontMessage};
use crate::link::PeerName;
use crate::ring::{ring, spawn_duty};
use crate::routing::forward::GuardCallContext;
use crate::routing::least_loaded::LeastLoaded;
use crate::routing::{self, RoutingMessage};
use crate::wire::client::HttpClient;
use crate::wire::listener::HttpListener;

const ANSWER_THREAD_COUNT: usize = 16;
pub(super) const ACCEPT_THREAD_COUNT: usize = 2;

pub(super) type EntryReceivers = (Receiver<FrontMessage>, Receiver<RoutingMessage>);

pub(super) fn start_entry(
    common: &Common,
    rings: &Rings,
    listener: &Arc<HttpListener>,
    receivers: EntryReceivers,
    drained: Sender<()>,
) -> Vec<JoinHandle<()>> {
    let settings = &common.settings;
    let (front_end, routing_end) = receivers;
    let mut threads = Vec::new();
    let (answers, answers_end) = ring("answer", settings.front.ring_count, &common.metrics);
    for index in 0..ACCEPT_THREAD_COUNT {
        let context = front::accept::AcceptContext {
            settings: settings.front.clone(),
            listener: listener.clone(),
            clock: common.clock.clone(),
            metrics: common.metrics.clone(),
            dialect: common.dialect.clone(),
            front: rings.front.clone(),
        };
        threads.push(spawn_duty(&format!("accept-{index}"), move || {
            front::accept::run(&context)
        }));
    }
    let context = front::duty::FrontContext {
        clock: common.clock.clone(),
        metrics: common.metrics.clone(),
        audit: common.audit.clone(),
        dialect: common.dialect.clone(),
        allowance: rings.allowance.clone(),
        routing: rings.routing.clone(),
        answers: answers.clone(),
    };
    threads.push(spawn_duty("front", move || {
        front::duty::run(&context, &front_end)
    }));
    let context = routing::duty::RoutingContext {
        settings: settings.routing.clone(),
        daemon: settings.daemon.daemon.clone(),
        origin: settings.daemon.service.clone(),
        clock: common.clock.clone(),
        metrics: common.metrics.clone(),
        dialect: common.dialect.clone(),
        caller: Arc::new(HttpClient::start("forward")),
        forward: GuardCallContext {
            daemon: settings.daemon.daemon.clone(),
            key: common.key.clone(),
            connect_timeout: Duration::from_millis(settings.routing.connect_timeout_ms),
            answer_grace: Duration::from_millis(settings.routing.answer_grace_ms),
            answer_limit_bytes: settings.front.answer_limit_bytes,
            reuse_idle: Duration::from_millis(settings.routing.reuse_idle_ms),
        },
        call_limit_count: settings.front.worker_count,
        upload_limit_count: settings.front.upload_worker_count,
        guard: rings.guard.clone(),
        answers,
        peers: Arc::new(FleetCaller {
            own: settings.daemon.daemon.clone(),
            rings: rings.clone(),
        }),
        own: rings.routing.clone(),
        drained,
    };
    let choice = Box::new(LeastLoaded::new(
        settings.routing.clone(),
        settings.daemon.domain.clone(),
        ChaCha8Rng::from_rng(&mut rand::rng()),
    ));
    threads.push(spawn_duty("routing", move || {
        routing::duty::run(&context, choice, &routing_end)
    }));
    threads.extend(start_answers("answer", &answers_end));
    threads
}

/// Starts the allowance that is cut into seats by the platform's log.
pub(super) fn start_allowance(
    common: &Common,
    rings: &Rings,
    allowance_end: Receiver<AllowanceMessage>,
) -> JoinHandle<()> {
    let settings = &common.settings;
    let own = Candidate {
        name: PeerName {
            daemon: settings.daemon.daemon.clone(),
            incarnation: common.incarnation,
        },
        domain: settings.daemon.domain.clone(),
    };
    let context = allowance::duty::AllowanceContext {
        options: AllowanceOptions::new(own, settings.allowance.clone()),
        clock: common.clock.clone(),
        metrics: common.metrics.clone(),
        front: rings.front.clone(),
        permits: Box::new(HealthFeed(rings.health.clone())),
        journal: rings.journal.clone(),
        link: rings.link.clone(),
        own: rings.allowance.clone(),
    };
    spawn_duty("allowance", move || {
        allowance::duty::run(context, &allowance_end)
    })
}

pub(super) fn start_answers(
    name: &str,
    jobs: &Receiver<front::duty::AnswerJob>,
) -> Vec<JoinHandle<()>> {
    let start = |index: usize| {
        let jobs = jobs.clone();
        spawn_duty(&format!("{name}-{index}"), move || {
            front::duty::write_answers(&jobs)
        })
    };
    (0..ANSWER_THREAD_COUNT).map(start).collect()
}
