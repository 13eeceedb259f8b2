use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::Receiver;

use super::SettingsUpdater;
use crate::audit::NoAudit;
use crate::clock::SystemClock;
use crate::daemon::rings::make_rings;
use crate::daemon::shared::SharedResources;
use crate::guard::GuardMessage;
use crate::metrics::Metrics;
use crate::reload::duty::{run, ReloadContext};
use crate::reload::{ReloadMessage, SettingsSource};
use crate::ring::ring;
use crate::routing::RoutingMessage;
use crate::settings::merge::Merged;
use crate::settings::Settings;
use crate::wire::client::HttpClient;
use crate::wire::dialect::FleetDialect;
use crate::wire::proof::FleetKey;

/// Far longer than any step takes; only a failing test waits so long.
const GIVE_UP: Duration = Duration::from_secs(5);

/// A settings file that names another service than the daemon was started with.
struct ChangedFile;

impl SettingsSource for ChangedFile {
    fn read(&mut self) -> Result<Vec<u8>, String> {
        Ok(Vec::new())
    }

    fn parse(&self, _: &[u8], present: &Settings) -> Result<Merged, String> {
        let mut settings = present.clone();
        settings.daemon.service = "labels".into();
        settings.guard.server_service = "labels".into();
        Ok(Merged {
            settings,
            refused: Vec::new(),
        })
    }
}

/// Waits for the message with the service in whose name requests are sent.
fn receives_origin(messages: &Receiver<RoutingMessage>) -> bool {
    let mut received = std::iter::from_fn(|| messages.recv_timeout(GIVE_UP).ok());
    received.any(|message| {
        matches!(message, RoutingMessage::Service(read) if read.service == Some("labels".into()))
    })
}

#[test]
fn a_guard_that_takes_no_messages_does_not_delay_the_name_of_requests() {
    // Arrange
    let settings = Settings::default();
    let metrics = Metrics::local();
    let shared = SharedResources {
        settings: settings.clone(),
        key: FleetKey::new(&settings.daemon.fleet_secret),
        clock: Arc::new(SystemClock),
        audit: Arc::new(NoAudit),
        audit_events: ring("audit", 1, &metrics).0,
        caller: Arc::new(HttpClient::start("test-call")),
        metrics,
        dialect: Arc::new(FleetDialect),
        incarnation: 1,
    };
    let (rings, receivers) = make_rings(&shared);
    while rings.guard.offer(GuardMessage::EntriesLeft).is_ok() {}
    let context = ReloadContext {
        clock: Arc::new(SystemClock),
        source: Box::new(ChangedFile),
        target: Box::new(SettingsUpdater::new(&rings, &settings)),
    };
    rings.reload.deliver(ReloadMessage::Signal);

    // Act: the reload itself waits for the guard.
    std::thread::spawn(move || run(context, settings, &receivers.reload));

    // Assert
    assert!(receives_origin(&receivers.routing));
}
