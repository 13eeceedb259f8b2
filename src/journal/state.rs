//! Decisions of the journal: builds the view from records and determines what is sent to observers,
//! peers and the log.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::checkpoint::CheckpointMarker;
use super::checkpoint_schedule::CheckpointSchedule;
use super::follow::{AppliedBatch, Follower};
use super::message::{JournalAction, JournalEvent, LogRecord, ReaderCommand, SubmitOutcome};
use super::peers::PeerReads;
use super::submissions::Submissions;
use super::tombstones::{TombstoneTimings, Tombstones};
use super::{Batch, LogError, Stream, CHECKPOINTS, CONFIGURATION};
use crate::contract::{Change, ChangeVerdict, Record};
use crate::link::{LinkError, RecordsAnswer, RecordsRequest};
use crate::membership::Fleet;
use crate::settings::journal::JournalSettings;
use crate::types::{DaemonId, KeyHash, Offset};

/// State of the journal, free of input and output.
pub struct JournalState {
    /// Limits and intervals of the journal.
    settings: JournalSettings,
    /// View of the configuration with its recent records.
    follower: Follower,
    /// Changes of this daemon's operators that are not read back yet.
    submissions: Submissions,
    /// Withdrawn keys that the log does not hold yet.
    tombstones: Tombstones,
    /// Decides when to ask a peer for records, and whether the view is usable.
    peers: PeerReads,
    /// Decides when this daemon writes a checkpoint.
    checkpoint_schedule: CheckpointSchedule,
    /// Whether the last read of the configuration was answered, if only with a truncation.
    reachable: bool,
    /// Whether requests may rely on the view, as last published.
    usable: bool,
    /// Whether the current view was published.
    published: bool,
}

impl JournalState {
    /// Creates the state of a daemon that has read nothing. `seed` determines the choice of peers.
    pub fn new(settings: JournalSettings, own: DaemonId, seed: u64) -> JournalState {
        let ms = Duration::from_millis;
        let timings = TombstoneTimings {
            spread_delay: TOMBSTONE_SPREAD_DELAY,
            resend_interval: ms(settings.retry_ms),
            append_interval: ms(settings.read_back_ms),
            relay_spread_per_daemon: ms(settings.checkpoint_spread_ms),
        };
        JournalState {
            follower: Follower::default(),
            submissions: Submissions::new(ms(settings.read_back_ms), ms(settings.confirm_ms)),
            tombstones: Tombstones::new(own.clone(), timings),
            peers: PeerReads::new(
                own.clone(),
                ms(settings.wait_ms) + LOG_SILENCE_MARGIN,
                ms(settings.peer_ask_ms),
                ms(settings.stale_limit_ms),
                ChaCha8Rng::seed_from_u64(seed),
            ),
            checkpoint_schedule: CheckpointSchedule::new(
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

    /// Returns the command that starts the reader of the configuration.
    pub fn first_command(&self) -> ReaderCommand {
        ReaderCommand::Read {
            from: 0,
            pause: false,
        }
    }

    /// Handles one event and returns the actions that follow from it and from the passage of time.
    pub fn handle(&mut self, now: Instant, event: JournalEvent) -> Vec<JournalAction> {
        let mut actions = Vec::new();
        self.apply_event(now, event, &mut actions);
        self.run_timers(now, &mut actions);
        actions
    }

    /// Returns when `JournalEvent::Timer` is due, or `None` when nothing waits for a time.
    pub fn next_timer_at(&mut self, now: Instant) -> Option<Instant> {
        let stale_at = self.peers.stale_at().filter(|at| *at > now);
        let times = [
            self.submissions.next_due_at(),
            self.tombstones.next_check_at(now),
            self.peers.next_request_at(now),
            stale_at,
            self.checkpoint_schedule
                .next_check_at()
                .filter(|_| self.may_write_checkpoint()),
        ];
        times.into_iter().flatten().min()
    }

    /// Applies one event to the state.
    fn apply_event(&mut self, now: Instant, event: JournalEvent, actions: &mut Vec<JournalAction>) {
        match event {
            JournalEvent::ReadEnded {
                stream,
                asked_at,
                from,
                result,
            } => self.read_ended(now, stream, (asked_at, from), result, actions),
            JournalEvent::CheckpointSearchEnded { text } => {
                self.checkpoint_search_ended(text, actions)
            }
            JournalEvent::CheckpointWriteEnded { next, written } => {
                actions.push(JournalAction::Count(match written {
                    true => "journal.checkpoint.written",
                    false => "journal.checkpoint.failed",
                }));
                match written {
                    true => self.checkpoint_schedule.checkpoint_seen(now, next),
                    false => self.checkpoint_schedule.write_failed(now),
                }
            }
            JournalEvent::Append { stream, body } => {
                actions.push(JournalAction::Append { stream, body });
            }
            JournalEvent::Submit(record) => self.submit(now, *record, actions),
            JournalEvent::AppendEnded { operation, result } => {
                if result.is_err() {
                    self.submissions.append_failed(operation);
                    self.tombstones.append_failed(now, operation);
                }
            }
            JournalEvent::Fleet(fleet) => self.update_fleet(&fleet),
            JournalEvent::PeerAsked {
                from,
                request,
                reply,
            } => {
                let answer = self.answer_peer(&request);
                actions.push(JournalAction::AnswerPeer { reply, answer });
                self.send_tombstones(from.daemon, actions);
            }
            JournalEvent::PeerAnswered {
                from,
                asked_at,
                result,
            } => self.peer_answered((asked_at, from), result, actions),
            JournalEvent::TombstonesReceived { hashes } => {
                self.receive_tombstones(now, &hashes, actions)
            }
            JournalEvent::TombstonesSent {
                peer,
                known_count,
                confirmed,
            } => self
                .tombstones
                .record_confirmation(&peer, known_count, confirmed),
            JournalEvent::Timer | JournalEvent::Stop => {}
        }
    }

    /// Handles the end of a read of any stream. `asked` is when and from which offset it was sent.
    fn read_ended(
        &mut self,
        now: Instant,
        stream: Stream,
        asked: (Instant, Offset),
        result: Result<Batch, LogError>,
        actions: &mut Vec<JournalAction>,
    ) {
        if stream == CONFIGURATION {
            return self.configuration_read_ended(now, asked, result, actions);
        }
        let Ok(batch) = result else {
            actions.push(JournalAction::Count("journal.read.failed"));
            return;
        };
        if stream == CHECKPOINTS {
            return self.record_markers(now, &batch.records);
        }
        actions.push(JournalAction::Deliver {
            stream,
            asked_at: asked.0,
            records: batch.records,
            next: batch.next,
        });
    }

    /// Applies what a read of the configuration returned, and commands the next read or a search
    /// for a checkpoint.
    fn configuration_read_ended(
        &mut self,
        now: Instant,
        (asked_at, from): (Instant, Offset),
        result: Result<Batch, LogError>,
        actions: &mut Vec<JournalAction>,
    ) {
        let reachable = matches!(result, Ok(_) | Err(LogError::Truncated(_)));
        self.peers.set_log_failed(result.is_err());
        if reachable != self.reachable {
            self.reachable = reachable;
            if reachable {
                self.tombstones.log_reachable_again(now);
            }
            actions.push(JournalAction::LogReachable(reachable));
        }
        match result {
            Ok(batch) => {
                let at_end = batch.records.len() < self.settings.batch_count;
                self.apply_records(from, batch.records, batch.next, actions);
                if at_end && from <= self.follower.view().next {
                    self.peers.log_read_to_end(asked_at);
                }
                self.command_read(false, actions);
            }
            Err(LogError::Truncated(first)) if first > self.follower.view().next => {
                actions.push(JournalAction::Count("journal.read.truncated"));
                actions.push(JournalAction::CommandReader(ReaderCommand::FindCheckpoint));
            }
            Err(LogError::Truncated(_)) => self.command_read(false, actions),
            Err(_) => {
                actions.push(JournalAction::Count("journal.read.failed"));
                self.command_read(true, actions);
            }
        }
    }

    /// Commands the next read of the configuration, after a pause if `pause` is set.
    fn command_read(&self, pause: bool, actions: &mut Vec<JournalAction>) {
        let from = self.follower.view().next;
        actions.push(JournalAction::CommandReader(ReaderCommand::Read {
            from,
            pause,
        }));
    }

    /// Applies records of the configuration and reports each change and its outcome.
    fn apply_records(
        &mut self,
        from: Offset,
        records: Vec<LogRecord>,
        next: Offset,
        actions: &mut Vec<JournalAction>,
    ) {
        let AppliedBatch {
            changes,
            malformed_count,
            advanced,
            gap,
        } = self.follower.apply_records(from, records, next);
        if gap {
            actions.push(JournalAction::Count("journal.read.gap"));
        }
        for _ in 0..malformed_count {
            actions.push(JournalAction::Count("journal.record.malformed"));
        }
        if advanced {
            self.tombstones.remove_durable(self.follower.view());
            self.published = false;
        }
        for change in changes {
            if change.verdict != ChangeVerdict::Accepted {
                actions.push(JournalAction::Count("journal.record.void"));
            }
            self.resolve(change.record.operation, actions);
            actions.push(JournalAction::ChangeRead(Box::new(change)));
        }
    }

    /// Reports the outcome of an operation that was submitted here, if its record was read.
    fn resolve(&mut self, operation: u128, actions: &mut Vec<JournalAction>) {
        let Some(outcome) = self.follower.outcome(operation) else {
            return;
        };
        if self.submissions.remove(operation) {
            actions.push(JournalAction::ChangeResolved { operation, outcome });
        }
    }

    /// Adopts the checkpoint that was found, if it covers more records than the view, and reads on.
    fn checkpoint_search_ended(&mut self, text: Option<String>, actions: &mut Vec<JournalAction>) {
        let adopted = text.is_some_and(|text| self.adopt_checkpoint(&text, actions));
        self.command_read(!adopted, actions);
    }

    /// Replaces the view by a checkpoint that covers more records. Returns whether it did.
    fn adopt_checkpoint(&mut self, text: &str, actions: &mut Vec<JournalAction>) -> bool {
        if !self.follower.adopt_checkpoint(text) {
            actions.push(JournalAction::Count("journal.checkpoint.passed-over"));
            return false;
        }
        actions.push(JournalAction::Count("journal.checkpoint.taken"));
        self.tombstones.remove_durable(self.follower.view());
        self.published = false;
        for operation in self.submissions.operations() {
            self.resolve(operation, actions);
        }
        true
    }

    /// Records the checkpoints that other daemons or this one announced.
    fn record_markers(&mut self, now: Instant, records: &[LogRecord]) {
        for record in records {
            if let Ok(marker) = serde_json::from_str::<CheckpointMarker>(&record.body) {
                self.checkpoint_schedule.checkpoint_seen(now, marker.next);
            }
        }
    }

    /// Handles an operator's change: answers a known operation, refuses all but withdrawals while
    /// the log is down, and appends the rest.
    fn submit(&mut self, now: Instant, record: Record, actions: &mut Vec<JournalAction>) {
        let operation = record.operation;
        if let Some(outcome) = self.follower.outcome(operation) {
            actions.push(JournalAction::ChangeResolved { operation, outcome });
            return;
        }
        if self.submissions.is_pending(operation) {
            return;
        }
        let withdrawn_key = match &record.change {
            Change::WithdrawKey { key_hash } => Some(*key_hash),
            _ => None,
        };
        if !self.reachable && withdrawn_key.is_none() {
            let outcome = SubmitOutcome::LogDown;
            actions.push(JournalAction::ChangeResolved { operation, outcome });
            return;
        }
        self.submissions.add(now, &record, self.reachable);
        if let Some(key_hash) = withdrawn_key {
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

    /// Withdraws a key in the view before the log holds the withdrawal.
    fn add_tombstone(&mut self, key_hash: KeyHash) {
        if self.follower.add_tombstone(key_hash) {
            self.published = false;
        }
    }

    /// Withdraws keys that a peer reported as withdrawn.
    fn receive_tombstones(
        &mut self,
        now: Instant,
        hashes: &[KeyHash],
        actions: &mut Vec<JournalAction>,
    ) {
        for key_hash in hashes {
            if self.follower.view().is_withdrawn(key_hash) {
                continue;
            }
            actions.push(JournalAction::Count("journal.tombstone.heard"));
            self.add_tombstone(*key_hash);
            self.tombstones.receive(now, *key_hash);
        }
    }

    /// Passes the daemons of the fleet on to the parts that depend on them.
    fn update_fleet(&mut self, fleet: &Fleet) {
        self.peers.update_fleet(fleet);
        self.tombstones.update_fleet(fleet);
        self.checkpoint_schedule
            .update_fleet_count(fleet.daemons.len());
    }

    /// Answers a peer's request for records. Refuses while the own view is not usable, because an
    /// answer assures the peer that its view is current.
    fn answer_peer(&self, request: &RecordsRequest) -> Result<RecordsAnswer, LinkError> {
        if request.stream != CONFIGURATION || !self.usable {
            return Err(LinkError::Refused);
        }
        let limit_bytes = self.settings.peer_checkpoint_limit_bytes;
        self.follower
            .answer(request, limit_bytes)
            .ok_or(LinkError::Refused)
    }

    /// Sends all pending tombstones to a peer that asked for records.
    fn send_tombstones(&self, to: DaemonId, actions: &mut Vec<JournalAction>) {
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

    /// Applies the records or the checkpoint with which a peer answered.
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
            self.adopt_checkpoint(text, actions);
        }
        let Some(next) = contiguous_next(from, &answer.records) else {
            actions.push(JournalAction::Count("journal.peer.gap"));
            return;
        };
        let at_end = answer.records.is_empty();
        self.apply_records(from, answer.records, next, actions);
        if at_end && answer.next <= self.follower.view().next {
            self.peers.peer_read_to_end(asked_at);
        } else {
            self.peers.ask_at_once();
        }
    }

    /// Performs everything that is due at this time.
    fn run_timers(&mut self, now: Instant, actions: &mut Vec<JournalAction>) {
        for overdue in self.submissions.take_overdue(now) {
            let outcome = match overdue.withdrawn_key {
                Some(key_hash) if self.follower.view().tombstones.contains(&key_hash) => {
                    let (confirmed_count, fleet_count) =
                        self.tombstones.confirmation_counts(&key_hash);
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
            actions.push(JournalAction::ChangeResolved { operation, outcome });
        }
        for send in self.tombstones.due_sends(now) {
            actions.push(JournalAction::SendTombstones {
                to: send.to,
                hashes: send.hashes,
                known_count: send.known_count,
            });
        }
        if self.reachable {
            for (operation, record) in self.tombstones.due_appends(now) {
                let body = serde_json::to_string(&record).expect("plain values become JSON");
                actions.push(JournalAction::AppendChange { operation, body });
            }
        }
        self.ask_due_peer(now, actions);
        self.publish_view(now, actions);
        let view = self.follower.view();
        if self.may_write_checkpoint() && self.checkpoint_schedule.take_due(now, view.next) {
            let (next, text) = (view.next, view.to_checkpoint());
            actions.push(JournalAction::WriteCheckpoint { next, text });
        }
    }

    /// Returns whether this daemon has a current view and a log to write a checkpoint to.
    fn may_write_checkpoint(&self) -> bool {
        self.usable && self.reachable && self.follower.view().next > 0
    }

    /// Requests records from a peer if a request is due.
    fn ask_due_peer(&mut self, now: Instant, actions: &mut Vec<JournalAction>) {
        let Some(to) = self.peers.take_due_peer(now) else {
            return;
        };
        let request = RecordsRequest {
            stream: CONFIGURATION.to_owned(),
            from: self.follower.view().next,
            era: 0,
            limit_count: self.settings.batch_count as u32,
        };
        actions.push(JournalAction::AskPeer { to, request });
    }

    /// Publishes a changed view while it is usable, so never before the first read that reached the
    /// end of the log. Reports whether the view is usable when that changed.
    fn publish_view(&mut self, now: Instant, actions: &mut Vec<JournalAction>) {
        let usable = self.peers.is_usable(now);
        if usable && !self.published {
            self.published = true;
            let view = Arc::new(self.follower.view().clone());
            actions.push(JournalAction::Publish(view));
        }
        if usable != self.usable {
            self.usable = usable;
            actions.push(JournalAction::ViewUsable(usable));
        }
    }
}

/// Returns the offset after the last record, or `None` unless the records follow each other from
/// `from` on. The offset that a peer claims is not trusted beyond its records.
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

/// Delay before a withdrawal is sent to peers. In most cases the log holds it by then.
const TOMBSTONE_SPREAD_DELAY: Duration = Duration::from_millis(300);
/// Time beyond the longest read of the log after which peers are asked.
const LOG_SILENCE_MARGIN: Duration = Duration::from_millis(500);
