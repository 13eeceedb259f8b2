//! Ids and numbers that all modules share.

use std::sync::Arc;

/// Name of an organisation (customer), which has one contract.
pub type OrganisationId = Arc<str>;
/// Name of a service: a group of backend servers that answer the same routes.
pub type ServiceId = Arc<str>;
/// Name of a route of a service, as the contract of the service defines it.
pub type RouteId = Arc<str>;
/// Name of a failure domain (zone).
pub type DomainId = Arc<str>;
/// Name of a daemon; it stays the same over restarts.
pub type DaemonId = Arc<str>;
/// Name of a backend server, unique in the fleet.
pub type BackendServerId = Arc<str>;
/// Version of the software that a backend server runs; empty where the server does not report it.
pub type SoftwareVersion = Arc<str>;
/// Number of one run of a daemon: milliseconds since the epoch at its start. It is greater than
/// that where an earlier run already has such a number (module `incarnation`). A later run has a
/// greater number.
pub type Incarnation = u64;
/// Id of a request, unique in the fleet (UUID version 7).
pub type RequestId = u128;
/// Id of one change that an operator or daemon appends to the log. A repeated id is applied once.
pub type OperationId = u128;
/// Position of a record in a stream of the platform's log, counted from 0.
pub type Offset = u64;
/// Greatest offset that is accepted. No stream has that many records, and a reader that continued
/// beyond it would skip all records that follow.
pub const OFFSET_LIMIT: Offset = 1 << 48;
/// Version of a whole configuration, as its operators count it.
pub type DocumentVersion = u64;
/// Number by which the platform's store tells that it returned from a copy: each return raises it by
/// one. 0 for a store that tells none.
pub type StoreEra = u64;
/// Greatest era that is accepted. A daemon that took a greater one would ignore the eras that follow.
pub const ERA_LIMIT: StoreEra = 1 << 32;
/// SHA-256 digest of an API key. The key itself is never stored.
pub type KeyHash = [u8; 32];
/// Hash by which equal requests of one organisation are recognised.
pub type Fingerprint = [u8; 32];
/// Number of an attempt at a request, counted from 1.
pub type Attempt = u32;

/// Creates a request id; ids sort by the time of their creation.
pub fn new_request_id() -> RequestId {
    uuid::Uuid::now_v7().as_u128()
}

/// Creates a random operation id (UUID version 4).
pub fn new_operation_id() -> OperationId {
    uuid::Uuid::new_v4().as_u128()
}

/// Returns the hyphenated UUID text of a request or operation id.
pub fn format_id(id: u128) -> String {
    uuid::Uuid::from_u128(id).to_string()
}

/// Parses the UUID text of a request or operation id.
pub fn parse_id(text: &str) -> Option<u128> {
    uuid::Uuid::parse_str(text).ok().map(|id| id.as_u128())
}

/// Returns the time at which a request id was created, in milliseconds since the epoch.
pub fn id_time_ms(id: u128) -> u64 {
    (id >> ID_TIME_SHIFT_BITS) as u64
}

/// Bits of a UUID of version 7 below its 48-bit timestamp.
const ID_TIME_SHIFT_BITS: u32 = 80;
