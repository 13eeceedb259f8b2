//! Decisions of the roll-out duty of one daemon: the rule for its own servers, and the roll-outs
//! that it drives.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::course::Phase;
use super::driver::Driver;
use super::event::{RolloutAction, RolloutEvent};
use super::evidence::LocalEvidence;
use super::local::LocalRule;
use super::members::{driver_of, members, Member};
use super::message::{RolloutCall, RolloutOrder, RolloutReport, RolloutRule, RolloutStep};
use super::plan::TrialBounds;
use super::record::{StatusRecord, StoreCall};
use crate::membership::{Fleet, ServerEntry};
use crate::types::{DaemonId, DomainId, ServiceId, SoftwareVersion};

/// Interval of ticks of a daemon that drives a roll-out.
const DRIVER_TICK: Duration = Duration::from_millis(100);
/// Interval of ticks of the other daemons while there are orders.
const QUIET_TICK: Duration = Duration::from_secs(1);

/// Time for which a daemon must be the first in rank before it drives.
const DRIVER_DELAY: Duration = Duration::from_millis(300);
/// The same for a daemon that knows no other, since it may just have started.
const ALONE_DELAY: Duration = Duration::from_secs(3);

/// One order that is in force, and what this daemon does for it.
struct Rollout {
    /// The order.
    order: Arc<RolloutOrder>,
    /// When this daemon learned of it.
    ordered_at: Instant,
    /// Why it can't be carried out; none if it can.
    problem: Option<&'static str>,
    /// Decides the rule for the servers on this VM.
    local: LocalRule,
    /// The rule that the guard has.
    applied: Option<RolloutRule>,
    /// Daemons with servers of the service.
    members: Vec<Member>,
    /// Since when this daemon has been the first in rank; none while it is not.
    first_since: Option<Instant>,
    /// Drives the roll-out; none while another daemon does.
    driver: Option<Driver>,
}

/// State of the roll-out duty.
pub struct Rollouts {
    /// Id of this daemon.
    own_daemon: DaemonId,
    /// Bounds of trials.
    bounds: TrialBounds,
    /// The newest snapshot of the fleet.
    fleet: Arc<Fleet>,
    /// Failure domains that are out of service.
    domains_out: BTreeSet<DomainId>,
    /// The servers on this VM.
    servers: Vec<ServerEntry>,
    /// Requests at these servers.
    evidence: LocalEvidence,
    /// Orders in force.
    rollouts: BTreeMap<ServiceId, Rollout>,
    /// Status of each service that this daemon has driven. Kept while there are orders, since a call
    /// to the store may be on its way.
    records: BTreeMap<ServiceId, StatusRecord>,
    /// When the next tick is due.
    tick_at: Option<Instant>,
}

impl Rollouts {
    /// Creates the state without orders.
    pub fn new(own_daemon: DaemonId, bounds: TrialBounds) -> Rollouts {
        Rollouts {
            own_daemon,
            bounds,
            fleet: Arc::default(),
            domains_out: BTreeSet::new(),
            servers: Vec::new(),
            evidence: LocalEvidence::default(),
            rollouts: BTreeMap::new(),
            records: BTreeMap::new(),
            tick_at: None,
        }
    }

    /// Returns whether there is any order.
    pub fn is_active(&self) -> bool {
        !self.rollouts.is_empty()
    }

    /// Returns when the next `Tick` is due; none while there is no order.
    pub fn next_tick_at(&self) -> Option<Instant> {
        self.tick_at
    }

    /// Applies one event and returns the actions that follow from it.
    pub fn handle(&mut self, now: Instant, event: RolloutEvent) -> Vec<RolloutAction> {
        let mut actions = Vec::new();
        match event {
            RolloutEvent::Orders {
                orders,
                unknown_services,
                domains_out,
            } => {
                self.domains_out = domains_out;
                self.set_orders(now, orders, &unknown_services, &mut actions);
                self.update_members();
            }
            RolloutEvent::Fleet(fleet) => {
                self.fleet = fleet;
                self.update_members();
            }
            RolloutEvent::Servers(servers) => self.servers = servers,
            RolloutEvent::Started(request) => {
                self.evidence.started(now, request);
                return actions;
            }
            RolloutEvent::Finished { key, end, elapsed } => {
                self.evidence.finished(key, end, elapsed);
                return actions;
            }
            RolloutEvent::Called { id, call } => {
                let report = self.called(now, &call, &mut actions);
                actions.push(RolloutAction::Answer { id, report });
                return actions;
            }
            RolloutEvent::CallEnded {
                service,
                from,
                report,
            } => {
                self.take_report(now, &service, &from, report.as_ref());
                return actions;
            }
            RolloutEvent::StatusRead { service, result } => {
                let record = self.records.entry(service.clone()).or_default();
                if record.read(now, result) {
                    self.adopt(now, &service, &mut actions);
                }
            }
            RolloutEvent::StatusWritten { service, result } => {
                let record = self.records.entry(service.clone()).or_default();
                if record.written(now, result) {
                    self.adopt(now, &service, &mut actions);
                }
            }
            RolloutEvent::Tick => {}
        }
        self.advance(now, &mut actions);
        actions
    }

    /// Puts the orders of a view in force, and ends those that it does not have.
    fn set_orders(
        &mut self,
        now: Instant,
        orders: Vec<Arc<RolloutOrder>>,
        unknown_services: &[ServiceId],
        actions: &mut Vec<RolloutAction>,
    ) {
        let is_kept = |service: &ServiceId| orders.iter().any(|order| order.service == *service);
        let known: Vec<ServiceId> = self.rollouts.keys().cloned().collect();
        for service in known.into_iter().filter(|service| !is_kept(service)) {
            self.rollouts.remove(&service);
            self.records.remove(&service);
            self.evidence.end(&service);
            actions.push(RolloutAction::End(service));
        }
        for order in orders {
            let problem = problem_of(&order, unknown_services);
            let mut refused_versions: SmallVec<[SoftwareVersion; 2]> = SmallVec::new();
            if let Some(present) = self.rollouts.get_mut(&order.service) {
                if present.order == order {
                    present.problem = problem;
                    continue;
                }
                refused_versions = present.local.refused_after();
            }
            self.evidence.begin(&order.service);
            let local = LocalRule::new(order.clone(), self.own_daemon.clone(), refused_versions);
            let rollout = Rollout {
                members: members(&self.fleet, &order, &self.domains_out),
                order: order.clone(),
                ordered_at: now,
                problem,
                local,
                applied: None,
                first_since: None,
                driver: None,
            };
            self.rollouts.insert(order.service.clone(), rollout);
        }
    }

    /// Finds the daemons with servers of each service again.
    fn update_members(&mut self) {
        for rollout in self.rollouts.values_mut() {
            rollout.members = members(&self.fleet, &rollout.order, &self.domains_out);
        }
    }

    /// Takes a step that the driver told, and returns the report for it; none if the call is about
    /// another order than the one in force.
    fn called(
        &mut self,
        now: Instant,
        call: &RolloutCall,
        actions: &mut Vec<RolloutAction>,
    ) -> Option<RolloutReport> {
        let rollout = self.rollouts.get_mut(&call.service)?;
        if rollout.order.order != call.order || rollout.order.target_version != call.target_version
        {
            return None;
        }
        let own = || {
            let servers = self.servers.iter();
            servers.filter(|server| server.service == call.service)
        };
        let is_target = own().any(|server| rollout.local.is_target(server));
        if own().next().is_some() {
            rollout.local.told(now, call, is_target);
        }
        apply(now, rollout, &self.fleet, &self.servers, actions);
        let mut report = self.evidence.report(now, &call.service);
        let shown = own().find(|server| rollout.local.is_target(server) == is_target);
        report.step = shown.map_or(RolloutStep::None, |server| server.rollout_step);
        Some(report)
    }

    /// Passes a report to the driver of the service.
    fn take_report(
        &mut self,
        now: Instant,
        service: &ServiceId,
        from: &DaemonId,
        report: Option<&RolloutReport>,
    ) {
        let Some(rollout) = self.rollouts.get_mut(service) else {
            return;
        };
        let member = rollout.members.iter().find(|member| member.daemon == *from);
        if let (Some(driver), Some(member)) = (&mut rollout.driver, member) {
            driver.reported(now, member, report);
        }
    }

    /// Passes the status to the driver of the service.
    fn adopt(&mut self, now: Instant, service: &ServiceId, actions: &mut Vec<RolloutAction>) {
        let rollout = self.rollouts.get_mut(service);
        let driver = rollout.and_then(|rollout| rollout.driver.as_mut());
        let record = self.records.get_mut(service);
        if let (Some(driver), Some(record)) = (driver, record) {
            actions.extend(driver.adopt(now, record));
        }
    }

    /// Takes the steps of all roll-outs that are due.
    fn advance(&mut self, now: Instant, actions: &mut Vec<RolloutAction>) {
        let mut own_calls = Vec::new();
        let mut tick = None;
        for (service, rollout) in &mut self.rollouts {
            apply(now, rollout, &self.fleet, &self.servers, actions);
            let first = driver_of(&self.fleet, &rollout.members);
            if first.as_ref() != Some(&self.own_daemon) {
                rollout.driver = None;
                rollout.first_since = None;
                tick = Some(tick.unwrap_or(QUIET_TICK).min(QUIET_TICK));
                continue;
            }
            let first_since = *rollout.first_since.get_or_insert(now);
            let delay = match self.fleet.daemons.len() {
                0 | 1 => ALONE_DELAY,
                _ => DRIVER_DELAY,
            };
            if rollout.driver.is_none() && now.saturating_duration_since(first_since) < delay {
                tick = Some(tick.unwrap_or(DRIVER_TICK).min(DRIVER_TICK));
                continue;
            }
            let record = self.records.entry(service.clone()).or_default();
            let driver = rollout.driver.get_or_insert_with(|| {
                record.forget();
                record.cancel();
                let (order, at) = (rollout.order.clone(), rollout.ordered_at);
                Driver::new(now, order, at, self.bounds, rollout.problem)
            });
            for action in driver.advance(now, &rollout.members, record) {
                match action {
                    RolloutAction::Call { to, call } if to == self.own_daemon => {
                        own_calls.push(call);
                    }
                    action => actions.push(action),
                }
            }
            // An ended roll-out needs no call to the store but the one that says so.
            actions.extend(record.next_call(now).map(|call| match call {
                StoreCall::Read => RolloutAction::Read(service.clone()),
                StoreCall::Write(status, end) => RolloutAction::Write { status, end },
            }));
            let next = match driver.phase() {
                Phase::Ended(_) => QUIET_TICK,
                _ => DRIVER_TICK,
            };
            tick = Some(tick.unwrap_or(next).min(next));
        }
        for call in own_calls {
            let report = self.called(now, &call, actions);
            let own = self.own_daemon.clone();
            self.take_report(now, &call.service, &own, report.as_ref());
        }
        self.tick_at = tick.map(|tick| now + tick);
    }
}

/// Tells the guard the rule of a roll-out if it has changed.
fn apply(
    now: Instant,
    rollout: &mut Rollout,
    fleet: &Fleet,
    servers: &[ServerEntry],
    actions: &mut Vec<RolloutAction>,
) {
    let rule = rollout.local.rule(now, fleet, servers);
    if rollout.applied.as_ref() != Some(&rule) {
        rollout.applied = Some(rule.clone());
        actions.push(RolloutAction::Apply(rule));
    }
}

/// Returns why an order can't be carried out; none if it can.
fn problem_of(order: &RolloutOrder, unknown_services: &[ServiceId]) -> Option<&'static str> {
    if unknown_services.contains(&order.service) {
        return Some("the configuration has no such service");
    }
    if order.target_version.is_empty() {
        return Some("the order names no version");
    }
    (order.duration_ms == 0).then_some("the order gives no time")
}
