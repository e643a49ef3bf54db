//! The choice of a target among the candidates.

use cyc_types::{AvailabilityZone, Millis, ModelId, ServiceId};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::{candidates::candidates, health::Standing, target::Target};

/// How targets are ranked.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Display, EnumString, EnumIter, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Rule {
    /// The smallest estimated time to the first token among the first candidates.
    #[default]
    Estimate,
    /// The smallest load among all targets.
    LeastLoaded,
    /// One target after the other.
    RoundRobin,
}

/// The terms of the estimate, in milliseconds, and the number of candidates.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// The rule.
    pub rule: Rule,
    /// Candidates that are weighed. Invariant: at least 1.
    pub candidates: usize,
    /// Delay by each request that is already at the target.
    pub request_ms: f64,
    /// Time to process one block of a prompt that is not cached.
    pub block_ms: f64,
    /// Extra delay of a target in another availability zone.
    pub zone_ms: f64,
    /// Delay where the model must be loaded first.
    pub model_ms: f64,
    /// Delay where the adapter must be loaded first.
    pub adapter_ms: f64,
    /// More candidates are weighed while the best estimate is above this.
    pub widen_ms: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            rule: Rule::default(),
            candidates: 4,
            request_ms: 60.0,
            block_ms: 10.0,
            zone_ms: 1.0,
            model_ms: 30_000.0,
            adapter_ms: 1_000.0,
            widen_ms: 600.0,
        }
    }
}

/// The request, as far as it matters here.
#[derive(Debug, Clone)]
pub struct Ask<'a> {
    /// The service.
    pub service: &'a ServiceId,
    /// The model, for a model service.
    pub model: Option<&'a ModelId>,
    /// The adapter, if one is wanted.
    pub adapter: Option<&'a ModelId>,
    /// The key of the candidates: of the prompt, or of the claim bucket.
    pub key: u64,
    /// Hashes of the prompt's prefixes.
    pub prefixes: &'a [u64],
    /// The availability zone of this entry.
    pub zone: &'a AvailabilityZone,
    /// The time, for the age of prefixes.
    pub now: Millis,
    /// Grows by 1 with each request, for [`Rule::RoundRobin`].
    pub turn: u64,
}

/// Ranks the targets for a request, as indexes: the first is to be tried first, the others are for
/// retries. Ejected targets come last rather than not at all. Empty if no target can take it.
pub fn choose(targets: &[Target], ask: &Ask<'_>, options: &Options) -> Vec<usize> {
    let mut ranked = match options.rule {
        Rule::Estimate => by_estimate(targets, ask, options),
        Rule::LeastLoaded => {
            let all = candidates(targets, ask.service, ask.model, ask.key, usize::MAX);
            sorted_by(all, |index| targets[index].load.estimate())
        }
        Rule::RoundRobin => {
            let mut all = candidates(targets, ask.service, ask.model, 0, usize::MAX);
            let turn = ask.turn as usize % all.len().max(1);
            all.rotate_left(turn);
            all
        }
    };
    ranked.sort_by_key(|index| targets[*index].standing);
    ranked
}

fn by_estimate(targets: &[Target], ask: &Ask<'_>, options: &Options) -> Vec<usize> {
    let mut count = options.candidates.max(1);
    loop {
        let found = candidates(targets, ask.service, ask.model, ask.key, count);
        let is_all = found.len() < count;
        let open = found.iter().map(|index| &targets[*index]);
        let open = open.filter(|target| target.standing != Standing::Ejected);
        let best = open.map(|target| estimate(target, ask, options));
        let is_good = best.fold(f64::INFINITY, f64::min) <= options.widen_ms;
        if is_good || is_all {
            return sorted_by(found, |index| estimate(&targets[index], ask, options));
        }
        count = count.saturating_mul(2);
    }
}

/// Returns the estimated time to the first token, in milliseconds.
pub fn estimate(target: &Target, ask: &Ask<'_>, options: &Options) -> f64 {
    let is_missing = |model: Option<&ModelId>| model.is_some_and(|model| !target.has(model));
    let known = target.prefixes.known_blocks(ask.prefixes, ask.now);
    let unknown = ask.prefixes.len().saturating_sub(known);
    let mut ms = target.load.estimate() * options.request_ms + unknown as f64 * options.block_ms;
    if target.zone != *ask.zone {
        ms += options.zone_ms;
    }
    if is_missing(ask.model) {
        ms += options.model_ms;
    }
    if is_missing(ask.adapter) {
        ms += options.adapter_ms;
    }
    ms
}

/// Sorts by cost; equal costs keep the order of the candidates.
fn sorted_by(indexes: Vec<usize>, cost: impl Fn(usize) -> f64) -> Vec<usize> {
    let weighed = indexes.into_iter().map(|index| (cost(index), index));
    let mut weighed: Vec<(f64, usize)> = weighed.collect();
    weighed.sort_by(|a, b| a.0.total_cmp(&b.0));
    weighed.into_iter().map(|(_, index)| index).collect()
}
