//! Journals of several daemons under virtual time, over one log that fails as told.

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

const LATENCY: Duration = Duration::from_millis(2);
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// The platform's log in memory.
#[derive(Default)]
pub struct FakeLog {
    kept: Mutex<BTreeMap<String, Kept>>,
    /// Keeps so many records a stream; 0 keeps all.
    pub keep_count: Mutex<usize>,
}

#[derive(Default)]
struct Kept {
    first: Offset,
    bodies: Vec<String>,
}

impl FakeLog {
    pub fn keep(&self, count: usize) {
        *self.keep_count.lock().unwrap() = count;
        for kept in self.kept.lock().unwrap().values_mut() {
            kept.trim(count);
        }
    }

    pub fn next(&self, stream: &str) -> Offset {
        let kept = self.kept.lock().unwrap();
        kept.get(stream).map_or(0, Kept::next)
    }
}

impl Kept {
    fn next(&self) -> Offset {
        self.first + self.bodies.len() as Offset
    }

    fn trim(&mut self, keep_count: usize) {
        if keep_count == 0 || self.bodies.len() <= keep_count {
            return;
        }
        let gone_count = self.bodies.len() - keep_count;
        self.bodies.drain(..gone_count);
        self.first += gone_count as Offset;
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
        let kept = self.kept.lock().unwrap();
        let Some(kept) = kept.get(stream) else {
            return Ok(Batch {
                records: Vec::new(),
                next: from,
            });
        };
        if kept.first > from {
            return Err(LogError::Truncated(kept.first));
        }
        let skip = (from - kept.first) as usize;
        let mut records = Vec::new();
        for (index, body) in kept.bodies.iter().enumerate().skip(skip).take(limit) {
            let offset = kept.first + index as Offset;
            records.push(LogRecord {
                offset,
                body: body.clone(),
            });
        }
        let next = records.last().map_or(from, |record| record.offset + 1);
        Ok(Batch { records, next })
    }

    fn append(&self, stream: &str, body: &str) -> Result<Offset, LogError> {
        let keep_count = *self.keep_count.lock().unwrap();
        let mut kept = self.kept.lock().unwrap();
        let kept = kept.entry(stream.to_owned()).or_default();
        kept.bodies.push(body.to_owned());
        let offset = kept.next() - 1;
        kept.trim(keep_count);
        Ok(offset)
    }
}

struct Node {
    state: JournalState,
    view: Option<Arc<View>>,
    usable: bool,
    markers_next: Offset,
    timer_at: Option<Instant>,
}

enum Due {
    Event(JournalEvent),
    Read {
        from: Offset,
        asked_at: Instant,
        until: Instant,
    },
    FindCheckpoint,
    Append {
        operation: OperationId,
        body: String,
    },
    Checkpoint {
        next: Offset,
        text: String,
    },
    Timer,
}

/// Journals of several daemons, and the log that they share.
pub struct JournalFleet {
    pub log: FakeLog,
    pub log_down: bool,
    pub log_slow: Duration,
    pub lost_answers_count: usize,
    /// Pairs that don't hear each other; the log is named `log`.
    pub cuts: BTreeSet<(String, String)>,
    /// What operators were told, in order of time.
    pub told: Vec<String>,
    start: Instant,
    now: Instant,
    settings: JournalSettings,
    nodes: BTreeMap<String, Node>,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    due: BTreeMap<u64, (String, Due)>,
    sequence: u64,
    operations: BTreeMap<OperationId, String>,
}

impl JournalFleet {
    pub fn new(settings: JournalSettings) -> JournalFleet {
        let start = Instant::now();
        JournalFleet {
            log: FakeLog::default(),
            log_down: false,
            log_slow: Duration::ZERO,
            lost_answers_count: 0,
            cuts: BTreeSet::new(),
            told: Vec::new(),
            start,
            now: start,
            settings,
            nodes: BTreeMap::new(),
            queue: BinaryHeap::new(),
            due: BTreeMap::new(),
            sequence: 0,
            operations: BTreeMap::new(),
        }
    }

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
                .insert(daemon.as_str().into(), Arc::new(entry(daemon)));
        }
        let fleet = Arc::new(fleet);
        for daemon in self.nodes.keys().cloned().collect::<Vec<_>>() {
            self.give(&daemon, JournalEvent::Fleet(fleet.clone()));
        }
        self.carry_out(name, JournalAction::CommandReader(command));
    }

    pub fn run_until(&mut self, elapsed: Duration) {
        let until = self.start + elapsed;
        while let Some(Reverse((at, id))) = self.queue.peek().copied() {
            if at > until {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            if let Some((name, due)) = self.due.remove(&id) {
                self.happen(&name, due);
            }
        }
        self.now = until;
    }

    /// An operator publishes an organisation's rate, on what the daemon knows.
    pub fn publish(&mut self, via: &str, organisation: &str, rate_per_s: f64) {
        let contract = OrganisationContract {
            organisation: organisation.into(),
            rate_per_s,
            ..Default::default()
        };
        self.submit(via, Change::PublishOrganisation { contract });
    }

    pub fn grant(&mut self, via: &str, key: &str, organisation: &str) {
        let change = Change::GrantKey {
            organisation: organisation.into(),
            key_hash: hash_key(key),
        };
        self.submit(via, change);
    }

    pub fn withdraw(&mut self, via: &str, key: &str) {
        let key_hash: KeyHash = hash_key(key);
        self.submit(via, Change::WithdrawKey { key_hash });
    }

    /// A daemon writes a checkpoint of its view, due or not.
    pub fn write_checkpoint(&mut self, name: &str) {
        let view = self.nodes[name].view.clone().expect("a view");
        let (next, text) = (view.next, view.to_checkpoint());
        self.later(name, LATENCY, Due::Checkpoint { next, text });
    }

    /// The view that a daemon gives out, while it may be relied on.
    pub fn view(&self, name: &str) -> Option<Arc<View>> {
        let node = &self.nodes[name];
        node.view.clone().filter(|_| node.usable)
    }

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
        self.give(via, JournalEvent::Submit(Box::new(record)));
    }

    fn hears(&self, a: &str, b: &str) -> bool {
        let pair = |a: &str, b: &str| (a.to_owned(), b.to_owned());
        !self.cuts.contains(&pair(a, b)) && !self.cuts.contains(&pair(b, a))
    }

    fn log_answers(&self, name: &str) -> bool {
        !self.log_down && self.hears(name, "log")
    }

    fn later(&mut self, name: &str, wait: Duration, due: Due) {
        self.sequence += 1;
        self.due.insert(self.sequence, (name.to_owned(), due));
        self.queue.push(Reverse((self.now + wait, self.sequence)));
    }

    fn give(&mut self, name: &str, event: JournalEvent) {
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
                    self.later(to, LATENCY, Due::Event(event));
                }
                (action, _) => self.carry_out(name, action),
            }
        }
        let node = self.nodes.get_mut(name).expect("a started daemon");
        let timer_at = node.state.next_timer_at(now);
        if let Some(at) = timer_at.filter(|_| timer_at != node.timer_at) {
            node.timer_at = timer_at;
            let wait = at.saturating_duration_since(now);
            self.later(name, wait, Due::Timer);
        }
    }

    fn happen(&mut self, name: &str, due: Due) {
        match due {
            Due::Event(event) => self.give(name, event),
            Due::Timer => {
                self.nodes.get_mut(name).expect("a started daemon").timer_at = None;
                self.give(name, JournalEvent::Timer);
            }
            Due::Read {
                from,
                asked_at,
                until,
            } => self.read(name, from, asked_at, until),
            Due::FindCheckpoint => {
                let found = match self.log_answers(name) {
                    true => checkpoint::find(&self.log, self.settings.batch_count)
                        .ok()
                        .flatten(),
                    false => None,
                };
                self.give(name, JournalEvent::CheckpointSearchEnded { text: found });
            }
            Due::Append { operation, body } => self.append(name, operation, &body),
            Due::Checkpoint { next, text } => {
                let written =
                    self.log_answers(name) && checkpoint::write(&self.log, next, &text).is_ok();
                self.give(name, JournalEvent::CheckpointWriteEnded { next, written });
                self.tell_markers();
            }
        }
    }

    fn read(&mut self, name: &str, from: Offset, asked_at: Instant, until: Instant) {
        let down = Err(LogError::Unavailable("down".to_owned()));
        let result = match self.log_answers(name) {
            true => self.log.read(
                CONFIGURATION,
                from,
                self.settings.batch_count,
                Duration::ZERO,
            ),
            false => down,
        };
        let empty = matches!(&result, Ok(batch) if batch.records.is_empty());
        if empty && self.now < until {
            let wait = Duration::from_millis(10);
            return self.later(
                name,
                wait,
                Due::Read {
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
        self.later(name, self.log_slow + LATENCY, Due::Event(event));
    }

    fn append(&mut self, name: &str, operation: OperationId, body: &str) {
        let mut result = Err(LogError::Unavailable("down".to_owned()));
        if self.log_answers(name) {
            result = self.log.append(CONFIGURATION, body);
            if self.lost_answers_count > 0 {
                self.lost_answers_count -= 1;
                result = Err(LogError::Unavailable("lost".to_owned()));
            }
        }
        self.give(name, JournalEvent::AppendEnded { operation, result });
    }

    fn tell_markers(&mut self) {
        for name in self.nodes.keys().cloned().collect::<Vec<_>>() {
            if !self.log_answers(&name) {
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
            self.later(&name, LATENCY, Due::Event(event));
        }
    }

    fn carry_out(&mut self, name: &str, action: JournalAction) {
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
                self.later(
                    name,
                    wait,
                    Due::Read {
                        from,
                        asked_at,
                        until,
                    },
                );
            }
            JournalAction::CommandReader(ReaderCommand::FindCheckpoint) => {
                self.later(name, LATENCY, Due::FindCheckpoint);
            }
            JournalAction::AppendChange { operation, body } => {
                let wait = self.log_slow + LATENCY;
                self.later(name, wait, Due::Append { operation, body });
            }
            JournalAction::WriteCheckpoint { next, text } => {
                self.later(name, LATENCY, Due::Checkpoint { next, text });
            }
            JournalAction::ChangeResolved { operation, outcome } => {
                self.tell(name, operation, &outcome)
            }
            JournalAction::AskPeer { to, request } => self.ask(name, &to, request),
            JournalAction::SendTombstones {
                to,
                hashes,
                known_count,
            } => {
                let confirmed = self.hears(name, &to) && self.nodes.contains_key(&*to);
                if confirmed {
                    self.later(
                        &to,
                        LATENCY,
                        Due::Event(JournalEvent::TombstonesReceived { hashes }),
                    );
                }
                let peer = to;
                let event = JournalEvent::TombstonesSent {
                    peer,
                    known_count,
                    confirmed,
                };
                self.later(name, 2 * LATENCY, Due::Event(event));
            }
            _ => {}
        }
    }

    fn ask(&mut self, name: &str, to: &str, request: RecordsRequest) {
        if !self.hears(name, to) {
            let result: Result<RecordsAnswer, LinkError> = Err(LinkError::Silent);
            let event = JournalEvent::PeerAnswered {
                from: request.from,
                asked_at: self.now,
                result,
            };
            return self.later(name, PEER_TIMEOUT, Due::Event(event));
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
        self.later(to, LATENCY, Due::Event(event));
    }

    fn tell(&mut self, name: &str, operation: OperationId, outcome: &SubmitOutcome) {
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
        self.told
            .push(format!("{elapsed_ms} ms: {name} on {object}: {text}"));
    }
}

fn entry(daemon: &str) -> DaemonEntry {
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
