//! Generates the requests of a run from a seed.

use std::f64::consts::TAU;

use cyc_gateway::call::{PartId, Prompt, PromptPart};
use cyc_types::{Tokens, hash};
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};

use crate::scenario::{Disturbance, DisturbanceKind, Kind, Scenario, Work};

/// Standard deviation of the logarithm of sizes and service times.
const LOG_STD_DEV: f64 = 0.8;
/// Upper bound on sizes and service times, as a multiple of their mean.
const MAX_FACTOR: f64 = 6.0;
/// Exponent of the distribution of requests over shared prompt parts; 1 is uniform.
const PREFIX_SKEW: f64 = 1.4;
/// Exponent of the distribution of requests over client accounts; 1 is uniform.
const ACCOUNT_SKEW: f64 = 2.0;

/// One request of a caller.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Index of its kind in the scenario.
    pub kind: usize,
    /// Number of the client account.
    pub account: u64,
    /// Index of the entry that its caller is connected to.
    pub entry: usize,
    /// Time at which the caller sends it, in ms.
    pub sent_ms: f64,
    /// The prompt of a generation; `None` for a call.
    pub prompt: Option<Prompt>,
    /// Length of a generation's answer.
    pub output_tokens: u64,
    /// Service time of a call at its target, in ms.
    pub service_ms: f64,
    /// Additional retries of a caller that takes part in a retry storm and ignores the advised delay.
    pub storm_retries: u32,
}

/// Draws the requests of a scenario, in order of time. Arrivals of a kind are a Poisson process.
pub fn generate(scenario: &Scenario, seed: u64) -> Vec<Request> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut requests = Vec::new();
    for (index, kind) in scenario.kinds.iter().enumerate() {
        let mut at_ms = 0.0;
        loop {
            // Exponential interarrival times; the lower bound avoids a division by zero.
            let rate = kind.per_s * rate_factor(scenario, kind, at_ms) / 1_000.0;
            let unit: f64 = rng.random();
            at_ms += -(1.0 - unit).ln() / rate.max(1e-9);
            if at_ms >= scenario.duration.get() as f64 {
                break;
            }
            requests.push(request(scenario, index, at_ms, &mut rng));
        }
    }
    requests.sort_by(|a, b| a.sent_ms.total_cmp(&b.sent_ms));
    requests
}

/// Returns true if a disturbance affects requests of a kind at this time.
fn affects(disturbance: &Disturbance, kind: &Kind, at_ms: f64) -> bool {
    let begin = disturbance.start.get() as f64;
    let end = begin + disturbance.duration.get() as f64;
    (begin..end).contains(&at_ms)
        && disturbance
            .request_kind
            .as_ref()
            .is_none_or(|name| *name == kind.name)
}

fn active_disturbance<'a>(
    scenario: &'a Scenario,
    disturbance_kind: DisturbanceKind,
    kind: &Kind,
    at_ms: f64,
) -> Option<&'a Disturbance> {
    let mut disturbances = scenario.disturbances.iter();
    disturbances.find(|disturbance| {
        disturbance.kind == disturbance_kind && affects(disturbance, kind, at_ms)
    })
}

fn rate_factor(scenario: &Scenario, kind: &Kind, at_ms: f64) -> f64 {
    active_disturbance(scenario, DisturbanceKind::Burst, kind, at_ms)
        .map_or(1.0, |disturbance| disturbance.magnitude)
}

fn request(scenario: &Scenario, index: usize, at_ms: f64, rng: &mut StdRng) -> Request {
    let kind = &scenario.kinds[index];
    let mut draw_disturbance = |disturbance_kind| {
        let share = active_disturbance(scenario, disturbance_kind, kind, at_ms)
            .map(|disturbance| (disturbance.share, disturbance.magnitude));
        share.filter(|(share, _)| rng.random::<f64>() < *share)
    };
    let has_hot_prefix = draw_disturbance(DisturbanceKind::HotPrefix).is_some();
    let has_hot_account = draw_disturbance(DisturbanceKind::HotAccount).is_some();
    let storm_retries =
        draw_disturbance(DisturbanceKind::RetryStorm).map_or(0, |(_, magnitude)| magnitude as u32);
    let account = match has_hot_account {
        true => 0,
        false => skewed_index(scenario.accounts, ACCOUNT_SKEW, rng),
    };
    let mut request = Request {
        kind: index,
        account,
        entry: rng.random_range(0..scenario.entries),
        sent_ms: at_ms,
        prompt: None,
        output_tokens: 0,
        service_ms: 0.0,
        storm_retries,
    };
    match &kind.work {
        Work::Call(mean) => request.service_ms = mean * log_normal(rng),
        Work::Generation {
            own_tokens,
            shared,
            events,
        } => {
            let part = |id, tokens| PromptPart {
                id: PartId::new(id),
                tokens: Tokens::new(tokens),
            };
            let mut parts = Vec::new();
            for (level, shared) in shared.iter().enumerate() {
                let variant = match has_hot_prefix {
                    true => 0,
                    false => skewed_index(shared.variants, PREFIX_SKEW, rng),
                };
                let id = hash::stable(format!("{index} {level} {variant}").as_bytes());
                parts.push(part(id, shared.tokens));
            }
            let own = (*own_tokens as f64 * log_normal(rng)).max(1.0) as u64;
            parts.push(part(rng.random(), own));
            let input: Tokens = parts.iter().map(|part| part.tokens).sum();
            let events = (*events as f64 * log_normal(rng)).max(1.0) as u64;
            request.output_tokens = events * scenario.engines.tokens_per_event;
            request.prompt = Some(Prompt {
                input,
                max_output: Tokens::new(request.output_tokens),
                parts,
            });
        }
    }
    request
}

/// Draws an index below `count`; lower ones are more frequent if `skew` is above 1.
fn skewed_index(count: u64, skew: f64, rng: &mut StdRng) -> u64 {
    let unit: f64 = rng.random();
    ((unit.powf(skew) * count as f64) as u64).min(count - 1)
}

/// Draws a factor from a log-normal distribution with mean 1, cut off at [`MAX_FACTOR`].
fn log_normal(rng: &mut StdRng) -> f64 {
    // Box-Muller transform: a standard normal value from two uniform ones.
    let (a, b): (f64, f64) = (rng.random(), rng.random());
    let normal = (-2.0 * (1.0 - a).ln()).sqrt() * (TAU * b).cos();
    (normal * LOG_STD_DEV - LOG_STD_DEV * LOG_STD_DEV / 2.0)
        .exp()
        .min(MAX_FACTOR)
}
