//! Exchange of tokens with other entries: borrows while requests wait, lends, and returns surplus
//! tokens.

use std::{collections::HashMap, net::SocketAddr, rc::Rc};

use cadence::CountedExt as _;
use cyc_types::{Backoff, ClientAccountId, Millis, Tokens};
use futures::future::join_all;
use serde::{Serialize, de::DeserializeOwned};
use tokio::{
    task::yield_now,
    time::{Instant, sleep, sleep_until, timeout_at},
};

use super::peer_call::{self, CallError, LOAN_PATH, RETURN_AGAIN_PATH, RETURN_PATH};
use crate::{
    peers::Contact,
    port::Protocol,
    prepaid::{
        LoanRefusal, LoanReply, LoanRequest, Role, Shortage, TokenDemand, TokenReturn,
        UnansweredReturn, WaiterId, last_tokens::Claim,
    },
    state::State,
};

/// How long a lender waits for its own draw before it responds: several calls to the store.
const LEND_WAIT: Millis = Millis::new(50);
/// Timeout of a call to another entry: [`LEND_WAIT`] and several round trips between availability
/// zones.
const LOAN_TIMEOUT: Millis = Millis::new(110);
/// An entry that did not respond is not called again for this long.
const UNRESPONSIVE_BACKOFF: Millis = Millis::new(1_000);
/// After all entries refused a loan for an account, none is asked for about this long; the delay
/// grows to [`NO_LOAN_BACKOFF_MAX`] with each further refusal.
const NO_LOAN_BACKOFF: Millis = Millis::new(150);
/// Maximum delay after refused loans.
const NO_LOAN_BACKOFF_MAX: Millis = Millis::new(600);
/// Maximum entries asked for one loan.
const MAX_LENDERS_ASKED: usize = 4;
/// Minimum time between two rounds, so that a burst of requests shares one round.
const MIN_ROUND_INTERVAL: Millis = Millis::new(5);
/// Interval between checks for surplus tokens.
const RETURN_INTERVAL: Millis = Millis::new(1_000);
/// Minimum time between returns of an account that runs short, so that several requests share one.
const SHORT_RETURN_INTERVAL: Millis = Millis::new(500);

/// Recent failures to get loans from other entries.
#[derive(Debug, Default)]
pub struct LoanFailures {
    unresponsive_until: HashMap<SocketAddr, Instant>,
    /// Accounts for which no entry had a loan.
    no_loan: HashMap<ClientAccountId, NoLoan>,
}

/// Refused loans for an account.
#[derive(Debug)]
struct NoLoan {
    /// No entry is asked before.
    until: Instant,
    backoff: Backoff,
}

impl LoanFailures {
    /// Returns true if no loan for the account is requested at present, because none was granted.
    fn is_waiting_for(&self, account: &ClientAccountId) -> bool {
        is_in_future(self.no_loan.get(account).map(|no_loan| &no_loan.until))
    }

    /// Delays the next request for a loan for the account.
    fn record_no_loan(&mut self, account: &ClientAccountId) {
        let now = Instant::now();
        let no_loan = self
            .no_loan
            .entry(account.clone())
            .or_insert_with(|| NoLoan {
                until: now,
                backoff: Backoff::new(NO_LOAN_BACKOFF, NO_LOAN_BACKOFF_MAX),
            });
        no_loan.until = now + no_loan.backoff.next_delay().duration();
    }
}

/// Requests loans for waiting requests; never returns.
pub async fn run_loans<P: Protocol>(state: Rc<State<P>>) {
    loop {
        state.loan_requested.notified().await;
        let demands = state.allocations.borrow().demands(state.now());
        let loans = demands.iter().map(|demand| borrow(&state, demand));
        join_all(loans).await;
        sleep(MIN_ROUND_INTERVAL.duration()).await;
    }
}

/// Returns surplus tokens periodically, and of accounts that run short as soon as requests leave
/// some; never returns.
pub async fn run_token_returns<P: Protocol>(state: Rc<State<P>>) {
    let mut checked_at = Instant::now();
    loop {
        let now = state.now();
        let due_at = checked_at + RETURN_INTERVAL.duration();
        if state.allocations.borrow_mut().has_told_shortage(now) {
            // The timeout is the regular interval.
            timeout_at(due_at, state.allocations_changed.notified())
                .await
                .ok();
            return_short(&state).await;
            sleep(SHORT_RETURN_INTERVAL.duration()).await;
        } else {
            sleep_until(due_at).await;
        }
        if Instant::now() >= due_at {
            checked_at = Instant::now();
            return_surplus(&state).await;
        }
    }
}

/// Entries to ask for tokens of an account: its owner, the acting owners, then other holders.
fn lenders<P>(state: &State<P>, account: &ClientAccountId) -> Vec<Contact> {
    let peers = state.peers.borrow();
    let owner_candidates = peers.owner_candidates(account);
    let holders = state.allocations.borrow().lenders(account, state.now());
    let others = holders.iter().filter(|vm| !owner_candidates.contains(vm));
    let all = owner_candidates.iter().chain(others);
    let contacts = all.filter(|vm| **vm != state.vm);
    let contacts = contacts.filter_map(|vm| peers.contact(vm));
    let loan_failures = state.loan_failures.borrow();
    let is_available =
        |contact: &Contact| !is_in_future(loan_failures.unresponsive_until.get(&contact.addr));
    contacts
        .filter(is_available)
        .take(MAX_LENDERS_ASKED)
        .collect()
}

/// Returns true if the time is set and has not passed.
fn is_in_future(until: Option<&Instant>) -> bool {
    until.is_some_and(|until| *until > Instant::now())
}

/// Asks the lenders of an account one after the other until the demand is covered, or an entry that
/// draws for the account has refused.
async fn borrow<P>(state: &State<P>, demand: &TokenDemand) {
    let account = demand.account.clone();
    if state.loan_failures.borrow().is_waiting_for(&account) {
        return;
    }
    let outcome = ask_lenders(state, demand.clone()).await;
    let mut loan_failures = state.loan_failures.borrow_mut();
    match outcome {
        Asked::Lent => {
            loan_failures.no_loan.remove(&account);
        }
        Asked::Refused | Asked::NoResponse => loan_failures.record_no_loan(&account),
    }
    drop(loan_failures);
    if outcome == Asked::NoResponse {
        // No other entry responds, but the store may be reachable.
        let now = state.now();
        state
            .allocations
            .borrow_mut()
            .become_acting_owner(&account, now);
        state.draw_requested.notify_one();
    }
    state.allocations_changed.notify_waiters();
}

/// Result of asking the lenders of an account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Asked {
    /// At least one lent tokens.
    Lent,
    /// Some responded, and none lent tokens.
    Refused,
    /// None responded.
    NoResponse,
}

async fn ask_lenders<P>(state: &State<P>, mut demand: TokenDemand) -> Asked {
    let account = demand.account.clone();
    let mut outcome = Asked::NoResponse;
    let owner = state.peers.borrow().owner(&account).cloned();
    let lenders = lenders(state, &account);
    // If the owner is not among the lenders, it is this entry or did not respond recently.
    let mut is_owner_unavailable = match lenders.first() {
        Some(first) if Some(&first.vm) == owner.as_ref() => false,
        _ => owner.as_ref() != Some(&state.vm) || state.prepaid_failures.get() > 0,
    };
    for lender in lenders {
        let is_owner = Some(&lender.vm) == owner.as_ref();
        let should_draw = is_owner || is_owner_unavailable;
        let reply = request_loan(state, &lender, &demand, should_draw).await;
        if is_owner {
            is_owner_unavailable = reply.is_none_or(cannot_draw);
        }
        let Some(reply) = reply else { continue };
        if should_draw {
            let now = state.now();
            let mut allocations = state.allocations.borrow_mut();
            allocations.record_told_shortage(&account, reply.is_short, now);
        }
        if let Some(shortage) = reply.short {
            let now = state.now();
            let refusal = LoanRefusal {
                shortage,
                store_outage: reply.store_outage,
                left: reply.left,
                exhausted_total: reply.exhausted_total,
            };
            let mut allocations = state.allocations.borrow_mut();
            allocations.record_loan_refusal(&demand, refusal, now);
        }
        if reply.tokens.is_zero() {
            if outcome == Asked::NoResponse {
                outcome = Asked::Refused;
            }
            if should_draw && !cannot_draw(reply) {
                // An entry that draws for the account knows best what is left.
                return outcome;
            }
            continue;
        }
        outcome = Asked::Lent;
        state
            .allocations
            .borrow_mut()
            .borrow(&account, reply.tokens);
        state.allocations_changed.notify_waiters();
        // Lets the requests that the loan serves reserve their tokens first.
        yield_now().await;
        let rest = state.allocations.borrow().demand(&account, state.now());
        match rest {
            Some(rest) => demand = rest,
            None => return outcome,
        }
    }
    outcome
}

/// Returns true if the lender lent too little although, as far as it knows, the account may have
/// undrawn tokens.
fn cannot_draw(reply: LoanReply) -> bool {
    matches!(reply.short, Some(Shortage::Drawable | Shortage::Unknown))
}

async fn request_loan<P>(
    state: &State<P>,
    lender: &Contact,
    demand: &TokenDemand,
    should_draw: bool,
) -> Option<LoanReply> {
    let account = &demand.account;
    let now = state.now();
    let first = state.allocations.borrow().first_claim(account);
    let delivery = state
        .allocations
        .borrow_mut()
        .loan_delivery(account, &lender.vm);
    let request = LoanRequest {
        key: lender.key.clone(),
        from: state.vm.clone(),
        account: demand.account.clone(),
        least: demand.least,
        want: demand.want,
        should_draw,
        delivery: Some(delivery),
        rank: first.map_or(0, |claim| claim.rank),
        waited: first.map_or(Millis::ZERO, |claim| now.saturating_sub(claim.since)),
        lack: Some(state.allocations.borrow().lack(account)),
    };
    let reply: Result<LoanReply, CallError> = call(state, lender.addr, LOAN_PATH, &request).await;
    state
        .allocations
        .borrow_mut()
        .record_loan_reply(account, &lender.vm, delivery, reply.is_ok());
    let outcome = match &reply {
        Ok(reply) if reply.tokens.is_zero() => {
            let short = reply.short.map(|short| format!("none: {short:?}"));
            short.unwrap_or_else(|| "none".into())
        }
        Ok(_) => "lent".to_string(),
        Err(error) => error.to_string(),
    };
    spdlog::info!("loan_requested", kv: {
        account = demand.account.as_str(),
        lender = lender.vm.as_str(),
        least = demand.least.get(),
        want = demand.want.get(),
        tokens = reply.as_ref().map_or(0, |reply| reply.tokens.get()),
        outcome = outcome,
    });
    reply.ok()
}

/// Returns surplus tokens to the owner of each account, or to another lender if the owner is
/// unavailable. They are kept if the return was not sent, and sent again if it got no response.
pub async fn return_surplus<P>(state: &State<P>) {
    let role = |account: &ClientAccountId| state.role(account);
    let entries = state.entries();
    let unanswered = state.allocations.borrow_mut().take_unanswered_returns();
    let repeated = unanswered.into_iter().map(|unanswered| {
        let contact = state.peers.borrow().contact(&unanswered.to);
        send_return(state, unanswered, contact, RETURN_AGAIN_PATH)
    });
    join_all(repeated).await;
    let given = state
        .allocations
        .borrow_mut()
        .return_surplus(role, entries, state.now());
    send_returns(state, given).await;
}

/// Returns tokens of accounts that run short: requests at other entries wait for them.
async fn return_short<P>(state: &State<P>) {
    let role = |account: &ClientAccountId| state.role(account);
    let entries = state.entries();
    let given = state
        .allocations
        .borrow_mut()
        .return_surplus_of_short(role, entries, state.now());
    send_returns(state, given).await;
}

async fn send_returns<P>(state: &State<P>, given: Vec<(ClientAccountId, Tokens)>) {
    let returns = given.into_iter().map(async |(account, tokens)| {
        let Some(owner) = lenders(state, &account).into_iter().next() else {
            state.allocations.borrow_mut().borrow(&account, tokens);
            return;
        };
        let delivery = state.allocations.borrow_mut().return_delivery(owner.start);
        let token_return = TokenReturn {
            key: owner.key.clone(),
            from: state.vm.clone(),
            account,
            tokens,
            delivery: Some(delivery),
        };
        let unanswered = UnansweredReturn {
            to: owner.vm.clone(),
            token_return,
        };
        send_return(state, unanswered, Some(owner), RETURN_PATH).await;
    });
    join_all(returns).await;
}

/// Sends a return for the first time or, by [`RETURN_AGAIN_PATH`], again. Entries of earlier
/// versions do not know that path, because they would credit a repeated return twice.
async fn send_return<P>(
    state: &State<P>,
    unanswered: UnansweredReturn,
    contact: Option<Contact>,
    path: &str,
) {
    let is_repeated = path == RETURN_AGAIN_PATH;
    let token_return = &unanswered.token_return;
    let (account, tokens) = (token_return.account.clone(), token_return.tokens);
    let owner = unanswered.to.clone();
    let reply: Result<(), CallError> = match &contact {
        Some(contact) => call(state, contact.addr, path, token_return).await,
        None => Err(CallError::Unsent("the entry does not run".into())),
    };
    let to_start = token_return.delivery.map(|delivery| delivery.to_start);
    let has_ended = contact.is_some_and(|contact| Some(contact.start) != to_start);
    let outcome = match reply {
        Ok(()) => "returned".to_string(),
        Err(CallError::Unsent(why)) if !is_repeated => {
            state.allocations.borrow_mut().borrow(&account, tokens);
            format!("kept: {why}")
        }
        // The tokens ended with the recipient, or are lost with the message.
        Err(CallError::Refused(why)) if is_repeated => format!("lost: {why}"),
        Err(CallError::Refused(why)) => {
            state.allocations.borrow_mut().borrow(&account, tokens);
            format!("kept: {why}")
        }
        Err(_) if has_ended => "lost: the entry has ended".to_string(),
        // The other entry may have received the tokens, so this entry must not use them.
        Err(CallError::Unsent(why) | CallError::Unanswered(why)) => {
            let mut allocations = state.allocations.borrow_mut();
            allocations.record_unanswered_return(unanswered);
            format!("repeated later: {why}")
        }
    };
    spdlog::info!("tokens_returned", kv: {
        account = account.as_str(),
        owner = owner.as_str(),
        tokens = tokens.get(),
        outcome = outcome,
    });
}

/// Calls another entry. An entry that does not respond is not called again for
/// [`UNRESPONSIVE_BACKOFF`].
async fn call<P, T: DeserializeOwned>(
    state: &State<P>,
    addr: SocketAddr,
    path: &str,
    message: &impl Serialize,
) -> Result<T, CallError> {
    let reply = peer_call::call(state, addr, path, message, LOAN_TIMEOUT).await;
    if reply.is_err() {
        let until = Instant::now() + UNRESPONSIVE_BACKOFF.duration();
        state
            .loan_failures
            .borrow_mut()
            .unresponsive_until
            .insert(addr, until);
    }
    reply
}

/// Takes tokens that another entry returns. False if they are meant for another incarnation.
pub fn handle_return<P>(state: &State<P>, token_return: &TokenReturn) -> bool {
    let now = state.now();
    let mut allocations = state.allocations.borrow_mut();
    let is_accepted = allocations.accept_return(token_return, now);
    drop(allocations);
    state.allocations_changed.notify_waiters();
    is_accepted
}

/// Lends tokens; the owner or acting owner first draws if it holds too few. The borrower decides
/// whether this entry is one of them, from the heartbeats that it has read.
pub async fn lend<P>(state: &State<P>, request: &LoanRequest) -> LoanReply {
    let account = &request.account;
    let until = Instant::now() + LEND_WAIT.duration();
    if request.should_draw {
        if state.role(account) == Role::Borrower {
            let now = state.now();
            state
                .allocations
                .borrow_mut()
                .become_acting_owner(account, now);
        }
        wait_for_draw(state, request, until).await;
    }
    let now = state.now();
    let mut allocations = state.allocations.borrow_mut();
    let tokens = allocations.lend(request, now);
    let is_short = allocations.is_short(account, now);
    let short = (tokens < request.least).then(|| allocations.loan_shortage(request, now));
    let left = short.and_then(|_| allocations.left(account, now));
    let exhausted_total = short.and_then(|_| allocations.exhausted_total(account));
    drop(allocations);
    let store_outage = state.store_health.borrow().outage(now);
    state.draw_requested.notify_one();
    if is_short && !tokens.is_zero() {
        let name = cyc_obs::names::PREPAID_LAST_LOANS;
        state.metrics.incr(name).ok();
    }
    spdlog::info!("loan_answered", kv: {
        account = account.as_str(),
        borrower = request.from.as_str(),
        least = request.least.get(),
        want = request.want.get(),
        rank = request.rank,
        waited_ms = request.waited.get(),
        tokens = tokens.get(),
        is_short = is_short,
        shortage = short.map(|short| format!("{short:?}")).unwrap_or_default(),
        left = left.map_or(0, Tokens::get),
    });
    LoanReply {
        tokens,
        short,
        store_outage,
        is_short,
        left,
        exhausted_total,
    }
}

/// Waits while a draw, or during a shortage a return, can provide the requested tokens.
async fn wait_for_draw<P>(state: &State<P>, request: &LoanRequest, until: Instant) {
    let account = &request.account;
    let lacks = |now: Millis| {
        let allocations = state.allocations.borrow();
        if allocations.can_lend(request, now) {
            return false;
        }
        match allocations.shortage(account, request.least, now) {
            Shortage::Drawable | Shortage::Unknown => state.prepaid_failures.get() == 0,
            Shortage::Elsewhere => allocations.is_short(account, now),
            Shortage::Exhausted => false,
        }
    };
    loop {
        let changed = state.allocations_changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        if !lacks(state.now()) {
            return;
        }
        // It waits among the requests of this entry, except while it is compared with them above.
        let claim = Claim {
            tokens: request.want,
            ..request.claim(state.now())
        };
        let _waiter = LoanWaiter {
            state,
            account,
            id: state.allocations.borrow_mut().add_claim(account, claim),
        };
        state.draw_requested.notify_one();
        if timeout_at(until, changed).await.is_err() {
            return;
        }
    }
}

/// Registers a request for a loan that waits for tokens until dropped, also if its borrower leaves.
struct LoanWaiter<'a, P> {
    state: &'a State<P>,
    account: &'a ClientAccountId,
    id: WaiterId,
}

impl<P> Drop for LoanWaiter<'_, P> {
    fn drop(&mut self) {
        let mut allocations = self.state.allocations.borrow_mut();
        allocations.remove_claim(self.account, self.id);
    }
}
