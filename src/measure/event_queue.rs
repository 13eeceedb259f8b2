//! Queue of future events, in the order of virtual time.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::time::Instant;

/// Queue of events ordered by time; events of the same time keep the order of their insertion.
pub struct EventQueue<T> {
    /// Events that have not happened yet, the earliest on top.
    heap: BinaryHeap<Entry<T>>,
    /// `order` of the next event that is added.
    next_order: u64,
}

/// An event with its time and its place among events of the same time.
struct Entry<T> {
    /// Virtual time at which the event happens.
    at: Instant,
    /// Position in the order of insertion, which decides between events of the same time.
    order: u64,
    /// Event to return at that time.
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
    /// Adds an event that happens at the given time.
    pub fn add(&mut self, at: Instant, event: T) {
        let order = self.next_order;
        self.next_order += 1;
        self.heap.push(Entry { at, order, event });
    }

    /// Removes and returns the next event, if it happens before `end`.
    pub fn pop_before(&mut self, end: Instant) -> Option<(Instant, T)> {
        if self.heap.peek()?.at >= end {
            return None;
        }
        self.heap.pop().map(|entry| (entry.at, entry.event))
    }
}

impl<T> Ord for Entry<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        // `BinaryHeap` pops its greatest entry first, so the comparison is reversed.
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
