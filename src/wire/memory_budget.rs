//! Bounds the bytes that a process holds for its peers at one time.
//!
//! Each holder is charged to the address that its bytes came from. Once the limit is reached, the
//! address that holds most loses its greatest holder, so that one peer can't take the memory of the
//! others.

use std::collections::{BTreeMap, HashMap};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use bytes::Bytes;
use thiserror::Error;

use crate::metrics::Metrics;

/// Id of a holder, in the order of creation.
type HoldId = u64;

/// Bytes that every holder may have whatever the others hold, so that short messages go on.
pub const SMALL_HOLD_BYTES: usize = 8 * 1024;

/// The holder was ended, because the budget was exhausted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the memory budget is exhausted")]
pub struct Evicted;

/// Limit on the bytes of all holders together. Clones share it.
#[derive(Clone)]
pub struct MemoryBudget(Arc<Shared>);

/// State that the clones and holders of a budget share.
struct Shared {
    /// Name in counters and log lines.
    name: &'static str,
    /// Greatest number of bytes held at one time, apart from `SMALL_HOLD_BYTES` of each holder.
    limit_bytes: usize,
    /// Counters of the process.
    metrics: Metrics,
    /// What is held at present.
    ledger: Mutex<Ledger>,
}

/// The holders of a budget.
#[derive(Default)]
struct Ledger {
    /// Sum of the bytes of all `holders`.
    held_bytes: usize,
    /// Whether a holder was evicted and `held_bytes` has not fallen to half of the limit since.
    exhausted: bool,
    /// Id of the next holder.
    next_id: HoldId,
    /// Holders that were neither evicted nor dropped.
    holders: BTreeMap<HoldId, Holder>,
}

/// One holder of bytes.
struct Holder {
    /// Address that the bytes came from.
    address: SocketAddr,
    /// Bytes that it holds.
    bytes: usize,
    /// Closes the holder's channel when dropped; `None` once the holder can't be evicted.
    evictor: Option<async_channel::Sender<()>>,
}

/// Change of a budget's state that is to be logged.
#[derive(Debug, PartialEq, Eq)]
enum BudgetChange {
    Exhausted,
    Recovered,
}

impl MemoryBudget {
    /// Returns a budget of which nothing is held.
    pub fn new(name: &'static str, limit_bytes: usize, metrics: Metrics) -> MemoryBudget {
        MemoryBudget(Arc::new(Shared {
            name,
            limit_bytes,
            metrics,
            ledger: Mutex::default(),
        }))
    }

    /// Returns a budget that is never exhausted.
    pub fn unlimited() -> MemoryBudget {
        MemoryBudget::new("unlimited", usize::MAX, Metrics::local())
    }

    /// Returns a holder of no bytes. To charge all connections of a host together, pass its address
    /// with port 0.
    pub fn hold(&self, address: SocketAddr) -> MemoryHold {
        let (evictor, alive) = async_channel::bounded(1);
        let mut ledger = self.0.ledger();
        let id = ledger.next_id;
        ledger.next_id += 1;
        let holder = Holder {
            address,
            bytes: 0,
            evictor: Some(evictor),
        };
        ledger.holders.insert(id, holder);
        MemoryHold {
            budget: self.clone(),
            id,
            alive,
        }
    }

    /// Returns whether so many bytes fit without the eviction of a holder.
    pub fn has_room(&self, bytes: usize) -> bool {
        self.held_bytes().saturating_add(bytes) <= self.0.limit_bytes
    }

    /// Returns the bytes that are held at present.
    pub fn held_bytes(&self) -> usize {
        self.0.ledger().held_bytes
    }
}

impl Shared {
    /// Locks the ledger.
    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().expect("no panic while locked")
    }

    /// Logs a change of the budget's state.
    fn log(&self, change: Option<BudgetChange>) {
        let (budget, limit_bytes) = (self.name, self.limit_bytes);
        match change {
            Some(BudgetChange::Exhausted) => {
                log::warn!(budget, limit_bytes; "memory_budget_exhausted");
            }
            Some(BudgetChange::Recovered) => {
                log::info!(budget, limit_bytes; "memory_budget_recovered");
            }
            None => {}
        }
    }
}

impl Ledger {
    /// Sets the bytes of a holder, and evicts holders until the sum fits. Returns the number of
    /// evicted holders; the holder itself may be among them.
    fn resize(&mut self, id: HoldId, bytes: usize, limit_bytes: usize) -> usize {
        let Some(holder) = self.holders.get_mut(&id) else {
            return 0;
        };
        let before_bytes = std::mem::replace(&mut holder.bytes, bytes);
        self.held_bytes = self.held_bytes - before_bytes + bytes;
        let mut evicted_count = 0;
        if bytes <= before_bytes || bytes <= SMALL_HOLD_BYTES {
            return evicted_count;
        }
        while self.held_bytes > limit_bytes && self.holders.contains_key(&id) {
            let Some(victim) = self.victim() else {
                break;
            };
            self.remove(victim);
            evicted_count += 1;
        }
        evicted_count
    }

    /// Returns the greatest holder that can be evicted, of the address that holds most among the
    /// addresses that have one. Small holders are left, as their end would free little.
    fn victim(&self) -> Option<HoldId> {
        let mut sums: HashMap<SocketAddr, usize> = HashMap::new();
        for holder in self.holders.values() {
            *sums.entry(holder.address).or_default() += holder.bytes;
        }
        let evictable = self
            .holders
            .iter()
            .filter(|(_, holder)| holder.evictor.is_some() && holder.bytes > SMALL_HOLD_BYTES);
        evictable
            .max_by_key(|(_, holder)| (sums[&holder.address], holder.address, holder.bytes))
            .map(|(id, _)| *id)
    }

    /// Removes a holder with its bytes.
    fn remove(&mut self, id: HoldId) {
        if let Some(holder) = self.holders.remove(&id) {
            self.held_bytes -= holder.bytes;
        }
    }

    /// Records evictions or a release, and returns the change of state.
    fn record(&mut self, evicted_count: usize, limit_bytes: usize) -> Option<BudgetChange> {
        if evicted_count > 0 && !self.exhausted {
            self.exhausted = true;
            return Some(BudgetChange::Exhausted);
        }
        if evicted_count == 0 && self.exhausted && self.held_bytes <= limit_bytes / 2 {
            self.exhausted = false;
            return Some(BudgetChange::Recovered);
        }
        None
    }
}

/// Bytes that are charged to a budget until this is dropped.
pub struct MemoryHold {
    /// Budget that the bytes are charged to.
    budget: MemoryBudget,
    /// Id in the ledger, which no longer has it after an eviction.
    id: HoldId,
    /// Closes when the holder is evicted.
    alive: async_channel::Receiver<()>,
}

impl MemoryHold {
    /// Sets the bytes that are held, before memory for them is allocated. Fails if this holder was
    /// evicted, which a larger number of bytes may also cause.
    pub fn resize(&self, bytes: usize) -> Result<(), Evicted> {
        let shared = &self.budget.0;
        let mut ledger = shared.ledger();
        let evicted_count = ledger.resize(self.id, bytes, shared.limit_bytes);
        let kept = ledger.holders.contains_key(&self.id);
        let change = ledger.record(evicted_count, shared.limit_bytes);
        drop(ledger);
        if evicted_count > 0 {
            let name = format!("memory.{}.evicted", shared.name);
            shared.metrics.add(&name, evicted_count as u64);
        }
        shared.log(change);
        if kept {
            Ok(())
        } else {
            Err(Evicted)
        }
    }

    /// Returns a future that completes when this holder is evicted or dropped.
    pub fn evicted(&self) -> impl Future<Output = ()> {
        let alive = self.alive.clone();
        async move {
            // Nothing is sent on the channel; it is only closed.
            let _ = alive.recv().await;
        }
    }

    /// Returns the complete bytes, which stay charged until the last clone is dropped and can no
    /// longer be evicted.
    pub fn settle(self, bytes: Vec<u8>) -> Result<Bytes, Evicted> {
        let mut ledger = self.budget.0.ledger();
        let holder = ledger.holders.get_mut(&self.id).ok_or(Evicted)?;
        holder.evictor = None;
        drop(ledger);
        Ok(Bytes::from_owner(HeldBytes { bytes, _hold: self }))
    }
}

impl Drop for MemoryHold {
    fn drop(&mut self) {
        let shared = &self.budget.0;
        let mut ledger = shared.ledger();
        ledger.remove(self.id);
        let change = ledger.record(0, shared.limit_bytes);
        drop(ledger);
        shared.log(change);
    }
}

/// Bytes with the holder that they are charged to.
struct HeldBytes {
    /// The bytes.
    bytes: Vec<u8>,
    /// Releases the bytes when dropped.
    _hold: MemoryHold,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

#[cfg(test)]
mod tests;
