//! The world of the model: real states, messages between them, and what servers ran.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::LazyLock;
use std::time::{Duration, Instant};

use banyanbeam::error::{ErrorKind, Ran};
use banyanbeam::link::{ClaimAnswer, ClaimStep, FenceAnswer, FenceRequest};
use banyanbeam::routing::state::RoutingState;
use banyanbeam::routing::{AttemptOutcome, Outcome, RequestPlan, RoutingAction, RoutingEvent};
use banyanbeam::settings::routing::RoutingSettings;
use banyanbeam::types::RequestId;

use super::daemon::{daemon_part, fleet, idempotency_key, request_id, DaemonPart, InOrder};
use super::mutation::Mutation;
use super::step::{index_of, stray, Message, Scenario, Step};

pub const ENTRY_COUNT: usize = 2;
pub const GUARD_COUNT: usize = 2;
/// Restarts, raised numbers, abandoned attempts and repeated messages in one run.
const FAULT_COUNT: u32 = 2;
/// Wall time at which lives begin, keys are issued and claims come, in milliseconds.
pub const FIRST_LIFE_MS: u64 = 1_000_000;
pub const ISSUED_MS: u64 = FIRST_LIFE_MS + 10_000;
pub const SECOND_LIFE_MS: u64 = FIRST_LIFE_MS + 20_000;
pub const CLAIM_MS: u64 = FIRST_LIFE_MS + 30_000;

/// All steps happen at one instant: no rule of this model rests on a timer.
pub static NOW: LazyLock<Instant> = LazyLock::new(Instant::now);

/// One entry.
pub struct EntryPart {
    pub state: RoutingState,
    /// The lives that it knows.
    pub lives: [u64; GUARD_COUNT],
    /// Attempts that it made.
    pub attempt_count: u32,
}

/// The whole world.
pub struct World {
    pub scenario: Scenario,
    pub mutation: Mutation,
    pub entries: Vec<EntryPart>,
    pub daemons: Vec<DaemonPart>,
    pub wire: BTreeSet<Message>,
    /// Attempts, fences and claims whose answer an entry awaits.
    pub open: BTreeSet<(usize, Message)>,
    pub sent: BTreeSet<usize>,
    /// Starts at servers, by request.
    pub runs: BTreeMap<RequestId, u32>,
    pub told: BTreeMap<RequestId, Option<ErrorKind>>,
    pub faults_left: u32,
}

impl World {
    /// The world after some steps.
    pub fn replay(scenario: Scenario, mutation: Mutation, steps: &[Step]) -> World {
        let mut world = World {
            scenario,
            mutation,
            entries: Vec::new(),
            daemons: (0..GUARD_COUNT)
                .map(|index| daemon_part(index, 1, mutation))
                .collect(),
            wire: BTreeSet::new(),
            open: BTreeSet::new(),
            sent: BTreeSet::new(),
            runs: BTreeMap::new(),
            told: BTreeMap::new(),
            faults_left: FAULT_COUNT,
        };
        for _ in 0..ENTRY_COUNT {
            let mut state = RoutingState::new(RoutingSettings::default(), Box::new(InOrder));
            state.handle(*NOW, RoutingEvent::Fleet(fleet([1; GUARD_COUNT])));
            world.entries.push(EntryPart {
                state,
                lives: [1; GUARD_COUNT],
                attempt_count: 0,
            });
        }
        for step in steps {
            world.apply(step);
        }
        world
    }

    /// What is wrong, if anything.
    pub fn violation(&self) -> Option<String> {
        let total: u32 = self.runs.values().sum();
        if self.scenario == Scenario::SentAgain && total > 1 {
            return Some(format!("the key ran {total} times"));
        }
        for (request, count) in &self.runs {
            if *count > 1 {
                return Some(format!("request {request:x} ran {count} times"));
            }
            if self
                .told
                .get(request)
                .is_some_and(|kind| kind.is_some_and(|kind| kind.ran() == Ran::No))
            {
                return Some(format!("request {request:x} was told as not run and ran"));
            }
        }
        None
    }

    /// Tells states with different futures apart.
    pub fn digest(&self) -> String {
        let mut text = String::new();
        for entry in &self.entries {
            text += &format!("{:?}{};", entry.lives, entry.attempt_count);
        }
        for daemon in &self.daemons {
            let DaemonPart {
                borne,
                key_held_by,
                record,
                senders,
                ..
            } = daemon;
            text += &format!("{borne:?}{key_held_by:?}{record:?}{senders:?};");
        }
        let World {
            wire,
            open,
            sent,
            runs,
            told,
            ..
        } = self;
        text + &format!(
            "{wire:?}{open:?}{sent:?}{runs:?}{told:?}{}",
            self.faults_left
        )
    }

    /// What may happen next.
    pub fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        for entry in 0..ENTRY_COUNT {
            if !self.sent.contains(&entry) {
                steps.push(Step::Send(entry));
            }
        }
        steps.extend(self.wire.iter().cloned().map(Step::Deliver));
        if self.faults_left > 0 {
            let attempts = self
                .wire
                .iter()
                .filter(|message| matches!(message, Message::Attempt { .. }));
            steps.extend(attempts.cloned().map(Step::Repeat));
        }
        for (entry, message) in &self.open {
            match message {
                Message::Attempt {
                    request, attempt, ..
                } if self.faults_left > 0 => {
                    steps.push(Step::GiveUp(*entry, *request, *attempt));
                }
                Message::Attempt { .. } => {}
                _ => steps.push(Step::NoWord(*entry, message.clone())),
            }
        }
        for (index, daemon) in self.daemons.iter().enumerate() {
            for (request, attempt) in &daemon.running {
                steps.push(Step::EndRun(index, *request, *attempt));
            }
            if self.faults_left > 0 && daemon.borne[0] == 1 {
                steps.push(Step::Restart(index));
            }
            if self.faults_left > 0 && daemon.borne.len() == 1 {
                steps.push(Step::Raise(index));
            }
        }
        if self.daemons.iter().any(|daemon| daemon.life() > 1) {
            for (index, entry) in self.entries.iter().enumerate() {
                if entry.lives != self.lives() {
                    steps.push(Step::Learn(index));
                }
            }
        }
        steps
    }

    fn lives(&self) -> [u64; GUARD_COUNT] {
        std::array::from_fn(|index| self.daemons[index].life())
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::Send(entry) => self.send(*entry),
            Step::Deliver(message) => self.deliver(message),
            Step::Repeat(message) => {
                self.faults_left -= 1;
                self.deliver(message);
                self.wire.insert(stray(message));
            }
            Step::GiveUp(entry, request, attempt) => {
                self.faults_left -= 1;
                self.close(*entry, *request, *attempt);
                let outcome = AttemptOutcome::Unknown {
                    kind: ErrorKind::OutcomeUnknown,
                    by_guard: false,
                };
                self.attempted(*entry, *request, *attempt, outcome);
                self.drop_unheard();
            }
            Step::NoWord(entry, message) => {
                self.no_word(*entry, message);
                self.drop_unheard();
            }
            Step::EndRun(daemon, request, attempt) => self.end_run(*daemon, (*request, *attempt)),
            Step::Restart(daemon) => {
                self.faults_left -= 1;
                let life = self.daemons[*daemon].life() + 1;
                self.daemons[*daemon] = daemon_part(*daemon, life, self.mutation);
            }
            Step::Raise(daemon) => {
                self.faults_left -= 1;
                self.daemons[*daemon].raise(*daemon, self.mutation);
            }
            Step::Learn(entry) => {
                let lives = self.lives();
                self.decide(*entry, RoutingEvent::Fleet(fleet(lives)));
                self.entries[*entry].lives = lives;
            }
        }
    }

    fn send(&mut self, entry: usize) {
        self.sent.insert(entry);
        let keyed = self.scenario == Scenario::SentAgain;
        let plan = RequestPlan {
            request: request_id(entry),
            organisation: "o".into(),
            weight_share: 1,
            service: "v".into(),
            route: "r".into(),
            repeatable: false,
            foreground: true,
            rank: 0,
            attempts_limit_count: 0,
            body_bytes: 0,
            body_limit_bytes: 0,
            idempotency_key: keyed.then(idempotency_key),
            target: Duration::ZERO,
            deadline_at: *NOW + Duration::from_secs(10),
        };
        self.decide(entry, RoutingEvent::Dispatch(plan));
    }

    pub fn close(&mut self, entry: usize, request: RequestId, attempt: u32) -> bool {
        let before = self.open.len();
        self.open.retain(|(owner, message)| {
            let matches = matches!(message, Message::Attempt { request: r, attempt: a, .. }
                if (*r, *a) == (request, attempt));
            *owner != entry || !matches
        });
        self.open.len() < before
    }

    fn no_word(&mut self, entry: usize, message: &Message) {
        self.open.remove(&(entry, message.clone()));
        match message {
            Message::Fence {
                request, attempt, ..
            } => {
                let event = RoutingEvent::Fenced {
                    request: *request,
                    attempt: *attempt,
                    answer: None,
                };
                self.decide(entry, event);
            }
            Message::Claim { request, .. } => {
                let answer =
                    (self.mutation == Mutation::StartWithoutClaim).then_some(ClaimAnswer::Granted);
                self.decide(
                    entry,
                    RoutingEvent::Claimed {
                        request: *request,
                        answer,
                    },
                );
            }
            _ => {}
        }
    }

    pub fn attempted(
        &mut self,
        entry: usize,
        request: RequestId,
        attempt: u32,
        outcome: AttemptOutcome,
    ) {
        let event = RoutingEvent::Attempted {
            request,
            attempt,
            outcome,
            elapsed: Duration::ZERO,
            resendable: true,
        };
        self.decide(entry, event);
    }

    pub fn decide(&mut self, entry: usize, event: RoutingEvent) {
        let actions = self.entries[entry].state.handle(*NOW, event);
        for action in actions {
            self.act(entry, action);
        }
    }

    fn act(&mut self, entry: usize, action: RoutingAction) {
        match action {
            RoutingAction::Send {
                plan,
                attempt,
                target,
                incarnation,
                ..
            } => {
                let message = Message::Attempt {
                    entry,
                    guard: index_of(&target.daemon),
                    life: incarnation,
                    request: plan.request,
                    attempt,
                };
                self.entries[entry].attempt_count = attempt;
                self.wire.insert(message.clone());
                self.open.insert((entry, message));
            }
            RoutingAction::Fence { to, fence } => {
                let FenceRequest {
                    request,
                    attempt,
                    incarnation,
                } = fence;
                if self.mutation == Mutation::RetryWithoutFence {
                    let answer = Some(FenceAnswer::Fenced);
                    return self.decide(
                        entry,
                        RoutingEvent::Fenced {
                            request,
                            attempt,
                            answer,
                        },
                    );
                }
                let guard = index_of(&to);
                let message = Message::Fence {
                    entry,
                    guard,
                    life: incarnation,
                    request,
                    attempt,
                };
                self.wire.insert(message.clone());
                self.open.insert((entry, message));
            }
            RoutingAction::Claim { to, claim } => {
                let release = claim.step == ClaimStep::Release;
                let home = index_of(&to);
                let message = Message::Claim {
                    entry,
                    home,
                    request: claim.request,
                    release,
                };
                self.wire.insert(message.clone());
                if !release {
                    self.open.insert((entry, message));
                }
            }
            RoutingAction::Cancel { .. } | RoutingAction::OwnCallFailed => {}
            RoutingAction::Finish { request, outcome } => {
                let kind = match outcome {
                    Outcome::Answered(_) => None,
                    Outcome::Failed { kind, .. } => Some(kind),
                };
                self.told.insert(request, kind);
                let unknown = kind.is_some_and(|kind| kind.ran() == Ran::Unknown);
                if unknown && self.mutation == Mutation::KeyGivenBack {
                    for home in 0..GUARD_COUNT {
                        self.wire.insert(Message::Claim {
                            entry,
                            home,
                            request,
                            release: true,
                        });
                    }
                }
            }
        }
    }
}
