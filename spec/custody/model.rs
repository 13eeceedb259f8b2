//! State space of the model: three daemons, the log, messages on their way and time.

mod actions;

use std::time::{Duration, Instant};

use banyanbeam::allowance::leases::{EscrowTimes, LeaseState};
use banyanbeam::allowance::record::EscrowRecord;
use banyanbeam::allowance::replay::Ledger;
use banyanbeam::link::PeerName;

use super::mutation::Mutation;
use super::options::Options;
use super::support::{Interner, Model};

/// Indices of the daemons.
const A: usize = 0;
const B: usize = 1;
const C: usize = 2;
const NAMES: [&str; 3] = ["A", "B", "C"];

/// One state of the model. `daemons`, `log` and `pending` are the numbers of interned values.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct World {
    tick: u8,
    daemons: [u32; 3],
    log: u32,
    /// Records that were sent; the flag marks one that was appended and may be appended again.
    pending: u32,
    /// A's read: when it was sent, and how many records the log answered with.
    read: Option<(u8, Option<u8>)>,
    /// A's lease request: when it was sent and to which daemon.
    lease_request: Option<(u8, u8)>,
    /// The lease on its way to A: when it was requested, from whom, and whether it is endless.
    lease_answer: Option<(u8, u8, bool)>,
    /// The last tick at which each daemon could spend, and so could lend.
    last_spendable: [Option<u8>; 3],
    /// Whether B has ended and started again.
    restarted: bool,
    /// How often A has named a grantor.
    naming_count: u8,
}

/// Records sent, each with whether it was appended already.
type Pending = Vec<(EscrowRecord, bool)>;

/// The model for one set of options.
pub struct LeaseModel {
    options: Options,
    /// Instant of tick 0 by every clock.
    base: Instant,
    daemons: Interner<LeaseState>,
    logs: Interner<Vec<EscrowRecord>>,
    pendings: Interner<Pending>,
}

/// Length of a tick by an exact clock, in seconds.
pub const TICK_S: u64 = 10;
/// Length of a tick by the slow clocks of A and of borrowers, in seconds.
const SLOW_TICK_S: u64 = 9;
/// Largest number of records in the log.
const LOG_LIMIT_COUNT: usize = 5;

fn peer(index: usize, incarnation: u64) -> PeerName {
    PeerName {
        daemon: NAMES[index].into(),
        incarnation,
    }
}

impl LeaseModel {
    /// Returns a model with these options.
    pub fn new(options: Options) -> LeaseModel {
        LeaseModel {
            options,
            base: Instant::now(),
            daemons: Interner::default(),
            logs: Interner::default(),
            pendings: Interner::default(),
        }
    }

    /// Returns whether this rule is broken.
    fn has(&self, mutation: Mutation) -> bool {
        self.options.mutation == Some(mutation)
    }

    /// Returns the times that a daemon uses; a mutation may shorten them for B and C.
    fn times(&self, daemon: usize) -> EscrowTimes {
        let mut times = EscrowTimes {
            lease_time: Duration::from_secs(u64::from(self.options.lease_ticks) * TICK_S),
            loan_time: Duration::from_secs(self.options.loan_s),
            clock_margin: Duration::from_secs(self.options.loan_s),
        };
        if daemon == A {
            return times;
        }
        if self.has(Mutation::NoMargin) {
            times.clock_margin = Duration::ZERO;
        }
        if self.has(Mutation::NoWaitForLoans) {
            times.loan_time = Duration::ZERO;
            times.clock_margin = Duration::ZERO;
        }
        if self.has(Mutation::NoWaitForReads) {
            times.lease_time /= 2;
        }
        times
    }

    /// Returns the time by a daemon's clock at a tick.
    fn clock(&self, daemon: usize, tick: u8) -> Instant {
        let tick_s = if daemon == A { SLOW_TICK_S } else { TICK_S };
        self.base + Duration::from_secs(tick_s * u64::from(tick))
    }

    fn daemon(&self, world: &World, daemon: usize) -> LeaseState {
        (*self.daemons.get(world.daemons[daemon])).clone()
    }

    /// Returns the state after a daemon's state has changed.
    fn with_daemon(&self, world: &World, daemon: usize, state: LeaseState) -> World {
        let mut next = *world;
        next.daemons[daemon] = self.daemons.put(state);
        self.with_spenders_noted(next)
    }

    /// Adds a record to those on their way, unless it is there already.
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

    /// Updates `last_spendable` for the daemons that may spend now.
    fn with_spenders_noted(&self, mut world: World) -> World {
        for daemon in 0..NAMES.len() {
            if self.may_spend(&world, daemon) {
                world.last_spendable[daemon] = Some(world.tick);
            }
        }
        world
    }

    fn may_spend(&self, world: &World, daemon: usize) -> bool {
        let state = self.daemons.get(world.daemons[daemon]);
        let now = self.clock(daemon, world.tick);
        let spends_on_read = self.has(Mutation::ReadsCountDespiteGrantor)
            && daemon == A
            && state.has_fresh_read(now)
            && state.tenures().contains_key(&0);
        spends_on_read || state.may_spend(now, 0)
    }

    /// Returns whether a daemon could spend so recently that tokens it lent may still be in use.
    fn may_be_in_use(&self, world: &World, daemon: usize) -> bool {
        let Some(last) = world.last_spendable[daemon] else {
            return false;
        };
        u64::from(world.tick - last) * SLOW_TICK_S < self.options.loan_s
    }

    fn pass_time(&self, world: &World, next: &mut Vec<(String, World)>) {
        if world.tick < self.options.horizon_ticks {
            let tick = world.tick + 1;
            let later = self.with_spenders_noted(World { tick, ..*world });
            next.push((format!("time is {tick}"), later));
        }
    }

    /// Adds the steps in which the log appends one of the records on their way.
    fn append_records(&self, world: &World, next: &mut Vec<(String, World)>) {
        let pending = self.pendings.get(world.pending);
        let log = self.logs.get(world.log);
        let known = if self.options.named_before { 0 } else { 1 };
        if log.len() + known >= LOG_LIMIT_COUNT {
            return;
        }
        for (index, (record, taken)) in pending.iter().enumerate() {
            let mut left = (*pending).clone();
            if self.options.duplicates_records && !taken {
                left[index].1 = true;
                left.sort();
            } else {
                left.remove(index);
            }
            let mut log = (*log).clone();
            log.extend(self.mutated(&log, record));
            let after = World {
                log: self.logs.put(log),
                pending: self.pendings.put(left),
                ..*world
            };
            next.push((format!("the log takes {record:?}"), after));
        }
    }

    /// Returns the records to append in place of `record` so that replay breaks the rule.
    fn mutated(&self, log: &[EscrowRecord], record: &EscrowRecord) -> Vec<EscrowRecord> {
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
            } if self.has(Mutation::NameWithoutBase) => {
                *grantor_since = ledger.holders().get(holder).map_or(0, |h| h.grantor_since);
            }
            EscrowRecord::HandOver { next, .. } if self.has(Mutation::HandOverWithoutBase) => {
                *next = ledger.next_offset;
            }
            EscrowRecord::Reclaim {
                holder,
                grantor_since,
                by,
            } if self.has(Mutation::FormerGrantorReclaims) => {
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

    /// Adds the step in which A sends a read, the log answers it, or A gets the answer.
    fn read(&self, world: &World, next: &mut Vec<(String, World)>) {
        let log = self.logs.get(world.log);
        match world.read {
            None => {
                let read = Some((world.tick, None));
                next.push(("A sends a read".to_owned(), World { read, ..*world }));
            }
            Some((sent, None)) => {
                let read = Some((sent, Some(log.len() as u8)));
                next.push(("the log answers A".to_owned(), World { read, ..*world }));
            }
            Some((sent, Some(length))) => {
                let now = self.clock(A, world.tick);
                let asked_at = match self.has(Mutation::FreshFromArrival) {
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

    /// Adds the step in which a daemon reads the log without delay. It covers slow reads too: those
    /// show more than their age says, and only make the daemon act later.
    fn read_at_once(&self, world: &World, daemon: usize, next: &mut Vec<(String, World)>) {
        let log = self.logs.get(world.log);
        let mut state = self.daemon(world, daemon);
        let is_new = state.ledger().next_offset < log.len() as u64;
        let grantor = |name| state.ledger().holders().get(name)?.grantor.clone();
        let holds = !state.tenures().is_empty() && grantor(&peer(daemon, 1)).is_none();
        if !is_new && !holds {
            return;
        }
        let now = self.clock(daemon, world.tick);
        let records = records(&state, &log);
        state.apply_read(now, now, &records, true);
        let after = self.with_daemon(world, daemon, state);
        if after != *world {
            next.push((format!("{} reads the log", NAMES[daemon]), after));
        }
    }
}

/// Returns the records that a daemon has not read yet, with their offsets.
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
            grantor: (!self.options.no_grantor).then(|| peer(B, 1)),
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
        self.with_spenders_noted(World {
            tick: 0,
            daemons,
            log: self.logs.put(log),
            pending: self.pendings.put(pending),
            read: None,
            lease_request: None,
            lease_answer: None,
            last_spendable: [None; 3],
            restarted: false,
            naming_count: 0,
        })
    }

    fn next(&self, world: &World) -> Vec<(String, World)> {
        let options = &self.options;
        let mut next = Vec::new();
        self.pass_time(world, &mut next);
        self.append_records(world, &mut next);
        self.read_at_once(world, B, &mut next);
        self.read_at_once(world, C, &mut next);
        if options.slow_reads {
            self.read(world, &mut next);
        } else {
            self.read_at_once(world, A, &mut next);
        }
        if options.requests_leases {
            self.request_lease(world, &mut next);
            self.exchange_lease(world, &mut next);
        }
        if world.naming_count < options.naming_limit_count {
            self.name_grantor(world, &mut next);
        }
        for daemon in [B, C] {
            if options.reclaims {
                self.reclaim(world, daemon, &mut next);
            }
            if options.takes_over && daemon == B {
                self.take_over(world, daemon, &mut next);
            }
        }
        if options.hands_over {
            self.hand_over(world, A, C, &mut next);
            self.hand_over(world, C, A, &mut next);
        }
        if options.grantor_leaves {
            self.begin_leaving(world, &mut next);
        }
        if options.grantor_restarts {
            self.restart_grantor(world, &mut next);
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
                if other != daemon && self.may_be_in_use(world, other) {
                    return true;
                }
            }
        }
        false
    }
}
