//! Decisions about requests, readiness and connections.

use cyc_types::{DecayingSum, Millis};
use smol_str::SmolStr;

use crate::{Accounts, Direction, Link, LinkRate, Readiness, ReturnReason};

/// Part of a route's objective that requests may queue at the link.
const WAIT_DIVISOR: u64 = 4;
/// The same for urgent requests, which are refused last.
const WAIT_DIVISOR_URGENT: u64 = 2;
/// The same for accounts that send more than their usual share, which are refused first.
const WAIT_DIVISOR_EXCESS: u64 = 16;
/// Of so many requests of one class in a row at least one is admitted, so that none is starved.
const MOST_REFUSED_IN_ROW: u32 = 19;
/// Most bytes that pass the link for each byte of a request; larger answers cannot be predicted.
const MAX_BYTES_FACTOR: f64 = 16.0;
/// After an overload of this length the load counts as usual.
const USUAL_AFTER: Millis = Millis::MINUTE;
/// Least time until a refused caller may return. It reaches another entry, which may serve it at once.
const LEAST_RETRY: Millis = Millis::new(50);

/// Requests that are refused at the same length of the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Class {
    /// Urgent, within the usual share of the account.
    Urgent,
    /// Urgent beyond that share, or not urgent within it.
    Ordinary,
    /// Not urgent, and beyond the usual share of the account.
    Excess,
}

impl Class {
    fn new(urgency: u8, is_excess: bool) -> Self {
        match (urgency, is_excess) {
            (0, false) => Self::Urgent,
            (0, true) | (_, false) => Self::Ordinary,
            (_, true) => Self::Excess,
        }
    }

    fn longest_wait(self, objective: Millis) -> Millis {
        let divisor = match self {
            Self::Urgent => WAIT_DIVISOR_URGENT,
            Self::Ordinary => WAIT_DIVISOR,
            Self::Excess => WAIT_DIVISOR_EXCESS,
        };
        Millis::new(objective.get() / divisor)
    }
}

/// A new request.
#[derive(Debug, Clone)]
pub struct Arrival<'a> {
    /// The account that pays; empty if there is none.
    pub account: &'a SmolStr,
    /// Priority; 0 is the most urgent.
    pub urgency: u8,
    /// Size of head and body.
    pub bytes: u64,
    /// Latency objective of the route.
    pub objective: Millis,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rejection {
    /// How long the request would queue at the link.
    pub wait: Millis,
    /// The account sends more than its usual share.
    pub is_excess: bool,
    /// When this entry can take such a request.
    pub retry_after: Millis,
}

/// A change of state, to be logged.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// The link is overloaded; contains its load relative to the capacity.
    Overloaded(f64),
    /// The overload is over; contains its length.
    Recovered(Millis),
    /// The entry leaves the rotation; contains the account that is the cause.
    Left(SmolStr),
    /// The entry is ready again; contains the reason, and how long it was away.
    Returned(ReturnReason, Millis),
}

/// What an entry does when its callers overload it.
#[derive(Debug)]
pub struct Intake {
    link: Link,
    accounts: Accounts,
    readiness: Readiness,
    /// Bytes of admitted requests, by the time constant of the link.
    admitted: DecayingSum,
    /// Bytes that admitted requests are expected to send and that have not passed the link yet.
    backlog: f64,
    drained_at: Millis,
    overloaded_at: Millis,
    /// Other entries run, which can serve what this one refuses; as of the last readiness check.
    has_others: bool,
    /// Refused requests of each class since the last admitted one.
    refused_in_row: [u32; 3],
    /// Bounded by its reader, which takes the changes after each call.
    changes: Vec<Change>,
}

impl Intake {
    /// Creates the state of an entry whose link has this capacity.
    pub fn new(rate: LinkRate) -> Self {
        Self {
            link: Link::new(rate),
            accounts: Accounts::default(),
            readiness: Readiness::default(),
            admitted: DecayingSum::default(),
            backlog: 0.0,
            drained_at: Millis::ZERO,
            overloaded_at: Millis::ZERO,
            has_others: false,
            refused_in_row: [0; 3],
            changes: Vec::new(),
        }
    }

    /// Records bytes that have passed the link.
    pub fn record_bytes(&mut self, direction: Direction, bytes: u64) {
        self.link.record(direction, bytes);
    }

    /// Records a new connection of a caller.
    pub fn record_connection(&mut self, now: Millis) {
        self.readiness.record_connection(now);
    }

    /// Records a delay of a connection, a call to another entry or a task.
    pub fn record_delay(&mut self, delay: Millis, now: Millis) {
        self.link.record_delay(delay, now);
    }

    /// Starts to measure anew after the process was frozen.
    pub fn resume(&mut self, now: Millis) {
        self.link.resume(now);
        self.admitted = DecayingSum::default();
        self.backlog = 0.0;
        self.drained_at = now;
    }

    /// Returns true if the link is overloaded.
    pub fn is_overloaded(&self) -> bool {
        self.link.overloaded_since().is_some()
    }

    /// Load of the link relative to its capacity.
    pub fn utilization(&self, now: Millis) -> f64 {
        self.link.utilization(now)
    }

    /// Takes the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    fn evaluate(&mut self, now: Millis) {
        if !self.link.evaluate(now) {
            return;
        }
        let change = match self.is_overloaded() {
            true => {
                self.overloaded_at = now;
                Change::Overloaded(self.utilization(now))
            }
            false => Change::Recovered(now.saturating_sub(self.overloaded_at)),
        };
        self.changes.push(change);
    }

    /// Bytes per millisecond that admitted requests may use.
    fn admission_rate(&self) -> f64 {
        self.link.rate().bytes_per_ms() * Link::full_share()
    }

    fn drain(&mut self, now: Millis) {
        let elapsed = now.saturating_sub(self.drained_at).get() as f64;
        self.backlog = (self.backlog - elapsed * self.admission_rate()).max(0.0);
        self.drained_at = now;
    }

    /// Bytes that the entry sends for a request of this size.
    fn expected_bytes(&self, bytes: u64, now: Millis) -> f64 {
        let admitted = self.admitted.get(Link::rate_time(), now);
        let factor = match admitted > 0.0 {
            true => self.link.sent(now) / admitted,
            false => 1.0,
        };
        bytes as f64 * factor.clamp(1.0, MAX_BYTES_FACTOR)
    }

    /// Decides about a new request.
    ///
    /// # Errors
    /// [`Rejection`], if the link is overloaded, the request would queue for too long, and another entry
    /// runs.
    pub fn admit(&mut self, arrival: &Arrival<'_>, now: Millis) -> Result<(), Rejection> {
        self.evaluate(now);
        self.drain(now);
        let overloaded_since = self.link.overloaded_since();
        let is_usual =
            overloaded_since.is_none_or(|since| now.saturating_sub(since) >= USUAL_AFTER);
        self.accounts
            .record(arrival.account, arrival.bytes, is_usual, now);
        let is_excess = self.is_overloaded() && self.accounts.take_excess(arrival.account, now);
        let class = Class::new(arrival.urgency, is_excess);
        let most = class.longest_wait(arrival.objective);
        let wait = Millis::new((self.backlog / self.admission_rate()) as u64);
        let may_refuse = self.is_overloaded() && self.has_others;
        let refused_in_row = &mut self.refused_in_row[class as usize];
        if may_refuse && wait > most && *refused_in_row < MOST_REFUSED_IN_ROW {
            *refused_in_row += 1;
            return Err(Rejection {
                wait,
                is_excess,
                retry_after: wait.saturating_sub(most).max(LEAST_RETRY),
            });
        }
        *refused_in_row = 0;
        self.backlog += self.expected_bytes(arrival.bytes, now);
        // Without refusals nothing else bounds the estimate, and an overload that begins later would have
        // to refuse until it is drained.
        if !may_refuse {
            let most = Link::rate_time().get() as f64 * self.admission_rate();
            self.backlog = self.backlog.min(most);
        }
        let bytes = arrival.bytes as f64;
        self.admitted.add(bytes, Link::rate_time(), now);
        Ok(())
    }

    /// Answers a readiness check, as far as the load is concerned. `entries` is the number of running
    /// entries.
    pub fn is_ready(&mut self, entries: usize, now: Millis) -> bool {
        self.evaluate(now);
        self.has_others = entries > 1;
        let returned = self.readiness.come_back(self.is_overloaded(), entries, now);
        if let Some((reason, away)) = returned {
            self.changes.push(Change::Returned(reason, away));
        }
        let mut cause = SmolStr::default();
        let utilization = self.utilization(now);
        let is_local = || {
            // Without its excess the entry would not be overloaded. Load that has grown evenly has grown
            // at the other entries as well.
            let largest = self.accounts.largest_excess(now);
            let (account, excess) = largest.unwrap_or_default();
            cause = account;
            excess > 0.0 && utilization * (1.0 - excess) < Link::full_share()
        };
        let since = self.link.overloaded_since();
        if self.readiness.leave(since, entries, is_local, now) {
            self.changes.push(Change::Left(cause));
        }
        self.readiness.away_since().is_none()
    }

    /// Decides whether an answer closes its connection; `random` is a uniform random number from 0
    /// to 1.
    pub fn closes_connection(&mut self, random: f64, now: Millis) -> bool {
        self.evaluate(now);
        self.is_overloaded() && random < self.readiness.close_share(now)
    }
}
