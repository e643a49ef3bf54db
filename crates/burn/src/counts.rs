//! Request counts of all entries, by series and minute.

use std::collections::{BTreeMap, BTreeSet};

use cyc_ledger::{
    Segment, Series,
    level::{Count, MINUTE},
};
use cyc_proto::sidecar::RouteClass;
use cyc_types::Millis;

/// A range of wall-clock minutes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MinuteRange {
    /// The first minute, counted from the Unix epoch.
    pub first: u64,
    /// The end of the range, exclusive.
    pub end: u64,
}

impl MinuteRange {
    /// Creates the range of the minutes in the last `duration` up to `now`. The current, incomplete
    /// minute is included.
    pub fn new(now: Millis, duration: Millis) -> Self {
        let last = now.get() / MINUTE.get();
        let minutes = duration.get().div_ceil(MINUTE.get()).max(1);
        Self {
            first: (last + 1).saturating_sub(minutes),
            end: last + 1,
        }
    }
}

/// The sum of the request counts of all entries, by series and minute.
#[derive(Debug, Clone, Default)]
pub struct Counts(BTreeMap<Series, BTreeMap<u64, Count>>);

impl Counts {
    /// Sums the counts of `segments`.
    pub fn new(segments: &[Segment]) -> Self {
        let mut counts = Self::default();
        for level in segments.iter().flat_map(|segment| &segment.levels) {
            let minutes = counts.0.entry(level.series.clone()).or_default();
            minutes.entry(level.minute).or_default().merge(&level.count);
        }
        counts
    }

    /// Returns the series that have counts, in order.
    pub fn series(&self) -> impl Iterator<Item = &Series> {
        self.0.keys()
    }

    /// Returns the route classes that have counts.
    pub fn classes(&self) -> BTreeSet<RouteClass> {
        self.series().map(|series| series.class).collect()
    }

    /// Returns the first minute that has a count, in minutes since the Unix epoch.
    pub fn first_minute(&self) -> Option<u64> {
        let first_minutes = self.0.values().filter_map(|minutes| minutes.keys().next());
        first_minutes.min().copied()
    }

    /// Returns the sum over the minutes in `range` of the series for which `matches` returns true.
    pub fn sum(&self, range: MinuteRange, matches: impl Fn(&Series) -> bool) -> Count {
        let mut sum = Count::default();
        for (_, minutes) in self.0.iter().filter(|(series, _)| matches(series)) {
            for count in minutes
                .range(range.first..range.end)
                .map(|(_, count)| count)
            {
                sum.merge(count);
            }
        }
        sum
    }
}
