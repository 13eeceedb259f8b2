//! Applies changed settings to a running daemon.

use super::rings::RingSenders;
use crate::guard::{GuardEvent, GuardMessage};
use crate::reload::{ServiceRead, SettingsTarget};
use crate::routing::{RoutingEvent, RoutingMessage};
use crate::settings::daemon::DaemonSettings;
use crate::settings::Settings;

/// Applies changed settings to a running daemon and remembers which settings it has.
pub(super) struct SettingsUpdater {
    /// Rings of the duties that receive changed settings.
    rings: RingSenders,
    /// Settings that were applied last.
    settings: Settings,
}

impl SettingsUpdater {
    /// Creates an updater for a daemon that runs with these settings.
    pub(super) fn new(rings: &RingSenders, settings: &Settings) -> SettingsUpdater {
        SettingsUpdater {
            rings: rings.clone(),
            settings: settings.clone(),
        }
    }
}

impl SettingsTarget for SettingsUpdater {
    /// Applies the settings of guard, routing and log. Returns the names of the other sections that
    /// differ; they take effect at the next start of the daemon.
    fn apply(&mut self, settings: Settings) -> Vec<&'static str> {
        if settings.guard != self.settings.guard {
            let event = GuardEvent::Settings(Box::new(settings.guard.clone()));
            self.rings.guard.deliver(GuardMessage::Event(event));
        }
        if settings.routing != self.settings.routing {
            let event = RoutingEvent::Settings(Box::new(settings.routing.clone()));
            self.rings.routing.deliver(RoutingMessage::Event(event));
        }
        if let Some(level) = settings.log.level() {
            log::set_max_level(level);
        }
        let waiting = sections_for_restart(&self.settings, &settings);
        self.settings = settings;
        waiting
    }

    /// Reports the service of this VM to routing, which names requests after it.
    fn report_service(&mut self, read: ServiceRead) {
        self.rings.routing.deliver(RoutingMessage::Service(read));
    }
}

/// Returns the names of the sections that differ and are only read at the start.
fn sections_for_restart(old: &Settings, new: &Settings) -> Vec<&'static str> {
    let daemon = DaemonSettings {
        service: new.daemon.service.clone(),
        ..old.daemon.clone()
    };
    let sections = [
        ("daemon", daemon != new.daemon),
        ("front", old.front != new.front),
        ("journal", old.journal != new.journal),
        ("allowance", old.allowance != new.allowance),
        ("quota", old.quota != new.quota),
        ("feed", old.feed != new.feed),
        ("ready", old.ready != new.ready),
        ("membership", old.membership != new.membership),
        ("idempotency", old.idempotency != new.idempotency),
        ("link", old.link != new.link),
        ("health", old.health != new.health),
        ("operator", old.operator != new.operator),
        ("audit", old.audit != new.audit),
        ("metrics", old.metrics != new.metrics),
    ];
    let differs = |(name, differs): (&'static str, bool)| differs.then_some(name);
    sections.into_iter().filter_map(differs).collect()
}

#[cfg(test)]
mod tests;
