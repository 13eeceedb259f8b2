//! Starts the guard of the backend servers beside this daemon.

use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender};

use super::common::Common;
use super::entry::{start_answers, ACCEPT_THREAD_COUNT};
use super::health::HealthFeed;
use super::rings::Rings;
use crate::guard::announce::AnnouncementDialect;
use crate::guard::{self, GuardMessage};
use crate::ring::{ring, spawn_duty};
use crate::wire::client::HttpClient;
use crate::wire::listener::HttpListener;

pub(super) fn start_guard(
    common: &Common,
    rings: &Rings,
    listener: &Arc<HttpListener>,
    messages: Receiver<GuardMessage>,
    drained: Sender<()>,
) -> Vec<JoinHandle<()>> {
    let settings = &common.settings;
    let (answers, answers_end) = ring("refuse", settings.guard.ring_count, &common.metrics);
    let (cancels, cancels_end) = ring("cancel", CANCEL_RING_COUNT, &common.metrics);
    let mut threads = Vec::new();
    for index in 0..ACCEPT_THREAD_COUNT {
        let context = guard::accept::AcceptContext {
            listener: listener.clone(),
            key: common.key.clone(),
            clock: common.clock.clone(),
            metrics: common.metrics.clone(),
            guard: rings.guard.clone(),
            feed: rings.feed.clone(),
        };
        threads.push(spawn_duty(&format!("guard-in-{index}"), move || {
            guard::accept::run(&context)
        }));
    }
    let context = guard::duty::GuardContext {
        settings: settings.guard.clone(),
        daemon: settings.daemon.daemon.clone(),
        incarnation: common.incarnation,
        clock: common.clock.clone(),
        metrics: common.metrics.clone(),
        caller: Arc::new(HttpClient::start("call")),
        forward: guard::forward::ServerCallContext {
            dialect: common.dialect.clone(),
            connect_timeout: Duration::from_millis(settings.guard.connect_timeout_ms),
            answer_limit_bytes: settings.front.answer_limit_bytes,
            reuse_idle: Duration::from_millis(settings.guard.reuse_idle_ms),
            reuse_idle_once: Duration::from_millis(settings.guard.reuse_idle_once_ms),
        },
        cancels,
        answers,
        outcomes: Box::new(HealthFeed(rings.health.clone())),
        membership: rings.membership.clone(),
        own_ring: rings.guard.clone(),
        routing: rings.routing.clone(),
        link: rings.link.clone(),
        drained,
    };
    threads.push(spawn_duty("guard", move || {
        guard::duty::run(&context, &messages)
    }));
    let metrics = common.metrics.clone();
    threads.push(spawn_duty("cancel", move || {
        guard::cancel::run(&metrics, &cancels_end)
    }));
    threads.extend(start_answers("refuse", &answers_end));
    threads
}

const CANCEL_RING_COUNT: usize = 256;

pub(super) fn start_announce(
    common: &Common,
    rings: &Rings,
    listener: &Arc<HttpListener>,
    dialect: &Arc<dyn AnnouncementDialect>,
) -> JoinHandle<()> {
    let listener = listener.clone();
    let dialect = dialect.clone();
    let guard = rings.guard.clone();
    let metrics = common.metrics.clone();
    spawn_duty("announce", move || {
        guard::announce::run(&listener, &*dialect, &guard, &metrics)
    })
}
