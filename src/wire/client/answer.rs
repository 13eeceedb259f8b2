//! One call from its connection to its whole answer.

use std::cell::Cell;
use std::io::ErrorKind;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use bytes::BytesMut;
use futures::future::{select, Either};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONNECTION, HOST, TRANSFER_ENCODING};
use hyper::{Method, Request, Response, Uri};

use super::answer_match::{AnswerCheck, AnswerMatch};
use super::body::SentBody;
use super::connection::Connection;
use super::pool::Pool;
use super::{Call, CallError};
use crate::wire::exchange::WholeAnswer;
use crate::wire::http::{is_hop_by_hop_header, HeaderPair};

/// Longest wait for the answer to a reconnect check.
const RECONNECT_CHECK_TIMEOUT: Duration = Duration::from_millis(200);
/// A connection is given up this long before the receiver would close it.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// Makes the call and reads the whole answer.
pub(super) async fn call(pool: &Pool, mut call: Call) -> Result<WholeAnswer, CallError> {
    let address = call.address;
    let connect_timeout = call.connect_timeout;
    let (limit_bytes, reconnect_check) = (call.answer_limit_bytes, call.reconnect_check);
    let keeps = !call.reuse_idle.is_zero();
    let check = call.check.take();
    let mut reused = pool.take(address, call.reuse_idle, check.as_deref());
    let (mut request, short) = request(call)?;
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
                // The kept connection had ended before anything was sent on it.
                Some(unsent) if was_used => {
                    request = unsent;
                    continue;
                }
                Some(_) => return Err(CallError::NotSent),
                None if short.get() => return Err(CallError::ShortBody),
                None if is_malformed(failed.error()) || connection.head_budget.is_spent() => {
                    return Err(CallError::ShortAnswer);
                }
                None => {
                    pool.forget(address);
                    return Err(broken(address, reconnect_check).await);
                }
            },
        };
        connection.head_budget.end();
        let answer = read(response, &mut connection, limit_bytes).await?;
        if let Some(check) = &check {
            judge(&**check, &answer, &mut connection)?;
        }
        if keeps && !connection.closes {
            pool.put(address, connection);
        }
        return Ok(answer);
    }
}

/// Takes an answer for the call's own, or finds that it is of another call.
fn judge(
    check: &dyn AnswerCheck,
    answer: &WholeAnswer,
    connection: &mut Connection,
) -> Result<(), CallError> {
    match check.answer_match(answer, !connection.used) {
        AnswerMatch::Own => Ok(()),
        AnswerMatch::Refusal => {
            connection.refused(check.id());
            Ok(())
        }
        AnswerMatch::Foreign => Err(CallError::ShortAnswer),
    }
}

/// Tells a receiver that died from one that cut a single connection.
async fn broken(address: std::net::SocketAddr, reconnect_check: bool) -> CallError {
    if !reconnect_check {
        return CallError::Broken;
    }
    let connecting = std::pin::pin!(Async::<TcpStream>::connect(address));
    let late = std::pin::pin!(Timer::after(RECONNECT_CHECK_TIMEOUT));
    match select(connecting, late).await {
        Either::Left((Err(error), _)) if error.kind() == ErrorKind::ConnectionRefused => {
            CallError::Died
        }
        _ => CallError::Broken,
    }
}

fn is_malformed(error: &hyper::Error) -> bool {
    error.is_parse() || error.is_parse_status() || error.is_parse_too_large()
}

fn request(call: Call) -> Result<(Request<SentBody>, Rc<Cell<bool>>), CallError> {
    let (body, short) = SentBody::new(call.body);
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
    Ok((request, short))
}

async fn read(
    response: Response<Incoming>,
    connection: &mut Connection,
    limit_bytes: usize,
) -> Result<WholeAnswer, CallError> {
    let (head, mut incoming) = response.into_parts();
    if head.status.is_informational() || !is_decoded(&head.headers) {
        return Err(CallError::ShortAnswer);
    }
    let mut body = BytesMut::new();
    while let Some(frame) = incoming.frame().await {
        let frame = frame.map_err(|_| CallError::ShortAnswer)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if body.len() + data.len() > limit_bytes {
            return Err(CallError::AnswerTooLarge);
        }
        body.extend_from_slice(&data);
    }
    connection.idle_limit = idle_limit(&head.headers);
    connection.closes = closes(&head.headers);
    Ok(WholeAnswer {
        status: head.status.as_u16(),
        headers: answer_headers(&head.headers),
        body: body.to_vec(),
    })
}

/// Whether the body is read as it was meant: of all encodings on the way, the library knows chunks.
fn is_decoded(headers: &HeaderMap) -> bool {
    let mut encodings = headers.get_all(TRANSFER_ENCODING).iter();
    let first = encodings.next();
    let chunked = |value: &HeaderValue| value.as_bytes().eq_ignore_ascii_case(b"chunked");
    first.is_none_or(chunked) && encodings.next().is_none()
}

fn closes(headers: &HeaderMap) -> bool {
    let value = headers
        .get(CONNECTION)
        .and_then(|value| value.to_str().ok());
    value.is_some_and(|value| value.to_ascii_lowercase().contains("close"))
}

/// How long the receiver keeps an idle connection open, by its `Keep-Alive: timeout=SECONDS`.
fn idle_limit(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    let seconds = Duration::from_secs(seconds.trim().parse().ok()?);
    Some(seconds.saturating_sub(IDLE_MARGIN))
}

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
