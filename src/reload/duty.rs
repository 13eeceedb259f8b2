//! The thread that reads the settings file.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};
use smallvec::SmallVec;

use super::state::{FileRead, ReloadAction, ReloadState, Trigger};
use super::{ReloadMessage, SettingsSource, SettingsTarget};
use crate::clock::Clock;
use crate::settings::Settings;

/// Interfaces that the thread needs.
pub struct ReloadContext {
    /// Clock by which reads are timed.
    pub clock: Arc<dyn Clock>,
    /// The settings file.
    pub source: Box<dyn SettingsSource>,
    /// The daemon to which changed settings are applied.
    pub target: Box<dyn SettingsTarget>,
}

/// Reads the file on each message and at each check, until it receives `Stop` or its ring is closed.
/// `settings` are those that the daemon was started with.
pub fn run(mut context: ReloadContext, settings: Settings, messages: &Receiver<ReloadMessage>) {
    let mut state = ReloadState::new(settings);
    loop {
        let wait = Wait {
            limit: state.next_check(),
            whole: state.is_incomplete(),
        };
        let Some(wanted) = wait.for_messages(messages) else {
            return;
        };
        let began_at = context.clock.now();
        let read = FileRead {
            content: context.source.read(),
            began_at,
            ended_at: context.clock.now(),
            trigger: wanted.trigger,
        };
        for action in state.handle(read, &*context.source) {
            carry_out(&mut *context.target, wanted.trigger, action);
        }
        for done in wanted.waiting {
            // The announcement has given up waiting.
            let _ = done.send(());
        }
    }
}

/// What the messages of one turn ask for.
struct Wanted {
    /// The most urgent reason for the read.
    trigger: Trigger,
    /// Receive a message once the file was read.
    waiting: SmallVec<[Sender<()>; 2]>,
}

/// A wait for the next reason to read the file.
struct Wait {
    /// Longest wait.
    limit: Duration,
    /// Whether only a signal shortens the wait, so that an incomplete file is not read at the rate of
    /// the messages.
    whole: bool,
}

impl Wait {
    /// Waits, and takes all messages that have arrived, since one read serves them all. Returns
    /// `None` when the thread is to end.
    fn for_messages(&self, messages: &Receiver<ReloadMessage>) -> Option<Wanted> {
        let mut wanted = Wanted {
            trigger: Trigger::Check,
            waiting: SmallVec::new(),
        };
        let until = Instant::now() + self.limit;
        loop {
            match messages.recv_deadline(until) {
                Ok(message) => wanted.add(message)?,
                Err(RecvTimeoutError::Timeout) => break,
                Err(RecvTimeoutError::Disconnected) => return None,
            }
            if !self.whole || wanted.trigger == Trigger::Signal {
                break;
            }
        }
        for message in messages.try_iter() {
            wanted.add(message)?;
        }
        Some(wanted)
    }
}

impl Wanted {
    /// Adds what a message asks for. Returns `None` when the thread is to end.
    fn add(&mut self, message: ReloadMessage) -> Option<()> {
        let trigger = match message {
            ReloadMessage::Signal => Trigger::Signal,
            ReloadMessage::Confirm => Trigger::Confirm,
            ReloadMessage::Contradicted { done } => {
                self.waiting.push(done);
                Trigger::Contradicted
            }
            ReloadMessage::Stop => return None,
        };
        self.trigger = self.trigger.max(trigger);
        Some(())
    }
}

/// Carries out an action.
fn carry_out(target: &mut dyn SettingsTarget, trigger: Trigger, action: ReloadAction) {
    let trigger = trigger.name();
    match action {
        ReloadAction::Apply(settings) => {
            let waiting = target.apply(*settings).join(",");
            log::info!(waiting, trigger; "settings_in_force");
        }
        ReloadAction::LogUnchanged => log::info!(trigger; "settings_unchanged"),
        ReloadAction::LogRefused(problem) => log::warn!(problem, trigger; "settings_refused"),
        ReloadAction::ReportService(read) => target.report_service(read),
    }
}
