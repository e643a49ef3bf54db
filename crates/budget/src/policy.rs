//! How much an entry draws, and when it returns what it does not use.

use cyc_types::{Millis, PerSecond, Tokens};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// The time of use that one adaptive draw should cover at weight 0.
const SHORT_COVER: Millis = Millis::new(500);
/// The time of use that one adaptive draw should cover at weight 100.
const LONG_COVER: Millis = Millis::new(600_000);
/// The largest weight.
pub const MAX_WEIGHT: u8 = 100;

/// How draws are sized. No policy can overspend: a draw never moves more than is free.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Policy {
    /// An equal part of what is free for each holder.
    Equal,
    /// A fixed amount.
    Fixed,
    /// What the entry uses in a while, less as the paid total runs out.
    Adaptive,
}

/// The settings of the draws.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Options {
    /// The policy.
    pub policy: Policy,
    /// From 0 (draw little, keep the rest free for others) to [`MAX_WEIGHT`] (draw much, so that
    /// an outage of the platform refuses less).
    pub weight: u8,
    /// The amount of a fixed draw.
    pub fixed: Tokens,
    /// Tokens that were not used for this long are returned.
    pub idle: Millis,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            policy: Policy::Adaptive,
            weight: 50,
            fixed: Tokens::new(100_000),
            idle: Millis::new(5_000),
        }
    }
}

/// What a draw is sized by.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// The tokens that waiting requests lack.
    pub need: Tokens,
    /// The rate of use at this entry.
    pub rate: PerSecond,
    /// The tokens free in the shard.
    pub free: Tokens,
    /// The number of holders, with this one.
    pub holders: u64,
}

impl Options {
    /// Returns how much to draw. It is at least `need`, unless less is free.
    pub fn draw(&self, demand: &Demand) -> Tokens {
        let holders = demand.holders.max(1);
        let share = demand.free.get() / holders;
        let wanted = match self.policy {
            Policy::Equal => scale(share, self.weight),
            Policy::Fixed => self.fixed.get(),
            Policy::Adaptive => self.cover(demand.rate).min(scale(share, self.weight)),
        };
        Tokens::new(wanted).max(demand.need).min(demand.free)
    }

    /// Returns what may stay in the wallet while requests use it. When less than that is free in
    /// the shard, other entries may lack tokens, and only a little stays.
    pub fn keep(&self, rate: PerSecond, free: Tokens) -> Tokens {
        if let Policy::Equal | Policy::Fixed = self.policy {
            return Tokens::ZERO;
        }
        let cover = self.cover(rate);
        let scarce = free.get() < cover;
        Tokens::new(if scarce {
            at_rate(rate, SHORT_COVER)
        } else {
            cover
        })
    }

    fn cover(&self, rate: PerSecond) -> u64 {
        let span = LONG_COVER.get() - SHORT_COVER.get();
        let cover = SHORT_COVER.get() + scale(span, self.weight);
        at_rate(rate, Millis::new(cover))
    }
}

/// Returns the tokens used in a span.
fn at_rate(rate: PerSecond, span: Millis) -> u64 {
    (rate.get() * span.get() as f64 / Millis::SECOND.get() as f64) as u64
}

fn scale(value: u64, weight: u8) -> u64 {
    let weight = u128::from(weight.min(MAX_WEIGHT));
    (u128::from(value) * weight / u128::from(MAX_WEIGHT)) as u64
}
