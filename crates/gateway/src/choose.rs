//! The choice of a target, from plain inputs.
//!
//! Generations: prompts with a common start are cheap where that start is cached. Each start has
//! home targets that all entries find by rendezvous hashing, so that entries share one cache
//! without talking to each other. A home that is busy loses to another target as soon as waiting
//! there costs more than reading the shared parts again.
//!
//! Lanes: an engine reads a long prompt in steps that also hold up the next token of every stream
//! beside it. In each availability zone a part of the engines is kept for short prompts, so that
//! live streams do not run beside long ones, as long as the other lane has room.
//!
//! Plain services: the least loaded target, in this availability zone if it can.

use cyc_types::{Millis, hash};

use crate::call::PromptPart;

/// Homes of a common start, in rendezvous order.
const HOMES: usize = 2;
/// Prompts from this many tokens on are long: they take more than one step of an engine.
pub const LONG_TOKENS: u64 = 4_096;
/// Steps of reading that delay the streams beside them by less than a pause that callers notice.
const QUIET_STEPS: u64 = 2;
/// One engine of so many in an availability zone is kept for short prompts.
const SHORT_LANE_PART: usize = 5;
/// Key by which all entries rank the engines of a zone alike.
const LANE_KEY: u64 = 0x6c61_6e65;

/// The prompts that an engine is kept for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Lane {
    /// All of them.
    #[default]
    Any,
    /// Prompts below [`LONG_TOKENS`].
    Short,
    /// The others.
    Long,
}

impl Lane {
    fn fits(self, input: u64) -> bool {
        match self {
            Self::Any => true,
            Self::Short => input < LONG_TOKENS,
            Self::Long => input >= LONG_TOKENS,
        }
    }
}

/// Returns the lanes of the engines of one availability zone, by their ids. A zone with one
/// engine has no lanes.
pub fn lanes(ids: &[&str]) -> Vec<Lane> {
    let mut lanes = vec![Lane::Long; ids.len()];
    if ids.len() < 2 {
        return vec![Lane::Any; ids.len()];
    }
    let mut ranked: Vec<usize> = (0..ids.len()).collect();
    ranked.sort_by_key(|index| hash::rendezvous(LANE_KEY, ids[*index]));
    for index in ranked
        .into_iter()
        .take((ids.len() / SHORT_LANE_PART).max(1))
    {
        lanes[index] = Lane::Short;
    }
    lanes
}

/// The weights of the choice.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// Prompt tokens that an engine reads in a millisecond, until it is measured.
    pub prompt_tokens_per_ms: f64,
    /// Delay by each request that the target is known to run.
    pub running_ms: f64,
    /// Delay at a target that only reads prompts; grows with the square of that part of its time,
    /// since what runs there slows down the more, the less time is left.
    pub reading_ms: f64,
    /// Delay by each request that waits at the target.
    pub waiting_ms: f64,
    /// What reading a shared part again costs, relative to reading it: it also delays what runs
    /// beside it, and takes memory from other parts.
    pub reread_factor: f64,
    /// Delay that the other lane is taken for: what a long prompt costs the streams beside it.
    pub lane_ms: f64,
    /// What a step of reading beyond the second costs each stream that runs beside it.
    pub harm_ms: f64,
    /// Delay that a target in another availability zone is taken for; stands for the price of
    /// the bytes too.
    pub zone_ms: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            prompt_tokens_per_ms: 30.0,
            running_ms: 2.0,
            reading_ms: 600.0,
            waiting_ms: 60.0,
            reread_factor: 2.5,
            lane_ms: 250.0,
            harm_ms: 30.0,
            zone_ms: 12.0,
        }
    }
}

/// A target as input of the choice.
#[derive(Debug, Clone)]
pub struct Candidate<'a> {
    /// The target's id.
    pub id: &'a str,
    /// True if it is in this entry's availability zone.
    pub is_near: bool,
    /// True if all entries that ask for the same common start look at it.
    pub may_be_home: bool,
    /// The prompts that it is kept for.
    pub lane: Lane,
    /// Requests of this entry that it has not answered.
    pub in_flight: u32,
    /// Prompt tokens of this entry's requests that it has not finished reading.
    pub unread: u64,
    /// Requests of all entries that it runs, by its last answer.
    pub running: u32,
    /// Requests of all entries that wait there, by its last answer.
    pub waiting: u32,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// The part of its time that it spends on reading prompts, estimated from this entry's own
    /// requests and the number of entries. The tokens of all streams there wait meanwhile.
    pub reading_part: f64,
    /// Measured time of its answers over the expected one.
    pub slowness: f64,
    /// Leading shared parts of the prompt that this entry knows to be cached there.
    pub cached_parts: usize,
}

/// The request as input of the choice.
#[derive(Debug, Clone, Copy)]
pub struct Ask<'a> {
    /// Prompt tokens.
    pub input: u64,
    /// The parts that other requests may share.
    pub shared: &'a [PromptPart],
}

/// A choice with what it was made from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// Index of the candidate.
    pub index: usize,
    /// Estimated time until the request is read.
    pub estimate: Millis,
    /// Prompt tokens that have to be read.
    pub uncached: u64,
}

/// Chooses a target; `None` if there are no candidates.
pub fn choose(
    candidates: &[Candidate<'_>],
    ask: Option<Ask<'_>>,
    options: &Options,
) -> Option<Choice> {
    match ask {
        Some(ask) => choose_engine(candidates, ask, options),
        None => choose_plain(candidates, options),
    }
}

fn choose_engine(candidates: &[Candidate<'_>], ask: Ask<'_>, options: &Options) -> Option<Choice> {
    let homes = homes(candidates, ask);
    let shared: u64 = ask.shared.iter().map(|part| part.tokens.get()).sum();
    let own = ask.input.saturating_sub(shared);
    let costs = candidates.iter().enumerate().map(|(index, candidate)| {
        let rank = homes.iter().position(|home| *home == index);
        let uncached = uncached_tokens(candidate, rank, ask);
        let again = uncached.saturating_sub(own) as f64 * (options.reread_factor - 1.0);
        let reading = (candidate.unread + uncached) as f64 / options.prompt_tokens_per_ms;
        let running = f64::from(candidate.running.max(candidate.in_flight));
        let sharing = running * options.running_ms;
        let steps = (uncached / LONG_TOKENS).saturating_sub(QUIET_STEPS);
        let harm = running * steps as f64 * options.harm_ms;
        let queue = f64::from(candidate.waiting) * options.waiting_ms;
        let zone = if candidate.is_near {
            0.0
        } else {
            options.zone_ms
        };
        let busy = candidate.reading_part.powi(2) * options.reading_ms;
        let wait = (reading + sharing + queue) * candidate.slowness.max(0.1);
        let again = again / options.prompt_tokens_per_ms;
        let lane = match candidate.lane.fits(ask.input) {
            true => 0.0,
            false => options.lane_ms,
        };
        (
            wait + again + zone + lane + harm + busy,
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
    })
}

fn choose_plain(candidates: &[Candidate<'_>], options: &Options) -> Option<Choice> {
    let costs = candidates.iter().enumerate().map(|(index, candidate)| {
        let slots = f64::from(candidate.slots.max(1));
        let busy = f64::from(candidate.running.max(candidate.in_flight)) / slots;
        let queue = f64::from(candidate.waiting) * options.waiting_ms;
        let zone = if candidate.is_near {
            0.0
        } else {
            options.zone_ms
        };
        let wait = (busy * options.waiting_ms + queue) * candidate.slowness.max(0.1);
        (wait + zone, wait, index)
    });
    let best = costs.min_by(|a, b| a.0.total_cmp(&b.0))?;
    Some(Choice {
        index: best.2,
        estimate: Millis::new(best.1 as u64),
        uncached: 0,
    })
}

/// Returns the homes of the deepest shared part, in order.
fn homes(candidates: &[Candidate<'_>], ask: Ask<'_>) -> Vec<usize> {
    let Some(subject) = ask.shared.last() else {
        return Vec::new();
    };
    let weight = |index: &usize| hash::rendezvous(subject.id, candidates[*index].id);
    let fits = |index: &usize| {
        let candidate = &candidates[*index];
        candidate.may_be_home && candidate.lane.fits(ask.input)
    };
    let mut ranked: Vec<usize> = (0..candidates.len()).filter(fits).collect();
    ranked.sort_by_key(|index| std::cmp::Reverse(weight(index)));
    ranked.truncate(HOMES);
    ranked
}

/// Returns the tokens that have to be read: at the first home other entries' requests have
/// probably left the shared parts, at the second one perhaps.
fn uncached_tokens(candidate: &Candidate<'_>, rank: Option<usize>, ask: Ask<'_>) -> u64 {
    let all: u64 = ask.shared.iter().map(|part| part.tokens.get()).sum();
    let known = &ask.shared[..candidate.cached_parts.min(ask.shared.len())];
    let known: u64 = known.iter().map(|part| part.tokens.get()).sum();
    let assumed = match rank {
        Some(0) => all,
        Some(_) => all / 2,
        None => 0,
    };
    ask.input.saturating_sub(known.max(assumed))
}
