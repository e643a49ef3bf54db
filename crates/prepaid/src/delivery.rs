//! Lost, late and repeated messages between entries: a loan whose reply is lost goes back to the
//! lender, and a return without response is sent again until the recipient has credited it once.

use cyc_types::{ClientAccountId, Tokens, VmId};
use serde::{Deserialize, Serialize};

use crate::{Allocations, TokenReturn, allocation::Allocation};

/// Identifies a request for a loan. Entries of earlier versions neither send nor read it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanDelivery {
    /// Incarnation of the borrower.
    pub start: u64,
    /// Number of the request; increases within an incarnation.
    pub number: u64,
    /// The borrower got no reply to its requests to this lender for this account from this number
    /// on, and will not use a reply that is still on its way.
    pub unanswered_since: Option<u64>,
}

/// Identifies a return. Entries of earlier versions neither send nor read it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReturnDelivery {
    /// Incarnation of the sender.
    pub start: u64,
    /// Number of the return; increases within an incarnation.
    pub number: u64,
    /// Incarnation of the recipient. Another one must not accept it: this one may have accepted and
    /// used the tokens before it ended.
    pub to_start: u64,
}

/// A return whose response was lost.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnansweredReturn {
    /// The recipient.
    pub to: VmId,
    /// The message.
    pub token_return: TokenReturn,
}

/// The last messages from one other entry about one account.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LastMessages {
    /// Incarnation of the other entry.
    start: u64,
    /// Number of the last request for a loan.
    loan: u64,
    /// Tokens lent for it.
    lent: Tokens,
    /// Number of the last accepted return.
    token_return: u64,
}

impl LastMessages {
    /// Forgets the messages of another incarnation.
    fn set_start(&mut self, start: u64) {
        if self.start != start {
            *self = Self {
                start,
                ..Self::default()
            };
        }
    }

    /// Takes over a request for a loan, and returns the tokens of the last loan if its reply was
    /// lost. `None` for a late or repeated request, whose reply nobody reads.
    pub(crate) fn accept_loan_request(&mut self, delivery: LoanDelivery) -> Option<Tokens> {
        self.set_start(delivery.start);
        if delivery.number <= self.loan {
            return None;
        }
        let is_lost = delivery
            .unanswered_since
            .is_some_and(|since| since <= self.loan);
        self.loan = delivery.number;
        let lent = std::mem::take(&mut self.lent);
        Some(if is_lost { lent } else { Tokens::ZERO })
    }

    /// Records the tokens lent for the last request.
    pub(crate) fn record_lent(&mut self, tokens: Tokens) {
        self.lent = tokens;
    }

    /// Takes over a return. False if it was accepted before.
    pub(crate) fn accept_return(&mut self, delivery: ReturnDelivery) -> bool {
        self.set_start(delivery.start);
        let is_new = delivery.number > self.token_return;
        self.token_return = self.token_return.max(delivery.number);
        is_new
    }
}

impl Allocation {
    /// Returns true if another entry may or may not have got a return of this account.
    pub(crate) fn has_unanswered_return(&self) -> bool {
        self.unanswered_return.is_some()
    }
}

/// Messages to other entries.
impl Allocations {
    fn next_number(&mut self) -> u64 {
        self.messages += 1;
        self.messages
    }

    /// Identifies the next request to `lender` for a loan.
    pub fn loan_delivery(&mut self, account: &ClientAccountId, lender: &VmId) -> LoanDelivery {
        let number = self.next_number();
        let start = self.incarnation;
        let allocation = self.allocation(account);
        LoanDelivery {
            start,
            number,
            unanswered_since: allocation.unanswered_loans.get(lender).copied(),
        }
    }

    /// Records whether the lender replied to a request for a loan.
    pub fn record_loan_reply(
        &mut self,
        account: &ClientAccountId,
        lender: &VmId,
        delivery: LoanDelivery,
        has_replied: bool,
    ) {
        let unanswered = &mut self.allocation(account).unanswered_loans;
        if has_replied {
            unanswered.remove(lender);
        } else {
            unanswered.entry(lender.clone()).or_insert(delivery.number);
        }
    }

    /// Identifies the next return to the incarnation `to_start` of another entry.
    pub fn return_delivery(&mut self, to_start: u64) -> ReturnDelivery {
        ReturnDelivery {
            start: self.incarnation,
            number: self.next_number(),
            to_start,
        }
    }

    /// Keeps a return without response, to send it again.
    pub fn record_unanswered_return(&mut self, unanswered: UnansweredReturn) {
        let account = unanswered.token_return.account.clone();
        self.allocation(&account).unanswered_return = Some(unanswered);
    }

    /// Removes and returns the returns that are to be sent again.
    pub fn take_unanswered_returns(&mut self) -> Vec<UnansweredReturn> {
        let allocations = self.by_account.values_mut();
        let unanswered = allocations.filter_map(|allocation| allocation.unanswered_return.take());
        unanswered.collect()
    }
}
