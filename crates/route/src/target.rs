//! What an entry knows of a target.

use cyc_proto::sidecar::LoadReport;
use cyc_types::{AvailabilityZone, ModelId, ServiceId, TargetId};

use crate::{health::Standing, prefix::PrefixCache};

/// One target, as input of a decision.
#[derive(Debug, Clone)]
pub struct Target {
    /// The target.
    pub id: TargetId,
    /// The service that it serves.
    pub service: ServiceId,
    /// Its availability zone.
    pub zone: AvailabilityZone,
    /// The models and adapters that it has loaded.
    pub models: Vec<ModelId>,
    /// Its load.
    pub load: Load,
    /// The prompt prefixes that it has probably cached.
    pub prefixes: PrefixCache,
    /// Whether it is ejected.
    pub standing: Standing,
    /// True if it takes no new work.
    pub draining: bool,
}

impl Target {
    /// Creates a target without load.
    pub fn new(id: TargetId, service: ServiceId, zone: AvailabilityZone) -> Self {
        Self {
            id,
            service,
            zone,
            models: Vec::new(),
            load: Load::default(),
            prefixes: PrefixCache::default(),
            standing: Standing::Open,
            draining: false,
        }
    }

    /// Sets the loaded models and adapters.
    pub fn with_models(mut self, models: Vec<ModelId>) -> Self {
        self.models = models;
        self
    }

    /// Returns true if the model or adapter is loaded.
    pub fn has(&self, model: &ModelId) -> bool {
        self.models.contains(model)
    }
}

/// The load of a target: the last report, and the own requests that the report cannot show.
#[derive(Debug, Clone, Default)]
pub struct Load {
    /// Requests in the last report.
    base: f64,
    /// Sequence number of the last report.
    sequence: u64,
    /// Requests started by this entry, ever.
    started: u64,
    /// Value of `started` when the last report was asked for.
    counted: u64,
    /// Requests ended since the last report.
    ended: u64,
}

impl Load {
    /// Returns the mark to keep when a report is asked for.
    pub fn mark(&self) -> u64 {
        self.started
    }

    /// Takes a report that was asked for at `mark`. One that is not newer is ignored.
    pub fn report(&mut self, report: &LoadReport, mark: u64) {
        if report.sequence <= self.sequence {
            return;
        }
        let counted: u32 = report.running.iter().chain(&report.queued).sum();
        self.base = f64::from(counted).max(report.reported);
        self.sequence = report.sequence;
        self.counted = mark;
        self.ended = 0;
    }

    /// Forgets the reports, for a sidecar that started again.
    pub fn clear(&mut self) {
        *self = Self {
            started: self.started,
            counted: self.started,
            ..Self::default()
        };
    }

    /// Notes a request that this entry sent to the target.
    pub fn start(&mut self) {
        self.started += 1;
    }

    /// Notes that such a request ended.
    pub fn end(&mut self) {
        self.ended += 1;
    }

    /// Returns the estimated number of requests at the target.
    pub fn estimate(&self) -> f64 {
        let own = self.started.saturating_sub(self.counted) as f64 - self.ended as f64;
        (self.base + own).max(0.0)
    }
}
