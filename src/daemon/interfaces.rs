//! The replaceable interfaces of a daemon to callers, backend servers and its platform.

use std::sync::Arc;

use crate::feed::{ConfigurationItem, EraWatch, Feed, Publisher};
use crate::guard::announce::{AnnouncementDialect, FleetAnnouncements};
use crate::journal::client::HttpLog;
use crate::journal::PlatformLog;
use crate::membership::{DaemonEntry, DaemonRecord, ServerDeparture};
use crate::reload::SettingsSource;
use crate::rollout::RolloutStore;
use crate::settings::Settings;
use crate::types::Incarnation;
use crate::wire::dialect::{Dialect, FleetDialect};

/// Replaceable implementations through which a daemon talks to callers, backend servers and the
/// platform.
pub struct Interfaces {
    /// HTTP dialect that callers and backend servers use.
    pub dialect: Arc<dyn Dialect>,
    /// Dialect in which backend servers announce themselves.
    pub announcements: Arc<dyn AnnouncementDialect>,
    /// Storage of the platform for the configuration and the members of the fleet.
    pub store: Store,
    /// File of the settings, which may change while the daemon runs; `None` if they stay.
    pub settings: Option<Box<dyn SettingsSource>>,
    /// Last incarnation of this daemon that the platform knows, 0 for none. The new incarnation is
    /// greater, even if the clock is behind.
    pub last_incarnation: Incarnation,
    /// Departures that earlier incarnations of this daemon acknowledged, as the platform knows them.
    pub departures: Vec<ServerDeparture>,
}

/// Kind of storage that the platform offers to the fleet.
pub enum Store {
    /// A log of changes, which every daemon replays.
    Log(Arc<dyn PlatformLog>),
    /// A store of the newest record of each key; operators write the configuration there directly.
    Keyed(KeyedStore),
}

/// Access to a platform's store that keeps the newest record of each key.
pub struct KeyedStore {
    /// Feed of contracts, keys and other items of the configuration.
    pub configuration: Box<dyn Feed<ConfigurationItem>>,
    /// Feed of the descriptions of all daemons.
    pub members: Box<dyn Feed<DaemonEntry>>,
    /// Writes the record of this daemon to the store.
    pub publisher: Box<dyn Publisher<DaemonRecord>>,
    /// Latest era that the store has told to any of the above.
    pub eras: Arc<EraWatch>,
    /// Access to the records in which operators follow roll-outs.
    pub rollouts: Box<dyn RolloutStore>,
}

impl Interfaces {
    /// Returns the built-in interfaces: the fleet's own dialects, and a log reached over HTTP.
    pub fn built_in(settings: &Settings) -> Interfaces {
        Interfaces {
            dialect: Arc::new(FleetDialect),
            announcements: Arc::new(FleetAnnouncements),
            store: Store::Log(Arc::new(HttpLog::new(&settings.journal))),
            settings: None,
            last_incarnation: 0,
            departures: Vec::new(),
        }
    }
}
