//! Metrics aggregated in the process and rendered as text.

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    io,
    sync::{Arc, Mutex, PoisonError},
};

use cadence::MetricSink;
use hdrhistogram::Histogram;
use smol_str::SmolStr;

/// The maximum of a timer's histogram; longer times are recorded as this value.
const MAX_TIMER_MS: u64 = 120_000;
const HISTOGRAM_SIGNIFICANT_DIGITS: u8 = 2;
const RENDERED_QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 1.0];
/// The maximum number of metrics; at this number, every further call of `emit` fails. The set of
/// names is closed, so reaching the limit is a defect.
const MAX_METRICS: usize = 512;

#[derive(Debug, Default)]
struct Aggregates {
    counters: BTreeMap<SmolStr, i64>,
    gauges: BTreeMap<SmolStr, f64>,
    timers: BTreeMap<SmolStr, Histogram<u64>>,
}

/// Aggregates metrics in the statsd format: sums of counters, last values of gauges and histograms
/// of timers.
#[derive(Debug, Clone, Default)]
pub struct Registry(Arc<Mutex<Aggregates>>);

impl Registry {
    /// Renders all metrics, one per line, as `name value`. Timers have a line
    /// `name_ms{quantile="q"}` per quantile and a line `name_ms_count`.
    pub fn render(&self) -> String {
        let aggregates = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mut text = String::new();
        // Writing to a `String` cannot fail.
        for (name, value) in &aggregates.counters {
            writeln!(text, "{name} {value}").ok();
        }
        for (name, value) in &aggregates.gauges {
            writeln!(text, "{name} {value}").ok();
        }
        for (name, histogram) in &aggregates.timers {
            for quantile in RENDERED_QUANTILES {
                let value = histogram.value_at_quantile(quantile);
                writeln!(text, "{name}_ms{{quantile=\"{quantile}\"}} {value}").ok();
            }
            writeln!(text, "{name}_ms_count {}", histogram.len()).ok();
        }
        text
    }
}

impl Aggregates {
    fn len(&self) -> usize {
        self.counters.len() + self.gauges.len() + self.timers.len()
    }

    fn record(&mut self, name: SmolStr, value: &str, kind: &str) -> Option<()> {
        match kind {
            "c" => *self.counters.entry(name).or_default() += value.parse::<i64>().ok()?,
            "g" => {
                self.gauges.insert(name, value.parse().ok()?);
            }
            _ => {
                let value: u64 = value.parse().ok()?;
                let new_histogram =
                    || Histogram::new_with_bounds(1, MAX_TIMER_MS, HISTOGRAM_SIGNIFICANT_DIGITS);
                if !self.timers.contains_key(&name) {
                    self.timers.insert(name.clone(), new_histogram().ok()?);
                }
                self.timers.get_mut(&name)?.saturating_record(value);
            }
        }
        Some(())
    }
}

impl MetricSink for Registry {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        let invalid = || io::Error::new(io::ErrorKind::InvalidData, metric.to_string());
        let (name, rest) = metric.split_once(':').ok_or_else(invalid)?;
        let (value, kind) = rest.split_once('|').ok_or_else(invalid)?;
        let mut aggregates = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if aggregates.len() >= MAX_METRICS {
            return Err(invalid());
        }
        aggregates
            .record(name.into(), value, kind)
            .ok_or_else(invalid)?;
        Ok(metric.len())
    }
}
