//! The daemons of the model, and the choice of server.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use banyanbeam::contract::View;
use banyanbeam::guard::message::AttemptKey;
use banyanbeam::guard::state::GuardState;
use banyanbeam::guard::{Announcement, GuardEvent};
use banyanbeam::idempotency::state::IdempotencyState;
use banyanbeam::idempotency::IdempotencyEvent;
use banyanbeam::membership::{DaemonEntry, Fleet};
use banyanbeam::routing::choice::ServerChoice;
use banyanbeam::routing::{AttemptOutcome, RequestPlan, Target};
use banyanbeam::settings::guard::GuardSettings;
use banyanbeam::settings::idempotency::IdempotencySettings;
use banyanbeam::types::{format_id, BackendServerId, RequestId};

use super::mutation::Mutation;
use super::step::STRAY;
use super::world::{FIRST_LIFE_MS, GUARD_COUNT, ISSUED_MS, NOW, SECOND_LIFE_MS};

/// One daemon: its guard, its home, and what its server runs.
pub struct DaemonPart {
    /// The numbers that this process has borne, the present one last.
    pub borne: Vec<u64>,
    pub guard: GuardState,
    pub home: IdempotencyState,
    /// The request that holds the key here.
    pub key_held_by: Option<RequestId>,
    /// What the guard's record must hold, as its actions tell.
    pub record: BTreeMap<AttemptKey, &'static str>,
    pub running: BTreeSet<AttemptKey>,
    /// The sender of the attempt that arrives.
    pub arriving: usize,
    /// The entry that sent each attempt.
    pub senders: BTreeMap<AttemptKey, usize>,
}

/// A number that is raised lies this far above the last one.
const RAISE_GAP_COUNT: u64 = 10;

impl DaemonPart {
    pub fn life(&self) -> u64 {
        self.borne[self.borne.len() - 1]
    }

    /// Goes on under a greater number.
    pub fn raise(&mut self, index: usize, mutation: Mutation) {
        if mutation == Mutation::RaiseForgets {
            self.guard = daemon_part(index, self.life(), mutation).guard;
            self.record.clear();
        }
        let life = self.life() + RAISE_GAP_COUNT;
        self.borne.push(life);
        self.guard.handle(*NOW, GuardEvent::Incarnation(life));
    }

    /// Notes what an event does to the guard's record, beyond what its actions tell.
    pub fn note(&mut self, event: &GuardEvent) {
        match event {
            GuardEvent::Arrived(request) if self.borne.contains(&request.incarnation) => {
                self.record.entry(request.key()).or_insert("waiting");
            }
            GuardEvent::Finished { key, .. } => {
                self.record.insert(*key, "ended");
            }
            GuardEvent::Fence(fence) if self.borne.contains(&fence.incarnation) => {
                let key = (fence.request, fence.attempt);
                if self
                    .record
                    .get(&key)
                    .is_none_or(|phase| *phase == "waiting")
                {
                    self.record.insert(key, "fenced");
                }
            }
            _ => {}
        }
    }
}

pub fn request_id(entry: usize) -> RequestId {
    (u128::from(ISSUED_MS) << 80) | (entry as u128 + 1)
}

pub fn idempotency_key() -> String {
    format_id((u128::from(ISSUED_MS) << 80) | (7 << 76) | (0b10 << 62) | 1)
}

pub fn daemon_part(index: usize, life: u64, mutation: Mutation) -> DaemonPart {
    let settings = GuardSettings {
        queue_count: 1,
        ..Default::default()
    };
    let mut guard = GuardState::new(settings, life);
    guard.handle(
        *NOW,
        GuardEvent::Announced(Announcement {
            server: format!("s{index}").as_str().into(),
            slots_count: 1,
            ..Default::default()
        }),
    );
    let settings = IdempotencySettings {
        margin_ms: 100,
        ..Default::default()
    };
    let began_ms = match mutation {
        Mutation::HomeForgets => FIRST_LIFE_MS,
        _ if life == 1 => FIRST_LIFE_MS,
        _ => SECOND_LIFE_MS,
    };
    let mut home = IdempotencyState::new(settings, format!("g{index}").as_str().into(), began_ms);
    home.handle(
        *NOW,
        began_ms,
        IdempotencyEvent::Fleet(fleet([life; GUARD_COUNT])),
    );
    DaemonPart {
        borne: vec![life],
        guard,
        home,
        key_held_by: None,
        record: BTreeMap::new(),
        running: BTreeSet::new(),
        arriving: STRAY,
        senders: BTreeMap::new(),
    }
}

pub fn fleet(lives: [u64; GUARD_COUNT]) -> Arc<Fleet> {
    let mut fleet = Fleet::default();
    for (index, life) in lives.into_iter().enumerate() {
        let entry = DaemonEntry {
            daemon: format!("g{index}").as_str().into(),
            incarnation: life,
            version: 1,
            domain: "d".into(),
            guard_address: "127.0.0.1:1".parse().unwrap(),
            link_address: "127.0.0.1:2".parse().unwrap(),
            leaving: false,
            servers: Vec::new(),
        };
        fleet.daemons.insert(entry.daemon.clone(), Arc::new(entry));
    }
    Arc::new(fleet)
}

/// Takes servers in order of their names.
pub struct InOrder;

impl ServerChoice for InOrder {
    fn pick(
        &mut self,
        _now: Instant,
        _plan: &RequestPlan,
        tried: &[BackendServerId],
    ) -> Option<Target> {
        for index in 0..GUARD_COUNT {
            let server: BackendServerId = format!("s{index}").as_str().into();
            if tried.contains(&server) {
                continue;
            }
            return Some(Target {
                daemon: format!("g{index}").as_str().into(),
                guard_address: "127.0.0.1:1".parse().unwrap(),
                server,
            });
        }
        None
    }

    fn attempt_sent(&mut self, _now: Instant, _plan: &RequestPlan, _target: &Target) {}

    fn attempt_ended(
        &mut self,
        _now: Instant,
        _plan: &RequestPlan,
        _target: &Target,
        _outcome: &AttemptOutcome,
        _elapsed: Duration,
    ) {
    }

    fn update_view(&mut self, _view: Arc<View>) {}

    fn update_fleet(&mut self, _fleet: Arc<Fleet>) {}
}
