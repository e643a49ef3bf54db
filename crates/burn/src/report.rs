//! The report on service levels.

use cyc_config::Objective;
use cyc_ledger::{Series, level::Count};
use cyc_proto::sidecar::RouteClass;
use cyc_store::{Platform, Result};
use cyc_types::{AvailabilityZone, Millis, ServiceId};
use serde::Serialize;

use crate::{
    alert::{self, Verdict},
    counts::{Counts, Span},
};

/// The window of a class without an objective.
const DEFAULT_WINDOW: Millis = Millis::new(30 * 24 * 3_600_000);

/// The windows of a report.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// The wall-clock time at which the windows end.
    pub now: Millis,
    /// The window of totals and error budgets; that of each objective if `None`.
    pub window: Option<Millis>,
    /// The short alert window.
    pub short: Millis,
    /// The long alert window.
    pub long: Millis,
}

impl Options {
    /// Creates options with alert windows of 5 minutes and 1 hour.
    pub fn new(now: Millis) -> Self {
        Self {
            now,
            window: None,
            short: Millis::new(5 * 60_000),
            long: Millis::new(60 * 60_000),
        }
    }

    /// Sets the window of totals and error budgets.
    pub fn with_window(mut self, window: Option<Millis>) -> Self {
        self.window = window;
        self
    }
}

/// The report.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// By class; within a class first the sum, then each availability zone and service.
    pub rows: Vec<Row>,
}

/// The service level of a class, or of a service at the entries of one availability zone.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Row {
    /// The class.
    pub class: RouteClass,
    /// The availability zone of the entries; `None` for all.
    pub zone: Option<AvailabilityZone>,
    /// The service; `None` for all.
    pub service: Option<ServiceId>,
    /// The window of the totals.
    pub window_ms: Millis,
    /// The requests that count.
    pub total: u64,
    /// The requests within the objective.
    pub good: u64,
    /// The objective's latency.
    pub objective_ms: Option<Millis>,
    /// The objective's share.
    pub objective_share: Option<f64>,
    /// The part of the error budget that is left; below 0 once it is overdrawn.
    pub budget_left: Option<f64>,
    /// The burn rate in the short alert window.
    pub burn_short: Option<f64>,
    /// The burn rate in the long alert window.
    pub burn_long: Option<f64>,
    /// What the burn rates call for.
    pub verdict: Verdict,
    /// Answered requests by latency; see [`cyc_ledger::level::LATENCY_BOUNDS`].
    pub latency: Vec<u64>,
}

/// Reads the counts from the platform.
///
/// # Errors
/// If the platform does not answer or a segment cannot be read.
pub async fn collect(platform: &dyn Platform) -> Result<Counts> {
    let segments = cyc_ledger::read::segments(platform, "").await?;
    Ok(Counts::new(&segments))
}

/// Makes the report.
pub fn report(counts: &Counts, objectives: &[Objective], options: &Options) -> Report {
    let mut rows = Vec::new();
    for class in counts.classes() {
        let objective = objectives.iter().find(|o| o.class == class);
        let matches = |series: &Series| series.class == class;
        rows.push(row(counts, class, None, objective, options, matches));
        for series in counts.series().filter(|series| series.class == class) {
            let matches = |other: &Series| other == series;
            let only = Some(series);
            rows.push(row(counts, class, only, objective, options, matches));
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
    let own_window = objective.map_or(DEFAULT_WINDOW, |o| o.window_ms);
    let window = options.window.unwrap_or(own_window);
    let over = |length| counts.sum(Span::new(options.now, length), &matches);
    let (count, short, long) = (over(window), over(options.short), over(options.long));
    let share = objective.map(|o| o.share);
    let burn = |count: &Count| share.map(|share| alert::burn_rate(count, share));
    let (burn_short, burn_long) = (burn(&short), burn(&long));
    let verdict = match (share, burn_short, burn_long) {
        (Some(share), Some(short), Some(long)) => {
            let page = alert::page_threshold(share, own_window, options.long);
            alert::verdict(short, long, page)
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
