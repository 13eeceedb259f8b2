//! One attempt at a request: the call to a guard, and what its answer means.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::fingerprint::fingerprint;
use super::message::{AttemptOutcome, HeldRequest, RequestPlan, Target};
use crate::contract::check::DEADLINE_LIMIT_MS;
use crate::error::{ErrorKind, Ran};
use crate::types::{format_id, Attempt, DaemonId, Incarnation, Offset, RequestId};
use crate::wire::client::{Call, CallError, OutgoingBody};
use crate::wire::exchange::{RequestBody, WholeAnswer};
use crate::wire::forward::{self, AttemptTerms, ForwardHead};
use crate::wire::http::header;
use crate::wire::proof::FleetKey;

/// An attempt to be made.
pub struct AttemptJob {
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
    /// How the guard is to treat it.
    pub terms: AttemptTerms,
}

/// What calls to guards need of the world.
#[derive(Clone)]
pub struct GuardCallContext {
    /// This daemon.
    pub daemon: DaemonId,
    /// Signs heads.
    pub key: FleetKey,
    /// Longest wait for a connection to a guard.
    pub connect_timeout: Duration,
    /// The guard's word is awaited this much longer than the deadline.
    pub answer_grace: Duration,
    /// Most bytes of an answer.
    pub answer_limit_bytes: usize,
    /// Kept connections are used again after at most this long.
    pub reuse_idle: Duration,
}

/// The call of an attempt, or why it can't be made.
pub fn prepare(
    context: &GuardCallContext,
    job: &AttemptJob,
    held: &mut HeldRequest,
    view: Offset,
) -> Result<Call, ErrorKind> {
    keep_body(held)?;
    let until = match held.body {
        Some(_) => job.until,
        None => job.plan.deadline_at,
    };
    let remaining = until.saturating_duration_since(Instant::now());
    if remaining.is_zero() {
        return Err(ErrorKind::DeadlineUnmeetable);
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
        origin: held.origin.clone(),
        rank: job.plan.rank,
        terms: job.terms,
        entry: context.daemon.clone(),
        view,
        incarnation: job.incarnation,
        fingerprint: fingerprint(&job.plan, held),
        remaining,
    };
    let mut headers = vec![head.encode(&context.key)];
    headers.extend_from_slice(&held.head.headers);
    Ok(Call {
        address: job.target.guard_address,
        method: held.head.method.clone(),
        target: held.head.target.clone(),
        host: Some(held.head.host.clone()).filter(|host| !host.is_empty()),
        headers,
        body: out_body(held),
        connect_timeout: context.connect_timeout,
        deadline_at: until + context.answer_grace,
        answer_limit_bytes: context.answer_limit_bytes,
        reuse_idle: context.reuse_idle,
        reconnect_check: false,
        check: None,
    })
}

/// Keeps a body that has come whole, so that a retry can send it again.
fn keep_body(held: &mut HeldRequest) -> Result<(), ErrorKind> {
    if held.body.is_some() {
        return Ok(());
    }
    if let RequestBody::Whole(body) = held.exchange.body() {
        if body.len() as u64 != held.head.body_bytes {
            return Err(ErrorKind::ShortUpload);
        }
        held.body = Some(body);
    }
    Ok(())
}

fn out_body(held: &mut HeldRequest) -> OutgoingBody {
    if let Some(body) = &held.body {
        return OutgoingBody::Whole(body.clone());
    }
    held.body_spent = true;
    match held.exchange.body() {
        RequestBody::Whole(body) => OutgoingBody::Whole(body),
        RequestBody::Parts {
            length_bytes,
            parts,
        } => OutgoingBody::Parts {
            length_bytes,
            parts,
        },
    }
}

/// What the end of the call means for the request.
pub fn outcome_of(request: RequestId, result: Result<WholeAnswer, CallError>) -> AttemptOutcome {
    let lost = |kind| AttemptOutcome::Unknown {
        kind,
        by_guard: false,
    };
    match result {
        Ok(answer) => answered(request, answer),
        Err(CallError::NotSent | CallError::Unwritable) => not_run(ErrorKind::NoServer),
        Err(CallError::ShortBody) => not_run(ErrorKind::ShortUpload),
        Err(CallError::AnswerTooLarge) => lost(ErrorKind::AnswerTooLarge),
        Err(CallError::ShortAnswer) => lost(ErrorKind::BadAnswer),
        Err(CallError::Late | CallError::Broken | CallError::Died) => {
            lost(ErrorKind::OutcomeUnknown)
        }
    }
}

fn answered(request: RequestId, answer: WholeAnswer) -> AttemptOutcome {
    if header(&answer.headers, forward::REQUEST) != Some(format_id(request).as_str()) {
        return AttemptOutcome::Unknown {
            kind: ErrorKind::BadAnswer,
            by_guard: false,
        };
    }
    let Some(code) = header(&answer.headers, forward::KIND) else {
        return AttemptOutcome::Answered(answer);
    };
    let kind = ErrorKind::from_code(code).unwrap_or(ErrorKind::Internal);
    if kind.ran() != Ran::No {
        return AttemptOutcome::Unknown {
            kind,
            by_guard: true,
        };
    }
    let wait_ms = header(&answer.headers, forward::WAIT_MS);
    let wait_ms = wait_ms.and_then(|value| value.parse::<u64>().ok());
    let wait_ms = wait_ms.filter(|wait_ms| *wait_ms <= DEADLINE_LIMIT_MS);
    AttemptOutcome::NotRun {
        kind,
        retry_after: wait_ms.map(Duration::from_millis),
        by_guard: true,
    }
}

/// The outcome of an attempt that was not sent.
pub fn not_run(kind: ErrorKind) -> AttemptOutcome {
    AttemptOutcome::NotRun {
        kind,
        retry_after: None,
        by_guard: false,
    }
}
