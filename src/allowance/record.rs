//! Records of the escrow stream.

use serde::{Deserialize, Serialize};

use crate::link::PeerName;
use crate::types::Offset;

/// Number of a partition, from 0.
pub type PartitionId = u16;

/// One record of the escrow stream. Each names what it is based on, so that a record that is
/// appended twice or late changes nothing.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum EscrowRecord {
    /// Takes those of the partitions that nobody has held yet.
    Claim {
        /// Who takes them.
        holder: PeerName,
        /// Its grantor, where this makes it a holder.
        #[serde(rename = "custodian")]
        grantor: Option<PeerName>,
        /// The partitions.
        #[serde(rename = "seats")]
        partitions: Vec<PartitionId>,
    },
    /// A holder names its grantor anew.
    Name {
        /// The holder.
        holder: PeerName,
        /// Offset of the record that made the grantor_since which this one ends.
        #[serde(rename = "custody")]
        grantor_since: Offset,
        /// Its grantor from this record on.
        #[serde(rename = "custodian")]
        grantor: Option<PeerName>,
    },
    /// Moves all partitions of a holder to another daemon.
    Reclaim {
        /// The holder that is thought dead.
        holder: PeerName,
        /// Offset of the record that made the grantor_since which this one ends.
        #[serde(rename = "custody")]
        grantor_since: Offset,
        /// Who takes the partitions: the grantor; anyone where the holder names none; a later life of
        /// the holder where the grantor's life has ended.
        by: PeerName,
    },
    /// A holder gives partitions to another daemon.
    HandOver {
        /// The holder.
        holder: PeerName,
        /// Offset up to which the holder had read; partitions that it got later stay.
        next: Offset,
        /// Who takes them.
        to: PeerName,
        /// The partitions.
        #[serde(rename = "seats")]
        partitions: Vec<PartitionId>,
    },
    /// A later life of a grantor tells that its earlier life has ended. With it a later life of
    /// a holder may reclaim what its own earlier life held.
    Renounce {
        /// The earlier life.
        #[serde(rename = "custodian")]
        grantor: PeerName,
        /// The later life.
        by: PeerName,
    },
}

impl EscrowRecord {
    /// Name of the counter of records of this kind that a daemon sends.
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
