//! Decides when a peer connection is silent or idle and when a peer is suspect. Free of I/O.

use std::time::{Duration, Instant};

use crate::settings::link::LinkSettings;

/// An event on one peer connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionEvent {
    /// A call was sent to the peer.
    CallSent,
    /// A call ended, with or without an answer.
    CallEnded,
    /// An answer to a call or a heartbeat, or a refusal, was received.
    Received,
    /// The timer fired; checks the limits for silence and idleness.
    Tick,
}

/// The action that a tick requires on one connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionAction {
    /// Sends a heartbeat, which the peer must answer within `silent_after_ms`.
    SendHeartbeat,
    /// Closes the connection because its heartbeat got no answer.
    CloseSilent,
    /// Closes the connection because no call was sent on it for `idle_close_ms`.
    CloseIdle,
}

/// State of one connection to a peer: calls in flight and the times that the limits count from.
#[derive(Debug)]
pub struct ConnectionState {
    settings: LinkSettings,
    /// Calls that have not ended yet.
    in_flight_count: usize,
    /// When the last call was sent; at first, when the connection was made.
    call_sent_at: Instant,
    /// When the last answer was received; at first, when the connection was made.
    received_at: Instant,
    /// When the heartbeat without an answer yet was sent.
    heartbeat_sent_at: Option<Instant>,
}

impl ConnectionState {
    /// Returns the state of a connection whose peer has just been authenticated.
    pub fn new(settings: LinkSettings, now: Instant) -> ConnectionState {
        ConnectionState {
            settings,
            in_flight_count: 0,
            call_sent_at: now,
            received_at: now,
            heartbeat_sent_at: None,
        }
    }

    /// Returns the number of calls that have not ended yet.
    pub fn in_flight_count(&self) -> usize {
        self.in_flight_count
    }

    /// Applies one event and returns the action that it requires. Only ticks require one.
    pub fn handle(&mut self, now: Instant, event: ConnectionEvent) -> Option<ConnectionAction> {
        match event {
            ConnectionEvent::CallSent => {
                self.in_flight_count += 1;
                self.call_sent_at = now;
            }
            ConnectionEvent::CallEnded => self.in_flight_count -= 1,
            ConnectionEvent::Received => {
                self.received_at = now;
                self.heartbeat_sent_at = None;
            }
            ConnectionEvent::Tick => return self.tick(now),
        }
        None
    }

    /// Returns the action that is due now. Each heartbeat must be answered before the next.
    fn tick(&mut self, now: Instant) -> Option<ConnectionAction> {
        if now < self.next_tick_at() {
            return None;
        }
        if self.heartbeat_sent_at.is_some() {
            return Some(ConnectionAction::CloseSilent);
        }
        if self.in_flight_count == 0 && now >= self.idle_at() {
            return Some(ConnectionAction::CloseIdle);
        }
        self.heartbeat_sent_at = Some(now);
        Some(ConnectionAction::SendHeartbeat)
    }

    /// Returns the earliest time at which a tick requires an action.
    pub fn next_tick_at(&self) -> Instant {
        if let Some(heartbeat_sent_at) = self.heartbeat_sent_at {
            return heartbeat_sent_at + Duration::from_millis(self.settings.silent_after_ms);
        }
        if self.in_flight_count > 0 {
            let quiet_since = self.received_at.max(self.call_sent_at);
            return quiet_since + Duration::from_millis(self.settings.heartbeat_ms);
        }
        let keepalive = Duration::from_millis(self.settings.keepalive_ms);
        (self.received_at + keepalive).min(self.idle_at())
    }

    /// Returns when the connection is closed as idle if no call is sent on it.
    fn idle_at(&self) -> Instant {
        self.call_sent_at + Duration::from_millis(self.settings.idle_close_ms)
    }
}

/// How a connection, or the attempt to make one, ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The connection could not be made, or its handshake failed.
    Failed,
    /// A heartbeat on the connection got no answer in time.
    Silent,
    /// The connection ended for a reason that says nothing about the peer's health.
    Closed,
}

/// Failures of the past connections to one peer, and when it may be dialled again.
#[derive(Debug, Default)]
pub struct PeerState {
    /// Consecutive connections that failed or went silent.
    failure_count: u32,
    /// Time before which a suspect peer is not dialled.
    retry_at: Option<Instant>,
    /// Consecutive connections on which the peer had an earlier incarnation than membership knows.
    earlier_incarnation_count: u32,
    /// Time before which a peer with an earlier incarnation is not dialled again.
    redial_at: Option<Instant>,
}

impl PeerState {
    /// Returns whether the peer may be dialled now.
    pub fn may_dial(&self, now: Instant) -> bool {
        self.retry_at.is_none_or(|at| now >= at)
    }

    /// Returns whether `SUSPECT_FAILURE_COUNT` consecutive connections failed or went silent.
    pub fn is_suspect(&self) -> bool {
        self.failure_count >= SUSPECT_FAILURE_COUNT
    }

    /// Records that the peer answered a call, which clears the suspicion.
    pub fn record_answer(&mut self) {
        self.failure_count = 0;
        self.retry_at = None;
    }

    /// Returns whether a peer that had an earlier incarnation may be dialled again, because it may
    /// use a later number by now.
    pub fn may_redial(&self, now: Instant) -> bool {
        self.may_dial(now) && self.redial_at.is_none_or(|at| now >= at)
    }

    /// Records that the peer had an earlier incarnation on a new connection, and sets the time of
    /// the next dial.
    pub fn saw_earlier_incarnation(&mut self, settings: &LinkSettings, now: Instant) {
        self.redial_at = Some(now + retry_wait(settings, self.earlier_incarnation_count));
        self.earlier_incarnation_count = self.earlier_incarnation_count.saturating_add(1);
    }

    /// Lets the peer be dialled again at once: it has its latest incarnation, or membership has
    /// learned of a later one.
    pub fn forget_earlier_incarnation(&mut self) {
        self.earlier_incarnation_count = 0;
        self.redial_at = None;
    }

    /// Records the end of a connection and returns whether the peer became suspect by it.
    pub fn record_end(
        &mut self,
        settings: &LinkSettings,
        now: Instant,
        end: ConnectionEnd,
    ) -> bool {
        if end == ConnectionEnd::Closed {
            return false;
        }
        let before = self.is_suspect();
        self.failure_count = self.failure_count.saturating_add(1);
        if !self.is_suspect() {
            return false;
        }
        let doublings_count = self.failure_count - SUSPECT_FAILURE_COUNT;
        self.retry_at = Some(now + retry_wait(settings, doublings_count));
        !before
    }
}

/// Returns `retry_ms`, doubled `doublings_count` times and limited to `retry_limit_ms`.
fn retry_wait(settings: &LinkSettings, doublings_count: u32) -> Duration {
    let wait_ms = settings
        .retry_ms
        .saturating_mul(1 << doublings_count.min(16));
    Duration::from_millis(wait_ms.min(settings.retry_limit_ms))
}

/// A single failed connection does not make its peer suspect; a second one in a row does.
const SUSPECT_FAILURE_COUNT: u32 = 2;
