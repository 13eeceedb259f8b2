//! One HTTP call with a deadline: the whole answer, or how far the request got.

use std::cell::Cell;
use std::io::{ErrorKind as IoKind, Read, Write};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use attohttpc::body::{Body, BodyKind};
use attohttpc::header::{HeaderMap, HeaderName, HeaderValue};
use attohttpc::{Method, Response};
use thiserror::Error;

use super::exchange::WholeAnswer;
use super::http::{client, is_hop_header, HeaderPair};

/// A call to be made.
pub struct Call<'a> {
    /// Where to.
    pub address: SocketAddr,
    /// HTTP method.
    pub method: &'a str,
    /// Path with query.
    pub target: &'a str,
    /// Headers, without those of the connection.
    pub headers: &'a [HeaderPair],
    /// Where the body comes from.
    pub body: &'a mut dyn Read,
    /// Length of the body; without one the body is sent in chunks.
    pub body_bytes: Option<u64>,
    /// Longest wait for the connection.
    pub connect_timeout: Duration,
    /// When the whole answer must be there.
    pub deadline_at: Instant,
    /// Most bytes of the answer's body.
    pub answer_limit_bytes: usize,
}

/// How a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum CallError {
    /// No connection was made, so nothing was sent.
    #[error("no connection")]
    NotSent,
    /// The call can't be written as HTTP.
    #[error("the call can't be written as HTTP")]
    Unwritable,
    /// The body's source ended early; the receiver has no whole request.
    #[error("the body ended early")]
    ShortBody,
    /// No whole answer before the deadline.
    #[error("no answer before the deadline")]
    Late,
    /// The connection broke after the request was sent.
    #[error("the connection broke")]
    Broken,
    /// The answer was shorter than its length, or malformed.
    #[error("the answer was incomplete")]
    ShortAnswer,
    /// The answer is over the limit.
    #[error("the answer is over its limit")]
    AnswerTooLarge,
}

/// Makes the call and reads the whole answer.
pub fn call(request: Call<'_>) -> Result<WholeAnswer, CallError> {
    let method =
        Method::from_bytes(request.method.as_bytes()).map_err(|_| CallError::Unwritable)?;
    let url = format!("http://{}{}", request.address, request.target);
    let left = request
        .deadline_at
        .saturating_duration_since(Instant::now());
    if left.is_zero() {
        return Err(CallError::NotSent);
    }
    let progress = Progress::default();
    let body = SourceBody {
        source: request.body,
        length_bytes: request.body_bytes,
        progress: &progress,
    };
    let mut builder = client(method, &url, request.connect_timeout.min(left), left).body(body);
    copy_headers(builder.headers_mut(), request.headers)?;
    let response = match builder.send() {
        Ok(response) => response,
        Err(error) => return Err(classify(&error, &progress)),
    };
    read_answer(response, request.deadline_at, request.answer_limit_bytes)
}

/// How far a request got.
#[derive(Default)]
struct Progress {
    /// The connection stands and the head is written; the receiver may act from here on.
    started: Cell<bool>,
    /// The source ended before its length.
    short: Cell<bool>,
}

struct SourceBody<'a> {
    source: &'a mut dyn Read,
    length_bytes: Option<u64>,
    progress: &'a Progress,
}

impl Body for SourceBody<'_> {
    fn kind(&mut self) -> std::io::Result<BodyKind> {
        Ok(self
            .length_bytes
            .map_or(BodyKind::Chunked, BodyKind::KnownLength))
    }

    fn write<W: Write>(&mut self, mut writer: W) -> std::io::Result<()> {
        self.progress.started.set(true);
        let mut buffer = vec![0; self.buffer_bytes()];
        let mut left_bytes = self.length_bytes.unwrap_or(u64::MAX);
        while left_bytes > 0 {
            let want = left_bytes.min(buffer.len() as u64) as usize;
            let got = self
                .source
                .read(&mut buffer[..want])
                .inspect_err(|_| self.progress.short.set(true))?;
            if got == 0 && self.length_bytes.is_some() {
                self.progress.short.set(true);
                return Err(IoKind::UnexpectedEof.into());
            }
            if got == 0 {
                return Ok(());
            }
            writer.write_all(&buffer[..got])?;
            left_bytes -= got as u64;
        }
        Ok(())
    }
}

impl SourceBody<'_> {
    /// Size of one write. A write of several segments is not held back until the one before it is
    /// acknowledged, which may take the receiver 40 ms.
    fn buffer_bytes(&self) -> usize {
        let length_bytes = self.length_bytes.unwrap_or(SEND_BUFFER_BYTES as u64);
        length_bytes.min(SEND_BUFFER_BYTES as u64) as usize
    }
}

const SEND_BUFFER_BYTES: usize = 256 * 1024;
const COPY_BUFFER_BYTES: usize = 32 * 1024;

fn copy_headers(map: &mut HeaderMap, headers: &[HeaderPair]) -> Result<(), CallError> {
    for (name, value) in headers {
        if is_hop_header(name) {
            continue;
        }
        let name = HeaderName::from_bytes(name.as_bytes()).map_err(|_| CallError::Unwritable)?;
        let value = HeaderValue::from_str(value).map_err(|_| CallError::Unwritable)?;
        map.append(name, value);
    }
    Ok(())
}

fn classify(error: &attohttpc::Error, progress: &Progress) -> CallError {
    if progress.short.get() {
        return CallError::ShortBody;
    }
    if !progress.started.get() {
        return CallError::NotSent;
    }
    match error.kind() {
        attohttpc::ErrorKind::Io(io) if is_timeout(io.kind()) => CallError::Late,
        attohttpc::ErrorKind::Io(_) => CallError::Broken,
        _ => CallError::ShortAnswer,
    }
}

fn is_timeout(kind: IoKind) -> bool {
    matches!(kind, IoKind::WouldBlock | IoKind::TimedOut)
}

fn read_answer(
    response: Response,
    deadline_at: Instant,
    limit_bytes: usize,
) -> Result<WholeAnswer, CallError> {
    let (status, header_map, mut reader) = response.split();
    let length_bytes = content_length(&header_map);
    if length_bytes.is_some_and(|length| length > limit_bytes as u64) {
        return Err(CallError::AnswerTooLarge);
    }
    let mut body = Vec::with_capacity(length_bytes.unwrap_or(0) as usize);
    let mut buffer = [0; COPY_BUFFER_BYTES];
    loop {
        let got = match reader.read(&mut buffer) {
            Ok(0) => break,
            Ok(got) => got,
            Err(error) if is_timeout(error.kind()) => return Err(CallError::Late),
            Err(_) => return Err(CallError::ShortAnswer),
        };
        if body.len() + got > limit_bytes {
            return Err(CallError::AnswerTooLarge);
        }
        body.extend_from_slice(&buffer[..got]);
        if Instant::now() > deadline_at {
            return Err(CallError::Late);
        }
    }
    if length_bytes.is_some_and(|length| length != body.len() as u64) {
        return Err(CallError::ShortAnswer);
    }
    Ok(WholeAnswer {
        status: status.as_u16(),
        headers: answer_headers(&header_map),
        body,
    })
}

fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get("content-length")?.to_str().ok()?.parse().ok()
}

fn answer_headers(map: &HeaderMap) -> Vec<HeaderPair> {
    let mut headers = Vec::with_capacity(map.len());
    for (name, value) in map {
        let Ok(value) = value.to_str() else {
            continue;
        };
        if is_hop_header(name.as_str()) {
            continue;
        }
        headers.push((name.to_string(), value.to_owned()));
    }
    headers
}
