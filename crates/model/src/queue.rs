//! Events in order of time; equal times in the order in which they were added.

use std::{cmp::Ordering, collections::BinaryHeap};

/// Events that are still to come, and the time of the last one taken.
#[derive(Debug)]
pub struct Queue<E> {
    heap: BinaryHeap<Entry<E>>,
    added: u64,
    now_ms: f64,
}

#[derive(Debug)]
struct Entry<E> {
    at_ms: f64,
    number: u64,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    /// The heap gives its greatest entry first: that is the earliest.
    fn cmp(&self, other: &Self) -> Ordering {
        let by_time = other.at_ms.total_cmp(&self.at_ms);
        by_time.then(other.number.cmp(&self.number))
    }
}

impl<E> Default for Queue<E> {
    fn default() -> Self {
        Self {
            heap: BinaryHeap::new(),
            added: 0,
            now_ms: 0.0,
        }
    }
}

impl<E> Queue<E> {
    /// Returns the time of the last event taken, in ms.
    pub fn now_ms(&self) -> f64 {
        self.now_ms
    }

    /// Adds an event that comes `after_ms` from now.
    pub fn add(&mut self, after_ms: f64, event: E) {
        self.added += 1;
        self.heap.push(Entry {
            at_ms: self.now_ms + after_ms.max(0.0),
            number: self.added,
            event,
        });
    }

    /// Takes the next event.
    pub fn take(&mut self) -> Option<E> {
        let entry = self.heap.pop()?;
        self.now_ms = entry.at_ms;
        Some(entry.event)
    }
}
