//! A fleet whose connections to the platform fall silent, in virtual time: how soon a change of the
//! configuration is in force at every daemon, and how many reads that takes.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::feed::follow::{FollowPlan, ReadEnd};
use crate::feed::message::{ConfigurationItem, FeedAction, FeedEvent, FeedRead};
use crate::feed::turn::ReadTurn;
use crate::feed::{FeedError, FeedPosition, FeedState, Page, Snapshot};
use crate::settings::feed::FeedSettings;
use crate::types::DaemonId;

/// Bound on the time until a change is in force.
const APPLY: Duration = Duration::from_secs(2);
/// Time after a failure of connections from which the bound holds again.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);
/// Time that a message takes between daemons, or to the platform and back.
const LATENCY: Duration = Duration::from_millis(5);

/// Index of a daemon in the simulation.
type Index = usize;

/// What happens in the simulation.
enum Event {
    /// A daemon begins a read.
    ReadBegins(Index),
    /// A read ends.
    ReadEnds(Index, FeedRead<ConfigurationItem>),
    /// An event reaches the state of a daemon.
    Arrives(Index, FeedEvent),
    /// A question of the first daemon reaches the second one.
    Asked {
        /// The daemon that asks.
        from: Index,
        /// The daemon that is asked.
        to: Index,
        /// Offset up to which the first daemon has read.
        next: u64,
    },
}

/// One daemon with the plan of its reads.
struct Daemon {
    /// Decisions of the feed duty.
    state: FeedState,
    /// Waits of the reads.
    plan: FollowPlan,
    /// Turn in which the daemon reads.
    turn: ReadTurn,
    /// Offset of the next read; none before the first one.
    from: Option<u64>,
    /// Time of the tick that is scheduled.
    tick_at: Option<Instant>,
    /// When each offset was first in force.
    in_force_at: BTreeMap<u64, Instant>,
}

/// A fleet and the platform's topic, in which the record `n` is written at `written_at[n]`.
struct Simulation {
    settings: FeedSettings,
    daemons: Vec<Daemon>,
    written_at: Vec<Instant>,
    silent_at: Option<Instant>,
    events: BTreeMap<(Instant, u64), Event>,
    scheduled_count: u64,
    read_count: usize,
}

/// Returns the settings of a platform with this bound on the time until a change is in force.
fn settings() -> FeedSettings {
    FeedSettings {
        timeout_ms: 800,
        turn_ms: 800,
        retry_limit_ms: 400,
        peer_ask_ms: 200,
        ..Default::default()
    }
}

/// Returns the id of a daemon.
fn name(index: Index) -> DaemonId {
    format!("daemon-{index}").into()
}

impl Simulation {
    /// Starts a fleet at `begin`. Records are written and connections fall silent after these times.
    fn new(
        begin: Instant,
        daemon_count: usize,
        written_after: &[Duration],
        silent_after: Option<Duration>,
    ) -> Simulation {
        let fleet = Arc::new(super::fleet((0..daemon_count).map(name)));
        let daemon = |index| Daemon {
            state: FeedState::new(
                settings(),
                name(index),
                ChaCha8Rng::seed_from_u64(index as u64),
            ),
            plan: FollowPlan::default(),
            turn: ReadTurn::default(),
            from: None,
            tick_at: None,
            in_force_at: BTreeMap::new(),
        };
        let mut simulation = Simulation {
            settings: settings(),
            daemons: (0..daemon_count).map(daemon).collect(),
            written_at: written_after.iter().map(|after| begin + *after).collect(),
            silent_at: silent_after.map(|after| begin + after),
            events: BTreeMap::new(),
            scheduled_count: 0,
            read_count: 0,
        };
        for index in 0..daemon_count {
            let event = FeedEvent::Fleet(fleet.clone());
            simulation.schedule(begin, Event::Arrives(index, event));
            simulation.schedule(begin, Event::ReadBegins(index));
        }
        simulation
    }

    /// Schedules an event.
    fn schedule(&mut self, at: Instant, event: Event) {
        self.scheduled_count += 1;
        self.events.insert((at, self.scheduled_count), event);
    }

    /// Plays until `end`.
    fn play(&mut self, end: Instant) {
        while let Some(((now, _), event)) = self.events.pop_first().filter(|((at, _), _)| *at < end)
        {
            match event {
                Event::ReadBegins(index) => self.begin_read(now, index),
                Event::ReadEnds(index, read) => self.end_read(now, index, read),
                Event::Arrives(index, event) => self.handle(now, index, event),
                Event::Asked { from, to, next } => self.answer(now, from, to, next),
            }
        }
    }

    /// Returns the number of records that are written by this time.
    fn written_count(&self, at: Instant) -> u64 {
        let written = self.written_at.iter().filter(|written| **written <= at);
        written.count() as u64
    }

    /// Begins a read and schedules its end.
    fn begin_read(&mut self, now: Instant, index: Index) {
        self.read_count += 1;
        let Daemon {
            plan, turn, from, ..
        } = &self.daemons[index];
        let wait = match from {
            None => Duration::ZERO,
            Some(_) => plan.next_wait(*turn, &self.settings),
        };
        let position = from.unwrap_or(0);
        let written_at = self.written_at.get(position as usize).copied();
        let ends_at = written_at.map_or(now + wait, |at| at.clamp(now, now + wait)) + LATENCY;
        let silent_at = self.silent_at.filter(|at| (now..ends_at).contains(at));
        if silent_at.is_some() {
            let failed = FeedRead::Failed(FeedError::Unavailable("no answer".to_owned()));
            let ends_at = now + wait + Duration::from_millis(self.settings.timeout_ms);
            return self.schedule(ends_at, Event::ReadEnds(index, failed));
        }
        let next = self.written_count(ends_at);
        let items = match next > position {
            true => vec![ConfigurationItem::Document(super::document("s"))],
            false => Vec::new(),
        };
        let page = Page {
            items,
            next,
            era: 0,
        };
        let read = match from {
            None => FeedRead::Newest(page),
            Some(_) => FeedRead::Followed(page),
        };
        self.schedule(ends_at, Event::ReadEnds(index, read));
    }

    /// Ends a read and begins the next one.
    fn end_read(&mut self, now: Instant, index: Index, read: FeedRead<ConfigurationItem>) {
        let daemon = &mut self.daemons[index];
        let mut begins_at = now;
        match &read {
            FeedRead::Newest(page) => {
                daemon.from = Some(page.next);
                daemon.plan.record_end(ReadEnd::Newest);
            }
            FeedRead::Followed(page) => {
                let has_items = daemon.from.replace(page.next) != Some(page.next);
                daemon.plan.record_end(match has_items {
                    true => ReadEnd::Items,
                    false => ReadEnd::Nothing,
                });
            }
            FeedRead::Failed(_) => {
                daemon.plan.record_end(ReadEnd::Failed { counts: true });
                begins_at += Duration::from_millis(self.settings.retry_ms);
            }
        }
        self.handle(now, index, FeedEvent::Read(read));
        self.schedule(begins_at, Event::ReadBegins(index));
    }

    /// Answers a question, as the feed duty does.
    fn answer(&mut self, now: Instant, from: Index, to: Index, next: u64) {
        let snapshot = self.daemons[to].state.snapshot().clone();
        let newer = (snapshot.next > next).then(|| Snapshot::clone(&snapshot));
        let answered = FeedEvent::PeerAnswered(newer);
        self.schedule(now + LATENCY, Event::Arrives(from, answered));
        let peer = name(from);
        let next = FeedPosition { era: 0, next };
        self.handle(now, to, FeedEvent::PeerAhead { peer, next });
    }

    /// Passes an event to the state of a daemon and carries out what follows.
    fn handle(&mut self, now: Instant, index: Index, event: FeedEvent) {
        let actions = self.daemons[index].state.handle(now, event);
        for action in actions {
            match action {
                FeedAction::Turn(turn) => self.daemons[index].turn = turn,
                FeedAction::Ask { peer, from: asked } => {
                    let next = asked.next;
                    let to = self.index_of(&peer);
                    let from = index;
                    self.schedule(now + LATENCY, Event::Asked { from, to, next });
                }
                FeedAction::Notify { peers, next } => {
                    for peer in peers {
                        let ahead = FeedEvent::PeerAhead {
                            peer: name(index),
                            next,
                        };
                        let to = self.index_of(&peer);
                        self.schedule(now + LATENCY, Event::Arrives(to, ahead));
                    }
                }
                FeedAction::View(view) => {
                    let daemon = &mut self.daemons[index];
                    daemon.in_force_at.entry(view.next).or_insert(now);
                }
                FeedAction::Reachable(_)
                | FeedAction::Unreadable { .. }
                | FeedAction::EraEntered(_)
                | FeedAction::KeptDropped => {}
            }
        }
        let daemon = &mut self.daemons[index];
        let tick_at = daemon.state.next_tick_at().map(|at| at.max(now));
        if tick_at != daemon.tick_at {
            daemon.tick_at = tick_at;
            if let Some(at) = tick_at {
                self.schedule(at, Event::Arrives(index, FeedEvent::Tick));
            }
        }
    }

    /// Returns the index of a daemon.
    fn index_of(&self, daemon: &DaemonId) -> Index {
        let index = daemon.rsplit('-').next().and_then(|text| text.parse().ok());
        index.expect("a daemon of the simulation")
    }

    /// Returns when the record `number` was in force at the last daemon.
    fn last_in_force_at(&self, number: usize) -> Option<Instant> {
        let next = number as u64 + 1;
        let times = self.daemons.iter().map(|daemon| {
            let mut later = daemon.in_force_at.range(next..);
            later.next().map(|(_, at)| *at)
        });
        times.max_by_key(|at| at.map_or((true, None), |at| (false, Some(at))))?
    }
}

/// Guards against daemons that keep a withdrawn key or a dropped route in force after a change, since
/// the reads of all of them hang on connections that have fallen silent together.
#[test]
fn a_change_is_in_force_in_time_although_all_reads_of_the_fleet_hang() {
    let millis = Duration::from_millis;
    for daemon_count in [1, 2, 4, 7, 21, 355] {
        for silent_after_ms in [4_050, 4_300, 5_500, 8_000] {
            for change_after_ms in [100, 1_000, 2_500, 4_000] {
                // Arrange
                let begin = Instant::now();
                let silent_after = millis(silent_after_ms);
                let changes = [
                    Duration::ZERO,
                    millis(4_000),
                    silent_after + millis(change_after_ms),
                ];
                let mut simulation =
                    Simulation::new(begin, daemon_count, &changes, Some(silent_after));

                // Act
                simulation.play(begin + millis(20_000));

                // Assert
                let due_after = (changes[2] + APPLY).max(silent_after + STABILITY_WINDOW);
                let in_force_at = simulation.last_in_force_at(2).expect("in force everywhere");
                let in_force_after = in_force_at - begin;
                assert!(
                    in_force_after <= due_after,
                    "{daemon_count} daemons, silent after {silent_after_ms} ms, changed \
                     {change_after_ms} ms later: in force after {in_force_after:?}, due after \
                     {due_after:?}"
                );
            }
        }
    }
}

#[test]
fn turns_cost_a_large_fleet_few_more_reads() {
    // Arrange
    const DAEMON_COUNT: usize = 355;
    const CHANGE_COUNT: usize = 6;
    let begin = Instant::now();
    let changes: Vec<Duration> = (0..CHANGE_COUNT as u32)
        .map(|number| Duration::from_secs(10) * number)
        .collect();
    let mut simulation = Simulation::new(begin, DAEMON_COUNT, &changes, None);
    let end = begin + Duration::from_secs(10) * CHANGE_COUNT as u32 - Duration::from_secs(1);

    // Act
    simulation.play(end);

    // Assert
    let in_step_count = DAEMON_COUNT * (1 + 2 * CHANGE_COUNT);
    assert!(
        simulation.read_count <= in_step_count * 102 / 100,
        "{} reads, {in_step_count} without turns",
        simulation.read_count
    );
}
