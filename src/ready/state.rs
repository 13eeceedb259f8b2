//! Whether callers may come.

/// What happens to readiness.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadyEvent {
    /// Whether a configuration is in force.
    Usable(bool),
    /// The daemon takes no new callers.
    Drain,
}

/// Whether callers may come.
#[derive(Debug, Default, Clone, Copy)]
pub struct ReadyState {
    usable: bool,
    draining: bool,
}

impl ReadyState {
    /// Takes one event.
    pub fn handle(&mut self, event: ReadyEvent) {
        match event {
            ReadyEvent::Usable(usable) => self.usable = usable,
            ReadyEvent::Drain => self.draining = true,
        }
    }

    /// Whether callers may come.
    pub fn is_ready(self) -> bool {
        self.usable && !self.draining
    }
}
