//! The event queue of a discrete-event simulation. Events at the same time are processed in the
//! order in which they were scheduled.

use std::{cmp::Ordering, collections::BinaryHeap};

/// Scheduled events, and the simulated time.
#[derive(Debug)]
pub struct EventQueue<E> {
    heap: BinaryHeap<Scheduled<E>>,
    last_sequence: u64,
    now_ms: f64,
}

#[derive(Debug)]
struct Scheduled<E> {
    at_ms: f64,
    sequence: u64,
    event: E,
}

impl<E> PartialEq for Scheduled<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for Scheduled<E> {}

impl<E> PartialOrd for Scheduled<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Scheduled<E> {
    /// Reversed: [`BinaryHeap`] pops the greatest element, and the queue needs the earliest event.
    fn cmp(&self, other: &Self) -> Ordering {
        let by_time = other.at_ms.total_cmp(&self.at_ms);
        by_time.then(other.sequence.cmp(&self.sequence))
    }
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self {
            heap: BinaryHeap::new(),
            last_sequence: 0,
            now_ms: 0.0,
        }
    }
}

impl<E> EventQueue<E> {
    /// Returns the simulated time in ms, which is that of the event popped last.
    pub fn now_ms(&self) -> f64 {
        self.now_ms
    }

    /// Schedules an event `delay_ms` from now; a negative delay counts as zero.
    pub fn schedule(&mut self, delay_ms: f64, event: E) {
        self.last_sequence += 1;
        self.heap.push(Scheduled {
            at_ms: self.now_ms + delay_ms.max(0.0),
            sequence: self.last_sequence,
            event,
        });
    }

    /// Removes the earliest event and advances the simulated time to it.
    pub fn pop(&mut self) -> Option<E> {
        let scheduled = self.heap.pop()?;
        self.now_ms = scheduled.at_ms;
        Some(scheduled.event)
    }
}
