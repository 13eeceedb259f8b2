//! HTTP and JSON encoding of the operator API. The daemon and the command-line client use the same
//! paths and types.

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

/// Path of the contracts: GET returns them, POST applies a `PublishBody`.
pub const CONTRACTS: &str = "/v1/contracts";
/// Path of the API keys: GET lists them, with `?organisation=NAME` those of one organisation; POST
/// grants the key of a `GrantBody`.
pub const KEYS: &str = "/v1/keys";
/// Path at which POST withdraws the key of a `WithdrawBody`.
pub const KEYS_WITHDRAW: &str = "/v1/keys/withdraw";
/// Path at which GET lists the failure domains.
pub const DOMAINS: &str = "/v1/domains";
/// Path at which POST takes the failure domain of a `DomainBody` out of service.
pub const DOMAINS_OUT: &str = "/v1/domains/out";
/// Path at which POST brings the failure domain of a `DomainBody` back into service.
pub const DOMAINS_IN: &str = "/v1/domains/in";
/// Path at which GET returns the status of the daemon.
pub const STATUS: &str = "/v1/status";
/// Path at which GET returns the audit records about `?subject=KIND:NAME`.
pub const EXPLAIN: &str = "/v1/explain";
/// Path at which GET returns the newest changes and decisions, at most `?limit=N` of them.
pub const AUDIT: &str = "/v1/audit";

/// Greatest number of audit records in an answer if the request names no limit.
const DEFAULT_TRAIL_LIMIT_COUNT: usize = 100;

/// Request body with contracts to be applied.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PublishBody {
    /// Operation id (a UUID), so that the request can be repeated safely; generated when absent.
    pub operation: Option<String>,
    /// The contracts to be applied.
    pub contracts: ContractFile,
    /// Versions that the operator has seen of the objects to be changed, by object.
    pub bases: BTreeMap<String, Option<Offset>>,
}

/// Request body with a key to be granted.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrantBody {
    /// Operation id (a UUID), so that the request can be repeated safely; generated when absent.
    #[serde(default)]
    pub operation: Option<String>,
    /// The organisation that the key is granted to.
    pub organisation: OrganisationId,
    /// SHA-256 of the key, in hexadecimal.
    pub key_hash: String,
}

/// Request body with a key to be withdrawn.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WithdrawBody {
    /// Operation id (a UUID), so that the request can be repeated safely; generated when absent.
    #[serde(default)]
    pub operation: Option<String>,
    /// SHA-256 of the key, in hexadecimal.
    pub key_hash: String,
}

/// Request body with a failure domain to be taken out of service or brought back.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DomainBody {
    /// Operation id (a UUID), so that the request can be repeated safely; generated when absent.
    #[serde(default)]
    pub operation: Option<String>,
    /// Id of the failure domain.
    pub domain: DomainId,
    /// Whether services may fall below their floor when the domain is taken out.
    #[serde(default)]
    pub override_floor: bool,
}

/// Decodes an operator's HTTP request, or returns the refusal that says why it can't be decoded.
pub fn decode(method: &str, target: &str, body: &[u8]) -> Result<OperatorRequest, Refusal> {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    match (method, path) {
        ("GET", STATUS) => Ok(OperatorRequest::Status),
        ("GET", CONTRACTS) => Ok(OperatorRequest::Contracts),
        ("GET", DOMAINS) => Ok(OperatorRequest::Domains),
        ("GET", KEYS) => Ok(OperatorRequest::Keys {
            organisation: parameter(query, "organisation").map(|name| name.as_str().into()),
        }),
        ("GET", EXPLAIN) => decode_explain(query),
        ("GET", AUDIT) => Ok(OperatorRequest::Trail(TrailQuery {
            subject: None,
            limit_count: parse_limit(query),
        })),
        ("POST", CONTRACTS) => decode_publish(body),
        ("POST", KEYS) => decode_grant(body),
        ("POST", KEYS_WITHDRAW) => decode_withdraw(body),
        ("POST", DOMAINS_OUT | DOMAINS_IN) => decode_domain_change(path, body),
        _ => Err(Refusal::new(ErrorKind::PathUnknown)),
    }
}

/// Encodes an answer to an operator as an HTTP answer with a JSON body.
pub fn encode(answer: &OperatorAnswer) -> WholeAnswer {
    let status = match answer {
        OperatorAnswer::Refused(refusal) => refusal.kind.row().status,
        _ => 200,
    };
    let content = ("content-type".to_owned(), "application/json".to_owned());
    WholeAnswer {
        status,
        headers: vec![content],
        body: serde_json::to_vec(answer)
            .expect("plain values become JSON")
            .into(),
    }
}

/// Decodes a query for the audit records about one subject.
fn decode_explain(query: &str) -> Result<OperatorRequest, Refusal> {
    let text = parameter(query, "subject").unwrap_or_default();
    let subject: Subject = text
        .parse()
        .map_err(|problem: String| invalid("subject", &text, &problem))?;
    Ok(OperatorRequest::Trail(TrailQuery {
        subject: Some(subject),
        limit_count: parse_limit(query),
    }))
}

/// Decodes a request to publish contracts.
fn decode_publish(body: &[u8]) -> Result<OperatorRequest, Refusal> {
    let body: PublishBody = parse(body)?;
    Ok(OperatorRequest::Publish(PublishRequest {
        operation: parse_operation(body.operation)?,
        contracts: body.contracts,
        bases: body.bases,
    }))
}

/// Decodes a request to grant an API key.
fn decode_grant(body: &[u8]) -> Result<OperatorRequest, Refusal> {
    let body: GrantBody = parse(body)?;
    Ok(OperatorRequest::GrantKey {
        operation: parse_operation(body.operation)?,
        organisation: body.organisation,
        key_hash: parse_key_hash(&body.key_hash)?,
    })
}

/// Decodes a request to withdraw an API key.
fn decode_withdraw(body: &[u8]) -> Result<OperatorRequest, Refusal> {
    let body: WithdrawBody = parse(body)?;
    Ok(OperatorRequest::WithdrawKey {
        operation: parse_operation(body.operation)?,
        key_hash: parse_key_hash(&body.key_hash)?,
    })
}

/// Decodes a request to take a failure domain out or to bring it back, depending on the path.
fn decode_domain_change(path: &str, body: &[u8]) -> Result<OperatorRequest, Refusal> {
    let body: DomainBody = parse(body)?;
    let operation = parse_operation(body.operation)?;
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

/// Parses a JSON body, or returns the refusal that names the error.
fn parse<T: for<'de> Deserialize<'de>>(body: &[u8]) -> Result<T, Refusal> {
    serde_json::from_slice(body).map_err(|error| Refusal {
        text: format!("The body can't be read: {error}."),
        ..Refusal::new(ErrorKind::ChangeInvalid)
    })
}

/// Parses an operation id, or generates one if there is none.
fn parse_operation(text: Option<String>) -> Result<OperationId, Refusal> {
    match text {
        None => Ok(new_operation_id()),
        Some(text) => parse_id(&text).ok_or_else(|| invalid("operation", &text, "must be a UUID")),
    }
}

/// Parses the SHA-256 hash of a key, or returns the refusal of its field.
fn parse_key_hash(text: &str) -> Result<[u8; 32], Refusal> {
    hex::decode_32(text).ok_or_else(|| invalid("key_hash", text, "must be 64 hexadecimal digits"))
}

/// Returns the `limit` parameter of a query, or the default.
fn parse_limit(query: &str) -> usize {
    parameter(query, "limit")
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_TRAIL_LIMIT_COUNT)
}

/// Returns the refusal of a request with an invalid value in one field.
fn invalid(field: &str, value: &str, problem: &str) -> Refusal {
    Refusal::invalid(vec![ContractError {
        field: field.to_owned(),
        value: format!("{value:?}"),
        problem: problem.to_owned(),
    }])
}

/// Returns the value of a query's parameter. Only `%3A` is unescaped, as names of objects need no
/// other escapes.
fn parameter(query: &str, name: &str) -> Option<String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut values = pairs.filter(|(key, _)| *key == name);
    values.next().map(|(_, value)| value.replace("%3A", ":"))
}
