//! State space of the model: two drivers, the store, and the calls on their way.

use std::time::{Duration, Instant};

use banyanbeam::feed::FeedError;
use banyanbeam::rollout::course::Phase;
use banyanbeam::rollout::record::{StatusRecord, StoreCall};
use banyanbeam::rollout::{ConditionalWrite, RolloutState, RolloutStatus, RolloutStep, StatusPage};

use super::support::Model;

/// Most records that the store takes; the search ends there.
const RECORD_LIMIT_COUNT: usize = 4;
/// Drivers of the model.
const DRIVER_COUNT: usize = 2;
/// Most calls whose answer is lost; they arrive later or never.
const LOSS_LIMIT_COUNT: u8 = 1;

/// A rule that is broken on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// The store takes every write.
    NoCondition,
    /// Evidence does not drop a status that is to be written.
    KeepWanted,
    /// The step of another driver does not drop a status that is to be written.
    KeepAfterNews,
}

/// One driver.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Driver {
    /// What it knows of the record.
    record: StatusRecord,
    /// Its phase.
    phase: Phase,
    /// Whether it knows evidence against the version.
    knows_bad: bool,
    /// The call that it waits for; none if it gave up or waits for nothing.
    waits: bool,
}

/// One state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct World {
    /// The drivers.
    drivers: Vec<Driver>,
    /// Records of the store.
    log: Vec<RolloutStatus>,
    /// Calls on their way to the store: driver, whether it still waits, and the call.
    calls: Vec<(usize, bool, StoreCall)>,
    /// Whether a driver was killed.
    killed: bool,
    /// Answers that were lost.
    lost_count: u8,
    /// Whether `completed` was sent with knowledge of evidence.
    sent_despite_evidence: bool,
}

/// The model, with or without a broken rule.
pub struct RolloutModel {
    /// The rule that is broken.
    mutation: Option<Mutation>,
    /// Whether an answer is lost; else a driver is killed.
    loses: bool,
    /// When results arrive. Calls are made later, after any wait between them.
    now: Instant,
}

/// Returns a status of the only order.
fn status(state: RolloutState, step: RolloutStep) -> RolloutStatus {
    RolloutStatus {
        service: "s".into(),
        target_version: "v2".into(),
        state,
        order: 1,
        step,
        age_ms: 0,
        reason: String::new(),
    }
}

/// Returns a driver that knows nothing.
fn new_driver() -> Driver {
    Driver {
        record: StatusRecord::default(),
        phase: Phase::Reading,
        knows_bad: false,
        waits: false,
    }
}

impl RolloutModel {
    /// Creates the model with this rule broken, and with a lost answer or with a kill.
    pub fn new(mutation: Option<Mutation>, loses: bool) -> RolloutModel {
        let now = Instant::now();
        RolloutModel {
            mutation,
            loses,
            now,
        }
    }

    /// Takes the step that a driver's phase asks for. Returns false if there is none.
    fn decide(&self, driver: &mut Driver) -> bool {
        let may_be_completed = driver.record.may_be_completed();
        let keeps = self.mutation == Some(Mutation::KeepWanted);
        match driver.phase {
            Phase::Waiting => {
                driver.phase = Phase::Trial;
                if !driver.knows_bad {
                    driver
                        .record
                        .want(status(RolloutState::Running, RolloutStep::Full));
                }
            }
            Phase::Trial | Phase::Full if driver.knows_bad => {
                if may_be_completed {
                    return false;
                }
                if !keeps {
                    driver.record.cancel();
                    driver.phase = Phase::RollingBack;
                    return true;
                }
                return false;
            }
            Phase::Trial => {
                let full = status(RolloutState::Running, RolloutStep::Full);
                if driver.record.wants() == Some(&full) {
                    return false;
                }
                driver.record.want(full);
            }
            Phase::Full if !may_be_completed && driver.record.wants().is_none() => {
                let completed = status(RolloutState::Completed, RolloutStep::Full);
                driver.record.want(completed);
            }
            Phase::RollingBack if driver.record.wants().is_none() => {
                let rolled_back = status(RolloutState::RolledBack, RolloutStep::Closed);
                driver.record.want(rolled_back);
            }
            _ => return false,
        }
        true
    }

    /// Passes the status that was read or written to the driver, as `Driver::adopt` does.
    fn adopt(&self, driver: &mut Driver) {
        let Some(status) = driver.record.status().cloned() else {
            if driver.phase == Phase::Reading {
                driver.phase = Phase::Waiting;
                let running = self::status(RolloutState::Running, RolloutStep::Trial);
                driver.record.want(running);
            }
            return;
        };
        if let Some(phase) = driver.phase.after(&status) {
            if self.mutation != Some(Mutation::KeepAfterNews) {
                driver.record.cancel();
            }
            driver.phase = phase;
        }
    }

    /// Carries out a call at the store, and answers it if its driver still waits.
    fn arrive(&self, world: &mut World, index: usize) {
        let (number, is_awaited, call) = world.calls.remove(index);
        let end = world.log.len() as u64;
        let driver = &mut world.drivers[number];
        if is_awaited {
            driver.waits = false;
        }
        match call {
            StoreCall::Read => {
                let status = world.log.last().cloned();
                let page = StatusPage { status, end };
                if is_awaited && driver.record.read(self.now, Ok(page)) {
                    self.adopt(driver);
                }
            }
            StoreCall::Write(status, at) => {
                let holds = at == end || self.mutation == Some(Mutation::NoCondition);
                if holds {
                    world.log.push(status);
                }
                let result = match holds {
                    true => ConditionalWrite::Written,
                    false => ConditionalWrite::Changed,
                };
                if is_awaited && driver.record.written(self.now, Ok(result)) {
                    self.adopt(driver);
                }
            }
        }
    }

    /// Lets a driver give up the call that it waits for, which may arrive later.
    fn give_up(&self, world: &mut World, number: usize) {
        let is_own = |call: &&mut (usize, bool, StoreCall)| call.0 == number && call.1;
        let Some(call) = world.calls.iter_mut().find(is_own) else {
            return;
        };
        call.1 = false;
        let lost = FeedError::Unavailable(String::new());
        let is_read = call.2 == StoreCall::Read;
        let driver = &mut world.drivers[number];
        driver.waits = false;
        match is_read {
            true => driver.record.read(self.now, Err(lost)),
            false => driver.record.written(self.now, Err(lost)),
        };
        // A read that nobody waits for does nothing.
        world
            .calls
            .retain(|call| call.1 || call.2 != StoreCall::Read);
    }

    /// Returns the steps of one driver.
    fn driver_steps(&self, world: &World, number: usize) -> Vec<(String, World)> {
        let mut steps = Vec::new();
        let name = ["A", "B"][number];
        let mut add = |what: &str, change: &dyn Fn(&mut World) -> bool| {
            let mut next = world.clone();
            if change(&mut next) {
                steps.push((format!("{name} {what}"), next));
            }
        };
        add("decides", &|next| self.decide(&mut next.drivers[number]));
        add("learns of evidence", &|next| {
            !std::mem::replace(&mut next.drivers[number].knows_bad, true)
        });
        add("calls the store", &|next| {
            let driver = &mut next.drivers[number];
            if driver.knows_bad {
                // The decision comes before the call, as in `Rollouts::advance`.
                self.decide(driver);
            }
            let later = self.now + Duration::from_secs(60);
            let Some(call) = driver.record.next_call(later) else {
                return false;
            };
            driver.waits = true;
            if let StoreCall::Write(status, _) = &call {
                let is_completed = status.state == RolloutState::Completed;
                next.sent_despite_evidence |= is_completed && driver.knows_bad;
            }
            next.calls.push((number, true, call));
            true
        });
        add("gives up its call", &|next| {
            let may =
                self.loses && next.drivers[number].waits && next.lost_count < LOSS_LIMIT_COUNT;
            next.lost_count += 1;
            self.give_up(next, number);
            may
        });
        add("is killed", &|next| {
            next.drivers[number] = new_driver();
            for call in next.calls.iter_mut().filter(|call| call.0 == number) {
                call.1 = false;
            }
            next.calls
                .retain(|call| call.1 || call.2 != StoreCall::Read);
            !self.loses && !std::mem::replace(&mut next.killed, true)
        });
        steps
    }
}

impl Model for RolloutModel {
    type World = World;

    fn start(&self) -> World {
        World {
            drivers: vec![new_driver(); DRIVER_COUNT],
            log: Vec::new(),
            calls: Vec::new(),
            killed: false,
            lost_count: 0,
            sent_despite_evidence: false,
        }
    }

    fn next(&self, world: &World) -> Vec<(String, World)> {
        if world.log.len() >= RECORD_LIMIT_COUNT {
            return Vec::new();
        }
        let mut steps = Vec::new();
        for number in 0..DRIVER_COUNT {
            steps.extend(self.driver_steps(world, number));
        }
        for index in 0..world.calls.len() {
            let mut next = world.clone();
            let what = format!("{:?} arrives", world.calls[index]);
            self.arrive(&mut next, index);
            steps.push((what, next));
        }
        steps
    }

    fn violated(&self, world: &World) -> bool {
        let is_end = |status: &RolloutStatus| status.state != RolloutState::Running;
        let ended_at = world.log.iter().position(is_end);
        let goes_on = ended_at.is_some_and(|at| at + 1 < world.log.len());
        let falls_back = world
            .log
            .windows(2)
            .any(|pair| pair[0].step == RolloutStep::Full && pair[1].step == RolloutStep::Trial);
        goes_on || falls_back || world.sent_despite_evidence
    }
}
