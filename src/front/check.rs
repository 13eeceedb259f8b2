//! Strict check of the request line and headers, before any decision.

use std::time::{Duration, Instant};

use super::message::RequestHead;
use crate::error::ErrorKind;
use crate::settings::front::FrontSettings;
use crate::types::RequestId;
use crate::wire::dialect::Dialect;
use crate::wire::exchange::RawHead;
use crate::wire::forward::PREFIX;
use crate::wire::http::{is_hop_by_hop_header, HeaderPair};
use crate::wire::proof::hash_key;

/// Returns the head of a well-formed request, or the kind of error to refuse it with.
pub fn check_request(
    settings: &FrontSettings,
    dialect: &dyn Dialect,
    request: RequestId,
    arrived_at: Instant,
    raw: &RawHead,
) -> Result<RequestHead, ErrorKind> {
    check_header_size(settings, &raw.headers)?;
    check_framing(settings, &raw.headers)?;
    if !raw.target.starts_with('/') {
        return Err(ErrorKind::BadRequest);
    }
    let names = dialect.caller_header_names();
    let own = |name| single_header(&raw.headers, name).map(|value| value.map(str::to_owned));
    Ok(RequestHead {
        request,
        caller_id: names.request.map(own).transpose()?.flatten(),
        host: single_header(&raw.headers, "host")?
            .unwrap_or_default()
            .to_owned(),
        arrived_at,
        began_at: raw.began_at.map_or(arrived_at, |at| at.min(arrived_at)),
        method: raw.method.clone(),
        target: raw.target.clone(),
        headers: forwarded_headers(dialect, &raw.headers),
        key_hash: bearer_key(&raw.headers)?.map(hash_key),
        deadline: requested_deadline(names.deadline_ms, &raw.headers)?,
        idempotency_key: names.idempotency_key.map(own).transpose()?.flatten(),
        body_bytes: raw.body_bytes.unwrap_or(0),
    })
}

/// Checks the total size and the number of headers.
fn check_header_size(settings: &FrontSettings, headers: &[HeaderPair]) -> Result<(), ErrorKind> {
    let bytes: usize = headers
        .iter()
        .map(|(name, value)| name.len() + value.len())
        .sum();
    if bytes > settings.header_limit_bytes || headers.len() > settings.header_limit_count {
        return Err(ErrorKind::HeadersTooLarge);
    }
    Ok(())
}

/// Checks that the headers delimit the body unambiguously.
fn check_framing(settings: &FrontSettings, headers: &[HeaderPair]) -> Result<(), ErrorKind> {
    let length = single_header(headers, "content-length").map_err(|_| ErrorKind::BadFraming)?;
    let encoding =
        single_header(headers, "transfer-encoding").map_err(|_| ErrorKind::BadFraming)?;
    if length.is_some() && encoding.is_some() {
        return Err(ErrorKind::BadFraming);
    }
    // The HTTP library drops a length that follows an encoding, so an encoding alone may hide one.
    // If chunked bodies are allowed, the body is read chunk by chunk and sent on with its length.
    if encoding.is_some() && !settings.chunked_bodies {
        return Err(ErrorKind::LengthRequired);
    }
    let digits = |value: &str| !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
    if length.is_some_and(|value| !digits(value)) {
        return Err(ErrorKind::BadFraming);
    }
    Ok(())
}

/// Returns the API key from the authorization header.
fn bearer_key(headers: &[HeaderPair]) -> Result<Option<&str>, ErrorKind> {
    let Some(value) = single_header(headers, "authorization")? else {
        return Ok(None);
    };
    let (scheme, key) = value.split_once(' ').ok_or(ErrorKind::BadRequest)?;
    if !scheme.eq_ignore_ascii_case("bearer") || key.trim().is_empty() {
        return Err(ErrorKind::BadRequest);
    }
    Ok(Some(key.trim()))
}

/// Returns the deadline from the caller's deadline header.
fn requested_deadline(name: &str, headers: &[HeaderPair]) -> Result<Option<Duration>, ErrorKind> {
    let Some(value) = single_header(headers, name).map_err(|_| ErrorKind::BadDeadline)? else {
        return Ok(None);
    };
    match value.parse::<u64>() {
        Ok(deadline_ms) if (1..=MAX_DEADLINE_MS).contains(&deadline_ms) => {
            Ok(Some(Duration::from_millis(deadline_ms)))
        }
        _ => Err(ErrorKind::BadDeadline),
    }
}

/// Longest deadline that a caller may ask for.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// Returns the value of a header that may occur at most once.
fn single_header<'a>(headers: &'a [HeaderPair], name: &str) -> Result<Option<&'a str>, ErrorKind> {
    let mut found = headers
        .iter()
        .filter(|(key, _)| key.eq_ignore_ascii_case(name));
    let first = found.next().map(|(_, value)| value.as_str());
    if found.next().is_some() {
        return Err(ErrorKind::BadRequest);
    }
    Ok(first)
}

/// Returns the headers that are passed on to the server. Those that `Connection` names end here,
/// except the caller's id of the request, by which its answer is recognised. An underscore counts
/// as a dash, because some servers do not tell them apart.
fn forwarded_headers(dialect: &dyn Dialect, headers: &[HeaderPair]) -> Vec<HeaderPair> {
    let names = dialect.caller_header_names();
    let mut kept = Vec::with_capacity(headers.len());
    for (name, value) in headers {
        let lower = name.to_ascii_lowercase();
        let dashed = lower.replace('_', "-");
        let consumed = dashed == "authorization" || dashed == names.deadline_ms;
        let reserved = dashed.starts_with(PREFIX) || dialect.is_reserved(&dashed);
        if consumed || reserved || is_hop_by_hop_header(&dashed) {
            continue;
        }
        let is_kept = match names.request == Some(dashed.as_str()) {
            true => lower == dashed,
            false => !is_named_by_connection(headers, &lower),
        };
        if is_kept {
            kept.push((name.clone(), value.clone()));
        }
    }
    kept
}

/// Returns whether a `Connection` header names this header as one of its connection only.
fn is_named_by_connection(headers: &[HeaderPair], name: &str) -> bool {
    headers
        .iter()
        .filter(|(key, _)| key.eq_ignore_ascii_case("connection"))
        .flat_map(|(_, value)| value.split(','))
        .any(|token| token.trim().eq_ignore_ascii_case(name))
}
