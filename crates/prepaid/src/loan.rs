//! Token loans between entries: from the owner of an account to the other entries, and between all
//! of them during an outage of the store.
//!
//! The sender debits tokens before it sends them: a lost response costs the account the loan but
//! never lets it use more than it paid for.

use cyc_types::{ClientAccountId, Millis, Tokens, VmId};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{Allocation, Allocations, LoanDelivery, ReturnDelivery, Role, Shortage};

/// A loan to a borrower that often uses the account covers this much further use, so that not every
/// request needs a loan of its own. Tokens that borrowers hold serve no request elsewhere, and are
/// lost when they are killed.
const LOAN_LOOKAHEAD: Millis = Millis::new(500);
/// A borrower returns tokens beyond its expected use in this time.
const BORROWER_LOOKAHEAD: Millis = Millis::new(1_000);
/// Divisor of the prepaid total: idle tokens that all borrowers together may keep because returning
/// them is not worth a message.
const IDLE_DIVISOR: u64 = 200;
/// Divisor of the smallest useful loan; lending less than this fraction is not worth a message.
const MIN_LOAN_DIVISOR: u64 = 8;
/// Time constant with which borrowers are assumed to use up a loan.
const LOAN_DECAY: Millis = Millis::new(2_000);
/// How long an entry draws in place of an unavailable owner.
const ACTING_OWNER_TERM: Millis = Millis::new(3_000);
/// How long the reason of a refused loan counts as known.
const LOAN_REFUSAL_TTL: Millis = Millis::new(1_000);

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
    /// Identifies the request, so that a loan whose reply was lost goes back to the lender.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delivery: Option<LoanDelivery>,
}

/// Response to a [`LoanRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanReply {
    /// Lent tokens, already debited from the lender.
    pub tokens: Tokens,
    /// Why less than the smallest useful loan was lent.
    pub short: Option<Shortage>,
    /// How long the store has not answered the lender, if it does not.
    #[serde(default)]
    pub store_outage: Option<Millis>,
}

/// Why another entry refused a loan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoanRefusal {
    /// Why the lender lacks tokens.
    pub shortage: Shortage,
    /// How long the store has not answered the lender, if it does not.
    pub store_outage: Option<Millis>,
}

/// The last refusal of a loan for an account.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RefusedLoan {
    pub(crate) refusal: LoanRefusal,
    /// Maximum cost of the request that lacked tokens.
    max_cost: Tokens,
    at: Millis,
}

impl RefusedLoan {
    /// Returns true if the lender knew that fewer than `max_cost` tokens are left.
    pub(crate) fn is_exhausted_for(self, max_cost: Tokens) -> bool {
        self.refusal.shortage == Shortage::Exhausted && max_cost >= self.max_cost
    }
}

impl Allocation {
    /// The last refusal of a loan, unless it is too old to tell anything.
    pub(crate) fn refused_loan(&self, now: Millis) -> Option<RefusedLoan> {
        self.refused_loan
            .filter(|refused| now.saturating_sub(refused.at) < LOAN_REFUSAL_TTL)
    }
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
    /// Identifies the return, so that a repeated one is credited once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delivery: Option<ReturnDelivery>,
}

/// Tokens lent to one borrower.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Loan {
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
    /// Tokens lent by this entry that borrowers will probably not use.
    pub(crate) fn expected_returns(&self, now: Millis) -> Tokens {
        let outstanding: Tokens = self.loans.values().map(|loan| loan.outstanding(now)).sum();
        Tokens::new((outstanding.get() as f64 * (1.0 - self.used_fraction)) as u64)
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

    /// Tokens that a borrower holds in advance for its expected use in `span`. None if that is less
    /// than one request: an entry that seldom uses an account would hold them idle.
    fn float(&self, span: Millis, now: Millis) -> Tokens {
        let expected_use = self.expected_use(span, now);
        match expected_use >= self.largest_request(now) {
            true => expected_use,
            false => Tokens::ZERO,
        }
    }

    fn demand(&self, account: &ClientAccountId, now: Millis) -> Option<TokenDemand> {
        let least = self.waiting.iter().min()?.saturating_sub(self.free);
        let lack = self.total_waiting().saturating_sub(self.free);
        (!lack.is_zero()).then(|| TokenDemand {
            account: account.clone(),
            least,
            want: lack + self.float(LOAN_LOOKAHEAD, now),
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
        if let Some(delivery) = request.delivery {
            let messages = allocation.last_messages.entry(request.from.clone());
            let Some(taken_back) = messages.or_default().accept_loan_request(delivery) else {
                return Tokens::ZERO;
            };
            allocation.free += taken_back;
            allocation.remove_use(taken_back, now);
            if let Some(loan) = allocation.loans.get_mut(&request.from) {
                loan.tokens = loan.tokens.saturating_sub(taken_back);
            }
        }
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
        if let Some(messages) = allocation.last_messages.get_mut(&request.from) {
            messages.record_lent(given);
        }
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

    /// Adds tokens that another entry returned, once however often the message arrives. False if
    /// the message is for another incarnation of this entry.
    pub fn accept_return(&mut self, token_return: &TokenReturn, now: Millis) -> bool {
        let incarnation = self.incarnation;
        let allocation = self.allocation(&token_return.account);
        if let Some(delivery) = token_return.delivery {
            if delivery.to_start != incarnation {
                return false;
            }
            let messages = allocation.last_messages.entry(token_return.from.clone());
            if !messages.or_default().accept_return(delivery) {
                return true;
            }
        }
        allocation.free += token_return.tokens;
        // The loan was recorded as use.
        allocation.remove_use(token_return.tokens, now);
        if let Some(loan) = allocation.loans.get_mut(&token_return.from) {
            loan.tokens = loan.tokens.saturating_sub(token_return.tokens);
        }
        true
    }

    /// Records why another entry refused a loan for the demand.
    pub fn record_loan_refusal(&mut self, demand: &TokenDemand, refusal: LoanRefusal, now: Millis) {
        let allocation = self.allocation(&demand.account);
        allocation.refused_loan = Some(RefusedLoan {
            refusal,
            max_cost: demand.least + allocation.free,
            at: now,
        });
    }

    /// How long the store has not answered the entry that last refused a loan for the account.
    pub fn lender_outage(&self, account: &ClientAccountId, now: Millis) -> Option<Millis> {
        let refused = self.by_account.get(account)?.refused_loan(now)?;
        refused.refusal.store_outage
    }

    /// Makes this entry the acting owner of the account for a limited time.
    pub fn become_acting_owner(&mut self, account: &ClientAccountId, now: Millis) {
        self.allocation(account).acting_owner_until = Some(now + ACTING_OWNER_TERM);
    }

    /// Debits the tokens that this entry does not need, or all free ones once it is closed, of
    /// accounts that it does not own. The caller sends the resulting amounts to the owners. Each of
    /// the running `entries` may keep an equal part of the idle tokens that are not worth a message.
    pub fn return_surplus(
        &mut self,
        role: impl Fn(&ClientAccountId) -> Role,
        entries: usize,
        now: Millis,
    ) -> Vec<(ClientAccountId, Tokens)> {
        let divisor = IDLE_DIVISOR * entries.max(1) as u64;
        let mut given = Vec::new();
        for (account, allocation) in &mut self.by_account {
            if allocation.free.is_zero()
                || allocation.pending.is_some()
                || allocation.has_unanswered_return()
                || role(account) != Role::Borrower
            {
                continue;
            }
            let needed = allocation.total_waiting() + allocation.float(BORROWER_LOOKAHEAD, now);
            let surplus = match self.is_closed {
                true => allocation.free,
                false => allocation.free.saturating_sub(needed),
            };
            let paid = allocation.paid.unwrap_or_default();
            if self.is_closed || surplus.get() > paid.get() / divisor {
                allocation.free = allocation.free.saturating_sub(surplus);
                given.push((account.clone(), surplus));
            }
        }
        given
    }
}
