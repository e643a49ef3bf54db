//! Target selection for services whose targets report how long work takes at the moment.
//!
//! The cost of a target is the risk that the caller gets the first event or a later one too late,
//! the risk that streams on the target get an event too late because of this prompt, and the price
//! of the target's time. Machines differ in speed by a factor of two and slow down for some hundred
//! milliseconds when they get other work, so that a pause that nobody notices on one target is too
//! long on another. There are no lanes: long prompts avoid targets with many streams because they
//! delay all of them.
//!
//! Entries have similar views, so that the least cost of all would send the requests of all entries
//! to the same target until reports tell. Of the targets whose cost is near the least an entry
//! therefore takes one that it has sent little work lately, at random. If each entry spreads its own
//! requests, all of them together are spread better than by chance.

use cyc_types::Millis;

use crate::{
    choose::{Choice, PromptInput},
    load::ExpectedLoad,
    speed::{Pace, Speed},
};

/// Prompt tokens that an engine prefills in one step.
const STEP_TOKENS: f64 = 2_048.0;
/// Time of a step without prefill at the usual speed, in ms, and what each stream adds to it.
const DECODE_STEP_MS: f64 = 10.0;
const STREAM_STEP_MS: f64 = 0.08;
/// Exponent of the risk of being late: a time of 0.8 times the bound is late in one of seven cases,
/// one of 1.25 in six.
const RISK_EXPONENT: i32 = 8;
/// Longest part of the time that a target is assumed to spend on prefill.
const MAX_PREFILL_FRACTION: f64 = 0.9;
/// How long a machine has other work when it has: some 600 ms are seen.
const SPELL_MS: f64 = 600.0;
/// Part of the streams that have the longest burst of prefill within a spell, if they meet one.
const COINCIDENCE: f64 = 0.5;
/// Standard deviations of the number of prefill steps within one event that count as the longest.
const LONGEST_DEVIATIONS: f64 = 1.5;
/// Cost of making one concurrent stream late. It is below 1 because each stream meets many prompts
/// and is late only once.
const HARM: f64 = 0.1;
/// Cost of a millisecond of an idle target's time.
const WORK_COST: f64 = 0.0005;
/// Cost of a millisecond in which a target prefills a shared part again that another one has cached: it
/// also evicts other parts from the cache.
const REPREFILL_COST: f64 = 0.005;
/// Cost of the whole objective spent waiting for the first event.
const WAIT_COST: f64 = 0.2;
/// Cost of the last slot of a target.
const FULL_COST: f64 = 0.5;
/// Cost of a target whose memory is full; requests there wait or preempt others.
const MEMORY_COST: f64 = 0.5;
/// Part of a target's memory that requests use without waiting or preempting others.
const USABLE_MEMORY: f64 = 0.85;
/// Cost of another availability zone.
const ZONE_COST: f64 = 0.01;
/// Targets that cost at most this much more than the best one are as good, given how little is
/// known of them.
const NEAR_COST: f64 = 0.02;
/// Difference of the work that an entry has sent two targets lately which is no reason to prefer one.
const ALIKE_MS: f64 = 10.0;
/// Objective of requests that have none.
const DEFAULT_OBJECTIVE: Millis = Millis::new(1_000);
/// Slowness up to which a target counts as normal; the reported speed explains the rest.
const NORMAL_SLOWNESS: f64 = 2.0;

/// Which pauses between the events of a stream its callers notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pauses {
    /// The longest pause with which an answer is on time.
    pub longest: Millis,
    /// Output tokens per event. Each takes a step, and each step may prefill a part of a prompt.
    pub tokens_per_event: u32,
}

/// A target as an input of the selection.
#[derive(Debug, Clone, Copy)]
pub struct Engine {
    /// The target is in this entry's availability zone.
    pub is_same_zone: bool,
    /// Fraction of the shared parts that are assumed to be cached on the target.
    pub affinity: f64,
    /// Number of leading shared parts of the prompt that are probably cached on the target.
    pub cached_parts: usize,
    /// Prompt tokens of this entry's requests that the target has not prefilled.
    pub pending_tokens: u64,
    /// Requests of all entries at the target.
    pub load: ExpectedLoad,
    /// Time that the target takes for what this entry has sent it lately, in ms.
    pub recent_ms: f64,
    /// Requests that the target runs concurrently.
    pub slots: u32,
    /// Fraction of time that the target spends on prefill for all entries.
    pub prefill_fraction: f64,
    /// Delay and prefill rate of the target on a machine of usual speed.
    pub speed: Speed,
    /// How long work takes on the target's machine.
    pub pace: Pace,
    /// Estimated fraction of the target's memory that requests hold; 0 if its size is not known.
    pub memory_fraction: f64,
    /// Fraction of the target's memory that the whole prompt and its answer would take.
    pub own_memory_fraction: f64,
    /// Measured time to first byte relative to the expected one, averaged; 1 is normal.
    pub slowness: f64,
}

/// What the requests of a service have in common.
#[derive(Debug, Clone, Copy)]
pub struct Workload {
    /// Fraction of time that the targets spend on prefill in the mean.
    pub prefill_fraction: f64,
    /// Tokens that a target prefills for the prompt that it is busy with at a random moment.
    pub burst_tokens: f64,
    /// The pauses that matter to the streams of the service, if any do.
    pub pauses: Option<Pauses>,
    /// Part of the time in which a machine has other work.
    pub spell_fraction: f64,
    /// How much longer work takes meanwhile.
    pub spell_factor: f64,
}

/// A request as an input of the selection.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// The prompt.
    pub prompt: PromptInput<'a>,
    /// Time within which the first event should come.
    pub objective: Option<Millis>,
    /// The pauses that matter to the caller, if the answer is a stream.
    pub pauses: Option<Pauses>,
    /// Maximum number of output tokens.
    pub output: u64,
}

/// The chance that something is late that is expected to take this fraction of its bound.
fn risk(fraction: f64) -> f64 {
    let power = fraction.max(0.0).powi(RISK_EXPONENT);
    match power.is_finite() {
        true => power / (1.0 + power),
        false => 1.0,
    }
}

impl Workload {
    /// The risk of something that takes this fraction of its bound on a machine without other work,
    /// if it meets a spell with this chance.
    fn risk_over(&self, fraction: f64, spell: f64) -> f64 {
        (1.0 - spell) * risk(fraction) + spell * risk(fraction * self.spell_factor)
    }

    /// The chance that work that starts now and takes this fraction of its bound at the factor 1 is
    /// late: at the reported factor as far as the report still holds.
    fn risk_now(&self, fraction: f64, pace: &Pace) -> f64 {
        let usual = self.risk_over(fraction * pace.usual, self.spell_fraction);
        pace.kept * risk(fraction * pace.reported) + (1.0 - pace.kept) * usual
    }
}

impl Engine {
    fn prefill_fraction(&self) -> f64 {
        self.prefill_fraction.clamp(0.0, MAX_PREFILL_FRACTION)
    }

    fn decode_step_ms(&self) -> f64 {
        DECODE_STEP_MS + STREAM_STEP_MS * self.load.running
    }

    /// Time of an event in which `steps` steps prefill, at the factor 1.
    fn event_ms(&self, pauses: Pauses, steps: f64) -> f64 {
        let events = f64::from(pauses.tokens_per_event.max(1));
        let prefill = STEP_TOKENS * self.speed.ms_per_token;
        events * self.decode_step_ms() + steps.min(events) * prefill
    }

    /// The most prefill steps within one event that a stream of `events` events should expect.
    fn longest_burst(&self, workload: &Workload, pauses: Pauses, events: f64) -> f64 {
        let busy = self.prefill_fraction();
        let decode = self.decode_step_ms();
        let prefill = decode + STEP_TOKENS * self.speed.ms_per_token;
        // The part of the steps that prefill, from the part of the time.
        let part = busy * decode / (busy * decode + (1.0 - busy) * prefill);
        let steps = f64::from(pauses.tokens_per_event.max(1));
        let others = part * steps + LONGEST_DEVIATIONS * (part * (1.0 - part) * steps).sqrt();
        let is_met = 1.0 - (-busy * events / 4.0).exp();
        others.max(workload.burst_tokens / STEP_TOKENS * is_met + part * steps)
    }

    fn pause_risk(&self, request: &Request<'_>, workload: &Workload) -> f64 {
        let Some(pauses) = request.pauses else {
            return 0.0;
        };
        let longest = (pauses.longest.get() as f64).max(1.0);
        let tokens = request.output.max(1) as f64;
        let events = (tokens / f64::from(pauses.tokens_per_event.max(1))).max(1.0);
        let burst = self.longest_burst(workload, pauses, events);
        let fraction = self.event_ms(pauses, burst) * self.pace.usual / longest;
        let lasts_ms = tokens * self.decode_step_ms() * self.pace.usual
            / (1.0 - self.prefill_fraction()).max(0.1);
        let spell = 1.0 - (-workload.spell_fraction * (1.0 + lasts_ms / SPELL_MS)).exp();
        workload.risk_over(fraction, spell * COINCIDENCE)
    }

    /// The streams on the target that the prompt is expected to make late.
    fn harm(&self, uncached: f64, workload: &Workload) -> f64 {
        let Some(pauses) = workload.pauses else {
            return 0.0;
        };
        let longest = (pauses.longest.get() as f64).max(1.0);
        let steps = uncached / STEP_TOKENS;
        // What the target prefills anyway may come in the same event.
        let beside = self.prefill_fraction() * workload.burst_tokens / STEP_TOKENS;
        let with = self.event_ms(pauses, beside + steps) / longest;
        let without = self.event_ms(pauses, beside) / longest;
        let added = workload.risk_now(with, &self.pace) - workload.risk_now(without, &self.pace);
        self.load.running * added.max(0.0)
    }

    /// Time to the first event at the factor 1.
    fn first_event_ms(&self, uncached: f64, workload: &Workload) -> f64 {
        let queue = |busy: f64| {
            let busy = busy.clamp(0.0, MAX_PREFILL_FRACTION);
            busy / (1.0 - busy)
        };
        // The learnt delay contains the usual wait behind the prompts of other entries.
        let busier = queue(self.prefill_fraction) - queue(workload.prefill_fraction);
        let others = (workload.burst_tokens * busier).max(-workload.burst_tokens);
        let tokens = self.pending_tokens as f64 + uncached + others;
        let slots = f64::from(self.slots.max(1));
        let beyond = (self.load.running + 1.0 - slots).max(0.0) + self.load.waiting;
        let slot_ms = SPELL_MS / slots;
        let busy = self.speed.delay_ms + tokens.max(0.0) * self.speed.ms_per_token;
        (busy + beyond * slot_ms) * (self.slowness / NORMAL_SLOWNESS).max(1.0)
    }

    fn cost(&self, request: &Request<'_>, workload: &Workload) -> (f64, f64, u64) {
        let uncached = request
            .prompt
            .uncached_tokens(self.cached_parts, self.affinity);
        let objective = request.objective.unwrap_or(DEFAULT_OBJECTIVE);
        let first_ms = self.first_event_ms(uncached as f64, workload);
        let fraction = first_ms / (objective.get() as f64).max(1.0);
        let estimate = first_ms * self.pace.expected();
        let late = workload.risk_now(fraction, &self.pace);
        let wait = WAIT_COST * fraction * self.pace.expected();
        let paused = self.pause_risk(request, workload);
        let harm = HARM * self.harm(uncached as f64, workload);
        let free = 1.0 - self.prefill_fraction();
        let token_ms = self.speed.ms_per_token * self.pace.usual;
        let work = WORK_COST * uncached as f64 * token_ms / (free * free);
        let again = uncached.saturating_sub(request.prompt.unshared_tokens());
        let reprefill = REPREFILL_COST * again as f64 * token_ms;
        let requests = self.load.running + self.load.waiting + 1.0;
        let filled = requests / f64::from(self.slots.max(1));
        let full = FULL_COST * filled.powi(3);
        let memory = self.memory_fraction + self.own_memory_fraction - USABLE_MEMORY;
        let memory = MEMORY_COST * (memory / (1.0 - USABLE_MEMORY)).clamp(0.0, 2.0);
        let zone = if self.is_same_zone { 0.0 } else { ZONE_COST };
        let cost = late + wait + paused + harm + work + reprefill + full + memory + zone;
        (cost, estimate, uncached)
    }
}

/// Selects a target; `None` if there are no candidates. `draw`, from 0 to 1, selects among those
/// that are as good.
pub fn choose(
    candidates: &[Engine],
    request: &Request<'_>,
    workload: &Workload,
    draw: f64,
) -> Option<Choice> {
    let costs = candidates
        .iter()
        .map(|candidate| candidate.cost(request, workload));
    let costs: Vec<(f64, f64, u64)> = costs.collect();
    let least = costs
        .iter()
        .map(|(cost, ..)| *cost)
        .min_by(f64::total_cmp)?;
    let near = || {
        let all = costs.iter().zip(candidates).enumerate();
        all.filter(|(_, ((cost, ..), _))| *cost <= least + NEAR_COST)
            .map(|(index, (_, candidate))| (index, candidate))
    };
    let recent = near().map(|(_, candidate)| candidate.recent_ms);
    let recent = recent.min_by(f64::total_cmp)? + ALIKE_MS;
    let near = || {
        let rested = near().filter(|(_, candidate)| candidate.recent_ms <= recent);
        rested.map(|(index, candidate)| (index, 1.0 / candidate.pace.usual.max(0.1)))
    };
    let mut left = draw * near().map(|(_, weight)| weight).sum::<f64>();
    let drawn = near().find(|(_, weight)| {
        left -= weight;
        left < 0.0
    });
    let (index, _) = drawn.or_else(|| near().next())?;
    let (_, estimate, uncached) = costs[index];
    Some(Choice {
        index,
        estimate: Millis::new(estimate as u64),
        uncached,
        ahead: candidates[index].pending_tokens,
    })
}
