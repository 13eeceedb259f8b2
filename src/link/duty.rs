//! The link's thread.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use crossbeam::channel::Receiver;

use super::message::{LinkError, LinkMessage, PeerHandler, PeerName};
use crate::metrics::Metrics;
use crate::settings::link::LinkSettings;
use crate::wire::proof::FleetKey;

/// What the link needs of the world.
pub struct LinkContext {
    /// Its settings.
    pub settings: LinkSettings,
    /// This life of this daemon.
    pub own: PeerName,
    /// Proves that peers belong to the fleet.
    pub key: FleetKey,
    /// Counters.
    pub metrics: Metrics,
    /// Answers peers' requests.
    pub handler: Arc<dyn PeerHandler>,
}

/// Listens for peers.
pub fn bind(address: SocketAddr) -> eyre::Result<TcpListener> {
    TcpListener::bind(address).map_err(|error| eyre::eyre!("can't listen at {address}: {error}"))
}

/// Runs the duty until it is told to stop.
pub fn run(context: &LinkContext, listener: TcpListener, messages: &Receiver<LinkMessage>) {
    let _ = (listener, &context.handler);
    for message in messages {
        match message {
            LinkMessage::Stop => return,
            LinkMessage::Fleet(_) => {}
            LinkMessage::Call { reply, .. } => reply(Err(LinkError::Unreachable)),
        }
    }
}
