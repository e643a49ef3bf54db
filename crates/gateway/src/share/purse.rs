//! The tokens of one account at this entry, and its rate of use.

use std::collections::BTreeMap;

use cyc_types::{Millis, Tokens, Version, VmId};

use super::{Plan, Record, loan::Lent};

/// The largest request of the last while is remembered for this long.
const LARGEST_FOR: Millis = Millis::new(20_000);
/// Time constant of the measured rate of use.
const RATE_SPAN: Millis = Millis::new(3_000);
/// The use that homes keep drawn ahead: the store is away for up to 9 s at a time.
pub const COVER: Millis = Millis::new(10_000);

/// The tokens of one account at this entry.
#[derive(Debug, Clone, Default)]
pub(super) struct Purse {
    /// The prepaid total; `None` if the configuration in force has none.
    pub(super) paid: Option<Tokens>,
    pub(super) free: Tokens,
    pub(super) reserved: Tokens,
    /// The part of `reserved` that targets have already used: prompts of requests that run.
    pub(super) running: Tokens,
    /// What each waiting request needs.
    pub(super) waiting: Vec<Tokens>,
    /// When a request last found too few tokens.
    pub(super) short: Option<Millis>,
    /// Another entry said that less than this is left, which is believed until then.
    pub(super) exhausted: Option<(Tokens, Millis)>,
    /// Loans to other entries that they may still hold.
    pub(super) lent: BTreeMap<VmId, Lent>,
    /// This entry draws in place of the home until then.
    pub(super) stands_in: Option<Millis>,
    /// Tokens a second, exponentially averaged.
    rate: f64,
    rated: Millis,
    /// The most that one of the recent requests could cost, and when it came.
    largest: (Tokens, Millis),
    /// The record as last read or written, with its version; no version if there is none.
    pub(super) seen: Option<(Option<Version>, Record)>,
    /// When the record was last read or written.
    pub(super) read: Millis,
    /// `seen` may be outdated: a write met another version.
    pub(super) is_outdated: bool,
    /// When this entry last wrote the record.
    pub(super) wrote: Millis,
    /// Writes of this start.
    pub(super) writes: u64,
    /// The write whose outcome is not known. Invariant: no other write starts before it is.
    pub(super) pending: Option<Plan>,
    /// A send of `pending` got no answer, so that it may be made as long as the record has the
    /// version that it is based on.
    pub(super) is_unanswered: bool,
}

impl Purse {
    /// Returns what the waiting requests need together.
    pub(super) fn wanted(&self) -> Tokens {
        self.waiting.iter().copied().sum()
    }

    /// Returns what is not used yet.
    pub(super) fn unspent(&self) -> Tokens {
        self.free + self.reserved.saturating_sub(self.running)
    }

    fn rate(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.rated).get() as f64;
        self.rate * (-age / RATE_SPAN.get() as f64).exp()
    }

    pub(super) fn note_use(&mut self, used: Tokens, now: Millis) {
        let span_s = RATE_SPAN.get() as f64 / 1_000.0;
        self.rate = self.rate(now) + used.get() as f64 / span_s;
        self.rated = now;
    }

    pub(super) fn note_size(&mut self, worst: Tokens, now: Millis) {
        let is_old = now.saturating_sub(self.largest.1) > LARGEST_FOR;
        if is_old || worst >= self.largest.0 {
            self.largest = (worst, now);
        }
    }

    /// Returns the use in `span` that the measured rate lets expect.
    pub(super) fn expected(&self, span: Millis, now: Millis) -> Tokens {
        let expected = self.rate(now) * span.get() as f64 / 1_000.0;
        Tokens::new(expected as u64)
    }

    /// Returns what covers the expected use in [`COVER`], and one more large request.
    pub(super) fn cover(&self, now: Millis) -> Tokens {
        self.expected(COVER, now) + self.largest.0
    }
}
