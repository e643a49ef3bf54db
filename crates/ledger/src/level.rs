//! Service level counts per minute, which are stored in the segments with the receipts.

use std::collections::BTreeMap;

use cyc_proto::sidecar::RouteClass;
use cyc_types::{AvailabilityZone, Millis, ServiceId};
use serde::{Deserialize, Serialize};

/// Inclusive upper bounds of the latency buckets. One more bucket counts all higher latencies.
pub const LATENCY_BOUNDS: [Millis; 12] = [
    Millis::new(10),
    Millis::new(20),
    Millis::new(50),
    Millis::new(100),
    Millis::new(200),
    Millis::new(500),
    Millis::new(1_000),
    Millis::new(2_000),
    Millis::new(5_000),
    Millis::new(10_000),
    Millis::new(20_000),
    Millis::new(50_000),
];
/// Number of latency buckets, including the one above the highest bound.
pub const LATENCY_BUCKETS: usize = LATENCY_BOUNDS.len() + 1;
/// The period that one count covers.
pub const MINUTE: Millis = Millis::new(60_000);

/// The dimensions that requests are counted by.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Series {
    /// The route class of the request.
    pub class: RouteClass,
    /// The requested service.
    pub service: ServiceId,
    /// The availability zone of the entry that took the request.
    pub zone: AvailabilityZone,
}

/// Request counts of one series.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// All requests that count towards the objective. Invariant: not less than `good`.
    pub total: u64,
    /// Requests that met the objective.
    pub good: u64,
    /// Answered requests by latency bucket; see [`LATENCY_BOUNDS`].
    pub latency: [u64; LATENCY_BUCKETS],
}

impl Count {
    /// Counts one request. `latency` is `None` if it was not answered.
    pub fn add(&mut self, good: bool, latency: Option<Millis>) {
        self.total += 1;
        self.good += u64::from(good);
        if let Some(latency) = latency {
            self.latency[bucket(latency)] += 1;
        }
    }

    /// Adds the counts of `other` to these.
    pub fn merge(&mut self, other: &Self) {
        self.total += other.total;
        self.good += other.good;
        for (sum, more) in self.latency.iter_mut().zip(other.latency) {
            *sum += more;
        }
    }
}

/// Index of the latency bucket that `latency` falls into.
pub fn bucket(latency: Millis) -> usize {
    LATENCY_BOUNDS.partition_point(|bound| *bound < latency)
}

/// The counts of one minute, class, service and availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LevelCount {
    /// Wall-clock minutes since the Unix epoch.
    pub minute: u64,
    /// The dimensions of the count.
    #[serde(flatten)]
    pub series: Series,
    /// The request counts.
    #[serde(flatten)]
    pub count: Count,
}

/// Counts by minute and series that are not in a segment yet.
#[derive(Debug, Default)]
pub(crate) struct Levels(BTreeMap<(u64, Series), Count>);

impl Levels {
    pub(crate) fn add(&mut self, at: Millis, series: Series, good: bool, latency: Option<Millis>) {
        let minute = at.get() / MINUTE.get();
        let count = self.0.entry((minute, series)).or_default();
        count.add(good, latency);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(crate) fn take(&mut self) -> Vec<LevelCount> {
        let counts = std::mem::take(&mut self.0).into_iter();
        counts
            .map(|((minute, series), count)| LevelCount {
                minute,
                series,
                count,
            })
            .collect()
    }

    pub(crate) fn restore(&mut self, counts: Vec<LevelCount>) {
        for level in counts {
            let count = self.0.entry((level.minute, level.series)).or_default();
            count.merge(&level.count);
        }
    }
}
