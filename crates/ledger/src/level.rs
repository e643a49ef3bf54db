//! Counts of requests by service level, which travel with the segments.

use std::collections::BTreeMap;

use cyc_proto::sidecar::RouteClass;
use cyc_types::{AvailabilityZone, Millis, ServiceId};
use serde::{Deserialize, Serialize};

/// The upper bounds of the latency buckets. One more bucket takes everything above.
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
/// Number of latency buckets.
pub const LATENCY_BUCKETS: usize = LATENCY_BOUNDS.len() + 1;
/// The time that one count covers.
pub const MINUTE: Millis = Millis::new(60_000);

/// What requests are counted by.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Series {
    /// The class of the route.
    pub class: RouteClass,
    /// The service.
    pub service: ServiceId,
    /// The availability zone of the entry.
    pub zone: AvailabilityZone,
}

/// Counted requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// All requests that count. Invariant: not less than `good`.
    pub total: u64,
    /// The requests within the objective.
    pub good: u64,
    /// Answered requests by latency; see [`LATENCY_BOUNDS`].
    pub latency: [u64; LATENCY_BUCKETS],
}

impl Count {
    /// Counts one request; one without an answer has no latency.
    pub fn add(&mut self, good: bool, latency: Option<Millis>) {
        self.total += 1;
        self.good += u64::from(good);
        if let Some(latency) = latency {
            self.latency[bucket(latency)] += 1;
        }
    }

    /// Adds other counts.
    pub fn merge(&mut self, other: &Self) {
        self.total += other.total;
        self.good += other.good;
        for (sum, more) in self.latency.iter_mut().zip(other.latency) {
            *sum += more;
        }
    }
}

/// Returns the bucket of a latency.
pub fn bucket(latency: Millis) -> usize {
    LATENCY_BOUNDS.partition_point(|bound| *bound < latency)
}

/// The counts of one minute, class, service and availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LevelCount {
    /// Minutes of the wall clock since 1970.
    pub minute: u64,
    /// What is counted.
    #[serde(flatten)]
    pub series: Series,
    /// The counts.
    #[serde(flatten)]
    pub count: Count,
}

/// Counts that are in no segment yet.
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

    pub(crate) fn put_back(&mut self, counts: Vec<LevelCount>) {
        for level in counts {
            let count = self.0.entry((level.minute, level.series)).or_default();
            count.merge(&level.count);
        }
    }
}
