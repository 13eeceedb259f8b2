//! Decisions of the operator duty: what is asked of the journal, and what operators are told.

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

/// State of the operator duty.
pub struct OperatorState {
    daemon: DaemonId,
    incarnation: Incarnation,
    view: Arc<View>,
    fleet: Arc<Fleet>,
    usable: bool,
    reachable: bool,
    waiting: HashMap<Ticket, Waiting>,
    /// The requests that wait for an operation.
    operations: HashMap<OperationId, Vec<Ticket>>,
}

struct Waiting {
    results: Vec<ChangeResult>,
    /// Results without an outcome yet.
    open: Vec<(OperationId, usize)>,
}

/// Who asks, and when.
struct Asker {
    ticket: Ticket,
    operator: String,
    at_ms: u64,
}

impl OperatorState {
    /// The state of a daemon that has read nothing.
    pub fn new(daemon: DaemonId, incarnation: Incarnation) -> OperatorState {
        OperatorState {
            daemon,
            incarnation,
            view: Arc::default(),
            fleet: Arc::default(),
            usable: false,
            reachable: true,
            waiting: HashMap::new(),
            operations: HashMap::new(),
        }
    }

    /// Takes one event and gives what is to be done.
    pub fn handle(&mut self, event: OperatorEvent) -> Vec<OperatorAction> {
        match event {
            OperatorEvent::View(view) => self.view = view,
            OperatorEvent::Fleet(fleet) => self.fleet = fleet,
            OperatorEvent::Usable(usable) => self.usable = usable,
            OperatorEvent::Reachable(reachable) => self.reachable = reachable,
            OperatorEvent::Trail { ticket, trail } => {
                return vec![answer(ticket, OperatorAnswer::Trail(trail))];
            }
            OperatorEvent::Resolved { operation, outcome } => {
                return self.resolved(operation, &outcome);
            }
            OperatorEvent::Arrived {
                ticket,
                operator,
                at_ms,
                request,
            } => {
                let asker = Asker {
                    ticket,
                    operator,
                    at_ms,
                };
                return self.arrived(&asker, request);
            }
        }
        Vec::new()
    }

    fn arrived(&mut self, asker: &Asker, request: OperatorRequest) -> Vec<OperatorAction> {
        let ticket = asker.ticket;
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
            OperatorRequest::Trail(query) => vec![OperatorAction::Ask { ticket, query }],
            change => self.change(asker, change),
        }
    }

    fn change(&mut self, asker: &Asker, request: OperatorRequest) -> Vec<OperatorAction> {
        match request {
            OperatorRequest::Publish(request) => self.publish(asker, &request),
            OperatorRequest::Grant {
                operation,
                organisation,
                key_hash,
            } => {
                if !self.view.organisations.contains_key(&organisation) {
                    return refuse_field(asker, "organisation", &organisation, "has no contract");
                }
                let change = Change::GrantKey {
                    organisation,
                    key_hash,
                };
                self.submit(asker, vec![(operation, None, change)])
            }
            OperatorRequest::Withdraw {
                operation,
                key_hash,
            } => {
                if self.view.key(&key_hash) == KeyLookup::Unknown && self.usable {
                    let hash = hex::encode(&key_hash);
                    return refuse_field(asker, "key", &hash, "was never granted");
                }
                let change = Change::WithdrawKey { key_hash };
                let base = self.view.base_of(&change);
                self.submit(asker, vec![(operation, base, change)])
            }
            OperatorRequest::DomainOut {
                operation,
                domain,
                override_floor,
            } => self.domain_out(asker, operation, domain, override_floor),
            OperatorRequest::DomainIn { operation, domain } => {
                if !self.view.domains_out.contains(&domain) {
                    return refuse_field(asker, "domain", &domain, "is not out of service");
                }
                let change = Change::DomainIn { domain };
                let base = self.view.base_of(&change);
                self.submit(asker, vec![(operation, base, change)])
            }
            _ => Vec::new(),
        }
    }

    fn publish(&mut self, asker: &Asker, request: &PublishRequest) -> Vec<OperatorAction> {
        if !self.usable {
            return refuse(asker, Refusal::of(ErrorKind::NoView));
        }
        let errors = publish::check(&self.view, &request.contracts);
        if !errors.is_empty() {
            return refuse(asker, Refusal::invalid(errors));
        }
        let mut changes = Vec::new();
        for change in publish::changes(&request.contracts) {
            let object = ObjectId::of(&change);
            let base = match request.bases.get(&object.to_string()) {
                Some(base) => *base,
                None => self.view.base_of(&change),
            };
            let operation = publish::operation_of(request.operation, &object);
            changes.push((operation, base, change));
        }
        self.submit(asker, changes)
    }

    fn domain_out(
        &mut self,
        asker: &Asker,
        operation: OperationId,
        domain: DomainId,
        override_floor: bool,
    ) -> Vec<OperatorAction> {
        let broken = floor::broken_by(&self.view, &self.fleet, &domain);
        let mut evidence = vec![("operator".to_owned(), asker.operator.clone())];
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
            at_ms: asker.at_ms,
            subject: Subject::Domain(domain.clone()),
            verdict: verdict.to_owned(),
            rule: "operator.floor".to_owned(),
            evidence: evidence.clone(),
        };
        let mut actions = vec![OperatorAction::Decide(decision)];
        if !broken.is_empty() && !override_floor {
            let mut refusal = Refusal::of(ErrorKind::FloorBroken);
            for (field, value) in evidence.into_iter().skip(1) {
                refusal.errors.push(ContractError {
                    field,
                    value,
                    problem: "would be below its floor".to_owned(),
                });
            }
            actions.extend(refuse(asker, refusal));
            return actions;
        }
        let change = Change::DomainOut {
            domain,
            override_floor,
        };
        let base = self.view.base_of(&change);
        actions.extend(self.submit(asker, vec![(operation, base, change)]));
        actions
    }

    fn submit(
        &mut self,
        asker: &Asker,
        changes: Vec<(OperationId, Option<Offset>, Change)>,
    ) -> Vec<OperatorAction> {
        let mut waiting = Waiting {
            results: Vec::new(),
            open: Vec::new(),
        };
        let mut actions = Vec::new();
        for (operation, base, change) in changes {
            waiting.results.push(ChangeResult {
                object: ObjectId::of(&change).to_string(),
                operation: format_id(operation),
                outcome: None,
            });
            if publish::is_in_force(&self.view, &change) {
                continue;
            }
            waiting.open.push((operation, waiting.results.len() - 1));
            let tickets = self.operations.entry(operation).or_default();
            tickets.push(asker.ticket);
            actions.push(OperatorAction::Submit(Box::new(Record {
                operation,
                base,
                author: asker.operator.clone(),
                at_ms: asker.at_ms,
                change,
            })));
        }
        if waiting.open.is_empty() {
            let results = OperatorAnswer::Results(waiting.results);
            actions.push(answer(asker.ticket, results));
            return actions;
        }
        self.waiting.insert(asker.ticket, waiting);
        actions
    }

    fn resolved(&mut self, operation: OperationId, outcome: &SubmitOutcome) -> Vec<OperatorAction> {
        let mut actions = Vec::new();
        for ticket in self.operations.remove(&operation).unwrap_or_default() {
            let Some(waiting) = self.waiting.get_mut(&ticket) else {
                continue;
            };
            for (_, index) in waiting.open.iter().filter(|(id, _)| *id == operation) {
                waiting.results[*index].outcome = Some(outcome.clone());
            }
            waiting.open.retain(|(id, _)| *id != operation);
            if !waiting.open.is_empty() {
                continue;
            }
            if let Some(waiting) = self.waiting.remove(&ticket) {
                actions.push(answer(ticket, OperatorAnswer::Results(waiting.results)));
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
            log_reachable: self.reachable,
            tombstone_count: view.tombstones.len(),
            organisation_count: view.organisations.len(),
            service_count: view.services.len(),
            key_count: view.keys().count(),
            daemon_count: self.fleet.daemons.len().max(1),
            domains_out: view.domains_out.clone(),
            services: floor::services(view, &self.fleet, &view.domains_out),
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
            let held = rows
                .entry(daemon.domain.clone())
                .or_insert_with(|| row(&daemon.domain));
            held.daemon_count += 1;
            held.server_count += daemon.servers.len();
        }
        rows.into_values().collect()
    }
}

fn answer(ticket: Ticket, answer: OperatorAnswer) -> OperatorAction {
    OperatorAction::Answer { ticket, answer }
}

fn refuse(asker: &Asker, refusal: Refusal) -> Vec<OperatorAction> {
    vec![answer(asker.ticket, OperatorAnswer::Refused(refusal))]
}

fn refuse_field(asker: &Asker, field: &str, value: &str, problem: &str) -> Vec<OperatorAction> {
    let error = ContractError {
        field: field.to_owned(),
        value: format!("{value:?}"),
        problem: problem.to_owned(),
    };
    refuse(asker, Refusal::invalid(vec![error]))
}
