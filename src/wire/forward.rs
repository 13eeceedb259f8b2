//! Headers of a request between an entry and a guard.

use std::time::Duration;

use crate::types::{
    format_id, parse_id, Attempt, BackendServerId, Fingerprint, Incarnation, OrganisationId,
    RequestId, RouteId, ServiceId,
};
use crate::wire::hex;
use crate::wire::http::{header, HeaderPair};
use crate::wire::proof::FleetKey;

/// Start of the names of all headers between daemons. A caller's header with it is dropped.
pub const PREFIX: &str = "x-banyanbeam-";
/// Header by which a backend server learns the organisation.
pub const ORGANISATION: &str = "x-banyanbeam-organisation";
/// Header with the request id, on every hop and in every answer.
pub const REQUEST: &str = "x-banyanbeam-request";
/// Header with the remaining deadline in milliseconds.
pub const DEADLINE_MS: &str = "x-banyanbeam-deadline-ms";
/// Header with the kind of a guard's refusal.
pub const KIND: &str = "x-banyanbeam-kind";
/// Header with whether the request ran.
pub const RAN: &str = "x-banyanbeam-ran";
const SERVICE: &str = "x-banyanbeam-service";
const ROUTE: &str = "x-banyanbeam-route";
const SERVER: &str = "x-banyanbeam-server";
const ATTEMPT: &str = "x-banyanbeam-attempt";
const WEIGHT: &str = "x-banyanbeam-weight";
const REPEATABLE: &str = "x-banyanbeam-repeatable";
const FOREGROUND: &str = "x-banyanbeam-foreground";
const ORIGIN: &str = "x-banyanbeam-origin";
const RANK: &str = "x-banyanbeam-rank";
const MAY_PROBE: &str = "x-banyanbeam-may-probe";
const NO_WAIT: &str = "x-banyanbeam-no-wait";
/// Header with the time until a refused request would have its slot, in milliseconds.
pub const WAIT_MS: &str = "x-banyanbeam-wait-ms";
/// Header with the name of the daemon that sends the request on.
pub const ENTRY: &str = "x-banyanbeam-entry";
/// Header with the offset up to which the sender has read the configuration.
pub const VIEW: &str = "x-banyanbeam-view";
const INCARNATION: &str = "x-banyanbeam-incarnation";
const FINGERPRINT: &str = "x-banyanbeam-fingerprint";
const PROOF: &str = "x-banyanbeam-proof";

/// What an entry tells a guard about a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardHead {
    /// The request.
    pub request: RequestId,
    /// The attempt, from 1.
    pub attempt: Attempt,
    /// The organisation; empty on open routes.
    pub organisation: OrganisationId,
    /// The service.
    pub service: ServiceId,
    /// The route.
    pub route: RouteId,
    /// The backend server that must run it.
    pub server: BackendServerId,
    /// The organisation's share under overload.
    pub weight_share: u32,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Whether a person waits for the answer.
    pub foreground: bool,
    /// Service of the backend server on the VM where the request began; empty where there is none.
    pub origin: ServiceId,
    /// Urgency, 0 being the greatest.
    pub rank: u8,
    /// Whether the guard refuses it rather than let it wait for a slot.
    pub no_wait: bool,
    /// Whether it may go to a server of which the guard does not know whether it has mended.
    pub may_probe: bool,
    /// The life of the guard that the entry means; another life refuses the request.
    pub incarnation: Incarnation,
    /// Tells equal requests: hash of organisation, route, target and body.
    pub fingerprint: Fingerprint,
    /// What is left of its deadline.
    pub remaining: Duration,
}

impl ForwardHead {
    /// The head as headers, with the fleet's proof.
    pub fn encode(&self, key: &FleetKey) -> Vec<HeaderPair> {
        let mut headers = vec![
            (REQUEST.to_owned(), format_id(self.request)),
            (ATTEMPT.to_owned(), self.attempt.to_string()),
            (ORGANISATION.to_owned(), self.organisation.to_string()),
            (SERVICE.to_owned(), self.service.to_string()),
            (ROUTE.to_owned(), self.route.to_string()),
            (SERVER.to_owned(), self.server.to_string()),
            (WEIGHT.to_owned(), self.weight_share.to_string()),
            (REPEATABLE.to_owned(), self.repeatable.to_string()),
            (FOREGROUND.to_owned(), self.foreground.to_string()),
            (ORIGIN.to_owned(), self.origin.to_string()),
            (RANK.to_owned(), self.rank.to_string()),
            (NO_WAIT.to_owned(), self.no_wait.to_string()),
            (MAY_PROBE.to_owned(), self.may_probe.to_string()),
            (INCARNATION.to_owned(), self.incarnation.to_string()),
            (FINGERPRINT.to_owned(), hex::encode(&self.fingerprint)),
            (
                DEADLINE_MS.to_owned(),
                self.remaining.as_millis().to_string(),
            ),
        ];
        let proof = key.sign(&signed_fields(&headers));
        headers.push((PROOF.to_owned(), hex::encode(&proof)));
        headers
    }

    /// Reads the head, or names the header that is missing or wrong.
    pub fn decode(headers: &[HeaderPair], key: &FleetKey) -> Result<ForwardHead, &'static str> {
        let proof = header(headers, PROOF)
            .and_then(hex::decode_32)
            .ok_or(PROOF)?;
        let mut signed = Vec::with_capacity(SIGNED.len());
        for name in SIGNED {
            let value = header(headers, name).ok_or(*name)?;
            signed.push(((*name).to_owned(), value.to_owned()));
        }
        if !key.verify(&signed_fields(&signed), &proof) {
            return Err(PROOF);
        }
        let remaining_ms: u64 = parse(headers, DEADLINE_MS)?;
        Ok(ForwardHead {
            request: header(headers, REQUEST).and_then(parse_id).ok_or(REQUEST)?,
            attempt: parse(headers, ATTEMPT)?,
            organisation: text(headers, ORGANISATION)?.into(),
            service: text(headers, SERVICE)?.into(),
            route: text(headers, ROUTE)?.into(),
            server: text(headers, SERVER)?.into(),
            weight_share: parse(headers, WEIGHT)?,
            repeatable: parse(headers, REPEATABLE)?,
            foreground: parse(headers, FOREGROUND)?,
            origin: text(headers, ORIGIN)?.into(),
            rank: parse(headers, RANK)?,
            no_wait: parse(headers, NO_WAIT)?,
            may_probe: parse(headers, MAY_PROBE)?,
            incarnation: parse(headers, INCARNATION)?,
            fingerprint: header(headers, FINGERPRINT)
                .and_then(hex::decode_32)
                .ok_or(FINGERPRINT)?,
            remaining: Duration::from_millis(remaining_ms),
        })
    }
}

/// Headers that the proof covers, in the order in which it covers them.
const SIGNED: &[&str] = &[
    REQUEST,
    ATTEMPT,
    ORGANISATION,
    SERVICE,
    ROUTE,
    SERVER,
    WEIGHT,
    REPEATABLE,
    FOREGROUND,
    ORIGIN,
    RANK,
    NO_WAIT,
    MAY_PROBE,
    INCARNATION,
    FINGERPRINT,
    DEADLINE_MS,
];

/// Drops the fleet's own headers from an answer.
pub fn strip_fleet_headers(headers: &mut Vec<HeaderPair>) {
    headers.retain(|(name, _)| !name.starts_with(PREFIX));
}

fn signed_fields(headers: &[HeaderPair]) -> Vec<&[u8]> {
    headers.iter().map(|(_, value)| value.as_bytes()).collect()
}

fn text<'a>(headers: &'a [HeaderPair], name: &'static str) -> Result<&'a str, &'static str> {
    header(headers, name).ok_or(name)
}

fn parse<T: std::str::FromStr>(
    headers: &[HeaderPair],
    name: &'static str,
) -> Result<T, &'static str> {
    text(headers, name)?.parse().map_err(|_| name)
}

#[cfg(test)]
mod tests;
