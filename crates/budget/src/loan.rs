//! Loans between entries. The sender debits tokens before it sends them, so that a lost message
//! leaves them unused in the lender's grant and no token is ever spent twice.

use cyc_proto::GrantId;
use cyc_types::{BudgetId, Incarnation, Tokens};

use crate::wallet::Wallet;

impl Wallet {
    /// Debits a loan for a peer: `want` or, if fewer are free, the free tokens; no loan if that is
    /// less than `least`. `borrower` holds the peer and its number of the loan; a repeated call
    /// with the same `borrower` returns the same loan.
    pub fn lend(
        &mut self,
        borrower: (Incarnation, u64),
        budget: &BudgetId,
        want: Tokens,
        least: Tokens,
    ) -> Option<(GrantId, Tokens)> {
        if let Some(loan) = self.loans_given.get(&borrower) {
            return Some(loan.clone());
        }
        if self.fenced {
            return None;
        }
        let grant = self.own_grant(budget);
        let balance = self.budgets.get_mut(budget)?;
        let held = balance.grants.get_mut(&self.holder)?;
        let lent = want.min(held.free);
        if lent < least || lent.is_zero() {
            return None;
        }
        held.free = held.free.saturating_sub(lent);
        balance.lent += lent;
        self.loans_given.insert(borrower, (grant.clone(), lent));
        Some((grant, lent))
    }

    /// Adds the tokens of a loan from a peer, once for each loan number.
    pub fn receive_loan(&mut self, loan: u64, grant: &GrantId, tokens: Tokens) {
        if self.fenced || !self.loans_received.insert(loan) {
            return;
        }
        let balance = self.budgets.entry(grant.budget.clone()).or_default();
        let held = balance.grants.entry(grant.holder.clone()).or_default();
        held.free += tokens;
    }

    /// Debits the free tokens of a borrowed grant, to be sent back to its holder.
    pub fn start_repay(&mut self, grant: &GrantId) -> Tokens {
        let held = self
            .budgets
            .get_mut(&grant.budget)
            .filter(|_| grant.holder != self.holder)
            .and_then(|balance| balance.grants.get_mut(&grant.holder));
        held.map_or(Tokens::ZERO, |held| std::mem::take(&mut held.free))
    }

    /// Discards the free tokens of a borrowed grant whose holder was fenced; they cannot be spent.
    pub fn discard_borrowed(&mut self, grant: &GrantId) {
        self.start_repay(grant);
    }

    /// Adds tokens of this entry's grant that a peer repays, once for each `borrower`, which holds
    /// the peer and its number of the repayment.
    pub fn receive_repayment(
        &mut self,
        borrower: (Incarnation, u64),
        grant: &GrantId,
        tokens: Tokens,
    ) {
        if self.fenced || grant.holder != self.holder || !self.repayments_received.insert(borrower)
        {
            return;
        }
        if let Some(balance) = self.budgets.get_mut(&grant.budget) {
            balance.lent = balance.lent.saturating_sub(tokens);
            balance.grants.entry(self.holder.clone()).or_default().free += tokens;
        }
    }

    /// The borrowed grants that have free tokens, with the amount of these.
    pub fn borrowed(&self) -> Vec<(GrantId, Tokens)> {
        let mut grants = Vec::new();
        for (budget, balance) in &self.budgets {
            for (holder, held) in balance
                .grants
                .iter()
                .filter(|(holder, _)| **holder != self.holder)
            {
                let grant = GrantId {
                    budget: budget.clone(),
                    holder: holder.clone(),
                };
                grants.push((grant, held.free));
            }
        }
        grants.retain(|(_, free)| !free.is_zero());
        grants
    }
}
