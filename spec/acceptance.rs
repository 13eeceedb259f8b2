//! Model check of acceptance by replay, by exhaustive search with the real `View`.
//!
//! Two operators change the same contract through two daemons, once each, possibly on the same
//! base. An append may arrive late, its answer may be lost, and an operator may send its operation
//! again. Daemons read one record at a time, take each other's checkpoint, or start again. Each
//! mutation breaks one rule, and the search must find a violation.

use std::collections::BTreeSet;

use banyanbeam::contract::{Change, ChangeVerdict, OrganisationContract, Record, View};
use pathfinding::directed::bfs::{bfs, bfs_reach};

const OPERATOR_COUNT: usize = 2;
const DAEMON_COUNT: usize = 2;
/// How often each operator may send its operation.
const SEND_LIMIT_COUNT: u8 = 2;
/// How often daemons may restart, all together.
const RESTART_LIMIT_COUNT: u8 = 1;

/// A rule that is broken on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Mutation {
    /// No rule is broken.
    None,
    /// Records are accepted whatever their base.
    BaseIgnored,
    /// An operator is answered "accepted" as soon as the append is acknowledged.
    AnsweredBeforeReadBack,
    /// An append without an answer is repeated as a new operation on the newest base.
    RetriedAsNewOperation,
    /// A daemon takes a checkpoint that is older than its view.
    OlderCheckpointTaken,
}

/// An operation, as a record in the log or on its way there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct LogEntry {
    /// Index of the operator that sent it.
    operator: u8,
    /// Number of the operation within the operator's request, from 1.
    operation: u8,
    /// Offset of the record that the change is based on.
    base: Option<u8>,
}

/// What an operator was answered so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum OperatorAnswer {
    /// The operator has no answer yet.
    Pending,
    Accepted {
        offset: u8,
    },
    /// The change was not accepted.
    NotAccepted,
}

/// One state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    /// Operations in the order of their offsets.
    log: Vec<LogEntry>,
    /// Operations sent that the log has not appended yet.
    in_flight: BTreeSet<LogEntry>,
    /// The newest operation of each operator.
    last_sent: [Option<LogEntry>; OPERATOR_COUNT],
    /// How often each operator has sent an operation.
    send_counts: [u8; OPERATOR_COUNT],
    /// The answer that each operator got.
    answers: [OperatorAnswer; OPERATOR_COUNT],
    /// Offset that each daemon reads next.
    next_offsets: [u8; DAEMON_COUNT],
    restart_count: u8,
    /// Whether a daemon went to a lower offset without a restart.
    went_backwards: bool,
}

impl State {
    /// Returns the state in which the search begins.
    fn start() -> State {
        State {
            log: Vec::new(),
            in_flight: BTreeSet::new(),
            last_sent: [None; OPERATOR_COUNT],
            send_counts: [0; OPERATOR_COUNT],
            answers: [OperatorAnswer::Pending; OPERATOR_COUNT],
            next_offsets: [0; DAEMON_COUNT],
            restart_count: 0,
            went_backwards: false,
        }
    }

    /// Returns the states one step later.
    fn successors(&self, mutation: Mutation) -> Vec<State> {
        let mut states = Vec::new();
        for operator in 0..OPERATOR_COUNT {
            self.send_operation(mutation, operator, &mut states);
        }
        for entry in &self.in_flight {
            states.push(self.append_to_log(mutation, *entry));
        }
        for daemon in 0..DAEMON_COUNT {
            if (self.next_offsets[daemon] as usize) < self.log.len() {
                states.push(self.read_record(mutation, daemon));
            }
            if self.restart_count < RESTART_LIMIT_COUNT && self.next_offsets[daemon] > 0 {
                let mut state = self.clone();
                state.restart_count += 1;
                state.next_offsets[daemon] = 0;
                states.push(state);
            }
            self.take_checkpoint(mutation, daemon, &mut states);
        }
        states
    }

    /// Adds the state after an operator has sent its operation, once more or for the first time.
    fn send_operation(&self, mutation: Mutation, operator: usize, states: &mut Vec<State>) {
        let done = self.answers[operator] != OperatorAnswer::Pending;
        if done || self.send_counts[operator] >= SEND_LIMIT_COUNT {
            return;
        }
        let daemon = operator % DAEMON_COUNT;
        let view = view(mutation, &self.log[..self.next_offsets[daemon] as usize]);
        let newest = LogEntry {
            operator: operator as u8,
            operation: self.send_counts[operator] + 1,
            base: view.base_of(&change(operator)).map(|offset| offset as u8),
        };
        let entry = match self.last_sent[operator] {
            Some(entry) if mutation != Mutation::RetriedAsNewOperation => entry,
            _ => newest,
        };
        let mut state = self.clone();
        state.last_sent[operator] = Some(entry);
        state.send_counts[operator] += 1;
        state.in_flight.insert(entry);
        states.push(state);
    }

    /// Returns the state after the log has appended an operation that was on its way.
    fn append_to_log(&self, mutation: Mutation, entry: LogEntry) -> State {
        let mut state = self.clone();
        state.in_flight.remove(&entry);
        state.log.push(entry);
        if mutation == Mutation::AnsweredBeforeReadBack {
            let offset = state.log.len() as u8 - 1;
            state.answers[entry.operator as usize] = OperatorAnswer::Accepted { offset };
        }
        state
    }

    /// Returns the state after a daemon has applied the next record, and has answered its operator
    /// if the record is the operator's.
    fn read_record(&self, mutation: Mutation, daemon: usize) -> State {
        let mut state = self.clone();
        let offset = state.next_offsets[daemon] as usize;
        state.next_offsets[daemon] += 1;
        let entry = state.log[offset];
        let operator = entry.operator as usize;
        if operator % DAEMON_COUNT != daemon || state.answers[operator] != OperatorAnswer::Pending {
            return state;
        }
        let verdicts = verdicts(mutation, &state.log[..=offset]);
        state.answers[operator] = match verdicts[offset] {
            ChangeVerdict::Accepted => OperatorAnswer::Accepted {
                offset: offset as u8,
            },
            // The first record decides; a checkpoint may have skipped it.
            ChangeVerdict::Repeated => OperatorAnswer::Pending,
            _ => OperatorAnswer::NotAccepted,
        };
        state
    }

    /// Adds the state after a daemon has taken the other daemon's checkpoint.
    fn take_checkpoint(&self, mutation: Mutation, daemon: usize, states: &mut Vec<State>) {
        let other = self.next_offsets[1 - daemon];
        let lower = other < self.next_offsets[daemon];
        let allowed =
            other > self.next_offsets[daemon] || mutation == Mutation::OlderCheckpointTaken;
        if other == self.next_offsets[daemon] || !allowed {
            return;
        }
        let mut state = self.clone();
        state.next_offsets[daemon] = other;
        state.went_backwards |= lower;
        states.push(state);
    }

    /// Returns the property that this state violates, if any.
    fn violation(&self, mutation: Mutation) -> Option<&'static str> {
        if self.went_backwards {
            return Some("a daemon went to a lower offset");
        }
        let verdicts = verdicts(mutation, &self.log);
        let accepted: Vec<&LogEntry> = self
            .log
            .iter()
            .zip(&verdicts)
            .filter(|(_, verdict)| **verdict == ChangeVerdict::Accepted)
            .map(|(entry, _)| entry)
            .collect();
        for (index, entry) in accepted.iter().enumerate() {
            for other in &accepted[..index] {
                if other.operator == entry.operator {
                    return Some("one request took effect twice");
                }
                if other.base == entry.base {
                    return Some("two changes on the same base are both in force");
                }
            }
        }
        for operator in 0..OPERATOR_COUNT {
            let in_force = accepted
                .iter()
                .any(|entry| entry.operator as usize == operator);
            match self.answers[operator] {
                OperatorAnswer::Accepted { offset }
                    if verdicts[offset as usize] != ChangeVerdict::Accepted =>
                {
                    return Some("an operator was told accepted, and the change is void");
                }
                OperatorAnswer::NotAccepted if in_force => {
                    return Some("an operator was told not accepted, and the change is in force");
                }
                _ => {}
            }
        }
        self.disagreement(mutation)
    }

    /// Checks that any checkpoint of a prefix, followed by the rest of the log, gives the same
    /// view.
    fn disagreement(&self, mutation: Mutation) -> Option<&'static str> {
        let whole = view(mutation, &self.log).to_checkpoint();
        for cut in 0..self.log.len() {
            let text = view(mutation, &self.log[..cut]).to_checkpoint();
            let mut view = View::from_checkpoint(&text).expect("a checkpoint reads back");
            apply(mutation, &mut view, &self.log);
            if view.to_checkpoint() != whole {
                return Some("two readers of the same prefix disagree");
            }
        }
        None
    }
}

/// Returns the change that an operator publishes.
fn change(operator: usize) -> Change {
    let contract = OrganisationContract {
        organisation: "o".into(),
        rate_per_s: 1.0 + operator as f64,
        ..Default::default()
    };
    Change::PublishOrganisation { contract }
}

/// Applies the records that the view has not read yet, and returns their verdicts.
fn apply(mutation: Mutation, view: &mut View, log: &[LogEntry]) -> Vec<ChangeVerdict> {
    let mut verdicts = Vec::new();
    for (offset, entry) in log.iter().enumerate().skip(view.next as usize) {
        let change = change(entry.operator as usize);
        let base = match mutation {
            Mutation::BaseIgnored => view.base_of(&change),
            _ => entry.base.map(u64::from),
        };
        let record = Record {
            operation: u128::from(entry.operator) * 100 + u128::from(entry.operation),
            base,
            author: "operator".to_owned(),
            at_ms: 0,
            change,
        };
        verdicts.push(view.apply(offset as u64, &record));
    }
    verdicts
}

/// Returns the view after all records of the log.
fn view(mutation: Mutation, log: &[LogEntry]) -> View {
    let mut view = View::default();
    apply(mutation, &mut view, log);
    view
}

/// Returns the verdict on each record of the log.
fn verdicts(mutation: Mutation, log: &[LogEntry]) -> Vec<ChangeVerdict> {
    apply(mutation, &mut View::default(), log)
}

/// Returns the shortest trace to a violation, with the property that is violated.
fn search(mutation: Mutation) -> Option<(Vec<State>, &'static str)> {
    let trace = bfs(
        &State::start(),
        |state| state.successors(mutation),
        |state| state.violation(mutation).is_some(),
    )?;
    let violation = trace.last().and_then(|state| state.violation(mutation))?;
    Some((trace, violation))
}

/// Panics unless the search finds this violation under the mutation; prints the trace.
fn assert_caught(mutation: Mutation, expected: &str) {
    let (trace, violation) = search(mutation).expect("the mutation is caught");
    println!(
        "{mutation:?}: {violation}, after {} steps:",
        trace.len() - 1
    );
    for state in &trace {
        println!("  {state:?}");
    }
    assert_eq!(violation, expected);
}

#[test]
fn no_reachable_state_violates_acceptance_by_replay() {
    let state_count = bfs_reach(State::start(), |state| state.successors(Mutation::None)).count();
    println!("{state_count} states");
    assert!(state_count > 1_000, "the search covers something");
    if let Some((trace, violation)) = search(Mutation::None) {
        panic!("{violation}: {trace:#?}");
    }
}

#[test]
fn records_accepted_despite_their_base_are_caught() {
    assert_caught(
        Mutation::BaseIgnored,
        "two changes on the same base are both in force",
    );
}

#[test]
fn an_answer_before_the_read_back_is_caught() {
    assert_caught(
        Mutation::AnsweredBeforeReadBack,
        "an operator was told accepted, and the change is void",
    );
}

#[test]
fn a_retry_as_a_new_operation_is_caught() {
    assert_caught(
        Mutation::RetriedAsNewOperation,
        "one request took effect twice",
    );
}

#[test]
fn an_older_checkpoint_is_caught() {
    assert_caught(
        Mutation::OlderCheckpointTaken,
        "a daemon went to a lower offset",
    );
}
