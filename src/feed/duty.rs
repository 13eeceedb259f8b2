//! The configuration thread of daemons that read a feed.

use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::era::FeedPosition;
use super::message::{EraReport, FeedAction, FeedEvent, FeedMessage, Snapshot};
use super::role::SharedRole;
use super::state::FeedState;
use crate::clock::Clock;
use crate::journal::duty::JournalObserver;
use crate::journal::CONFIGURATION;
use crate::link::{
    LinkError, LinkMessage, PeerAnswer, PeerReply, PeerRequest, RecordsAnswer, RecordsRequest,
};
use crate::metrics::Metrics;
use crate::report_once::shortened;
use crate::ring::RingSender;
use crate::settings::feed::FeedSettings;
use crate::types::DaemonId;

/// Settings, interfaces and rings that the configuration thread needs.
pub struct FeedContext {
    /// Settings of the calls to peers.
    pub settings: FeedSettings,
    /// Id of this daemon.
    pub own_daemon: DaemonId,
    /// Clock by which waits are measured.
    pub clock: Arc<dyn Clock>,
    /// Takes the counters of the configuration.
    pub metrics: Metrics,
    /// Ring of the link, which calls the peers.
    pub link: RingSender<LinkMessage>,
    /// Ring of this thread itself, through which answers of peers arrive.
    pub answers: RingSender<FeedMessage>,
    /// Part of this daemon in the reads of the configuration.
    pub role: Arc<SharedRole>,
    /// Passes new views on to the other duties.
    pub observer: Box<dyn JournalObserver>,
}

/// Runs the thread until it receives `Stop` or its ring is closed.
pub fn run(context: &FeedContext, messages: &Receiver<FeedMessage>) {
    let random = ChaCha8Rng::from_rng(&mut rand::rng());
    let mut state = FeedState::new(context.settings.clone(), context.own_daemon.clone(), random);
    let mut usable = false;
    loop {
        let now = context.clock.now();
        let wait = state
            .next_tick_at()
            .map_or(IDLE_WAIT, |at| at.saturating_duration_since(now));
        let event = match messages.recv_timeout(wait) {
            Ok(FeedMessage::Stop) | Err(RecvTimeoutError::Disconnected) => return,
            Err(RecvTimeoutError::Timeout) => FeedEvent::Tick,
            Ok(FeedMessage::Event(event)) => event,
            Ok(FeedMessage::Asked {
                from,
                request,
                reply,
            }) => {
                let is_feed = request.stream == CONFIGURATION;
                let next = asked_position(&request);
                answer(&state, &request, reply);
                if !is_feed {
                    continue;
                }
                FeedEvent::PeerNotified { peer: from, next }
            }
        };
        for action in state.handle(context.clock.now(), event) {
            usable |= matches!(action, FeedAction::View(_));
            carry_out(context, action, usable);
        }
    }
}

/// Longest wait for a message while no tick is due.
const IDLE_WAIT: Duration = Duration::from_secs(60);

/// Returns the position up to which the peer has read that sent a request.
fn asked_position(request: &RecordsRequest) -> FeedPosition {
    FeedPosition {
        era: request.era,
        next: request.from,
    }
}

/// Answers a peer with the configuration in force, if it is newer than what the peer has.
fn answer(state: &FeedState, request: &RecordsRequest, reply: PeerReply) {
    let snapshot = state.snapshot();
    if request.stream != CONFIGURATION || snapshot.position() <= asked_position(request) {
        return reply(Err(LinkError::Refused));
    }
    let text = serde_json::to_string(&**snapshot).expect("a snapshot serialises to JSON");
    reply(Ok(PeerAnswer::Records(RecordsAnswer {
        checkpoint: Some(text),
        records: Vec::new(),
        next: snapshot.next,
    })));
}

/// Carries out an action that the state returned. `usable` is set once there is a view.
fn carry_out(context: &FeedContext, action: FeedAction, usable: bool) {
    match action {
        FeedAction::View(view) => {
            log::info!(next = view.next, era = view.era, domains_out = view.domains_out.len(); "view_in_force");
            context.observer.view_changed(view);
            context.observer.usable_changed(usable);
        }
        FeedAction::Ask { peer, from } => ask(context, peer, from),
        FeedAction::Notify { peers, next } => {
            for peer in peers {
                notify(
                    &context.link,
                    &context.metrics,
                    peer,
                    next,
                    NOTIFY_LIMIT_COUNT,
                );
            }
        }
        FeedAction::EraEntered(report) => report_era(context, &report),
        FeedAction::KeptDropped => log::info!("store_era_settled"),
        FeedAction::Role(role) => context.role.set(role),
        FeedAction::Reachable(reachable) => {
            log::info!(reachable; "store_reachable");
            context.observer.log_reachable_changed(reachable);
        }
        FeedAction::Unreadable { key, problem } => {
            context.metrics.count("feed.record.unreadable");
            let (key, problem) = (shortened(&key), shortened(&problem));
            log::warn!(key, problem; "configuration_record_unreadable");
        }
    }
}

/// Counts and logs the return of the store from a copy.
fn report_era(context: &FeedContext, report: &EraReport) {
    context.metrics.count("feed.era.entered");
    if report.stored < report.in_force {
        context.metrics.count("feed.era.older_configuration");
    }
    log::warn!(
        era = report.era,
        before:% = report.before,
        next = report.next,
        in_force = report.in_force,
        stored = report.stored,
        kept_count = report.kept_count;
        "store_era_entered"
    );
}

/// Most times that a peer is notified of one change. The first may be lost on a connection that has
/// silently failed.
const NOTIFY_LIMIT_COUNT: u32 = 2;

/// Notifies a peer up to where this daemon has read: a question for what follows makes a peer
/// that is behind ask in turn.
fn notify(
    link: &RingSender<LinkMessage>,
    metrics: &Metrics,
    peer: DaemonId,
    next: FeedPosition,
    left_count: u32,
) {
    if left_count == 0 {
        return;
    }
    metrics.count("feed.peer.notified");
    let (again, counters, to) = (link.clone(), metrics.clone(), peer.clone());
    let reply: PeerReply = Box::new(move |result| {
        // A peer that knows no more refuses.
        if matches!(result, Err(LinkError::Silent | LinkError::Unreachable)) {
            notify(&again, &counters, peer, next, left_count - 1);
        }
    });
    let request = records_after(next);
    // A full ring counts the refused message. Other daemons notify the peer, too.
    let _ = link.offer(LinkMessage::Call { to, request, reply });
}

/// Returns the question for the configuration after a position.
fn records_after(from: FeedPosition) -> PeerRequest {
    PeerRequest::Records(RecordsRequest {
        stream: CONFIGURATION.to_owned(),
        from: from.next,
        era: from.era,
        limit_count: 0,
    })
}

/// Asks a peer for its configuration; the answer arrives as `FeedEvent::PeerAnswered`.
fn ask(context: &FeedContext, peer: DaemonId, from: FeedPosition) {
    context.metrics.count("feed.peer.asked");
    let answers = context.answers.clone();
    let metrics = context.metrics.clone();
    let request = records_after(from);
    let reply: PeerReply = Box::new(move |result| {
        let snapshot = match result {
            Ok(PeerAnswer::Records(answer)) => parse(&metrics, answer),
            _ => None,
        };
        answers.deliver(FeedMessage::Event(FeedEvent::PeerAnswered(snapshot)));
    });
    let call = LinkMessage::Call {
        to: peer,
        request,
        reply,
    };
    if context.link.offer(call).is_err() {
        let event = FeedEvent::PeerAnswered(None);
        context.answers.deliver(FeedMessage::Event(event));
    }
}

/// Parses a peer's snapshot; a malformed one is counted and logged.
fn parse(metrics: &Metrics, answer: RecordsAnswer) -> Option<Snapshot> {
    let text = answer.checkpoint?;
    match serde_json::from_str(&text) {
        Ok(snapshot) => Some(snapshot),
        Err(error) => {
            metrics.count("feed.peer.malformed");
            log::warn!(error:%; "peer_snapshot_unreadable");
            None
        }
    }
}
