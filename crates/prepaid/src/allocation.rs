//! The tokens of one account allocated to this entry, and their usage rate.

use std::collections::BTreeMap;

use cyc_types::{Era, Millis, Tokens, Version, VmId};

use crate::{
    Record, RecordWrite, Totals, UnansweredReturn,
    delivery::LastMessages,
    last_tokens::{self, Claim},
    loan::{Loan, RefusedLoan},
    recovery::Evidence,
};

/// How long the largest recent request is remembered.
const LARGEST_REQUEST_TTL: Millis = Millis::new(20_000);
/// Time constant of the measured usage rate.
const RATE_TIME_CONSTANT: Millis = Millis::new(3_000);
/// Weight of a new request in the average of the used fraction.
const USED_FRACTION_WEIGHT: f64 = 0.1;
/// Owners hold tokens for the expected use in this time: outages of the store last up to 9 s.
pub const DRAW_LOOKAHEAD: Millis = Millis::new(10_000);

/// A request that waits for tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaiterId(pub(crate) u64);

/// Tokens of one account allocated to this entry.
#[derive(Debug, Clone, Default)]
pub(crate) struct Allocation {
    /// Prepaid total; `None` if the active configuration has none.
    pub(crate) paid: Option<Tokens>,
    pub(crate) free: Tokens,
    pub(crate) reserved: Tokens,
    /// The part of `reserved` that targets have already used: prompts of running requests.
    pub(crate) running: Tokens,
    /// The waiting requests of this entry, and the requests for loans that wait here.
    pub(crate) waiting: Vec<(WaiterId, Claim)>,
    /// Waiting requests that got tokens during a shortage.
    pub(crate) turns: u64,
    /// When a request last found too few tokens.
    pub(crate) short_at: Option<Millis>,
    /// Why another entry last refused a loan.
    pub(crate) refused_loan: Option<RefusedLoan>,
    /// Loans that other entries may still hold.
    pub(crate) loans: BTreeMap<VmId, Loan>,
    /// The last messages from the other entries. Entries that are gone leave some bytes.
    pub(crate) last_messages: BTreeMap<VmId, LastMessages>,
    /// Lenders that did not reply to the last requests, with the number of the first of these.
    pub(crate) unanswered_loans: BTreeMap<VmId, u64>,
    /// A return without response. Invariant: none other is sent before it is resolved.
    pub(crate) unanswered_return: Option<UnansweredReturn>,
    /// This entry is acting owner until then.
    pub(crate) acting_owner_until: Option<Millis>,
    /// Tokens per second, exponentially averaged.
    rate: f64,
    rate_at: Millis,
    /// Maximum cost of the largest recent request, and when it ended.
    largest: (Tokens, Millis),
    /// Fraction of their reserved tokens that requests use, averaged; zero before the first one.
    pub(crate) used_fraction: f64,
    /// The record as last read or written, with its version; no version if the record does not
    /// exist.
    pub(crate) last_record: Option<(Option<Version>, Record)>,
    /// When the record was last read or written.
    pub(crate) read_at: Millis,
    /// `last_record` may be outdated: a write found another version.
    pub(crate) is_outdated: bool,
    /// When this entry last wrote the record.
    pub(crate) written_at: Millis,
    /// Writes of this incarnation.
    pub(crate) writes: u64,
    /// Number of its last write that is known to be applied.
    pub(crate) last_applied: u64,
    /// Tokens moved by them.
    pub(crate) totals: Totals,
    /// Newest known states of the record's holders.
    pub(crate) evidence: Evidence,
    /// The record may lack writes that the store has acknowledged.
    pub(crate) must_recover: bool,
    /// What `last_record` contains of them beyond the record in the store.
    pub(crate) recovered: Totals,
    /// The write whose outcome is unknown. Invariant: no other write starts before the outcome is
    /// known.
    pub(crate) pending: Option<RecordWrite>,
    /// An attempt of a write waits for its response. Invariant: no other attempt is sent meanwhile, whichever
    /// task asks, since the conflict of a second one would say nothing about the first.
    pub(crate) is_sending: bool,
    /// `pending` contains all that its record lacked.
    pub(crate) does_pending_recover: bool,
    /// Epoch of the record that `pending` was made from; `None` for a record of an earlier version.
    pub(crate) pending_epoch: Option<u64>,
    /// Era of the store when `pending` was planned.
    pub(crate) pending_era: Era,
    /// An attempt of `pending` got no response, so the store may apply it as long as the record has
    /// the base version of the write.
    pub(crate) is_unanswered: bool,
}

impl Allocation {
    /// Tokens that all waiting requests need together.
    pub(crate) fn total_waiting(&self) -> Tokens {
        self.waiting.iter().map(|(_, claim)| claim.tokens).sum()
    }

    /// Tokens that the smallest waiting request needs.
    pub(crate) fn smallest_waiting(&self) -> Option<Tokens> {
        self.waiting.iter().map(|(_, claim)| claim.tokens).min()
    }

    /// Returns true if the free tokens serve the waiting request at its turn.
    pub(crate) fn is_next(&self, waiter: WaiterId) -> bool {
        let claims: Vec<Claim> = self.waiting.iter().map(|(_, claim)| *claim).collect();
        let index = self.waiting.iter().position(|(id, _)| *id == waiter);
        index.is_some_and(|index| last_tokens::is_served(index, self.free, &claims, self.turns))
    }

    /// Reserved tokens that running requests will probably not use.
    pub(crate) fn expected_rest(&self) -> Tokens {
        let unused = self.reserved.get() as f64 * (1.0 - self.used_fraction);
        let unused = Tokens::new(unused as u64);
        unused.min(self.reserved.saturating_sub(self.running))
    }

    /// Tokens that are not used yet.
    pub(crate) fn unspent(&self) -> Tokens {
        self.free + self.reserved.saturating_sub(self.running)
    }

    fn rate(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.rate_at).get() as f64;
        self.rate * (-age / RATE_TIME_CONSTANT.get() as f64).exp()
    }

    pub(crate) fn record_use(&mut self, used: Tokens, now: Millis) {
        let span_s = RATE_TIME_CONSTANT.get() as f64 / 1_000.0;
        self.rate = self.rate(now) + used.get() as f64 / span_s;
        self.rate_at = now;
    }

    /// Takes back a part of the recorded use.
    pub(crate) fn remove_use(&mut self, unused: Tokens, now: Millis) {
        let span_s = RATE_TIME_CONSTANT.get() as f64 / 1_000.0;
        self.rate = (self.rate(now) - unused.get() as f64 / span_s).max(0.0);
        self.rate_at = now;
    }

    /// Maximum cost of the largest recent request; zero if there was none.
    pub(crate) fn largest_request(&self, now: Millis) -> Tokens {
        let is_old = now.saturating_sub(self.largest.1) > LARGEST_REQUEST_TTL;
        if is_old { Tokens::ZERO } else { self.largest.0 }
    }

    /// Records a finished request that used `used` of `max_cost` reserved tokens.
    pub(crate) fn record_request(&mut self, used: Tokens, max_cost: Tokens, now: Millis) {
        if !used.is_zero() {
            let fraction = used.get() as f64 / max_cost.get().max(1) as f64;
            self.used_fraction = match self.used_fraction {
                0.0 => fraction,
                average => average + (fraction - average) * USED_FRACTION_WEIGHT,
            };
        }
        let is_old = now.saturating_sub(self.largest.1) > LARGEST_REQUEST_TTL;
        if is_old || max_cost >= self.largest.0 {
            self.largest = (max_cost, now);
        }
    }

    /// Expected use in `span` at the measured rate.
    pub(crate) fn expected_use(&self, span: Millis, now: Millis) -> Tokens {
        let expected_use = self.rate(now) * span.get() as f64 / 1_000.0;
        Tokens::new(expected_use as u64)
    }

    /// Tokens that cover the expected use in [`DRAW_LOOKAHEAD`] and one more large request.
    pub(crate) fn expected_need(&self, now: Millis) -> Tokens {
        self.expected_use(DRAW_LOOKAHEAD, now) + self.largest.0
    }
}
