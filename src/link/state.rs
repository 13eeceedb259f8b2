//! Decisions of the link: when a connection is silent, and when a peer is suspect.

use std::time::{Duration, Instant};

use crate::settings::link::LinkSettings;

/// What happens on one connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionEvent {
    /// A call was sent.
    CallSent,
    /// A call ended, with an answer or without.
    CallEnded,
    /// Anything came from the peer.
    Received,
    /// Time passed.
    Tick,
}

/// What is to be done with one connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionAction {
    /// Sends a heartbeat.
    SendHeartbeat,
    /// Closes the connection: the peer does not answer on it.
    CloseSilent,
    /// Closes the connection: nobody uses it.
    CloseIdle,
}

/// State of one connection to a peer.
#[derive(Debug)]
pub struct ConnectionState {
    settings: LinkSettings,
    /// Calls without an answer yet.
    in_flight_count: usize,
    /// When the last call was sent.
    call_sent_at: Instant,
    /// When anything last came.
    received_at: Instant,
    /// When the heartbeat that waits for an answer was sent.
    heartbeat_sent_at: Option<Instant>,
}

impl ConnectionState {
    /// A connection whose peer has just proven itself.
    pub fn new(settings: LinkSettings, now: Instant) -> ConnectionState {
        ConnectionState {
            settings,
            in_flight_count: 0,
            call_sent_at: now,
            received_at: now,
            heartbeat_sent_at: None,
        }
    }

    /// Calls without an answer yet.
    pub fn in_flight_count(&self) -> usize {
        self.in_flight_count
    }

    /// Takes one event and gives what is to be done.
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

    /// When the next tick has something to do.
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

    fn idle_at(&self) -> Instant {
        self.call_sent_at + Duration::from_millis(self.settings.idle_close_ms)
    }
}

/// What became of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// It could not be made, or the proof did not come.
    Failed,
    /// It went silent.
    Silent,
    /// It ended for a reason that says nothing of the peer.
    Closed,
}

/// What earlier connections say of one peer.
#[derive(Debug, Default)]
pub struct PeerState {
    /// Connections in a row that failed or went silent.
    failure_count: u32,
    /// A suspect peer is not dialled before this.
    retry_at: Option<Instant>,
    /// Connections in a row that met an earlier life than membership knows.
    earlier_incarnation_count: u32,
    /// A peer in an earlier life is not dialled anew before this.
    redial_at: Option<Instant>,
}

impl PeerState {
    /// Whether the peer may be dialled now.
    pub fn may_dial(&self, now: Instant) -> bool {
        self.retry_at.is_none_or(|at| now >= at)
    }

    /// A peer is suspect after a second connection met the same.
    pub fn is_suspect(&self) -> bool {
        self.failure_count >= SUSPECT_FAILURE_COUNT
    }

    /// The peer answered a call.
    pub fn answered(&mut self) {
        self.failure_count = 0;
        self.retry_at = None;
    }

    /// Whether a peer that was in an earlier life may be dialled anew, since it may bear a later
    /// number by now.
    pub fn may_redial(&self, now: Instant) -> bool {
        self.may_dial(now) && self.redial_at.is_none_or(|at| now >= at)
    }

    /// A new connection met the peer in an earlier life.
    pub fn saw_earlier_incarnation(&mut self, settings: &LinkSettings, now: Instant) {
        self.redial_at = Some(now + retry_wait(settings, self.earlier_incarnation_count));
        self.earlier_incarnation_count = self.earlier_incarnation_count.saturating_add(1);
    }

    /// The peer is in its latest life, or there is news of a later one.
    pub fn forget_earlier_incarnation(&mut self) {
        self.earlier_incarnation_count = 0;
        self.redial_at = None;
    }

    /// A connection ended. Says whether the peer became suspect by it.
    pub fn ended(&mut self, settings: &LinkSettings, now: Instant, end: ConnectionEnd) -> bool {
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

fn retry_wait(settings: &LinkSettings, doublings_count: u32) -> Duration {
    let wait_ms = settings
        .retry_ms
        .saturating_mul(1 << doublings_count.min(16));
    Duration::from_millis(wait_ms.min(settings.retry_limit_ms))
}

const SUSPECT_FAILURE_COUNT: u32 = 2;
