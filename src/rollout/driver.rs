//! Drives one roll-out: tells the daemons their steps, judges the version, and writes the status.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::course::{Course, Phase};
use super::event::RolloutAction;
use super::judgement::{Judgement, Verdict, DOUBT, LIMIT};
use super::members::{choose_canaries, Member, Peer};
use super::message::{RolloutCall, RolloutOrder, RolloutReport, RolloutState, RolloutStep};
use super::plan::{call_plan, TrialBounds};
use super::record::StatusRecord;
use crate::types::{BackendServerId, DaemonId};

/// Share of the duration after which a trial may end, if every route was tried.
const TRIAL_LEAST_SHARE: f64 = 0.45;
/// Share of the duration after which a trial ends if nothing speaks against the version.
const TRIAL_SHARE: f64 = 0.5;
/// Share of the duration after which a trial with doubts ends.
const DOUBT_SHARE: f64 = 0.6;
/// Share of the duration after which a trial with too little evidence ends.
const EVIDENCE_SHARE: f64 = 0.75;
/// Share of the duration by which the end is written.
const LAST_SHARE: f64 = 0.9;
/// Fewest requests at the version on which a trial that was not tried on all routes may end well.
const EVIDENCE_COUNT: u32 = 15;
/// Share of the duration that a trial takes at least from its own begin.
const OWN_LEAST_SHARE: f64 = 0.2;
/// Time for which a new driver decides nothing from servers that it does not know.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Time for which servers must be missing before it counts.
const MISSING_TIME: Duration = Duration::from_secs(2);
/// Time after which a roll-back is written although a daemon has not confirmed it.
const CLOSE_TIME: Duration = Duration::from_millis(1_500);
/// Least time between the move of all requests and its end.
const DRAIN_LEAST_TIME: Duration = Duration::from_secs(2);
/// Time after which a daemon that does not take its step makes the driver read the status again.
const DIFFER_TIME: Duration = Duration::from_secs(1);

/// Decides the steps of one roll-out.
#[derive(Debug)]
pub struct Driver {
    /// The order, and how far it has come.
    course: Course,
    /// Bounds of the trial.
    bounds: TrialBounds,
    /// Why the order can't be carried out; none if it can.
    problem: Option<&'static str>,
    /// Daemons whose servers of the version are under trial.
    canaries: Vec<DaemonId>,
    /// What is known of the daemons with servers of the service.
    peers: BTreeMap<DaemonId, Peer>,
    /// Evidence on the version.
    judgement: Judgement,
    /// The last verdict.
    verdict: Verdict,
    /// Whether evidence came since the last verdict.
    has_news: bool,
    /// Since when no server of the version is known.
    missing_since: Option<Instant>,
}

impl Driver {
    /// Creates the driver of an order that this daemon learned of at `ordered_at`.
    pub fn new(
        now: Instant,
        order: Arc<RolloutOrder>,
        ordered_at: Instant,
        bounds: TrialBounds,
        problem: Option<&'static str>,
    ) -> Driver {
        Driver {
            course: Course::new(now, order, ordered_at),
            bounds,
            problem,
            canaries: Vec::new(),
            peers: BTreeMap::new(),
            judgement: Judgement::default(),
            verdict: Verdict::default(),
            has_news: false,
            missing_since: None,
        }
    }

    /// Returns the present phase.
    pub fn phase(&self) -> Phase {
        self.course.phase
    }

    /// Takes the answer of a daemon, with its servers of the service.
    pub fn reported(&mut self, now: Instant, member: &Member, report: Option<&RolloutReport>) {
        let peer = self.peers.entry(member.daemon.clone()).or_default();
        peer.answered(now, report);
        let is_known = |server: &BackendServerId| member.servers.contains(server);
        for summary in report.into_iter().flat_map(|report| &report.servers) {
            if is_known(&summary.server) {
                self.judgement.add(now, member.is_target, summary);
            }
        }
        self.has_news |= report.is_some();
    }

    /// Takes the status that was read or written, and goes on from there.
    pub fn adopt(&mut self, now: Instant, record: &mut StatusRecord) -> Vec<RolloutAction> {
        let mut actions = Vec::new();
        let status = record.status().cloned();
        let own = status.as_ref().filter(|status| {
            status.order == self.course.order.order
                && status.target_version == self.course.order.target_version
        });
        let Some(status) = own else {
            let is_later = status.is_some_and(|status| status.order > self.course.order.order);
            if is_later && self.course.driven_for(now) < SETTLE_TIME {
                // The view may be older than the record.
                record.read_later(now);
                return actions;
            }
            if self.course.phase == Phase::Reading {
                self.course
                    .enter(now, Phase::Waiting, String::new(), &mut actions);
                record.want(
                    self.course
                        .status(now, RolloutState::Running, RolloutStep::Trial),
                );
            }
            return actions;
        };
        self.course
            .written_at_age(now, Duration::from_millis(status.age_ms));
        if let Some(phase) = self.course.phase.after(status) {
            // What was to be written was decided before this was known.
            record.cancel();
            self.course
                .enter(now, phase, status.reason.clone(), &mut actions);
        }
        actions
    }

    /// Takes the steps that are due, and calls the daemons that are to be told or asked.
    pub fn advance(
        &mut self,
        now: Instant,
        members: &[Member],
        record: &mut StatusRecord,
    ) -> Vec<RolloutAction> {
        let mut actions = Vec::new();
        if std::mem::take(&mut self.has_news) {
            self.verdict = self.judgement.verdict(now);
        }
        self.peers
            .retain(|daemon, _| members.iter().any(|member| member.daemon == *daemon));
        let target_count = members.iter().filter(|member| member.is_target).count();
        let other_count = members.len() - target_count;
        self.missing_since = match target_count {
            0 => Some(self.missing_since.unwrap_or(now)),
            _ => None,
        };
        if let Some(problem) = self.problem {
            if matches!(
                self.course.phase,
                Phase::Waiting | Phase::Trial | Phase::Full
            ) {
                self.roll_back(now, problem.to_owned(), record, &mut actions);
            }
        }
        let is_settled = self.course.driven_for(now) >= SETTLE_TIME;
        let age = self.course.age_share(now);
        let is_missing = is_settled && self.is_missing(now);
        match self.course.phase {
            Phase::Waiting if target_count > 0 && other_count > 0 => {
                self.course
                    .enter(now, Phase::Trial, String::new(), &mut actions);
            }
            Phase::Waiting if is_settled && target_count > 0 && age >= TRIAL_SHARE => {
                let reason = "no server of another version is known";
                self.want_full(now, reason.to_owned(), record);
            }
            Phase::Waiting if is_missing && age >= LAST_SHARE => {
                let reason = "no server of the version came";
                self.roll_back(now, reason.to_owned(), record, &mut actions);
            }
            Phase::Trial => self.end_trial(now, is_missing, record, &mut actions),
            Phase::Full => self.end_move(now, is_missing, members, record, &mut actions),
            Phase::RollingBack => self.end_roll_back(now, members, record),
            _ => {}
        }
        choose_canaries(&mut self.canaries, members, other_count, self.bounds.share);
        self.call_members(now, members, &mut actions);
        self.read_if_refused(now, record);
        actions
    }

    /// Ends the trial if the evidence is enough for either end.
    fn end_trial(
        &mut self,
        now: Instant,
        is_missing: bool,
        record: &mut StatusRecord,
        actions: &mut Vec<RolloutAction>,
    ) {
        let age = self.course.age_share(now);
        let own_age = self.course.phase_age(now);
        let is_long_enough = own_age >= self.course.duration().mul_f64(OWN_LEAST_SHARE);
        let verdict = &self.verdict;
        let text = verdict.text();
        if verdict.is_bad() {
            return self.roll_back(now, text, record, actions);
        }
        if is_missing && age >= LAST_SHARE {
            let reason = "no server of the version is left".to_owned();
            return self.roll_back(now, reason, record, actions);
        }
        if verdict.sum() >= DOUBT {
            if age >= DOUBT_SHARE {
                let reason = format!("no decision in time, more speaks against it: {text}");
                self.roll_back(now, reason, record, actions);
            }
            return;
        }
        let is_idle = verdict.other_count < EVIDENCE_COUNT;
        let has_evidence = verdict.target_count >= EVIDENCE_COUNT || is_idle;
        let is_proven = verdict.all_tried && has_evidence && !is_idle;
        if is_long_enough
            && (age >= TRIAL_LEAST_SHARE && is_proven || age >= TRIAL_SHARE && has_evidence)
        {
            return self.want_full(now, text, record);
        }
        if age >= EVIDENCE_SHARE && !has_evidence {
            let reason = format!("too little evidence: {text}");
            self.roll_back(now, reason, record, actions);
        }
    }

    /// Ends the move: writes that it is complete once nothing is open at the others, or rolls back.
    fn end_move(
        &mut self,
        now: Instant,
        is_missing: bool,
        members: &[Member],
        record: &mut StatusRecord,
        actions: &mut Vec<RolloutAction>,
    ) {
        if record.may_be_completed() {
            // The others may have stopped already; only the store knows.
            return;
        }
        if self.verdict.is_bad() {
            let text = self.verdict.text();
            return self.roll_back(now, text, record, actions);
        }
        if is_missing {
            let reason = "no server of the version is left".to_owned();
            return self.roll_back(now, reason, record, actions);
        }
        let is_done = |member: &Member| match self.peers.get(&member.daemon) {
            Some(peer) if member.is_target => peer.is_at(RolloutStep::Full),
            Some(peer) => peer.is_at(RolloutStep::Closed) && peer.open_count == 0,
            None => false,
        };
        let is_moved = members.iter().all(is_done);
        let own_age = self.course.phase_age(now);
        let is_late = self.course.age_share(now) >= LAST_SHARE;
        let may_end = self.missing_since.is_none() && own_age >= DRAIN_LEAST_TIME;
        if may_end && (is_moved || is_late) && record.wants().is_none() {
            self.course.reason = self.verdict.text();
            record.want(
                self.course
                    .status(now, RolloutState::Completed, RolloutStep::Full),
            );
        }
    }

    /// Writes that the version was rolled back once its servers are closed.
    fn end_roll_back(&mut self, now: Instant, members: &[Member], record: &mut StatusRecord) {
        let is_closed = |member: &Member| {
            let peer = self.peers.get(&member.daemon);
            peer.is_some_and(Peer::is_closed_for_good)
        };
        let mut targets = members.iter().filter(|member| member.is_target);
        let is_late = self.course.phase_age(now) >= CLOSE_TIME;
        if (is_late || targets.all(is_closed)) && record.wants().is_none() {
            record.want(
                self.course
                    .status(now, RolloutState::RolledBack, RolloutStep::Closed),
            );
        }
    }

    /// Wants the status that all requests move to the version. They move once it is written.
    fn want_full(&mut self, now: Instant, reason: String, record: &mut StatusRecord) {
        let is_wanted = record
            .wants()
            .is_some_and(|status| status.step == RolloutStep::Full);
        if !is_wanted {
            self.course.reason = reason;
            record.want(
                self.course
                    .status(now, RolloutState::Running, RolloutStep::Full),
            );
        }
    }

    /// Begins to roll back. A status that is still to be written says nothing true any more.
    fn roll_back(
        &mut self,
        now: Instant,
        reason: String,
        record: &mut StatusRecord,
        actions: &mut Vec<RolloutAction>,
    ) {
        record.cancel();
        self.course.enter(now, Phase::RollingBack, reason, actions);
    }

    /// Calls the daemons whose turn it is.
    fn call_members(&mut self, now: Instant, members: &[Member], actions: &mut Vec<RolloutAction>) {
        let phase_age = self.course.phase_age(now);
        let mut baseline_count = 0;
        for member in members {
            let is_canary = self.canaries.contains(&member.daemon);
            if !member.is_target && !member.is_out {
                baseline_count += 1;
            }
            let peer = self.peers.entry(member.daemon.clone()).or_default();
            let plan = call_plan(
                self.course.phase,
                phase_age,
                member,
                peer,
                is_canary,
                baseline_count,
            );
            let Some(plan) = plan else {
                continue;
            };
            let told = (plan.step, plan.holds_for.is_zero());
            if !peer.is_due(now, told, plan.interval) {
                continue;
            }
            peer.call(now, told);
            actions.push(RolloutAction::Call {
                to: member.daemon.clone(),
                call: RolloutCall {
                    service: self.course.order.service.clone(),
                    target_version: self.course.order.target_version.clone(),
                    order: self.course.order.order,
                    step: plan.step,
                    holds_for: plan.holds_for.min(self.bounds.hold()),
                },
            });
        }
    }

    /// Reads the status again if a server of the version does not open: another driver may have
    /// rolled it back.
    fn read_if_refused(&mut self, now: Instant, record: &mut StatusRecord) {
        let is_refused = |peer: &Peer| {
            let since = peer.differs_since;
            peer.reported == Some(RolloutStep::Closed)
                && since.is_some_and(|at| now.saturating_duration_since(at) >= DIFFER_TIME)
        };
        let refused = self.peers.values_mut().find(|peer| is_refused(peer));
        if let (Some(peer), Phase::Trial | Phase::Full) = (refused, self.course.phase) {
            peer.differs_since = None;
            record.forget();
        }
    }

    /// Returns whether no server of the version has been known for a time.
    fn is_missing(&self, now: Instant) -> bool {
        let since = self.missing_since;
        since.is_some_and(|at| now.saturating_duration_since(at) >= MISSING_TIME)
    }
}

const _: () = assert!(DOUBT < LIMIT);
