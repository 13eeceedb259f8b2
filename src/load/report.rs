//! Counts of a load by service and organisation.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use hdrhistogram::Histogram;

use super::message::{AnswerVerdict, LoadPlan, LoadResult};
use crate::error::Ran;
use crate::types::{OrganisationId, RequestId, ServiceId};

/// Counts of one service and organisation.
#[derive(Debug, Clone)]
pub struct LoadRow {
    /// Requests sent.
    pub sent_count: u64,
    /// Whole, true answers.
    pub answered_count: u64,
    /// Refusals that say "not run", by kind.
    pub refused_counts: BTreeMap<String, u64>,
    /// Answers that the outcome is not known, or none at all.
    pub unknown_count: u64,
    /// Answers that are not true.
    pub untrue_count: u64,
    /// Microseconds of whole answers.
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
    /// Refusals that say "not run".
    pub fn refused_count(&self) -> u64 {
        self.refused_counts.values().sum()
    }
}

const ELAPSED_LIMIT_US: u64 = 3_600_000_000;
const SIGNIFICANT_DIGIT_COUNT: u8 = 3;
const PROBLEM_LIMIT_COUNT: usize = 10;

/// The counts of a whole load.
#[derive(Debug, Clone, Default)]
pub struct LoadReport {
    /// By service and organisation.
    pub rows: BTreeMap<(ServiceId, OrganisationId), LoadRow>,
    /// How long it took.
    pub elapsed: Duration,
    /// The first untrue answers, in words.
    pub problems: Vec<String>,
    /// Requests whose answer says that they did not run.
    not_run: HashSet<RequestId>,
    /// Requests with the server's answer, and whether they may run more than once.
    answered: HashMap<RequestId, bool>,
}

impl LoadReport {
    /// A report with a row for each service and organisation of the mix.
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

    /// Counts one result.
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

    /// Compares answers with the runs that the servers counted, by request id.
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

    /// Whether no answer was untrue.
    pub fn is_consistent(&self) -> bool {
        self.problems.is_empty()
    }

    /// Requests sent in all.
    pub fn sent_count(&self) -> u64 {
        self.rows.values().map(|row| row.sent_count).sum()
    }

    /// Whole, true answers in all.
    pub fn answered_count(&self) -> u64 {
        self.rows.values().map(|row| row.answered_count).sum()
    }

    /// Microseconds of all whole answers.
    pub fn elapsed_us(&self) -> Histogram<u64> {
        let mut all = LoadRow::default().elapsed_us;
        for row in self.rows.values() {
            all.add(&row.elapsed_us).expect("the same bounds");
        }
        all
    }

    fn add_problem(&mut self, problem: String) {
        if self.problems.len() < PROBLEM_LIMIT_COUNT {
            self.problems.push(problem);
        }
    }
}
