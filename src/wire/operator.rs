//! The operators' API as HTTP and JSON. Server and client use the same types.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::exchange::WholeAnswer;
use super::hex;
use crate::audit::{Subject, TrailQuery};
use crate::contract::ContractError;
use crate::error::ErrorKind;
use crate::operator::message::{ContractFile, PublishRequest, Refusal};
use crate::operator::{OperatorAnswer, OperatorRequest};
use crate::types::{new_operation_id, parse_id, DomainId, Offset, OperationId, OrganisationId};

/// Contracts: GET shows them, POST puts a `PublishBody` in force.
pub const CONTRACTS: &str = "/v1/contracts";
/// Keys: GET lists them, `?organisation=NAME` of one; POST grants by a `GrantBody`.
pub const KEYS: &str = "/v1/keys";
/// POST withdraws a key by a `WithdrawBody`.
pub const KEYS_WITHDRAW: &str = "/v1/keys/withdraw";
/// GET lists failure domains.
pub const DOMAINS: &str = "/v1/domains";
/// POST takes a failure domain out by a `DomainBody`.
pub const DOMAINS_OUT: &str = "/v1/domains/out";
/// POST brings a failure domain back by a `DomainBody`.
pub const DOMAINS_IN: &str = "/v1/domains/in";
/// GET tells how the daemon is.
pub const STATUS: &str = "/v1/status";
/// GET tells what is recorded about `?subject=KIND:NAME`.
pub const EXPLAIN: &str = "/v1/explain";
/// GET gives the newest changes and decisions, `?limit=N`.
pub const AUDIT: &str = "/v1/audit";

const TRAIL_LIMIT_COUNT: usize = 100;

/// Contracts to be put in force.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PublishBody {
    /// Names the request, so that it may be sent again; a fresh one when absent.
    pub operation: Option<String>,
    /// The contracts.
    pub contracts: ContractFile,
    /// Versions that the operator has seen, by object.
    pub bases: BTreeMap<String, Option<Offset>>,
}

/// A key to be granted.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrantBody {
    /// Names the request.
    #[serde(default)]
    pub operation: Option<String>,
    /// To whom.
    pub organisation: OrganisationId,
    /// SHA-256 of the key, in hexadecimal.
    pub key_hash: String,
}

/// A key to be withdrawn.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WithdrawBody {
    /// Names the request.
    #[serde(default)]
    pub operation: Option<String>,
    /// SHA-256 of the key, in hexadecimal.
    pub key_hash: String,
}

/// A failure domain to be taken out or brought back.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DomainBody {
    /// Names the request.
    #[serde(default)]
    pub operation: Option<String>,
    /// The domain.
    pub domain: DomainId,
    /// Whether services may fall below their floor.
    #[serde(default)]
    pub override_floor: bool,
}

/// Reads a request, or says why it can't be read.
pub fn decode(method: &str, target: &str, body: &[u8]) -> Result<OperatorRequest, Refusal> {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    match (method, path) {
        ("GET", STATUS) => Ok(OperatorRequest::Status),
        ("GET", CONTRACTS) => Ok(OperatorRequest::Contracts),
        ("GET", DOMAINS) => Ok(OperatorRequest::Domains),
        ("GET", KEYS) => Ok(OperatorRequest::Keys {
            organisation: parameter(query, "organisation").map(|name| name.as_str().into()),
        }),
        ("GET", EXPLAIN) => explain(query),
        ("GET", AUDIT) => Ok(OperatorRequest::Trail(TrailQuery {
            subject: None,
            limit_count: limit(query),
        })),
        ("POST", CONTRACTS) => publish(body),
        ("POST", KEYS) => grant(body),
        ("POST", KEYS_WITHDRAW) => withdraw(body),
        ("POST", DOMAINS_OUT | DOMAINS_IN) => domain(path, body),
        _ => Err(Refusal::new(ErrorKind::PathUnknown)),
    }
}

/// Writes an answer.
pub fn encode(answer: &OperatorAnswer) -> WholeAnswer {
    let status = match answer {
        OperatorAnswer::Refused(refusal) => refusal.kind.row().status,
        _ => 200,
    };
    let content = ("content-type".to_owned(), "application/json".to_owned());
    WholeAnswer {
        status,
        headers: vec![content],
        body: serde_json::to_vec(answer).expect("plain values become JSON"),
    }
}

fn explain(query: &str) -> Result<OperatorRequest, Refusal> {
    let text = parameter(query, "subject").unwrap_or_default();
    let subject: Subject = text
        .parse()
        .map_err(|problem: String| wrong("subject", &text, &problem))?;
    Ok(OperatorRequest::Trail(TrailQuery {
        subject: Some(subject),
        limit_count: limit(query),
    }))
}

fn publish(body: &[u8]) -> Result<OperatorRequest, Refusal> {
    let body: PublishBody = parse(body)?;
    Ok(OperatorRequest::Publish(PublishRequest {
        operation: operation(body.operation)?,
        contracts: body.contracts,
        bases: body.bases,
    }))
}

fn grant(body: &[u8]) -> Result<OperatorRequest, Refusal> {
    let body: GrantBody = parse(body)?;
    Ok(OperatorRequest::GrantKey {
        operation: operation(body.operation)?,
        organisation: body.organisation,
        key_hash: key_hash(&body.key_hash)?,
    })
}

fn withdraw(body: &[u8]) -> Result<OperatorRequest, Refusal> {
    let body: WithdrawBody = parse(body)?;
    Ok(OperatorRequest::WithdrawKey {
        operation: operation(body.operation)?,
        key_hash: key_hash(&body.key_hash)?,
    })
}

fn domain(path: &str, body: &[u8]) -> Result<OperatorRequest, Refusal> {
    let body: DomainBody = parse(body)?;
    let operation = operation(body.operation)?;
    let domain = body.domain;
    if path == DOMAINS_IN {
        return Ok(OperatorRequest::DomainIn { operation, domain });
    }
    Ok(OperatorRequest::DomainOut {
        operation,
        domain,
        override_floor: body.override_floor,
    })
}

fn parse<T: for<'de> Deserialize<'de>>(body: &[u8]) -> Result<T, Refusal> {
    serde_json::from_slice(body).map_err(|error| Refusal {
        text: format!("The body can't be read: {error}."),
        ..Refusal::new(ErrorKind::ChangeInvalid)
    })
}

fn operation(text: Option<String>) -> Result<OperationId, Refusal> {
    match text {
        None => Ok(new_operation_id()),
        Some(text) => parse_id(&text).ok_or_else(|| wrong("operation", &text, "must be a UUID")),
    }
}

fn key_hash(text: &str) -> Result<[u8; 32], Refusal> {
    hex::decode_32(text).ok_or_else(|| wrong("key_hash", text, "must be 64 hexadecimal digits"))
}

fn limit(query: &str) -> usize {
    parameter(query, "limit")
        .and_then(|text| text.parse().ok())
        .unwrap_or(TRAIL_LIMIT_COUNT)
}

fn wrong(field: &str, value: &str, problem: &str) -> Refusal {
    Refusal::invalid(vec![ContractError {
        field: field.to_owned(),
        value: format!("{value:?}"),
        problem: problem.to_owned(),
    }])
}

/// The value of a query's parameter. Names of objects need no escapes.
fn parameter(query: &str, name: &str) -> Option<String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut values = pairs.filter(|(key, _)| *key == name);
    values.next().map(|(_, value)| value.replace("%3A", ":"))
}
