//! The thread that reads the settings file.

use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::{after, Receiver, RecvTimeoutError, Sender};
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
        if state.is_incomplete() {
            // Messages do not shorten this pause; an early end of it would do no harm.
            let _ = after(state.next_check()).recv();
        }
        let limit = match state.is_incomplete() {
            true => Duration::ZERO,
            false => state.next_check(),
        };
        let Some(wanted) = wait(messages, limit) else {
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

/// Waits for the next reason to read the file, at most for `limit`, and takes all messages that have
/// arrived, since one read serves them all. Returns `None` when the thread is to end.
fn wait(messages: &Receiver<ReloadMessage>, limit: Duration) -> Option<Wanted> {
    let mut wanted = Wanted {
        trigger: Trigger::Check,
        waiting: SmallVec::new(),
    };
    let first = match messages.recv_timeout(limit) {
        Ok(message) => Some(message),
        Err(RecvTimeoutError::Timeout) => None,
        Err(RecvTimeoutError::Disconnected) => return None,
    };
    for message in first.into_iter().chain(messages.try_iter()) {
        let trigger = match message {
            ReloadMessage::Signal => Trigger::Signal,
            ReloadMessage::Confirm => Trigger::Confirm,
            ReloadMessage::Contradicted { done } => {
                wanted.waiting.push(done);
                Trigger::Contradicted
            }
            ReloadMessage::Stop => return None,
        };
        wanted.trigger = wanted.trigger.max(trigger);
    }
    Some(wanted)
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
