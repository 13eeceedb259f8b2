//! Threads that send the requests of a load and collect the results.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crossbeam::channel::{bounded, Receiver, Sender};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::message::{AnswerVerdict, LoadPlan, LoadRequest, LoadResult};
use super::report::LoadReport;
use super::state::{answered_request_id, check_answer};
use crate::types::{format_id, new_request_id};
use crate::wire::client::{call_and_wait, Call, HttpClient, OutgoingBody};
use crate::wire::dialect::CALLER_DEADLINE_MS;
use crate::wire::forward::{ORGANISATION, REQUEST};

/// A request that a worker has to send now.
struct DueRequest {
    /// Time at which the request is to be sent.
    due_at: Instant,
    /// Index of the request in the mix of the plan.
    kind_index: usize,
    /// Address to which the request is sent.
    front: SocketAddr,
}

/// Sends the whole load and returns the report once every result is in.
pub fn run(plan: &LoadPlan) -> LoadReport {
    let started_at = Instant::now();
    let client = &HttpClient::start("load");
    let (due_sender, due_receiver) = bounded::<DueRequest>(plan.worker_count);
    let (result_sender, result_receiver) = bounded::<LoadResult>(plan.worker_count);
    std::thread::scope(|scope| {
        for _ in 0..plan.worker_count {
            let due = due_receiver.clone();
            let results = result_sender.clone();
            scope.spawn(move || run_worker(plan, client, &due, &results));
        }
        drop((due_receiver, result_sender));
        scope.spawn(move || schedule_requests(plan, started_at, &due_sender));
        let mut report = LoadReport::new(plan);
        for result in result_receiver {
            report.add(plan, &result);
        }
        report.elapsed = started_at.elapsed();
        report
    })
}

/// Passes requests to the workers at the rate of the plan.
fn schedule_requests(plan: &LoadPlan, started_at: Instant, due: &Sender<DueRequest>) {
    let mut random = ChaCha8Rng::seed_from_u64(plan.seed);
    for index in 0..plan.request_count {
        let offset = plan
            .rate_per_s
            .map_or(0.0, |rate_per_s| index as f64 / rate_per_s);
        let due_at = started_at + Duration::from_secs_f64(offset);
        std::thread::sleep(due_at.saturating_duration_since(Instant::now()));
        let kind_index = random.random_range(0..plan.mix.len());
        let front = plan.fronts[index as usize % plan.fronts.len()];
        let due_at = due_at.max(started_at);
        if due
            .send(DueRequest {
                due_at,
                kind_index,
                front,
            })
            .is_err()
        {
            return;
        }
    }
}

/// Sends the requests that are due, one at a time, and reports their results.
fn run_worker(
    plan: &LoadPlan,
    client: &HttpClient,
    due: &Receiver<DueRequest>,
    results: &Sender<LoadResult>,
) {
    for job in due {
        // With a fixed rate the wait for a free worker counts, so that slow answers are not left
        // out of the latencies.
        let from = if plan.rate_per_s.is_some() {
            job.due_at
        } else {
            Instant::now()
        };
        let sent = &plan.mix[job.kind_index];
        let (request, verdict) = send_request(plan, client, sent, job.front);
        let elapsed = from.elapsed();
        let result = LoadResult {
            kind_index: job.kind_index,
            request,
            verdict,
            elapsed,
        };
        if results.send(result).is_err() {
            return;
        }
    }
}

/// Sends one request and returns the request id and the verdict of its answer.
fn send_request(
    plan: &LoadPlan,
    client: &HttpClient,
    sent: &LoadRequest,
    front: SocketAddr,
) -> (Option<u128>, AnswerVerdict) {
    let mut headers = vec![(
        CALLER_DEADLINE_MS.to_owned(),
        plan.deadline.as_millis().to_string(),
    )];
    if plan.direct {
        headers.push((REQUEST.to_owned(), format_id(new_request_id())));
        headers.push((ORGANISATION.to_owned(), sent.organisation.to_string()));
    } else if !sent.key.is_empty() {
        headers.push(("authorization".to_owned(), format!("Bearer {}", sent.key)));
    }
    let call = Call {
        address: front,
        method: sent.method.clone(),
        target: sent.target.clone(),
        host: None,
        headers,
        body: OutgoingBody::Whole(vec![b'x'; sent.body_bytes as usize].into()),
        connect_timeout: plan.deadline,
        deadline_at: Instant::now() + plan.deadline + ANSWER_GRACE,
        answer_limit_bytes: ANSWER_LIMIT_BYTES,
        reuse_idle: Duration::ZERO,
        reconnect_check: false,
        check: None,
    };
    let result = call_and_wait(client, call);
    match result {
        Ok(answer) => (answered_request_id(&answer), check_answer(sent, &answer)),
        Err(_) => (None, AnswerVerdict::NoAnswer),
    }
}

/// Time after the deadline for an answer to arrive, as daemons answer by the deadline.
const ANSWER_GRACE: Duration = Duration::from_secs(2);
/// Length of the longest accepted answer.
const ANSWER_LIMIT_BYTES: usize = 16 * 1024 * 1024;
