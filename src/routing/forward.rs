//! Prepares the call of one attempt to a guard, and interprets the answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::fingerprint::fingerprint;
use super::message::{AttemptOutcome, HeldRequest, RequestPlan, Target};
use crate::contract::check::DEADLINE_LIMIT_MS;
use crate::error::{ErrorKind, Ran};
use crate::feed::FeedPosition;
use crate::types::{format_id, Attempt, DaemonId, Incarnation, RequestId};
use crate::wire::client::{Call, CallError, OutgoingBody};
use crate::wire::exchange::{RequestBody, WholeAnswer};
use crate::wire::forward::{self, AttemptTerms, ForwardHead};
use crate::wire::http::header;
use crate::wire::proof::FleetKey;

/// An attempt that is to be sent.
pub struct AttemptJob {
    /// Plan of the request that the attempt belongs to.
    pub plan: Arc<RequestPlan>,
    /// Number of the attempt.
    pub attempt: Attempt,
    /// Server and guard that it goes to.
    pub target: Target,
    /// Incarnation of the target's daemon.
    pub incarnation: Incarnation,
    /// When the attempt is given up, if its body can be sent again.
    pub until: Instant,
    /// How the guard is to treat the attempt.
    pub terms: AttemptTerms,
    /// If another attempt could follow: the time after which a run counts as hung where its usual
    /// time is not known.
    pub hung_after: Option<Duration>,
}

/// Settings and identity that calls to guards need.
#[derive(Clone)]
pub struct GuardCallContext {
    /// Id of this daemon, the entry of its requests.
    pub daemon: DaemonId,
    /// Signs the heads of forwarded requests.
    pub key: FleetKey,
    /// Longest wait for a connection to a guard.
    pub connect_timeout: Duration,
    /// How long after the deadline the guard's answer is still awaited.
    pub answer_grace: Duration,
    /// Longest answer in bytes.
    pub answer_limit_bytes: usize,
    /// Longest idle time after which a kept connection is used again.
    pub reuse_idle: Duration,
}

/// Builds the call of an attempt, or returns why it can't be made.
pub fn prepare(
    context: &GuardCallContext,
    job: &AttemptJob,
    held: &mut HeldRequest,
    view: FeedPosition,
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
        view: view.next,
        incarnation: job.incarnation,
        fingerprint: fingerprint(&job.plan, held),
        remaining,
        hung_after: job.hung_after.filter(|_| held.body.is_some()),
        era: view.era,
    };
    let mut headers = vec![head.encode(&context.key)];
    headers.extend_from_slice(&held.head.headers);
    Ok(Call {
        address: job.target.guard_address,
        method: held.head.method.clone(),
        target: held.head.target.clone(),
        host: Some(held.head.host.clone()).filter(|host| !host.is_empty()),
        headers,
        body: outgoing_body(held),
        connect_timeout: context.connect_timeout,
        deadline_at: until + context.answer_grace,
        answer_limit_bytes: context.answer_limit_bytes,
        reuse_idle: context.reuse_idle,
        reconnect_check: false,
        check: None,
    })
}

/// Keeps a body that was read whole, so that a retry can send it again.
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

/// Returns the body to be sent, and notes if it can't be sent a second time.
fn outgoing_body(held: &mut HeldRequest) -> OutgoingBody {
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

/// Returns what the end of the call means for the attempt.
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
        Err(CallError::Evicted) => lost(ErrorKind::AnswerDropped),
        Err(CallError::ShortAnswer) => lost(ErrorKind::BadAnswer),
        Err(CallError::Late | CallError::Broken | CallError::Died) => {
            lost(ErrorKind::OutcomeUnknown)
        }
    }
}

/// Returns the position up to which the guard's daemon has read the configuration, if it says so.
pub fn peer_view(result: &Result<WholeAnswer, CallError>) -> Option<FeedPosition> {
    let answer = result.as_ref().ok()?;
    header(&answer.headers, forward::VIEW)?.parse().ok()
}

/// Returns what a guard's answer means. An answer without the request's id is not trusted.
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

/// Returns the outcome of an attempt that was not sent.
pub fn not_run(kind: ErrorKind) -> AttemptOutcome {
    AttemptOutcome::NotRun {
        kind,
        retry_after: None,
        by_guard: false,
    }
}
