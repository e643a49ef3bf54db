//! The requests of one seed.

use std::f64::consts::TAU;

use cyc_gateway::call::{Prompt, PromptPart};
use cyc_types::{Tokens, hash};
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};

use crate::scenario::{Kind, Scenario, Trouble, What, Work};

/// Spread of sizes and times: the standard deviation of their logarithm.
const SPREAD: f64 = 0.8;
/// Sizes and times are at most this many times their mean.
const MOST: f64 = 6.0;
/// Exponent by which few things get many of the requests; 1 would be even.
const THING_SKEW: f64 = 1.4;
/// The same for client accounts.
const ACCOUNT_SKEW: f64 = 2.0;

/// One request of a caller.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Index of its kind.
    pub kind: usize,
    /// The client account.
    pub account: u64,
    /// The entry that its caller is connected to.
    pub entry: usize,
    /// When it is sent, in ms.
    pub at_ms: f64,
    /// The prompt of a generation.
    pub prompt: Option<Prompt>,
    /// Tokens of the answer.
    pub output: u64,
    /// Time of a call at its target, in ms.
    pub work_ms: f64,
    /// Further tries of a caller that repeats at once, instead of coming back when advised.
    pub storm: u32,
}

/// Draws the requests of a scenario, in order of time.
pub fn draw(scenario: &Scenario, seed: u64) -> Vec<Request> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut requests = Vec::new();
    for (index, kind) in scenario.kinds.iter().enumerate() {
        let mut at_ms = 0.0;
        loop {
            let rate = kind.per_s * burst(scenario, kind, at_ms) / 1_000.0;
            let unit: f64 = rng.random();
            at_ms += -(1.0 - unit).ln() / rate.max(1e-9);
            if at_ms >= scenario.length.get() as f64 {
                break;
            }
            requests.push(request(scenario, index, at_ms, &mut rng));
        }
    }
    requests.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    requests
}

/// Returns true while a trouble concerns requests of a kind.
fn concerns(trouble: &Trouble, kind: &Kind, at_ms: f64) -> bool {
    let begin = trouble.at.get() as f64;
    let end = begin + trouble.span.get() as f64;
    (begin..end).contains(&at_ms) && trouble.kind.as_ref().is_none_or(|name| *name == kind.name)
}

fn find<'a>(scenario: &'a Scenario, what: What, kind: &Kind, at_ms: f64) -> Option<&'a Trouble> {
    let mut troubles = scenario.troubles.iter();
    troubles.find(|trouble| trouble.what == what && concerns(trouble, kind, at_ms))
}

fn burst(scenario: &Scenario, kind: &Kind, at_ms: f64) -> f64 {
    find(scenario, What::Burst, kind, at_ms).map_or(1.0, |trouble| trouble.x)
}

fn request(scenario: &Scenario, index: usize, at_ms: f64, rng: &mut StdRng) -> Request {
    let kind = &scenario.kinds[index];
    let mut hit = |what| {
        let share = find(scenario, what, kind, at_ms).map(|trouble| (trouble.share, trouble.x));
        share.filter(|(share, _)| rng.random::<f64>() < *share)
    };
    let is_hot = hit(What::HotThing).is_some();
    let is_hot_account = hit(What::HotAccount).is_some();
    let storm = hit(What::RetryStorm).map_or(0, |(_, x)| x as u32);
    let account = match is_hot_account {
        true => 0,
        false => skewed(scenario.accounts, ACCOUNT_SKEW, rng),
    };
    let mut request = Request {
        kind: index,
        account,
        entry: rng.random_range(0..scenario.entries),
        at_ms,
        prompt: None,
        output: 0,
        work_ms: 0.0,
        storm,
    };
    match &kind.work {
        Work::Call(mean) => request.work_ms = mean * spread(rng),
        Work::Generation {
            own_tokens,
            shared,
            events,
        } => {
            let part = |id, tokens| PromptPart {
                id,
                tokens: Tokens::new(tokens),
            };
            let mut parts = Vec::new();
            for (level, shared) in shared.iter().enumerate() {
                let thing = match is_hot {
                    true => 0,
                    false => skewed(shared.things, THING_SKEW, rng),
                };
                let id = hash::stable(format!("{index} {level} {thing}").as_bytes());
                parts.push(part(id, shared.tokens));
            }
            let own = (*own_tokens as f64 * spread(rng)).max(1.0) as u64;
            parts.push(part(rng.random(), own));
            let input: Tokens = parts.iter().map(|part| part.tokens).sum();
            let events = (*events as f64 * spread(rng)).max(1.0) as u64;
            request.output = events * scenario.engines.tokens_per_event;
            request.prompt = Some(Prompt {
                input,
                max_output: Tokens::new(request.output),
                parts,
            });
        }
    }
    request
}

fn skewed(count: u64, skew: f64, rng: &mut StdRng) -> u64 {
    let unit: f64 = rng.random();
    ((unit.powf(skew) * count as f64) as u64).min(count - 1)
}

/// Draws a factor with mean 1 from a log-normal distribution.
fn spread(rng: &mut StdRng) -> f64 {
    let (a, b): (f64, f64) = (rng.random(), rng.random());
    let normal = (-2.0 * (1.0 - a).ln()).sqrt() * (TAU * b).cos();
    (normal * SPREAD - SPREAD * SPREAD / 2.0).exp().min(MOST)
}
