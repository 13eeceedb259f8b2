//! Simulates the journals of several daemons under virtual time, over one log with faults.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use banyanbeam::contract::{Change, OrganisationContract, Record, View};
use banyanbeam::journal::state::JournalState;
use banyanbeam::journal::{
    checkpoint, Batch, JournalAction, JournalEvent, LogError, LogRecord, PlatformLog,
    ReaderCommand, SubmitOutcome, CHECKPOINTS, CONFIGURATION,
};
use banyanbeam::link::{LinkError, PeerName, RecordsAnswer, RecordsRequest};
use banyanbeam::membership::{DaemonEntry, Fleet};
use banyanbeam::settings::journal::JournalSettings;
use banyanbeam::types::{KeyHash, Offset, OperationId};
use banyanbeam::wire::proof::hash_key;

/// One-way delay of each message and of each answer of the log.
const LATENCY: Duration = Duration::from_millis(2);
/// Time after which a question to an unreachable peer fails.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// The platform's log in memory, with a limited retention.
#[derive(Default)]
pub struct FakeLog {
    streams: Mutex<BTreeMap<String, StoredStream>>,
    /// Most records that each stream keeps; 0 keeps all.
    pub retention_count: Mutex<usize>,
}

/// The records of one stream that the log still holds.
#[derive(Default)]
struct StoredStream {
    /// Offset of the oldest record that is still held.
    first: Offset,
    bodies: Vec<String>,
}

impl FakeLog {
    /// Sets the retention and drops older records at once.
    pub fn set_retention(&self, count: usize) {
        *self.retention_count.lock().unwrap() = count;
        for stored in self.streams.lock().unwrap().values_mut() {
            stored.trim(count);
        }
    }

    /// Returns the offset of the next record of a stream.
    pub fn next(&self, stream: &str) -> Offset {
        let streams = self.streams.lock().unwrap();
        streams.get(stream).map_or(0, StoredStream::next)
    }
}

impl StoredStream {
    fn next(&self) -> Offset {
        self.first + self.bodies.len() as Offset
    }

    /// Drops the oldest records beyond the retention.
    fn trim(&mut self, retention_count: usize) {
        if retention_count == 0 || self.bodies.len() <= retention_count {
            return;
        }
        let expired_count = self.bodies.len() - retention_count;
        self.bodies.drain(..expired_count);
        self.first += expired_count as Offset;
    }
}

impl PlatformLog for FakeLog {
    fn read(
        &self,
        stream: &str,
        from: Offset,
        limit: usize,
        _: Duration,
    ) -> Result<Batch, LogError> {
        let streams = self.streams.lock().unwrap();
        let Some(stored) = streams.get(stream) else {
            return Ok(Batch {
                records: Vec::new(),
                next: from,
            });
        };
        if stored.first > from {
            return Err(LogError::Truncated(stored.first));
        }
        let skip = (from - stored.first) as usize;
        let mut records = Vec::new();
        for (index, body) in stored.bodies.iter().enumerate().skip(skip).take(limit) {
            let offset = stored.first + index as Offset;
            records.push(LogRecord {
                offset,
                body: body.clone(),
            });
        }
        let next = records.last().map_or(from, |record| record.offset + 1);
        Ok(Batch { records, next })
    }

    fn append(&self, stream: &str, body: &str) -> Result<Offset, LogError> {
        let retention_count = *self.retention_count.lock().unwrap();
        let mut streams = self.streams.lock().unwrap();
        let stored = streams.entry(stream.to_owned()).or_default();
        stored.bodies.push(body.to_owned());
        let offset = stored.next() - 1;
        stored.trim(retention_count);
        Ok(offset)
    }
}

/// One daemon: the state of its journal and what the simulation knows of it.
struct Node {
    state: JournalState,
    view: Option<Arc<View>>,
    /// Whether requests may rely on the view.
    usable: bool,
    /// Offset of the next checkpoint marker to be delivered.
    markers_next: Offset,
    timer_at: Option<Instant>,
}

/// An effect that is scheduled for one daemon.
enum ScheduledEffect {
    /// The daemon gets an event.
    Event(JournalEvent),
    /// The daemon reads the configuration; an empty read waits until `until`.
    Read {
        from: Offset,
        asked_at: Instant,
        until: Instant,
    },
    /// The daemon searches the log for a checkpoint.
    FindCheckpoint,
    /// The daemon appends a record to the configuration.
    Append {
        operation: OperationId,
        body: String,
    },
    /// The daemon writes a checkpoint of its view up to `next`.
    Checkpoint { next: Offset, text: String },
    /// The timer of the daemon expires.
    Timer,
}

/// Simulated journals of several daemons and the log that they share.
pub struct JournalFleet {
    pub log: FakeLog,
    /// Whether no daemon reaches the log.
    pub log_down: bool,
    /// Extra time that the log takes for each answer.
    pub log_delay: Duration,
    /// Number of the next appends whose answers are lost.
    pub lost_answers_count: usize,
    /// Pairs that cannot reach each other; the log is named `log`.
    pub cuts: BTreeSet<(String, String)>,
    /// Results of changes as reported to operators, in order of time.
    pub operator_results: Vec<String>,
    start: Instant,
    now: Instant,
    settings: JournalSettings,
    nodes: BTreeMap<String, Node>,
    /// Times of the scheduled effects, earliest first, with their sequence numbers.
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    /// Scheduled effects and their daemons, by sequence number.
    effects: BTreeMap<u64, (String, ScheduledEffect)>,
    sequence: u64,
    /// Objects of the submitted changes.
    operations: BTreeMap<OperationId, String>,
}

impl JournalFleet {
    /// Creates a fleet without daemons whose journals use these settings.
    pub fn new(settings: JournalSettings) -> JournalFleet {
        let start = Instant::now();
        JournalFleet {
            log: FakeLog::default(),
            log_down: false,
            log_delay: Duration::ZERO,
            lost_answers_count: 0,
            cuts: BTreeSet::new(),
            operator_results: Vec::new(),
            start,
            now: start,
            settings,
            nodes: BTreeMap::new(),
            queue: BinaryHeap::new(),
            effects: BTreeMap::new(),
            sequence: 0,
            operations: BTreeMap::new(),
        }
    }

    /// Starts a daemon and gives every daemon the new membership.
    pub fn start(&mut self, name: &str) {
        let seed = self.nodes.len() as u64 + 1;
        let state = JournalState::new(self.settings.clone(), name.into(), seed);
        let command = state.first_command();
        let node = Node {
            state,
            view: None,
            usable: false,
            markers_next: 0,
            timer_at: None,
        };
        self.nodes.insert(name.to_owned(), node);
        let mut fleet = Fleet::default();
        for daemon in self.nodes.keys() {
            fleet
                .daemons
                .insert(daemon.as_str().into(), Arc::new(daemon_entry(daemon)));
        }
        let fleet = Arc::new(fleet);
        for daemon in self.nodes.keys().cloned().collect::<Vec<_>>() {
            self.deliver(&daemon, JournalEvent::Fleet(fleet.clone()));
        }
        self.execute(name, JournalAction::CommandReader(command));
    }

    /// Runs the simulation until this time since its start.
    pub fn run_until(&mut self, elapsed: Duration) {
        let until = self.start + elapsed;
        while let Some(Reverse((at, id))) = self.queue.peek().copied() {
            if at > until {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            if let Some((name, effect)) = self.effects.remove(&id) {
                self.apply_effect(&name, effect);
            }
        }
        self.now = until;
    }

    /// Submits an organisation's new rate at a daemon, based on the view of that daemon.
    pub fn publish(&mut self, via: &str, organisation: &str, rate_per_s: f64) {
        let contract = OrganisationContract {
            organisation: organisation.into(),
            rate_per_s,
            ..Default::default()
        };
        self.submit(via, Change::PublishOrganisation { contract });
    }

    /// Submits the grant of a key to an organisation at a daemon.
    pub fn grant(&mut self, via: &str, key: &str, organisation: &str) {
        let change = Change::GrantKey {
            organisation: organisation.into(),
            key_hash: hash_key(key),
        };
        self.submit(via, change);
    }

    /// Submits the withdrawal of a key at a daemon.
    pub fn withdraw(&mut self, via: &str, key: &str) {
        let key_hash: KeyHash = hash_key(key);
        self.submit(via, Change::WithdrawKey { key_hash });
    }

    /// Lets a daemon write a checkpoint of its view, even if none is due.
    pub fn write_checkpoint(&mut self, name: &str) {
        let view = self.nodes[name].view.clone().expect("a view");
        let (next, text) = (view.next, view.to_checkpoint());
        self.schedule(name, LATENCY, ScheduledEffect::Checkpoint { next, text });
    }

    /// Returns the view of a daemon; none while requests may not rely on it.
    pub fn view(&self, name: &str) -> Option<Arc<View>> {
        let node = &self.nodes[name];
        node.view.clone().filter(|_| node.usable)
    }

    /// Submits a change at a daemon under the next operation id.
    fn submit(&mut self, via: &str, change: Change) {
        let operation = self.operations.len() as OperationId + 1;
        let base = self.nodes[via]
            .view
            .as_ref()
            .and_then(|view| view.base_of(&change));
        let object = banyanbeam::contract::ObjectId::of(&change).to_string();
        self.operations.insert(operation, object);
        let record = Record {
            operation,
            base,
            author: format!("operator-at-{via}"),
            at_ms: 0,
            change,
        };
        self.deliver(via, JournalEvent::Submit(Box::new(record)));
    }

    /// Returns whether no cut separates two daemons, or a daemon and the log.
    fn can_reach(&self, a: &str, b: &str) -> bool {
        let pair = |a: &str, b: &str| (a.to_owned(), b.to_owned());
        !self.cuts.contains(&pair(a, b)) && !self.cuts.contains(&pair(b, a))
    }

    fn can_reach_log(&self, name: &str) -> bool {
        !self.log_down && self.can_reach(name, "log")
    }

    /// Schedules an effect for a daemon after this time.
    fn schedule(&mut self, name: &str, wait: Duration, effect: ScheduledEffect) {
        self.sequence += 1;
        self.effects
            .insert(self.sequence, (name.to_owned(), effect));
        self.queue.push(Reverse((self.now + wait, self.sequence)));
    }

    /// Passes an event to the state of a daemon, carries out its actions and schedules its timer.
    fn deliver(&mut self, name: &str, event: JournalEvent) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        let asker = match &event {
            JournalEvent::PeerAsked { from, request, .. } => {
                Some((from.daemon.to_string(), request.from))
            }
            _ => None,
        };
        let actions = node.state.handle(now, event);
        for action in actions {
            match (action, &asker) {
                (JournalAction::AnswerPeer { answer, .. }, Some((to, from))) => {
                    let event = JournalEvent::PeerAnswered {
                        from: *from,
                        asked_at: now,
                        result: answer,
                    };
                    self.schedule(to, LATENCY, ScheduledEffect::Event(event));
                }
                (action, _) => self.execute(name, action),
            }
        }
        let node = self.nodes.get_mut(name).expect("a started daemon");
        let timer_at = node.state.next_timer_at(now);
        if let Some(at) = timer_at.filter(|_| timer_at != node.timer_at) {
            node.timer_at = timer_at;
            let wait = at.saturating_duration_since(now);
            self.schedule(name, wait, ScheduledEffect::Timer);
        }
    }

    /// Carries out an effect that is due.
    fn apply_effect(&mut self, name: &str, effect: ScheduledEffect) {
        match effect {
            ScheduledEffect::Event(event) => self.deliver(name, event),
            ScheduledEffect::Timer => {
                self.nodes.get_mut(name).expect("a started daemon").timer_at = None;
                self.deliver(name, JournalEvent::Timer);
            }
            ScheduledEffect::Read {
                from,
                asked_at,
                until,
            } => self.read(name, from, asked_at, until),
            ScheduledEffect::FindCheckpoint => {
                let found = match self.can_reach_log(name) {
                    true => checkpoint::find(&self.log, self.settings.batch_count)
                        .ok()
                        .flatten(),
                    false => None,
                };
                self.deliver(name, JournalEvent::CheckpointSearchEnded { text: found });
            }
            ScheduledEffect::Append { operation, body } => self.append(name, operation, &body),
            ScheduledEffect::Checkpoint { next, text } => {
                let written =
                    self.can_reach_log(name) && checkpoint::write(&self.log, next, &text).is_ok();
                self.deliver(name, JournalEvent::CheckpointWriteEnded { next, written });
                self.deliver_markers();
            }
        }
    }

    /// Reads the configuration for a daemon; an empty read is repeated until `until`.
    fn read(&mut self, name: &str, from: Offset, asked_at: Instant, until: Instant) {
        let unavailable = Err(LogError::Unavailable("down".to_owned()));
        let result = match self.can_reach_log(name) {
            true => self.log.read(
                CONFIGURATION,
                from,
                self.settings.batch_count,
                Duration::ZERO,
            ),
            false => unavailable,
        };
        let empty = matches!(&result, Ok(batch) if batch.records.is_empty());
        if empty && self.now < until {
            let wait = Duration::from_millis(10);
            return self.schedule(
                name,
                wait,
                ScheduledEffect::Read {
                    from,
                    asked_at,
                    until,
                },
            );
        }
        let event = JournalEvent::ReadEnded {
            stream: CONFIGURATION,
            asked_at,
            from,
            result,
        };
        self.schedule(
            name,
            self.log_delay + LATENCY,
            ScheduledEffect::Event(event),
        );
    }

    /// Appends a record for a daemon, whose answer may get lost.
    fn append(&mut self, name: &str, operation: OperationId, body: &str) {
        let mut result = Err(LogError::Unavailable("down".to_owned()));
        if self.can_reach_log(name) {
            result = self.log.append(CONFIGURATION, body);
            if self.lost_answers_count > 0 {
                self.lost_answers_count -= 1;
                result = Err(LogError::Unavailable("lost".to_owned()));
            }
        }
        self.deliver(name, JournalEvent::AppendEnded { operation, result });
    }

    /// Delivers new checkpoint markers to every daemon that reaches the log.
    fn deliver_markers(&mut self) {
        for name in self.nodes.keys().cloned().collect::<Vec<_>>() {
            if !self.can_reach_log(&name) {
                continue;
            }
            let from = self.nodes[&name].markers_next;
            let Ok(batch) = self.log.read(CHECKPOINTS, from, 512, Duration::ZERO) else {
                continue;
            };
            self.nodes
                .get_mut(&name)
                .expect("a started daemon")
                .markers_next = batch.next;
            let event = JournalEvent::ReadEnded {
                stream: CHECKPOINTS,
                asked_at: self.now,
                from,
                result: Ok(batch),
            };
            self.schedule(&name, LATENCY, ScheduledEffect::Event(event));
        }
    }

    /// Carries out an action of the state of a daemon.
    fn execute(&mut self, name: &str, action: JournalAction) {
        let now = self.now;
        match action {
            JournalAction::Publish(view) => {
                let node = self.nodes.get_mut(name).expect("a started daemon");
                let before = node.view.as_ref().map_or(0, |view| view.next);
                assert!(
                    view.next >= before,
                    "{name} went back from {before} to {}",
                    view.next
                );
                node.view = Some(view);
            }
            JournalAction::ViewUsable(usable) => {
                self.nodes.get_mut(name).expect("a started daemon").usable = usable;
            }
            JournalAction::CommandReader(ReaderCommand::Read { from, pause }) => {
                let wait = match pause {
                    true => Duration::from_millis(self.settings.retry_ms),
                    false => Duration::ZERO,
                };
                let asked_at = now + wait;
                let until = asked_at + Duration::from_millis(self.settings.wait_ms);
                self.schedule(
                    name,
                    wait,
                    ScheduledEffect::Read {
                        from,
                        asked_at,
                        until,
                    },
                );
            }
            JournalAction::CommandReader(ReaderCommand::FindCheckpoint) => {
                self.schedule(name, LATENCY, ScheduledEffect::FindCheckpoint);
            }
            JournalAction::AppendChange { operation, body } => {
                let wait = self.log_delay + LATENCY;
                self.schedule(name, wait, ScheduledEffect::Append { operation, body });
            }
            JournalAction::WriteCheckpoint { next, text } => {
                self.schedule(name, LATENCY, ScheduledEffect::Checkpoint { next, text });
            }
            JournalAction::ChangeResolved { operation, outcome } => {
                self.record_result(name, operation, &outcome)
            }
            JournalAction::AskPeer { to, request } => self.send_question(name, &to, request),
            JournalAction::SendTombstones {
                to,
                hashes,
                known_count,
            } => {
                let confirmed = self.can_reach(name, &to) && self.nodes.contains_key(&*to);
                if confirmed {
                    self.schedule(
                        &to,
                        LATENCY,
                        ScheduledEffect::Event(JournalEvent::TombstonesReceived { hashes }),
                    );
                }
                let peer = to;
                let event = JournalEvent::TombstonesSent {
                    peer,
                    known_count,
                    confirmed,
                };
                self.schedule(name, 2 * LATENCY, ScheduledEffect::Event(event));
            }
            _ => {}
        }
    }

    /// Sends a question about records to a peer.
    fn send_question(&mut self, name: &str, to: &str, request: RecordsRequest) {
        if !self.can_reach(name, to) {
            let result: Result<RecordsAnswer, LinkError> = Err(LinkError::Silent);
            let event = JournalEvent::PeerAnswered {
                from: request.from,
                asked_at: self.now,
                result,
            };
            return self.schedule(name, PEER_TIMEOUT, ScheduledEffect::Event(event));
        }
        let from = PeerName {
            daemon: name.into(),
            incarnation: 1,
        };
        let event = JournalEvent::PeerAsked {
            from,
            request,
            reply: Box::new(|_| {}),
        };
        self.schedule(to, LATENCY, ScheduledEffect::Event(event));
    }

    /// Records the result of a change as its operator sees it.
    fn record_result(&mut self, name: &str, operation: OperationId, outcome: &SubmitOutcome) {
        let Some(object) = self.operations.get(&operation) else {
            return;
        };
        let text = match outcome {
            SubmitOutcome::Accepted { offset } => format!("accepted at offset {offset}"),
            SubmitOutcome::Conflict { by, at } => format!("lost to {by:?} at {at:?}"),
            SubmitOutcome::NotDurable {
                confirmed_count,
                fleet_count,
            } => {
                format!("in force on {confirmed_count} of {fleet_count} daemons, not yet durable")
            }
            other => format!("{other:?}"),
        };
        let elapsed_ms = (self.now - self.start).as_millis();
        self.operator_results
            .push(format!("{elapsed_ms} ms: {name} on {object}: {text}"));
    }
}

/// Returns the description of a daemon without servers.
fn daemon_entry(daemon: &str) -> DaemonEntry {
    DaemonEntry {
        daemon: daemon.into(),
        incarnation: 1,
        version: 1,
        domain: "north".into(),
        guard_address: "127.0.0.1:1".parse().unwrap(),
        link_address: "127.0.0.1:2".parse().unwrap(),
        leaving: false,
        servers: Vec::new(),
    }
}
