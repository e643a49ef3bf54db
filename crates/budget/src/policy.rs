//! Sizes of draws, and how many tokens an entry keeps in its wallet.

use cyc_types::{Millis, PerSecond, Tokens};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// Span of use that one adaptive draw covers at weight 0.
const MIN_COVER: Millis = Millis::new(500);
/// Span of use that one adaptive draw covers at weight 100.
const MAX_COVER: Millis = Millis::new(600_000);
/// Upper bound of [`Options::weight`].
pub const MAX_WEIGHT: u8 = 100;

/// The rule by which draws are sized. No policy can overspend: a draw never moves more than the
/// free tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Policy {
    /// An equal share of the free tokens for each holder, scaled by [`Options::weight`].
    Equal,
    /// A fixed amount.
    Fixed,
    /// The expected use of the entry over a span that grows with [`Options::weight`], at most the
    /// draw under [`Policy::Equal`].
    Adaptive,
}

/// Settings of draws and returns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Options {
    /// The policy.
    pub policy: Policy,
    /// From 0 (small draws, which leave tokens free for other entries) to [`MAX_WEIGHT`] (large
    /// draws, which cause fewer refusals during an outage of the platform).
    pub weight: u8,
    /// Size of a draw under [`Policy::Fixed`].
    pub fixed: Tokens,
    /// The free tokens of a budget that no request has used for this long are returned to the
    /// shard. Also the interval of that check and of the summary refresh.
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

/// Inputs to the size of a draw.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// Tokens that waiting requests lack.
    pub need: Tokens,
    /// Rate of use at this entry.
    pub rate: PerSecond,
    /// Free tokens in the shard.
    pub free: Tokens,
    /// Number of holders, including this one.
    pub holders: u64,
}

impl Options {
    /// Tokens to draw: at least `need`, but no more than are free.
    pub fn draw_size(&self, demand: &Demand) -> Tokens {
        let holders = demand.holders.max(1);
        let share = demand.free.get() / holders;
        let wanted = match self.policy {
            Policy::Equal => scale_by_weight(share, self.weight),
            Policy::Fixed => self.fixed.get(),
            Policy::Adaptive => self
                .cover_tokens(demand.rate)
                .min(scale_by_weight(share, self.weight)),
        };
        Tokens::new(wanted).max(demand.need).min(demand.free)
    }

    /// Tokens that may stay in the wallet while requests use the budget. If fewer are free in the
    /// shard, other entries may lack tokens, and only the use over the shortest span is kept.
    /// Zero under [`Policy::Equal`] and [`Policy::Fixed`].
    pub fn retained(&self, rate: PerSecond, free: Tokens) -> Tokens {
        if let Policy::Equal | Policy::Fixed = self.policy {
            return Tokens::ZERO;
        }
        let cover_tokens = self.cover_tokens(rate);
        let is_scarce = free.get() < cover_tokens;
        Tokens::new(if is_scarce {
            tokens_at_rate(rate, MIN_COVER)
        } else {
            cover_tokens
        })
    }

    fn cover_tokens(&self, rate: PerSecond) -> u64 {
        let range = MAX_COVER.get() - MIN_COVER.get();
        let span_ms = MIN_COVER.get() + scale_by_weight(range, self.weight);
        tokens_at_rate(rate, Millis::new(span_ms))
    }
}

fn tokens_at_rate(rate: PerSecond, span: Millis) -> u64 {
    (rate.get() * span.get() as f64 / Millis::SECOND.get() as f64) as u64
}

fn scale_by_weight(value: u64, weight: u8) -> u64 {
    let weight = u128::from(weight.min(MAX_WEIGHT));
    (u128::from(value) * weight / u128::from(MAX_WEIGHT)) as u64
}
