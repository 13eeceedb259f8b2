//! The daemons of the model, and the server choice of its entries.

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
use super::step::STRAY_ENTRY;
use super::world::{FIRST_START_MS, GUARD_COUNT, ISSUED_MS, NOW, SECOND_START_MS};

/// One daemon: its guard, its idempotency home, and what its server runs.
pub struct ModelDaemon {
    /// Incarnations that this process has used, the present one last.
    pub incarnations: Vec<u64>,
    /// Real state of the guard.
    pub guard: GuardState,
    /// Real state of the idempotency home.
    pub home: IdempotencyState,
    /// Request that holds the idempotency key on this home.
    pub key_held_by: Option<RequestId>,
    /// Phase of each attempt that the guard's record must contain, derived from events and actions.
    pub expected_record: BTreeMap<AttemptKey, &'static str>,
    /// Attempts that the server is running.
    pub running: BTreeSet<AttemptKey>,
    /// Entry that sent the attempt being delivered.
    pub arriving_from: usize,
    /// Entry that sent each attempt.
    pub senders: BTreeMap<AttemptKey, usize>,
}

/// Distance between an incarnation and the one that it is raised to.
const RAISE_GAP_COUNT: u64 = 10;

impl ModelDaemon {
    /// Returns the present incarnation.
    pub fn incarnation(&self) -> u64 {
        self.incarnations[self.incarnations.len() - 1]
    }

    /// Continues under a raised incarnation.
    pub fn raise(&mut self, index: usize, mutation: Mutation) {
        if mutation == Mutation::RaiseForgets {
            self.guard = model_daemon(index, self.incarnation(), mutation).guard;
            self.expected_record.clear();
        }
        let incarnation = self.incarnation() + RAISE_GAP_COUNT;
        self.incarnations.push(incarnation);
        self.guard
            .handle(*NOW, GuardEvent::Incarnation(incarnation));
    }

    /// Updates the expected record by what an event does beyond what its actions show.
    pub fn record_event(&mut self, event: &GuardEvent) {
        match event {
            GuardEvent::Arrived(request) if self.incarnations.contains(&request.incarnation) => {
                self.expected_record
                    .entry(request.key())
                    .or_insert("waiting");
            }
            GuardEvent::Finished { key, .. } => {
                self.expected_record.insert(*key, "ended");
            }
            GuardEvent::Fence(fence) if self.incarnations.contains(&fence.incarnation) => {
                let key = (fence.request, fence.attempt);
                if self
                    .expected_record
                    .get(&key)
                    .is_none_or(|phase| *phase == "waiting")
                {
                    self.expected_record.insert(key, "fenced");
                }
            }
            _ => {}
        }
    }
}

/// Returns the identifier of an entry's request, issued at `ISSUED_MS`.
pub fn request_id(entry: usize) -> RequestId {
    (u128::from(ISSUED_MS) << 80) | (entry as u128 + 1)
}

/// Returns the idempotency key of all requests with a key, issued at `ISSUED_MS`.
pub fn idempotency_key() -> String {
    format_id((u128::from(ISSUED_MS) << 80) | (7 << 76) | (0b10 << 62) | 1)
}

/// Returns a daemon that has just started, with one announced server.
pub fn model_daemon(index: usize, incarnation: u64, mutation: Mutation) -> ModelDaemon {
    let settings = GuardSettings {
        queue_count: 1,
        ..Default::default()
    };
    let mut guard = GuardState::new(settings, incarnation);
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
        Mutation::HomeForgets => FIRST_START_MS,
        _ if incarnation == 1 => FIRST_START_MS,
        _ => SECOND_START_MS,
    };
    let mut home = IdempotencyState::new(settings, format!("g{index}").as_str().into(), began_ms);
    home.handle(
        *NOW,
        began_ms,
        IdempotencyEvent::Fleet(fleet([incarnation; GUARD_COUNT])),
    );
    ModelDaemon {
        incarnations: vec![incarnation],
        guard,
        home,
        key_held_by: None,
        expected_record: BTreeMap::new(),
        running: BTreeSet::new(),
        arriving_from: STRAY_ENTRY,
        senders: BTreeMap::new(),
    }
}

/// Returns a fleet of the daemons in these incarnations.
pub fn fleet(incarnations: [u64; GUARD_COUNT]) -> Arc<Fleet> {
    let mut fleet = Fleet::default();
    for (index, incarnation) in incarnations.into_iter().enumerate() {
        let entry = DaemonEntry {
            daemon: format!("g{index}").as_str().into(),
            incarnation,
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

/// Server choice that takes the first server not tried yet, in order of names.
pub struct FirstUntried;

impl ServerChoice for FirstUntried {
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
