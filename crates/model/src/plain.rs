//! A target of a plain service: slots, and a queue in front of them.

use std::collections::VecDeque;

use crate::{engine::JobId, scenario::ServiceSpec};

/// A target of a plain service.
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

    /// Returns the running and the waiting requests.
    pub fn load(&self) -> (u32, u32) {
        (self.running.len() as u32, self.waiting.len() as u32)
    }

    /// Takes a request that needs `work_ms`, or refuses it because too many wait.
    pub fn push(&mut self, id: JobId, work_ms: f64) -> bool {
        if self.waiting.len() >= self.spec.queue {
            return false;
        }
        self.waiting.push_back((id, work_ms));
        true
    }

    /// Moves waiting requests to free slots, and returns them with the time that they need.
    pub fn start(&mut self) -> Vec<(JobId, f64)> {
        let free = (self.spec.slots as usize).saturating_sub(self.running.len());
        let count = free.min(self.waiting.len());
        let started: Vec<(JobId, f64)> = self.waiting.drain(..count).collect();
        self.running.extend(started.iter().map(|(id, _)| *id));
        started
    }

    /// Ends a request; returns false if it did not run here.
    pub fn end(&mut self, id: JobId) -> bool {
        let before = self.running.len();
        self.running.retain(|running| *running != id);
        self.waiting.retain(|(waiting, _)| *waiting != id);
        self.running.len() < before
    }
}
