//! Validates news of a daemon before it is merged, whichever peer or record it comes from.
//!
//! The bounds are far above the values of any real fleet. They reject versions and incarnations
//! that no later value could follow, and descriptions too large for gossip.

use std::net::SocketAddr;

use thiserror::Error;

use super::message::{
    DaemonEntry, Delta, ServerDeparture, ServerEntry, Summary, FULL_SHARE_PERMILLE,
};
use crate::contract::check::SLOTS_LIMIT_COUNT;
use crate::incarnation::{is_valid_incarnation, INCARNATION_LIMIT};
use crate::types::Incarnation;

/// Longest id of a daemon, server, service or failure domain, in bytes.
pub const NAME_LIMIT_BYTES: usize = 255;
/// Most backend servers on one daemon's VM.
pub const SERVERS_LIMIT_COUNT: usize = 256;
/// Greatest version of a description within an incarnation.
pub const VERSION_LIMIT: u64 = 1 << 53;
/// Greatest suspicion round within an incarnation.
pub const ROUND_LIMIT: u32 = 1 << 30;

/// The check that a description or delta failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum EntryError {
    /// The incarnation exceeds `INCARNATION_LIMIT`.
    #[error("incarnation must be at most {INCARNATION_LIMIT}")]
    Incarnation,
    /// The version exceeds `VERSION_LIMIT`.
    #[error("version must be at most {VERSION_LIMIT}")]
    Version,
    /// The id in this field is empty or too long.
    #[error("{0} must have at most {NAME_LIMIT_BYTES} bytes, and only a domain or a software version may be empty")]
    Name(&'static str),
    /// The address in this field has port 0, at which nothing can listen.
    #[error("{0} must have a port")]
    Port(&'static str),
    /// There are more than `SERVERS_LIMIT_COUNT` servers.
    #[error("servers must be at most {SERVERS_LIMIT_COUNT}")]
    ServerCount,
    /// A server has more than `SLOTS_LIMIT_COUNT` slots.
    #[error("slots_count must be at most {SLOTS_LIMIT_COUNT}")]
    Slots,
    /// The share of a server exceeds `FULL_SHARE_PERMILLE`.
    #[error("share_permille must be at most {FULL_SHARE_PERMILLE}")]
    Share,
    /// The start of a server that left exceeds `INCARNATION_LIMIT`.
    #[error("started_at_ms must be at most {INCARNATION_LIMIT}")]
    StartedAt,
}

impl DaemonEntry {
    /// Checks every field against its bounds.
    pub fn check(&self) -> Result<(), EntryError> {
        check_incarnation(self.incarnation, self.version)?;
        check_name("daemon", &self.daemon)?;
        if self.domain.len() > NAME_LIMIT_BYTES {
            return Err(EntryError::Name("domain"));
        }
        check_port("guard_address", self.guard_address)?;
        check_port("link_address", self.link_address)?;
        check_servers(&self.servers)
    }
}

impl ServerDeparture {
    /// Checks every field against its bounds.
    pub fn check(&self) -> Result<(), EntryError> {
        check_name("server", &self.server)?;
        match self.started_at_ms > INCARNATION_LIMIT {
            true => Err(EntryError::StartedAt),
            false => Ok(()),
        }
    }
}

impl Delta {
    /// Checks the incarnation, the version and the servers against their bounds.
    pub fn check(&self) -> Result<(), EntryError> {
        check_incarnation(self.incarnation, self.version)?;
        check_servers(&self.servers)
    }
}

impl Summary {
    /// Returns whether every field is within its bounds.
    pub fn is_within_bounds(&self) -> bool {
        self.round <= ROUND_LIMIT
            && check_incarnation(self.incarnation, self.version).is_ok()
            && check_name("daemon", &self.daemon).is_ok()
    }
}

/// Checks the numbers that order the descriptions of a daemon.
fn check_incarnation(incarnation: Incarnation, version: u64) -> Result<(), EntryError> {
    if !is_valid_incarnation(incarnation) {
        return Err(EntryError::Incarnation);
    }
    match version > VERSION_LIMIT {
        true => Err(EntryError::Version),
        false => Ok(()),
    }
}

/// Checks that an id is neither empty nor too long.
fn check_name(field: &'static str, name: &str) -> Result<(), EntryError> {
    match (1..=NAME_LIMIT_BYTES).contains(&name.len()) {
        true => Ok(()),
        false => Err(EntryError::Name(field)),
    }
}

/// Checks that an address has a port.
fn check_port(field: &'static str, address: SocketAddr) -> Result<(), EntryError> {
    match address.port() {
        0 => Err(EntryError::Port(field)),
        _ => Ok(()),
    }
}

/// Checks the number of servers, and the names and figures of each.
fn check_servers(servers: &[ServerEntry]) -> Result<(), EntryError> {
    if servers.len() > SERVERS_LIMIT_COUNT {
        return Err(EntryError::ServerCount);
    }
    for server in servers {
        check_name("server", &server.server)?;
        check_name("service", &server.service)?;
        if server.software_version.len() > NAME_LIMIT_BYTES {
            return Err(EntryError::Name("software_version"));
        }
        if server.slots_count > SLOTS_LIMIT_COUNT {
            return Err(EntryError::Slots);
        }
        if server.share_permille > FULL_SHARE_PERMILLE {
            return Err(EntryError::Share);
        }
    }
    Ok(())
}
