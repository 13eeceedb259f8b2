//! Decisions of the journal: which records make the view, and what is handed on.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::checkpoint::CheckpointMarker;
use super::follow::{Follower, Taken};
use super::message::{JournalAction, JournalEvent, LogRecord, ReaderCommand, SubmitOutcome};
use super::peers::PeerReads;
use super::submissions::Submissions;
use super::tombstones::{TombstoneWaits, Tombstones};
use super::writer::CheckpointWriter;
use super::{Batch, LogError, Stream, CHECKPOINTS, CONFIGURATION};
use crate::contract::{Change, ChangeVerdict, Record};
use crate::link::{LinkError, RecordsAnswer, RecordsRequest};
use crate::membership::Fleet;
use crate::settings::journal::JournalSettings;
use crate::types::{DaemonId, KeyHash, Offset};

/// State of the journal.
pub struct JournalState {
    settings: JournalSettings,
    follower: Follower,
    submissions: Submissions,
    tombstones: Tombstones,
    peers: PeerReads,
    writer: CheckpointWriter,
    /// Whether the last read was answered.
    reachable: bool,
    /// Whether requests were last told that they may rely on the view.
    usable: bool,
    /// Whether a view was given out.
    published: bool,
}

impl JournalState {
    /// The journal of a daemon that has read nothing.
    pub fn new(settings: JournalSettings, own: DaemonId, seed: u64) -> JournalState {
        let ms = Duration::from_millis;
        let waits = TombstoneWaits {
            spread_after: SPREAD_AFTER,
            repeat: ms(settings.retry_ms),
            read_back: ms(settings.read_back_ms),
            relay_spread: ms(settings.checkpoint_spread_ms),
        };
        JournalState {
            follower: Follower::default(),
            submissions: Submissions::new(ms(settings.read_back_ms), ms(settings.confirm_ms)),
            tombstones: Tombstones::new(own.clone(), waits),
            peers: PeerReads::new(
                own.clone(),
                ms(settings.wait_ms) + ASK_MARGIN,
                ms(settings.peer_ask_ms),
                ms(settings.stale_limit_ms),
                ChaCha8Rng::seed_from_u64(seed),
            ),
            writer: CheckpointWriter::new(
                own,
                settings.checkpoint_every_count,
                ms(settings.checkpoint_every_ms),
                ms(settings.checkpoint_spread_ms),
            ),
            reachable: true,
            usable: false,
            published: false,
            settings,
        }
    }

    /// What the reader of the configuration does first.
    pub fn first_command(&self) -> ReaderCommand {
        ReaderCommand::Read {
            from: 0,
            pause: false,
        }
    }

    /// Takes one event and gives what is to be done.
    pub fn handle(&mut self, now: Instant, event: JournalEvent) -> Vec<JournalAction> {
        let mut actions = Vec::new();
        self.take(now, event, &mut actions);
        self.timers(now, &mut actions);
        actions
    }

    /// When `JournalEvent::Timer` is due.
    pub fn next_timer_at(&mut self, now: Instant) -> Option<Instant> {
        let stale_at = self.peers.stale_at().filter(|at| *at > now);
        let times = [
            self.submissions.next_at(),
            self.tombstones.next_at(now),
            self.peers.next_at(now),
            stale_at,
            self.writer.next_at().filter(|_| self.writes()),
        ];
        times.into_iter().flatten().min()
    }

    fn take(&mut self, now: Instant, event: JournalEvent, actions: &mut Vec<JournalAction>) {
        match event {
            JournalEvent::Read {
                stream,
                asked_at,
                from,
                result,
            } => self.read(now, stream, (asked_at, from), result, actions),
            JournalEvent::CheckpointRead { text } => self.checkpoint_read(text, actions),
            JournalEvent::CheckpointWritten { next, written } => {
                actions.push(JournalAction::Count(match written {
                    true => "journal.checkpoint.written",
                    false => "journal.checkpoint.failed",
                }));
                match written {
                    true => self.writer.seen(now, next),
                    false => self.writer.failed(now),
                }
            }
            JournalEvent::Append { stream, body } => {
                actions.push(JournalAction::Append { stream, body });
            }
            JournalEvent::Submit(record) => self.submit(now, *record, actions),
            JournalEvent::Appended { operation, result } => {
                if result.is_err() {
                    self.submissions.append_failed(operation);
                    self.tombstones.append_failed(now, operation);
                }
            }
            JournalEvent::Fleet(fleet) => self.fleet(&fleet),
            JournalEvent::PeerAsked {
                from,
                request,
                reply,
            } => {
                let answer = self.answer_peer(&request);
                actions.push(JournalAction::AnswerPeer { reply, answer });
                self.tell_asker(from.daemon, actions);
            }
            JournalEvent::PeerAnswered {
                from,
                asked_at,
                result,
            } => self.peer_answered((asked_at, from), result, actions),
            JournalEvent::Tombstones { hashes } => self.hear(now, &hashes, actions),
            JournalEvent::TombstonesTaken {
                peer,
                known_count,
                taken,
            } => self.tombstones.taken(&peer, known_count, taken),
            JournalEvent::Timer | JournalEvent::Stop => {}
        }
    }

    fn read(
        &mut self,
        now: Instant,
        stream: Stream,
        asked: (Instant, Offset),
        result: Result<Batch, LogError>,
        actions: &mut Vec<JournalAction>,
    ) {
        if stream == CONFIGURATION {
            return self.configuration_read(now, asked, result, actions);
        }
        let Ok(batch) = result else {
            actions.push(JournalAction::Count("journal.read.failed"));
            return;
        };
        if stream == CHECKPOINTS {
            return self.markers(now, &batch.records);
        }
        actions.push(JournalAction::Hand {
            stream,
            asked_at: asked.0,
            records: batch.records,
            next: batch.next,
        });
    }

    fn configuration_read(
        &mut self,
        now: Instant,
        (asked_at, from): (Instant, Offset),
        result: Result<Batch, LogError>,
        actions: &mut Vec<JournalAction>,
    ) {
        let reachable = matches!(result, Ok(_) | Err(LogError::Truncated(_)));
        self.peers.log_failed(result.is_err());
        if reachable != self.reachable {
            self.reachable = reachable;
            if reachable {
                self.tombstones.log_back(now);
            }
            actions.push(JournalAction::Reachable(reachable));
        }
        match result {
            Ok(batch) => {
                let at_end = batch.records.len() < self.settings.batch_count;
                self.records(from, batch.records, batch.next, actions);
                if at_end && from <= self.follower.view().next {
                    self.peers.log_answered(asked_at);
                }
                self.command(false, actions);
            }
            Err(LogError::Truncated(first)) if first > self.follower.view().next => {
                actions.push(JournalAction::Count("journal.read.truncated"));
                actions.push(JournalAction::Command(ReaderCommand::FindCheckpoint));
            }
            Err(LogError::Truncated(_)) => self.command(false, actions),
            Err(_) => {
                actions.push(JournalAction::Count("journal.read.failed"));
                self.command(true, actions);
            }
        }
    }

    fn command(&self, pause: bool, actions: &mut Vec<JournalAction>) {
        let from = self.follower.view().next;
        actions.push(JournalAction::Command(ReaderCommand::Read { from, pause }));
    }

    fn records(
        &mut self,
        from: Offset,
        records: Vec<LogRecord>,
        next: Offset,
        actions: &mut Vec<JournalAction>,
    ) {
        let Taken {
            changes,
            malformed_count,
            moved,
            gap,
        } = self.follower.take(from, records, next);
        if gap {
            actions.push(JournalAction::Count("journal.read.gap"));
        }
        for _ in 0..malformed_count {
            actions.push(JournalAction::Count("journal.record.malformed"));
        }
        if moved {
            self.tombstones.settle(self.follower.view());
            self.published = false;
        }
        for change in changes {
            if change.verdict != ChangeVerdict::Accepted {
                actions.push(JournalAction::Count("journal.record.void"));
            }
            self.resolve(change.record.operation, actions);
            actions.push(JournalAction::Changed(Box::new(change)));
        }
    }

    fn resolve(&mut self, operation: u128, actions: &mut Vec<JournalAction>) {
        let Some(outcome) = self.follower.outcome(operation) else {
            return;
        };
        if self.submissions.end(operation) {
            actions.push(JournalAction::Resolved { operation, outcome });
        }
    }

    fn checkpoint_read(&mut self, text: Option<String>, actions: &mut Vec<JournalAction>) {
        let taken = text.is_some_and(|text| self.take_checkpoint(&text, actions));
        self.command(!taken, actions);
    }

    fn take_checkpoint(&mut self, text: &str, actions: &mut Vec<JournalAction>) -> bool {
        if !self.follower.take_checkpoint(text) {
            actions.push(JournalAction::Count("journal.checkpoint.passed-over"));
            return false;
        }
        actions.push(JournalAction::Count("journal.checkpoint.taken"));
        self.tombstones.settle(self.follower.view());
        self.published = false;
        for operation in self.submissions.operations() {
            self.resolve(operation, actions);
        }
        true
    }

    fn markers(&mut self, now: Instant, records: &[LogRecord]) {
        for record in records {
            if let Ok(marker) = serde_json::from_str::<CheckpointMarker>(&record.body) {
                self.writer.seen(now, marker.next);
            }
        }
    }

    fn submit(&mut self, now: Instant, record: Record, actions: &mut Vec<JournalAction>) {
        let operation = record.operation;
        if let Some(outcome) = self.follower.outcome(operation) {
            actions.push(JournalAction::Resolved { operation, outcome });
            return;
        }
        if self.submissions.waits(operation) {
            return;
        }
        let withdraws = match &record.change {
            Change::WithdrawKey { key_hash } => Some(*key_hash),
            _ => None,
        };
        if !self.reachable && withdraws.is_none() {
            let outcome = SubmitOutcome::LogDown;
            actions.push(JournalAction::Resolved { operation, outcome });
            return;
        }
        self.submissions.add(now, &record, self.reachable);
        if let Some(key_hash) = withdraws {
            self.add_tombstone(key_hash);
            self.tombstones
                .add(now, key_hash, record.clone(), self.reachable);
        }
        if !self.reachable {
            return;
        }
        let body = serde_json::to_string(&record).expect("plain values become JSON");
        actions.push(JournalAction::AppendChange { operation, body });
    }

    fn add_tombstone(&mut self, key_hash: KeyHash) {
        if self.follower.add_tombstone(key_hash) {
            self.published = false;
        }
    }

    fn hear(&mut self, now: Instant, hashes: &[KeyHash], actions: &mut Vec<JournalAction>) {
        for key_hash in hashes {
            if self.follower.view().is_withdrawn(key_hash) {
                continue;
            }
            actions.push(JournalAction::Count("journal.tombstone.heard"));
            self.add_tombstone(*key_hash);
            self.tombstones.hear(now, *key_hash);
        }
    }

    fn fleet(&mut self, fleet: &Fleet) {
        self.peers.fleet(fleet);
        self.tombstones.fleet(fleet);
        self.writer.fleet(fleet.daemons.len());
    }

    /// A daemon whose own view is not usable refuses, so that it vouches for nothing.
    fn answer_peer(&self, request: &RecordsRequest) -> Result<RecordsAnswer, LinkError> {
        if request.stream != CONFIGURATION || !self.usable {
            return Err(LinkError::Refused);
        }
        let limit_bytes = self.settings.peer_checkpoint_limit_bytes;
        self.follower
            .answer(request, limit_bytes)
            .ok_or(LinkError::Refused)
    }

    fn tell_asker(&self, to: DaemonId, actions: &mut Vec<JournalAction>) {
        let hashes = self.tombstones.hashes();
        if hashes.is_empty() {
            return;
        }
        actions.push(JournalAction::SendTombstones {
            to,
            hashes,
            known_count: self.tombstones.known_count(),
        });
    }

    fn peer_answered(
        &mut self,
        (asked_at, from): (Instant, Offset),
        result: Result<RecordsAnswer, LinkError>,
        actions: &mut Vec<JournalAction>,
    ) {
        let Ok(answer) = result else {
            actions.push(JournalAction::Count("journal.peer.failed"));
            return;
        };
        actions.push(JournalAction::Count("journal.peer.answered"));
        if let Some(text) = &answer.checkpoint {
            self.take_checkpoint(text, actions);
        }
        let Some(next) = contiguous_next(from, &answer.records) else {
            actions.push(JournalAction::Count("journal.peer.gap"));
            return;
        };
        let at_end = answer.records.is_empty();
        self.records(from, answer.records, next, actions);
        if at_end && answer.next <= self.follower.view().next {
            self.peers.peer_answered(asked_at);
        } else {
            self.peers.ask_again();
        }
    }

    fn timers(&mut self, now: Instant, actions: &mut Vec<JournalAction>) {
        for overdue in self.submissions.overdue(now) {
            let outcome = match overdue.withdraws {
                Some(key_hash) if self.follower.view().tombstones.contains(&key_hash) => {
                    let (confirmed_count, fleet_count) = self.tombstones.confirmed(&key_hash);
                    SubmitOutcome::NotDurable {
                        confirmed_count,
                        fleet_count,
                    }
                }
                _ => SubmitOutcome::Unknown {
                    read_up_to: self.follower.view().next,
                },
            };
            let operation = overdue.operation;
            actions.push(JournalAction::Resolved { operation, outcome });
        }
        for sending in self.tombstones.sendings(now) {
            actions.push(JournalAction::SendTombstones {
                to: sending.to,
                hashes: sending.hashes,
                known_count: sending.known_count,
            });
        }
        if self.reachable {
            for (operation, record) in self.tombstones.appends(now) {
                let body = serde_json::to_string(&record).expect("plain values become JSON");
                actions.push(JournalAction::AppendChange { operation, body });
            }
        }
        self.ask_peer(now, actions);
        self.give_out(now, actions);
        let view = self.follower.view();
        if self.writes() && self.writer.due(now, view.next) {
            let (next, text) = (view.next, view.to_checkpoint());
            actions.push(JournalAction::WriteCheckpoint { next, text });
        }
    }

    fn writes(&self) -> bool {
        self.usable && self.reachable && self.follower.view().next > 0
    }

    fn ask_peer(&mut self, now: Instant, actions: &mut Vec<JournalAction>) {
        let Some(to) = self.peers.ask(now) else {
            return;
        };
        let request = RecordsRequest {
            stream: CONFIGURATION.to_owned(),
            from: self.follower.view().next,
            limit_count: self.settings.batch_count as u32,
        };
        actions.push(JournalAction::AskPeer { to, request });
    }

    /// Gives out the view once it was read to its end, and says when it is no longer usable.
    fn give_out(&mut self, now: Instant, actions: &mut Vec<JournalAction>) {
        let usable = self.peers.usable(now);
        if usable && !self.published {
            self.published = true;
            let view = Arc::new(self.follower.view().clone());
            actions.push(JournalAction::Publish(view));
        }
        if usable != self.usable {
            self.usable = usable;
            actions.push(JournalAction::Usable(usable));
        }
    }
}

/// Offset after the records when they follow each other from an offset on. An offset that a peer
/// only claims is not taken over.
fn contiguous_next(from: Offset, records: &[LogRecord]) -> Option<Offset> {
    let mut next = from;
    for record in records {
        if record.offset != next {
            return None;
        }
        next += 1;
    }
    Some(next)
}

/// Wait in which the log usually holds a withdrawal, before it is spread without the log.
const SPREAD_AFTER: Duration = Duration::from_millis(300);
/// Time beyond the longest read after which the log counts as silent.
const ASK_MARGIN: Duration = Duration::from_millis(500);
