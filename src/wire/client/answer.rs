//! Performs one call: gets a connection, sends the request, and reads and checks the answer.

use std::cell::Cell;
use std::io::ErrorKind;
use std::net::TcpStream;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures::future::{select, Either};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONNECTION, HOST, TRANSFER_ENCODING};
use hyper::{Method, Request, Response, Uri};

use super::answer_body::AnswerBody;
use super::answer_match::{AnswerCheck, AnswerMatch};
use super::body::BodyStream;
use super::connection::Connection;
use super::pool::Pool;
use super::{Call, CallError};
use crate::wire::exchange::WholeAnswer;
use crate::wire::http::{is_hop_by_hop_header, HeaderPair};
use crate::wire::memory_budget::MemoryHold;

/// Longest wait for the connection of a reconnect check.
const RECONNECT_CHECK_TIMEOUT: Duration = Duration::from_millis(200);
/// Statuses of final answers. The HTTP library accepts any number of three digits from 100 on.
const ANSWER_STATUSES: RangeInclusive<u16> = 200..=599;
/// A kept connection is no longer reused this long before the server would close it.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// Sends a call and reads its complete answer. Keeps the connection if the call allows it.
pub(super) async fn call(pool: &Pool, mut call: Call) -> Result<WholeAnswer, CallError> {
    let address = call.address;
    let connect_timeout = call.connect_timeout;
    let (limit_bytes, reconnect_check) = (call.answer_limit_bytes, call.reconnect_check);
    let keeps_connection = !call.reuse_idle.is_zero();
    let check = call.check.take();
    let mut reused = pool.take(address, call.reuse_idle, check.as_deref());
    let (mut request, ended_early) = to_request(call)?;
    loop {
        let mut connection = match reused.take() {
            Some(connection) => connection,
            None => pool
                .open(address, connect_timeout)
                .await
                .ok_or(CallError::NotSent)?,
        };
        let was_used = connection.used;
        connection.head_budget.begin();
        let response = match connection.sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut failed) => match failed.take_message() {
                // The kept connection was closed before anything was sent on it.
                Some(unsent) if was_used => {
                    request = unsent;
                    continue;
                }
                Some(_) => return Err(CallError::NotSent),
                None if ended_early.get() => return Err(CallError::ShortBody),
                None if is_malformed(failed.error()) || connection.head_budget.is_spent() => {
                    return Err(CallError::ShortAnswer);
                }
                None => {
                    pool.forget(address);
                    return Err(check_broken(address, reconnect_check).await);
                }
            },
        };
        connection.head_budget.end();
        let hold = pool.budget.hold(address);
        let answer = read_answer(response, &mut connection, limit_bytes, hold).await?;
        if let Some(check) = &check {
            check_answer(&**check, &answer, &mut connection)?;
        }
        if keeps_connection && !connection.closes_after_answer {
            pool.put(address, connection);
        }
        return Ok(answer);
    }
}

/// Checks that an answer belongs to the call, and records a refusal on the connection.
fn check_answer(
    check: &dyn AnswerCheck,
    answer: &WholeAnswer,
    connection: &mut Connection,
) -> Result<(), CallError> {
    match check.answer_match(answer, !connection.used) {
        AnswerMatch::Own => Ok(()),
        AnswerMatch::Refusal => {
            connection.record_refusal(check.id());
            Ok(())
        }
        AnswerMatch::Foreign => Err(CallError::ShortAnswer),
    }
}

/// Connects once more after a connection broke, to distinguish a server that crashed from one that
/// closed a single connection.
async fn check_broken(address: std::net::SocketAddr, reconnect_check: bool) -> CallError {
    if !reconnect_check {
        return CallError::Broken;
    }
    let connecting = std::pin::pin!(Async::<TcpStream>::connect(address));
    let timeout = std::pin::pin!(Timer::after(RECONNECT_CHECK_TIMEOUT));
    match select(connecting, timeout).await {
        Either::Left((Err(error), _)) if error.kind() == ErrorKind::ConnectionRefused => {
            CallError::Died
        }
        _ => CallError::Broken,
    }
}

/// Returns whether the HTTP library could not parse the answer's head.
fn is_malformed(error: &hyper::Error) -> bool {
    error.is_parse() || error.is_parse_status() || error.is_parse_too_large()
}

/// Converts a call to a request, with a flag that is set if its body's source ends early.
fn to_request(call: Call) -> Result<(Request<BodyStream>, Rc<Cell<bool>>), CallError> {
    let (body, ended_early) = BodyStream::new(call.body);
    let unwritable = |_| CallError::Unwritable;
    let method = Method::from_bytes(call.method.as_bytes()).map_err(|_| CallError::Unwritable)?;
    let target: Uri = call.target.parse().map_err(|_| CallError::Unwritable)?;
    let host = call.host.unwrap_or_else(|| call.address.to_string());
    let mut request = Request::new(body);
    *request.method_mut() = method;
    *request.uri_mut() = target;
    let headers = request.headers_mut();
    headers.insert(HOST, HeaderValue::from_str(&host).map_err(unwritable)?);
    if call.reuse_idle.is_zero() {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    for (name, value) in &call.headers {
        if is_hop_by_hop_header(name) {
            continue;
        }
        let name = HeaderName::from_bytes(name.as_bytes()).map_err(|_| CallError::Unwritable)?;
        headers.append(name, HeaderValue::from_str(value).map_err(unwritable)?);
    }
    Ok((request, ended_early))
}

/// Reads the answer's body up to the limit, and takes from its headers how long the connection may
/// be reused.
async fn read_answer(
    response: Response<Incoming>,
    connection: &mut Connection,
    limit_bytes: usize,
    hold: MemoryHold,
) -> Result<WholeAnswer, CallError> {
    let (head, incoming) = response.into_parts();
    if !ANSWER_STATUSES.contains(&head.status.as_u16()) || !is_decodable(&head.headers) {
        return Err(CallError::ShortAnswer);
    }
    let headers = answer_headers(&head.headers);
    let body = AnswerBody::new(headers_bytes(&headers), limit_bytes, hold);
    let body = body.read(incoming).await?;
    connection.idle_limit = idle_limit(&head.headers);
    connection.closes_after_answer = closes_after_answer(&head.headers);
    Ok(WholeAnswer {
        status: head.status.as_u16(),
        headers,
        body,
    })
}

/// Returns whether the HTTP library decodes the body: `chunked` is the only transfer encoding that
/// it supports.
fn is_decodable(headers: &HeaderMap) -> bool {
    let mut encodings = headers.get_all(TRANSFER_ENCODING).iter();
    let first = encodings.next();
    let chunked = |value: &HeaderValue| value.as_bytes().eq_ignore_ascii_case(b"chunked");
    first.is_none_or(chunked) && encodings.next().is_none()
}

/// Returns whether the server announces that it closes the connection after the answer.
fn closes_after_answer(headers: &HeaderMap) -> bool {
    let value = headers
        .get(CONNECTION)
        .and_then(|value| value.to_str().ok());
    value.is_some_and(|value| value.to_ascii_lowercase().contains("close"))
}

/// Returns how long an idle connection may be reused by the server's `Keep-Alive: timeout=SECONDS`.
fn idle_limit(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    let seconds = Duration::from_secs(seconds.trim().parse().ok()?);
    Some(seconds.saturating_sub(IDLE_MARGIN))
}

/// Returns the bytes that the names and values of headers hold.
fn headers_bytes(headers: &[HeaderPair]) -> usize {
    let pair_bytes = |(name, value): &HeaderPair| name.len() + value.len();
    headers.iter().map(pair_bytes).sum()
}

/// Returns the headers of an answer that are to be forwarded.
fn answer_headers(map: &HeaderMap) -> Vec<HeaderPair> {
    let mut headers = Vec::with_capacity(map.len());
    for (name, value) in map {
        let Ok(value) = value.to_str() else {
            continue;
        };
        if is_hop_by_hop_header(name.as_str()) {
            continue;
        }
        headers.push((name.to_string(), value.to_owned()));
    }
    headers
}
