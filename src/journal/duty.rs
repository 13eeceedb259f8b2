//! The journal's threads: one reader a stream, one that decides, one that appends.

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

/// Takes new views and records of other streams.
pub trait JournalObserver: Send {
    /// A new view is in force.
    fn view_changed(&self, view: Arc<View>);
    /// Whether requests may rely on the view; false until the first one.
    fn usable_changed(&self, usable: bool);
    /// A record of the configuration was read, whether it holds or not.
    fn change_read(&self, _change: &AppliedChange) {}
    /// An operator's change came to an end.
    fn change_resolved(&self, _operation: OperationId, _outcome: &SubmitOutcome) {}
    /// Whether the platform's log answers.
    fn log_reachable_changed(&self, _reachable: bool) {}
    /// A read of a stream other than the configuration ended; called for empty reads too.
    ///
    /// The read was sent at `asked_at`, so whatever was appended before then and is not yet
    /// handed over is among the records or at `next` and beyond.
    fn read_ended(&self, stream: Stream, asked_at: Instant, records: Vec<LogRecord>, next: Offset);
}

/// What the journal needs of the world.
pub struct JournalContext {
    /// Its settings.
    pub settings: JournalSettings,
    /// This daemon.
    pub own: DaemonId,
    /// Seed of the choice of peers.
    pub seed: u64,
    /// The platform's log.
    pub log: Arc<dyn PlatformLog>,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Counters.
    pub metrics: Metrics,
    /// The link to peers.
    pub link: RingSender<LinkMessage>,
    /// Where views and records go.
    pub observers: Vec<Box<dyn JournalObserver>>,
}

struct Out {
    context: JournalContext,
    events: RingSender<JournalEvent>,
    appends: RingSender<AppendJob>,
    commands: RingSender<ReaderCommand>,
}

/// Starts the journal's threads.
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
    let ended = sender.clone();
    threads.push(spawn_duty("append", move || {
        appender::run(&*log, &appends_end, &ended, &metrics)
    }));
    let out = Out {
        context,
        events: sender,
        appends,
        commands,
    };
    threads.push(spawn_duty("journal", move || {
        decide(&out, &receiver, &stopping)
    }));
    threads
}

const APPEND_RING_COUNT: usize = 256;
/// One command is under way at a time.
const COMMAND_RING_COUNT: usize = 1;
const IDLE: Duration = Duration::from_secs(60);

fn decide(out: &Out, events: &Receiver<JournalEvent>, stopping: &AtomicBool) {
    let context = &out.context;
    let mut state = JournalState::new(context.settings.clone(), context.own.clone(), context.seed);
    carry_out(out, JournalAction::Command(state.first_command()));
    loop {
        let now = context.clock.now();
        let wait = state
            .next_timer_at(now)
            .map_or(IDLE, |at| at.saturating_duration_since(now));
        let event = match events.recv_timeout(wait) {
            Ok(JournalEvent::Stop) | Err(RecvTimeoutError::Disconnected) => break,
            Err(RecvTimeoutError::Timeout) => JournalEvent::Timer,
            Ok(event) => event,
        };
        for action in state.handle(context.clock.now(), event) {
            carry_out(out, action);
        }
    }
    stopping.store(true, Ordering::Relaxed);
}

fn carry_out(out: &Out, action: JournalAction) {
    let context = &out.context;
    match action {
        JournalAction::Publish(view) => {
            for observer in &context.observers {
                observer.view_changed(view.clone());
            }
        }
        JournalAction::Usable(usable) => {
            match usable {
                true => log::info!("the configuration is usable"),
                false => log::warn!("no contact to the log or a peer: every request is refused"),
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
        JournalAction::Changed(change) => {
            for observer in &context.observers {
                observer.change_read(&change);
            }
        }
        JournalAction::Resolved { operation, outcome } => {
            for observer in &context.observers {
                observer.change_resolved(operation, &outcome);
            }
        }
        JournalAction::Command(command) => {
            // The reader has taken the last command before its event came, so there is room.
            let _ = out.commands.offer(command);
        }
        JournalAction::Append { stream, body } => {
            offer_append(out, AppendJob::Record { stream, body });
        }
        JournalAction::AppendChange { operation, body } => {
            offer_append(out, AppendJob::Change { operation, body });
        }
        JournalAction::WriteCheckpoint { next, text } => {
            offer_append(out, AppendJob::Checkpoint { next, text });
        }
        JournalAction::Count(name) => context.metrics.count(name),
        JournalAction::Reachable(reachable) => {
            match reachable {
                true => log::info!("the platform's log answers again"),
                false => log::warn!("the platform's log does not answer"),
            }
            for observer in &context.observers {
                observer.log_reachable_changed(reachable);
            }
        }
        action => call_peer(out, action),
    }
}

fn offer_append(out: &Out, job: AppendJob) {
    if out.appends.offer(job).is_err() {
        out.context.metrics.count("journal.append.refused");
    }
}

fn call_peer(out: &Out, action: JournalAction) {
    match action {
        JournalAction::AskPeer { to, request } => {
            let events = out.events.clone();
            let asked_at = out.context.clock.now();
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
                // An answer that finds the ring full is asked for again.
                let _ = events.offer(event);
            };
            call(out, to, PeerRequest::Records(request), Box::new(reply));
        }
        JournalAction::SendTombstones {
            to,
            hashes,
            known_count,
        } => {
            let events = out.events.clone();
            let peer = to.clone();
            let reply = move |result: Result<PeerAnswer, _>| {
                let event = JournalEvent::TombstonesSent {
                    peer,
                    known_count,
                    confirmed: result.is_ok(),
                };
                // A confirmation that finds the ring full is asked for again.
                let _ = events.offer(event);
            };
            call(out, to, PeerRequest::Tombstones(hashes), Box::new(reply));
        }
        JournalAction::AnswerPeer { reply, answer } => reply(answer.map(PeerAnswer::Records)),
        _ => {}
    }
}

fn call(out: &Out, to: DaemonId, request: PeerRequest, reply: crate::link::PeerReply) {
    if out
        .context
        .link
        .offer(LinkMessage::Call { to, request, reply })
        .is_err()
    {
        out.context.metrics.count("journal.peer.not-sent");
    }
}
