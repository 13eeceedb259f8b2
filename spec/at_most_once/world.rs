//! State of the model: real states, messages between them, and what servers ran.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::LazyLock;
use std::time::{Duration, Instant};

use banyanbeam::error::{ErrorKind, Ran};
use banyanbeam::link::{ClaimAnswer, ClaimStep, FenceAnswer, FenceRequest};
use banyanbeam::routing::state::RoutingState;
use banyanbeam::routing::{AttemptOutcome, Outcome, RequestPlan, RoutingAction, RoutingEvent};
use banyanbeam::settings::routing::RoutingSettings;
use banyanbeam::types::RequestId;

use super::daemon::{fleet, idempotency_key, model_daemon, request_id, FirstUntried, ModelDaemon};
use super::mutation::Mutation;
use super::step::{index_of, stray_copy, Message, Scenario, Step};

pub const ENTRY_COUNT: usize = 2;
pub const GUARD_COUNT: usize = 2;
/// Limit of restarts, raised incarnations, abandoned attempts and copies in one run.
const FAULT_LIMIT_COUNT: u32 = 2;
/// Wall-clock times of the starts of daemons, of issuing and of claiming keys, in milliseconds.
pub const FIRST_START_MS: u64 = 1_000_000;
pub const ISSUED_MS: u64 = FIRST_START_MS + 10_000;
pub const SECOND_START_MS: u64 = FIRST_START_MS + 20_000;
pub const CLAIM_MS: u64 = FIRST_START_MS + 30_000;

/// The instant of all steps: no rule of this model depends on a timer.
pub static NOW: LazyLock<Instant> = LazyLock::new(Instant::now);

/// An entry with the real state of its routing.
pub struct ModelEntry {
    pub state: RoutingState,
    /// Incarnations of the daemons that it knows.
    pub known_incarnations: [u64; GUARD_COUNT],
    /// Number of the newest attempt that it sent.
    pub attempt_count: u32,
}

/// The state of the model after some steps.
pub struct World {
    pub scenario: Scenario,
    pub mutation: Mutation,
    pub entries: Vec<ModelEntry>,
    pub daemons: Vec<ModelDaemon>,
    pub in_flight: BTreeSet<Message>,
    /// Attempts, fences and claims that entries await answers to, with the entry.
    pub awaiting: BTreeSet<(usize, Message)>,
    pub sent_entries: BTreeSet<usize>,
    /// Number of starts at servers, by request.
    pub run_counts: BTreeMap<RequestId, u32>,
    /// Error reported to the caller of each finished request; `None` for an answer.
    pub reported: BTreeMap<RequestId, Option<ErrorKind>>,
    pub faults_left: u32,
}

impl World {
    /// Returns the state after these steps.
    pub fn replay(scenario: Scenario, mutation: Mutation, steps: &[Step]) -> World {
        let mut world = World {
            scenario,
            mutation,
            entries: Vec::new(),
            daemons: (0..GUARD_COUNT)
                .map(|index| model_daemon(index, 1, mutation))
                .collect(),
            in_flight: BTreeSet::new(),
            awaiting: BTreeSet::new(),
            sent_entries: BTreeSet::new(),
            run_counts: BTreeMap::new(),
            reported: BTreeMap::new(),
            faults_left: FAULT_LIMIT_COUNT,
        };
        for _ in 0..ENTRY_COUNT {
            let mut state = RoutingState::new(RoutingSettings::default(), Box::new(FirstUntried));
            state.handle(*NOW, RoutingEvent::Fleet(fleet([1; GUARD_COUNT])));
            world.entries.push(ModelEntry {
                state,
                known_incarnations: [1; GUARD_COUNT],
                attempt_count: 0,
            });
        }
        for step in steps {
            world.apply(step);
        }
        world
    }

    /// Returns a description of the violation, if there is one.
    pub fn violation(&self) -> Option<String> {
        let total: u32 = self.run_counts.values().sum();
        if self.scenario == Scenario::SentAgain && total > 1 {
            return Some(format!("the key ran {total} times"));
        }
        for (request, count) in &self.run_counts {
            if *count > 1 {
                return Some(format!("request {request:x} ran {count} times"));
            }
            if self
                .reported
                .get(request)
                .is_some_and(|kind| kind.is_some_and(|kind| kind.ran() == Ran::No))
            {
                return Some(format!("request {request:x} reported as not run, but ran"));
            }
        }
        None
    }

    /// Returns a text that is different for states with different successors.
    pub fn digest(&self) -> String {
        let mut text = String::new();
        for entry in &self.entries {
            text += &format!("{:?}{};", entry.known_incarnations, entry.attempt_count);
        }
        for daemon in &self.daemons {
            let ModelDaemon {
                incarnations,
                key_held_by,
                expected_record,
                senders,
                ..
            } = daemon;
            text += &format!("{incarnations:?}{key_held_by:?}{expected_record:?}{senders:?};");
        }
        let World {
            in_flight,
            awaiting,
            sent_entries,
            run_counts,
            reported,
            ..
        } = self;
        text + &format!(
            "{in_flight:?}{awaiting:?}{sent_entries:?}{run_counts:?}{reported:?}{}",
            self.faults_left
        )
    }

    /// Returns the steps that are possible in this state.
    pub fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        for entry in 0..ENTRY_COUNT {
            if !self.sent_entries.contains(&entry) {
                steps.push(Step::Send(entry));
            }
        }
        steps.extend(self.in_flight.iter().cloned().map(Step::Deliver));
        if self.faults_left > 0 {
            let attempts = self
                .in_flight
                .iter()
                .filter(|message| matches!(message, Message::Attempt { .. }));
            steps.extend(attempts.cloned().map(Step::Duplicate));
        }
        for (entry, message) in &self.awaiting {
            match message {
                Message::Attempt {
                    request, attempt, ..
                } if self.faults_left > 0 => {
                    steps.push(Step::GiveUp(*entry, *request, *attempt));
                }
                Message::Attempt { .. } => {}
                _ => steps.push(Step::NoAnswer(*entry, message.clone())),
            }
        }
        for (index, daemon) in self.daemons.iter().enumerate() {
            for (request, attempt) in &daemon.running {
                steps.push(Step::EndRun(index, *request, *attempt));
            }
            if self.faults_left > 0 && daemon.incarnations[0] == 1 {
                steps.push(Step::Restart(index));
            }
            if self.faults_left > 0 && daemon.incarnations.len() == 1 {
                steps.push(Step::RaiseIncarnation(index));
            }
        }
        if self.daemons.iter().any(|daemon| daemon.incarnation() > 1) {
            for (index, entry) in self.entries.iter().enumerate() {
                if entry.known_incarnations != self.incarnations() {
                    steps.push(Step::LearnFleet(index));
                }
            }
        }
        steps
    }

    fn incarnations(&self) -> [u64; GUARD_COUNT] {
        std::array::from_fn(|index| self.daemons[index].incarnation())
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::Send(entry) => self.send(*entry),
            Step::Deliver(message) => self.deliver(message),
            Step::Duplicate(message) => {
                self.faults_left -= 1;
                self.deliver(message);
                self.in_flight.insert(stray_copy(message));
            }
            Step::GiveUp(entry, request, attempt) => {
                self.faults_left -= 1;
                self.stop_awaiting(*entry, *request, *attempt);
                let outcome = AttemptOutcome::Unknown {
                    kind: ErrorKind::OutcomeUnknown,
                    by_guard: false,
                };
                self.end_attempt(*entry, *request, *attempt, outcome);
                self.drop_unawaited();
            }
            Step::NoAnswer(entry, message) => {
                self.handle_no_answer(*entry, message);
                self.drop_unawaited();
            }
            Step::EndRun(daemon, request, attempt) => self.end_run(*daemon, (*request, *attempt)),
            Step::Restart(daemon) => {
                self.faults_left -= 1;
                let incarnation = self.daemons[*daemon].incarnation() + 1;
                self.daemons[*daemon] = model_daemon(*daemon, incarnation, self.mutation);
            }
            Step::RaiseIncarnation(daemon) => {
                self.faults_left -= 1;
                self.daemons[*daemon].raise(*daemon, self.mutation);
            }
            Step::LearnFleet(entry) => {
                let incarnations = self.incarnations();
                self.handle_routing(*entry, RoutingEvent::Fleet(fleet(incarnations)));
                self.entries[*entry].known_incarnations = incarnations;
            }
        }
    }

    fn send(&mut self, entry: usize) {
        self.sent_entries.insert(entry);
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
        self.handle_routing(entry, RoutingEvent::Dispatch(plan));
    }

    pub fn stop_awaiting(&mut self, entry: usize, request: RequestId, attempt: u32) -> bool {
        let before = self.awaiting.len();
        self.awaiting.retain(|(owner, message)| {
            let matches = matches!(message, Message::Attempt { request: r, attempt: a, .. }
                if (*r, *a) == (request, attempt));
            *owner != entry || !matches
        });
        self.awaiting.len() < before
    }

    fn handle_no_answer(&mut self, entry: usize, message: &Message) {
        self.awaiting.remove(&(entry, message.clone()));
        match message {
            Message::Fence {
                request, attempt, ..
            } => {
                let event = RoutingEvent::Fenced {
                    request: *request,
                    attempt: *attempt,
                    answer: None,
                };
                self.handle_routing(entry, event);
            }
            Message::Claim { request, .. } => {
                let answer =
                    (self.mutation == Mutation::StartWithoutClaim).then_some(ClaimAnswer::Granted);
                self.handle_routing(
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

    pub fn end_attempt(
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
        self.handle_routing(entry, event);
    }

    pub fn handle_routing(&mut self, entry: usize, event: RoutingEvent) {
        let actions = self.entries[entry].state.handle(*NOW, event);
        for action in actions {
            self.carry_out(entry, action);
        }
    }

    fn carry_out(&mut self, entry: usize, action: RoutingAction) {
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
                    incarnation,
                    request: plan.request,
                    attempt,
                };
                self.entries[entry].attempt_count = attempt;
                self.in_flight.insert(message.clone());
                self.awaiting.insert((entry, message));
            }
            RoutingAction::Fence { to, fence } => {
                let FenceRequest {
                    request,
                    attempt,
                    incarnation,
                } = fence;
                if self.mutation == Mutation::RetryWithoutFence {
                    let answer = Some(FenceAnswer::Fenced);
                    return self.handle_routing(
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
                    incarnation,
                    request,
                    attempt,
                };
                self.in_flight.insert(message.clone());
                self.awaiting.insert((entry, message));
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
                self.in_flight.insert(message.clone());
                if !release {
                    self.awaiting.insert((entry, message));
                }
            }
            RoutingAction::Cancel { .. } | RoutingAction::OwnCallFailed => {}
            RoutingAction::Finish { request, outcome } => {
                let kind = match outcome {
                    Outcome::Answered(_) => None,
                    Outcome::Failed { kind, .. } => Some(kind),
                };
                self.reported.insert(request, kind);
                let unknown = kind.is_some_and(|kind| kind.ran() == Ran::Unknown);
                if unknown && self.mutation == Mutation::KeyReleasedEarly {
                    for home in 0..GUARD_COUNT {
                        self.in_flight.insert(Message::Claim {
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
