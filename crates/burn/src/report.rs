//! The service level report, by route class, availability zone and service.

use cyc_config::Objective;
use cyc_ledger::{Series, level::Count};
use cyc_proto::sidecar::RouteClass;
use cyc_store::{Platform, Result};
use cyc_types::{AvailabilityZone, Millis, ServiceId};
use serde::Serialize;

use crate::{
    alert::{self, Verdict},
    counts::{Counts, MinuteRange},
};

/// The window of a route class without an objective: 30 days.
const DEFAULT_WINDOW: Millis = Millis::new(30 * 24 * 3_600_000);

/// The time and the windows of a report.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// The wall-clock time at which the windows end.
    pub now: Millis,
    /// The window of totals and error budgets; `None` for the window of each objective.
    pub window: Option<Millis>,
    /// The short alert window.
    pub short_window: Millis,
    /// The long alert window.
    pub long_window: Millis,
}

impl Options {
    /// Creates options with alert windows of 5 minutes and 1 hour that end at `now`.
    pub fn new(now: Millis) -> Self {
        Self {
            now,
            window: None,
            short_window: Millis::new(5 * 60_000),
            long_window: Millis::new(60 * 60_000),
        }
    }

    /// Sets the window of totals and error budgets; the alert windows are unaffected.
    pub fn with_window(mut self, window: Option<Millis>) -> Self {
        self.window = window;
        self
    }
}

/// A service level report.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// Ordered by class; the sum of a class precedes its availability zones and services.
    pub rows: Vec<Row>,
}

/// The service level of a route class, or of a service at the entries of an availability zone.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Row {
    /// The route class.
    pub class: RouteClass,
    /// The availability zone of the entries; `None` for the sum of a class.
    pub zone: Option<AvailabilityZone>,
    /// The service; `None` for the sum of a class.
    pub service: Option<ServiceId>,
    /// The window of totals and error budget.
    pub window_ms: Millis,
    /// The number of requests that count towards the objective.
    pub total: u64,
    /// The number of those requests that were within the objective.
    pub good: u64,
    /// The latency that the objective allows.
    pub objective_ms: Option<Millis>,
    /// The share of requests that have to meet the objective, from 0 to 1.
    pub objective_share: Option<f64>,
    /// The remaining fraction of the error budget; negative once it is overspent.
    pub budget_left: Option<f64>,
    /// The burn rate in the short alert window.
    pub burn_short: Option<f64>,
    /// The burn rate in the long alert window.
    pub burn_long: Option<f64>,
    /// The alert that the burn rates call for.
    pub verdict: Verdict,
    /// The number of answered requests per latency bucket; see [`cyc_ledger::level::LATENCY_BOUNDS`].
    pub latency: Vec<u64>,
}

/// Reads the segments in the platform and sums their counts.
///
/// # Errors
/// If the platform does not respond or a segment is malformed.
pub async fn load_counts(platform: &dyn Platform) -> Result<Counts> {
    let segments = cyc_ledger::read::segments(platform, "").await?;
    Ok(Counts::new(&segments))
}

/// Creates the report.
pub fn report(counts: &Counts, objectives: &[Objective], options: &Options) -> Report {
    let mut rows = Vec::new();
    for class in counts.classes() {
        let objective = objectives.iter().find(|o| o.class == class);
        let matches = |series: &Series| series.class == class;
        rows.push(row(counts, class, None, objective, options, matches));
        for series in counts.series().filter(|series| series.class == class) {
            let matches = |other: &Series| other == series;
            let selected = Some(series);
            rows.push(row(counts, class, selected, objective, options, matches));
        }
    }
    Report { rows }
}

fn row(
    counts: &Counts,
    class: RouteClass,
    series: Option<&Series>,
    objective: Option<&Objective>,
    options: &Options,
    matches: impl Fn(&Series) -> bool,
) -> Row {
    let objective_window = objective.map_or(DEFAULT_WINDOW, |o| o.window_ms);
    let window = options.window.unwrap_or(objective_window);
    let sum_over = |window| counts.sum(MinuteRange::new(options.now, window), &matches);
    let (count, short, long) = (
        sum_over(window),
        sum_over(options.short_window),
        sum_over(options.long_window),
    );
    let share = objective.map(|o| o.share);
    let burn_rate = |count: &Count| share.map(|share| alert::burn_rate(count, share));
    let (burn_short, burn_long) = (burn_rate(&short), burn_rate(&long));
    let verdict = match (share, burn_short, burn_long) {
        (Some(share), Some(short), Some(long)) => {
            let page_threshold =
                alert::page_threshold(share, objective_window, options.long_window);
            alert::verdict(short, long, page_threshold)
        }
        _ => Verdict::NoObjective,
    };
    Row {
        class,
        zone: series.map(|series| series.zone.clone()),
        service: series.map(|series| series.service.clone()),
        window_ms: window,
        total: count.total,
        good: count.good,
        objective_ms: objective.map(|o| o.latency_ms),
        objective_share: share,
        budget_left: share.map(|share| alert::budget_left(&count, share)),
        burn_short,
        burn_long,
        verdict,
        latency: count.latency.to_vec(),
    }
}
