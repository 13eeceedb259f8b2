//! Checks a contract file and turns it into changes of the configuration.

use std::collections::{BTreeMap, BTreeSet};

use sha2::{Digest, Sha256};

use super::message::ContractFile;
use crate::contract::{check_change, Change, ContractError, ObjectId, ObjectState, View};
use crate::types::{OperationId, RouteId, ServiceId};

/// Returns one change for each contract of the file, services first, including those already in
/// force.
pub fn contract_changes(file: &ContractFile) -> Vec<Change> {
    let mut changes = Vec::new();
    for contract in &file.services {
        let contract = contract.clone();
        changes.push(Change::PublishService { contract });
    }
    for contract in &file.organisations {
        let contract = contract.clone();
        changes.push(Change::PublishOrganisation { contract });
    }
    changes
}

/// Returns every invalid field of the file; none if the file is valid.
pub fn check_contracts(view: &View, file: &ContractFile) -> Vec<ContractError> {
    let mut errors = Vec::new();
    let mut objects = BTreeSet::new();
    for change in contract_changes(file) {
        errors.extend(check_change(&change));
        let object = ObjectId::of(&change).to_string();
        if !objects.insert(object.clone()) {
            errors.push(contract_error(&object, &object, "stands twice in the file"));
        }
    }
    check_routes(view, file, &mut errors);
    errors
}

/// Returns whether an object already has the contents that a change would give it.
pub fn is_in_force(view: &View, change: &Change) -> bool {
    let held = view.object(&ObjectId::of(change));
    match (change, held) {
        (Change::PublishOrganisation { contract }, ObjectState::Organisation(held)) => {
            *contract == *held
        }
        (Change::PublishService { contract }, ObjectState::Service(held)) => *contract == *held,
        _ => false,
    }
}

/// Derives the operation of one object from that of its request, so that a request that is sent
/// again has the same operations.
pub fn object_operation(request: OperationId, object: &ObjectId) -> OperationId {
    let mut hash = Sha256::new();
    hash.update(request.to_be_bytes());
    hash.update(object.to_string().as_bytes());
    let digest: [u8; 32] = hash.finalize().into();
    let mut id = [0; 16];
    id.copy_from_slice(&digest[..16]);
    uuid::Builder::from_random_bytes(id).into_uuid().as_u128()
}

/// Adds an error for each route or path that another service owns, and for each route of an
/// organisation that no service has.
fn check_routes(view: &View, file: &ContractFile, errors: &mut Vec<ContractError>) {
    let replaced: BTreeSet<&ServiceId> = file
        .services
        .iter()
        .map(|contract| &contract.service)
        .collect();
    let mut route_owners: BTreeMap<&RouteId, &ServiceId> = BTreeMap::new();
    let mut path_owners: BTreeMap<(&str, &str), &ServiceId> = BTreeMap::new();
    for contract in view.services.values() {
        if replaced.contains(&contract.service) {
            continue;
        }
        for route in &contract.routes {
            route_owners.insert(&route.route, &contract.service);
            path_owners.insert((&route.method, &route.path_prefix), &contract.service);
        }
    }
    for contract in &file.services {
        for route in &contract.routes {
            let field = format!("service/{}.routes.{}", contract.service, route.route);
            let owner = route_owners.insert(&route.route, &contract.service);
            if owner.is_some_and(|owner| *owner != contract.service) {
                errors.push(contract_error(
                    &field,
                    &route.route,
                    "is a route of another service",
                ));
            }
            let path = (route.method.as_str(), route.path_prefix.as_str());
            let owner = path_owners.insert(path, &contract.service);
            if owner.is_some_and(|owner| *owner != contract.service) {
                let value = format!("{} {}", route.method, route.path_prefix);
                errors.push(contract_error(
                    &field,
                    &value,
                    "is a path of another service",
                ));
            }
        }
    }
    for contract in &file.organisations {
        for route in &contract.routes {
            if route_owners.contains_key(route) {
                continue;
            }
            let field = format!("organisation/{}.routes", contract.organisation);
            errors.push(contract_error(&field, route, "is a route of no service"));
        }
    }
}

fn contract_error(field: &str, value: &str, problem: &str) -> ContractError {
    ContractError {
        field: field.to_owned(),
        value: format!("{value:?}"),
        problem: problem.to_owned(),
    }
}
