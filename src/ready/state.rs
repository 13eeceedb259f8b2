//! Decides whether the daemon is ready for callers.

/// Event that changes whether the daemon is ready.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadyEvent {
    /// Whether requests may rely on the configuration.
    Usable(bool),
    /// The daemon is stopping and takes no new callers.
    Drain,
}

/// State from which readiness follows; not ready at first.
#[derive(Debug, Default, Clone, Copy)]
pub struct ReadyState {
    usable: bool,
    draining: bool,
}

impl ReadyState {
    /// Applies one event to the state.
    pub fn handle(&mut self, event: ReadyEvent) {
        match event {
            ReadyEvent::Usable(usable) => self.usable = usable,
            ReadyEvent::Drain => self.draining = true,
        }
    }

    /// Returns whether callers may send requests to this daemon.
    pub fn is_ready(self) -> bool {
        self.usable && !self.draining
    }
}
