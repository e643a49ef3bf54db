//! The tokens of one account allocated to this entry, and their usage rate.

use std::collections::BTreeMap;

use cyc_types::{Millis, Tokens, Version, VmId};

use super::{Plan, Record, loan::Lent};

/// How long the largest recent request is remembered.
const LARGEST_FOR: Millis = Millis::new(20_000);
/// Time constant of the measured usage rate.
const RATE_SPAN: Millis = Millis::new(3_000);
/// Use that owners keep drawn in advance: outages of the store last up to 9 s.
pub const COVER: Millis = Millis::new(10_000);

/// Tokens of one account allocated to this entry.
#[derive(Debug, Clone, Default)]
pub(super) struct Purse {
    /// Prepaid total; `None` if the active configuration has none.
    pub(super) paid: Option<Tokens>,
    pub(super) free: Tokens,
    pub(super) reserved: Tokens,
    /// The part of `reserved` that targets have already used: prompts of running requests.
    pub(super) running: Tokens,
    /// Tokens needed by each waiting request.
    pub(super) waiting: Vec<Tokens>,
    /// When a request last found too few tokens.
    pub(super) short: Option<Millis>,
    /// Another entry reported that less than these tokens are left; valid until the given time.
    pub(super) exhausted: Option<(Tokens, Millis)>,
    /// Loans that other entries may still hold.
    pub(super) lent: BTreeMap<VmId, Lent>,
    /// This entry is acting owner until then.
    pub(super) stands_in: Option<Millis>,
    /// Tokens per second, exponentially averaged.
    rate: f64,
    rated: Millis,
    /// Maximum cost of the largest recent request, and its arrival.
    largest: (Tokens, Millis),
    /// The record as last read or written, with its version; no version if the record does not
    /// exist.
    pub(super) seen: Option<(Option<Version>, Record)>,
    /// When the record was last read or written.
    pub(super) read: Millis,
    /// `last_record` may be outdated: a write found another version.
    pub(super) is_outdated: bool,
    /// When this entry last wrote the record.
    pub(super) wrote: Millis,
    /// Writes of this incarnation.
    pub(super) writes: u64,
    /// The write whose outcome is unknown. Invariant: no other write starts before the outcome is
    /// known.
    pub(super) pending: Option<Plan>,
    /// An attempt of `pending` got no response, so the store may apply it as long as the record has
    /// the base version of the write.
    pub(super) is_unanswered: bool,
}

impl Purse {
    /// Tokens that all waiting requests need together.
    pub(super) fn wanted(&self) -> Tokens {
        self.waiting.iter().copied().sum()
    }

    /// Tokens that are not used yet.
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

    /// Expected use in `span` at the measured rate.
    pub(super) fn expected(&self, span: Millis, now: Millis) -> Tokens {
        let expected = self.rate(now) * span.get() as f64 / 1_000.0;
        Tokens::new(expected as u64)
    }

    /// Tokens that cover the expected use in [`DRAW_LOOKAHEAD`] and one more large request.
    pub(super) fn cover(&self, now: Millis) -> Tokens {
        self.expected(COVER, now) + self.largest.0
    }
}
