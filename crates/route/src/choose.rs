//! Ranks the candidate targets for a request.

use cyc_types::{AvailabilityZone, Millis, ModelId, ServiceId};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::{candidates::candidates, health::Availability, target::Target};

/// How targets are ranked.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Display, EnumString, EnumIter, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Rule {
    /// Lowest estimated time to first token among the first candidates.
    #[default]
    Estimate,
    /// Lowest load among all targets.
    LeastLoaded,
    /// Each request starts with the next target.
    RoundRobin,
}

/// The ranking rule, and the terms of the estimated time to first token in milliseconds.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// How targets are ranked.
    pub rule: Rule,
    /// Candidates that are compared initially. Invariant: at least 1.
    pub candidates: usize,
    /// Delay per request that the target already has.
    pub request_ms: f64,
    /// Prefill time of one prompt block that is not cached.
    pub block_ms: f64,
    /// Extra latency of a target in another availability zone.
    pub zone_ms: f64,
    /// Delay if the model must be loaded first.
    pub model_ms: f64,
    /// Delay if the adapter must be loaded first.
    pub adapter_ms: f64,
    /// The number of candidates doubles while the best estimate exceeds this limit.
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

/// The properties of a request that affect routing.
#[derive(Debug, Clone)]
pub struct RoutingRequest<'a> {
    /// The requested service.
    pub service: &'a ServiceId,
    /// The model, for a model service.
    pub model: Option<&'a ModelId>,
    /// The requested adapter, if any.
    pub adapter: Option<&'a ModelId>,
    /// Rendezvous key, for example a hash of the prompt or of the claim bucket.
    pub key: u64,
    /// Hashes of the prompt's prefixes, shortest first.
    pub prefixes: &'a [u64],
    /// Availability zone of this entry.
    pub zone: &'a AvailabilityZone,
    /// Current time, for the expiry of cached prefixes.
    pub now: Millis,
    /// Increases by 1 with each request, for [`Rule::RoundRobin`].
    pub request_number: u64,
}

/// Ranks the targets for a request and returns their indexes: the first is tried first, the others
/// are for retries. Ejected targets are ranked last instead of being left out. The result is empty
/// if no target can take the request.
pub fn choose(targets: &[Target], request: &RoutingRequest<'_>, options: &Options) -> Vec<usize> {
    let mut ranked = match options.rule {
        Rule::Estimate => rank_by_estimate(targets, request, options),
        Rule::LeastLoaded => {
            let all = candidates(
                targets,
                request.service,
                request.model,
                request.key,
                usize::MAX,
            );
            sort_by_cost(all, |index| targets[index].load.estimate())
        }
        Rule::RoundRobin => {
            let mut all = candidates(targets, request.service, request.model, 0, usize::MAX);
            let offset = request.request_number as usize % all.len().max(1);
            all.rotate_left(offset);
            all
        }
    };
    ranked.sort_by_key(|index| targets[*index].availability);
    ranked
}

fn rank_by_estimate(
    targets: &[Target],
    request: &RoutingRequest<'_>,
    options: &Options,
) -> Vec<usize> {
    let mut count = options.candidates.max(1);
    loop {
        let found = candidates(targets, request.service, request.model, request.key, count);
        let is_exhausted = found.len() < count;
        let eligible = found.iter().map(|index| &targets[*index]);
        let eligible = eligible.filter(|target| target.availability != Availability::Ejected);
        let best = eligible.map(|target| estimate(target, request, options));
        let is_within_limit = best.fold(f64::INFINITY, f64::min) <= options.widen_ms;
        if is_within_limit || is_exhausted {
            return sort_by_cost(found, |index| estimate(&targets[index], request, options));
        }
        count = count.saturating_mul(2);
    }
}

/// Estimates the time to first token, in milliseconds.
pub fn estimate(target: &Target, request: &RoutingRequest<'_>, options: &Options) -> f64 {
    let is_missing = |model: Option<&ModelId>| model.is_some_and(|model| !target.has_loaded(model));
    let cached = target.prefixes.cached_blocks(request.prefixes, request.now);
    let uncached = request.prefixes.len().saturating_sub(cached);
    let mut ms = target.load.estimate() * options.request_ms + uncached as f64 * options.block_ms;
    if target.zone != *request.zone {
        ms += options.zone_ms;
    }
    if is_missing(request.model) {
        ms += options.model_ms;
    }
    if is_missing(request.adapter) {
        ms += options.adapter_ms;
    }
    ms
}

/// Sorts by ascending cost; candidates of equal cost keep their order.
fn sort_by_cost(indexes: Vec<usize>, cost: impl Fn(usize) -> f64) -> Vec<usize> {
    let by_cost = indexes.into_iter().map(|index| (cost(index), index));
    let mut by_cost: Vec<(f64, usize)> = by_cost.collect();
    by_cost.sort_by(|a, b| a.0.total_cmp(&b.0));
    by_cost.into_iter().map(|(_, index)| index).collect()
}
