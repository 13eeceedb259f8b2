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
use crate::ring::ring;
use crate::routing::RoutingMessage;
use crate::settings::Settings;
use crate::wire::dialect::FleetDialect;
use crate::wire::proof::FleetKey;

/// Far longer than any step takes; only a failing test waits so long.
const GIVE_UP: Duration = Duration::from_secs(5);

/// Waits for the message with the service in whose name requests are sent.
fn receives_origin(messages: &Receiver<RoutingMessage>) -> bool {
    let mut received = std::iter::from_fn(|| messages.recv_timeout(GIVE_UP).ok());
    received.any(|message| matches!(message, RoutingMessage::Origin(_)))
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
        metrics,
        dialect: Arc::new(FleetDialect),
        incarnation: 1,
    };
    let (rings, receivers) = make_rings(&shared);
    while rings.guard.offer(GuardMessage::EntriesLeft).is_ok() {}
    let mut updater = SettingsUpdater::new(&rings, &settings);
    let mut changed = settings;
    changed.daemon.service = "labels".into();
    changed.guard.server_service = "labels".into();

    // Act: the update itself waits for the guard.
    std::thread::spawn(move || updater.apply(changed));

    // Assert
    assert!(receives_origin(&receivers.routing));
}
