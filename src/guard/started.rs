//! Record of the attempts that this guard started, so that none starts twice.
//!
//! The record may forget requests, but it keeps track of how far: `known_since_ms` is never below
//! the time in the id of a forgotten request. A request with an id up to that time that is not in
//! the record is never started and never reported as fenced, so safety does not depend on
//! synchronised clocks.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::message::AttemptKey;
use crate::error::ErrorKind;
use crate::link::FenceAnswer;
use crate::types::{id_time_ms, Attempt, RequestId};

/// Attempts that this guard has started or fenced or that wait in its queues.
pub struct StartedRecord {
    /// Attempts at each request that is not forgotten.
    entries: HashMap<RequestId, RequestRecord>,
    /// Requests in the order in which they became idle, with the time; some may be outdated.
    idle: VecDeque<(Instant, RequestId)>,
    /// Time in the latest id that may have been forgotten, in milliseconds since the epoch. It
    /// never decreases.
    known_since_ms: u64,
    /// How long an idle request is kept.
    keep: Duration,
    /// Most idle requests that are kept.
    limit_count: usize,
}

/// Attempts at one request.
#[derive(Default)]
struct RequestRecord {
    /// Attempts that were admitted and not refused, with their phase.
    attempts: SmallVec<[(Attempt, Phase); 2]>,
    /// Attempts up to this number never start; 0 if none is fenced.
    fenced_through: Attempt,
    /// When the request became idle; `None` while an attempt waits or runs.
    idle_at: Option<Instant>,
}

/// Progress of an attempt at this guard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The attempt was admitted and has not started.
    Waiting,
    /// The call to the server is running.
    Running,
    /// The call to the server has ended.
    Ended,
}

impl StartedRecord {
    /// Creates an empty record that keeps idle requests for `keep`, and at most `limit_count`.
    pub fn new(keep: Duration, limit_count: usize) -> StartedRecord {
        StartedRecord {
            entries: HashMap::new(),
            idle: VecDeque::new(),
            known_since_ms: 0,
            keep,
            limit_count,
        }
    }

    /// Adds an attempt that arrived, or returns why it may not start here.
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

    /// Records that the attempt starts.
    pub fn record_start(&mut self, key: AttemptKey) {
        self.set_phase(key, Phase::Running);
    }

    /// Records that the attempt has ended, with whatever outcome.
    pub fn record_end(&mut self, now: Instant, key: AttemptKey) {
        self.set_phase(key, Phase::Ended);
        self.mark_idle(now, key.0);
    }

    /// Removes an attempt that was refused before its start.
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

    /// Prevents the start of this attempt and all earlier ones, and returns their state. The caller
    /// must remove waiting attempts from its queues.
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

    /// Returns the attempts at the request that wait.
    pub fn waiting(&self, request: RequestId) -> SmallVec<[AttemptKey; 2]> {
        self.attempts_in_phase(request, Phase::Waiting)
    }

    /// Returns the attempts at the request that run.
    pub fn running(&self, request: RequestId) -> SmallVec<[AttemptKey; 2]> {
        self.attempts_in_phase(request, Phase::Running)
    }

    /// Forgets requests that have been idle for `keep`, and the oldest beyond the limit.
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

    /// Returns how many requests are in the record.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the record is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Sets the phase of an attempt that is in the record.
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

    /// Marks the request as idle unless one of its attempts waits or runs.
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

    /// Returns the attempts at a request that are in this phase.
    fn attempts_in_phase(&self, request: RequestId, wanted: Phase) -> SmallVec<[AttemptKey; 2]> {
        let Some(entry) = self.entries.get(&request) else {
            return SmallVec::new();
        };
        let matching = entry.attempts.iter().filter(|(_, phase)| *phase == wanted);
        matching.map(|(attempt, _)| (request, *attempt)).collect()
    }
}
