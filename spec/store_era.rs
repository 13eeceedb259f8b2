//! Model check of a store that returns from a copy, by exhaustive search with the real `FeedState`.
//!
//! An operator writes configurations and takes a failure domain out. The store loses its last records
//! and begins an era; the operator writes again what is missing. One daemon may be cut off, answers
//! of reads may arrive late, and daemons answer each other. Each mutation breaks one rule, and the
//! search must find a violation.

use std::collections::{HashSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use banyanbeam::contract::Document;
use banyanbeam::feed::kept::Kept;
use banyanbeam::feed::message::{FeedEvent, FeedRead};
use banyanbeam::feed::{ConfigurationItem, FeedState, Page, Snapshot};
use banyanbeam::settings::feed::FeedSettings;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Number of daemons; the first one may be cut off.
const DAEMON_COUNT: usize = 2;
/// Configurations that the operator writes.
const VERSION_LIMIT: u64 = 3;
/// Returns of the store.
const LOSS_LIMIT: u64 = 2;
/// Steps from the start.
const DEPTH_LIMIT: usize = 9;

/// A rule that is broken on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutation {
    /// No rule is broken.
    None,
    /// Daemons are not told the era.
    EraUnknown,
    /// Operators get no time to write again what the store has lost.
    SettledAtOnce,
}

/// A record of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Entry {
    /// Configuration of a version.
    Version(u64),
    /// The failure domain is taken out.
    Out,
}

/// One daemon with its reader.
#[derive(Clone)]
struct Daemon {
    /// Decisions of its configuration duty.
    state: FeedState,
    /// Era and offset that its reader follows from; none before the first read.
    reader: Option<(u64, u64)>,
    /// Answer of the store that has not arrived yet.
    answer: Option<FeedRead<ConfigurationItem>>,
}

/// State of the model.
#[derive(Clone)]
struct World {
    /// Records of the store.
    log: Vec<Entry>,
    /// Era of the store.
    era: u64,
    /// Last version that the operator wrote.
    version: u64,
    /// Whether the operator has taken the domain out.
    out: bool,
    /// The daemons.
    daemons: [Daemon; DAEMON_COUNT],
    /// Whether the first daemon is cut off from the store and from the other one.
    cut: bool,
    /// Present time.
    now: Instant,
}

/// One step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// The operator writes the next configuration.
    Write,
    /// The operator takes the domain out.
    Evacuate,
    /// The store loses this many records.
    Lose(usize),
    /// The operator writes again what is missing.
    WriteAgain,
    /// The first daemon is cut off, or no longer.
    Cut,
    /// The store answers a read of a daemon.
    Read(usize),
    /// The answer arrives.
    Arrive(usize),
    /// A daemon gets the other one's configuration.
    Learn(usize),
}

/// Every step.
const STEPS: [Step; 12] = [
    Step::Write,
    Step::Evacuate,
    Step::Lose(1),
    Step::Lose(2),
    Step::WriteAgain,
    Step::Cut,
    Step::Read(0),
    Step::Read(1),
    Step::Arrive(0),
    Step::Arrive(1),
    Step::Learn(0),
    Step::Learn(1),
];

/// Returns what a daemon has in force: version, and whether the domain is out.
fn in_force(daemon: &Daemon) -> (u64, bool) {
    let force = Kept::in_force(daemon.state.snapshot());
    let version = force.document.map_or(0, |document| document.version);
    (version, !force.domains_out.is_empty())
}

/// Returns the time after which nothing is kept any more.
fn settle_time() -> Duration {
    Duration::from_millis(FeedSettings::default().era_settle_ms)
}

impl World {
    /// Returns the first state: both daemons have read the first configuration.
    fn start(mutation: Mutation) -> World {
        let random = ChaCha8Rng::seed_from_u64(1);
        let mut settings = FeedSettings::default();
        if mutation == Mutation::SettledAtOnce {
            settings.era_settle_ms = 0;
        }
        let state = FeedState::new(settings, "own".into(), random);
        let daemon = Daemon {
            state,
            reader: None,
            answer: None,
        };
        let mut world = World {
            log: vec![Entry::Version(1)],
            era: 1,
            version: 1,
            out: false,
            daemons: [daemon.clone(), daemon],
            cut: false,
            now: Instant::now(),
        };
        for index in 0..DAEMON_COUNT {
            world.read_whole(index, mutation);
        }
        world
    }

    /// Identifies the state, but for the time.
    fn key(&self) -> String {
        let daemons = self.daemons.each_ref().map(|daemon| {
            let due = daemon.state.next_tick_at().is_some();
            (
                daemon.state.snapshot().clone(),
                daemon.reader,
                &daemon.answer,
                due,
            )
        });
        let store = (&self.log, self.era, self.version, self.out, self.cut);
        format!("{store:?} {daemons:?}")
    }

    /// Returns whether a daemon reaches the store and the other daemon.
    fn reaches(&self, index: usize) -> bool {
        index != 0 || !self.cut
    }

    /// Returns the state after a step; none if the step is not possible.
    fn after(&self, step: Step, mutation: Mutation) -> Option<World> {
        let mut next = self.clone();
        match step {
            Step::Write if self.version < VERSION_LIMIT => {
                next.version += 1;
                next.log.push(Entry::Version(next.version));
            }
            Step::Evacuate if !self.out => {
                next.out = true;
                next.log.push(Entry::Out);
            }
            Step::Lose(count) if count < self.log.len() && self.era <= LOSS_LIMIT => {
                next.log.truncate(self.log.len() - count);
                next.era += 1;
            }
            Step::WriteAgain => next.write_again(),
            Step::Cut => next.cut = !self.cut,
            Step::Read(index) if self.reaches(index) && self.daemons[index].answer.is_none() => {
                next.read(index, mutation);
            }
            Step::Arrive(index) if self.daemons[index].answer.is_some() => next.arrive(index),
            Step::Learn(index) if !self.cut => {
                let answer = Snapshot::clone(self.daemons[1 - index].state.snapshot());
                next.handle(index, FeedEvent::PeerAnswered(Some(answer)));
            }
            _ => return None,
        }
        Some(next)
    }

    /// Has the operator write again what the store lacks.
    fn write_again(&mut self) {
        let versions = [Entry::Version(self.version)];
        let wanted = versions.into_iter().chain(self.out.then_some(Entry::Out));
        for entry in wanted {
            if !self.log.contains(&entry) {
                self.log.push(entry);
            }
        }
    }

    /// Has the store answer a read of a daemon.
    fn read(&mut self, index: usize, mutation: Mutation) {
        let told = match mutation {
            Mutation::EraUnknown => 0,
            _ => self.era,
        };
        let end = self.log.len() as u64;
        let reader = self.daemons[index].reader;
        let from = reader.filter(|(era, from)| *era == told && *from <= end);
        let first = from.map_or(0, |(_, from)| from);
        let items = self.log[first as usize..].iter().map(|entry| match entry {
            Entry::Version(version) => ConfigurationItem::Document(Arc::new(Document {
                version: *version,
                ..Default::default()
            })),
            Entry::Out => ConfigurationItem::DomainOut("north".into()),
        });
        let page = Page {
            items: items.collect(),
            next: end,
            era: told,
        };
        let daemon = &mut self.daemons[index];
        daemon.reader = Some((told, end));
        daemon.answer = Some(match from {
            None => FeedRead::Newest(page),
            Some(_) => FeedRead::Followed(page),
        });
    }

    /// Has the answer to a daemon's read arrive, if there is one.
    fn arrive(&mut self, index: usize) {
        if let Some(read) = self.daemons[index].answer.take() {
            self.handle(index, FeedEvent::Read(read));
        }
    }

    /// Has a daemon read all that the store has.
    fn read_whole(&mut self, index: usize, mutation: Mutation) {
        self.arrive(index);
        self.read(index, mutation);
        self.arrive(index);
    }

    /// Passes an event to a daemon.
    fn handle(&mut self, index: usize, event: FeedEvent) {
        let now = self.now;
        let state = &mut self.daemons[index].state;
        state.handle(now, event);
    }

    /// Returns whether both daemons have the operator's word in force once the operator has written it
    /// again, the era has settled and both have read.
    fn converges(&self, mutation: Mutation) -> bool {
        let mut world = self.clone();
        world.write_again();
        for _ in 0..2 {
            for index in 0..DAEMON_COUNT {
                world.read_whole(index, mutation);
                world.handle(index, FeedEvent::Tick);
            }
            world.now += settle_time();
        }
        let word = (world.version, world.out);
        world.daemons.iter().all(|daemon| in_force(daemon) == word)
    }
}

/// Returns what a step breaks, if anything: no daemon goes back to an earlier configuration, and none
/// lets the domain back in, which the operator never does.
fn broken(before: &World, after: &World) -> Option<String> {
    for index in 0..DAEMON_COUNT {
        let (old, new) = (
            in_force(&before.daemons[index]),
            in_force(&after.daemons[index]),
        );
        if new.0 < old.0 || (old.1 && !new.1) {
            return Some(format!("daemon {index} goes from {old:?} to {new:?}"));
        }
    }
    None
}

/// Searches all states; returns their number, or the steps that lead to a violation.
fn search(mutation: Mutation) -> Result<usize, String> {
    let start = World::start(mutation);
    let mut seen = HashSet::from([start.key()]);
    let mut queue = VecDeque::from([(start, Vec::new())]);
    while let Some((world, steps)) = queue.pop_front() {
        if !world.converges(mutation) {
            return Err(format!("{steps:?}: the daemons do not converge"));
        }
        if steps.len() == DEPTH_LIMIT {
            continue;
        }
        for step in STEPS {
            let Some(next) = world.after(step, mutation) else {
                continue;
            };
            let mut steps = steps.clone();
            steps.push(step);
            if let Some(problem) = broken(&world, &next) {
                return Err(format!("{steps:?}: {problem}"));
            }
            if seen.insert(next.key()) {
                queue.push_back((next, steps));
            }
        }
    }
    Ok(seen.len())
}

#[test]
fn no_return_of_the_store_takes_anything_from_a_daemon() {
    let found = search(Mutation::None);
    let state_count = found.unwrap_or_else(|problem| panic!("{problem}"));
    println!("{state_count} states");
    assert!(state_count > 1_000, "{state_count}");
}

#[test]
fn the_search_finds_what_offsets_without_eras_break() {
    let found = search(Mutation::EraUnknown);
    assert!(found.is_err(), "{found:?}");
}

#[test]
fn the_search_finds_what_too_little_time_to_write_again_breaks() {
    let found = search(Mutation::SettledAtOnce);
    assert!(found.is_err(), "{found:?}");
}
