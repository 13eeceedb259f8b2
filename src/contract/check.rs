//! Checks that a change is valid whatever the view.

use std::collections::BTreeSet;
use std::fmt::Display;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::message::{Change, OrganisationContract, RouteContract, ServiceContract};

/// One invalid field of a contract.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
#[error("{field}: {value} {problem}")]
pub struct ContractError {
    /// Object and field, such as `organisation/optician-1.rate_per_s`.
    pub field: String,
    /// The value that the field has.
    pub value: String,
    /// What a valid value must be.
    pub problem: String,
}

/// Longest name of an organisation, service, route or failure domain.
pub const NAME_LIMIT_BYTES: usize = 128;
/// Greatest rate of one organisation or one cold server, in requests a second.
pub const RATE_LIMIT_PER_S: f64 = 10_000_000.0;
/// Greatest burst of one organisation, in requests.
pub const BURST_LIMIT_COUNT: u32 = 100_000_000;
/// Greatest weight of an organisation under overload.
pub const WEIGHT_LIMIT_SHARE: u32 = 10_000;
/// Most slots of one backend server.
pub const SLOTS_LIMIT_COUNT: u32 = 100_000;
/// Most routes of one service, and of one organisation.
pub const ROUTES_LIMIT_COUNT: usize = 4_096;
/// Longest deadline of a route.
pub const DEADLINE_LIMIT_MS: u64 = 3_600_000;
/// Longest body that a route may allow.
pub const BODY_LIMIT_BYTES: u64 = 1 << 34;
/// Longest path prefix of a route.
pub const PREFIX_LIMIT_BYTES: usize = 1_024;

/// Returns every invalid field of the change; empty if the change is valid.
///
/// Depends on the change only, so that every reader of the log comes to the same result.
pub fn check_change(change: &Change) -> Vec<ContractError> {
    match change {
        Change::PublishOrganisation { contract } => check_organisation(contract),
        Change::PublishService { contract } => check_service(contract),
        Change::GrantKey { organisation, .. } => {
            let mut checker = Checker::new("key".to_owned());
            checker.name("organisation", organisation);
            checker.errors
        }
        Change::WithdrawKey { .. } => Vec::new(),
        Change::DomainOut { domain, .. } | Change::DomainIn { domain } => {
            let mut checker = Checker::new("domain".to_owned());
            checker.name("domain", domain);
            checker.errors
        }
    }
}

/// Returns every invalid field of an organisation's contract.
fn check_organisation(contract: &OrganisationContract) -> Vec<ContractError> {
    let mut checker = Checker::new(format!("organisation/{}", contract.organisation));
    checker.name("organisation", &contract.organisation);
    checker.require(
        contract.rate_per_s > 0.0 && contract.rate_per_s <= RATE_LIMIT_PER_S,
        "rate_per_s",
        contract.rate_per_s,
        "must be above 0 and at most 10000000",
    );
    checker.require(
        (1..=BURST_LIMIT_COUNT).contains(&contract.burst_count),
        "burst_count",
        contract.burst_count,
        "must be from 1 to 100000000",
    );
    checker.require(
        (1..=WEIGHT_LIMIT_SHARE).contains(&contract.weight_share),
        "weight_share",
        contract.weight_share,
        "must be from 1 to 10000",
    );
    checker.count("routes", contract.routes.len());
    let mut seen = BTreeSet::new();
    for (index, route) in contract.routes.iter().enumerate() {
        let field = format!("routes[{index}]");
        checker.name(&field, route);
        checker.require(
            seen.insert(route),
            &field,
            quoted(route),
            "must be named once",
        );
    }
    checker.errors
}

/// Returns every invalid field of a service's contract.
fn check_service(contract: &ServiceContract) -> Vec<ContractError> {
    let mut checker = Checker::new(format!("service/{}", contract.service));
    checker.name("service", &contract.service);
    checker.require(
        (0.0..=1.0).contains(&contract.floor_share),
        "floor_share",
        contract.floor_share,
        "must be from 0 to 1",
    );
    checker.require(
        (0.0..=RATE_LIMIT_PER_S).contains(&contract.cold_rate_per_s),
        "cold_rate_per_s",
        contract.cold_rate_per_s,
        "must be from 0 to 10000000",
    );
    checker.require(
        contract.health_path.is_empty() || contract.health_path.starts_with('/'),
        "health_path",
        quoted(&contract.health_path),
        "must be empty or a path that starts with /",
    );
    checker.require(
        (1..=SLOTS_LIMIT_COUNT).contains(&contract.slots_count),
        "slots_count",
        contract.slots_count,
        "must be from 1 to 100000",
    );
    checker.count("routes", contract.routes.len());
    let mut names = BTreeSet::new();
    let mut matchers = BTreeSet::new();
    for (index, route) in contract.routes.iter().enumerate() {
        let field = format!("routes[{index}]");
        check_route(&mut checker, &field, route);
        checker.require(
            names.insert(&route.route),
            &format!("{field}.route"),
            quoted(&route.route),
            "must be named once",
        );
        checker.require(
            matchers.insert((&route.host, &route.method, &route.path_prefix)),
            &format!("{field}.path_prefix"),
            quoted(&route.path_prefix),
            "must be given once for its host and method",
        );
    }
    checker.errors
}

/// Adds every invalid field of one route to the errors of `checker`.
fn check_route(checker: &mut Checker, field: &str, route: &RouteContract) {
    checker.name(&format!("{field}.route"), &route.route);
    let method_valid = route.method.len() <= METHOD_LIMIT_BYTES
        && route.method.bytes().all(|byte| byte.is_ascii_uppercase());
    checker.require(
        method_valid,
        &format!("{field}.method"),
        quoted(&route.method),
        "must be a method in upper case, or empty",
    );
    let host_valid = route.host.len() <= NAME_LIMIT_BYTES && route.host.bytes().all(is_name_byte);
    checker.require(
        host_valid,
        &format!("{field}.host"),
        quoted(&route.host),
        "must be at most 128 letters, digits, dots, colons, hyphens or underscores",
    );
    let split_weight: u64 = route
        .split
        .iter()
        .map(|part| u64::from(part.weight_share))
        .sum();
    checker.require(
        route.split.is_empty() || split_weight > 0,
        &format!("{field}.split"),
        format!("{} parts", route.split.len()),
        "must have a part with a weight above 0",
    );
    let prefix_valid = route.path_prefix.starts_with('/')
        && route.path_prefix.len() <= PREFIX_LIMIT_BYTES
        && route.path_prefix.bytes().all(is_path_byte);
    checker.require(
        prefix_valid,
        &format!("{field}.path_prefix"),
        quoted(&route.path_prefix),
        "must be a path that starts with / and has no query",
    );
    checker.require(
        (1..=DEADLINE_LIMIT_MS).contains(&route.deadline_ms),
        &format!("{field}.deadline_ms"),
        route.deadline_ms,
        "must be from 1 to 3600000",
    );
    checker.require(
        route.body_limit_bytes <= BODY_LIMIT_BYTES,
        &format!("{field}.body_limit_bytes"),
        route.body_limit_bytes,
        "must be at most 17179869184",
    );
}

/// Longest HTTP method of a route.
const METHOD_LIMIT_BYTES: usize = 16;

/// Returns whether a byte may be part of a path prefix.
fn is_path_byte(byte: u8) -> bool {
    byte.is_ascii_graphic() && !matches!(byte, b'?' | b'#')
}

/// Returns whether a byte may be part of a name.
fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'_' | b'-' | b':')
}

/// Returns the text in quotes, with control characters escaped.
fn quoted(value: &str) -> String {
    format!("{value:?}")
}

/// Collects the errors of one object.
struct Checker {
    /// Name of the object, the first part of each error's field.
    object: String,
    /// The errors found so far.
    errors: Vec<ContractError>,
}

impl Checker {
    /// Creates a checker that has found no error.
    fn new(object: String) -> Checker {
        Checker {
            object,
            errors: Vec::new(),
        }
    }

    /// Adds an error unless the field is valid.
    fn require(&mut self, valid: bool, field: &str, value: impl Display, problem: &str) {
        if valid {
            return;
        }
        self.errors.push(ContractError {
            field: format!("{}.{field}", self.object),
            value: value.to_string(),
            problem: problem.to_owned(),
        });
    }

    /// Adds an error unless the field holds a valid name.
    fn name(&mut self, field: &str, name: &str) {
        let valid = (1..=NAME_LIMIT_BYTES).contains(&name.len()) && name.bytes().all(is_name_byte);
        self.require(
            valid,
            field,
            quoted(name),
            "must be 1 to 128 letters, digits, dots, colons, hyphens or underscores",
        );
    }

    /// Adds an error if a list has too many entries.
    fn count(&mut self, field: &str, count: usize) {
        self.require(
            count <= ROUTES_LIMIT_COUNT,
            field,
            format!("{count} entries"),
            "must be at most 4096 entries",
        );
    }
}
