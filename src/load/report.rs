//! Results of a load by service and organisation.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use hdrhistogram::Histogram;

use super::message::{AnswerVerdict, LoadPlan, LoadResult};
use crate::error::Ran;
use crate::types::{OrganisationId, RequestId, ServiceId};

/// Results of the requests of one organisation to one service.
#[derive(Debug, Clone)]
pub struct LoadRow {
    /// Number of requests sent.
    pub sent_count: u64,
    /// Number of complete answers that match their requests.
    pub answered_count: u64,
    /// Number of refusals that say "not run", by error kind.
    pub refused_counts: BTreeMap<String, u64>,
    /// Number of requests without an answer, or whose answer leaves open whether they ran.
    pub unknown_count: u64,
    /// Number of answers that contradict their request or are malformed.
    pub untrue_count: u64,
    /// Latencies of complete answers, in microseconds.
    pub elapsed_us: Histogram<u64>,
}

impl Default for LoadRow {
    fn default() -> Self {
        LoadRow {
            sent_count: 0,
            answered_count: 0,
            refused_counts: BTreeMap::new(),
            unknown_count: 0,
            untrue_count: 0,
            elapsed_us: Histogram::new_with_bounds(1, ELAPSED_LIMIT_US, SIGNIFICANT_DIGIT_COUNT)
                .expect("bounds in order"),
        }
    }
}

impl LoadRow {
    /// Returns the number of refusals that say "not run".
    pub fn refused_count(&self) -> u64 {
        self.refused_counts.values().sum()
    }
}

/// Greatest latency that the histograms can record, 1 hour.
const ELAPSED_LIMIT_US: u64 = 3_600_000_000;
/// Decimal digits to which latencies are kept.
const SIGNIFICANT_DIGIT_COUNT: u8 = 3;
/// Number of problems that a report keeps.
const PROBLEM_LIMIT_COUNT: usize = 10;

/// Results of a whole load, and the problems found in them.
#[derive(Debug, Clone, Default)]
pub struct LoadReport {
    /// Results by service and organisation.
    pub rows: BTreeMap<(ServiceId, OrganisationId), LoadRow>,
    /// Time that the whole load took.
    pub elapsed: Duration,
    /// The first problems found in answers, up to `PROBLEM_LIMIT_COUNT`.
    pub problems: Vec<String>,
    /// Requests whose answer says that they did not run.
    not_run: HashSet<RequestId>,
    /// Requests that a server answered, and whether they may run more than once.
    answered: HashMap<RequestId, bool>,
}

impl LoadReport {
    /// Builds an empty report with a row for each service and organisation of the mix.
    pub fn new(plan: &LoadPlan) -> LoadReport {
        let mut report = LoadReport::default();
        for kind in &plan.mix {
            report
                .rows
                .entry((kind.service.clone(), kind.organisation.clone()))
                .or_default();
        }
        report
    }

    /// Adds the result of one request.
    pub fn add(&mut self, plan: &LoadPlan, result: &LoadResult) {
        let kind = &plan.mix[result.kind_index];
        let row = self
            .rows
            .entry((kind.service.clone(), kind.organisation.clone()))
            .or_default();
        row.sent_count += 1;
        match &result.verdict {
            AnswerVerdict::Answered => {
                row.answered_count += 1;
                row.elapsed_us
                    .saturating_record(result.elapsed.as_micros() as u64);
                self.answered
                    .extend(result.request.map(|request| (request, kind.repeatable)));
            }
            AnswerVerdict::Refused { kind, ran: Ran::No } => {
                *row.refused_counts.entry(kind.clone()).or_default() += 1;
                self.not_run.extend(result.request);
            }
            AnswerVerdict::Refused { .. } | AnswerVerdict::NoAnswer => row.unknown_count += 1,
            AnswerVerdict::Untrue(problem) => {
                row.untrue_count += 1;
                self.add_problem(problem.clone());
            }
        }
    }

    /// Compares the answers with the runs that the servers counted by request id, and adds a
    /// problem for each contradiction.
    pub fn compare_with_runs(&mut self, runs: &HashMap<RequestId, u64>) {
        let ran_though_refused: Vec<RequestId> = self
            .not_run
            .iter()
            .filter(|request| runs.contains_key(request))
            .copied()
            .collect();
        for request in ran_though_refused {
            self.add_problem(format!(
                "request {request:032x} ran, but its answer says it did not"
            ));
        }
        let answered = std::mem::take(&mut self.answered);
        for (request, repeatable) in &answered {
            match runs.get(request) {
                None => self.add_problem(format!(
                    "request {request:032x} was answered, but never ran"
                )),
                Some(count) if *count > 1 && !repeatable => {
                    self.add_problem(format!("request {request:032x} ran {count} times"));
                }
                Some(_) => {}
            }
        }
        self.answered = answered;
    }

    /// Returns whether no answer contradicted its request or the servers' runs.
    pub fn is_consistent(&self) -> bool {
        self.problems.is_empty()
    }

    /// Returns the total number of requests sent.
    pub fn sent_count(&self) -> u64 {
        self.rows.values().map(|row| row.sent_count).sum()
    }

    /// Returns the total number of complete answers that match their requests.
    pub fn answered_count(&self) -> u64 {
        self.rows.values().map(|row| row.answered_count).sum()
    }

    /// Returns the latencies of all complete answers, in microseconds.
    pub fn elapsed_us(&self) -> Histogram<u64> {
        let mut all = LoadRow::default().elapsed_us;
        for row in self.rows.values() {
            all.add(&row.elapsed_us).expect("the same bounds");
        }
        all
    }

    /// Keeps a problem, unless `PROBLEM_LIMIT_COUNT` are kept already.
    fn add_problem(&mut self, problem: String) {
        if self.problems.len() < PROBLEM_LIMIT_COUNT {
            self.problems.push(problem);
        }
    }
}
