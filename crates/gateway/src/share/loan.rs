//! Loans between entries: from the homes of an account to the others, and between all of them
//! while the store is away.
//!
//! Whoever sends tokens debits them first: a lost answer costs the account the loan and never
//! lets it use more than it paid.

use cyc_types::{ClientAccountId, Millis, Tokens, VmId};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::{Purse, Role, Short, Wallet};

/// A loan covers this much further use at the borrower, so that later requests need not ask again.
const LOAN_COVER: Millis = Millis::new(2_000);
/// An entry that is no home gives back what its use in this time will not need.
const GUEST_COVER: Millis = Millis::new(4_000);
/// Less than this part of the prepaid total is not worth a message.
const GIVE_BACK_PART: u64 = 2_000;
/// A loan below this part of the least that helps is not worth a message.
const WORTH_PART: u64 = 8;
/// Time constant in which borrowers use a loan up: it covers [`LOAN_COVER`].
const LENT_SPAN: Millis = LOAN_COVER;
/// How long an entry draws in place of a home that cannot.
const STAND_IN_FOR: Millis = Millis::new(3_000);
/// How long it is believed that an account is used up, after a home said so.
const EXHAUSTED_FOR: Millis = Millis::new(1_000);

/// What requests that wait here need of an account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Need {
    /// The account.
    pub account: ClientAccountId,
    /// The least that helps: what the smallest waiting request lacks.
    pub least: Tokens,
    /// What is asked for.
    pub want: Tokens,
}

/// What one entry asks of another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanRequest {
    /// The key of the entry that is asked, which only entries can read.
    pub key: SmolStr,
    /// The entry that asks.
    pub from: VmId,
    /// The account.
    pub account: ClientAccountId,
    /// The least that helps.
    pub least: Tokens,
    /// What is asked for.
    pub want: Tokens,
    /// The entry that asks takes the other one for the account's home, or for who stands in for
    /// it: it should draw if it has too few.
    pub should_draw: bool,
}

/// The answer to a [`LoanRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanReply {
    /// The tokens lent; the lender has debited them.
    pub tokens: Tokens,
    /// Why it is not more, if that does not help.
    pub short: Option<Short>,
}

/// Tokens that an entry hands over without being asked; it has debited them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GiveBack {
    /// The key of the entry that gets them.
    pub key: SmolStr,
    /// The entry that gives them.
    pub from: VmId,
    /// The account.
    pub account: ClientAccountId,
    /// The tokens.
    pub tokens: Tokens,
}

/// Tokens lent to one entry.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Lent {
    tokens: Tokens,
    at: Millis,
}

impl Lent {
    /// Returns what the borrower has probably not used yet.
    fn counted(&self, now: Millis) -> Tokens {
        let age = now.saturating_sub(self.at).get() as f64;
        let part = (-age / LENT_SPAN.get() as f64).exp();
        Tokens::new((self.tokens.get() as f64 * part) as u64)
    }
}

impl Purse {
    /// Returns what other entries may still hold of loans from here.
    pub(super) fn lent_out(&self, now: Millis) -> Tokens {
        self.lent.values().map(|lent| lent.counted(now)).sum()
    }

    /// Returns what is of no use here, for a borrower that lacks `least`. Where the waiting
    /// requests of both lack tokens, the one that lacks fewer gets them, so that remainders meet
    /// at one entry.
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
    /// Returns what waiting requests need.
    pub fn needs(&self, now: Millis) -> Vec<Need> {
        let purses = self.purses.iter();
        let needs = purses.filter_map(|(account, purse)| purse.need(account, now));
        needs.collect()
    }

    /// Returns what waiting requests of one account need, if anything.
    pub fn need(&self, account: &ClientAccountId, now: Millis) -> Option<Need> {
        self.purses.get(account)?.need(account, now)
    }

    /// Returns the entries that may hold tokens of an account, those with most first: holders by
    /// the record, and borrowers of this entry.
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

    /// Debits a loan and returns it: up to half of what is free here, or, where that does not
    /// help, all that is of no use here. A part of the least that helps is lent too, as
    /// long as it is worth a message: the borrower asks several entries.
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
        // What is lent is used, as far as draws are concerned.
        purse.note_use(given, now);
        given
    }

    /// Adds a loan that was received.
    pub fn borrow(&mut self, account: &ClientAccountId, tokens: Tokens) {
        self.purse(account).free += tokens;
    }

    /// Adds tokens that another entry handed over.
    pub fn take_back(&mut self, gift: &GiveBack) {
        let purse = self.purse(&gift.account);
        purse.free += gift.tokens;
        if let Some(lent) = purse.lent.get_mut(&gift.from) {
            lent.tokens = lent.tokens.saturating_sub(gift.tokens);
        }
    }

    /// Notes that the account is used up, by its home.
    pub fn note_exhausted(&mut self, need: &Need, now: Millis) {
        let purse = self.purse(&need.account);
        let worst = need.least + purse.free;
        purse.exhausted = Some((worst, now + EXHAUSTED_FOR));
    }

    /// Lets this entry draw in place of the account's home for a while.
    pub fn stand_in(&mut self, account: &ClientAccountId, now: Millis) {
        self.purse(account).stands_in = Some(now + STAND_IN_FOR);
    }

    /// Debits and returns what an entry that is no home does not need any more, by account.
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
