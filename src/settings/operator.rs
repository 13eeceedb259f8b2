//! Settings of the operators' HTTP API.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::Checker;
use crate::wire::hex;

/// Settings of the operator duty: its listener and who may use it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OperatorSettings {
    /// Address on which the operators' API listens.
    pub address: SocketAddr,
    /// Operators who may use the API; an empty list refuses everyone.
    pub operators: Vec<OperatorEntry>,
    /// Longest body of a request, in bytes.
    pub body_limit_bytes: u64,
    /// Capacity of the operator duty's ring, in requests.
    pub ring_count: usize,
}

/// An operator who may use the API, with the hash of the token that proves it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OperatorEntry {
    /// Name that the audit trail shows.
    pub name: String,
    /// SHA-256 of the operator's token, as 64 hexadecimal digits.
    pub token_sha256: String,
}

impl Default for OperatorSettings {
    fn default() -> Self {
        OperatorSettings {
            address: "127.0.0.1:8084".parse().expect("a literal address"),
            operators: Vec::new(),
            body_limit_bytes: 16_777_216,
            ring_count: 256,
        }
    }
}

impl OperatorSettings {
    /// Checks every value against its bounds.
    pub fn check(&self, checker: &mut Checker<'_>) {
        for (index, operator) in self.operators.iter().enumerate() {
            checker.require(
                !operator.name.is_empty(),
                &format!("operators[{index}].name"),
                format!("{:?}", operator.name),
                "must not be empty",
            );
            checker.require(
                hex::decode_32(&operator.token_sha256).is_some(),
                &format!("operators[{index}].token_sha256"),
                format!("{:?}", operator.token_sha256),
                "must be 64 hexadecimal digits",
            );
        }
        checker.range(
            "body_limit_bytes",
            self.body_limit_bytes,
            1_024..=268_435_456,
        );
        checker.range("ring_count", self.ring_count, 1..=65_536);
    }
}
