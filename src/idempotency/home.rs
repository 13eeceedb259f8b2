//! Assigns a home daemon to each idempotency key by rendezvous hashing.

use sha2::{Digest, Sha256};

use crate::membership::Fleet;
use crate::types::DaemonId;

/// SHA-256 hash of an organisation and one of its idempotency keys.
pub type ClaimKey = [u8; 32];

/// Returns the claim key of an organisation's idempotency key.
pub fn claim_key(organisation: &str, idempotency_key: &str) -> ClaimKey {
    let mut hash = Sha256::new();
    hash.update((organisation.len() as u64).to_le_bytes());
    hash.update(organisation);
    hash.update(idempotency_key);
    hash.finalize().into()
}

/// Hash of a daemon's name, from which its scores for keys are computed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DaemonScore(u64);

impl DaemonScore {
    /// Hashes the name of a daemon.
    pub fn new(daemon: &str) -> DaemonScore {
        DaemonScore(leading_u64(&Sha256::digest(daemon).into()))
    }

    /// Returns the daemon's score for a key; the daemon with the highest score is the key's home.
    pub fn score_for(self, key: &ClaimKey) -> u64 {
        splitmix64(self.0 ^ leading_u64(key))
    }
}

/// Daemons that may be homes of keys.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct HomeMap {
    /// The daemons, each with its score, which does not depend on the key.
    daemons: Vec<(DaemonId, DaemonScore)>,
}

impl HomeMap {
    /// Collects every daemon of a fleet that is not leaving.
    pub fn new(fleet: &Fleet) -> HomeMap {
        let staying = fleet.daemons.values().filter(|daemon| !daemon.leaving);
        let scored = staying.map(|entry| {
            let daemon = entry.daemon.clone();
            let score = DaemonScore::new(&daemon);
            (daemon, score)
        });
        HomeMap {
            daemons: scored.collect(),
        }
    }

    /// Returns the home of a key; `None` without any daemon.
    pub fn home(&self, key: &ClaimKey) -> Option<&DaemonId> {
        let best = self
            .daemons
            .iter()
            .max_by_key(|(daemon, score)| (score.score_for(key), daemon));
        best.map(|(daemon, _)| daemon)
    }

    /// Returns whether a daemon may be a home.
    pub fn contains(&self, daemon: &DaemonId) -> bool {
        self.daemons.iter().any(|(known, _)| known == daemon)
    }

    /// Returns the daemons that may be homes.
    pub fn daemons(&self) -> impl Iterator<Item = &DaemonId> {
        self.daemons.iter().map(|(daemon, _)| daemon)
    }
}

/// Returns the first eight bytes of a hash as a little-endian number.
fn leading_u64(hash: &[u8; 32]) -> u64 {
    u64::from_le_bytes(hash[..8].try_into().expect("a hash has 8 bytes"))
}

/// Mixes a number by one step of the splitmix64 generator.
fn splitmix64(mut word: u64) -> u64 {
    word = word.wrapping_add(0x9e37_79b9_7f4a_7c15);
    word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}
