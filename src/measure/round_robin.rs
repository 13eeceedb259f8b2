//! Round-robin choice of servers, a baseline that ignores how servers behave.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::contract::View;
use crate::membership::Fleet;
use crate::routing::candidates::Candidates;
use crate::routing::choice::ServerChoice;
use crate::routing::{AttemptOutcome, RequestPlan, Target};
use crate::types::{BackendServerId, DomainId, ServiceId};

/// Chooses the servers of each service round robin, without regard to load or failures.
pub struct RoundRobin {
    /// Servers that may be chosen, by service.
    candidates: Candidates,
    /// Position in each service's rotation.
    positions: HashMap<ServiceId, usize>,
    /// Position at which the rotation of every service starts.
    first_position: usize,
}

impl RoundRobin {
    /// Starts every rotation at `first_position`, so that entries do not choose in lockstep.
    pub fn new(own_domain: DomainId, first_position: usize) -> RoundRobin {
        RoundRobin {
            candidates: Candidates::new(own_domain),
            positions: HashMap::new(),
            first_position,
        }
    }
}

impl ServerChoice for RoundRobin {
    fn pick(
        &mut self,
        _now: Instant,
        plan: &RequestPlan,
        tried: &[BackendServerId],
    ) -> Option<Target> {
        let service = self.candidates.of(&plan.service)?;
        let first_position = self.first_position;
        let position = self
            .positions
            .entry(plan.service.clone())
            .or_insert(first_position);
        for _ in 0..service.all.len() {
            *position += 1;
            let candidate = &service.all[*position % service.all.len()];
            if !tried.contains(&candidate.target.server) {
                return Some(candidate.target.clone());
            }
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

    fn update_view(&mut self, view: Arc<View>) {
        self.candidates.update_view(view);
    }

    fn update_fleet(&mut self, fleet: Arc<Fleet>) {
        self.candidates.update_fleet(fleet);
    }
}
