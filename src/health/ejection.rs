//! Decisions of health from a permit to full service: ejection, probes, return.

use std::time::{Duration, Instant};

use rand::Rng;

use super::detector::Alarm;
use super::ejection_state::{
    Charge, Standing, BAD_PROBE_LIMIT_COUNT, RETURN_STEPS_PERMILLE, STEP_COUNT, STEP_LIMIT,
    STEP_TIME,
};
use super::message::{HealthAction, HealthDecision, Verdict};
use super::state::{HealthState, RETURN_SCALE};
use super::watch::{PermitHold, Watch};
use crate::settings::health::HealthSettings;
use crate::types::{BackendServerId, RouteId};

/// An alarm asks peers, or for its permit, again after this time.
const ASK_AGAIN: Duration = Duration::from_secs(1);

/// A healthy time of this many waits ends the growth of waits.
const HEALTHY_BACKOFFS: u32 = 10;

/// Part of a wait that is added at random, so that servers do not return in step.
const JITTER_SHARE: f64 = 0.25;

impl HealthState {
    pub(super) fn permit(
        &mut self,
        now: Instant,
        server: &BackendServerId,
        holds_until: Option<Instant>,
        actions: &mut Vec<HealthAction>,
    ) {
        let Some(watch) = self.watches.get_mut(server) else {
            return;
        };
        let granted = holds_until.filter(|until| now < *until);
        if let Some(holds_until) = granted {
            let hold = PermitHold {
                granted_at: now,
                holds_until,
                renewed_at: now,
            };
            let service = watch.service.clone();
            match &watch.standing {
                Standing::AwaitingPermit { charge, .. } => {
                    let charge = charge.clone();
                    watch.permit = Some(hold);
                    self.eject(now, server, &charge, actions);
                }
                standing if standing.needs_permit() => watch.permit = Some(hold),
                _ => actions.push(HealthAction::GiveUpPermit {
                    service,
                    server: server.clone(),
                }),
            }
            return;
        }
        if let Standing::AwaitingPermit { charge, denied, .. } = &mut watch.standing {
            let first = !std::mem::replace(denied, true);
            let charge = charge.clone();
            if first {
                actions.push(decide(watch, Verdict::PermitDenied, &charge));
            }
        }
    }

    pub(super) fn eject(
        &mut self,
        now: Instant,
        server: &BackendServerId,
        charge: &Charge,
        actions: &mut Vec<HealthAction>,
    ) {
        let jitter = 1.0 + JITTER_SHARE * self.random.random::<f64>();
        let Some(watch) = self.watches.get_mut(server) else {
            return;
        };
        let healthy_for = watch
            .returned_at
            .map(|at| now.saturating_duration_since(at));
        if healthy_for.is_some_and(|time| time >= watch.backoff * HEALTHY_BACKOFFS) {
            watch.ejection_count = 0;
        }
        watch.ejection_count += 1;
        watch.backoff = backoff(&self.settings, watch.ejection_count);
        let probe_at = now + watch.backoff.mul_f64(jitter);
        watch.standing = Standing::Ejected { probe_at };
        watch.probe_route = charge.route.clone();
        watch.returned_at = None;
        watch.reset();
        actions.push(share(&self.settings, watch));
        actions.push(decide(watch, Verdict::Ejected, charge));
    }

    pub(super) fn probed(
        &mut self,
        now: Instant,
        server: &BackendServerId,
        actions: &mut Vec<HealthAction>,
    ) {
        let Some(watch) = self.watches.get_mut(server) else {
            return;
        };
        let Standing::Probing {
            good_count,
            bad_count,
        } = watch.standing
        else {
            return;
        };
        if bad_count >= BAD_PROBE_LIMIT_COUNT {
            let charge = probe_charge(good_count, bad_count, watch.probe_route.clone());
            self.eject(now, server, &charge, actions);
            return;
        }
        if good_count < self.settings.probe_count {
            return;
        }
        let charge = probe_charge(good_count, bad_count, None);
        watch.reset();
        watch.standing = Standing::Returning {
            step: 0,
            from: now,
            seen_count: 0,
        };
        actions.push(share(&self.settings, watch));
        actions.push(decide(watch, Verdict::Returning, &charge));
    }

    /// Moves a server on where time alone does it.
    pub(super) fn advance(
        &mut self,
        now: Instant,
        server: &BackendServerId,
        actions: &mut Vec<HealthAction>,
    ) {
        self.renew_permit(now, server, actions);
        let settings = &self.settings;
        let Some(watch) = self.watches.get_mut(server) else {
            return;
        };
        let passed = |at: Instant| now.saturating_duration_since(at);
        match &mut watch.standing {
            Standing::InService => {}
            Standing::Checking { asked_at, .. } => {
                if passed(*asked_at) < ASK_AGAIN {
                    return;
                }
                // Evidence that waned meanwhile ends the check; the rest asks again.
                watch.standing = Standing::InService;
                self.look(now, server, 1.0, actions);
            }
            Standing::AwaitingPermit { asked_at, .. } => {
                if passed(*asked_at) < ASK_AGAIN {
                    return;
                }
                *asked_at = now;
                let suspicion = settings.suspicion_scale_share;
                if watch.alarm(now, suspicion, RETURN_SCALE).is_none() {
                    watch.standing = Standing::InService;
                    return;
                }
                actions.push(ask_permit(watch));
            }
            Standing::Ejected { probe_at } => {
                if now < *probe_at {
                    return;
                }
                watch.standing = Standing::Probing {
                    good_count: 0,
                    bad_count: 0,
                };
                actions.push(share(settings, watch));
                actions.push(decide(watch, Verdict::Probing, &probe_charge(0, 0, None)));
            }
            Standing::Probing { .. } => {}
            Standing::Returning {
                step,
                from,
                seen_count,
            } => {
                let enough = passed(*from) >= STEP_TIME && *seen_count >= STEP_COUNT;
                if !enough && passed(*from) < STEP_LIMIT {
                    return;
                }
                *step += 1;
                *from = now;
                *seen_count = 0;
                if *step < RETURN_STEPS_PERMILLE.len() {
                    actions.push(share(settings, watch));
                    return;
                }
                watch.standing = Standing::InService;
                watch.permit = None;
                watch.returned_at = Some(now);
                actions.push(share(settings, watch));
                actions.push(give_up_permit(watch));
                actions.push(decide(watch, Verdict::Returned, &probe_charge(0, 0, None)));
            }
        }
    }

    /// Renews a permit in good time; a server whose permit lapsed serves again.
    fn renew_permit(
        &mut self,
        now: Instant,
        server: &BackendServerId,
        actions: &mut Vec<HealthAction>,
    ) {
        let Some(watch) = self.watches.get_mut(server) else {
            return;
        };
        if !watch.standing.needs_permit() {
            return;
        }
        let Some(permit) = &mut watch.permit else {
            return;
        };
        if now >= permit.holds_until {
            watch.permit = None;
            watch.standing = Standing::InService;
            watch.returned_at = Some(now);
            watch.reset();
            actions.push(share(&self.settings, watch));
            let charge = probe_charge(0, 0, None);
            actions.push(decide(watch, Verdict::PermitLapsed, &charge));
            return;
        }
        let half = (permit.holds_until - permit.granted_at) / 2;
        let due = now >= permit.granted_at + half;
        if due && now.saturating_duration_since(permit.renewed_at) >= ASK_AGAIN {
            permit.renewed_at = now;
            actions.push(ask_permit(watch));
        }
    }
}

fn backoff(settings: &HealthSettings, ejection_count: u32) -> Duration {
    let doublings = ejection_count.saturating_sub(1).min(20);
    let wait_ms = settings.backoff_ms.saturating_mul(1 << doublings);
    Duration::from_millis(wait_ms.min(settings.backoff_limit_ms))
}

fn probe_charge(good_count: u32, bad_count: u32, route: Option<RouteId>) -> Charge {
    let alarm = Alarm {
        rule: "health.probes",
        evidence: vec![
            ("good_count", good_count.to_string()),
            ("bad_count", bad_count.to_string()),
        ],
    };
    Charge { alarm, route }
}

pub(super) fn share(settings: &HealthSettings, watch: &Watch) -> HealthAction {
    HealthAction::Share {
        server: watch.server.clone(),
        share_permille: watch.standing.share_permille(settings.probe_share_permille),
    }
}

pub(super) fn ask_permit(watch: &Watch) -> HealthAction {
    HealthAction::AskPermit {
        service: watch.service.clone(),
        server: watch.server.clone(),
    }
}

fn give_up_permit(watch: &Watch) -> HealthAction {
    HealthAction::GiveUpPermit {
        service: watch.service.clone(),
        server: watch.server.clone(),
    }
}

pub(super) fn decide(watch: &Watch, verdict: Verdict, charge: &Charge) -> HealthAction {
    let mut evidence = charge.alarm.evidence.clone();
    if let Some(route) = &charge.route {
        evidence.push(("route", route.to_string()));
    }
    evidence.push(("ejection_count", watch.ejection_count.to_string()));
    HealthAction::Decide(HealthDecision {
        server: watch.server.clone(),
        verdict,
        rule: charge.alarm.rule,
        evidence,
    })
}
