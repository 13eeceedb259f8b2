//! Anti-entropy: finds differences that gossip missed by walking down the digest tree with a peer.

use std::time::Instant;

use rand::seq::IteratorRandom;

use super::budget::EXCHANGE_BYTES;
use super::digest::{child_index, child_prefix, is_under_node, TREE_DEPTH_LIMIT, TREE_FANOUT};
use super::gossip::{CallPurpose, WANTED_LIMIT_COUNT};
use super::message::{CallTarget, CompareAnswer, CompareRequest, Gossip};
use super::state::MembershipState;
use crate::link::{PeerAnswer, PeerRequest};
use crate::types::DaemonId;

/// Differing children of the root from which on a full sync costs less than walking down the tree.
const MUCH_DIFFERS_COUNT: u32 = 12;
/// A subtree with at most this many daemons is listed instead of walked further.
const LIST_LIMIT_COUNT: usize = 16;

impl MembershipState {
    /// Starts to compare the whole view with a peer, if a comparison is due and within the budget.
    pub(super) fn compare(&mut self, now: Instant, to: CallTarget) {
        if now < self.compare_at || self.budget.left_bytes(now) < 2 * EXCHANGE_BYTES {
            return;
        }
        self.compare_at = self.later(now, self.settings.compare_ms);
        self.compare_node(now, to, 0, 0);
    }

    /// Sends the digests of a node's children to a peer for comparison.
    fn compare_node(&mut self, now: Instant, to: CallTarget, depth: u8, prefix: u64) {
        let (digests, _) = self.parts(depth, prefix);
        self.budget.spend(EXCHANGE_BYTES + size_of_val(&digests));
        let request = PeerRequest::Compare(CompareRequest {
            depth,
            prefix,
            digests: digests.to_vec(),
        });
        self.call(now, to, CallPurpose::Compare { depth, prefix }, request);
    }

    /// Returns the digest and the number of daemons of each child of a node.
    fn parts(&self, depth: u8, prefix: u64) -> ([u64; TREE_FANOUT], [usize; TREE_FANOUT]) {
        let mut digests = [0; TREE_FANOUT];
        let mut counts = [0; TREE_FANOUT];
        for member in self.members.iter() {
            if !is_under_node(member.tree_position, depth, prefix) {
                continue;
            }
            let part = child_index(member.tree_position, depth);
            digests[part] ^= member.digest();
            counts[part] += 1;
        }
        (digests, counts)
    }

    /// Lists the children of a node whose digests differ; `None` refuses a malformed request.
    pub(super) fn answer_compare(&mut self, request: &CompareRequest) -> Option<PeerAnswer> {
        let wrong_count = request.digests.len() != TREE_FANOUT;
        if wrong_count || request.depth > TREE_DEPTH_LIMIT {
            return None;
        }
        let (digests, counts) = self.parts(request.depth, request.prefix);
        let mut answer = CompareAnswer::default();
        for index in 0..TREE_FANOUT {
            if digests[index] == request.digests[index] {
                continue;
            }
            let small = counts[index] <= LIST_LIMIT_COUNT || request.depth == TREE_DEPTH_LIMIT;
            match small {
                true => answer.listed |= 1 << index,
                false => answer.deeper |= 1 << index,
            }
        }
        for member in self.members.iter() {
            let listed = answer.listed & 1 << child_index(member.tree_position, request.depth) != 0;
            if listed && is_under_node(member.tree_position, request.depth, request.prefix) {
                answer.summaries.push(member.summary());
            }
        }
        Some(PeerAnswer::Compare(answer))
    }

    /// Requests the descriptions that this daemon lacks, sends those that the peer lacks, and
    /// continues with one of the children that were too large to list.
    pub(super) fn handle_compare_answer(
        &mut self,
        now: Instant,
        to: CallTarget,
        (depth, prefix): (u8, u64),
        answer: &CompareAnswer,
    ) {
        let differing_count = (answer.listed | answer.deeper).count_ones();
        if depth == 0 && differing_count >= MUCH_DIFFERS_COUNT {
            return self.restart_full_sync(now);
        }
        let merged = self.merge_news(now, &answer.summaries, &[], Vec::new());
        let outdated = merged.outdated;
        let lacking: Vec<DaemonId> = self
            .members
            .iter()
            .filter(|member| is_under_node(member.tree_position, depth, prefix))
            .filter(|member| answer.listed & 1 << child_index(member.tree_position, depth) != 0)
            .map(|member| &member.entry.daemon)
            .filter(|daemon| {
                answer
                    .summaries
                    .iter()
                    .all(|found| found.daemon != **daemon)
            })
            .cloned()
            .collect();
        let wanted = self.take_missing(now, WANTED_LIMIT_COUNT);
        if !(wanted.is_empty() && outdated.is_empty() && lacking.is_empty()) {
            let entries = self.entries_within_budget(now, &lacking);
            let mut gossip = Gossip {
                entries,
                wanted,
                digest: self.members.digest(),
                ..Default::default()
            };
            self.add_summaries(&mut gossip, &outdated);
            self.send_gossip(now, to.clone(), gossip);
        }
        let differing = (0..TREE_FANOUT).filter(|index| answer.deeper & 1 << index != 0);
        let Some(next) = differing.choose(&mut self.random) else {
            return;
        };
        if depth < TREE_DEPTH_LIMIT {
            self.compare_node(now, to, depth + 1, child_prefix(prefix, next));
        }
    }
}
