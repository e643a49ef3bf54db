//! Metrics kept in the process and served as text.

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    io,
    sync::{Arc, Mutex, PoisonError},
};

use cadence::MetricSink;
use hdrhistogram::Histogram;
use smol_str::SmolStr;

/// The largest time that a histogram tells apart, in ms.
const MAX_TIME_MS: u64 = 120_000;
/// Digits of precision of the histograms.
const DIGITS: u8 = 2;
/// The quantiles that are served.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 1.0];
/// Most metrics that are kept; names are a closed set, so more are a fault.
const MAX_METRICS: usize = 512;

#[derive(Debug, Default)]
struct Values {
    counters: BTreeMap<SmolStr, i64>,
    gauges: BTreeMap<SmolStr, f64>,
    times: BTreeMap<SmolStr, Histogram<u64>>,
}

/// Takes metrics in the statsd form and keeps their sums, last values and histograms.
#[derive(Debug, Clone, Default)]
pub struct Registry(Arc<Mutex<Values>>);

impl Registry {
    /// Returns all metrics, one a line: `name value`, with `{quantile="q"}` for histograms.
    pub fn render(&self) -> String {
        let values = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mut text = String::new();
        // Writing to a string cannot fail.
        for (name, value) in &values.counters {
            writeln!(text, "{name} {value}").ok();
        }
        for (name, value) in &values.gauges {
            writeln!(text, "{name} {value}").ok();
        }
        for (name, times) in &values.times {
            for quantile in QUANTILES {
                let value = times.value_at_quantile(quantile);
                writeln!(text, "{name}_ms{{quantile=\"{quantile}\"}} {value}").ok();
            }
            writeln!(text, "{name}_ms_count {}", times.len()).ok();
        }
        text
    }
}

impl Values {
    fn len(&self) -> usize {
        self.counters.len() + self.gauges.len() + self.times.len()
    }

    fn take(&mut self, name: SmolStr, value: &str, kind: &str) -> Option<()> {
        match kind {
            "c" => *self.counters.entry(name).or_default() += value.parse::<i64>().ok()?,
            "g" => {
                self.gauges.insert(name, value.parse().ok()?);
            }
            _ => {
                let value: u64 = value.parse().ok()?;
                let new = || Histogram::new_with_bounds(1, MAX_TIME_MS, DIGITS);
                if !self.times.contains_key(&name) {
                    self.times.insert(name.clone(), new().ok()?);
                }
                self.times.get_mut(&name)?.saturating_record(value);
            }
        }
        Some(())
    }
}

impl MetricSink for Registry {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        let wrong = || io::Error::new(io::ErrorKind::InvalidData, metric.to_string());
        let (name, rest) = metric.split_once(':').ok_or_else(wrong)?;
        let (value, kind) = rest.split_once('|').ok_or_else(wrong)?;
        let mut values = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if values.len() >= MAX_METRICS {
            return Err(wrong());
        }
        values.take(name.into(), value, kind).ok_or_else(wrong)?;
        Ok(metric.len())
    }
}
