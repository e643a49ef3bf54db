//! The state of a pool: slots in use and queued requests by client account.

use std::collections::{BTreeMap, VecDeque};

use cyc_types::{ClientAccountId, ErrorKind, Millis, Refusal};
use tokio::sync::oneshot;

use super::{Options, Permit, RETRY_AFTER_MIN};

/// Weight of the newest sample in the moving average of the time that a slot is held.
const HOLD_TIME_ALPHA: f64 = 0.1;

/// A request that waits for a slot.
#[derive(Debug)]
pub(super) struct Waiter {
    pub(super) account: ClientAccountId,
    pub(super) tx: oneshot::Sender<Result<Permit, Refusal>>,
}

/// A waiter that was evicted from a full queue, and its refusal.
pub(super) type Evicted = Option<(Waiter, Refusal)>;

#[derive(Debug)]
struct Account {
    /// Invariant: at least 1.
    weight: u32,
    running: usize,
    /// Oldest first, with increasing ids.
    waiting: VecDeque<(u64, Waiter)>,
}

impl Account {
    fn per_weight(&self, count: usize) -> f64 {
        count as f64 / f64::from(self.weight)
    }
}

#[derive(Debug)]
pub(super) struct Queue {
    options: Options,
    running: usize,
    waiting: usize,
    next_id: u64,
    /// Moving average of the time that a slot is held; `None` until one was released.
    mean_hold_ms: Option<f64>,
    /// Accounts with running or waiting requests.
    accounts: BTreeMap<ClientAccountId, Account>,
}

impl Queue {
    pub(super) fn new(options: Options) -> Self {
        Self {
            options,
            running: 0,
            waiting: 0,
            next_id: 0,
            mean_hold_ms: None,
            accounts: BTreeMap::new(),
        }
    }

    pub(super) fn resize(&mut self, slots: usize) {
        self.options.slots = slots.max(1);
    }

    pub(super) fn counts(&self) -> (usize, usize) {
        (self.running, self.waiting)
    }

    /// Queues a request. A full queue evicts a waiter of another account that has more queued
    /// requests relative to its weight.
    pub(super) fn push(
        &mut self,
        waiter: Waiter,
        weight: u32,
        timeout: Millis,
    ) -> Result<(u64, Evicted), Refusal> {
        let weight = weight.max(1);
        let wait = self.estimate_wait(&waiter.account, weight);
        if wait.get() as f64 > timeout.get() as f64 * self.options.refuse_factor {
            return Err(refusal(
                ErrorKind::Overloaded,
                wait,
                "the queue is too long",
            ));
        }
        let is_full =
            self.waiting >= self.options.queue_limit && self.running >= self.options.slots;
        let evicted = match is_full {
            true => Some(self.evict_waiter(&waiter.account, weight, wait)?),
            false => None,
        };
        let id = self.next_id;
        self.next_id += 1;
        self.waiting += 1;
        let new_account = || Account {
            weight,
            running: 0,
            waiting: VecDeque::new(),
        };
        let account = self
            .accounts
            .entry(waiter.account.clone())
            .or_insert_with(new_account);
        account.weight = weight;
        account.waiting.push_back((id, waiter));
        Ok((id, evicted))
    }

    /// Evicts the newest waiter of the account with the most queued requests relative to its
    /// weight, if that is more than `account` would have.
    fn evict_waiter(
        &mut self,
        account: &ClientAccountId,
        weight: u32,
        wait: Millis,
    ) -> Result<(Waiter, Refusal), Refusal> {
        let own = self
            .accounts
            .get(account)
            .map_or(0, |account| account.waiting.len());
        let own = (own + 1) as f64 / f64::from(weight);
        let largest = self.accounts.iter().max_by(|(_, a), (_, b)| {
            a.per_weight(a.waiting.len())
                .total_cmp(&b.per_weight(b.waiting.len()))
        });
        let largest =
            largest.filter(|(id, a)| *id != account && a.per_weight(a.waiting.len()) > own);
        let Some(id) = largest.map(|(id, _)| id.clone()) else {
            let kind = match own > self.fair_share() {
                true => ErrorKind::AccountLimited,
                false => ErrorKind::Overloaded,
            };
            return Err(refusal(kind, wait, "the queue is full"));
        };
        let newest = self
            .accounts
            .get_mut(&id)
            .and_then(|a| a.waiting.pop_back());
        let Some((_, waiter)) = newest else {
            return Err(refusal(ErrorKind::Overloaded, wait, "the queue is full"));
        };
        self.waiting -= 1;
        let refusal = refusal(ErrorKind::AccountLimited, wait, "others wait with less");
        Ok((waiter, refusal))
    }

    /// Queue places per unit of weight.
    fn fair_share(&self) -> f64 {
        self.options.queue_limit as f64 / f64::from(self.total_weight(None).max(1))
    }

    fn total_weight(&self, without: Option<&ClientAccountId>) -> u32 {
        let others = self.accounts.iter().filter(|(id, _)| Some(*id) != without);
        others
            .map(|(_, account)| account.weight)
            .fold(0, u32::saturating_add)
    }

    /// Removes the next request that gets a slot, if a slot is free and a request is queued.
    pub(super) fn dequeue(&mut self) -> Option<Waiter> {
        if self.running >= self.options.slots {
            return None;
        }
        let waiting = self
            .accounts
            .values_mut()
            .filter(|account| !account.waiting.is_empty());
        let oldest = |account: &Account| account.waiting.front().map(|(id, _)| *id);
        let next = waiting.min_by(|a, b| {
            let by_share = a.per_weight(a.running).total_cmp(&b.per_weight(b.running));
            by_share.then_with(|| oldest(a).cmp(&oldest(b)))
        })?;
        let (_, waiter) = next.waiting.pop_front()?;
        next.running += 1;
        self.running += 1;
        self.waiting -= 1;
        Some(waiter)
    }

    /// Releases a slot that was held for `held`.
    pub(super) fn release(&mut self, account: &ClientAccountId, held: Millis) {
        let sample = held.get() as f64;
        let mean = self.mean_hold_ms.unwrap_or(sample);
        self.mean_hold_ms = Some(mean + (sample - mean) * HOLD_TIME_ALPHA);
        self.running = self.running.saturating_sub(1);
        if let Some(found) = self.accounts.get_mut(account) {
            found.running = found.running.saturating_sub(1);
        }
        self.remove_if_idle(account);
    }

    /// Removes a request if it is still queued.
    pub(super) fn remove(&mut self, account: &ClientAccountId, id: u64) {
        let Some(found) = self.accounts.get_mut(account) else {
            return;
        };
        let before = found.waiting.len();
        found.waiting.retain(|(waiting, _)| *waiting != id);
        self.waiting -= before - found.waiting.len();
        self.remove_if_idle(account);
    }

    fn remove_if_idle(&mut self, account: &ClientAccountId) {
        let found = self.accounts.get(account);
        if found.is_some_and(|found| found.running == 0 && found.waiting.is_empty()) {
            self.accounts.remove(account);
        }
    }

    /// Estimates how long another request of `account` would wait.
    ///
    /// The account is assumed to get the fraction of the slots that its weight has in the sum of
    /// the weights of all active accounts.
    pub(super) fn estimate_wait(&self, account: &ClientAccountId, weight: u32) -> Millis {
        let Some(mean_hold_ms) = self
            .mean_hold_ms
            .filter(|_| self.running >= self.options.slots)
        else {
            return Millis::ZERO;
        };
        let ahead = self
            .accounts
            .get(account)
            .map_or(0, |found| found.waiting.len())
            + 1;
        let weight = f64::from(weight.max(1));
        let fraction = weight / (weight + f64::from(self.total_weight(Some(account))));
        let wait = ahead as f64 * mean_hold_ms / (self.options.slots as f64 * fraction);
        Millis::new(wait as u64)
    }
}

fn refusal(kind: ErrorKind, wait: Millis, why: &'static str) -> Refusal {
    Refusal::new(kind, why).with_retry_after(wait.max(RETRY_AFTER_MIN))
}
