//! Acceptance by replay, explored exhaustively with the real view.
//!
//! Two operators change the same contract through two daemons, each once and both perhaps on the
//! same base. An append arrives late or at once, its answer may be lost, an operator sends an
//! operation again, daemons read one record at a time, take each other's checkpoint, or start
//! afresh. Each rule is broken once on purpose, and the search must find the shortest trace.

use std::collections::BTreeSet;

use banyanbeam::contract::{Change, ChangeVerdict, OrganisationContract, Record, View};
use pathfinding::directed::bfs::{bfs, bfs_reach};

const OPERATORS: usize = 2;
const DAEMONS: usize = 2;
const SENDS_LIMIT: u8 = 2;
const RESTARTS_LIMIT: u8 = 1;

/// A rule that is broken on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Mutation {
    None,
    /// Records are taken whatever their base.
    BaseIgnored,
    /// An operator is told "accepted" when the append is acknowledged.
    AnsweredBeforeReadBack,
    /// An append without an answer is repeated as a new operation on the newest base.
    AppendedBlindly,
    /// A checkpoint is taken although it is lower than the view.
    CheckpointGoesBack,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Entry {
    operator: u8,
    /// 1 for the first operation of the operator's request.
    operation: u8,
    base: Option<u8>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Told {
    Nothing,
    Accepted { offset: u8 },
    NotAccepted,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    log: Vec<Entry>,
    /// Appends that were sent and have not arrived.
    in_flight: BTreeSet<Entry>,
    /// The newest operation of each operator, and how often one was sent.
    sent: [Option<Entry>; OPERATORS],
    sends_count: [u8; OPERATORS],
    told: [Told; OPERATORS],
    /// Offset that each daemon reads next.
    next: [u8; DAEMONS],
    restarts_count: u8,
    /// Whether a daemon went to a lower offset within one life.
    went_back: bool,
}

impl State {
    fn start() -> State {
        State {
            log: Vec::new(),
            in_flight: BTreeSet::new(),
            sent: [None; OPERATORS],
            sends_count: [0; OPERATORS],
            told: [Told::Nothing; OPERATORS],
            next: [0; DAEMONS],
            restarts_count: 0,
            went_back: false,
        }
    }

    fn successors(&self, mutation: Mutation) -> Vec<State> {
        let mut states = Vec::new();
        for operator in 0..OPERATORS {
            self.send(mutation, operator, &mut states);
        }
        for entry in &self.in_flight {
            states.push(self.arrive(mutation, *entry));
        }
        for daemon in 0..DAEMONS {
            if (self.next[daemon] as usize) < self.log.len() {
                states.push(self.read(mutation, daemon));
            }
            if self.restarts_count < RESTARTS_LIMIT && self.next[daemon] > 0 {
                let mut state = self.clone();
                state.restarts_count += 1;
                state.next[daemon] = 0;
                states.push(state);
            }
            self.take_checkpoint(mutation, daemon, &mut states);
        }
        states
    }

    fn send(&self, mutation: Mutation, operator: usize, states: &mut Vec<State>) {
        let done = self.told[operator] != Told::Nothing;
        if done || self.sends_count[operator] >= SENDS_LIMIT {
            return;
        }
        let daemon = operator % DAEMONS;
        let view = view(mutation, &self.log[..self.next[daemon] as usize]);
        let newest = Entry {
            operator: operator as u8,
            operation: self.sends_count[operator] + 1,
            base: view.base_of(&change(operator)).map(|offset| offset as u8),
        };
        let entry = match self.sent[operator] {
            Some(entry) if mutation != Mutation::AppendedBlindly => entry,
            _ => newest,
        };
        let mut state = self.clone();
        state.sent[operator] = Some(entry);
        state.sends_count[operator] += 1;
        state.in_flight.insert(entry);
        states.push(state);
    }

    fn arrive(&self, mutation: Mutation, entry: Entry) -> State {
        let mut state = self.clone();
        state.in_flight.remove(&entry);
        state.log.push(entry);
        if mutation == Mutation::AnsweredBeforeReadBack {
            let offset = state.log.len() as u8 - 1;
            state.told[entry.operator as usize] = Told::Accepted { offset };
        }
        state
    }

    /// The daemon applies the next record, and tells its operator when the record is its own.
    fn read(&self, mutation: Mutation, daemon: usize) -> State {
        let mut state = self.clone();
        let offset = state.next[daemon] as usize;
        state.next[daemon] += 1;
        let entry = state.log[offset];
        let operator = entry.operator as usize;
        if operator % DAEMONS != daemon || state.told[operator] != Told::Nothing {
            return state;
        }
        let verdicts = verdicts(mutation, &state.log[..=offset]);
        state.told[operator] = match verdicts[offset] {
            ChangeVerdict::Accepted => Told::Accepted {
                offset: offset as u8,
            },
            // The first record decides, and a checkpoint may have led past it.
            ChangeVerdict::Repeated => Told::Nothing,
            _ => Told::NotAccepted,
        };
        state
    }

    fn take_checkpoint(&self, mutation: Mutation, daemon: usize, states: &mut Vec<State>) {
        let other = self.next[1 - daemon];
        let lower = other < self.next[daemon];
        let allowed = other > self.next[daemon] || mutation == Mutation::CheckpointGoesBack;
        if other == self.next[daemon] || !allowed {
            return;
        }
        let mut state = self.clone();
        state.next[daemon] = other;
        state.went_back |= lower;
        states.push(state);
    }

    /// The property that does not hold here, if one does not.
    fn violation(&self, mutation: Mutation) -> Option<&'static str> {
        if self.went_back {
            return Some("a daemon went to a lower offset");
        }
        let verdicts = verdicts(mutation, &self.log);
        let accepted: Vec<&Entry> = self
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
        for operator in 0..OPERATORS {
            let in_force = accepted
                .iter()
                .any(|entry| entry.operator as usize == operator);
            match self.told[operator] {
                Told::Accepted { offset }
                    if verdicts[offset as usize] != ChangeVerdict::Accepted =>
                {
                    return Some("an operator was told accepted, and the change is void");
                }
                Told::NotAccepted if in_force => {
                    return Some("an operator was told not accepted, and the change is in force");
                }
                _ => {}
            }
        }
        self.disagreement(mutation)
    }

    /// Any checkpoint of the prefix, followed by the rest, must give the same view.
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

fn change(operator: usize) -> Change {
    let contract = OrganisationContract {
        organisation: "o".into(),
        rate_per_s: 1.0 + operator as f64,
        ..Default::default()
    };
    Change::PublishOrganisation { contract }
}

/// Applies the records that the view has not read yet.
fn apply(mutation: Mutation, view: &mut View, log: &[Entry]) -> Vec<ChangeVerdict> {
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

fn view(mutation: Mutation, log: &[Entry]) -> View {
    let mut view = View::default();
    apply(mutation, &mut view, log);
    view
}

fn verdicts(mutation: Mutation, log: &[Entry]) -> Vec<ChangeVerdict> {
    apply(mutation, &mut View::default(), log)
}

/// The shortest trace to a violation, with its name.
fn search(mutation: Mutation) -> Option<(Vec<State>, &'static str)> {
    let trace = bfs(
        &State::start(),
        |state| state.successors(mutation),
        |state| state.violation(mutation).is_some(),
    )?;
    let violation = trace.last().and_then(|state| state.violation(mutation))?;
    Some((trace, violation))
}

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
fn no_reachable_state_breaks_acceptance_by_replay() {
    let states_count = bfs_reach(State::start(), |state| state.successors(Mutation::None)).count();
    println!("{states_count} states");
    assert!(states_count > 1_000, "the search covers something");
    if let Some((trace, violation)) = search(Mutation::None) {
        panic!("{violation}: {trace:#?}");
    }
}

#[test]
fn records_taken_whatever_their_base_are_caught() {
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
fn a_blind_second_append_is_caught() {
    assert_caught(Mutation::AppendedBlindly, "one request took effect twice");
}

#[test]
fn a_checkpoint_that_goes_back_is_caught() {
    assert_caught(
        Mutation::CheckpointGoesBack,
        "a daemon went to a lower offset",
    );
}
