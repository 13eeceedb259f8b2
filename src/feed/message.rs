//! Events and actions of the configuration duty.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{FeedError, Page};
use crate::contract::{Document, View};
use crate::link::{PeerReply, RecordsRequest};
use crate::membership::Fleet;
use crate::types::{DaemonId, DomainId, Offset};

/// What a feed of the configuration holds.
#[derive(Debug, Clone, PartialEq)]
pub enum ConfigurationItem {
    /// The whole configuration.
    Document(Arc<Document>),
    /// A failure domain is taken out of service.
    DomainOut(DomainId),
    /// A failure domain comes back into service.
    DomainIn(DomainId),
    /// A record that can't be read.
    Unreadable {
        /// Its key.
        key: String,
        /// What is wrong with it.
        problem: String,
    },
}

/// All that is in force, as peers hand it on.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// The configuration; none before the first one.
    pub document: Option<Arc<Document>>,
    /// Failure domains that are out of service.
    pub domains_out: BTreeSet<DomainId>,
    /// Offset up to which the feed was read.
    pub next: Offset,
}

/// How a read of a feed ended.
#[derive(Debug, Clone, PartialEq)]
pub enum FeedRead<T> {
    /// The newest item of every key.
    Newest(Page<T>),
    /// What came since the last read.
    Followed(Page<T>),
    /// The read failed.
    Failed(FeedError),
}

/// What happens to the configuration.
#[derive(Debug, Clone)]
pub enum FeedEvent {
    /// A read of the feed ended.
    Read(FeedRead<ConfigurationItem>),
    /// A peer was seen to have read up to this offset.
    PeerAhead {
        /// The peer.
        peer: DaemonId,
        /// The offset.
        next: Offset,
    },
    /// A peer handed on what is in force there; none if it did not answer or knows no more.
    PeerAnswered(Option<Snapshot>),
    /// The fleet changed.
    Fleet(Arc<Fleet>),
    /// The time asked for has come.
    Tick,
}

/// An event, with what the state need not see.
pub enum FeedMessage {
    /// An event.
    Event(FeedEvent),
    /// A peer asks for what is in force.
    Asked {
        /// What it has.
        request: RecordsRequest,
        /// Takes the answer.
        reply: PeerReply,
    },
    /// The duty ends.
    Stop,
}

/// What the configuration duty does.
#[derive(Debug, Clone)]
pub enum FeedAction {
    /// A new view is in force.
    View(Arc<View>),
    /// Asks a peer for what is in force there.
    Ask {
        /// The peer.
        peer: DaemonId,
        /// Up to where this daemon has read.
        from: Offset,
    },
    /// The platform answers again, or no longer.
    Reachable(bool),
    /// A record of the feed can't be read.
    Unreadable {
        /// Its key.
        key: String,
        /// What is wrong with it.
        problem: String,
    },
}
