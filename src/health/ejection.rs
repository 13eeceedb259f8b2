//! Decisions of health from the answer to a permit request to full service: ejection, probes and
//! return.

use std::time::{Duration, Instant};

use rand::Rng;

use super::detector::Alarm;
use super::ejection_state::{
    EjectionState, RouteAlarm, BAD_PROBE_LIMIT_COUNT, RETURN_STEPS_PERMILLE, STEP_COUNT,
    STEP_LIMIT, STEP_TIME,
};
use super::message::{HealthAction, HealthDecision, HealthVerdict};
use super::state::{HealthState, RETURNING_SCALE};
use super::watch::{HeldPermit, Watch};
use crate::settings::health::HealthSettings;
use crate::types::{BackendServerId, RouteId};

/// Time after which an alarm requests the figures of peers, or its permit, again; also the least
/// time between two renewals of a permit.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Healthy time, as a multiple of the last wait, after which the waits grow from the start again.
const HEALTHY_BACKOFF_COUNT: u32 = 10;

/// Largest random addition to a wait, as a share of it, so that servers do not return in step.
const JITTER_SHARE: f64 = 0.25;

impl HealthState {
    /// Handles the answer to a permit request: ejects the server or renews its permit, releases a
    /// permit that is no longer needed, and records the first refusal.
    pub(super) fn receive_permit(
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
            let hold = HeldPermit {
                granted_at: now,
                holds_until,
                renewed_at: now,
            };
            let service = watch.service.clone();
            match &watch.ejection_state {
                EjectionState::AwaitingPermit { route_alarm, .. } => {
                    let route_alarm = route_alarm.clone();
                    watch.permit = Some(hold);
                    self.eject(now, server, &route_alarm, actions);
                }
                ejection_state if ejection_state.needs_permit() => watch.permit = Some(hold),
                _ => actions.push(HealthAction::ReleasePermit {
                    service,
                    server: server.clone(),
                }),
            }
            return;
        }
        if let EjectionState::AwaitingPermit {
            route_alarm,
            denied,
            ..
        } = &mut watch.ejection_state
        {
            let first = !std::mem::replace(denied, true);
            let route_alarm = route_alarm.clone();
            if first {
                actions.push(decision(watch, HealthVerdict::PermitDenied, &route_alarm));
            }
        }
    }

    /// Ejects a server until its probes begin. The wait doubles at each ejection up to a limit, and
    /// starts anew after a long healthy time.
    pub(super) fn eject(
        &mut self,
        now: Instant,
        server: &BackendServerId,
        route_alarm: &RouteAlarm,
        actions: &mut Vec<HealthAction>,
    ) {
        let jitter = 1.0 + JITTER_SHARE * self.random.random::<f64>();
        let Some(watch) = self.watches.get_mut(server) else {
            return;
        };
        let healthy_for = watch
            .returned_at
            .map(|at| now.saturating_duration_since(at));
        if healthy_for.is_some_and(|time| time >= watch.backoff * HEALTHY_BACKOFF_COUNT) {
            watch.ejection_count = 0;
        }
        watch.ejection_count += 1;
        watch.backoff = backoff(&self.settings, watch.ejection_count);
        let probe_at = now + watch.backoff.mul_f64(jitter);
        watch.ejection_state = EjectionState::Ejected { probe_at };
        watch.probe_route = route_alarm.route.clone();
        watch.returned_at = None;
        watch.reset();
        actions.push(share_action(&self.settings, watch));
        actions.push(decision(watch, HealthVerdict::Ejected, route_alarm));
    }

    /// Ejects a probed server again after too many bad probes, or lets it return after enough good
    /// ones.
    pub(super) fn evaluate_probes(
        &mut self,
        now: Instant,
        server: &BackendServerId,
        actions: &mut Vec<HealthAction>,
    ) {
        let Some(watch) = self.watches.get_mut(server) else {
            return;
        };
        let EjectionState::Probing {
            good_count,
            bad_count,
        } = watch.ejection_state
        else {
            return;
        };
        if bad_count >= BAD_PROBE_LIMIT_COUNT {
            let route_alarm = probe_alarm(good_count, bad_count, watch.probe_route.clone());
            self.eject(now, server, &route_alarm, actions);
            return;
        }
        if good_count < self.settings.probe_count {
            return;
        }
        let route_alarm = probe_alarm(good_count, bad_count, None);
        watch.reset();
        watch.ejection_state = EjectionState::Returning {
            step: 0,
            step_began_at: now,
            seen_count: 0,
        };
        actions.push(share_action(&self.settings, watch));
        actions.push(decision(watch, HealthVerdict::Returning, &route_alarm));
    }

    /// Makes the transitions of a server that depend on time: repeats requests, starts probes, and
    /// raises the share of a returning server.
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
        match &mut watch.ejection_state {
            EjectionState::InService => {}
            EjectionState::Checking { asked_at, .. } => {
                if passed(*asked_at) < RETRY_INTERVAL {
                    return;
                }
                // Ends the check if the evidence has become too weak; otherwise asks peers again.
                watch.ejection_state = EjectionState::InService;
                self.evaluate(now, server, 1.0, actions);
            }
            EjectionState::AwaitingPermit { asked_at, .. } => {
                if passed(*asked_at) < RETRY_INTERVAL {
                    return;
                }
                *asked_at = now;
                let suspicion = settings.suspicion_scale_share;
                if watch.alarm(now, suspicion, RETURNING_SCALE).is_none() {
                    watch.ejection_state = EjectionState::InService;
                    return;
                }
                actions.push(permit_request(watch));
            }
            EjectionState::Ejected { probe_at } => {
                if now < *probe_at {
                    return;
                }
                watch.ejection_state = EjectionState::Probing {
                    good_count: 0,
                    bad_count: 0,
                };
                actions.push(share_action(settings, watch));
                actions.push(decision(
                    watch,
                    HealthVerdict::Probing,
                    &probe_alarm(0, 0, None),
                ));
            }
            EjectionState::Probing { .. } => {}
            EjectionState::Returning {
                step,
                step_began_at,
                seen_count,
            } => {
                let enough = passed(*step_began_at) >= STEP_TIME && *seen_count >= STEP_COUNT;
                if !enough && passed(*step_began_at) < STEP_LIMIT {
                    return;
                }
                *step += 1;
                *step_began_at = now;
                *seen_count = 0;
                if *step < RETURN_STEPS_PERMILLE.len() {
                    actions.push(share_action(settings, watch));
                    return;
                }
                watch.ejection_state = EjectionState::InService;
                watch.permit = None;
                watch.returned_at = Some(now);
                actions.push(share_action(settings, watch));
                actions.push(permit_release(watch));
                actions.push(decision(
                    watch,
                    HealthVerdict::Returned,
                    &probe_alarm(0, 0, None),
                ));
            }
        }
    }

    /// Renews a permit from half of its duration on. A server whose permit has expired is put back
    /// into full service.
    fn renew_permit(
        &mut self,
        now: Instant,
        server: &BackendServerId,
        actions: &mut Vec<HealthAction>,
    ) {
        let Some(watch) = self.watches.get_mut(server) else {
            return;
        };
        if !watch.ejection_state.needs_permit() {
            return;
        }
        let Some(permit) = &mut watch.permit else {
            return;
        };
        if now >= permit.holds_until {
            watch.permit = None;
            watch.ejection_state = EjectionState::InService;
            watch.returned_at = Some(now);
            watch.reset();
            actions.push(share_action(&self.settings, watch));
            let route_alarm = probe_alarm(0, 0, None);
            actions.push(decision(watch, HealthVerdict::PermitLapsed, &route_alarm));
            return;
        }
        let half = (permit.holds_until - permit.granted_at) / 2;
        let due = now >= permit.granted_at + half;
        if due && now.saturating_duration_since(permit.renewed_at) >= RETRY_INTERVAL {
            permit.renewed_at = now;
            actions.push(permit_request(watch));
        }
    }
}

/// Returns the wait before probes, which doubles with each ejection up to the limit.
fn backoff(settings: &HealthSettings, ejection_count: u32) -> Duration {
    let doublings = ejection_count.saturating_sub(1).min(20);
    let wait_ms = settings.backoff_ms.saturating_mul(1 << doublings);
    Duration::from_millis(wait_ms.min(settings.backoff_limit_ms))
}

/// Returns the evidence of a decision that is based on probes or on time alone.
fn probe_alarm(good_count: u32, bad_count: u32, route: Option<RouteId>) -> RouteAlarm {
    let alarm = Alarm {
        rule: "health.probes",
        evidence: vec![
            ("good_count", good_count.to_string()),
            ("bad_count", bad_count.to_string()),
        ],
    };
    RouteAlarm { alarm, route }
}

/// Returns the action that sets a server's share to that of its state.
pub(super) fn share_action(settings: &HealthSettings, watch: &Watch) -> HealthAction {
    HealthAction::SetShare {
        server: watch.server.clone(),
        share_permille: watch
            .ejection_state
            .share_permille(settings.probe_share_permille),
    }
}

/// Returns the action that requests or renews a server's permit.
pub(super) fn permit_request(watch: &Watch) -> HealthAction {
    HealthAction::RequestPermit {
        service: watch.service.clone(),
        server: watch.server.clone(),
    }
}

/// Returns the action that releases a server's permit.
fn permit_release(watch: &Watch) -> HealthAction {
    HealthAction::ReleasePermit {
        service: watch.service.clone(),
        server: watch.server.clone(),
    }
}

/// Returns the action that records a decision, with the evidence of an alarm.
pub(super) fn decision(
    watch: &Watch,
    verdict: HealthVerdict,
    route_alarm: &RouteAlarm,
) -> HealthAction {
    let mut evidence = route_alarm.alarm.evidence.clone();
    if let Some(route) = &route_alarm.route {
        evidence.push(("route", route.to_string()));
    }
    evidence.push(("ejection_count", watch.ejection_count.to_string()));
    HealthAction::RecordDecision(HealthDecision {
        server: watch.server.clone(),
        verdict,
        rule: route_alarm.alarm.rule,
        evidence,
    })
}
