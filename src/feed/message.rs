//! Events, actions and messages of the configuration duty.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::era::FeedPosition;
use super::kept::Kept;
use super::role::ReadRole;
use super::{FeedError, Page};
use crate::contract::{Document, View};
use crate::link::{PeerReply, RecordsRequest};
use crate::membership::Fleet;
use crate::rollout::RolloutOrder;
use crate::types::{DaemonId, DocumentVersion, DomainId, Offset, ServiceId, StoreEra};

/// Peers that a daemon notifies of a change which others may have missed.
pub const NOTIFIED_COUNT: usize = 8;

/// One item of the feed of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub enum ConfigurationItem {
    /// The whole configuration, except for failure domains.
    Document(Arc<Document>),
    /// A failure domain is taken out of service.
    DomainOut(DomainId),
    /// A failure domain returns to service.
    DomainIn(DomainId),
    /// A version of a service's software is to be rolled out.
    RolloutOrdered(Arc<RolloutOrder>),
    /// The order for this service is withdrawn.
    RolloutWithdrawn(ServiceId),
    /// A record that can't be parsed.
    Unreadable {
        /// Key of the record.
        key: String,
        /// Why it can't be parsed.
        problem: String,
    },
}

/// The whole configuration in force, as peers pass it on.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// The configuration; none before the first one was read.
    pub document: Option<Arc<Document>>,
    /// Failure domains that are out of service.
    pub domains_out: BTreeSet<DomainId>,
    /// Orders to roll out a version of a service's software.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub rollouts: BTreeMap<ServiceId, Arc<RolloutOrder>>,
    /// Offset up to which the feed was read.
    pub next: Offset,
    /// Era of the store that `next` and the fields above belong to; 0 if it tells none.
    #[serde(default, skip_serializing_if = "is_untold")]
    pub era: StoreEra,
    /// What was in force before this era and may be lost; none once operators have written again.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kept: Option<Arc<Kept>>,
}

impl Snapshot {
    /// Returns the position that the feed was read up to.
    pub fn position(&self) -> FeedPosition {
        FeedPosition {
            era: self.era,
            next: self.next,
        }
    }
}

/// Returns whether the store tells no era, so that snapshots are written as before there were any.
fn is_untold(era: &StoreEra) -> bool {
    *era == 0
}

/// How a read of a feed ended.
#[derive(Debug, Clone, PartialEq)]
pub enum FeedRead<T> {
    /// The newest item of every key.
    Newest(Page<T>),
    /// The items since the last read.
    Followed(Page<T>),
    /// The read failed with this error.
    Failed(FeedError),
}

/// What a daemon found when it first read in a new era of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EraReport {
    /// The new era.
    pub era: StoreEra,
    /// Position up to which the daemon had read before.
    pub before: FeedPosition,
    /// Offset at which the feed ends now.
    pub next: Offset,
    /// Version of the configuration in force.
    pub in_force: DocumentVersion,
    /// Version that the store shows; less than the other if the store has lost it.
    pub stored: DocumentVersion,
    /// Failure domains and orders of roll-outs in force that the store does not show.
    pub kept_count: usize,
}

/// Inputs to the decisions of the configuration duty.
#[derive(Debug, Clone)]
pub enum FeedEvent {
    /// A read of the feed ended.
    Read(FeedRead<ConfigurationItem>),
    /// A peer was found to have read up to an offset.
    PeerAhead {
        /// The peer that may have read further.
        peer: DaemonId,
        /// Position up to which the peer has read.
        next: FeedPosition,
    },
    /// A peer notifies this daemon that it has read up to a position.
    PeerNotified {
        /// The peer that has read further.
        peer: DaemonId,
        /// Position up to which the peer has read.
        next: FeedPosition,
    },
    /// A peer answered with its configuration; none if the call failed or the peer knows nothing
    /// newer.
    PeerAnswered(Option<Snapshot>),
    /// An answer of the store tells that it has returned from a copy.
    EraBegan(StoreEra),
    /// The fleet has changed.
    Fleet(Arc<Fleet>),
    /// The time that `FeedState::next_tick_at` returned has come.
    Tick,
}

/// Messages to the configuration thread: events, and what only the thread itself handles.
pub enum FeedMessage {
    /// An event, handled by the state.
    Event(FeedEvent),
    /// A peer asks for the configuration in force.
    Asked {
        /// The peer that asks.
        from: DaemonId,
        /// The stream, and the offset up to which the peer has read.
        request: RecordsRequest,
        /// Sends the answer to the peer.
        reply: PeerReply,
    },
    /// Ends the configuration thread.
    Stop,
}

/// Outputs of the decisions of the configuration duty.
#[derive(Debug, Clone)]
pub enum FeedAction {
    /// Puts a new view in force at the readers.
    View(Arc<View>),
    /// Asks a peer for its configuration.
    Ask {
        /// The peer to be asked.
        peer: DaemonId,
        /// Position up to which this daemon has read.
        from: FeedPosition,
    },
    /// Notifies peers up to which offset this daemon has read, so that those behind ask for the rest.
    Notify {
        /// The peers to be notified.
        peers: SmallVec<[DaemonId; NOTIFIED_COUNT]>,
        /// Position up to which this daemon has read.
        next: FeedPosition,
    },
    /// Reports that this daemon reads in a new era of the store.
    EraEntered(EraReport),
    /// Reports that nothing from earlier eras is kept any more.
    KeptDropped,
    /// Sets the part of this daemon in the reads of the fleet.
    Role(ReadRole),
    /// Reports that the platform answers again, or no longer does.
    Reachable(bool),
    /// Reports a record of the feed that can't be parsed.
    Unreadable {
        /// Key of the record.
        key: String,
        /// Why it can't be parsed.
        problem: String,
    },
}
