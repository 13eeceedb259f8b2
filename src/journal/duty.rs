//! The journal's threads: one reader for each stream, one that runs the state, one that appends.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, RecvTimeoutError};

use super::appender::{self, AppendJob};
use super::message::{JournalAction, JournalEvent, LogRecord, ReaderCommand, SubmitOutcome};
use super::reader::{ConfigurationReader, StreamReader};
use super::state::JournalState;
use super::{PlatformLog, Stream, CONFIGURATION, STREAMS};
use crate::clock::Clock;
use crate::contract::{AppliedChange, View};
use crate::link::{LinkMessage, PeerAnswer, PeerRequest};
use crate::metrics::Metrics;
use crate::ring::{ring, spawn_duty, RingSender};
use crate::settings::journal::JournalSettings;
use crate::types::{DaemonId, Offset, OperationId};

/// Receives the views of the configuration and what the journal reads from the log.
pub trait JournalObserver: Send {
    /// Receives a new view of the configuration, which replaces the former one.
    fn view_changed(&self, view: Arc<View>);
    /// Receives whether requests may rely on the view; it counts as unusable until the first call.
    fn usable_changed(&self, usable: bool);
    /// Receives a record of the configuration, whether it was accepted or not.
    fn change_read(&self, _change: &AppliedChange) {}
    /// Receives the outcome of an operator's change that was submitted to this daemon.
    fn change_resolved(&self, _operation: OperationId, _outcome: &SubmitOutcome) {}
    /// Receives whether the platform's log answers, each time that this changes.
    fn log_reachable_changed(&self, _reachable: bool) {}
    /// Receives the result of a read of a stream other than the configuration, also an empty one.
    ///
    /// The read was sent at `asked_at`. Whatever was appended before then and was not delivered
    /// earlier is among the records or at offset `next` and beyond.
    fn read_ended(&self, stream: Stream, asked_at: Instant, records: Vec<LogRecord>, next: Offset);
}

/// Settings and interfaces that the journal's threads use.
pub struct JournalContext {
    /// Settings of the journal.
    pub settings: JournalSettings,
    /// Id of this daemon.
    pub own: DaemonId,
    /// Seed for the random choice of the peers that are asked for records.
    pub seed: u64,
    /// Interface to the platform's log.
    pub log: Arc<dyn PlatformLog>,
    /// Clock that gives the current time.
    pub clock: Arc<dyn Clock>,
    /// Counters of this daemon.
    pub metrics: Metrics,
    /// Ring of the link duty, which sends calls to peers.
    pub link: RingSender<LinkMessage>,
    /// Observers that receive views, records and outcomes.
    pub observers: Vec<Box<dyn JournalObserver>>,
}

/// Interfaces and rings through which the journal's actions are carried out.
struct JournalOutputs {
    context: JournalContext,
    events: RingSender<JournalEvent>,
    appends: RingSender<AppendJob>,
    commands: RingSender<ReaderCommand>,
}

/// Starts the journal's threads. They end after `JournalEvent::Stop`, which sets `stopping` for the
/// readers of streams.
pub fn start(
    context: JournalContext,
    events: (RingSender<JournalEvent>, Receiver<JournalEvent>),
    stopping: Arc<AtomicBool>,
) -> Vec<JoinHandle<()>> {
    let (sender, receiver) = events;
    let mut threads = Vec::new();
    for stream in STREAMS {
        let reader = StreamReader {
            stream,
            log: context.log.clone(),
            settings: context.settings.clone(),
            clock: context.clock.clone(),
            events: sender.clone(),
            stopping: stopping.clone(),
        };
        threads.push(spawn_duty(&format!("read-{stream}"), move || reader.run()));
    }
    let (commands, commands_end) = ring("journal.command", COMMAND_RING_COUNT, &context.metrics);
    let reader = ConfigurationReader {
        log: context.log.clone(),
        settings: context.settings.clone(),
        clock: context.clock.clone(),
        events: sender.clone(),
    };
    threads.push(spawn_duty(&format!("read-{CONFIGURATION}"), move || {
        reader.run(&commands_end)
    }));
    let (appends, appends_end) = ring("journal.append", APPEND_RING_COUNT, &context.metrics);
    let log = context.log.clone();
    let metrics = context.metrics.clone();
    let append_events = sender.clone();
    threads.push(spawn_duty("append", move || {
        appender::run(&*log, &appends_end, &append_events, &metrics)
    }));
    let outputs = JournalOutputs {
        context,
        events: sender,
        appends,
        commands,
    };
    threads.push(spawn_duty("journal", move || {
        run_state(&outputs, &receiver, &stopping)
    }));
    threads
}

/// Capacity of the ring to the appending thread, in jobs.
const APPEND_RING_COUNT: usize = 256;
/// Only one command is in flight at a time.
const COMMAND_RING_COUNT: usize = 1;
/// Longest wait for an event when no timer is set.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Feeds events and timers to the state until `JournalEvent::Stop`, then sets `stopping`.
fn run_state(outputs: &JournalOutputs, events: &Receiver<JournalEvent>, stopping: &AtomicBool) {
    let context = &outputs.context;
    let mut state = JournalState::new(context.settings.clone(), context.own.clone(), context.seed);
    carry_out(outputs, JournalAction::CommandReader(state.first_command()));
    loop {
        let now = context.clock.now();
        let wait = state
            .next_timer_at(now)
            .map_or(IDLE_TIMEOUT, |at| at.saturating_duration_since(now));
        let event = match events.recv_timeout(wait) {
            Ok(JournalEvent::Stop) | Err(RecvTimeoutError::Disconnected) => break,
            Err(RecvTimeoutError::Timeout) => JournalEvent::Timer,
            Ok(event) => event,
        };
        for action in state.handle(context.clock.now(), event) {
            carry_out(outputs, action);
        }
    }
    stopping.store(true, Ordering::Relaxed);
}

/// Carries out one action of the state.
fn carry_out(outputs: &JournalOutputs, action: JournalAction) {
    let context = &outputs.context;
    match action {
        JournalAction::Publish(view) => {
            for observer in &context.observers {
                observer.view_changed(view.clone());
            }
        }
        JournalAction::ViewUsable(usable) => {
            match usable {
                true => log::info!("the configuration is usable"),
                false => log::warn!("neither the log nor a peer answers: every request is refused"),
            }
            for observer in &context.observers {
                observer.usable_changed(usable);
            }
        }
        JournalAction::Deliver {
            stream,
            asked_at,
            records,
            next,
        } => {
            for observer in &context.observers {
                observer.read_ended(stream, asked_at, records.clone(), next);
            }
        }
        JournalAction::ChangeRead(change) => {
            for observer in &context.observers {
                observer.change_read(&change);
            }
        }
        JournalAction::ChangeResolved { operation, outcome } => {
            for observer in &context.observers {
                observer.change_resolved(operation, &outcome);
            }
        }
        JournalAction::CommandReader(command) => {
            // The reader took the last command before it sent the event that led here, so the ring
            // has room.
            let _ = outputs.commands.offer(command);
        }
        JournalAction::Append { stream, body } => {
            offer_append(outputs, AppendJob::Record { stream, body });
        }
        JournalAction::AppendChange { operation, body } => {
            offer_append(outputs, AppendJob::Change { operation, body });
        }
        JournalAction::WriteCheckpoint { next, text } => {
            offer_append(outputs, AppendJob::Checkpoint { next, text });
        }
        JournalAction::Count(name) => context.metrics.count(name),
        JournalAction::LogReachable(reachable) => {
            match reachable {
                true => log::info!("the platform's log answers again"),
                false => log::warn!("the platform's log does not answer"),
            }
            for observer in &context.observers {
                observer.log_reachable_changed(reachable);
            }
        }
        action => carry_out_peer_action(outputs, action),
    }
}

/// Passes a job to the appending thread. A job that finds the ring full is counted and dropped.
fn offer_append(outputs: &JournalOutputs, job: AppendJob) {
    if outputs.appends.offer(job).is_err() {
        outputs.context.metrics.count("journal.append.refused");
    }
}

/// Carries out an action that calls or answers a peer; any other action is ignored.
fn carry_out_peer_action(outputs: &JournalOutputs, action: JournalAction) {
    match action {
        JournalAction::AskPeer { to, request } => {
            let events = outputs.events.clone();
            let asked_at = outputs.context.clock.now();
            let from = request.from;
            let reply = move |result| {
                let result = match result {
                    Ok(PeerAnswer::Records(answer)) => Ok(answer),
                    Ok(_) => Err(crate::link::LinkError::Refused),
                    Err(error) => Err(error),
                };
                let event = JournalEvent::PeerAnswered {
                    from,
                    asked_at,
                    result,
                };
                // If the ring is full, the answer is lost and a peer is asked again later.
                let _ = events.offer(event);
            };
            send_call(outputs, to, PeerRequest::Records(request), Box::new(reply));
        }
        JournalAction::SendTombstones {
            to,
            hashes,
            known_count,
        } => {
            let events = outputs.events.clone();
            let peer = to.clone();
            let reply = move |result: Result<PeerAnswer, _>| {
                let event = JournalEvent::TombstonesSent {
                    peer,
                    known_count,
                    confirmed: result.is_ok(),
                };
                // If the ring is full, the confirmation is lost and the keys are sent again.
                let _ = events.offer(event);
            };
            send_call(
                outputs,
                to,
                PeerRequest::Tombstones(hashes),
                Box::new(reply),
            );
        }
        JournalAction::AnswerPeer { reply, answer } => reply(answer.map(PeerAnswer::Records)),
        _ => {}
    }
}

/// Passes a call to the link duty. A call that finds the ring full is counted and dropped.
fn send_call(
    outputs: &JournalOutputs,
    to: DaemonId,
    request: PeerRequest,
    reply: crate::link::PeerReply,
) {
    if outputs
        .context
        .link
        .offer(LinkMessage::Call { to, request, reply })
        .is_err()
    {
        outputs.context.metrics.count("journal.peer.not-sent");
    }
}
