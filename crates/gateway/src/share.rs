//! Prepaid tokens: the record that all entries share, and what this entry holds of it.
//!
//! An entry spends only tokens that it has drawn by a conditional write, so no account can use
//! more than it has paid for, however entries are cut off or stopped. Tokens drawn by an entry
//! that dies count as used: the size of a draw is what a kill can cost the account.

use std::{collections::BTreeMap, net::SocketAddr};

use cyc_types::{ClientAccountId, Millis, Tokens, Version, VmId};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

mod loan;

pub use loan::{LoanReply, LoanRequest};

/// The use that an entry keeps drawn ahead: the store is away for up to 9 s at a time.
pub const COVER: Millis = Millis::new(10_000);
/// All entries together keep at most this part of what an account has left, in percent, so that
/// a request finds tokens at any entry and a kill of all entries leaves some.
const HELD_PERCENT: u64 = 15;
/// What an account may lose by kills before entries hold less of it, in percent of what it paid.
const LOSS_PERCENT: u64 = 12;
/// After that all entries together hold this part of what is left, in percent.
const CAREFUL_PERCENT: u64 = 3;
/// The smallest part of an account that an entry may hold, relative to an even part.
const MIN_PART: f64 = 0.25;
/// The largest request of the last while is remembered for this long.
const LARGEST_FOR: Millis = Millis::new(20_000);
/// The first draw without a measured rate, as a part of the prepaid total.
const FIRST_PART: u64 = 150;
/// A surplus below this part of the prepaid total is not worth a write of its own.
const SURPLUS_PART: u64 = 100;
/// Time constant of the measured rate of use.
const RATE_SPAN: Millis = Millis::new(3_000);
/// An entry whose record has not changed for this long is not counted as running.
pub const HOLDER_TIMEOUT: Millis = Millis::new(6_000);
/// Each entry writes at least this often, so that others can count it.
pub const HEARTBEAT: Millis = Millis::new(2_000);
/// Records of entries that have not written for this long are removed.
const HOLDER_PRUNE: Millis = Millis::new(30_000);

/// What one entry last wrote of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// Tells apart the starts of the entry.
    pub start: u64,
    /// Number of the last write of this start. It only grows.
    pub writes: u64,
    /// Where other entries reach it.
    #[serde(default)]
    pub peers: Option<SocketAddr>,
    /// Drawn tokens that were not used at that write; zero amounts are left out.
    pub unspent: BTreeMap<ClientAccountId, Tokens>,
    /// Tokens that it used in a second, by its own measure at that write; zeros are left out.
    #[serde(default)]
    pub rates: BTreeMap<ClientAccountId, Tokens>,
}

/// The record that all entries share.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shares {
    /// Drawn at random by the first writer: entries show it to each other.
    #[serde(default)]
    pub key: SmolStr,
    /// Tokens drawn by all entries, less what they returned. Invariant: at most the prepaid total.
    pub drawn: BTreeMap<ClientAccountId, Tokens>,
    /// Tokens that were lost with entries that ended without returning them.
    #[serde(default)]
    pub lost: BTreeMap<ClientAccountId, Tokens>,
    /// The entries.
    pub holders: BTreeMap<VmId, Holder>,
}

impl Shares {
    fn drawn(&self, account: &ClientAccountId) -> Tokens {
        self.drawn.get(account).copied().unwrap_or_default()
    }
}

/// Tokens reserved for one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reservation {
    /// The account.
    pub account: ClientAccountId,
    /// The most that the request can cost.
    pub tokens: Tokens,
}

/// Why tokens were not reserved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Short {
    /// What is left of the account, here and elsewhere, does not cover the request.
    Exhausted,
    /// Tokens are left in the record; a draw may bring them.
    Drawable,
    /// Tokens are left, but other entries hold them, or they are reserved here.
    Elsewhere,
    /// The record has not been read since the account was configured.
    Unknown,
}

/// The tokens of one account at this entry.
#[derive(Debug, Clone, Default)]
struct Purse {
    free: Tokens,
    reserved: Tokens,
    /// The part of `reserved` that targets have already used: prompts of requests that run.
    running: Tokens,
    /// What each waiting request needs.
    waiting: Vec<Tokens>,
    lent: loan::Lent,
    /// Tokens a second, exponentially averaged.
    rate: f64,
    rated: Millis,
    /// The most that one of the recent requests could cost, and when it came.
    largest: (Tokens, Millis),
}

impl Purse {
    /// Returns what the waiting requests need together.
    fn wanted(&self) -> Tokens {
        self.waiting.iter().copied().sum()
    }

    /// Returns what is not used yet.
    fn unspent(&self) -> Tokens {
        self.free + self.reserved.saturating_sub(self.running)
    }

    fn rate(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.rated).get() as f64;
        self.rate * (-age / RATE_SPAN.get() as f64).exp()
    }

    fn note_use(&mut self, used: Tokens, now: Millis) {
        let span_s = RATE_SPAN.get() as f64 / 1_000.0;
        self.rate = self.rate(now) + used.get() as f64 / span_s;
        self.rated = now;
    }

    fn note_size(&mut self, worst: Tokens, now: Millis) {
        let is_old = now.saturating_sub(self.largest.1) > LARGEST_FOR;
        if is_old || worst >= self.largest.0 {
            self.largest = (worst, now);
        }
    }

    /// Returns what covers the expected use in [`COVER`], and one more large request.
    fn cover(&self, now: Millis) -> Tokens {
        let expected = self.rate(now) * COVER.get() as f64 / 1_000.0;
        Tokens::new(expected as u64) + self.largest.0
    }
}

/// One account's part of a [`Plan`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Move {
    /// The account.
    pub account: ClientAccountId,
    /// Tokens that the write draws.
    pub drawn: Tokens,
    /// Tokens that the write returns; they cannot be used from the making of the plan on.
    pub returned: Tokens,
}

/// A write of the shared record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// The version that the record must have; `None` if it must not exist.
    pub base: Option<Version>,
    /// The record to be written.
    pub shares: Shares,
    /// What the write moves.
    pub moves: Vec<Move>,
}

/// What this entry holds of the prepaid tokens.
#[derive(Debug)]
pub struct Wallet {
    me: VmId,
    peers: Option<SocketAddr>,
    start: u64,
    writes: u64,
    purses: BTreeMap<ClientAccountId, Purse>,
    prepaid: BTreeMap<ClientAccountId, Tokens>,
    seen: Option<(Option<Version>, Shares)>,
    written: Option<Millis>,
    /// Last change of each entry's record: its start, its writes and when that was seen.
    changes: BTreeMap<VmId, (u64, u64, Millis)>,
    /// The write whose outcome is not known. Invariant: no other write starts before it is.
    pending: Option<Plan>,
    /// A send of `pending` got no answer, so that it may be made as long as the record has the
    /// version that it is based on.
    is_unanswered: bool,
    /// This entry stops and returns what it holds.
    is_closed: bool,
}

impl Wallet {
    /// Creates the empty wallet of one start of an entry.
    pub fn new(me: VmId, start: u64) -> Self {
        Self {
            me,
            peers: None,
            start,
            writes: 0,
            purses: BTreeMap::new(),
            prepaid: BTreeMap::new(),
            seen: None,
            written: None,
            changes: BTreeMap::new(),
            pending: None,
            is_unanswered: false,
            is_closed: false,
        }
    }

    /// Sets where other entries reach this one.
    pub fn set_peers(&mut self, addr: SocketAddr) {
        self.peers = Some(addr);
    }

    /// Takes the prepaid totals of the configuration in force.
    pub fn set_prepaid(&mut self, totals: impl IntoIterator<Item = (ClientAccountId, Tokens)>) {
        self.prepaid = totals.into_iter().collect();
    }

    /// Returns the prepaid total of an account.
    pub fn prepaid(&self, account: &ClientAccountId) -> Tokens {
        self.prepaid.get(account).copied().unwrap_or_default()
    }

    /// Returns the number of running entries, with this one.
    pub fn entries(&self, now: Millis) -> usize {
        let runs = |(vm, (_, _, at)): (&VmId, &(u64, u64, Millis))| {
            *vm != self.me && now.saturating_sub(*at) <= HOLDER_TIMEOUT
        };
        1 + self.changes.iter().filter(|change| runs(*change)).count()
    }

    /// Returns free and reserved tokens of an account here.
    pub fn holding(&self, account: &ClientAccountId) -> (Tokens, Tokens) {
        let purse = self.purses.get(account);
        purse.map_or((Tokens::ZERO, Tokens::ZERO), |purse| {
            (purse.free, purse.reserved)
        })
    }
}

/// Requests.
impl Wallet {
    /// Reserves the most that a request can cost.
    ///
    /// # Errors
    /// Why the tokens are not here.
    pub fn reserve(
        &mut self,
        account: &ClientAccountId,
        worst: Tokens,
        now: Millis,
    ) -> Result<Reservation, Short> {
        let purse = self.purses.entry(account.clone()).or_default();
        if let Some(rest) = purse.free.checked_sub(worst) {
            purse.free = rest;
            purse.reserved += worst;
            return Ok(Reservation {
                account: account.clone(),
                tokens: worst,
            });
        }
        Err(self.shortage(account, worst, now))
    }

    /// Notes that a target uses `tokens` of a reservation, or that it turned out not to.
    pub fn set_running(&mut self, reservation: &Reservation, tokens: Tokens, is_running: bool) {
        let purse = self.purses.entry(reservation.account.clone()).or_default();
        purse.running = match is_running {
            true => purse.running + tokens,
            false => purse.running.saturating_sub(tokens),
        };
    }

    /// Ends a reservation of which `used` was used; the rest is free again.
    pub fn settle(&mut self, reservation: &Reservation, used: Tokens, now: Millis) {
        let purse = self.purses.entry(reservation.account.clone()).or_default();
        purse.note_size(reservation.tokens, now);
        let used = used.min(reservation.tokens);
        purse.reserved = purse.reserved.saturating_sub(reservation.tokens);
        purse.free += reservation.tokens.saturating_sub(used);
        purse.note_use(used, now);
    }

    /// Notes that a request waits for `worst` tokens.
    pub fn want(&mut self, account: &ClientAccountId, worst: Tokens) {
        let purse = self.purses.entry(account.clone()).or_default();
        purse.waiting.push(worst);
    }

    /// Notes that such a request waits no longer.
    pub fn unwant(&mut self, account: &ClientAccountId, worst: Tokens) {
        let purse = self.purses.entry(account.clone()).or_default();
        if let Some(index) = purse.waiting.iter().position(|waiting| *waiting == worst) {
            purse.waiting.swap_remove(index);
        }
    }

    /// Returns everything that is not reserved with the next writes; nothing is drawn any more.
    pub fn close(&mut self) {
        self.is_closed = true;
    }

    /// Returns true if nothing is left to return.
    pub fn is_returned(&self) -> bool {
        self.pending.is_none() && self.purses.values().all(|purse| purse.free.is_zero())
    }

    fn shortage(&self, account: &ClientAccountId, worst: Tokens, now: Millis) -> Short {
        let (Some((_, shares)), Some(paid)) = (&self.seen, self.prepaid.get(account)) else {
            return Short::Unknown;
        };
        let left = paid.saturating_sub(shares.drawn(account));
        let purse = self.purses.get(account);
        let free = purse.map_or(Tokens::ZERO, |purse| purse.free);
        let here = purse.map_or(Tokens::ZERO, Purse::unspent);
        if left + free >= worst {
            return Short::Drawable;
        }
        let others = shares.holders.iter().filter(|(vm, _)| **vm != self.me);
        let unspent = others.filter_map(|(_, holder)| holder.unspent.get(account).copied());
        let lent = self.purses.get(account);
        let lent = lent.map_or(Tokens::ZERO, |purse| purse.lent.counted(now));
        let elsewhere = unspent.sum::<Tokens>() + lent;
        if left + here + elsewhere >= worst {
            Short::Elsewhere
        } else {
            Short::Exhausted
        }
    }
}

/// Returns what all entries together should hold of an account that has `total` left, whoever
/// holds it. Less once kills have cost the account its share of losses.
fn held_by_all(shares: &Shares, account: &ClientAccountId, paid: Tokens, total: Tokens) -> u64 {
    let lost = shares.lost.get(account).copied().unwrap_or_default();
    let may_lose = (paid.get() * LOSS_PERCENT / 100).saturating_sub(lost.get());
    let careful = total.get() * CAREFUL_PERCENT / 100;
    (total.get() * HELD_PERCENT / 100).min(may_lose.max(careful))
}

/// Writes of the shared record.
impl Wallet {
    /// Takes the record as read, and settles a write of unknown outcome by it.
    pub fn observe(&mut self, version: Option<Version>, shares: Shares, now: Millis) {
        for (vm, holder) in &shares.holders {
            let mark = (holder.start, holder.writes);
            let known = self.changes.get(vm).map(|known| (known.0, known.1));
            if known != Some(mark) {
                self.changes.insert(vm.clone(), (mark.0, mark.1, now));
            }
        }
        if let Some(plan) = &self.pending {
            let mine = shares.holders.get(&self.me);
            let landed =
                mine.is_some_and(|mine| mine.start == self.start && mine.writes == self.writes);
            if landed {
                self.finish(true);
            } else if plan.base != version {
                self.finish(false);
            }
        }
        self.seen = Some((version, shares));
    }

    /// Returns true if a write is due, as far as the record is known.
    pub fn is_due(&self, now: Millis) -> bool {
        let moves = |(_, shares): &(Option<Version>, Shares)| !self.moves(shares, now).is_empty();
        self.pending.is_some()
            || self.is_heartbeat_due(now)
            || self
                .purses
                .values()
                .any(|purse| purse.free < purse.wanted())
            || self.seen.as_ref().is_none_or(moves)
    }

    fn is_heartbeat_due(&self, now: Millis) -> bool {
        let written = self.written;
        written.is_none_or(|at| now.saturating_sub(at) >= HEARTBEAT)
    }

    fn moves(&self, shares: &Shares, now: Millis) -> Vec<Move> {
        let accounts = self.prepaid.keys();
        accounts
            .filter_map(|account| self.plan_move(shares, account.clone(), now))
            .collect()
    }

    /// Returns the write that is due: the one of unknown outcome again, or a new one.
    pub fn plan(&mut self, now: Millis) -> Option<Plan> {
        if let Some(pending) = &self.pending {
            return Some(pending.clone());
        }
        let (base, shares) = self.seen.clone()?;
        let moves = self.moves(&shares, now);
        if moves.is_empty() && !self.is_heartbeat_due(now) {
            return None;
        }
        self.writes += 1;
        let shares = self.next_shares(shares, &moves, now);
        for step in &moves {
            let purse = self.purses.entry(step.account.clone()).or_default();
            purse.free = purse.free.saturating_sub(step.returned);
        }
        let plan = Plan {
            base,
            shares,
            moves,
        };
        self.pending = Some(plan.clone());
        Some(plan)
    }

    /// Notes that the planned write was made and gave the record `version`.
    pub fn written(&mut self, version: Version, now: Millis) {
        if let Some(plan) = &self.pending {
            self.seen = Some((Some(version), plan.shares.clone()));
        }
        self.written = Some(now);
        self.finish(true);
    }

    /// Notes that a send of the planned write was refused without effect.
    pub fn refused(&mut self) {
        if !self.is_unanswered {
            self.finish(false);
        }
    }

    /// Notes that a send of the planned write got no answer: it may be made, now or later.
    pub fn unanswered(&mut self) {
        self.is_unanswered = self.pending.is_some();
    }

    fn finish(&mut self, is_done: bool) {
        let Some(plan) = self.pending.take() else {
            return;
        };
        self.is_unanswered = false;
        for step in plan.moves {
            let purse = self.purses.entry(step.account).or_default();
            purse.free += if is_done { step.drawn } else { step.returned };
        }
    }

    fn plan_move(&self, shares: &Shares, account: ClientAccountId, now: Millis) -> Option<Move> {
        let paid = *self.prepaid.get(&account)?;
        let left = paid.saturating_sub(shares.drawn(&account));
        let purse = self.purses.get(&account).cloned().unwrap_or_default();
        let keep = self.keep(shares, &account, paid, now);
        let wanted = purse.wanted() + keep;
        let is_low = purse.free < purse.wanted() || purse.free.get() < keep.get() * 3 / 4;
        if is_low && !self.is_closed {
            let lack = wanted.saturating_sub(purse.free);
            let drawn = lack.min(left);
            return (!drawn.is_zero()).then_some(Move {
                account,
                drawn,
                returned: Tokens::ZERO,
            });
        }
        let surplus = purse
            .free
            .saturating_sub(wanted + Tokens::new(keep.get() / 2));
        let is_worth = self.is_closed || surplus.get() > paid.get() / SURPLUS_PART;
        (is_worth && !surplus.is_zero()).then_some(Move {
            account,
            drawn: Tokens::ZERO,
            returned: surplus,
        })
    }

    /// Returns what should be kept here of an account. Its part of what the account has left
    /// does not depend on who holds that, so that entries do not pass tokens back and forth.
    fn keep(
        &self,
        shares: &Shares,
        account: &ClientAccountId,
        paid: Tokens,
        now: Millis,
    ) -> Tokens {
        if self.is_closed {
            return Tokens::ZERO;
        }
        let unspent = shares
            .holders
            .iter()
            .filter(|(vm, _)| **vm != self.me)
            .filter_map(|(_, holder)| holder.unspent.get(account).copied());
        let here = self
            .purses
            .get(account)
            .map_or(Tokens::ZERO, Purse::unspent);
        let left = paid.saturating_sub(shares.drawn(account));
        let total: Tokens = unspent.sum::<Tokens>() + here + left;
        let held = held_by_all(shares, account, paid, total);
        let purse = self.purses.get(account);
        let rate = purse.map_or(0.0, |purse| purse.rate(now));
        let fair = held as f64 * self.part(shares, account, rate, now);
        let first = Tokens::new(paid.get() / FIRST_PART);
        let cover = purse.map_or(Tokens::ZERO, |purse| purse.cover(now));
        cover.max(first).min(Tokens::new(fair as u64))
    }

    /// Returns this entry's part of an account's use, at least a quarter of an even part:
    /// callers of one account mostly stay with one entry.
    fn part(&self, shares: &Shares, account: &ClientAccountId, rate: f64, now: Millis) -> f64 {
        let others = shares.holders.iter().filter(|(vm, _)| **vm != self.me);
        let running = others.filter(|(vm, _)| {
            let change = self.changes.get(*vm);
            change.is_some_and(|change| now.saturating_sub(change.2) <= HOLDER_PRUNE)
        });
        let rates = running.filter_map(|(_, holder)| holder.rates.get(account));
        let elsewhere: Tokens = rates.copied().sum();
        let all = rate + elsewhere.get() as f64;
        let even = 1.0 / self.entries(now) as f64;
        let own = if all > 0.0 { rate / all } else { even };
        own.max(even * MIN_PART)
    }

    fn next_shares(&self, mut shares: Shares, moves: &[Move], now: Millis) -> Shares {
        let mut unspent: BTreeMap<ClientAccountId, Tokens> = self
            .purses
            .iter()
            .map(|(account, purse)| (account.clone(), purse.unspent()))
            .collect();
        for step in moves {
            let drawn = shares.drawn.entry(step.account.clone()).or_default();
            *drawn = (*drawn + step.drawn).saturating_sub(step.returned);
            let here = unspent.entry(step.account.clone()).or_default();
            *here = (*here + step.drawn).saturating_sub(step.returned);
        }
        unspent.retain(|_, tokens| !tokens.is_zero());
        let is_recent = |vm: &VmId| {
            let change = self.changes.get(vm);
            change.is_none_or(|(_, _, at)| now.saturating_sub(*at) <= HOLDER_PRUNE)
        };
        if shares.key.is_empty() {
            shares.key = format!("{:032x}", rand::random::<u128>()).into();
        }
        let is_gone = |vm: &VmId, holder: &Holder| {
            let is_replaced = *vm == self.me && holder.start != self.start;
            is_replaced || !is_recent(vm)
        };
        let gone = shares
            .holders
            .iter()
            .filter(|(vm, holder)| is_gone(vm, holder));
        for (account, tokens) in gone.flat_map(|(_, holder)| &holder.unspent) {
            *shares.lost.entry(account.clone()).or_default() += *tokens;
        }
        shares.holders.retain(|vm, _| is_recent(vm));
        let rates = self.purses.iter().filter_map(|(account, purse)| {
            let rate = Tokens::new(purse.rate(now) as u64);
            (!rate.is_zero()).then(|| (account.clone(), rate))
        });
        let mine = Holder {
            start: self.start,
            writes: self.writes,
            peers: self.peers,
            unspent,
            rates: rates.collect(),
        };
        shares.holders.insert(self.me.clone(), mine);
        shares
    }
}
