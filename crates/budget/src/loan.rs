//! Loans between entries. Whoever sends tokens debits them first, so that a lost message strands
//! tokens in the donor's grant and never mints any.

use cyc_proto::GrantId;
use cyc_types::{BudgetId, Incarnation, Tokens};

use crate::wallet::Wallet;

impl Wallet {
    /// Debits a loan for a peer: `want` or what is free, nothing if that is less than `least`.
    /// A repeated call returns the same loan.
    pub fn lend(
        &mut self,
        borrower: (Incarnation, u64),
        budget: &BudgetId,
        want: Tokens,
        least: Tokens,
    ) -> Option<(GrantId, Tokens)> {
        if let Some(loan) = self.loans.get(&borrower) {
            return Some(loan.clone());
        }
        if self.fenced {
            return None;
        }
        let grant = self.own_grant(budget);
        let account = self.budgets.get_mut(budget)?;
        let held = account.held.get_mut(&self.me)?;
        let lent = want.min(held.free);
        if lent < least || lent.is_zero() {
            return None;
        }
        held.free = held.free.saturating_sub(lent);
        account.lent += lent;
        self.loans.insert(borrower, (grant.clone(), lent));
        Some((grant, lent))
    }

    /// Counts the answer of a loan taken, once for each loan number.
    pub fn borrow(&mut self, loan: u64, grant: &GrantId, tokens: Tokens) {
        if self.fenced || !self.borrowed.insert(loan) {
            return;
        }
        let account = self.budgets.entry(grant.budget.clone()).or_default();
        let held = account.held.entry(grant.holder.clone()).or_default();
        held.free += tokens;
    }

    /// Debits what is free of a borrowed grant, to be sent back to its holder.
    pub fn start_repay(&mut self, grant: &GrantId) -> Tokens {
        let held = self
            .budgets
            .get_mut(&grant.budget)
            .filter(|_| grant.holder != self.me)
            .and_then(|account| account.held.get_mut(&grant.holder));
        held.map_or(Tokens::ZERO, |held| std::mem::take(&mut held.free))
    }

    /// Drops what is free of a borrowed grant whose holder was fenced; its tokens cannot be spent.
    pub fn forget(&mut self, grant: &GrantId) {
        self.start_repay(grant);
    }

    /// Takes back what a borrower returns of this entry's grant, once for each repayment.
    pub fn repay(&mut self, borrower: (Incarnation, u64), grant: &GrantId, tokens: Tokens) {
        if self.fenced || grant.holder != self.me || !self.repaid.insert(borrower) {
            return;
        }
        if let Some(account) = self.budgets.get_mut(&grant.budget) {
            account.lent = account.lent.saturating_sub(tokens);
            account.held.entry(self.me.clone()).or_default().free += tokens;
        }
    }

    /// Returns the borrowed grants with free tokens.
    pub fn borrowed(&self) -> Vec<(GrantId, Tokens)> {
        let mut grants = Vec::new();
        for (budget, account) in &self.budgets {
            for (holder, held) in account
                .held
                .iter()
                .filter(|(holder, _)| **holder != self.me)
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
