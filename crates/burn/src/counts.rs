//! The counts of all entries, by series and minute.

use std::collections::{BTreeMap, BTreeSet};

use cyc_ledger::{
    Segment, Series,
    level::{Count, MINUTE},
};
use cyc_proto::sidecar::RouteClass;
use cyc_types::Millis;

/// A span of wall-clock time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Span {
    /// Its first minute since 1970.
    pub first: u64,
    /// The minute after its last.
    pub end: u64,
}

impl Span {
    /// Creates the span of the minutes of the last `length` before `to`; the minute of `to`, which
    /// is not over, belongs to it.
    pub fn new(to: Millis, length: Millis) -> Self {
        let last = to.get() / MINUTE.get();
        let minutes = length.get().div_ceil(MINUTE.get()).max(1);
        Self {
            first: (last + 1).saturating_sub(minutes),
            end: last + 1,
        }
    }
}

/// The counts of all entries.
#[derive(Debug, Clone, Default)]
pub struct Counts(BTreeMap<Series, BTreeMap<u64, Count>>);

impl Counts {
    /// Adds up the counts of segments.
    pub fn new(segments: &[Segment]) -> Self {
        let mut counts = Self::default();
        for level in segments.iter().flat_map(|segment| &segment.levels) {
            let minutes = counts.0.entry(level.series.clone()).or_default();
            minutes.entry(level.minute).or_default().merge(&level.count);
        }
        counts
    }

    /// Returns all series.
    pub fn series(&self) -> impl Iterator<Item = &Series> {
        self.0.keys()
    }

    /// Returns the classes that have counts.
    pub fn classes(&self) -> BTreeSet<RouteClass> {
        self.series().map(|series| series.class).collect()
    }

    /// Returns the first minute that has a count.
    pub fn first_minute(&self) -> Option<u64> {
        let firsts = self.0.values().filter_map(|minutes| minutes.keys().next());
        firsts.min().copied()
    }

    /// Returns the sum of a span over the series that `matches` takes.
    pub fn sum(&self, span: Span, matches: impl Fn(&Series) -> bool) -> Count {
        let mut sum = Count::default();
        for (_, minutes) in self.0.iter().filter(|(series, _)| matches(series)) {
            for count in minutes.range(span.first..span.end).map(|(_, count)| count) {
                sum.merge(count);
            }
        }
        sum
    }
}
