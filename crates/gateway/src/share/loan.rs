//! Token loans between entries: from the owner of an account to the other entries, and between all
//! of them during an outage of the store.
//!
//! The sender debits tokens before it sends them: a lost response costs the account the loan but
//! never lets it use more than it paid for.

use cyc_types::{ClientAccountId, Millis, Tokens, VmId};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::{Purse, Role, Short, Wallet};

/// A loan covers this much further use at the borrower, so that later requests need no loan of
/// their own.
const LOAN_COVER: Millis = Millis::new(2_000);
/// A borrower returns tokens beyond its expected use in this time.
const GUEST_COVER: Millis = Millis::new(4_000);
/// Divisor of the prepaid total; returning less than this fraction is not worth a message.
const GIVE_BACK_PART: u64 = 2_000;
/// Divisor of the smallest useful loan; lending less than this fraction is not worth a message.
const WORTH_PART: u64 = 8;
/// Time constant with which borrowers are assumed to use up a loan, which covers
/// [`LOAN_LOOKAHEAD`].
const LENT_SPAN: Millis = LOAN_COVER;
/// How long an entry draws in place of an unavailable owner.
const STAND_IN_FOR: Millis = Millis::new(3_000);
/// How long an account is treated as exhausted after its owner reported it.
const EXHAUSTED_FOR: Millis = Millis::new(1_000);

/// Tokens of an account that waiting requests of this entry lack.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Need {
    /// The account.
    pub account: ClientAccountId,
    /// The smallest useful loan: the tokens that the smallest waiting request lacks.
    pub least: Tokens,
    /// Tokens to ask for.
    pub want: Tokens,
}

/// A request for tokens from one entry to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanRequest {
    /// Key of the lender, which only entries can read; authenticates the borrower.
    pub key: SmolStr,
    /// The borrower.
    pub from: VmId,
    /// The account.
    pub account: ClientAccountId,
    /// The smallest useful loan.
    pub least: Tokens,
    /// Requested tokens.
    pub want: Tokens,
    /// The borrower takes the lender for the account's owner or acting owner, which should draw if
    /// it holds too few tokens.
    pub should_draw: bool,
}

/// Response to a [`LoanRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanReply {
    /// Lent tokens, already debited from the lender.
    pub tokens: Tokens,
    /// Why less than the smallest useful loan was lent.
    pub short: Option<Short>,
}

/// Unsolicited return of tokens, already debited from the sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GiveBack {
    /// Key of the recipient, which only entries can read.
    pub key: SmolStr,
    /// The sender.
    pub from: VmId,
    /// The account.
    pub account: ClientAccountId,
    /// Returned tokens.
    pub tokens: Tokens,
}

/// Tokens lent to one borrower.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Lent {
    tokens: Tokens,
    at: Millis,
}

impl Lent {
    /// Estimates the tokens that the borrower has not used yet.
    fn counted(&self, now: Millis) -> Tokens {
        let age = now.saturating_sub(self.at).get() as f64;
        let part = (-age / LENT_SPAN.get() as f64).exp();
        Tokens::new((self.tokens.get() as f64 * part) as u64)
    }
}

impl Purse {
    /// Tokens lent by this entry that borrowers may still hold.
    pub(super) fn lent_out(&self, now: Millis) -> Tokens {
        self.lent.values().map(|lent| lent.counted(now)).sum()
    }

    /// Tokens that this entry can spare for a borrower that lacks `least`. If waiting requests of
    /// both entries lack tokens, the entry that lacks fewer gets them, so that remainders
    /// accumulate on one entry.
    fn spare(&self, least: Tokens) -> Tokens {
        let smallest = self.waiting.iter().min().copied().unwrap_or_default();
        let lack = smallest.saturating_sub(self.free);
        if lack > least {
            self.free
        } else {
            self.free.saturating_sub(self.wanted())
        }
    }

    fn need(&self, account: &ClientAccountId, now: Millis) -> Option<Need> {
        let least = self.waiting.iter().min()?.saturating_sub(self.free);
        let lack = self.wanted().saturating_sub(self.free);
        (!lack.is_zero()).then(|| Need {
            account: account.clone(),
            least,
            want: lack + self.expected(LOAN_COVER, now),
        })
    }
}

/// Loans.
impl Wallet {
    /// Tokens that waiting requests lack, for each account.
    pub fn needs(&self, now: Millis) -> Vec<Need> {
        let purses = self.purses.iter();
        let needs = purses.filter_map(|(account, purse)| purse.need(account, now));
        needs.collect()
    }

    /// Tokens that waiting requests of one account lack, if any.
    pub fn need(&self, account: &ClientAccountId, now: Millis) -> Option<Need> {
        self.purses.get(account)?.need(account, now)
    }

    /// Entries that may hold tokens of an account, those with most first: holders according to the
    /// record, and borrowers of this entry.
    pub fn lenders(&self, account: &ClientAccountId, now: Millis) -> Vec<VmId> {
        let Some(purse) = self.purses.get(account) else {
            return Vec::new();
        };
        let holders = purse.seen.iter().flat_map(|(_, record)| &record.holders);
        let holders = holders.map(|(vm, holder)| (vm, holder.unspent));
        let borrowers = purse.lent.iter().map(|(vm, lent)| (vm, lent.counted(now)));
        let others = holders.chain(borrowers).filter(|(vm, _)| **vm != self.me);
        let mut others: Vec<(&VmId, Tokens)> =
            others.filter(|(_, tokens)| !tokens.is_zero()).collect();
        others.sort_by_key(|(_, tokens)| std::cmp::Reverse(*tokens));
        others.into_iter().map(|(vm, _)| vm.clone()).collect()
    }

    /// Debits a loan and returns its tokens: up to half of the free tokens, or, if that does not
    /// reach the smallest useful loan, all that this entry can spare. A fraction of the smallest
    /// useful loan is lent too if it is worth a message, because the borrower asks several entries.
    pub fn lend(&mut self, request: &LoanRequest, now: Millis) -> Tokens {
        let Some(purse) = self.purses.get_mut(&request.account) else {
            return Tokens::ZERO;
        };
        let half = Tokens::new(purse.free.get() / 2);
        let spare = purse.spare(request.least);
        let given = if half >= request.least {
            request.want.min(half)
        } else {
            request.least.min(spare)
        };
        if given.get() < request.least.get() / WORTH_PART {
            return Tokens::ZERO;
        }
        purse.free = purse.free.saturating_sub(given);
        let lent = purse.lent.entry(request.from.clone()).or_default();
        lent.tokens = lent.counted(now) + given;
        lent.at = now;
        // For the size of draws, lent tokens count as used.
        purse.note_use(given, now);
        given
    }

    /// Adds a received loan.
    pub fn borrow(&mut self, account: &ClientAccountId, tokens: Tokens) {
        self.purse(account).free += tokens;
    }

    /// Adds tokens that another entry returned.
    pub fn take_back(&mut self, gift: &GiveBack) {
        let purse = self.purse(&gift.account);
        purse.free += gift.tokens;
        if let Some(lent) = purse.lent.get_mut(&gift.from) {
            lent.tokens = lent.tokens.saturating_sub(gift.tokens);
        }
    }

    /// Records the owner's report that the account is exhausted.
    pub fn note_exhausted(&mut self, need: &Need, now: Millis) {
        let purse = self.purse(&need.account);
        let worst = need.least + purse.free;
        purse.exhausted = Some((worst, now + EXHAUSTED_FOR));
    }

    /// Makes this entry the acting owner of the account for [`ACTING_OWNER_TERM`].
    pub fn stand_in(&mut self, account: &ClientAccountId, now: Millis) {
        self.purse(account).stands_in = Some(now + STAND_IN_FOR);
    }

    /// Debits and returns, by account, the tokens that this entry does not need and does not own.
    pub fn give_back(
        &mut self,
        role: impl Fn(&ClientAccountId) -> Role,
        now: Millis,
    ) -> Vec<(ClientAccountId, Tokens)> {
        let mut given = Vec::new();
        for (account, purse) in &mut self.purses {
            if purse.free.is_zero() || purse.pending.is_some() || role(account) != Role::Guest {
                continue;
            }
            let needed = purse.wanted() + purse.expected(GUEST_COVER, now);
            let surplus = match self.is_closed {
                true => purse.free,
                false => purse.free.saturating_sub(needed),
            };
            let paid = purse.paid.unwrap_or_default();
            if self.is_closed || surplus.get() > paid.get() / GIVE_BACK_PART {
                purse.free = purse.free.saturating_sub(surplus);
                given.push((account.clone(), surplus));
            }
        }
        given
    }
}
