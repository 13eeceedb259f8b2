//! The threads that call backend servers and write their answers.

use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam::channel::Receiver;

use super::message::{GuardEvent, GuardMessage, ServerOutcome};
use crate::error::ErrorKind;
use crate::front::answer::refusal;
use crate::ring::RingSender;
use crate::types::format_id;
use crate::wire::call::{call, Call, CallError};
use crate::wire::deadline::DeadlineReader;
use crate::wire::exchange::{Exchange, RawHead, WholeAnswer};
use crate::wire::forward::{ForwardHead, DEADLINE_MS, ORGANISATION, PREFIX, REQUEST};
use crate::wire::http::{header, HeaderPair};

/// A request that starts.
pub struct StartJob {
    /// The fleet's head.
    pub head: ForwardHead,
    /// Line and headers as they came.
    pub raw: RawHead,
    /// The entry's exchange.
    pub exchange: Box<dyn Exchange>,
    /// The server's address.
    pub address: SocketAddr,
    /// When the answer must be there.
    pub deadline_at: Instant,
}

/// Calls a backend server.
pub trait BackendClient: Send + Sync {
    /// Runs the request and gives the whole answer.
    fn call(&self, request: Call<'_>) -> Result<WholeAnswer, CallError>;

    /// Whether the server takes connections; no only if it refuses one.
    fn is_up(&self, address: SocketAddr) -> bool;
}

/// Backend servers over HTTP.
pub struct HttpBackend;

impl BackendClient for HttpBackend {
    fn call(&self, request: Call<'_>) -> Result<WholeAnswer, CallError> {
        call(request)
    }

    fn is_up(&self, address: SocketAddr) -> bool {
        match TcpStream::connect_timeout(&address, UP_TIMEOUT) {
            Ok(_) => true,
            Err(error) => error.kind() != std::io::ErrorKind::ConnectionRefused,
        }
    }
}

const UP_TIMEOUT: Duration = Duration::from_millis(200);

/// What the threads need of the world.
#[derive(Clone)]
pub struct ForwardContext {
    /// The servers.
    pub backend: Arc<dyn BackendClient>,
    /// Longest wait for a connection.
    pub connect_timeout: Duration,
    /// Most bytes of an answer.
    pub answer_limit_bytes: usize,
    /// The guard.
    pub guard: RingSender<GuardMessage>,
}

/// Calls servers until the ring closes.
pub fn run(context: &ForwardContext, jobs: &Receiver<StartJob>) {
    for mut job in jobs {
        let started_at = Instant::now();
        let result = start(context, &mut job);
        let outcome = match &result {
            Ok(answer) => ServerOutcome::Answered(answer.status),
            Err(CallError::Broken) if !context.backend.is_up(job.address) => ServerOutcome::Died,
            Err(error) => ServerOutcome::Failed(*error),
        };
        let request = job.head.request;
        let elapsed = started_at.elapsed();
        context
            .guard
            .deliver(GuardMessage::Event(GuardEvent::Finished {
                key: (request, job.head.attempt),
                outcome,
                elapsed,
            }));
        job.exchange.answer(match result {
            Ok(answer) => served(&job.head, answer),
            Err(_) if outcome == ServerOutcome::Died => {
                refusal(request, ErrorKind::ServerDied, None)
            }
            Err(error) => refusal(request, kind_of(error), None),
        });
    }
}

fn start(context: &ForwardContext, job: &mut StartJob) -> Result<WholeAnswer, CallError> {
    let headers = server_headers(job);
    let mut body = DeadlineReader::new(job.exchange.body(), job.deadline_at);
    let answer = context.backend.call(Call {
        address: job.address,
        method: &job.raw.method,
        target: &job.raw.target,
        headers: &headers,
        body_bytes: job.raw.body_bytes,
        body: &mut body,
        connect_timeout: context.connect_timeout,
        deadline_at: job.deadline_at,
        answer_limit_bytes: context.answer_limit_bytes,
    })?;
    let own_id = format_id(job.head.request);
    if header(&answer.headers, REQUEST).is_some_and(|id| id != own_id) {
        return Err(CallError::ShortAnswer);
    }
    Ok(answer)
}

/// The caller's headers, and what the server may know of the request.
fn server_headers(job: &StartJob) -> Vec<HeaderPair> {
    let left = job.deadline_at.saturating_duration_since(Instant::now());
    let mut headers = vec![
        (REQUEST.to_owned(), format_id(job.head.request)),
        (ORGANISATION.to_owned(), job.head.organisation.to_string()),
        (DEADLINE_MS.to_owned(), left.as_millis().to_string()),
    ];
    for (name, value) in &job.raw.headers {
        if name.to_ascii_lowercase().starts_with(PREFIX) {
            continue;
        }
        headers.push((name.clone(), value.clone()));
    }
    headers
}

/// The server's answer with the request id that the entry checks.
fn served(head: &ForwardHead, mut answer: WholeAnswer) -> WholeAnswer {
    answer.headers.retain(|(name, _)| !name.starts_with(PREFIX));
    answer
        .headers
        .push((REQUEST.to_owned(), format_id(head.request)));
    answer
}

fn kind_of(error: CallError) -> ErrorKind {
    match error {
        CallError::NotSent => ErrorKind::NoServer,
        CallError::Unwritable => ErrorKind::BadRequest,
        CallError::ShortBody => ErrorKind::ShortUpload,
        CallError::Late | CallError::Broken => ErrorKind::OutcomeUnknown,
        CallError::ShortAnswer => ErrorKind::BadAnswer,
        CallError::AnswerTooLarge => ErrorKind::AnswerTooLarge,
    }
}
