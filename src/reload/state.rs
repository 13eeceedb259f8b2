//! Decides what follows from a read of the settings file.

use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::{ServiceRead, SettingsSource};
use crate::settings::Settings;
use crate::types::ServiceId;

/// Time between two checks of the file, which may change without a signal.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Pause after the first of several incomplete reads; each further one adds as much.
const INCOMPLETE_PAUSE: Duration = Duration::from_millis(20);

/// One read of the settings file.
pub(super) struct FileRead {
    /// Content of the file, or why it could not be read.
    pub(super) content: Result<Vec<u8>, String>,
    /// When the read began.
    pub(super) began_at: Instant,
    /// When the read ended; not before `began_at`.
    pub(super) ended_at: Instant,
    /// Why the file was read, as the log names it.
    pub(super) trigger: Trigger,
}

/// Why the file was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Trigger {
    /// The interval between two checks has passed.
    Check,
    /// Another duty needs the present service.
    Confirm,
    /// An announcement contradicts the settings in force.
    Contradicted,
    /// A signal came.
    Signal,
}

impl Trigger {
    /// Returns the name in logs.
    pub(super) fn name(self) -> &'static str {
        match self {
            Trigger::Check => "check",
            Trigger::Confirm => "confirm",
            Trigger::Contradicted => "contradicted",
            Trigger::Signal => "signal",
        }
    }
}

/// Effect of a read.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum ReloadAction {
    /// Applies settings that differ from those in force.
    Apply(Box<Settings>),
    /// Logs that the file says what is in force.
    LogUnchanged,
    /// Logs why the file or fields of it are refused. What was in force stays.
    LogRefused(String),
    /// Reports the service that the file names.
    ReportService(ServiceRead),
}

/// What is known of the settings file.
pub(super) struct ReloadState {
    /// Settings that were applied last.
    settings: Settings,
    /// Result of the last read; `None` before the first one, as the file may have changed since the
    /// daemon started.
    last: Option<Result<Vec<u8>, String>>,
    /// Service that the last content names; `None` if it was refused or could not be read.
    service: Option<ServiceId>,
    /// Number of reads in a row whose content was refused or could not be read.
    incomplete_count: u32,
    /// Why the last content or fields of it were refused.
    problem: Option<String>,
}

impl ReloadState {
    /// Returns the state of a daemon that was started with these settings.
    pub(super) fn new(settings: Settings) -> ReloadState {
        ReloadState {
            settings,
            last: None,
            service: None,
            incomplete_count: 0,
            problem: None,
        }
    }

    /// Returns how long to wait for the next read if nothing asks for it. An incomplete file may be
    /// being written, so it is read again soon, and then after growing pauses.
    pub(super) fn next_check(&self) -> Duration {
        match self.incomplete_count {
            0 => CHECK_INTERVAL,
            count => (INCOMPLETE_PAUSE * count).min(CHECK_INTERVAL),
        }
    }

    /// Returns whether the last read found the file incomplete or could not read it.
    pub(super) fn is_incomplete(&self) -> bool {
        self.incomplete_count > 0
    }

    /// Handles a read and returns the actions that follow from it, in order.
    pub(super) fn handle(
        &mut self,
        read: FileRead,
        source: &dyn SettingsSource,
    ) -> SmallVec<[ReloadAction; 3]> {
        let changed = self.last.as_ref() != Some(&read.content);
        let settings = match changed {
            true => self.take_content(&read.content, source),
            false => None,
        };
        let mut actions = SmallVec::new();
        // First, as applying settings may wait for other duties.
        actions.push(ReloadAction::ReportService(ServiceRead {
            service: self.service.clone(),
            began_at: read.began_at,
            ended_at: read.ended_at,
        }));
        let applied = settings.is_some();
        actions.extend(settings.map(ReloadAction::Apply));
        let logged = changed || read.trigger == Trigger::Signal;
        match &self.problem {
            Some(problem) if logged => actions.push(ReloadAction::LogRefused(problem.clone())),
            None if logged && !applied => actions.push(ReloadAction::LogUnchanged),
            _ => {}
        }
        self.last = Some(read.content);
        self.incomplete_count = match self.service {
            Some(_) => 0,
            None => self.incomplete_count.saturating_add(1),
        };
        actions
    }

    /// Takes over a content, and returns its settings if they differ from those in force.
    fn take_content(
        &mut self,
        content: &Result<Vec<u8>, String>,
        source: &dyn SettingsSource,
    ) -> Option<Box<Settings>> {
        let content = content.as_ref().map_err(String::clone);
        let parsed = content.and_then(|content| source.parse(content, &self.settings));
        let merged = match parsed {
            Ok(merged) => merged,
            Err(problem) => {
                self.service = None;
                self.problem = Some(problem);
                return None;
            }
        };
        self.service = Some(merged.settings.daemon.service.clone());
        let refused: Vec<String> = merged.refused.iter().map(ToString::to_string).collect();
        self.problem = Some(refused.join("; ")).filter(|problem| !problem.is_empty());
        if merged.settings == self.settings {
            return None;
        }
        self.settings = merged.settings.clone();
        Some(Box::new(merged.settings))
    }
}
