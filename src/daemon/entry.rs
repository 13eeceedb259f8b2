//! Starts the duties that accept requests of callers: front, allowance and routing.

use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::health::HealthSender;
use super::peers::FleetCaller;
use super::rings::RingSenders;
use super::shared::SharedResources;
use crate::allowance::partition::Candidate;
use crate::allowance::state::AllowanceOptions;
use crate::allowance::{self, AllowanceMessage};
use crate::front::{self, FrontMessage};
use crate::link::PeerName;
use crate::reload::ReloadMessage;
use crate::ring::{spawn_duty, RingSender};
use crate::routing::forward::GuardCallContext;
use crate::routing::least_loaded::LeastLoaded;
use crate::routing::{self, RoutingMessage};
use crate::wire::listener::HttpListener;

/// Receiving ends of the rings of front and routing.
pub(super) type EntryReceivers = (Receiver<FrontMessage>, Receiver<RoutingMessage>);

/// Starts front and routing with the thread that accepts requests. `drained` is signalled once after
/// the drain, when no request is left. `reload` is `None` if no file of the settings is read.
pub(super) fn start_entry(
    shared: &SharedResources,
    rings: &RingSenders,
    listener: &Arc<HttpListener>,
    receivers: EntryReceivers,
    reload: Option<RingSender<ReloadMessage>>,
    drained: Sender<()>,
) -> Vec<JoinHandle<()>> {
    let settings = &shared.settings;
    let (front_receiver, routing_receiver) = receivers;
    let mut threads = Vec::new();
    let context = front::accept::AcceptContext {
        settings: settings.front.clone(),
        listener: listener.clone(),
        clock: shared.clock.clone(),
        metrics: shared.metrics.clone(),
        dialect: shared.dialect.clone(),
        front: rings.front.clone(),
    };
    threads.push(spawn_duty("accept", move || front::accept::run(&context)));
    let context = front::duty::FrontContext {
        clock: shared.clock.clone(),
        metrics: shared.metrics.clone(),
        audit: shared.audit.clone(),
        dialect: shared.dialect.clone(),
        allowance: rings.allowance.clone(),
        routing: rings.routing.clone(),
    };
    threads.push(spawn_duty("front", move || {
        front::duty::run(&context, &front_receiver)
    }));
    let context = routing::duty::RoutingContext {
        settings: settings.routing.clone(),
        daemon: settings.daemon.daemon.clone(),
        origin: settings.daemon.origin(),
        reload,
        clock: shared.clock.clone(),
        metrics: shared.metrics.clone(),
        dialect: shared.dialect.clone(),
        caller: shared.caller.clone(),
        forward: GuardCallContext {
            daemon: settings.daemon.daemon.clone(),
            key: shared.key.clone(),
            connect_timeout: Duration::from_millis(settings.routing.connect_timeout_ms),
            answer_grace: Duration::from_millis(settings.routing.answer_grace_ms),
            answer_limit_bytes: settings.front.answer_limit_bytes,
            reuse_idle: Duration::from_millis(settings.routing.reuse_idle_ms),
        },
        call_limit_count: settings.front.worker_count,
        upload_limit_count: settings.front.upload_worker_count,
        feed: rings.feed.clone(),
        guard: rings.guard.clone(),
        peers: Arc::new(FleetCaller {
            own: settings.daemon.daemon.clone(),
            rings: rings.clone(),
        }),
        own_ring: rings.routing.clone(),
        drained,
    };
    let choice = LeastLoaded::new(
        settings.routing.clone(),
        settings.daemon.domain.clone(),
        ChaCha8Rng::from_rng(&mut rand::rng()),
    );
    let choice = Box::new(choice.with_daemon(settings.daemon.daemon.clone()));
    threads.push(spawn_duty("routing", move || {
        routing::duty::run(&context, choice, &routing_receiver)
    }));
    threads
}

/// Starts the allowance, whose partitions the platform's log assigns to daemons.
pub(super) fn start_allowance(
    shared: &SharedResources,
    rings: &RingSenders,
    allowance_receiver: Receiver<AllowanceMessage>,
) -> JoinHandle<()> {
    let settings = &shared.settings;
    let own = Candidate {
        name: PeerName {
            daemon: settings.daemon.daemon.clone(),
            incarnation: shared.incarnation,
        },
        domain: settings.daemon.domain.clone(),
    };
    let context = allowance::duty::AllowanceContext {
        options: AllowanceOptions::new(own, settings.allowance.clone()),
        clock: shared.clock.clone(),
        metrics: shared.metrics.clone(),
        front: rings.front.clone(),
        permits: Box::new(HealthSender(rings.health.clone())),
        journal: rings.journal.clone(),
        link: rings.link.clone(),
        own: rings.allowance.clone(),
    };
    spawn_duty("allowance", move || {
        allowance::duty::run(context, &allowance_receiver)
    })
}
