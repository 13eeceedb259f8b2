//! Starts the roll-out duty and connects it to guard, link and store.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use crossbeam::channel::Receiver;

use super::rings::RingSenders;
use super::shared::SharedResources;
use crate::guard::message::AttemptKey;
use crate::health::{OutcomeObserver, RequestEnd, StartedRequest};
use crate::membership::ServerEntry;
use crate::ring::{spawn_duty, RingSender};
use crate::rollout::plan::TrialBounds;
use crate::rollout::{self, RolloutEvent, RolloutMessage, RolloutStore};

/// Passes the outcomes of the guard to the roll-out duty while there are orders. If its ring is full,
/// the event is lost and counted.
pub(super) struct RolloutSender {
    /// Ring of the roll-out duty.
    pub(super) rollout: RingSender<RolloutMessage>,
    /// Whether there are orders.
    pub(super) active: Arc<AtomicBool>,
}

impl RolloutSender {
    /// Sends the event of a request, unless there is no order or the ring is full.
    fn offer(&self, event: impl FnOnce() -> RolloutEvent) {
        if self.active.load(Ordering::Relaxed) {
            // The ring counts each refused event.
            let _ = self.rollout.offer(RolloutMessage::Event(event()));
        }
    }
}

impl OutcomeObserver for RolloutSender {
    fn request_started(&self, request: StartedRequest) {
        self.offer(|| RolloutEvent::Started(request));
    }

    fn request_finished(&self, key: AttemptKey, end: RequestEnd, elapsed: Duration) {
        self.offer(|| RolloutEvent::Finished { key, end, elapsed });
    }

    fn servers_changed(&self, servers: &[ServerEntry]) {
        let event = RolloutEvent::Servers(servers.to_vec());
        // The ring counts a refused event; the guard reports its servers again with the next change.
        let _ = self.rollout.offer(RolloutMessage::Event(event));
    }
}

/// Starts the thread of the roll-out duty. `active` is set while there are orders.
pub(super) fn start_rollout(
    shared: &SharedResources,
    rings: &RingSenders,
    store: Box<dyn RolloutStore>,
    messages: Receiver<RolloutMessage>,
    active: Arc<AtomicBool>,
) -> JoinHandle<()> {
    let context = rollout::duty::RolloutContext {
        own_daemon: shared.settings.daemon.daemon.clone(),
        bounds: TrialBounds {
            share: shared.settings.routing.trial_share,
            rollback: Duration::from_millis(shared.settings.rollout.rollback_ms),
        },
        clock: shared.clock.clone(),
        metrics: shared.metrics.clone(),
        guard: rings.guard.clone(),
        link: rings.link.clone(),
        own_ring: rings.rollout.clone(),
        active,
    };
    spawn_duty("rollout", move || {
        rollout::duty::run(context, store, &messages)
    })
}
