//! Decides which partitions this daemon claims or gives up, which tokens it lends or borrows, and
//! which ejection permits it grants. Sends nothing itself: each event returns actions.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::assignment::{Assignment, AssignmentAction};
use super::calls::{Calls, OpenCall, Purpose};
use super::entry::EntryTokens;
use super::leases::{EscrowTimes, LeaseState};
use super::lender::Lender;
use super::loan::DEFAULT_RETRY_AFTER;
use super::message::{AllowanceAction, AllowanceEvent, CallId};
use super::partition::{Candidate, PARTITION_COUNT};
use super::permit::{self, PermitLender, PermitRequests};
use super::record::PartitionId;
use crate::contract::View;
use crate::link::{
    BorrowAnswer, BorrowRequest, EscrowId, LeaseRequest, LinkError, PeerAnswer, PeerName,
    PeerRequest,
};
use crate::membership::Fleet;
use crate::settings::allowance::AllowanceSettings;
use crate::types::{BackendServerId, Incarnation, ServiceId};

/// Parameters of one daemon's allowance.
#[derive(Debug, Clone)]
pub struct AllowanceOptions {
    /// Name, incarnation and failure domain of this daemon.
    pub own: Candidate,
    /// Settings of the allowance from the configuration.
    pub settings: AllowanceSettings,
    /// Durations of leases and loans, the same on every daemon of the fleet.
    pub times: EscrowTimes,
    /// Number of partitions in the fleet.
    pub partition_count: PartitionId,
}

impl AllowanceOptions {
    /// Returns the options of a production daemon: default times and `PARTITION_COUNT` partitions.
    pub fn new(own: Candidate, settings: AllowanceSettings) -> AllowanceOptions {
        AllowanceOptions {
            own,
            settings,
            times: EscrowTimes::default(),
            partition_count: PARTITION_COUNT,
        }
    }
}

/// State of one daemon's allowance; changes only in `handle`.
pub struct AllowanceState {
    pub(super) own: Candidate,
    pub(super) settings: AllowanceSettings,
    pub(super) times: EscrowTimes,
    pub(super) view: Arc<View>,
    pub(super) fleet: Arc<Fleet>,
    pub(super) leases: LeaseState,
    pub(super) assignment: Assignment,
    pub(super) lender: Lender,
    /// Tokens and waiting requests of callers on this daemon.
    pub(super) entry: EntryTokens,
    pub(super) calls: Calls,
    permits: PermitLender,
    permit_requests: PermitRequests,
    next_tick_at: Option<Instant>,
    /// When unused buckets and organisations were last removed.
    swept_at: Option<Instant>,
}

impl AllowanceState {
    /// Returns the state of a daemon that has read no record, view or fleet yet.
    pub fn new(options: AllowanceOptions) -> AllowanceState {
        let claim_wait = Duration::from_millis(options.settings.claim_wait_ms);
        let own_name = options.own.name.clone();
        AllowanceState {
            leases: LeaseState::new(own_name, options.times, options.partition_count),
            assignment: Assignment::new(options.own.clone(), options.times, claim_wait),
            own: options.own,
            settings: options.settings,
            times: options.times,
            view: Arc::default(),
            fleet: Arc::default(),
            lender: Lender::default(),
            entry: EntryTokens::default(),
            calls: Calls::default(),
            permits: PermitLender::default(),
            permit_requests: PermitRequests::default(),
            next_tick_at: None,
            swept_at: None,
        }
    }

    /// Returns when the next `Tick` event is due.
    pub fn next_at(&self) -> Option<Instant> {
        match (self.next_tick_at, self.entry.next_at()) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }

    /// Returns the leases and partitions, for tests, the model checker and measurements.
    pub fn leases(&self) -> &LeaseState {
        &self.leases
    }

    /// Applies one event and returns the actions that follow from it.
    pub fn handle(&mut self, now: Instant, event: AllowanceEvent) -> Vec<AllowanceAction> {
        let mut actions = Vec::new();
        match event {
            AllowanceEvent::Take {
                request,
                organisation,
            } => self.take_token(now, request, organisation, &mut actions),
            AllowanceEvent::Permit { service, server } => {
                self.request_permit(now, &service, &server, &mut actions);
            }
            AllowanceEvent::PermitEnded { service, server } => {
                self.permit_requests.release(&service, &server)
            }
            AllowanceEvent::View(view) => self.view = view,
            AllowanceEvent::Fleet(fleet) => self.apply_fleet(now, fleet),
            AllowanceEvent::Read {
                asked_at,
                records,
                whole,
            } => {
                self.leases.apply_read(now, asked_at, &records, whole);
                self.next_tick_at.get_or_insert(now);
            }
            AllowanceEvent::Borrow {
                call,
                from,
                request,
            } => {
                let answer = self.lend(now, &from, &request);
                actions.push(AllowanceAction::Lend { call, answer });
            }
            AllowanceEvent::Lease { call, request } => {
                let answer = self.leases.grant_lease(now, &request);
                actions.push(AllowanceAction::Leased { call, answer });
            }
            AllowanceEvent::Answered { call, answer } => {
                self.handle_answer(now, call, answer, &mut actions);
            }
            AllowanceEvent::Leave => {
                self.leases.begin_leaving();
                self.next_tick_at = Some(now);
            }
            AllowanceEvent::Tick => {}
        }
        self.tick(now, &mut actions);
        actions
    }

    /// Handles waiting requests that are due, and at each tick interval the assignment of
    /// partitions.
    fn tick(&mut self, now: Instant, actions: &mut Vec<AllowanceAction>) {
        self.handle_due_organisations(now, actions);
        if self.next_tick_at.is_none_or(|at| now < at) {
            return;
        }
        self.next_tick_at = Some(now + self.assignment.tick_interval());
        self.calls.forget_expired(now);
        let due = self.assignment.tick(now, &mut self.leases);
        for action in due {
            self.carry_out_assignment(now, action, actions);
        }
        if self.swept_at.is_none_or(|at| now > at + SWEEP_INTERVAL) {
            self.swept_at = Some(now);
            self.lender.sweep(now, &self.leases);
            self.entry.sweep(now);
        }
    }

    /// Turns a decision about partitions into a record to append or a call to a peer.
    fn carry_out_assignment(
        &mut self,
        now: Instant,
        action: AssignmentAction,
        actions: &mut Vec<AllowanceAction>,
    ) {
        let (to, request, purpose) = match action {
            AssignmentAction::Append(record) => {
                actions.push(AllowanceAction::Count(record.counter()));
                actions.push(AllowanceAction::Append(record));
                return;
            }
            AssignmentAction::RequestLease(request) => {
                let to = request.grantor.clone();
                (to, request, Purpose::Lease)
            }
            AssignmentAction::Probe(to) => {
                let request = LeaseRequest {
                    holder: self.own.name.clone(),
                    grantor: to.clone(),
                };
                (to, request, Purpose::Probe)
            }
        };
        let call = self.calls.open(OpenCall {
            to: to.clone(),
            sent_at: now,
            purpose,
        });
        actions.push(AllowanceAction::Call {
            call,
            to: to.daemon,
            request: PeerRequest::Lease(request),
        });
    }

    /// Handles the answer to one of this daemon's calls; a second answer is ignored.
    fn handle_answer(
        &mut self,
        now: Instant,
        call: CallId,
        answer: Result<PeerAnswer, LinkError>,
        actions: &mut Vec<AllowanceAction>,
    ) {
        let Some(open) = self.calls.close(call) else {
            return;
        };
        let reached = !matches!(answer, Err(LinkError::Unreachable | LinkError::Silent));
        self.assignment.answered(now, &open.to.daemon, reached);
        match (open.purpose, answer) {
            (Purpose::Lease, Ok(PeerAnswer::Lease(answer))) => {
                if answer.holds_for.is_some() {
                    self.assignment.lease_granted(now, &open.to);
                }
                self.leases.lease_granted(open.sent_at, &open.to, &answer);
            }
            (Purpose::Probe, Ok(_)) => {
                let planned = self
                    .assignment
                    .probe_answered(now, &mut self.leases, &open.to);
                if let Some(action) = planned {
                    self.carry_out_assignment(now, action, actions);
                }
            }
            (Purpose::Lease | Purpose::Probe, _) => {}
            (Purpose::Tokens(organisation), answer) => {
                let lent = match answer {
                    Ok(PeerAnswer::Borrow(lent)) => Some(lent),
                    _ => None,
                };
                self.handle_borrow_answer(now, (call, open.sent_at), &organisation, lent, actions);
            }
            (Purpose::Permits(service), Ok(PeerAnswer::Borrow(given))) => {
                let lapses_at = open.sent_at + given.lapses_after.min(permit::PERMIT_TIME);
                self.report_permits(now, &service, (given.count, lapses_at), actions);
            }
            (Purpose::Permits(service), _) => self.report_permits(now, &service, (0, now), actions),
        }
    }

    /// Answers a peer's request for tokens or permits.
    fn lend(&mut self, now: Instant, from: &PeerName, request: &BorrowRequest) -> BorrowAnswer {
        match &request.escrow {
            EscrowId::Service(service) => self.grant_permits(now, from, service, request.count),
            EscrowId::Organisation(organisation) => {
                let view = self.view.clone();
                let Some(contract) = view.organisations.get(organisation) else {
                    return BorrowAnswer {
                        count: 0,
                        lapses_after: self.times.loan_time,
                        retry_after: DEFAULT_RETRY_AFTER,
                    };
                };
                let asked = (request.count, self.times);
                self.lender.lend(now, &view, &self.leases, contract, asked)
            }
        }
    }

    /// Grants ejection permits of a service if this daemon holds its partition.
    fn grant_permits(
        &mut self,
        now: Instant,
        from: &PeerName,
        service: &ServiceId,
        count: u32,
    ) -> BorrowAnswer {
        let partition = permit::partition_of(
            service,
            self.leases.ledger().partitions().len() as PartitionId,
        );
        let tenure = self.leases.tenures().get(&partition).copied();
        match tenure {
            Some(tenure) if self.leases.may_spend(now, partition) => {
                let permit_count = permit::permit_count(service, &self.view, &self.fleet);
                let asked = (count, permit_count);
                self.permits.grant(now, (service, tenure), from, asked)
            }
            _ => BorrowAnswer {
                count: 0,
                lapses_after: permit::PERMIT_TIME,
                retry_after: DEFAULT_RETRY_AFTER,
            },
        }
    }

    /// Requests permits for a service from this daemon itself or from the holder.
    fn request_permit(
        &mut self,
        now: Instant,
        service: &ServiceId,
        server: &BackendServerId,
        actions: &mut Vec<AllowanceAction>,
    ) {
        let count = self.permit_requests.request(service, server);
        let partition = permit::partition_of(
            service,
            self.leases.ledger().partitions().len() as PartitionId,
        );
        let holder = self.leases.ledger().holder_of(partition).cloned();
        match holder {
            Some(holder) if holder == self.own.name => {
                let given = self.grant_permits(now, &holder, service, count);
                let lapses_at = now + given.lapses_after;
                self.report_permits(now, service, (given.count, lapses_at), actions);
            }
            Some(holder) => {
                let call = self.calls.open(OpenCall {
                    to: holder.clone(),
                    sent_at: now,
                    purpose: Purpose::Permits(service.clone()),
                });
                actions.push(AllowanceAction::Call {
                    call,
                    to: holder.daemon,
                    request: PeerRequest::Borrow(BorrowRequest {
                        escrow: EscrowId::Service(service.clone()),
                        count,
                    }),
                });
            }
            None => self.report_permits(now, service, (0, now), actions),
        }
    }

    /// Reports to health which servers have a permit.
    fn report_permits(
        &mut self,
        now: Instant,
        service: &ServiceId,
        given: (u32, Instant),
        actions: &mut Vec<AllowanceAction>,
    ) {
        for (server, holds_until) in self.permit_requests.answered(now, service, given) {
            actions.push(AllowanceAction::Permit {
                service: service.clone(),
                server,
                holds_until,
            });
        }
    }

    /// Takes the incarnation that the fleet reports for this daemon, and holds nothing until it
    /// claims or receives partitions again.
    fn adopt_incarnation(&mut self, incarnation: Incarnation) {
        self.own.name.incarnation = incarnation;
        let claim_wait = Duration::from_millis(self.settings.claim_wait_ms);
        self.leases.adopt_incarnation(self.own.name.clone());
        self.assignment = Assignment::new(self.own.clone(), self.times, claim_wait);
        self.lender = Lender::default();
        self.permits = PermitLender::default();
        self.calls.forget_lease_calls();
    }

    /// Adopts a later incarnation of this daemon, and updates the candidates.
    fn apply_fleet(&mut self, now: Instant, fleet: Arc<Fleet>) {
        let own = fleet.daemons.get(&self.own.name.daemon);
        let own = own.filter(|own| own.incarnation > self.own.name.incarnation);
        if let Some(own) = own {
            self.adopt_incarnation(own.incarnation);
        }
        let mut others = Vec::new();
        for entry in fleet.daemons.values() {
            if entry.leaving {
                continue;
            }
            others.push(Candidate {
                name: PeerName {
                    daemon: entry.daemon.clone(),
                    incarnation: entry.incarnation,
                },
                domain: entry.domain.clone(),
            });
        }
        self.assignment.set_candidates(now, others);
        self.fleet = fleet;
    }
}

/// Interval at which unused buckets and organisations are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);
