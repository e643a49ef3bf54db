//! Lanes: which engines of a service are set aside for short prompts, and which for long ones.
//!
//! An engine prefills a long prompt in several steps, which also delay the next token of every stream
//! on that engine. Without streams whose pauses matter, one engine in five of each availability zone
//! takes the short prompts.
//!
//! Where pauses matter, lanes are sized by the work that an entry sees its own requests cause, which
//! it assumes to be a like part of the work of all entries. All entries rank the engines in the same
//! order, so that two entries with different sizes differ only in the engines between them. Sizes
//! are multiples of a sixth and change only after the work has moved by most of that, so that
//! entries with somewhat different requests have the same sizes and prefixes stay where they are
//! cached.

use std::fmt;

use cyc_types::{Millis, hash};

use crate::{decay::DecayingSum, prompt::PromptSize, speed::Speed};

/// Prompts of at least this many tokens are long: they take more than one prefill step.
pub const LONG_PROMPT_TOKENS: u64 = 4_096;
/// One in this many engines of an availability zone is set aside for short prompts, but at least
/// one, as long as the work is not known.
const ENGINES_PER_SHORT_LANE: usize = 5;
/// Hash key with which all entries rank the engines of a zone in the same order.
const LANE_HASH_KEY: u64 = 0x6c61_6e65;
/// Time constant of the work: bursts of a few seconds move no engines between lanes.
const WORK_TIME_CONSTANT: Millis = Millis::new(20_000);
/// Time between two changes of the size.
const MIN_CHANGE_INTERVAL: Millis = Millis::new(5_000);
/// Sizes are multiples of one part in this many.
const PARTS: f64 = 6.0;
/// A size changes when the work differs from it by this many parts.
const HYSTERESIS_PARTS: f64 = 0.75;
/// Part of an engine's time that a full batch of streams takes; the rest can go to prefill.
const FULL_BATCH: f64 = 0.25;
/// Weight, in requests, of the size by count against the measured work.
const PRIOR_REQUESTS: f64 = 20.0;

/// The prompts that an engine is set aside for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Lane {
    /// All prompts.
    #[default]
    Any,
    /// Prompts below [`LONG_PROMPT_TOKENS`].
    Short,
    /// Prompts of at least [`LONG_PROMPT_TOKENS`].
    Long,
}

impl Lane {
    /// Returns true if prompts of `input` tokens belong to the lane.
    pub fn accepts(self, input: u64) -> bool {
        match self {
            Self::Any => true,
            Self::Short => input < LONG_PROMPT_TOKENS,
            Self::Long => input >= LONG_PROMPT_TOKENS,
        }
    }
}

/// Assigns lanes by count to the engines of one availability zone, given by their ids. A zone with a
/// single engine has no lanes.
pub fn lanes(ids: &[&str]) -> Vec<Lane> {
    if ids.len() < 2 {
        return vec![Lane::Any; ids.len()];
    }
    let mut lanes = vec![Lane::Long; ids.len()];
    let short = (ids.len() / ENGINES_PER_SHORT_LANE).max(1);
    for index in ranked(ids).into_iter().take(short) {
        lanes[index] = Lane::Short;
    }
    lanes
}

/// Assigns lanes to all engines of a service, given by the ids in each availability zone. `size` is
/// the part of the engines for short prompts. The engines of each zone are ranked on their own and
/// the zones take turns, so that all zones have both lanes if they have enough engines, and a
/// service with one engine in each zone has lanes too.
pub fn sized_lanes(zones: &[Vec<&str>], size: LaneSize) -> Vec<Vec<Lane>> {
    let count: usize = zones.iter().map(Vec::len).sum();
    if count < 2 {
        return zones.iter().map(|ids| vec![Lane::Any; ids.len()]).collect();
    }
    let mut lanes: Vec<Vec<Lane>> = zones
        .iter()
        .map(|ids| vec![Lane::Long; ids.len()])
        .collect();
    let mut order = Vec::with_capacity(count);
    for (zone, ids) in zones.iter().enumerate() {
        for (rank, index) in ranked(ids).into_iter().enumerate() {
            // Twice the rank and one more, as a fraction of the zone, in whole numbers.
            let turn = (2 * rank + 1) * count / ids.len();
            let weight = hash::rendezvous_weight(LANE_HASH_KEY, ids[index]);
            order.push((turn, weight, zone, index));
        }
    }
    order.sort_unstable();
    // Rounded down: an engine less in the lane of long prompts costs their cached parts.
    let short = (count as f64 * size.fraction()) as usize;
    for (_, _, zone, index) in order.into_iter().take(short.clamp(1, count - 1)) {
        lanes[zone][index] = Lane::Short;
    }
    lanes
}

fn ranked(ids: &[&str]) -> Vec<usize> {
    let mut ranked: Vec<usize> = (0..ids.len()).collect();
    ranked.sort_by_key(|index| hash::rendezvous_weight(LANE_HASH_KEY, ids[*index]));
    ranked
}

/// The part of the engines of a service that is set aside for short prompts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LaneSize {
    /// By count, as long as the work is not known.
    #[default]
    ByCount,
    /// This many sixths. Invariant: at least 1 and less than all.
    Parts(u8),
}

impl LaneSize {
    fn fraction(self) -> f64 {
        match self {
            Self::ByCount => 1.0 / ENGINES_PER_SHORT_LANE as f64,
            Self::Parts(parts) => f64::from(parts) / PARTS,
        }
    }
}

impl fmt::Display for LaneSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ByCount => write!(f, "1/{ENGINES_PER_SHORT_LANE}"),
            Self::Parts(parts) => write!(f, "{parts}/{PARTS}"),
        }
    }
}

/// The time average of a number.
#[derive(Debug, Clone, Copy, Default)]
struct TimeAverage {
    current: u32,
    average: f64,
    /// When `average` was exact.
    at: Millis,
}

impl TimeAverage {
    fn get(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.at).get() as f64;
        let kept = (-age / WORK_TIME_CONSTANT.get() as f64).exp();
        self.average * kept + f64::from(self.current) * (1.0 - kept)
    }

    fn set(&mut self, current: u32, now: Millis) {
        self.average = self.get(now);
        self.current = current;
        self.at = now;
    }
}

/// The work of this entry's requests of one lane.
#[derive(Debug, Clone, Copy, Default)]
struct Work {
    requests: DecayingSum,
    /// Tokens that engines had to prefill.
    prefill: DecayingSum,
    /// Requests at engines.
    streams: TimeAverage,
}

impl Work {
    /// The number of engines that the work keeps busy.
    fn engines(&self, capacity: EngineCapacity, now: Millis) -> f64 {
        let tokens = self.prefill.get(WORK_TIME_CONSTANT, now);
        let prefill = tokens * capacity.speed.ms_per_token / WORK_TIME_CONSTANT.get() as f64;
        let batch = self.streams.get(now) / f64::from(capacity.slots.max(1));
        prefill + batch * FULL_BATCH
    }
}

/// What one engine of a service can do.
#[derive(Debug, Clone, Copy)]
pub struct EngineCapacity {
    /// Its typical speed.
    pub speed: Speed,
    /// Requests that it runs concurrently.
    pub slots: u32,
}

/// The size of the lanes of a service, by the work of this entry's requests.
#[derive(Debug, Clone, Default)]
pub struct LanePlan {
    short: Work,
    long: Work,
    size: LaneSize,
    changed_at: Millis,
}

impl LanePlan {
    fn work_mut(&mut self, size: PromptSize) -> &mut Work {
        match Lane::Short.accepts(size.input.get()) {
            true => &mut self.short,
            false => &mut self.long,
        }
    }

    /// Records that a request is sent, of which an engine has to prefill `uncached` tokens.
    pub fn start(&mut self, size: PromptSize, uncached: u64, now: Millis) {
        let work = self.work_mut(size);
        work.requests.add(1.0, WORK_TIME_CONSTANT, now);
        work.prefill.add(uncached as f64, WORK_TIME_CONSTANT, now);
        work.streams.set(work.streams.current + 1, now);
    }

    /// Records that a request has ended at an engine.
    pub fn end(&mut self, size: PromptSize, now: Millis) {
        let work = self.work_mut(size);
        let current = work.streams.current.saturating_sub(1);
        work.streams.set(current, now);
    }

    /// The size of the lane for short prompts.
    pub fn size(&self) -> LaneSize {
        self.size
    }

    /// The part of the work that short prompts cause.
    fn short_fraction(&self, capacity: EngineCapacity, now: Millis) -> f64 {
        let requests = self.short.requests.get(WORK_TIME_CONSTANT, now)
            + self.long.requests.get(WORK_TIME_CONSTANT, now);
        let short = self.short.engines(capacity, now);
        let all = short + self.long.engines(capacity, now);
        if all <= 0.0 {
            return self.size.fraction();
        }
        let prior = LaneSize::ByCount.fraction();
        (prior * PRIOR_REQUESTS + short / all * requests) / (PRIOR_REQUESTS + requests)
    }

    /// Adapts the size to the work. Returns true if it has changed.
    pub fn update(&mut self, capacity: EngineCapacity, now: Millis) -> bool {
        if now.saturating_sub(self.changed_at) < MIN_CHANGE_INTERVAL {
            return false;
        }
        let fraction = self.short_fraction(capacity, now);
        if ((fraction - self.size.fraction()) * PARTS).abs() < HYSTERESIS_PARTS {
            return false;
        }
        let parts = (fraction * PARTS).round().clamp(1.0, PARTS - 1.0);
        let size = LaneSize::Parts(parts as u8);
        if size == self.size {
            return false;
        }
        self.size = size;
        self.changed_at = now;
        true
    }
}
