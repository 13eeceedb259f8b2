//! Records of the escrow stream as they are stored in the platform's log.

use serde::{Deserialize, Serialize};

use crate::link::PeerName;
use crate::types::Offset;

/// Number of a partition, from 0.
pub type PartitionId = u16;

/// One record of the escrow stream. Each record names the state it is based on, so that a record
/// that is appended twice or late has no effect.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum EscrowRecord {
    /// Claims those of the partitions that have no holder.
    Claim {
        /// Daemon that claims the partitions.
        holder: PeerName,
        /// Grantor of the daemon if the claim makes it a holder.
        #[serde(rename = "custodian")]
        grantor: Option<PeerName>,
        /// Partitions that are claimed.
        #[serde(rename = "seats")]
        partitions: Vec<PartitionId>,
    },
    /// Names another grantor for a holder.
    Name {
        /// Holder whose grantor changes.
        holder: PeerName,
        /// Offset of the record that named the grantor to be replaced.
        #[serde(rename = "custody")]
        grantor_since: Offset,
        /// Grantor from this record on; if none, any daemon may reclaim.
        #[serde(rename = "custodian")]
        grantor: Option<PeerName>,
    },
    /// Moves all partitions of a holder to another daemon.
    Reclaim {
        /// Holder that is presumed dead.
        holder: PeerName,
        /// Offset of the record that named the holder's present grantor.
        #[serde(rename = "custody")]
        grantor_since: Offset,
        /// Daemon that takes the partitions: the grantor; any daemon if the holder has no grantor;
        /// a later incarnation of the holder if the grantor's incarnation has ended.
        by: PeerName,
    },
    /// Moves partitions from their holder to another daemon.
    HandOver {
        /// Holder that gives the partitions away.
        holder: PeerName,
        /// Offset up to which the holder had read; partitions assigned to it later are not moved.
        next: Offset,
        /// Daemon that takes the partitions.
        to: PeerName,
        /// Partitions that are moved.
        #[serde(rename = "seats")]
        partitions: Vec<PartitionId>,
    },
    /// States, by a later incarnation of a grantor, that the earlier one has ended. A later
    /// incarnation of a holder may then reclaim the partitions of its own earlier one.
    Renounce {
        /// Incarnation that has ended.
        #[serde(rename = "custodian")]
        grantor: PeerName,
        /// Later incarnation of the same daemon, which appends the record.
        by: PeerName,
    },
}

impl EscrowRecord {
    /// Returns the name of the counter of sent records of this kind.
    pub fn counter(&self) -> &'static str {
        match self {
            EscrowRecord::Claim { .. } => "allowance.claim.sent",
            EscrowRecord::Name { .. } => "allowance.custodian.named",
            EscrowRecord::Reclaim { .. } => "allowance.reclaim.sent",
            EscrowRecord::HandOver { .. } => "allowance.hand_over.sent",
            EscrowRecord::Renounce { .. } => "allowance.custody.renounced",
        }
    }
}
