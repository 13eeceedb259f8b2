//! Load of a server as logs and counters show it.

/// Requests that run and wait at one server at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests that run at the server.
    pub running_count: u32,
    /// Requests that may run at the same time.
    pub limit_count: u32,
    /// Requests that wait for a slot.
    pub waiting_count: usize,
    /// What keeps the next request from starting.
    pub start_blocker: StartBlocker,
}

/// Reason why no further request starts at a server at present.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum StartBlocker {
    /// A request may start.
    #[default]
    Nothing,
    /// The breaker of the server is open.
    Breaker,
    /// All slots of the server are in use.
    Slots,
    /// The server has reached its limit of starts within a second.
    StartRate,
}

impl StartBlocker {
    /// Returns the name in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            StartBlocker::Nothing => "nothing",
            StartBlocker::Breaker => "breaker",
            StartBlocker::Slots => "slots",
            StartBlocker::StartRate => "start_rate",
        }
    }
}
