//! Ids and small values that every slice shares.

use std::sync::Arc;

/// An organisation: one tenant with one contract.
pub type OrganisationId = Arc<str>;
/// A service: a group of backend servers that answer the same routes.
pub type ServiceId = Arc<str>;
/// A route of a service, named in the service's contract.
pub type RouteId = Arc<str>;
/// A failure domain.
pub type DomainId = Arc<str>;
/// A daemon, stable over restarts.
pub type DaemonId = Arc<str>;
/// A backend server, unique in the fleet.
pub type BackendServerId = Arc<str>;
/// One life of a daemon: milliseconds since the epoch at its start, or more where an earlier life is
/// known that began with more (`life`). A later life is greater.
pub type Incarnation = u64;
/// A request, unique in the fleet (UUID version 7).
pub type RequestId = u128;
/// One operation of an operator or daemon on the log; a repeated id is applied once.
pub type OperationId = u128;
/// Position of a record in a stream of the platform's log, counted from 0.
pub type Offset = u64;
/// Greatest offset that a stream may have. One beyond it was never reached by records, and would hide
/// all that follow.
pub const OFFSET_LIMIT: Offset = 1 << 48;
/// SHA-256 of a key. The key itself is never stored.
pub type KeyHash = [u8; 32];
/// Hash that tells equal requests of one organisation.
pub type Fingerprint = [u8; 32];
/// Number of the attempt at a request, counted from 1.
pub type Attempt = u32;

/// A new request id that sorts by time.
pub fn new_request_id() -> RequestId {
    uuid::Uuid::now_v7().as_u128()
}

/// A new random operation id.
pub fn new_operation_id() -> OperationId {
    uuid::Uuid::new_v4().as_u128()
}

/// Text form of a request or operation id.
pub fn format_id(id: u128) -> String {
    uuid::Uuid::from_u128(id).to_string()
}

/// Reads the text form of a request or operation id.
pub fn parse_id(text: &str) -> Option<u128> {
    uuid::Uuid::parse_str(text).ok().map(|id| id.as_u128())
}

/// Milliseconds since the epoch at which a request id of UUID version 7 was made.
pub fn id_time_ms(id: u128) -> u64 {
    (id >> ID_TIME_SHIFT_BITS) as u64
}

const ID_TIME_SHIFT_BITS: u32 = 80;
