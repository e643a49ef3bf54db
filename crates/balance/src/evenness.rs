//! How even the load of the targets of a service is, for operators.

use cyc_types::Millis;

/// The load of the targets of a service at a moment, as an entry expects it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Evenness {
    /// Work at the busiest target relative to the mean; 1 is even.
    pub busiest: f64,
    /// Mean age of the last reports.
    pub report_age: Millis,
    /// Targets that have reported their load.
    pub targets: usize,
}

/// Summarizes the work at targets and the ages of their last reports; `None` if none has any.
pub fn evenness(targets: impl Iterator<Item = (f64, Millis)>) -> Option<Evenness> {
    let (mut count, mut sum, mut most, mut age) = (0_usize, 0.0, 0.0_f64, 0_u64);
    for (work, report_age) in targets {
        count += 1;
        sum += work;
        most = most.max(work);
        age = age.saturating_add(report_age.get());
    }
    (count > 0).then(|| Evenness {
        busiest: match sum > 0.0 {
            true => most * count as f64 / sum,
            false => 1.0,
        },
        report_age: Millis::new(age / count as u64),
        targets: count,
    })
}
