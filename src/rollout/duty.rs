//! The roll-out thread: carries out the decisions by calls to peers, rules for the guard, and calls
//! to the store on a thread of its own.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError};

use super::event::{CallId, RolloutAction, RolloutEvent, RolloutMessage, StepRecord};
use super::message::{RolloutCall, RolloutStatus};
use super::plan::TrialBounds;
use super::state::Rollouts;
use super::RolloutStore;
use crate::clock::Clock;
use crate::guard::{GuardEvent, GuardMessage};
use crate::link::{LinkError, LinkMessage, PeerAnswer, PeerReply, PeerRequest};
use crate::metrics::Metrics;
use crate::ring::{ring, spawn_duty, RingSender};
use crate::types::{DaemonId, Offset, ServiceId};

/// Calls to the store that may wait; a service has one at a time.
const STORE_RING_COUNT: usize = 64;
/// Longest wait for a message while no tick is due.
const IDLE_WAIT: Duration = Duration::from_secs(60);

/// Interfaces and rings that the roll-out thread needs.
pub struct RolloutContext {
    /// Id of this daemon.
    pub own_daemon: DaemonId,
    /// Bounds of trials.
    pub bounds: TrialBounds,
    /// Clock by which steps are measured.
    pub clock: Arc<dyn Clock>,
    /// Takes the counters of roll-outs.
    pub metrics: Metrics,
    /// Ring of the guard, which applies the rules.
    pub guard: RingSender<GuardMessage>,
    /// Ring of the link, which calls other daemons.
    pub link: RingSender<LinkMessage>,
    /// Ring of this thread itself, through which answers arrive.
    pub own_ring: RingSender<RolloutMessage>,
    /// Set while there are orders, so that the guard reports requests only then.
    pub active: Arc<AtomicBool>,
}

/// A call for the thread of the store.
enum StoreTask {
    /// Reads the status of a service.
    Read(ServiceId),
    /// Writes a status if its stream still ends at the offset.
    Write(RolloutStatus, Offset),
}

/// The store before and after its thread was started.
enum StoreAccess {
    /// The store is not in use yet.
    Unused(Box<dyn RolloutStore>),
    /// Ring of the thread that calls the store.
    Started(RingSender<StoreTask>),
}

/// State of the thread.
struct RolloutDuty {
    /// Interfaces and rings of the thread.
    context: RolloutContext,
    /// Decides on steps.
    state: Rollouts,
    /// Access to the records in which operators follow roll-outs; none only within a call.
    store: Option<StoreAccess>,
    /// Calls of drivers that are not answered yet.
    replies: HashMap<CallId, PeerReply>,
    /// Id of the last call of a driver; ids count up.
    last_call: CallId,
}

/// Runs the thread until it receives `Stop` or its ring is closed.
pub fn run(
    context: RolloutContext,
    store: Box<dyn RolloutStore>,
    messages: &Receiver<RolloutMessage>,
) {
    let mut duty = RolloutDuty {
        state: Rollouts::new(context.own_daemon.clone(), context.bounds),
        context,
        store: Some(StoreAccess::Unused(store)),
        replies: HashMap::new(),
        last_call: 0,
    };
    loop {
        let now = duty.context.clock.now();
        let next_tick_at = duty.state.next_tick_at();
        let wait = next_tick_at.map_or(IDLE_WAIT, |at| at.saturating_duration_since(now));
        let event = match messages.recv_timeout(wait) {
            Ok(RolloutMessage::Event(event)) => event,
            Ok(RolloutMessage::Called { call, reply }) => {
                duty.last_call += 1;
                duty.replies.insert(duty.last_call, reply);
                let id = duty.last_call;
                RolloutEvent::Called { id, call }
            }
            Err(RecvTimeoutError::Timeout) => RolloutEvent::Tick,
            Ok(RolloutMessage::Stop) | Err(RecvTimeoutError::Disconnected) => return,
        };
        duty.handle(event);
        // Messages may come more often than ticks.
        let now = duty.context.clock.now();
        if duty.state.next_tick_at().is_some_and(|at| at <= now) {
            duty.handle(RolloutEvent::Tick);
        }
    }
}

impl RolloutDuty {
    /// Applies an event and carries out what follows from it.
    fn handle(&mut self, event: RolloutEvent) {
        let now = self.context.clock.now();
        for action in self.state.handle(now, event) {
            self.carry_out(action);
        }
        let is_active = self.state.is_active();
        self.context.active.store(is_active, Ordering::Relaxed);
    }

    /// Carries out an action that the decisions returned.
    fn carry_out(&mut self, action: RolloutAction) {
        match action {
            RolloutAction::Apply(rule) => {
                let event = GuardEvent::Rollout(rule);
                self.context.guard.deliver(GuardMessage::Event(event));
            }
            RolloutAction::End(service) => {
                let event = GuardEvent::RolloutEnded(service);
                self.context.guard.deliver(GuardMessage::Event(event));
            }
            RolloutAction::Call { to, call } => self.call(to, call),
            RolloutAction::Answer { id, report } => {
                if let Some(reply) = self.replies.remove(&id) {
                    let answer = report.map(PeerAnswer::Rollout);
                    reply(answer.ok_or(LinkError::Refused));
                }
            }
            RolloutAction::Read(service) => self.call_store(StoreTask::Read(service)),
            RolloutAction::Write { status, end } => {
                self.call_store(StoreTask::Write(status, end));
            }
            RolloutAction::Log(record) => log_step(&record),
            RolloutAction::Count(name) => self.context.metrics.count(name),
        }
    }

    /// Calls a daemon; its answer arrives as `RolloutEvent::CallEnded`.
    fn call(&self, to: DaemonId, call: RolloutCall) {
        let own_ring = self.context.own_ring.clone();
        let (service, from) = (call.service.clone(), to.clone());
        let reply: PeerReply = Box::new(move |answer| {
            let report = match answer {
                Ok(PeerAnswer::Rollout(report)) => Some(report),
                _ => None,
            };
            // If the ring is full the answer is lost, and the daemon is called again.
            let _ = own_ring.offer(RolloutMessage::Event(RolloutEvent::CallEnded {
                service,
                from,
                report,
            }));
        });
        let request = PeerRequest::Rollout(call);
        let message = LinkMessage::Call { to, request, reply };
        if self.context.link.offer(message).is_err() {
            self.context.metrics.count("rollout.call.dropped");
        }
    }

    /// Passes a call to the thread of the store, which is started with the first one.
    fn call_store(&mut self, task: StoreTask) {
        let access = match self.store.take() {
            Some(StoreAccess::Unused(store)) => self.start_store(store),
            Some(started) => started,
            None => return,
        };
        if let StoreAccess::Started(tasks) = &access {
            // A service has one call at a time, so the ring has room.
            tasks.deliver(task);
        }
        self.store = Some(access);
    }

    /// Starts the thread that calls the store.
    fn start_store(&self, mut store: Box<dyn RolloutStore>) -> StoreAccess {
        let (tasks, receiver) = ring("rollout_store", STORE_RING_COUNT, &self.context.metrics);
        let own_ring = self.context.own_ring.clone();
        spawn_duty("rollout-store", move || {
            for task in receiver.iter() {
                own_ring.deliver(RolloutMessage::Event(run_task(&mut *store, task)));
            }
        });
        StoreAccess::Started(tasks)
    }
}

/// Calls the store and returns the event with the result.
fn run_task(store: &mut dyn RolloutStore, task: StoreTask) -> RolloutEvent {
    match task {
        StoreTask::Read(service) => {
            let result = store.read(&service);
            if let Err(error) = &result {
                log::debug!("reading the status of a roll-out failed: {error}");
            }
            RolloutEvent::StatusRead { service, result }
        }
        StoreTask::Write(status, end) => {
            let result = store.write(&status, end);
            let service = &*status.service;
            match &result {
                Ok(written) => {
                    let (state, step) = (status.state.name(), status.step.name());
                    let (reason, written) = (&*status.reason, written.name());
                    log::info!(service, state, step, reason, written, end; "rollout_status");
                }
                Err(error) => log::warn!(service, error:%; "rollout_status_unknown"),
            }
            RolloutEvent::StatusWritten {
                service: status.service.clone(),
                result,
            }
        }
    }
}

/// Logs a step of a roll-out.
fn log_step(record: &StepRecord) {
    let order = &record.order;
    let (service, version) = (&*order.service, &*order.target_version);
    let (step, reason) = (record.step, &*record.reason);
    let age_ms = record.age.as_millis() as u64;
    log::info!(service, version, order = order.order, step, age_ms, reason; "rollout_step");
}
