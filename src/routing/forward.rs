//! The threads that carry attempts to guards.

use std::io::Read;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam::channel::Receiver;

use super::message::{
    AttemptOutcome, HeldRequest, RequestPlan, RoutingEvent, RoutingMessage, Target,
};
use crate::error::ErrorKind;
use crate::ring::RingSender;
use crate::types::{format_id, Attempt, Incarnation};
use crate::wire::call::{call, Call, CallError};
use crate::wire::deadline::DeadlineReader;
use crate::wire::exchange::WholeAnswer;
use crate::wire::forward::{self, ForwardHead};
use crate::wire::http::header;
use crate::wire::proof::FleetKey;

use super::fingerprint::fingerprint;

/// An attempt to be made.
pub struct ForwardJob {
    /// The plan.
    pub plan: Arc<RequestPlan>,
    /// The attempt.
    pub attempt: Attempt,
    /// Where to.
    pub target: Target,
    /// The life of the daemon there.
    pub incarnation: Incarnation,
    /// When it is given up there, if its body can be sent again.
    pub until: Instant,
    /// Head, exchange and body.
    pub held: Box<HeldRequest>,
}

/// What the threads need of the world.
#[derive(Clone)]
pub struct ForwardContext {
    /// Signs heads.
    pub key: FleetKey,
    /// Longest wait for a connection to a guard.
    pub connect_timeout: Duration,
    /// The guard's word is awaited this much longer than the deadline.
    pub answer_grace: Duration,
    /// Most bytes of an answer.
    pub answer_limit_bytes: usize,
    /// Bodies up to this size are kept for retries.
    pub retry_body_limit_bytes: usize,
    /// Where ends of attempts go.
    pub routing: RingSender<RoutingMessage>,
}

/// Makes attempts until the ring closes.
pub fn run(context: &ForwardContext, jobs: &Receiver<ForwardJob>) {
    for mut job in jobs {
        let started_at = Instant::now();
        let outcome = attempt(context, &mut job);
        let event = RoutingEvent::Attempted {
            request: job.plan.request,
            attempt: job.attempt,
            outcome,
            elapsed: started_at.elapsed(),
            resendable: !job.held.body_spent,
        };
        context.routing.deliver(RoutingMessage::Attempted {
            event,
            held: job.held,
        });
    }
}

fn attempt(context: &ForwardContext, job: &mut ForwardJob) -> AttemptOutcome {
    if let Err(kind) = keep_body(context, job) {
        return not_run(kind);
    }
    let until = match job.held.body {
        Some(_) => job.until,
        None => job.plan.deadline_at,
    };
    let remaining = until.saturating_duration_since(Instant::now());
    if remaining.is_zero() {
        return not_run(ErrorKind::DeadlineUnmeetable);
    }
    let head = ForwardHead {
        request: job.plan.request,
        attempt: job.attempt,
        organisation: job.plan.organisation.clone(),
        service: job.plan.service.clone(),
        route: job.plan.route.clone(),
        server: job.target.server.clone(),
        weight_share: job.plan.weight_share,
        repeatable: job.plan.repeatable,
        foreground: job.plan.foreground,
        incarnation: job.incarnation,
        fingerprint: fingerprint(&job.plan, &job.held),
        remaining,
    };
    let mut headers = head.encode(&context.key);
    headers.extend_from_slice(&job.held.head.headers);
    job.held.body_spent = job.held.body.is_none();
    let kept = job.held.body.clone();
    let mut kept_reader = kept.as_deref().unwrap_or_default();
    let mut source = DeadlineReader::new(job.held.exchange.body(), job.plan.deadline_at);
    let body: &mut dyn Read = match kept {
        Some(_) => &mut kept_reader,
        None => &mut source,
    };
    let result = call(Call {
        address: job.target.guard_address,
        method: &job.held.head.method,
        target: &job.held.head.target,
        headers: &headers,
        body,
        body_bytes: Some(job.held.head.body_bytes),
        connect_timeout: context.connect_timeout,
        deadline_at: until + context.answer_grace,
        answer_limit_bytes: context.answer_limit_bytes,
    });
    outcome_of(job, result)
}

/// Reads a short body whole, so that a retry can send it again.
fn keep_body(context: &ForwardContext, job: &mut ForwardJob) -> Result<(), ErrorKind> {
    if job.held.body.is_some() {
        return Ok(());
    }
    let length_bytes = job.held.head.body_bytes;
    if length_bytes > context.retry_body_limit_bytes as u64 {
        return Ok(());
    }
    let mut body = Vec::new();
    let source = job.held.exchange.body();
    let mut reader = DeadlineReader::new(source, job.plan.deadline_at).take(length_bytes);
    reader
        .read_to_end(&mut body)
        .map_err(|_| ErrorKind::ShortUpload)?;
    if body.len() as u64 != length_bytes {
        return Err(ErrorKind::ShortUpload);
    }
    job.held.body = Some(body.into());
    Ok(())
}

fn outcome_of(job: &ForwardJob, result: Result<WholeAnswer, CallError>) -> AttemptOutcome {
    match result {
        Ok(answer) => answered(job, answer),
        Err(CallError::NotSent | CallError::Unwritable) => AttemptOutcome::NotRun {
            kind: ErrorKind::NoServer,
            retry_after: None,
            by_guard: false,
        },
        Err(CallError::ShortBody) => not_run(ErrorKind::ShortUpload),
        Err(CallError::AnswerTooLarge) => AttemptOutcome::Unknown {
            kind: ErrorKind::AnswerTooLarge,
            by_guard: false,
        },
        Err(CallError::ShortAnswer) => AttemptOutcome::Unknown {
            kind: ErrorKind::BadAnswer,
            by_guard: false,
        },
        Err(CallError::Late | CallError::Broken) => AttemptOutcome::Unknown {
            kind: ErrorKind::OutcomeUnknown,
            by_guard: false,
        },
    }
}

fn answered(job: &ForwardJob, answer: WholeAnswer) -> AttemptOutcome {
    if header(&answer.headers, forward::REQUEST) != Some(format_id(job.plan.request).as_str()) {
        return AttemptOutcome::Unknown {
            kind: ErrorKind::BadAnswer,
            by_guard: false,
        };
    }
    let Some(code) = header(&answer.headers, forward::KIND) else {
        return AttemptOutcome::Answered(answer);
    };
    let kind = ErrorKind::from_code(code).unwrap_or(ErrorKind::Internal);
    if kind.ran() != crate::error::Ran::No {
        return AttemptOutcome::Unknown {
            kind,
            by_guard: true,
        };
    }
    let retry_after = header(&answer.headers, "retry-after").and_then(|value| value.parse().ok());
    AttemptOutcome::NotRun {
        kind,
        retry_after: retry_after.map(Duration::from_secs),
        by_guard: true,
    }
}

fn not_run(kind: ErrorKind) -> AttemptOutcome {
    AttemptOutcome::NotRun {
        kind,
        retry_after: None,
        by_guard: false,
    }
}
