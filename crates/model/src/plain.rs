//! A simulated target of a plain service: a fixed number of slots with a bounded queue.

use std::collections::VecDeque;

use crate::{engine::JobId, scenario::ServiceSpec};

/// A target with slots and a queue. It does not end requests itself: the simulation schedules the
/// end of each started request.
#[derive(Debug)]
pub struct PlainTarget {
    spec: ServiceSpec,
    running: Vec<JobId>,
    waiting: VecDeque<(JobId, f64)>,
}

impl PlainTarget {
    /// Creates an idle target.
    pub fn new(spec: ServiceSpec) -> Self {
        Self {
            spec,
            running: Vec::new(),
            waiting: VecDeque::new(),
        }
    }

    /// Returns the numbers of running and of waiting requests.
    pub fn load(&self) -> (u32, u32) {
        (self.running.len() as u32, self.waiting.len() as u32)
    }

    /// Queues a request that takes `service_ms` to serve; returns false if the queue is full.
    pub fn enqueue(&mut self, id: JobId, service_ms: f64) -> bool {
        if self.waiting.len() >= self.spec.queue {
            return false;
        }
        self.waiting.push_back((id, service_ms));
        true
    }

    /// Moves waiting requests to free slots, and returns them with their service times in ms.
    pub fn start_waiting(&mut self) -> Vec<(JobId, f64)> {
        let free = (self.spec.slots as usize).saturating_sub(self.running.len());
        let count = free.min(self.waiting.len());
        let started: Vec<(JobId, f64)> = self.waiting.drain(..count).collect();
        self.running.extend(started.iter().map(|(id, _)| *id));
        started
    }

    /// Removes a request; returns false if it was not running.
    pub fn remove(&mut self, id: JobId) -> bool {
        let before = self.running.len();
        self.running.retain(|running| *running != id);
        self.waiting.retain(|(waiting, _)| *waiting != id);
        self.running.len() < before
    }
}
