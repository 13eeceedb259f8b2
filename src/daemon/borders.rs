//! Where a daemon meets callers, backend servers and its platform.

use std::sync::Arc;

use crate::feed::{ConfigurationItem, Feed, Publisher};
use crate::guard::announce::{AnnouncementDialect, FleetAnnouncements};
use crate::journal::client::HttpLog;
use crate::journal::PlatformLog;
use crate::membership::DaemonEntry;
use crate::settings::Settings;
use crate::types::Incarnation;
use crate::wire::dialect::{Dialect, FleetDialect};

/// What may be exchanged where a daemon meets the world.
pub struct Borders {
    /// How callers and backend servers are spoken to.
    pub dialect: Arc<dyn Dialect>,
    /// How backend servers announce themselves.
    pub announcements: Arc<dyn AnnouncementDialect>,
    /// What the platform keeps.
    pub store: Store,
    /// The last life of this daemon that is known, 0 for none; the new one is later, whatever the
    /// clock says.
    pub last_life: Incarnation,
}

/// What the platform keeps for the fleet.
pub enum Store {
    /// A log of changes, which the fleet replays.
    Log(Arc<dyn PlatformLog>),
    /// The newest record of each key, which operators write.
    Newest(NewestStore),
}

/// A store that keeps the newest record of each key.
pub struct NewestStore {
    /// The configuration.
    pub configuration: Box<dyn Feed<ConfigurationItem>>,
    /// The daemons.
    pub members: Box<dyn Feed<DaemonEntry>>,
    /// Where this daemon makes itself known.
    pub notices: Box<dyn Publisher<DaemonEntry>>,
}

impl Borders {
    /// The product's own interfaces.
    pub fn own(settings: &Settings) -> Borders {
        Borders {
            dialect: Arc::new(FleetDialect),
            announcements: Arc::new(FleetAnnouncements),
            store: Store::Log(Arc::new(HttpLog::new(&settings.journal))),
            last_life: 0,
        }
    }
}
