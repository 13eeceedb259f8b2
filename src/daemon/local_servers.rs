//! Starts the guard of the backend servers on this VM.

use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender};

use super::rings::RingSenders;
use super::shared::SharedResources;
use crate::feed::SharedPosition;
use crate::guard::announce::AnnouncementDialect;
use crate::guard::{self, GuardMessage};
use crate::health::OutcomeObserver;
use crate::reload::ReloadMessage;
use crate::ring::{spawn_duty, RingSender};
use crate::wire::listener::HttpListener;

/// Starts the guard with the thread that accepts attempts.
/// `outcomes` receives the starts and outcomes of requests. `drained` is signalled once after the drain, when nothing runs or waits.
pub(super) fn start_guard(
    shared: &SharedResources,
    rings: &RingSenders,
    listener: &Arc<HttpListener>,
    outcomes: Box<dyn OutcomeObserver>,
    messages: Receiver<GuardMessage>,
    drained: Sender<()>,
) -> Vec<JoinHandle<()>> {
    let settings = &shared.settings;
    let view = Arc::new(SharedPosition::default());
    let mut threads = Vec::new();
    let context = guard::accept::AcceptContext {
        listener: listener.clone(),
        key: shared.key.clone(),
        clock: shared.clock.clone(),
        metrics: shared.metrics.clone(),
        guard: rings.guard.clone(),
        view: view.clone(),
        feed: rings.feed.clone(),
    };
    threads.push(spawn_duty("guard-in", move || guard::accept::run(&context)));
    let context = guard::duty::GuardContext {
        settings: settings.guard.clone(),
        daemon: settings.daemon.daemon.clone(),
        incarnation: shared.incarnation,
        clock: shared.clock.clone(),
        metrics: shared.metrics.clone(),
        caller: shared.caller.clone(),
        forward: guard::forward::ServerCallContext {
            dialect: shared.dialect.clone(),
            connect_timeout: Duration::from_millis(settings.guard.connect_timeout_ms),
            answer_limit_bytes: settings.front.answer_limit_bytes,
            reuse_idle: Duration::from_millis(settings.guard.reuse_idle_ms),
            reuse_idle_once: Duration::from_millis(settings.guard.reuse_idle_once_ms),
        },
        outcomes,
        membership: rings.membership.clone(),
        own_ring: rings.guard.clone(),
        routing: rings.routing.clone(),
        link: rings.link.clone(),
        view,
        drained,
    };
    threads.push(spawn_duty("guard", move || {
        guard::duty::run(&context, &messages)
    }));
    threads
}

/// Starts the thread that receives the announcements of backend servers. `reload` is `None` if no
/// file of the settings is read.
pub(super) fn start_announce(
    shared: &SharedResources,
    rings: &RingSenders,
    listener: &Arc<HttpListener>,
    dialect: &Arc<dyn AnnouncementDialect>,
    reload: Option<RingSender<ReloadMessage>>,
) -> JoinHandle<()> {
    let context = guard::announce::AnnounceContext {
        listener: listener.clone(),
        dialect: dialect.clone(),
        guard: rings.guard.clone(),
        reload,
        metrics: shared.metrics.clone(),
    };
    spawn_duty("announce", move || guard::announce::run(&context))
}
