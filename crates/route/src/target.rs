//! The state of a target as an entry knows it.

use cyc_proto::sidecar::LoadReport;
use cyc_types::{AvailabilityZone, ModelId, ServiceId, TargetId};

use crate::{health::Availability, prefix::PrefixCache};

/// One target, as input of a routing decision.
#[derive(Debug, Clone)]
pub struct Target {
    /// Id of the target.
    pub id: TargetId,
    /// The services that the target serves.
    pub services: Vec<ServiceId>,
    /// Availability zone of the target.
    pub zone: AvailabilityZone,
    /// The loaded models and adapters.
    pub models: Vec<ModelId>,
    /// The estimated load.
    pub load: Load,
    /// The prompt prefixes that are probably cached.
    pub prefixes: PrefixCache,
    /// Whether the target may receive requests.
    pub availability: Availability,
    /// True if the target takes no new requests.
    pub draining: bool,
}

impl Target {
    /// Creates a target without load and loaded models.
    pub fn new(id: TargetId, services: Vec<ServiceId>, zone: AvailabilityZone) -> Self {
        Self {
            id,
            services,
            zone,
            models: Vec::new(),
            load: Load::default(),
            prefixes: PrefixCache::default(),
            availability: Availability::Available,
            draining: false,
        }
    }

    /// Sets the loaded models and adapters.
    pub fn with_models(mut self, models: Vec<ModelId>) -> Self {
        self.models = models;
        self
    }

    /// Returns whether the model or adapter is loaded.
    pub fn has_loaded(&self, model: &ModelId) -> bool {
        self.models.contains(model)
    }
}

/// The load of a target: the last report, corrected for the requests of this entry that the report
/// cannot include.
#[derive(Debug, Clone, Default)]
pub struct Load {
    /// Requests in the last report.
    reported: f64,
    /// Sequence number of the last report.
    sequence: u64,
    /// Requests of this entry that have ever started.
    started: u64,
    /// Value of `started` when the last report was requested.
    started_before_report: u64,
    /// Requests of this entry that ended since the last report.
    ended: u64,
}

impl Load {
    /// Returns the mark to pass to [`Self::apply_report`] with a report that is requested now.
    pub fn mark(&self) -> u64 {
        self.started
    }

    /// Applies a report that was requested at `mark`. A report that is not newer is ignored.
    pub fn apply_report(&mut self, report: &LoadReport, mark: u64) {
        if report.sequence <= self.sequence {
            return;
        }
        let count: u32 = report.running.iter().chain(&report.queued).sum();
        self.reported = f64::from(count).max(report.reported);
        self.sequence = report.sequence;
        self.started_before_report = mark;
        self.ended = 0;
    }

    /// Discards the last report, for a sidecar that has restarted.
    pub fn clear(&mut self) {
        *self = Self {
            started: self.started,
            started_before_report: self.started,
            ..Self::default()
        };
    }

    /// Records a request that this entry sent to the target.
    pub fn record_start(&mut self) {
        self.started += 1;
    }

    /// Records that a request of this entry ended.
    pub fn record_end(&mut self) {
        self.ended += 1;
    }

    /// Estimates the number of requests at the target.
    pub fn estimate(&self) -> f64 {
        let own =
            self.started.saturating_sub(self.started_before_report) as f64 - self.ended as f64;
        (self.reported + own).max(0.0)
    }
}
