//! What callers got in one run, and the sums of several.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde_json::{Value, json};
use smol_str::SmolStr;

use crate::{
    engine::Work,
    scenario::{Kind, Scenario},
};

/// Length of the windows of which the worst one is told, in ms.
pub(crate) const WINDOW_MS: u64 = 2_000;
/// Significant digits of the histograms.
const DIGITS: u8 = 3;
/// The longest time that a histogram tells apart, in ms.
const MOST_MS: u64 = 120_000;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// With a whole answer.
    Answered,
    /// Without having run.
    Refused,
    /// With a failure, or with a caller that left.
    Failed,
}

/// The end of one request.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// Index of its kind.
    pub kind: usize,
    /// Its client account.
    pub account: u64,
    /// The availability zone of its entry.
    pub zone: usize,
    /// When it was sent.
    pub asked_ms: f64,
    /// How it ended.
    pub outcome: Outcome,
    /// Time to the first piece, from the first try.
    pub first_ms: Option<f64>,
    /// The longest pause between two pieces.
    pub longest_pause_ms: f64,
}

impl Answer {
    fn credit(&self, kind: &Kind) -> f64 {
        if self.outcome != Outcome::Answered {
            return 0.0;
        }
        let is_in_time = self
            .first_ms
            .is_some_and(|at| at <= kind.objective.get() as f64)
            && self.longest_pause_ms <= kind.pause.get() as f64;
        match is_in_time {
            true => kind.worth,
            false => kind.late_worth,
        }
    }
}

/// Earned and owed worth.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Credit {
    /// Worth of the answers.
    pub earned: f64,
    /// Worth of the requests if all were answered in time.
    pub owed: f64,
}

impl Credit {
    fn add(&mut self, earned: f64, owed: f64) {
        self.earned += earned;
        self.owed += owed;
    }

    /// Returns the earned part.
    pub fn part(self) -> f64 {
        match self.owed > 0.0 {
            true => self.earned / self.owed,
            false => 1.0,
        }
    }
}

/// The requests of one kind.
#[derive(Debug, Clone)]
pub struct KindReport {
    /// The kind's name.
    pub name: SmolStr,
    /// Its credit.
    pub credit: Credit,
    /// Requests.
    pub asked: u64,
    /// Requests answered too late, or with too long a pause.
    pub late: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Time to the first piece of answered requests, in ms.
    pub first_ms: Histogram<u64>,
}

/// What callers got.
#[derive(Debug, Clone)]
pub struct Report {
    /// By kind, in the scenario's order.
    pub kinds: Vec<KindReport>,
    /// By availability zone.
    pub zones: BTreeMap<usize, Credit>,
    /// By client account.
    pub accounts: BTreeMap<u64, Credit>,
    /// By window of arrival.
    pub windows: BTreeMap<u64, Credit>,
    /// Prompt tokens that engines read, and the part of them that had been read before.
    pub work: Work,
    /// Prompt tokens read by the busiest engine over the mean.
    pub imbalance: f64,
}

impl Report {
    /// Creates an empty report.
    pub fn new(scenario: &Scenario) -> Self {
        let kind = |kind: &Kind| KindReport {
            name: kind.name.clone(),
            credit: Credit::default(),
            asked: 0,
            late: 0,
            refused: 0,
            failed: 0,
            first_ms: histogram(),
        };
        Self {
            kinds: scenario.kinds.iter().map(kind).collect(),
            zones: BTreeMap::new(),
            accounts: BTreeMap::new(),
            windows: BTreeMap::new(),
            work: Work::default(),
            imbalance: 1.0,
        }
    }

    /// Adds the end of a request.
    pub fn add(&mut self, scenario: &Scenario, answer: &Answer) {
        let spec = &scenario.kinds[answer.kind];
        let earned = answer.credit(spec);
        let kind = &mut self.kinds[answer.kind];
        kind.asked += 1;
        kind.credit.add(earned, spec.worth);
        match answer.outcome {
            Outcome::Answered if earned < spec.worth => kind.late += 1,
            Outcome::Answered => {}
            Outcome::Refused => kind.refused += 1,
            Outcome::Failed => kind.failed += 1,
        }
        if let Some(first_ms) = answer.first_ms {
            kind.first_ms.saturating_record(first_ms as u64);
        }
        let zone = self.zones.entry(answer.zone).or_default();
        zone.add(earned, spec.worth);
        let account = self.accounts.entry(answer.account).or_default();
        account.add(earned, spec.worth);
        let window = self.windows.entry(answer.asked_ms as u64 / WINDOW_MS);
        window.or_default().add(earned, spec.worth);
    }

    /// Sets what the engines have done.
    pub fn set_work(&mut self, works: &[Work]) {
        for work in works {
            self.work.read += work.read;
            self.work.reread += work.reread;
            self.work.cached += work.cached;
        }
        let busiest = works.iter().map(|work| work.read).max().unwrap_or(0);
        let mean = self.work.read as f64 / works.len().max(1) as f64;
        self.imbalance = busiest as f64 / mean.max(1.0);
    }

    /// Returns the credit of all requests.
    pub fn credit(&self) -> Credit {
        let mut all = Credit::default();
        for kind in &self.kinds {
            all.add(kind.credit.earned, kind.credit.owed);
        }
        all
    }

    /// Returns the smallest part earned in a window, by a zone and by an account.
    pub fn worst(&self) -> Worst {
        let least = |credits: &mut dyn Iterator<Item = &Credit>| {
            let parts = credits.map(|credit| credit.part());
            parts.fold(1.0, f64::min)
        };
        Worst {
            window: least(&mut self.windows.values()),
            zone: least(&mut self.zones.values()),
            account: least(&mut self.accounts.values()),
        }
    }
}

/// The smallest parts earned.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Worst {
    /// In a window of arrivals.
    pub window: f64,
    /// By an availability zone.
    pub zone: f64,
    /// By a client account.
    pub account: f64,
}

fn histogram() -> Histogram<u64> {
    match Histogram::new_with_bounds(1, MOST_MS, DIGITS) {
        Ok(histogram) => histogram,
        Err(error) => unreachable!("the bounds are constants: {error}"),
    }
}

/// The reports of several seeds under one policy.
#[derive(Debug, Clone)]
pub struct Summary {
    /// The sums, with histograms merged.
    pub kinds: Vec<KindReport>,
    /// Mean over the seeds of the part earned.
    pub credit: f64,
    /// The smallest and the largest part earned by a seed.
    pub spread: (f64, f64),
    /// Means over the seeds of the worst parts.
    pub worst: Worst,
    /// Mean part of the prompt tokens read that had been read before.
    pub reread: f64,
    /// Mean imbalance.
    pub imbalance: f64,
    /// Mean credit in each window of arrivals, in order.
    pub windows: Vec<f64>,
}

impl Summary {
    /// Sums up reports of one scenario; `None` if there are none.
    pub fn new(reports: &[Report]) -> Option<Self> {
        let (first, others) = reports.split_first()?;
        let mut kinds = first.kinds.clone();
        for kind in others
            .iter()
            .flat_map(|report| report.kinds.iter().enumerate())
        {
            let (index, other) = kind;
            let sum = &mut kinds[index];
            sum.credit.add(other.credit.earned, other.credit.owed);
            sum.asked += other.asked;
            sum.late += other.late;
            sum.refused += other.refused;
            sum.failed += other.failed;
            // Both histograms have the bounds of `histogram`, so that nothing is lost.
            sum.first_ms += &other.first_ms;
        }
        let mean = |value: &dyn Fn(&Report) -> f64| {
            reports.iter().map(value).sum::<f64>() / reports.len() as f64
        };
        let parts = reports.iter().map(|report| report.credit().part());
        let last = reports
            .iter()
            .filter_map(|report| report.windows.keys().max().copied())
            .max();
        let window = |index: u64| {
            mean(&move |report: &Report| report.windows.get(&index).map_or(1.0, |w| w.part()))
        };
        Some(Self {
            kinds,
            credit: mean(&|report| report.credit().part()),
            spread: parts.fold((1.0, 0.0), |(least, most), part| {
                (f64::min(least, part), f64::max(most, part))
            }),
            worst: Worst {
                window: mean(&|report| report.worst().window),
                zone: mean(&|report| report.worst().zone),
                account: mean(&|report| report.worst().account),
            },
            reread: mean(&|report| report.work.reread as f64 / report.work.read.max(1) as f64),
            imbalance: mean(&|report| report.imbalance),
            windows: (0..=last.unwrap_or(0)).map(window).collect(),
        })
    }

    /// Returns the summary as JSON.
    pub fn to_json(&self) -> Value {
        let kinds = self.kinds.iter().map(|kind| {
            json!({
                "name": kind.name,
                "credit": kind.credit.part(),
                "asked": kind.asked,
                "late": kind.late,
                "refused": kind.refused,
                "failed": kind.failed,
                "first_p50_ms": kind.first_ms.value_at_quantile(0.5),
                "first_p99_ms": kind.first_ms.value_at_quantile(0.99),
            })
        });
        json!({
            "credit": self.credit,
            "credit_least": self.spread.0,
            "credit_most": self.spread.1,
            "worst_window": self.worst.window,
            "worst_zone": self.worst.zone,
            "worst_account": self.worst.account,
            "reread_part": self.reread,
            "imbalance": self.imbalance,
            "windows": self.windows,
            "window_ms": WINDOW_MS,
            "kinds": kinds.collect::<Vec<Value>>(),
        })
    }
}
