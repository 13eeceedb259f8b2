//! The world around the daemons' real states of grantor_since.

mod actions;

use std::time::{Duration, Instant};

use banyanbeam::allowance::leases::{EscrowTimes, LeaseState};
use banyanbeam::allowance::record::EscrowRecord;
use banyanbeam::allowance::replay::Ledger;
use banyanbeam::link::PeerName;

use super::mutation::Mutation;
use super::options::Options;
use super::support::{Interner, Model};

/// The daemons, by index.
const A: usize = 0;
const B: usize = 1;
const C: usize = 2;
const NAMES: [&str; 3] = ["A", "B", "C"];

/// One state of the world. Numbers stand for interned values.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct World {
    t: u8,
    daemons: [u32; 3],
    log: u32,
    /// Records on their way, and records that may be taken once more.
    pending: u32,
    /// A's read: when it was sent, and how many records the log answered with.
    read: Option<(u8, Option<u8>)>,
    /// A's request for a promise: when it was sent and to whom.
    ask: Option<(u8, u8)>,
    /// The promise on its way: when it was asked for, whose, and whether it is without end.
    reply: Option<(u8, u8, bool)>,
    /// The last tick at which each daemon could spend, and so lend.
    lent: [Option<u8>; 3],
    /// B has come back.
    returned: bool,
    /// How often A has named a grantor.
    named: u8,
}

type Pending = Vec<(EscrowRecord, bool)>;

/// The model.
pub struct LeaseModel {
    options: Options,
    base: Instant,
    daemons: Interner<LeaseState>,
    logs: Interner<Vec<EscrowRecord>>,
    pendings: Interner<Pending>,
}

/// Seconds of a tick by an exact clock.
pub const TICK_S: u64 = 10;
/// A's clock and those of borrowers are slow.
const SLOW_TICK_S: u64 = 9;
/// Most records in the log.
const LOG_LIMIT_COUNT: usize = 5;

fn peer(index: usize, life: u64) -> PeerName {
    PeerName {
        daemon: NAMES[index].into(),
        incarnation: life,
    }
}

impl LeaseModel {
    /// A model with these options.
    pub fn new(options: Options) -> LeaseModel {
        LeaseModel {
            options,
            base: Instant::now(),
            daemons: Interner::default(),
            logs: Interner::default(),
            pendings: Interner::default(),
        }
    }

    fn is(&self, mutation: Mutation) -> bool {
        self.options.mutation == Some(mutation)
    }

    fn times(&self, daemon: usize) -> EscrowTimes {
        let mut times = EscrowTimes {
            lease_time: Duration::from_secs(u64::from(self.options.right_ticks) * TICK_S),
            loan_time: Duration::from_secs(self.options.loan_s),
            clock_margin: Duration::from_secs(self.options.loan_s),
        };
        if daemon == A {
            return times;
        }
        if self.is(Mutation::NoMargin) {
            times.clock_margin = Duration::ZERO;
        }
        if self.is(Mutation::NoWaitForLoans) {
            times.loan_time = Duration::ZERO;
            times.clock_margin = Duration::ZERO;
        }
        if self.is(Mutation::NoWaitForReads) {
            times.lease_time /= 2;
        }
        times
    }

    /// The time of a daemon's clock.
    fn clock(&self, daemon: usize, t: u8) -> Instant {
        let tick_s = if daemon == A { SLOW_TICK_S } else { TICK_S };
        self.base + Duration::from_secs(tick_s * u64::from(t))
    }

    fn daemon(&self, world: &World, daemon: usize) -> LeaseState {
        (*self.daemons.get(world.daemons[daemon])).clone()
    }

    fn with_daemon(&self, world: &World, daemon: usize, state: LeaseState) -> World {
        let mut next = *world;
        next.daemons[daemon] = self.daemons.put(state);
        self.noted(next)
    }

    fn with_record(&self, world: &World, record: EscrowRecord) -> World {
        let mut pending = (*self.pendings.get(world.pending)).clone();
        if !pending.iter().any(|(known, _)| *known == record) {
            pending.push((record, false));
            pending.sort();
        }
        World {
            pending: self.pendings.put(pending),
            ..*world
        }
    }

    /// Notes who can spend, and so lend, now.
    fn noted(&self, mut world: World) -> World {
        for daemon in 0..NAMES.len() {
            if self.may_spend(&world, daemon) {
                world.lent[daemon] = Some(world.t);
            }
        }
        world
    }

    fn may_spend(&self, world: &World, daemon: usize) -> bool {
        let state = self.daemons.get(world.daemons[daemon]);
        let now = self.clock(daemon, world.t);
        let beside = self.is(Mutation::ReadsCountDespiteGrantor)
            && daemon == A
            && state.has_fresh_read(now)
            && state.tenures().contains_key(&0);
        beside || state.may_spend(now, 0)
    }

    /// Whether tokens that a daemon may spend or has lent are in use.
    fn in_use(&self, world: &World, daemon: usize) -> bool {
        let Some(last) = world.lent[daemon] else {
            return false;
        };
        u64::from(world.t - last) * SLOW_TICK_S < self.options.loan_s
    }

    fn pass_time(&self, world: &World, next: &mut Vec<(String, World)>) {
        if world.t < self.options.horizon {
            let t = world.t + 1;
            let later = self.noted(World { t, ..*world });
            next.push((format!("time is {t}"), later));
        }
    }

    fn take_records(&self, world: &World, next: &mut Vec<(String, World)>) {
        let pending = self.pendings.get(world.pending);
        let log = self.logs.get(world.log);
        let known = if self.options.named_before { 0 } else { 1 };
        if log.len() + known >= LOG_LIMIT_COUNT {
            return;
        }
        for (index, (record, taken)) in pending.iter().enumerate() {
            let mut left = (*pending).clone();
            if self.options.doubles && !taken {
                left[index].1 = true;
                left.sort();
            } else {
                left.remove(index);
            }
            let mut log = (*log).clone();
            log.extend(self.as_taken(&log, record));
            let after = World {
                log: self.logs.put(log),
                pending: self.pendings.put(left),
                ..*world
            };
            next.push((format!("the log takes {record:?}"), after));
        }
    }

    /// The records that stand for one record under a broken replay.
    fn as_taken(&self, log: &[EscrowRecord], record: &EscrowRecord) -> Vec<EscrowRecord> {
        let mut ledger = Ledger::new(1);
        for (offset, record) in log.iter().enumerate() {
            ledger.apply(offset as u64, record);
        }
        let mut record = record.clone();
        match &mut record {
            EscrowRecord::Name {
                holder,
                grantor_since,
                ..
            } if self.is(Mutation::NameWithoutBase) => {
                *grantor_since = ledger.holders().get(holder).map_or(0, |h| h.grantor_since);
            }
            EscrowRecord::HandOver { next, .. } if self.is(Mutation::HandOverWithoutBase) => {
                *next = ledger.next_offset;
            }
            EscrowRecord::Reclaim {
                holder,
                grantor_since,
                by,
            } if self.is(Mutation::FormerGrantorReclaims) => {
                let Some(entry) = ledger.holders().get(holder) else {
                    return vec![record];
                };
                let forged = EscrowRecord::Name {
                    holder: holder.clone(),
                    grantor_since: entry.grantor_since,
                    grantor: Some(by.clone()),
                };
                *grantor_since = ledger.next_offset;
                return vec![forged, record];
            }
            _ => {}
        }
        vec![record]
    }

    fn read(&self, world: &World, next: &mut Vec<(String, World)>) {
        let log = self.logs.get(world.log);
        match world.read {
            None => {
                let read = Some((world.t, None));
                next.push(("A sends a read".to_owned(), World { read, ..*world }));
            }
            Some((sent, None)) => {
                let read = Some((sent, Some(log.len() as u8)));
                next.push(("the log answers A".to_owned(), World { read, ..*world }));
            }
            Some((sent, Some(length))) => {
                let now = self.clock(A, world.t);
                let asked_at = match self.is(Mutation::FreshFromArrival) {
                    true => now,
                    false => self.clock(A, sent),
                };
                let mut state = self.daemon(world, A);
                let records = records(&state, &log[..usize::from(length)]);
                state.apply_read(now, asked_at, &records, true);
                let after = self.with_daemon(world, A, state);
                let after = World {
                    read: None,
                    ..after
                };
                next.push(("A has its read".to_owned(), after));
            }
        }
    }

    /// A read that takes long shows more than its age tells, and makes a daemon act later; so a
    /// read at once stands for it.
    fn read_at_once(&self, world: &World, daemon: usize, next: &mut Vec<(String, World)>) {
        let log = self.logs.get(world.log);
        let mut state = self.daemon(world, daemon);
        let is_new = state.ledger().next_offset < log.len() as u64;
        let grantor = |name| state.ledger().holders().get(name)?.grantor.clone();
        let holds = !state.tenures().is_empty() && grantor(&peer(daemon, 1)).is_none();
        if !is_new && !holds {
            return;
        }
        let now = self.clock(daemon, world.t);
        let records = records(&state, &log);
        state.apply_read(now, now, &records, true);
        let after = self.with_daemon(world, daemon, state);
        if after != *world {
            next.push((format!("{} reads the log", NAMES[daemon]), after));
        }
    }
}

/// The records that a daemon has not read yet.
fn records(state: &LeaseState, log: &[EscrowRecord]) -> Vec<(u64, Option<EscrowRecord>)> {
    let from = state.ledger().next_offset as usize;
    let records = log.iter().enumerate().skip(from);
    records
        .map(|(offset, record)| (offset as u64, Some(record.clone())))
        .collect()
}

impl Model for LeaseModel {
    type World = World;

    fn start(&self) -> World {
        let claim = EscrowRecord::Claim {
            holder: peer(A, 1),
            grantor: (!self.options.open).then(|| peer(B, 1)),
            partitions: vec![0],
        };
        let mut log = vec![claim];
        let mut pending = Vec::new();
        if self.options.named_before {
            let name = |grantor_since, grantor| EscrowRecord::Name {
                holder: peer(A, 1),
                grantor_since,
                grantor: Some(peer(grantor, 1)),
            };
            log.extend([name(0, C), name(1, B)]);
            pending.push((name(0, C), true));
        }
        let mut daemons = [0; 3];
        for (index, daemon) in daemons.iter_mut().enumerate() {
            let mut state = LeaseState::new(peer(index, 1), self.times(index), 1);
            state.apply_read(self.base, self.base, &records(&state, &log), true);
            *daemon = self.daemons.put(state);
        }
        self.noted(World {
            t: 0,
            daemons,
            log: self.logs.put(log),
            pending: self.pendings.put(pending),
            read: None,
            ask: None,
            reply: None,
            lent: [None; 3],
            returned: false,
            named: 0,
        })
    }

    fn next(&self, world: &World) -> Vec<(String, World)> {
        let options = &self.options;
        let mut next = Vec::new();
        self.pass_time(world, &mut next);
        self.take_records(world, &mut next);
        self.read_at_once(world, B, &mut next);
        self.read_at_once(world, C, &mut next);
        if options.slow_reads {
            self.read(world, &mut next);
        } else {
            self.read_at_once(world, A, &mut next);
        }
        if options.asks {
            self.ask(world, &mut next);
            self.promise(world, &mut next);
        }
        if world.named < options.names {
            self.name(world, &mut next);
        }
        for daemon in [B, C] {
            if options.reclaims {
                self.reclaim(world, daemon, &mut next);
            }
            if options.takes && daemon == B {
                self.take_open(world, daemon, &mut next);
            }
        }
        if options.hands_over {
            self.hand_over(world, A, C, &mut next);
            self.hand_over(world, C, A, &mut next);
        }
        if options.retires {
            self.retire(world, &mut next);
        }
        if options.returns {
            self.come_back(world, &mut next);
        }
        next
    }

    fn violated(&self, world: &World) -> bool {
        let spends = |daemon| self.may_spend(world, daemon);
        for daemon in 0..NAMES.len() {
            if !spends(daemon) {
                continue;
            }
            for other in 0..NAMES.len() {
                if other != daemon && self.in_use(world, other) {
                    return true;
                }
            }
        }
        false
    }
}
