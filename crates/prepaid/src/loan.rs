//! Token loans between entries: from the owner of an account to the other entries, and between all
//! of them during an outage of the store.
//!
//! The sender debits tokens before it sends them: a lost response costs the account the loan but
//! never lets it use more than it paid for.

use cyc_types::{ClientAccountId, Millis, Tokens, VmId};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{
    Allocation, Allocations, LoanDelivery, ReturnDelivery, Role, Shortage,
    last_tokens::{self, Claim},
};

/// A loan to a borrower that often uses the account covers this much further use, so that not every
/// request needs a loan of its own. Tokens that borrowers hold serve no request elsewhere, and are
/// lost when they are killed.
const LOAN_LOOKAHEAD: Millis = Millis::new(500);
/// A borrower returns tokens beyond its expected use in this time.
const BORROWER_LOOKAHEAD: Millis = Millis::new(1_000);
/// Divisor of the prepaid total: idle tokens that all borrowers together may keep because returning
/// them is not worth a message.
const IDLE_DIVISOR: u64 = 200;
/// Divisor of the prepaid total: idle tokens that one borrower may keep during a shortage.
const SHORT_IDLE_DIVISOR: u64 = 100_000;
/// Divisor of the smallest useful loan; lending less than this fraction is not worth a message.
const MIN_LOAN_DIVISOR: u64 = 8;
/// Divisor of what an owner may hold: tokens that it may lend in advance to all borrowers together.
const ADVANCE_DIVISOR: u64 = 5;
/// Time constant with which borrowers are assumed to use up a loan.
const LOAN_DECAY: Millis = Millis::new(2_000);
/// How long an entry draws in place of an unavailable owner.
const ACTING_OWNER_TERM: Millis = Millis::new(3_000);
/// How long the reason of a refused loan counts as known.
const LOAN_REFUSAL_TTL: Millis = Millis::new(1_000);
/// The same if only a top-up can help; that ends it at once. Bounds the loan requests for an
/// exhausted account.
const EXHAUSTED_TTL: Millis = Millis::new(5_000);

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
    /// Rank of the most urgent waiting request.
    #[serde(default)]
    pub rank: u8,
    /// How long the borrower's first request has waited.
    #[serde(default)]
    pub waited: Millis,
    /// What the waiting requests lack; the rest of `want` is asked for in advance. Entries of earlier
    /// versions do not tell.
    #[serde(default)]
    pub lack: Option<Tokens>,
}

impl LoanRequest {
    /// What the waiting requests lack, as far as the borrower has told.
    fn known_lack(&self) -> Tokens {
        let lack = self.lack.unwrap_or(self.least);
        lack.max(self.least).min(self.want)
    }

    /// The claim of the borrower's smallest waiting request.
    pub fn claim(&self, now: Millis) -> Claim {
        Claim {
            rank: self.rank,
            tokens: self.least,
            since: now.saturating_sub(self.waited),
        }
    }
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
    /// The lender expects that the account soon runs out of tokens.
    #[serde(default)]
    pub is_short: bool,
    /// Tokens that requests of all entries can still get, if the lender knows.
    #[serde(default)]
    pub left: Option<Tokens>,
    /// The prepaid total that is used up, if only a top-up can change that.
    #[serde(default)]
    pub exhausted_total: Option<Tokens>,
}

/// Why another entry refused a loan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoanRefusal {
    /// Why the lender lacks tokens.
    pub shortage: Shortage,
    /// How long the store has not answered the lender, if it does not.
    pub store_outage: Option<Millis>,
    /// Tokens that requests of all entries can still get, if the lender knows.
    pub left: Option<Tokens>,
    /// The prepaid total that is used up, if only a top-up can change that.
    pub exhausted_total: Option<Tokens>,
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
    pub(crate) fn is_exhausted_for(self, max_cost: Tokens, allocation: &Allocation) -> bool {
        let left = self
            .refusal
            .left
            .map(|left| left + allocation.free + allocation.expected_rest());
        let is_covered = max_cost < self.max_cost && left.is_none_or(|left| max_cost <= left);
        self.refusal.shortage == Shortage::Exhausted && !is_covered
    }
}

impl Allocation {
    /// The last refusal of a loan, unless it is too old to tell anything.
    pub(crate) fn refused_loan(&self, now: Millis) -> Option<RefusedLoan> {
        let refused = self.refused_loan?;
        let total = refused.refusal.exhausted_total;
        let ttl = match total.is_some() && total == self.paid {
            true => EXHAUSTED_TTL,
            false => LOAN_REFUSAL_TTL,
        };
        (now.saturating_sub(refused.at) < ttl).then_some(refused)
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
    /// The part that no request waited for.
    advance: Tokens,
    at: Millis,
}

impl Loan {
    /// Estimates the tokens that the borrower has not used yet.
    fn outstanding(&self, now: Millis) -> Tokens {
        self.decayed(self.tokens, LOAN_DECAY, now)
    }

    /// The same for tokens that no request waited for.
    fn outstanding_advance(&self, now: Millis) -> Tokens {
        self.decayed(self.advance, LOAN_LOOKAHEAD, now)
    }

    fn decayed(&self, tokens: Tokens, time_constant: Millis, now: Millis) -> Tokens {
        let age = now.saturating_sub(self.at).get() as f64;
        let part = (-age / time_constant.get() as f64).exp();
        Tokens::new((tokens.get() as f64 * part) as u64)
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
        let smallest = self.smallest_waiting().unwrap_or_default();
        let lack = smallest.saturating_sub(self.free);
        if lack > least {
            self.free
        } else {
            self.free.saturating_sub(self.total_waiting())
        }
    }

    /// Tokens lent during a shortage: what the waiting requests of the borrower lack, if it is its
    /// turn among the requests that wait here, and nothing in advance.
    fn last_loan(&self, request: &LoanRequest, now: Millis) -> Tokens {
        let claim = request.claim(now);
        let mut claims: Vec<Claim> = self.waiting.iter().map(|(_, claim)| *claim).collect();
        claims.push(claim);
        let index = claims.len() - 1;
        if !last_tokens::is_served(index, self.free, &claims, self.turns) {
            return Tokens::ZERO;
        }
        let others = self.total_waiting();
        request
            .want
            .min(self.free.saturating_sub(others))
            .max(request.least)
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

    fn demand(
        &self,
        account: &ClientAccountId,
        is_short: bool,
        now: Millis,
    ) -> Option<TokenDemand> {
        let least = self.smallest_waiting()?.saturating_sub(self.free);
        let lack = self.total_waiting().saturating_sub(self.free);
        // During a shortage nothing is lent in advance: it would be missed elsewhere.
        let float = match is_short {
            true => Tokens::ZERO,
            false => self.float(LOAN_LOOKAHEAD, now),
        };
        (!lack.is_zero()).then(|| TokenDemand {
            account: account.clone(),
            least,
            want: lack + float,
        })
    }
}

/// Loans.
impl Allocations {
    /// Tokens that waiting requests lack, for each account.
    pub fn demands(&self, now: Millis) -> Vec<TokenDemand> {
        let accounts = self.by_account.keys();
        let demands = accounts.filter_map(|account| self.demand(account, now));
        demands.collect()
    }

    /// Tokens that waiting requests of one account lack, if any.
    pub fn demand(&self, account: &ClientAccountId, now: Millis) -> Option<TokenDemand> {
        let is_short = self.is_short(account, now);
        self.by_account.get(account)?.demand(account, is_short, now)
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

    /// Tokens that may be lent in advance: they are lost with the borrowers like those that the owner
    /// holds itself.
    fn max_advance(&self, request: &LoanRequest, now: Millis) -> Tokens {
        let wanted = request.want.saturating_sub(request.known_lack());
        let allocation = self.by_account.get(&request.account);
        let max = allocation.and_then(|allocation| {
            let (_, record) = allocation.last_record.as_ref()?;
            let max = self.max_held_of(allocation, record, allocation.paid?, now);
            let loans = allocation.loans.values();
            let lent: Tokens = loans.map(|loan| loan.outstanding_advance(now)).sum();
            Some(Tokens::new(max.get() / ADVANCE_DIVISOR).saturating_sub(lent))
        });
        wanted.min(max.unwrap_or(wanted))
    }

    /// Debits a loan and returns its tokens: up to half of the free tokens, or, if that does not
    /// reach the smallest useful loan, all that this entry can spare. A fraction of the smallest
    /// useful loan is lent too if it is worth a message, because the borrower asks several entries.
    pub fn lend(&mut self, request: &LoanRequest, now: Millis) -> Tokens {
        // Only the entry that draws decides who gets the last tokens; any other one helps.
        let is_short = request.should_draw && self.is_short(&request.account, now);
        let advance = self.max_advance(request, now);
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
        let lack = request.known_lack();
        let half = Tokens::new(allocation.free.get() / 2);
        let spare = allocation.spare(request.least);
        let given = if is_short {
            allocation.last_loan(request, now)
        } else if half >= request.least {
            (lack + advance).min(half)
        } else {
            request.least.min(spare)
        };
        if given.is_zero() || given.get() < request.least.get() / MIN_LOAN_DIVISOR {
            return Tokens::ZERO;
        }
        allocation.turns += u64::from(is_short);
        allocation.free = allocation.free.saturating_sub(given);
        if let Some(messages) = allocation.last_messages.get_mut(&request.from) {
            messages.record_lent(given);
        }
        let loan = allocation.loans.entry(request.from.clone()).or_default();
        loan.advance = loan.outstanding_advance(now) + given.saturating_sub(lack);
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
        let accounts = self.by_account.keys().cloned();
        self.surplus_of(accounts.collect(), role, entries, now)
    }

    /// The same for the accounts that run short as another entry has told.
    pub fn return_surplus_of_short(
        &mut self,
        role: impl Fn(&ClientAccountId) -> Role,
        entries: usize,
        now: Millis,
    ) -> Vec<(ClientAccountId, Tokens)> {
        let accounts = self.told_short.keys().cloned();
        self.surplus_of(accounts.collect(), role, entries, now)
    }

    fn surplus_of(
        &mut self,
        accounts: Vec<ClientAccountId>,
        role: impl Fn(&ClientAccountId) -> Role,
        entries: usize,
        now: Millis,
    ) -> Vec<(ClientAccountId, Tokens)> {
        let divisor = IDLE_DIVISOR * entries.max(1) as u64;
        let mut given = Vec::new();
        for account in accounts {
            let is_short = self.is_told_short(&account, now);
            let is_closed = self.is_closed;
            let Some(allocation) = self.by_account.get_mut(&account) else {
                continue;
            };
            if allocation.free.is_zero()
                || allocation.pending.is_some()
                || allocation.has_unanswered_return()
                || role(&account) != Role::Borrower
            {
                continue;
            }
            let float = match is_short {
                true => Tokens::ZERO,
                false => allocation.float(BORROWER_LOOKAHEAD, now),
            };
            let needed = allocation.total_waiting() + float;
            let surplus = match is_closed {
                true => allocation.free,
                false => allocation.free.saturating_sub(needed),
            };
            let paid = allocation.paid.unwrap_or_default();
            let divisor = match is_short {
                true => SHORT_IDLE_DIVISOR,
                false => divisor,
            };
            if is_closed || surplus.get() > paid.get() / divisor {
                allocation.free = allocation.free.saturating_sub(surplus);
                given.push((account, surplus));
            }
        }
        given
    }

    /// Returns true if a loan for the request can be granted at once.
    pub fn can_lend(&self, request: &LoanRequest, now: Millis) -> bool {
        let Some(allocation) = self.by_account.get(&request.account) else {
            return false;
        };
        match request.should_draw && self.is_short(&request.account, now) {
            true => !allocation.last_loan(request, now).is_zero(),
            false => allocation.free >= request.least,
        }
    }

    /// Why this entry does not grant the loan.
    pub fn loan_shortage(&self, request: &LoanRequest, now: Millis) -> Shortage {
        let (free, _) = self.holding(&request.account);
        let is_queue =
            free >= request.least && request.should_draw && self.is_short(&request.account, now);
        match self.shortage(&request.account, request.least, now) {
            // The tokens here are for requests that come first; another entry must not draw too.
            Shortage::Drawable if is_queue => Shortage::Elsewhere,
            shortage => shortage,
        }
    }

    /// Tokens that the waiting requests of an account lack.
    pub fn lack(&self, account: &ClientAccountId) -> Tokens {
        let allocation = self.by_account.get(account);
        allocation.map_or(Tokens::ZERO, |allocation| {
            allocation.total_waiting().saturating_sub(allocation.free)
        })
    }

    /// The waiting request of an account that comes first.
    pub fn first_claim(&self, account: &ClientAccountId) -> Option<Claim> {
        let waiting = &self.by_account.get(account)?.waiting;
        let claims = waiting.iter().map(|(_, claim)| *claim);
        claims.min_by_key(|claim| (claim.rank, claim.tokens, claim.since))
    }
}
