//! Messages to the thread that reads the settings file, and what it reports.

use std::time::Instant;

use crossbeam::channel::Sender;

use crate::types::ServiceId;

/// Message to the thread that reads the settings file.
pub enum ReloadMessage {
    /// A signal asks for the settings to be read again.
    Signal,
    /// Routing needs the service that the file names, by a read that begins after this.
    Confirm,
    /// A server of another service than that of the settings announced itself on this VM.
    Contradicted {
        /// Receives a message once the file was read.
        done: Sender<()>,
    },
    /// Ends the thread.
    Stop,
}

/// The service that a read of the settings file named for this VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceRead {
    /// Service that the file names, empty if it names none; `None` if the file was refused or could
    /// not be read.
    pub service: Option<ServiceId>,
    /// When the read began. The file named the service at some time from then to `ended_at`.
    pub began_at: Instant,
    /// When the read ended; not before `began_at`.
    pub ended_at: Instant,
}
