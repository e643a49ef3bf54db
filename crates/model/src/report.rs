//! Results of runs: credit earned, latencies and prompt tokens per run, and a summary over seeds.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde_json::{Value, json};
use smol_str::SmolStr;

use crate::{
    engine::PromptTokens,
    scenario::{Kind, Scenario},
};

/// Length of the windows by which credit is reported over time.
pub(crate) const WINDOW_MS: u64 = 2_000;
/// Precision of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Longer times are recorded as this.
const MAX_RECORDED_MS: u64 = 120_000;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// With a complete answer.
    Answered,
    /// With a refusal, or because the caller disconnected after a refusal.
    Refused,
    /// With a failure, or because the caller disconnected before any refusal.
    Failed,
}

/// The result of one request.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestResult {
    /// Index of its kind in the scenario.
    pub kind: usize,
    /// Number of its client account.
    pub account: u64,
    /// Index of the availability zone of its entry.
    pub zone: usize,
    /// Time at which the caller first sent it.
    pub sent_ms: f64,
    /// How it ended.
    pub outcome: Outcome,
    /// Time from the caller's first try to the first piece; `None` if no piece came.
    pub first_ms: Option<f64>,
    /// Longest pause between two pieces.
    pub longest_pause_ms: f64,
}

impl RequestResult {
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

/// Credit earned, and the most that could be earned.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Credit {
    /// Sum over the answers.
    pub earned: f64,
    /// Sum if all requests had been answered in time.
    pub attainable: f64,
}

impl Credit {
    fn add(&mut self, earned: f64, attainable: f64) {
        self.earned += earned;
        self.attainable += attainable;
    }

    /// Returns the fraction earned; 1 without any requests.
    pub fn ratio(self) -> f64 {
        match self.attainable > 0.0 {
            true => self.earned / self.attainable,
            false => 1.0,
        }
    }
}

/// Results of the requests of one kind.
#[derive(Debug, Clone)]
pub struct KindReport {
    /// Name of the kind.
    pub name: SmolStr,
    /// Credit of its requests.
    pub credit: Credit,
    /// Number of requests.
    pub requests: u64,
    /// Requests answered, but too late or with too long a pause.
    pub late: u64,
    /// Requests that ended with [`Outcome::Refused`].
    pub refused: u64,
    /// Requests that ended with [`Outcome::Failed`].
    pub failed: u64,
    /// Times to the first piece, of all requests with one, in ms.
    pub first_ms: Histogram<u64>,
}

/// The results of one run.
#[derive(Debug, Clone)]
pub struct Report {
    /// Results by kind, in the scenario's order.
    pub kinds: Vec<KindReport>,
    /// Credit by index of the availability zone.
    pub zones: BTreeMap<usize, Credit>,
    /// Credit by client account.
    pub accounts: BTreeMap<u64, Credit>,
    /// Credit by number of the window that contains [`RequestResult::sent_ms`].
    pub windows: BTreeMap<u64, Credit>,
    /// Sums over all engines.
    pub prompt_tokens: PromptTokens,
    /// Prompt tokens prefilled by the busiest engine, divided by the mean over engines.
    pub imbalance: f64,
}

impl Report {
    /// Creates an empty report.
    pub fn new(scenario: &Scenario) -> Self {
        let kind = |kind: &Kind| KindReport {
            name: kind.name.clone(),
            credit: Credit::default(),
            requests: 0,
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
            prompt_tokens: PromptTokens::default(),
            imbalance: 1.0,
        }
    }

    /// Adds the result of a request.
    pub fn add(&mut self, scenario: &Scenario, result: &RequestResult) {
        let spec = &scenario.kinds[result.kind];
        let earned = result.credit(spec);
        let kind = &mut self.kinds[result.kind];
        kind.requests += 1;
        kind.credit.add(earned, spec.worth);
        match result.outcome {
            Outcome::Answered if earned < spec.worth => kind.late += 1,
            Outcome::Answered => {}
            Outcome::Refused => kind.refused += 1,
            Outcome::Failed => kind.failed += 1,
        }
        if let Some(first_ms) = result.first_ms {
            kind.first_ms.saturating_record(first_ms as u64);
        }
        let zone = self.zones.entry(result.zone).or_default();
        zone.add(earned, spec.worth);
        let account = self.accounts.entry(result.account).or_default();
        account.add(earned, spec.worth);
        let window = self.windows.entry(result.sent_ms as u64 / WINDOW_MS);
        window.or_default().add(earned, spec.worth);
    }

    /// Sets the sums over the counters of all engines. Call it once, at the end of the run.
    pub fn set_prompt_tokens(&mut self, engines: &[PromptTokens]) {
        for engine in engines {
            self.prompt_tokens.prefilled += engine.prefilled;
            self.prompt_tokens.recomputed += engine.recomputed;
            self.prompt_tokens.cached += engine.cached;
        }
        let busiest = engines
            .iter()
            .map(|engine| engine.prefilled)
            .max()
            .unwrap_or(0);
        let mean = self.prompt_tokens.prefilled as f64 / engines.len().max(1) as f64;
        self.imbalance = busiest as f64 / mean.max(1.0);
    }

    /// Returns the sum over all kinds.
    pub fn credit(&self) -> Credit {
        let mut all = Credit::default();
        for kind in &self.kinds {
            all.add(kind.credit.earned, kind.credit.attainable);
        }
        all
    }

    /// Returns the smallest ratios of credit earned.
    pub fn worst_ratios(&self) -> WorstRatios {
        let min_ratio = |credits: &mut dyn Iterator<Item = &Credit>| {
            let ratios = credits.map(|credit| credit.ratio());
            ratios.fold(1.0, f64::min)
        };
        WorstRatios {
            window: min_ratio(&mut self.windows.values()),
            zone: min_ratio(&mut self.zones.values()),
            account: min_ratio(&mut self.accounts.values()),
        }
    }
}

/// The smallest ratios of credit earned.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorstRatios {
    /// Over windows of time.
    pub window: f64,
    /// Over availability zones.
    pub zone: f64,
    /// Over client accounts.
    pub account: f64,
}

fn histogram() -> Histogram<u64> {
    match Histogram::new_with_bounds(1, MAX_RECORDED_MS, SIGNIFICANT_DIGITS) {
        Ok(histogram) => histogram,
        Err(error) => unreachable!("the bounds are constants: {error}"),
    }
}

/// The reports of several seeds under one policy, summed up.
#[derive(Debug, Clone)]
pub struct Summary {
    /// Sums over the seeds by kind, with histograms merged.
    pub kinds: Vec<KindReport>,
    /// Mean over the seeds of the ratio of credit earned.
    pub credit_ratio: f64,
    /// Smallest and largest ratio of credit earned with a seed.
    pub credit_ratio_range: (f64, f64),
    /// Means over the seeds of the smallest ratios.
    pub worst: WorstRatios,
    /// Mean fraction of the prefilled tokens that some engine had already prefilled before.
    pub recomputed_fraction: f64,
    /// Mean of [`Report::imbalance`].
    pub imbalance: f64,
    /// Mean ratio of credit earned in each window, in order of time.
    pub windows: Vec<f64>,
}

impl Summary {
    /// Sums up reports of the same scenario; `None` if there are none.
    pub fn new(reports: &[Report]) -> Option<Self> {
        let (first, others) = reports.split_first()?;
        let mut kinds = first.kinds.clone();
        for kind in others
            .iter()
            .flat_map(|report| report.kinds.iter().enumerate())
        {
            let (index, other) = kind;
            let sum = &mut kinds[index];
            sum.credit.add(other.credit.earned, other.credit.attainable);
            sum.requests += other.requests;
            sum.late += other.late;
            sum.refused += other.refused;
            sum.failed += other.failed;
            // Both histograms have the same bounds, so no value is out of range.
            sum.first_ms += &other.first_ms;
        }
        let mean = |value: &dyn Fn(&Report) -> f64| {
            reports.iter().map(value).sum::<f64>() / reports.len() as f64
        };
        let ratios = reports.iter().map(|report| report.credit().ratio());
        let last = reports
            .iter()
            .filter_map(|report| report.windows.keys().max().copied())
            .max();
        let window = |index: u64| {
            mean(&move |report: &Report| report.windows.get(&index).map_or(1.0, |w| w.ratio()))
        };
        Some(Self {
            kinds,
            credit_ratio: mean(&|report| report.credit().ratio()),
            credit_ratio_range: ratios.fold((1.0, 0.0), |(min, max), ratio| {
                (f64::min(min, ratio), f64::max(max, ratio))
            }),
            worst: WorstRatios {
                window: mean(&|report| report.worst_ratios().window),
                zone: mean(&|report| report.worst_ratios().zone),
                account: mean(&|report| report.worst_ratios().account),
            },
            recomputed_fraction: mean(&|report| {
                report.prompt_tokens.recomputed as f64
                    / report.prompt_tokens.prefilled.max(1) as f64
            }),
            imbalance: mean(&|report| report.imbalance),
            windows: (0..=last.unwrap_or(0)).map(window).collect(),
        })
    }

    /// Returns the JSON that `cyclamen --json experiment` prints for a policy.
    pub fn to_json(&self) -> Value {
        let kinds = self.kinds.iter().map(|kind| {
            json!({
                "name": kind.name,
                "credit": kind.credit.ratio(),
                "asked": kind.requests,
                "late": kind.late,
                "refused": kind.refused,
                "failed": kind.failed,
                "first_p50_ms": kind.first_ms.value_at_quantile(0.5),
                "first_p99_ms": kind.first_ms.value_at_quantile(0.99),
            })
        });
        json!({
            "credit": self.credit_ratio,
            "credit_least": self.credit_ratio_range.0,
            "credit_most": self.credit_ratio_range.1,
            "worst_window": self.worst.window,
            "worst_zone": self.worst.zone,
            "worst_account": self.worst.account,
            "reread_part": self.recomputed_fraction,
            "imbalance": self.imbalance,
            "windows": self.windows,
            "window_ms": WINDOW_MS,
            "kinds": kinds.collect::<Vec<Value>>(),
        })
    }
}
