//! Requests of the world of the tests, and the answers of good and bad versions.

use std::time::Duration;

use rand::Rng;

use super::super::{RolloutEvent, RolloutStep};
use super::world::{World, NEW, TRIAL_SHARE};
use crate::health::{FailureKind, RequestEnd, StartedRequest};
use crate::types::DaemonId;

/// Mean time of a request.
const WORK_MS: f64 = 400.0;

impl World {
    pub fn end_requests(&mut self, daemon: &DaemonId) {
        let now = self.now;
        let machine = self.machines.get_mut(daemon).expect("a machine");
        let running = std::mem::take(&mut machine.running);
        let (ended, running) = running.into_iter().partition(|run| run.0 <= now);
        machine.running = running;
        for (_, key, end, elapsed) in ended {
            self.handle(daemon, RolloutEvent::Finished { key, end, elapsed });
        }
    }

    /// Sends a request to an open server, as entries would: the trial's share to its servers.
    pub fn send_request(&mut self, daemons: &[DaemonId]) {
        let of = |step| -> Vec<&DaemonId> {
            let alive = |daemon: &&DaemonId| {
                let machine = &self.machines[*daemon];
                machine.state.is_some()
                    && !self.domains_out.contains(machine.domain)
                    && self.step(daemon) == step
            };
            daemons.iter().filter(alive).collect()
        };
        let mut open = of(RolloutStep::None);
        open.extend(of(RolloutStep::Full));
        let trial = of(RolloutStep::Trial);
        let is_trial = !trial.is_empty() && self.random.random_bool(TRIAL_SHARE);
        let among = if is_trial { trial } else { open };
        self.total_count += 1;
        if among.is_empty() {
            self.refused_count += 1;
            return;
        }
        let daemon = among[self.random.random_range(0..among.len())].clone();
        self.start_request(&daemon);
    }

    fn start_request(&mut self, daemon: &DaemonId) {
        let route = if self.random.random_bool(0.5) {
            "a"
        } else {
            "b"
        };
        let mut time_ms = WORK_MS * self.random.random_range(0.5..1.5);
        let mut end = RequestEnd::Good;
        let machine = &self.machines[daemon];
        let age = self.now - self.ordered_at;
        let is_new = machine.version == NEW && !self.orders.is_empty();
        let is_bad = is_new
            && age >= Duration::from_millis(self.bad.from_ms)
            && self.bad.route.is_none_or(|bad| bad == route)
            && machine.running.len() >= self.bad.load_count;
        let mut answer_is_bad = false;
        if is_bad && self.random.random_bool(self.bad.failed_share) {
            (time_ms, end) = (time_ms * 0.5, RequestEnd::Failed(FailureKind::Status));
            answer_is_bad = true;
        } else if is_bad && self.random.random_bool(self.bad.slow_share) {
            time_ms *= 8.0;
            answer_is_bad = true;
        } else if machine.gray && self.random.random_bool(0.85) {
            (time_ms, end) = (1.0, RequestEnd::Failed(FailureKind::Broken));
        }
        if is_new {
            self.new_count += 1;
            self.last_new_at = Some(self.now);
            self.bad_count += u32::from(answer_is_bad);
            if self.bad_count == 50 && self.limit_at.is_none() {
                self.limit_at = Some(self.now);
            }
        }
        self.last_id += 1;
        let key = (u128::from(self.last_id), 1);
        let elapsed = Duration::from_micros((time_ms * 1e3) as u64);
        let until = self.now + elapsed;
        let machine = self.machines.get_mut(daemon).expect("a machine");
        machine.running.push((until, key, end, elapsed));
        let request = StartedRequest {
            key,
            server: daemon.clone(),
            service: "s".into(),
            route: route.into(),
        };
        self.handle(daemon, RolloutEvent::Started(request));
    }
}
