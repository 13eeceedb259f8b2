//! Creates the rings between the duties of one daemon.

use crossbeam::channel::Receiver;

use super::shared::SharedResources;
use crate::allowance::AllowanceMessage;
use crate::feed::FeedMessage;
use crate::front::FrontMessage;
use crate::guard::GuardMessage;
use crate::health::HealthMessage;
use crate::idempotency::IdempotencyMessage;
use crate::journal::JournalEvent;
use crate::link::LinkMessage;
use crate::membership::{MembershipCall, MembershipEvent};
use crate::operator::OperatorMessage;
use crate::ready::ReadyEvent;
use crate::reload::ReloadMessage;
use crate::ring::{ring, task_ring, RingSender, TaskReceiver};
use crate::rollout::RolloutMessage;
use crate::routing::RoutingMessage;

/// Sending ends of the rings, one for each duty that receives events.
#[derive(Clone)]
pub(super) struct RingSenders {
    pub(super) front: RingSender<FrontMessage>,
    pub(super) allowance: RingSender<AllowanceMessage>,
    pub(super) routing: RingSender<RoutingMessage>,
    pub(super) guard: RingSender<GuardMessage>,
    pub(super) health: RingSender<HealthMessage>,
    pub(super) membership: RingSender<MembershipEvent>,
    /// Ring of membership for requests of peers and answers to its calls.
    pub(super) membership_calls: RingSender<MembershipCall>,
    pub(super) journal: RingSender<JournalEvent>,
    pub(super) link: RingSender<LinkMessage>,
    pub(super) idempotency: RingSender<IdempotencyMessage>,
    pub(super) operator: RingSender<OperatorMessage>,
    /// Ring of the feed duty, which runs only with a keyed store.
    pub(super) feed: RingSender<FeedMessage>,
    /// Ring of the roll-out duty, which runs only with a keyed store.
    pub(super) rollout: RingSender<RolloutMessage>,
    /// Ring of the thread that answers readiness checks.
    pub(super) ready: RingSender<ReadyEvent>,
    /// Ring of the thread that reads the settings file.
    pub(super) reload: RingSender<ReloadMessage>,
}

/// Receiving ends of the rings; each is passed to the thread of its duty.
pub(super) struct RingReceivers {
    pub(super) front: Receiver<FrontMessage>,
    pub(super) allowance: Receiver<AllowanceMessage>,
    pub(super) routing: Receiver<RoutingMessage>,
    pub(super) guard: Receiver<GuardMessage>,
    pub(super) health: Receiver<HealthMessage>,
    pub(super) membership: Receiver<MembershipEvent>,
    pub(super) membership_calls: Receiver<MembershipCall>,
    pub(super) journal: Receiver<JournalEvent>,
    pub(super) link: TaskReceiver<LinkMessage>,
    pub(super) idempotency: Receiver<IdempotencyMessage>,
    pub(super) operator: Receiver<OperatorMessage>,
    pub(super) feed: Receiver<FeedMessage>,
    pub(super) rollout: Receiver<RolloutMessage>,
    pub(super) ready: Receiver<ReadyEvent>,
    pub(super) reload: Receiver<ReloadMessage>,
}

/// Creates all rings with the capacities of the settings. The names appear in counters.
pub(super) fn make_rings(shared: &SharedResources) -> (RingSenders, RingReceivers) {
    let settings = &shared.settings;
    let metrics = &shared.metrics;
    let (front, front_receiver) = ring("front", settings.front.ring_count, metrics);
    let (allowance, allowance_receiver) = ring("allowance", settings.allowance.ring_count, metrics);
    let (routing, routing_receiver) = ring("routing", settings.routing.ring_count, metrics);
    let (guard, guard_receiver) = ring("guard", settings.guard.ring_count, metrics);
    let (health, health_receiver) = ring("health", settings.health.ring_count, metrics);
    let (membership, membership_receiver) =
        ring("membership", settings.membership.ring_count, metrics);
    let (membership_calls, membership_calls_receiver) =
        ring("membership_calls", settings.membership.ring_count, metrics);
    let (journal, journal_receiver) = ring("journal", JOURNAL_RING_COUNT, metrics);
    let idempotency_count = settings.idempotency.ring_count;
    let (idempotency, idempotency_receiver) = ring("idempotency", idempotency_count, metrics);
    let (link, link_receiver) = task_ring("link", settings.link.ring_count, metrics);
    let (operator, operator_receiver) = ring("operator", settings.operator.ring_count, metrics);
    let (feed, feed_receiver) = ring("feed", settings.feed.ring_count, metrics);
    let (rollout, rollout_receiver) = ring("rollout", settings.rollout.ring_count, metrics);
    let (ready, ready_receiver) = ring("ready", READY_RING_COUNT, metrics);
    let (reload, reload_receiver) = ring("reload", RELOAD_RING_COUNT, metrics);
    let rings = RingSenders {
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
        feed,
        rollout,
        ready,
        reload,
    };
    let receivers = RingReceivers {
        front: front_receiver,
        allowance: allowance_receiver,
        routing: routing_receiver,
        guard: guard_receiver,
        health: health_receiver,
        membership: membership_receiver,
        membership_calls: membership_calls_receiver,
        journal: journal_receiver,
        link: link_receiver,
        idempotency: idempotency_receiver,
        operator: operator_receiver,
        feed: feed_receiver,
        rollout: rollout_receiver,
        ready: ready_receiver,
        reload: reload_receiver,
    };
    (rings, receivers)
}

/// Events that the ring of the journal holds.
pub(super) const JOURNAL_RING_COUNT: usize = 1024;

/// Messages that the ring of the thread that reads the settings file holds.
const RELOAD_RING_COUNT: usize = 16;

/// Events that the ring of the readiness duty holds.
const READY_RING_COUNT: usize = 1024;
