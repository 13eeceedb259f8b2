//! A journal under virtual time, and the records and queries that its tests use.

use super::*;
use crate::contract::View;
use crate::membership::{DaemonEntry, Fleet};
use crate::types::{KeyHash, Offset, OperationId};
use std::sync::Arc;

pub(super) struct Journal {
    pub(super) state: JournalState,
    pub(super) now: Instant,
}

impl Journal {
    pub(super) fn new(name: &str) -> Journal {
        let state = JournalState::new(JournalSettings::default(), name.into(), 1);
        Journal {
            state,
            now: Instant::now(),
        }
    }

    pub(super) fn with_settings(settings: JournalSettings) -> Journal {
        let state = JournalState::new(settings, "a".into(), 1);
        Journal {
            state,
            now: Instant::now(),
        }
    }

    pub(super) fn handle(&mut self, event: JournalEvent) -> Vec<JournalAction> {
        self.state.handle(self.now, event)
    }

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

    pub(super) fn read_failed(&mut self, error: LogError) -> Vec<JournalAction> {
        self.read_ended(0, Err(error))
    }

    pub(super) fn log_down(&mut self) -> Vec<JournalAction> {
        self.read_failed(LogError::Unavailable("down".to_owned()))
    }

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

    pub(super) fn published(&self, actions: &[JournalAction]) -> Arc<View> {
        let view = actions.iter().rev().find_map(|action| match action {
            JournalAction::Publish(view) => Some(view.clone()),
            _ => None,
        });
        view.expect("a view is published")
    }

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

pub(super) fn record(operation: OperationId, base: Option<Offset>, change: Change) -> Record {
    Record {
        operation,
        base,
        author: format!("operator-{operation}"),
        at_ms: 0,
        change,
    }
}

pub(super) fn publish(operation: OperationId, base: Option<Offset>, organisation: &str) -> Record {
    let contract = OrganisationContract {
        organisation: organisation.into(),
        ..Default::default()
    };
    record(operation, base, Change::PublishOrganisation { contract })
}

pub(super) fn grant(operation: OperationId, key_hash: KeyHash) -> Record {
    let change = Change::GrantKey {
        organisation: "o".into(),
        key_hash,
    };
    record(operation, None, change)
}

pub(super) fn withdraw(operation: OperationId, key_hash: KeyHash) -> Record {
    record(operation, None, Change::WithdrawKey { key_hash })
}

pub(super) fn records(first: Offset, records: &[Record]) -> Vec<LogRecord> {
    let texts = records.iter().enumerate().map(|(index, record)| LogRecord {
        offset: first + index as Offset,
        body: serde_json::to_string(record).unwrap(),
    });
    texts.collect()
}

pub(super) fn counts(actions: &[JournalAction]) -> Vec<&'static str> {
    let names = actions.iter().filter_map(|action| match action {
        JournalAction::Count(name) => Some(*name),
        _ => None,
    });
    names.collect()
}

pub(super) fn command(actions: &[JournalAction]) -> Option<ReaderCommand> {
    actions.iter().find_map(|action| match action {
        JournalAction::CommandReader(command) => Some(*command),
        _ => None,
    })
}

pub(super) fn outcomes(actions: &[JournalAction]) -> Vec<(OperationId, SubmitOutcome)> {
    let outcomes = actions.iter().filter_map(|action| match action {
        JournalAction::ChangeResolved { operation, outcome } => Some((*operation, outcome.clone())),
        _ => None,
    });
    outcomes.collect()
}

pub(super) fn appends(actions: &[JournalAction]) -> Vec<OperationId> {
    let operations = actions.iter().filter_map(|action| match action {
        JournalAction::AppendChange { operation, .. } => Some(*operation),
        _ => None,
    });
    operations.collect()
}
