//! Loans between entries, for requests that wait here while another entry holds tokens.
//!
//! Whoever sends tokens debits them first: a lost answer costs the account the loan and never
//! lets it use more than it paid.

use std::net::SocketAddr;

use cyc_types::{ClientAccountId, Millis, Tokens};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::{Purse, Wallet};

/// A loan covers this much further use at the borrower, so that later requests need not ask again.
const LOAN_COVER: Millis = Millis::new(2_000);
/// A loan below this part of the least that helps is not worth a message.
const WORTH_PART: u64 = 8;
/// How long a loan is counted as held elsewhere: until the borrower has written its record.
const LENT_FOR: Millis = Millis::new(10_000);

/// What one entry asks of another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanRequest {
    /// The key in the shared record, which only entries can read.
    pub key: SmolStr,
    /// The account.
    pub account: ClientAccountId,
    /// The least that helps: what the smallest waiting request can cost.
    pub least: Tokens,
    /// What is asked for.
    pub want: Tokens,
}

/// The answer to a [`LoanRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanReply {
    /// The tokens lent; the lender has debited them.
    pub tokens: Tokens,
}

/// Tokens lent, until the borrower's record can show them.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Lent {
    tokens: Tokens,
    at: Millis,
}

impl Lent {
    pub(super) fn counted(&self, now: Millis) -> Tokens {
        if now.saturating_sub(self.at) <= LENT_FOR {
            self.tokens
        } else {
            Tokens::ZERO
        }
    }

    fn add(&mut self, tokens: Tokens, now: Millis) {
        self.tokens = self.counted(now) + tokens;
        self.at = now;
    }
}

impl Purse {
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
}

impl Wallet {
    /// Returns the loans that waiting requests need.
    pub fn loan_requests(&self, now: Millis) -> Vec<LoanRequest> {
        let Some((_, shares)) = &self.seen else {
            return Vec::new();
        };
        let wanting = self
            .purses
            .iter()
            .filter(|(_, purse)| purse.free < purse.wanted());
        let request = |(account, purse): (&ClientAccountId, &Purse)| {
            let least = purse.waiting.iter().min()?;
            let ahead = purse.rate(now) * LOAN_COVER.get() as f64 / 1_000.0;
            Some(LoanRequest {
                key: shares.key.clone(),
                account: account.clone(),
                least: least.saturating_sub(purse.free),
                want: purse.wanted().saturating_sub(purse.free) + Tokens::new(ahead as u64),
            })
        };
        wanting.filter_map(request).collect()
    }

    /// Returns the running entries that held tokens of an account when they last wrote, those
    /// with most first.
    pub fn lenders(&self, account: &ClientAccountId, now: Millis) -> Vec<SocketAddr> {
        let Some((_, shares)) = &self.seen else {
            return Vec::new();
        };
        let others = shares.holders.iter().filter(|(vm, _)| **vm != self.me);
        let known = others.filter_map(|(vm, holder)| {
            let unspent = holder.unspent.get(account)?;
            let change = self.changes.get(vm)?;
            let is_recent = now.saturating_sub(change.2) <= super::HOLDER_PRUNE;
            is_recent.then_some((*unspent, holder.peers?))
        });
        let mut known: Vec<(Tokens, SocketAddr)> = known.collect();
        known.sort_by_key(|(unspent, _)| std::cmp::Reverse(*unspent));
        known.into_iter().map(|(_, addr)| addr).collect()
    }

    /// Debits a loan and returns it: up to half of what is free here, or, where that does not
    /// help, all that is of no use here. A part of the least that helps is lent too, as
    /// long as it is worth a message: the borrower asks several entries.
    pub fn lend(&mut self, request: &LoanRequest, now: Millis) -> Tokens {
        let is_known = self
            .seen
            .as_ref()
            .is_some_and(|(_, shares)| shares.key == request.key);
        let Some(purse) = self.purses.get_mut(&request.account).filter(|_| is_known) else {
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
        purse.lent.add(given, now);
        given
    }

    /// Adds a loan that was received.
    pub fn borrow(&mut self, account: &ClientAccountId, tokens: Tokens) {
        self.purses.entry(account.clone()).or_default().free += tokens;
    }

    /// Returns what a loan still has to bring after tokens came, if anything.
    pub fn rest_of(&self, request: &LoanRequest, now: Millis) -> Option<LoanRequest> {
        let requests = self.loan_requests(now);
        requests
            .into_iter()
            .find(|rest| rest.account == request.account)
    }
}
