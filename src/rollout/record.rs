//! The status record of one service: reads it, and writes it on the condition that nothing was
//! written since.

use std::time::{Duration, Instant};

use super::message::{ConditionalWrite, RolloutState, RolloutStatus, StatusPage};
use crate::feed::FeedError;
use crate::types::Offset;

/// Wait after a call to the store that failed.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// A call to the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum StoreCall {
    /// Reads the status.
    Read,
    /// Writes a status if the stream still ends at this offset.
    Write(RolloutStatus, Offset),
}

/// What this daemon knows of the status record, and what it wants to write.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct StatusRecord {
    /// The record as it was last read or written; none if it is to be read.
    known: Option<StatusPage>,
    /// Status that is to be written.
    wanted: Option<RolloutStatus>,
    /// The call that is not answered yet.
    in_flight: Option<StoreCall>,
    /// A write whose answer was lost; until the next read it may have been done or not.
    unresolved: Option<RolloutStatus>,
    /// When the next call may be made; none for at once.
    retry_at: Option<Instant>,
}

impl StatusRecord {
    /// Drops what is known, so that the record is read again.
    pub fn forget(&mut self) {
        self.known = None;
    }

    /// Drops what is known, and reads the record again after a while.
    pub fn read_later(&mut self, now: Instant) {
        self.known = None;
        self.retry_at = Some(now + RETRY_DELAY);
    }

    /// Drops the status that is to be written. One that is on its way may be written still.
    pub fn cancel(&mut self) {
        self.wanted = None;
    }

    /// Sets the status that is to be written.
    pub fn want(&mut self, status: RolloutStatus) {
        self.wanted = Some(status);
    }

    /// Returns whether a status is to be written.
    pub fn wants(&self) -> Option<&RolloutStatus> {
        self.wanted.as_ref()
    }

    /// Returns whether the record was read and not dropped.
    pub fn is_known(&self) -> bool {
        self.known.is_some()
    }

    /// Returns the status that was last read or written.
    pub fn status(&self) -> Option<&RolloutStatus> {
        self.known.as_ref().and_then(|page| page.status.as_ref())
    }

    /// Returns whether a write of `Completed` is on its way or its answer was lost, so that only the
    /// store knows whether it was done.
    pub fn may_be_completed(&self) -> bool {
        let is_completed = |status: &RolloutStatus| status.state == RolloutState::Completed;
        let on_its_way = match &self.in_flight {
            Some(StoreCall::Write(status, _)) => is_completed(status),
            _ => false,
        };
        on_its_way || self.unresolved.as_ref().is_some_and(is_completed)
    }

    /// Returns the call that is due; none while another is not answered.
    pub fn next_call(&mut self, now: Instant) -> Option<StoreCall> {
        if self.in_flight.is_some() || self.retry_at.is_some_and(|at| now < at) {
            return None;
        }
        let call = match (&self.known, &self.wanted) {
            (None, _) => StoreCall::Read,
            (Some(_), None) => return None,
            (Some(page), Some(wanted)) => match &page.status {
                // Another daemon, or a write whose answer was lost, has done it.
                Some(status) if is_same(status, wanted) => {
                    self.wanted = None;
                    return None;
                }
                _ => StoreCall::Write(wanted.clone(), page.end),
            },
        };
        self.in_flight = Some(call.clone());
        Some(call)
    }

    /// Takes the result of a read. Returns whether the record is known now.
    pub fn read(&mut self, now: Instant, result: Result<StatusPage, FeedError>) -> bool {
        if self.in_flight != Some(StoreCall::Read) {
            return false;
        }
        self.in_flight = None;
        match result {
            Ok(page) => {
                self.unresolved = None;
                self.retry_at = None;
                self.known = Some(page);
                true
            }
            Err(_) => {
                self.retry_at = Some(now + RETRY_DELAY);
                false
            }
        }
    }

    /// Takes the result of a write. Returns whether it was written.
    pub fn written(&mut self, now: Instant, result: Result<ConditionalWrite, FeedError>) -> bool {
        let Some(StoreCall::Write(status, end)) = self.in_flight.take() else {
            return false;
        };
        match result {
            Ok(ConditionalWrite::Written) => {
                if self.wanted.as_ref() == Some(&status) {
                    self.wanted = None;
                }
                self.known = Some(StatusPage {
                    status: Some(status),
                    end: end + 1,
                });
                true
            }
            Ok(ConditionalWrite::Changed) => {
                self.known = None;
                false
            }
            Err(_) => {
                self.known = None;
                self.unresolved = Some(status);
                self.retry_at = Some(now + RETRY_DELAY);
                false
            }
        }
    }
}

/// Returns whether two statuses say the same about the same order.
fn is_same(one: &RolloutStatus, other: &RolloutStatus) -> bool {
    one.order == other.order
        && one.target_version == other.target_version
        && one.state == other.state
        && one.step == other.step
}
