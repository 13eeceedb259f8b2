//! A journal under virtual time, and the records and queries that its tests use.

use super::*;
use crate::contract::View;
use crate::membership::{DaemonEntry, Fleet};
use crate::types::{KeyHash, Offset, OperationId};
use std::sync::Arc;

/// The state of a journal with its virtual time.
pub(super) struct Journal {
    /// The real state of the journal.
    pub(super) state: JournalState,
    /// Current virtual time, which `wait_ms` advances.
    pub(super) now: Instant,
}

impl Journal {
    /// Returns the journal of a daemon of this name, with the default settings.
    pub(super) fn new(name: &str) -> Journal {
        let state = JournalState::new(JournalSettings::default(), name.into(), 1);
        Journal {
            state,
            now: Instant::now(),
        }
    }

    /// Returns the journal of daemon `a` with these settings.
    pub(super) fn with_settings(settings: JournalSettings) -> Journal {
        let state = JournalState::new(settings, "a".into(), 1);
        Journal {
            state,
            now: Instant::now(),
        }
    }

    /// Handles an event at the current virtual time.
    pub(super) fn handle(&mut self, event: JournalEvent) -> Vec<JournalAction> {
        self.state.handle(self.now, event)
    }

    /// Advances the virtual time and handles a timer event.
    pub(super) fn wait_ms(&mut self, ms: u64) -> Vec<JournalAction> {
        self.now += Duration::from_millis(ms);
        self.handle(JournalEvent::Timer)
    }

    /// Completes a read of the configuration that is sent and answered at the current time.
    pub(super) fn read(
        &mut self,
        from: Offset,
        records: Vec<LogRecord>,
        next: Offset,
    ) -> Vec<JournalAction> {
        self.read_ended(from, Ok(Batch { records, next }))
    }

    /// Fails a read of the configuration with this error.
    pub(super) fn read_failed(&mut self, error: LogError) -> Vec<JournalAction> {
        self.read_ended(0, Err(error))
    }

    /// Fails a read of the configuration because the log does not answer.
    pub(super) fn log_down(&mut self) -> Vec<JournalAction> {
        self.read_failed(LogError::Unavailable("down".to_owned()))
    }

    /// Passes the journal a fleet of daemons with these names.
    pub(super) fn fleet(&mut self, names: &[&str]) {
        let mut fleet = Fleet::default();
        for name in names {
            let entry = DaemonEntry {
                daemon: (*name).into(),
                incarnation: 1,
                version: 1,
                domain: "north".into(),
                guard_address: "127.0.0.1:1".parse().unwrap(),
                link_address: "127.0.0.1:2".parse().unwrap(),
                leaving: false,
                servers: Vec::new(),
            };
            fleet.daemons.insert((*name).into(), Arc::new(entry));
        }
        self.handle(JournalEvent::Fleet(Arc::new(fleet)));
    }

    /// Returns the view that the actions publish last.
    pub(super) fn published(&self, actions: &[JournalAction]) -> Arc<View> {
        let view = actions.iter().rev().find_map(|action| match action {
            JournalAction::Publish(view) => Some(view.clone()),
            _ => None,
        });
        view.expect("a view is published")
    }

    /// Ends a read of the configuration that is sent and answered at the current time.
    fn read_ended(&mut self, from: Offset, result: Result<Batch, LogError>) -> Vec<JournalAction> {
        let asked_at = self.now;
        self.handle(JournalEvent::ReadEnded {
            stream: CONFIGURATION,
            asked_at,
            from,
            result,
        })
    }
}

/// Returns a record of a change by `operator-{operation}`.
pub(super) fn record(operation: OperationId, base: Option<Offset>, change: Change) -> Record {
    Record {
        operation,
        base,
        author: format!("operator-{operation}"),
        at_ms: 0,
        change,
    }
}

/// Returns a record that publishes an organisation's contract.
pub(super) fn publish(operation: OperationId, base: Option<Offset>, organisation: &str) -> Record {
    let contract = OrganisationContract {
        organisation: organisation.into(),
        ..Default::default()
    };
    record(operation, base, Change::PublishOrganisation { contract })
}

/// Returns a record that grants a key to organisation `o`.
pub(super) fn grant(operation: OperationId, key_hash: KeyHash) -> Record {
    let change = Change::GrantKey {
        organisation: "o".into(),
        key_hash,
    };
    record(operation, None, change)
}

/// Returns a record that withdraws a key.
pub(super) fn withdraw(operation: OperationId, key_hash: KeyHash) -> Record {
    record(operation, None, Change::WithdrawKey { key_hash })
}

/// Returns the records as the log stores them, with offsets from `first` on.
pub(super) fn records(first: Offset, records: &[Record]) -> Vec<LogRecord> {
    let texts = records.iter().enumerate().map(|(index, record)| LogRecord {
        offset: first + index as Offset,
        body: serde_json::to_string(record).unwrap(),
    });
    texts.collect()
}

/// Returns the names of the counters that the actions increment.
pub(super) fn counts(actions: &[JournalAction]) -> Vec<&'static str> {
    let names = actions.iter().filter_map(|action| match action {
        JournalAction::Count(name) => Some(*name),
        _ => None,
    });
    names.collect()
}

/// Returns the first command to the reader among the actions.
pub(super) fn command(actions: &[JournalAction]) -> Option<ReaderCommand> {
    actions.iter().find_map(|action| match action {
        JournalAction::CommandReader(command) => Some(*command),
        _ => None,
    })
}

/// Returns the outcomes of changes among the actions.
pub(super) fn outcomes(actions: &[JournalAction]) -> Vec<(OperationId, SubmitOutcome)> {
    let outcomes = actions.iter().filter_map(|action| match action {
        JournalAction::ChangeResolved { operation, outcome } => Some((*operation, outcome.clone())),
        _ => None,
    });
    outcomes.collect()
}

/// Returns the operations whose records are appended.
pub(super) fn appends(actions: &[JournalAction]) -> Vec<OperationId> {
    let operations = actions.iter().filter_map(|action| match action {
        JournalAction::AppendChange { operation, .. } => Some(*operation),
        _ => None,
    });
    operations.collect()
}
