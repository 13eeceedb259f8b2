//! Digest tree over a daemon's view of the fleet: equal views have equal digests.
//!
//! A daemon's position is a hash of its id; each level of the tree consumes one nibble of it.

use super::message::Summary;
use crate::types::DaemonId;

/// Number of children of one node of the digest tree.
pub(super) const TREE_FANOUT: usize = 16;
/// Bits of a position that select a child of a node.
const NIBBLE_BITS: u32 = 4;
/// Depth of the deepest nodes; their children are listed whatever their size.
pub(super) const TREE_DEPTH_LIMIT: u8 = 15;

/// Initial value of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Multiplier of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns the position of a daemon in the digest tree, a hash of its id.
pub fn tree_position(daemon: &DaemonId) -> u64 {
    let mut hash = FNV_OFFSET;
    for byte in daemon.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    }
    mix(hash)
}

/// Returns the digest of one summary. The digest of several is their exclusive or.
pub(super) fn digest(tree_position: u64, summary: &Summary) -> u64 {
    let mut hash = tree_position;
    let flags = u64::from(summary.round) << 1 | u64::from(summary.suspect);
    for value in [summary.incarnation, summary.version, flags] {
        hash = mix(hash ^ value);
    }
    hash
}

/// Mixes the bits so that every input bit affects all output bits (the SplitMix64 step).
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Returns whether a position is in the subtree of a node.
pub(super) fn is_under_node(tree_position: u64, depth: u8, prefix: u64) -> bool {
    depth == 0 || tree_position >> (u64::BITS - NIBBLE_BITS * u32::from(depth)) == prefix
}

/// Returns which child of a node at this depth a position belongs to.
pub(super) fn child_index(tree_position: u64, depth: u8) -> usize {
    let shift = u64::BITS - NIBBLE_BITS * (u32::from(depth) + 1);
    (tree_position >> shift) as usize % TREE_FANOUT
}

/// Returns the prefix of a child of a node.
pub(super) fn child_prefix(prefix: u64, part: usize) -> u64 {
    prefix << NIBBLE_BITS | part as u64
}
