//! What happens next, in the order of virtual time.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::time::Instant;

/// Events by time; those of the same time in the order in which they were added.
pub struct EventQueue<T> {
    heap: BinaryHeap<Entry<T>>,
    next_order: u64,
}

struct Entry<T> {
    at: Instant,
    order: u64,
    event: T,
}

impl<T> Default for EventQueue<T> {
    fn default() -> Self {
        EventQueue {
            heap: BinaryHeap::new(),
            next_order: 0,
        }
    }
}

impl<T> EventQueue<T> {
    /// Adds an event.
    pub fn add(&mut self, at: Instant, event: T) {
        let order = self.next_order;
        self.next_order += 1;
        self.heap.push(Entry { at, order, event });
    }

    /// Takes the next event, if it comes before `end`.
    pub fn pop_before(&mut self, end: Instant) -> Option<(Instant, T)> {
        if self.heap.peek()?.at >= end {
            return None;
        }
        self.heap.pop().map(|entry| (entry.at, entry.event))
    }
}

impl<T> Ord for Entry<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        // The heap gives its greatest entry first.
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<T> Eq for Entry<T> {}
