//! Token loans between entries: from the owner of an account to the other entries, and between all
//! of them during an outage of the store.
//!
//! The sender debits tokens before it sends them: a lost response costs the account the loan but
//! never lets it use more than it paid for.

use cyc_types::{ClientAccountId, Millis, Tokens, VmId};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::{Allocation, Allocations, Role, Shortage};

/// A loan covers this much further use at the borrower, so that later requests need no loan of
/// their own.
const LOAN_LOOKAHEAD: Millis = Millis::new(2_000);
/// A borrower returns tokens beyond its expected use in this time.
const BORROWER_LOOKAHEAD: Millis = Millis::new(4_000);
/// Divisor of the prepaid total; returning less than this fraction is not worth a message.
const MIN_RETURN_DIVISOR: u64 = 2_000;
/// Divisor of the smallest useful loan; lending less than this fraction is not worth a message.
const MIN_LOAN_DIVISOR: u64 = 8;
/// Time constant with which borrowers are assumed to use up a loan, which covers
/// [`LOAN_LOOKAHEAD`].
const LOAN_DECAY: Millis = LOAN_LOOKAHEAD;
/// How long an entry draws in place of an unavailable owner.
const ACTING_OWNER_TERM: Millis = Millis::new(3_000);
/// How long an account is treated as exhausted after another entry reported it.
const EXHAUSTED_TTL: Millis = Millis::new(1_000);

/// Tokens of an account that waiting requests of this entry lack.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TokenDemand {
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
    /// The borrower considers the lender to be the account's owner or acting owner, which should
    /// draw if it holds too few tokens.
    pub should_draw: bool,
}

/// Response to a [`LoanRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanReply {
    /// Lent tokens, already debited from the lender.
    pub tokens: Tokens,
    /// Why less than the smallest useful loan was lent.
    pub short: Option<Shortage>,
}

/// Unsolicited return of tokens, already debited from the sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenReturn {
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
pub(super) struct Loan {
    tokens: Tokens,
    at: Millis,
}

impl Loan {
    /// Estimates the tokens that the borrower has not used yet.
    fn outstanding(&self, now: Millis) -> Tokens {
        let age = now.saturating_sub(self.at).get() as f64;
        let part = (-age / LOAN_DECAY.get() as f64).exp();
        Tokens::new((self.tokens.get() as f64 * part) as u64)
    }
}

impl Allocation {
    /// Tokens lent by this entry that borrowers may still hold.
    pub(super) fn outstanding_loans(&self, now: Millis) -> Tokens {
        self.loans.values().map(|loan| loan.outstanding(now)).sum()
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
            self.free.saturating_sub(self.total_waiting())
        }
    }

    fn demand(&self, account: &ClientAccountId, now: Millis) -> Option<TokenDemand> {
        let least = self.waiting.iter().min()?.saturating_sub(self.free);
        let lack = self.total_waiting().saturating_sub(self.free);
        (!lack.is_zero()).then(|| TokenDemand {
            account: account.clone(),
            least,
            want: lack + self.expected_use(LOAN_LOOKAHEAD, now),
        })
    }
}

/// Loans.
impl Allocations {
    /// Tokens that waiting requests lack, for each account.
    pub fn demands(&self, now: Millis) -> Vec<TokenDemand> {
        let allocations = self.by_account.iter();
        let demands =
            allocations.filter_map(|(account, allocation)| allocation.demand(account, now));
        demands.collect()
    }

    /// Tokens that waiting requests of one account lack, if any.
    pub fn demand(&self, account: &ClientAccountId, now: Millis) -> Option<TokenDemand> {
        self.by_account.get(account)?.demand(account, now)
    }

    /// Entries that may hold tokens of an account, those with most first: holders according to the
    /// record, and borrowers of this entry.
    pub fn lenders(&self, account: &ClientAccountId, now: Millis) -> Vec<VmId> {
        let Some(allocation) = self.by_account.get(account) else {
            return Vec::new();
        };
        let holders = allocation
            .last_record
            .iter()
            .flat_map(|(_, record)| &record.holders);
        let holders = holders.map(|(vm, holder)| (vm, holder.unspent));
        let borrowers = allocation
            .loans
            .iter()
            .map(|(vm, loan)| (vm, loan.outstanding(now)));
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
        let Some(allocation) = self.by_account.get_mut(&request.account) else {
            return Tokens::ZERO;
        };
        let half = Tokens::new(allocation.free.get() / 2);
        let spare = allocation.spare(request.least);
        let given = if half >= request.least {
            request.want.min(half)
        } else {
            request.least.min(spare)
        };
        if given.get() < request.least.get() / MIN_LOAN_DIVISOR {
            return Tokens::ZERO;
        }
        allocation.free = allocation.free.saturating_sub(given);
        let loan = allocation.loans.entry(request.from.clone()).or_default();
        loan.tokens = loan.outstanding(now) + given;
        loan.at = now;
        // For the size of draws, lent tokens count as used.
        allocation.record_use(given, now);
        given
    }

    /// Adds a received loan, or tokens whose return was not sent.
    pub fn borrow(&mut self, account: &ClientAccountId, tokens: Tokens) {
        self.allocation(account).free += tokens;
    }

    /// Adds tokens that another entry returned.
    pub fn accept_return(&mut self, token_return: &TokenReturn) {
        let allocation = self.allocation(&token_return.account);
        allocation.free += token_return.tokens;
        if let Some(loan) = allocation.loans.get_mut(&token_return.from) {
            loan.tokens = loan.tokens.saturating_sub(token_return.tokens);
        }
    }

    /// Records another entry's report that the account is exhausted.
    pub fn record_exhausted(&mut self, demand: &TokenDemand, now: Millis) {
        let allocation = self.allocation(&demand.account);
        let max_cost = demand.least + allocation.free;
        allocation.exhausted = Some((max_cost, now + EXHAUSTED_TTL));
    }

    /// Makes this entry the acting owner of the account for a limited time.
    pub fn become_acting_owner(&mut self, account: &ClientAccountId, now: Millis) {
        self.allocation(account).acting_owner_until = Some(now + ACTING_OWNER_TERM);
    }

    /// Debits the tokens that this entry does not need, or all free ones once it is closed, of
    /// accounts that it does not own. The caller sends the resulting amounts to the owners.
    pub fn return_surplus(
        &mut self,
        role: impl Fn(&ClientAccountId) -> Role,
        now: Millis,
    ) -> Vec<(ClientAccountId, Tokens)> {
        let mut given = Vec::new();
        for (account, allocation) in &mut self.by_account {
            if allocation.free.is_zero()
                || allocation.pending.is_some()
                || role(account) != Role::Borrower
            {
                continue;
            }
            let needed =
                allocation.total_waiting() + allocation.expected_use(BORROWER_LOOKAHEAD, now);
            let surplus = match self.is_closed {
                true => allocation.free,
                false => allocation.free.saturating_sub(needed),
            };
            let paid = allocation.paid.unwrap_or_default();
            if self.is_closed || surplus.get() > paid.get() / MIN_RETURN_DIVISOR {
                allocation.free = allocation.free.saturating_sub(surplus);
                given.push((account.clone(), surplus));
            }
        }
        given
    }
}
