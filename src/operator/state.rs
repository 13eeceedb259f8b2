//! Decisions of the operator duty: answers queries and turns requests into changes for the journal.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use super::message::{
    ChangeResult, ContractsAnswer, DomainRow, KeyRow, OperatorAction, OperatorAnswer,
    OperatorEvent, OperatorRequest, PublishRequest, Refusal, StatusAnswer, Ticket, Versioned,
};
use super::{floor, publish};
use crate::audit::{Decision, Subject};
use crate::contract::{Change, ContractError, KeyLookup, ObjectId, Record, View};
use crate::error::ErrorKind;
use crate::journal::SubmitOutcome;
use crate::membership::Fleet;
use crate::types::{
    format_id, DaemonId, DomainId, Incarnation, Offset, OperationId, OrganisationId,
};
use crate::wire::hex;

/// State of the operator duty, free of input and output.
pub struct OperatorState {
    daemon: DaemonId,
    incarnation: Incarnation,
    view: Arc<View>,
    fleet: Arc<Fleet>,
    usable: bool,
    log_reachable: bool,
    pending: HashMap<Ticket, PendingRequest>,
    /// Requests that wait for the outcome of each operation.
    tickets: HashMap<OperationId, Vec<Ticket>>,
}

/// A request whose changes were submitted and that waits for their outcomes.
struct PendingRequest {
    results: Vec<ChangeResult>,
    /// Operations without an outcome yet, with their index in `results`.
    unresolved: Vec<(OperationId, usize)>,
}

/// Origin of a request: its ticket, its operator and the time of its arrival.
struct Origin {
    ticket: Ticket,
    operator: String,
    at_ms: u64,
}

impl OperatorState {
    /// Creates the state of a daemon that has read no configuration.
    pub fn new(daemon: DaemonId, incarnation: Incarnation) -> OperatorState {
        OperatorState {
            daemon,
            incarnation,
            view: Arc::default(),
            fleet: Arc::default(),
            usable: false,
            log_reachable: true,
            pending: HashMap::new(),
            tickets: HashMap::new(),
        }
    }

    /// Handles one event and returns the actions that follow from it.
    pub fn handle(&mut self, event: OperatorEvent) -> Vec<OperatorAction> {
        match event {
            OperatorEvent::View(view) => self.view = view,
            OperatorEvent::Fleet(fleet) => self.fleet = fleet,
            OperatorEvent::ViewUsable(usable) => self.usable = usable,
            OperatorEvent::LogReachable(reachable) => self.log_reachable = reachable,
            OperatorEvent::TrailAnswered { ticket, trail } => {
                return vec![answer(ticket, OperatorAnswer::Trail(trail))];
            }
            OperatorEvent::ChangeResolved { operation, outcome } => {
                return self.resolve(operation, &outcome);
            }
            OperatorEvent::RequestArrived {
                ticket,
                operator,
                at_ms,
                request,
            } => {
                let origin = Origin {
                    ticket,
                    operator,
                    at_ms,
                };
                return self.handle_request(&origin, request);
            }
        }
        Vec::new()
    }

    fn handle_request(&mut self, origin: &Origin, request: OperatorRequest) -> Vec<OperatorAction> {
        let ticket = origin.ticket;
        match request {
            OperatorRequest::Status => {
                let status = Box::new(self.status());
                vec![answer(ticket, OperatorAnswer::Status(status))]
            }
            OperatorRequest::Contracts => {
                vec![answer(ticket, OperatorAnswer::Contracts(self.contracts()))]
            }
            OperatorRequest::Keys { organisation } => {
                let keys = self.keys(organisation.as_ref());
                vec![answer(ticket, OperatorAnswer::Keys(keys))]
            }
            OperatorRequest::Domains => {
                vec![answer(ticket, OperatorAnswer::Domains(self.domains()))]
            }
            OperatorRequest::Trail(query) => vec![OperatorAction::QueryTrail { ticket, query }],
            change => self.handle_change(origin, change),
        }
    }

    fn handle_change(&mut self, origin: &Origin, request: OperatorRequest) -> Vec<OperatorAction> {
        match request {
            OperatorRequest::Publish(request) => self.publish(origin, &request),
            OperatorRequest::GrantKey {
                operation,
                organisation,
                key_hash,
            } => {
                if !self.view.organisations.contains_key(&organisation) {
                    return refuse_field(origin, "organisation", &organisation, "has no contract");
                }
                let change = Change::GrantKey {
                    organisation,
                    key_hash,
                };
                self.submit(origin, vec![(operation, None, change)])
            }
            OperatorRequest::WithdrawKey {
                operation,
                key_hash,
            } => {
                if self.view.key(&key_hash) == KeyLookup::Unknown && self.usable {
                    let hash = hex::encode(&key_hash);
                    return refuse_field(origin, "key", &hash, "was never granted");
                }
                let change = Change::WithdrawKey { key_hash };
                let base = self.view.base_of(&change);
                self.submit(origin, vec![(operation, base, change)])
            }
            OperatorRequest::DomainOut {
                operation,
                domain,
                override_floor,
            } => self.domain_out(origin, operation, domain, override_floor),
            OperatorRequest::DomainIn { operation, domain } => {
                if !self.view.domains_out.contains(&domain) {
                    return refuse_field(origin, "domain", &domain, "is not out of service");
                }
                let change = Change::DomainIn { domain };
                let base = self.view.base_of(&change);
                self.submit(origin, vec![(operation, base, change)])
            }
            _ => Vec::new(),
        }
    }

    fn publish(&mut self, origin: &Origin, request: &PublishRequest) -> Vec<OperatorAction> {
        if !self.usable {
            return refuse(origin, Refusal::new(ErrorKind::NoView));
        }
        let errors = publish::check_contracts(&self.view, &request.contracts);
        if !errors.is_empty() {
            return refuse(origin, Refusal::invalid(errors));
        }
        let mut changes = Vec::new();
        for change in publish::contract_changes(&request.contracts) {
            let object = ObjectId::of(&change);
            let base = match request.bases.get(&object.to_string()) {
                Some(base) => *base,
                None => self.view.base_of(&change),
            };
            let operation = publish::object_operation(request.operation, &object);
            changes.push((operation, base, change));
        }
        self.submit(origin, changes)
    }

    /// Takes a failure domain out of service unless a service would fall below its floor.
    fn domain_out(
        &mut self,
        origin: &Origin,
        operation: OperationId,
        domain: DomainId,
        override_floor: bool,
    ) -> Vec<OperatorAction> {
        let broken = floor::services_below_floor(&self.view, &self.fleet, &domain);
        let mut evidence = vec![("operator".to_owned(), origin.operator.clone())];
        for status in &broken {
            let counts = format!(
                "{} of {} in service, floor {}",
                status.serving_count, status.server_count, status.floor_count
            );
            evidence.push((format!("service/{}", status.service), counts));
        }
        let verdict = match (broken.is_empty(), override_floor) {
            (true, _) => "out",
            (false, true) => "out-below-floor",
            (false, false) => "refused",
        };
        let decision = Decision {
            at_ms: origin.at_ms,
            subject: Subject::Domain(domain.clone()),
            verdict: verdict.to_owned(),
            rule: "operator.floor".to_owned(),
            evidence: evidence.clone(),
        };
        let mut actions = vec![OperatorAction::RecordDecision(decision)];
        if !broken.is_empty() && !override_floor {
            let mut refusal = Refusal::new(ErrorKind::FloorBroken);
            for (field, value) in evidence.into_iter().skip(1) {
                refusal.errors.push(ContractError {
                    field,
                    value,
                    problem: "would be below its floor".to_owned(),
                });
            }
            actions.extend(refuse(origin, refusal));
            return actions;
        }
        let change = Change::DomainOut {
            domain,
            override_floor,
        };
        let base = self.view.base_of(&change);
        actions.extend(self.submit(origin, vec![(operation, base, change)]));
        actions
    }

    /// Submits the changes of a request, except those whose objects already have the contents.
    fn submit(
        &mut self,
        origin: &Origin,
        changes: Vec<(OperationId, Option<Offset>, Change)>,
    ) -> Vec<OperatorAction> {
        let mut pending = PendingRequest {
            results: Vec::new(),
            unresolved: Vec::new(),
        };
        let mut actions = Vec::new();
        for (operation, base, change) in changes {
            pending.results.push(ChangeResult {
                object: ObjectId::of(&change).to_string(),
                operation: format_id(operation),
                outcome: None,
            });
            if publish::is_in_force(&self.view, &change) {
                continue;
            }
            pending
                .unresolved
                .push((operation, pending.results.len() - 1));
            let tickets = self.tickets.entry(operation).or_default();
            tickets.push(origin.ticket);
            actions.push(OperatorAction::Submit(Box::new(Record {
                operation,
                base,
                author: origin.operator.clone(),
                at_ms: origin.at_ms,
                change,
            })));
        }
        if pending.unresolved.is_empty() {
            let results = OperatorAnswer::Results(pending.results);
            actions.push(answer(origin.ticket, results));
            return actions;
        }
        self.pending.insert(origin.ticket, pending);
        actions
    }

    /// Records a change's outcome, and answers the requests whose last change it was.
    fn resolve(&mut self, operation: OperationId, outcome: &SubmitOutcome) -> Vec<OperatorAction> {
        let mut actions = Vec::new();
        for ticket in self.tickets.remove(&operation).unwrap_or_default() {
            let Some(pending) = self.pending.get_mut(&ticket) else {
                continue;
            };
            for (_, index) in pending.unresolved.iter().filter(|(id, _)| *id == operation) {
                pending.results[*index].outcome = Some(outcome.clone());
            }
            pending.unresolved.retain(|(id, _)| *id != operation);
            if !pending.unresolved.is_empty() {
                continue;
            }
            if let Some(pending) = self.pending.remove(&ticket) {
                actions.push(answer(ticket, OperatorAnswer::Results(pending.results)));
            }
        }
        actions
    }

    fn status(&self) -> StatusAnswer {
        let view = &self.view;
        let own = self.fleet.daemons.get(&self.daemon);
        StatusAnswer {
            daemon: self.daemon.clone(),
            incarnation: own.map_or(self.incarnation, |own| own.incarnation),
            next: view.next,
            usable: self.usable,
            log_reachable: self.log_reachable,
            tombstone_count: view.tombstones.len(),
            organisation_count: view.organisations.len(),
            service_count: view.services.len(),
            key_count: view.keys().count(),
            daemon_count: self.fleet.daemons.len().max(1),
            domains_out: view.domains_out.clone(),
            services: floor::service_statuses(view, &self.fleet, &view.domains_out),
            counts: BTreeMap::new(),
        }
    }

    fn contracts(&self) -> ContractsAnswer {
        let view = &self.view;
        let mut answer = ContractsAnswer {
            next: view.next,
            ..Default::default()
        };
        for (id, contract) in &view.services {
            answer.services.push(Versioned {
                version: view.version(&ObjectId::Service(id.clone())),
                contract: contract.clone(),
            });
        }
        for (id, contract) in &view.organisations {
            answer.organisations.push(Versioned {
                version: view.version(&ObjectId::Organisation(id.clone())),
                contract: contract.clone(),
            });
        }
        let services = &mut answer.services;
        services.sort_by(|a, b| a.contract.service.cmp(&b.contract.service));
        let organisations = &mut answer.organisations;
        organisations.sort_by(|a, b| a.contract.organisation.cmp(&b.contract.organisation));
        answer
    }

    fn keys(&self, organisation: Option<&OrganisationId>) -> Vec<KeyRow> {
        let mut rows = Vec::new();
        for (key_hash, owner, withdrawn) in self.view.keys() {
            if organisation.is_some_and(|wanted| wanted != owner) {
                continue;
            }
            rows.push(KeyRow {
                organisation: owner.clone(),
                key_hash: hex::encode(key_hash),
                withdrawn,
            });
        }
        rows.sort();
        rows
    }

    fn domains(&self) -> Vec<DomainRow> {
        let mut rows: BTreeMap<DomainId, DomainRow> = BTreeMap::new();
        let row = |domain: &DomainId| DomainRow {
            domain: domain.clone(),
            out: self.view.domains_out.contains(domain),
            back_at: self.view.domains_back.get(domain).copied(),
            daemon_count: 0,
            server_count: 0,
        };
        for domain in &self.view.domains_out {
            rows.insert(domain.clone(), row(domain));
        }
        for daemon in self.fleet.daemons.values() {
            let entry = rows
                .entry(daemon.domain.clone())
                .or_insert_with(|| row(&daemon.domain));
            entry.daemon_count += 1;
            entry.server_count += daemon.servers.len();
        }
        rows.into_values().collect()
    }
}

fn answer(ticket: Ticket, answer: OperatorAnswer) -> OperatorAction {
    OperatorAction::Answer { ticket, answer }
}

fn refuse(origin: &Origin, refusal: Refusal) -> Vec<OperatorAction> {
    vec![answer(origin.ticket, OperatorAnswer::Refused(refusal))]
}

fn refuse_field(origin: &Origin, field: &str, value: &str, problem: &str) -> Vec<OperatorAction> {
    let error = ContractError {
        field: field.to_owned(),
        value: format!("{value:?}"),
        problem: problem.to_owned(),
    };
    refuse(origin, Refusal::invalid(vec![error]))
}
