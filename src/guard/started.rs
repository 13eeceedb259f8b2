//! The record of what this guard started, by which a request is never started twice.
//!
//! The record may forget, but it knows how far: `known_since_ms` never falls below the time of a
//! forgotten request's id. An id up to that time that is not in the record is never started and
//! never called fenced, so safety needs no agreement of clocks.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::message::AttemptKey;
use crate::error::ErrorKind;
use crate::link::FenceAnswer;
use crate::types::{id_time_ms, Attempt, RequestId};

/// What this guard started, fenced, or holds in its queues.
pub struct StartedRecord {
    entries: HashMap<RequestId, RequestRecord>,
    /// Requests in the order in which they became idle.
    idle: VecDeque<(Instant, RequestId)>,
    /// Time of the latest id that may have been forgotten. Never falls.
    known_since_ms: u64,
    keep: Duration,
    limit_count: usize,
}

#[derive(Default)]
struct RequestRecord {
    attempts: SmallVec<[(Attempt, Phase); 2]>,
    /// Attempts up to this one never start.
    fenced_through: Attempt,
    idle_at: Option<Instant>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Waiting,
    Running,
    Ended,
}

impl StartedRecord {
    /// An empty record that keeps ended requests for `keep`, and at most `limit_count` of them.
    pub fn new(keep: Duration, limit_count: usize) -> StartedRecord {
        StartedRecord {
            entries: HashMap::new(),
            idle: VecDeque::new(),
            known_since_ms: 0,
            keep,
            limit_count,
        }
    }

    /// Takes an attempt that has arrived, or says why it may not start here.
    pub fn admit(&mut self, key: AttemptKey, repeatable: bool) -> Result<(), ErrorKind> {
        let (request, attempt) = key;
        let Some(entry) = self.entries.get_mut(&request) else {
            if id_time_ms(request) <= self.known_since_ms {
                return Err(ErrorKind::OutcomeUnknown);
            }
            self.entries
                .entry(request)
                .or_default()
                .attempts
                .push((attempt, Phase::Waiting));
            return Ok(());
        };
        if attempt <= entry.fenced_through {
            return Err(ErrorKind::Fenced);
        }
        for (known, _) in &entry.attempts {
            if *known == attempt || !repeatable {
                return Err(ErrorKind::OutcomeUnknown);
            }
        }
        entry.attempts.push((attempt, Phase::Waiting));
        entry.idle_at = None;
        Ok(())
    }

    /// The attempt starts.
    pub fn record_start(&mut self, key: AttemptKey) {
        self.set_phase(key, Phase::Running);
    }

    /// The attempt has ended, whatever became of it.
    pub fn record_end(&mut self, now: Instant, key: AttemptKey) {
        self.set_phase(key, Phase::Ended);
        self.mark_idle(now, key.0);
    }

    /// The attempt was refused before its start.
    pub fn record_refusal(&mut self, now: Instant, key: AttemptKey) {
        let Some(entry) = self.entries.get_mut(&key.0) else {
            return;
        };
        entry
            .attempts
            .retain(|(attempt, phase)| (*attempt, *phase) != (key.1, Phase::Waiting));
        if entry.attempts.is_empty() && entry.fenced_through == 0 {
            self.entries.remove(&key.0);
            return;
        }
        self.mark_idle(now, key.0);
    }

    /// Keeps the attempt and all before it from starting, where they have not started.
    /// The caller takes the waiting ones out of its queues.
    pub fn fence(&mut self, now: Instant, request: RequestId, attempt: Attempt) -> FenceAnswer {
        let known = self.entries.contains_key(&request);
        if !known && id_time_ms(request) <= self.known_since_ms {
            return FenceAnswer::Unknown;
        }
        let entry = self.entries.entry(request).or_default();
        entry.fenced_through = entry.fenced_through.max(attempt);
        let mut answer = FenceAnswer::Fenced;
        for (started, phase) in &entry.attempts {
            match phase {
                Phase::Running if *started <= attempt => answer = FenceAnswer::Running,
                Phase::Ended if *started <= attempt && answer == FenceAnswer::Fenced => {
                    answer = FenceAnswer::Ended;
                }
                _ => {}
            }
        }
        self.mark_idle(now, request);
        answer
    }

    /// Attempts at the request that wait.
    pub fn waiting(&self, request: RequestId) -> SmallVec<[AttemptKey; 2]> {
        self.attempts_in_phase(request, Phase::Waiting)
    }

    /// Attempts at the request that run.
    pub fn running(&self, request: RequestId) -> SmallVec<[AttemptKey; 2]> {
        self.attempts_in_phase(request, Phase::Running)
    }

    /// Forgets what has been idle for long enough, and the oldest beyond the limit.
    pub fn forget_expired(&mut self, now: Instant) {
        while let Some((idle_at, request)) = self.idle.front().copied() {
            let due = now.saturating_duration_since(idle_at) >= self.keep;
            if !due && self.idle.len() <= self.limit_count {
                return;
            }
            self.idle.pop_front();
            let entry = self.entries.get(&request);
            if entry.is_some_and(|entry| entry.idle_at == Some(idle_at)) {
                self.entries.remove(&request);
                self.known_since_ms = self.known_since_ms.max(id_time_ms(request));
            }
        }
    }

    /// How many requests are in the record.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the record is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn set_phase(&mut self, key: AttemptKey, phase: Phase) {
        let Some(entry) = self.entries.get_mut(&key.0) else {
            return;
        };
        for (attempt, state) in &mut entry.attempts {
            if *attempt == key.1 {
                *state = phase;
            }
        }
        entry.idle_at = None;
    }

    /// Queues the request for forgetting once nothing of it waits or runs.
    fn mark_idle(&mut self, now: Instant, request: RequestId) {
        let Some(entry) = self.entries.get_mut(&request) else {
            return;
        };
        let busy = |phase: &Phase| *phase != Phase::Ended;
        if entry.attempts.iter().any(|(_, phase)| busy(phase)) {
            return;
        }
        entry.idle_at = Some(now);
        self.idle.push_back((now, request));
    }

    fn attempts_in_phase(&self, request: RequestId, wanted: Phase) -> SmallVec<[AttemptKey; 2]> {
        let Some(entry) = self.entries.get(&request) else {
            return SmallVec::new();
        };
        let matching = entry.attempts.iter().filter(|(_, phase)| *phase == wanted);
        matching.map(|(attempt, _)| (request, *attempt)).collect()
    }
}
