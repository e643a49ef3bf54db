//! Target selection, as a function of plain inputs without I/O.
//!
//! Model engines: prompts that share a prefix are cheap on an engine that has the prefix cached.
//! Each prefix has preferred targets that are the same on all entries (see [`affinity`]), so that
//! entries use one cache without coordination. A busy preferred target loses to another one as soon
//! as waiting there costs more than prefilling the shared parts again.
//!
//! [`affinity`]: crate::affinity
//!
//! Lanes: an engine prefills a long prompt in several steps, which also delay the next token of
//! every stream on that engine. In each availability zone some engines are set aside for short
//! prompts, so that streams of short prompts do not share an engine with long ones while the other
//! lane has capacity.
//!
//! Services whose targets report how long work takes at the moment have no lanes and are weighed by
//! [`timely`] instead.
//!
//! [`timely`]: crate::timely
//!
//! Plain services: the least loaded target, preferably in the entry's availability zone.

use cyc_types::Millis;

pub use crate::lane::{LONG_PROMPT_TOKENS, Lane, lanes};
use crate::prompt::PromptPart;

/// Prefill steps that delay concurrent streams by less than a pause that callers notice.
const UNNOTICED_PREFILL_STEPS: u64 = 2;
/// Cost weights of target selection.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// Prompt tokens that an engine is assumed to prefill per millisecond.
    pub prompt_tokens_per_ms: f64,
    /// Delay per request that the target is known to run.
    pub running_ms: f64,
    /// Delay on a target that spends all its time on prefill. It scales with the square of the
    /// fraction of time spent on prefill, because decoding slows down more the less time is left
    /// for it.
    pub prefill_ms: f64,
    /// Delay per request queued at the target.
    pub waiting_ms: f64,
    /// Cost of prefilling a shared part again, relative to its prefill time: prefill also delays
    /// concurrent requests and evicts other parts from the cache.
    pub reprefill_factor: f64,
    /// Penalty for using the other lane: the cost of a long prompt to the streams on the same
    /// engine.
    pub lane_ms: f64,
    /// Cost of each prefill step beyond the second to each concurrent stream.
    pub interference_ms: f64,
    /// Penalty for a target in another availability zone, which also covers the price of the
    /// traffic.
    pub zone_ms: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            prompt_tokens_per_ms: 30.0,
            running_ms: 2.0,
            prefill_ms: 600.0,
            waiting_ms: 60.0,
            reprefill_factor: 2.5,
            lane_ms: 250.0,
            interference_ms: 30.0,
            zone_ms: 12.0,
        }
    }
}

/// A target as an input of the selection.
#[derive(Debug, Clone)]
pub struct Candidate<'a> {
    /// Id of the target.
    pub id: &'a str,
    /// The target is in this entry's availability zone.
    pub is_same_zone: bool,
    /// Fraction of the shared parts that are assumed to be cached on the target, because other
    /// entries send prompts with the same prefix there.
    pub affinity: f64,
    /// The prompts that the target is set aside for.
    pub lane: Lane,
    /// Attempts of this entry at the target that have not ended.
    pub in_flight: u32,
    /// Prompt tokens of this entry's requests that the target has not prefilled.
    pub pending_tokens: u64,
    /// Requests of all entries that the target runs, as of its last response.
    pub running: u32,
    /// Requests of all entries queued at the target, as of its last response.
    pub waiting: u32,
    /// Requests that the target runs concurrently.
    pub slots: u32,
    /// Fraction of time that the target spends on prefill, estimated from this entry's own requests
    /// and the number of entries. Decoding of all streams on the target waits meanwhile.
    pub prefill_fraction: f64,
    /// Measured time to first byte relative to the expected one, averaged; 1 is normal.
    pub slowness: f64,
    /// Number of leading shared parts of the prompt that are probably cached on the target, because
    /// it has prefilled them for this entry recently.
    pub cached_parts: usize,
}

/// A prompt as an input of the selection.
#[derive(Debug, Clone, Copy)]
pub struct PromptInput<'a> {
    /// Tokens of the whole prompt.
    pub input: u64,
    /// The parts that other requests may have in common.
    pub shared: &'a [PromptPart],
}

impl PromptInput<'_> {
    /// Tokens of the parts that no other request has in common.
    pub fn unshared_tokens(&self) -> u64 {
        let shared: u64 = self.shared.iter().map(|part| part.tokens.get()).sum();
        self.input.saturating_sub(shared)
    }

    /// Estimates the tokens that a target has to prefill if it has this many leading shared parts
    /// cached, or this fraction of all.
    pub fn uncached_tokens(&self, cached_parts: usize, affinity: f64) -> u64 {
        let all: u64 = self.shared.iter().map(|part| part.tokens.get()).sum();
        let cached = &self.shared[..cached_parts.min(self.shared.len())];
        let cached: u64 = cached.iter().map(|part| part.tokens.get()).sum();
        let assumed = (all as f64 * affinity) as u64;
        self.input.saturating_sub(cached.max(assumed))
    }
}

/// The selected target and its estimates.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// Index into the candidates.
    pub index: usize,
    /// Estimated time until the prompt is prefilled; for plain services, the estimated wait.
    pub estimate: Millis,
    /// Prompt tokens that the target has to prefill; 0 for plain services.
    pub uncached: u64,
    /// Prompt tokens that this entry has sent the target before and that it has not prefilled.
    pub ahead: u64,
}

/// Selects a target; `None` if there are no candidates. `prompt` is `None` for plain services.
pub fn choose(
    candidates: &[Candidate<'_>],
    prompt: Option<PromptInput<'_>>,
    options: &Options,
) -> Option<Choice> {
    match prompt {
        Some(prompt) => choose_engine(candidates, prompt, options),
        None => choose_plain(candidates, options),
    }
}

fn choose_engine(
    candidates: &[Candidate<'_>],
    prompt: PromptInput<'_>,
    options: &Options,
) -> Option<Choice> {
    let shared: u64 = prompt.shared.iter().map(|part| part.tokens.get()).sum();
    let unshared = prompt.input.saturating_sub(shared);
    let costs = candidates.iter().enumerate().map(|(index, candidate)| {
        let uncached = uncached_tokens(candidate, prompt);
        let reprefill = uncached.saturating_sub(unshared) as f64 * (options.reprefill_factor - 1.0);
        let prefill = (candidate.pending_tokens + uncached) as f64 / options.prompt_tokens_per_ms;
        let running = f64::from(candidate.running.max(candidate.in_flight));
        let contention = running * options.running_ms;
        let steps = (uncached / LONG_PROMPT_TOKENS).saturating_sub(UNNOTICED_PREFILL_STEPS);
        let interference = running * steps as f64 * options.interference_ms;
        let queue = f64::from(candidate.waiting) * options.waiting_ms;
        let zone = if candidate.is_same_zone {
            0.0
        } else {
            options.zone_ms
        };
        let prefill_delay = candidate.prefill_fraction.powi(2) * options.prefill_ms;
        let wait = (prefill + contention + queue) * candidate.slowness.max(0.1);
        let reprefill = reprefill / options.prompt_tokens_per_ms;
        let lane = match candidate.lane.accepts(prompt.input) {
            true => 0.0,
            false => options.lane_ms,
        };
        (
            wait + reprefill + zone + lane + interference + prefill_delay,
            wait,
            index,
            uncached,
        )
    });
    let best = costs.min_by(|a, b| a.0.total_cmp(&b.0))?;
    Some(Choice {
        index: best.2,
        estimate: Millis::new(best.1 as u64),
        uncached: best.3,
        ahead: candidates[best.2].pending_tokens,
    })
}

fn choose_plain(candidates: &[Candidate<'_>], options: &Options) -> Option<Choice> {
    let costs = candidates.iter().enumerate().map(|(index, candidate)| {
        let slots = f64::from(candidate.slots.max(1));
        let utilization = f64::from(candidate.running.max(candidate.in_flight)) / slots;
        let queue = f64::from(candidate.waiting) * options.waiting_ms;
        let zone = if candidate.is_same_zone {
            0.0
        } else {
            options.zone_ms
        };
        let wait = (utilization * options.waiting_ms + queue) * candidate.slowness.max(0.1);
        (wait + zone, wait, index)
    });
    let best = costs.min_by(|a, b| a.0.total_cmp(&b.0))?;
    Some(Choice {
        index: best.2,
        estimate: Millis::new(best.1 as u64),
        uncached: 0,
        ahead: 0,
    })
}

fn uncached_tokens(candidate: &Candidate<'_>, prompt: PromptInput<'_>) -> u64 {
    prompt.uncached_tokens(candidate.cached_parts, candidate.affinity)
}
