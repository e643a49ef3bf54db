//! Limits of requests a second that targets name for all entries together.
//!
//! One entry grants the requests to a limited target, the one that all entries find by rendezvous
//! hashing. The others ask it before each send, and use other targets in the meantime. An even part
//! for each entry would need no messages, but with a hundred entries it is a request every few
//! minutes, at entries that may have none to send.
//!
//! Entries may disagree on the granting entry while some of them start or stop, or cannot reach it. So
//! that the sum stays near the limit then, an entry that has just seen the fleet change grants less,
//! and one that reaches no granting entry sends less than an even part.

use std::collections::BTreeMap;

use cyc_types::{Millis, PerSecond};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{decay::DecayingSum, member::TargetIncarnation};

/// Fraction of a limit that an entry grants for [`SETTLING_TIME`] after the running entries changed,
/// since another one may grant as well.
const SETTLING_FRACTION: f64 = 0.4;
/// Time within which all entries have noticed that one has started or stopped.
const SETTLING_TIME: Millis = Millis::new(10_000);
/// Fraction of a limit that all entries together send without grants.
const UNGRANTED_FRACTION: f64 = 0.4;
/// Fraction of the rate of a cold target that all entries together send without grants. Lower than
/// [`UNGRANTED_FRACTION`], because the granting entry may serve the other half of a partition at the
/// full rate and a cold target crashes at a rate well above.
const COLD_UNGRANTED_FRACTION: f64 = 0.2;
/// As [`UNUSED_GRANT_TTL`], for cold targets: the bound counts each second, and the rate of a second,
/// what was saved, and turns of entries without grants stay below it together.
const COLD_UNUSED_GRANT_TTL: Millis = Millis::new(250);
/// Maximum time for which a target counts as cold because of one registration or answer.
pub const MAX_COLD: Millis = Millis::new(60_000);
/// Requests that can be granted at once after a time without any: those of this time, but at least
/// [`MAX_SAVED_GRANTS`].
const UNUSED_GRANT_TTL: Millis = Millis::new(500);
/// Requests that can be granted at once at any limit. With one only, a grant is wasted whenever the
/// entries that were denied return late.
const MAX_SAVED_GRANTS: f64 = 2.0;
/// How long an entry may use its turn to send without a grant.
const TURN_LENGTH: Millis = Millis::SECOND;
/// Rate at which a target that takes no requests gets some, to find out whether it takes them again.
const MIN_RATE: f64 = 0.1;
/// Maximum time for which an entry is told to use other targets.
const MAX_DENIAL: Millis = Millis::new(5_000);
/// Time in which denied requests are counted.
const DENIAL_TIME_CONSTANT: Millis = Millis::SECOND;
/// Limited targets that an entry grants requests for.
const MAX_GRANTED_TARGETS: usize = 4_096;
/// Limits that an entry remembers for other entries.
const MAX_KNOWN_LIMITS: usize = 256;
/// A limit is forgotten if no target has repeated it for this long.
const KNOWN_LIMIT_TTL: Millis = Millis::new(30_000);

/// Asks whether a request may be sent to a limited target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// Key of the receiver.
    pub key: SmolStr,
    /// The target.
    pub target: TargetIncarnation,
    /// What the target said last, as far as the sender knows.
    pub word: LimitWord,
    /// False if the sender only reports the word.
    pub is_asking: bool,
    /// Whether the target is cold, as far as the sender knows.
    #[serde(default)]
    pub cold: Option<ColdWord>,
}

/// What an entry knows of a cold target.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ColdWord {
    /// Requests a second that the target takes while it is cold.
    pub rate: PerSecond,
    /// How long it stays cold.
    pub left: Millis,
}

/// What a target said about its limit.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitWord {
    /// The limit; `None` if the target names none any more.
    pub limit: Option<PerSecond>,
    /// Time since the target said so.
    pub age: Millis,
}

/// Whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GrantReply {
    /// One request may be sent.
    Granted,
    /// The target has no limit any more.
    Unlimited,
    /// No request may be sent for this long.
    Denied(Millis),
}

/// Requests that this entry grants to one target.
#[derive(Debug)]
struct Grants {
    /// The newest word of the target that any entry has reported.
    limit: Option<PerSecond>,
    said_at: Millis,
    /// The rate of the target while it is cold, and the end of that; other than `limit`, it has no
    /// end by word of the target.
    cold: Option<(PerSecond, Millis)>,
    /// Requests that may be granted at `credit_at`.
    credit: f64,
    credit_at: Millis,
    /// Requests denied lately.
    denied: DecayingSum,
}

impl Grants {
    fn new(limit: Option<PerSecond>, said_at: Millis, now: Millis) -> Self {
        Self {
            limit,
            said_at,
            cold: None,
            credit: 0.0,
            credit_at: now,
            denied: DecayingSum::default(),
        }
    }

    fn cold_rate(&self, now: Millis) -> Option<PerSecond> {
        let cold = self.cold.filter(|(_, until)| *until > now);
        cold.map(|(rate, _)| rate)
    }

    fn is_limited(&self, now: Millis) -> bool {
        self.limit.is_some() || self.cold_rate(now).is_some()
    }
}

/// Grants the requests to the limited targets that this entry looks after.
#[derive(Debug, Default)]
pub struct Grantor {
    by_target: BTreeMap<TargetIncarnation, Grants>,
}

impl Grantor {
    /// Takes over what an entry reports of a target.
    pub fn report(&mut self, target: &TargetIncarnation, word: LimitWord, now: Millis) {
        let said_at = now.saturating_sub(word.age);
        let limit = word.limit.map(|limit| PerSecond::new(limit.get()));
        if let Some(grants) = self.by_target.get_mut(target) {
            if said_at >= grants.said_at {
                if !grants.is_limited(now) {
                    grants.credit = 0.0;
                    grants.credit_at = now;
                }
                grants.limit = limit;
                grants.said_at = said_at;
            }
            return;
        }
        self.insert(target, Grants::new(limit, said_at, now));
    }

    /// Takes over what an entry knows of a cold target. A word never shortens the coldness: an entry
    /// that has not heard of it yet must not end it.
    pub fn learn_cold(&mut self, target: &TargetIncarnation, word: ColdWord, now: Millis) {
        if !self.by_target.contains_key(target) {
            self.insert(target, Grants::new(None, Millis::ZERO, now));
        }
        let Some(grants) = self.by_target.get_mut(target) else {
            return;
        };
        if !grants.is_limited(now) {
            grants.credit = 0.0;
            grants.credit_at = now;
        }
        let until = now + word.left.min(MAX_COLD);
        let rate = PerSecond::new(word.rate.get());
        grants.cold = match grants.cold.filter(|(_, known)| *known > now) {
            Some((_, known)) => Some((rate, known.max(until))),
            None => Some((rate, until)),
        };
    }

    /// Returns true if a target names a limit or is cold, as far as any entry has reported.
    pub fn is_limited(&self, target: &TargetIncarnation, now: Millis) -> bool {
        let grants = self.by_target.get(target);
        grants.is_some_and(|grants| grants.is_limited(now))
    }

    fn insert(&mut self, target: &TargetIncarnation, grants: Grants) {
        if self.by_target.len() >= MAX_GRANTED_TARGETS {
            self.remove_oldest();
        }
        self.by_target.insert(target.clone(), grants);
    }

    /// Decides about one request to a target. `is_settled` tells whether no other entry can be
    /// granting requests to it as well.
    pub fn request(
        &mut self,
        target: &TargetIncarnation,
        word: LimitWord,
        is_settled: bool,
        now: Millis,
    ) -> GrantReply {
        self.report(target, word, now);
        let Some(grants) = self.by_target.get_mut(target) else {
            return GrantReply::Denied(MAX_DENIAL);
        };
        let cold = grants.cold_rate(now);
        let Some(limit) = lower(grants.limit, cold) else {
            return GrantReply::Unlimited;
        };
        let fraction = if is_settled { 1.0 } else { SETTLING_FRACTION };
        let rate = limit.get().max(MIN_RATE) * fraction;
        let saved = match cold {
            Some(_) => COLD_UNUSED_GRANT_TTL,
            None => UNUSED_GRANT_TTL,
        };
        let most = (rate * seconds(saved)).max(MAX_SAVED_GRANTS);
        let since = now.saturating_sub(grants.credit_at);
        grants.credit = (grants.credit + rate * seconds(since)).min(most);
        grants.credit_at = now;
        if grants.credit >= 1.0 {
            grants.credit -= 1.0;
            if cold.is_some() {
                // Most requests are of entries that were denied before and no longer wait. A cold
                // time is too short to let these decay.
                grants.denied.add(-1.0, DENIAL_TIME_CONSTANT, now);
            }
            return GrantReply::Granted;
        }
        let before = grants.denied.get(DENIAL_TIME_CONSTANT, now);
        grants.denied.add(1.0, DENIAL_TIME_CONSTANT, now);
        // The entries that were denied before return first.
        let wait = (1.0 - grants.credit + before) / rate;
        GrantReply::Denied(Millis::new((wait * 1_000.0) as u64 + 1).min(MAX_DENIAL))
    }

    fn remove_oldest(&mut self) {
        let oldest = self
            .by_target
            .iter()
            .min_by_key(|(_, grants)| grants.credit_at);
        if let Some(oldest) = oldest.map(|(target, _)| target.clone()) {
            self.by_target.remove(&oldest);
        }
    }
}

/// The lower one of two limits.
fn lower(a: Option<PerSecond>, b: Option<PerSecond>) -> Option<PerSecond> {
    let both = a.into_iter().chain(b);
    both.min_by(|a, b| a.get().total_cmp(&b.get()))
}

fn seconds(time: Millis) -> f64 {
    time.get() as f64 / 1_000.0
}

/// Returns true if no other entry can be granting requests that this entry grants, if the running
/// entries last changed at this time.
pub fn is_settled(entries_changed_at: Millis, now: Millis) -> bool {
    now.saturating_sub(entries_changed_at) >= SETTLING_TIME
}

/// The limit of a target as one entry applies it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TargetLimit {
    limit: PerSecond,
    said_at: Millis,
    /// No request is sent, and no grant asked for, before this time.
    resume_at: Millis,
    /// When this entry may send next without a grant.
    turn: Option<Millis>,
    /// Fraction of the limit that all entries together send without grants.
    ungranted_fraction: f64,
}

impl TargetLimit {
    /// Creates the state of a limit that the target named at this time.
    pub fn new(limit: PerSecond, said_at: Millis) -> Self {
        Self {
            limit,
            said_at,
            resume_at: Millis::ZERO,
            turn: None,
            ungranted_fraction: UNGRANTED_FRACTION,
        }
    }

    /// Changes the limit.
    pub fn set(&mut self, limit: PerSecond, said_at: Millis) {
        self.limit = limit;
        self.said_at = said_at;
    }

    /// The limit.
    pub fn limit(&self) -> PerSecond {
        self.limit
    }

    /// When the target named the limit.
    pub fn said_at(&self) -> Millis {
        self.said_at
    }

    /// What the target said, for another entry.
    pub fn word(&self, now: Millis) -> LimitWord {
        LimitWord {
            limit: Some(self.limit),
            age: now.saturating_sub(self.said_at),
        }
    }

    /// Time until a request may be sent or a grant asked for; zero if that is now.
    pub fn wait(&self, now: Millis) -> Millis {
        self.resume_at.saturating_sub(now)
    }

    /// Records that no request may be sent for this long.
    pub fn deny(&mut self, time: Millis, now: Millis) {
        self.resume_at = now + time;
    }

    /// Decides about one request while the granting entry cannot be reached. Each of `entries` gets
    /// a turn from time to time, the first one after `random`, from 0 to 1, of the time between two.
    /// An entry that misses its turn waits for the next one.
    pub fn take_turn(&mut self, entries: usize, random: f64, now: Millis) -> bool {
        let rate = self.limit.get().max(MIN_RATE) * self.ungranted_fraction / entries.max(1) as f64;
        let interval = ((1_000.0 / rate) as u64).max(1);
        let first = now + Millis::new((interval as f64 * random) as u64);
        let turn = *self.turn.get_or_insert(first);
        if now < turn {
            self.resume_at = turn;
            return false;
        }
        let missed = now
            .saturating_sub(turn + TURN_LENGTH)
            .get()
            .div_ceil(interval);
        let turn = turn + Millis::new(missed * interval);
        let is_turn = turn <= now;
        let next = if is_turn {
            turn + Millis::new(interval)
        } else {
            turn
        };
        self.turn = Some(next);
        if !is_turn {
            self.resume_at = turn;
        }
        is_turn
    }
}

/// The coldness of a target as one entry applies it: a limit that has its own end, beside the one
/// that the target may name.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Coldness {
    until: Millis,
    limit: TargetLimit,
}

impl Default for Coldness {
    fn default() -> Self {
        let mut limit = TargetLimit::new(PerSecond::new(0.0), Millis::ZERO);
        limit.ungranted_fraction = COLD_UNGRANTED_FRACTION;
        Self {
            until: Millis::ZERO,
            limit,
        }
    }
}

impl Coldness {
    /// Records that the target stays cold for at least this long. The coldness is never shortened.
    /// Returns true if the target was not cold before.
    pub fn extend(&mut self, left: Millis, now: Millis) -> bool {
        let was_cold = self.until > now;
        if !was_cold {
            *self = Self::default();
        }
        self.until = self.until.max(now + left.min(MAX_COLD));
        !was_cold && self.until > now
    }

    /// How long the target stays cold; zero if it is not.
    pub fn left(&self, now: Millis) -> Millis {
        self.until.saturating_sub(now)
    }

    /// Time until a request may be sent or a grant asked for; zero if that is now.
    pub fn wait(&self, now: Millis) -> Millis {
        self.limit.wait(now)
    }

    /// The pace of requests to the cold target: the lower one of its rate and the limit that the
    /// target names.
    pub fn pace(&mut self, rate: PerSecond, named: Option<PerSecond>) -> &mut TargetLimit {
        self.limit.limit = lower(Some(rate), named).unwrap_or(rate);
        &mut self.limit
    }
}

/// A limit as entries tell it to each other. Only limits are told, not their ends: an entry learns
/// the end from the target or from the granting entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The target.
    pub target: TargetIncarnation,
    /// The limit.
    pub limit: PerSecond,
    /// Time since the target named it.
    pub age: Millis,
}

/// The limits that targets have named to any entry lately.
#[derive(Debug, Default)]
pub struct KnownLimits {
    by_target: BTreeMap<TargetIncarnation, (PerSecond, Millis)>,
    changed: Vec<TargetIncarnation>,
}

impl KnownLimits {
    /// Records that a target named a limit. Returns true if that is news.
    pub fn record(&mut self, target: &TargetIncarnation, limit: PerSecond, at: Millis) -> bool {
        let known = self.by_target.get(target).copied();
        if known.is_some_and(|(_, known_at)| known_at > at) {
            return false;
        }
        if known.is_none() && self.by_target.len() >= MAX_KNOWN_LIMITS {
            return false;
        }
        self.by_target.insert(target.clone(), (limit, at));
        let is_news = known.is_none_or(|(known, _)| known != limit);
        if is_news {
            self.changed.push(target.clone());
        }
        is_news
    }

    /// Records that a target names no limit any more.
    pub fn remove(&mut self, target: &TargetIncarnation) {
        self.by_target.remove(target);
    }

    /// Adds reports of other entries.
    pub fn merge(&mut self, reports: &[LimitReport], now: Millis) {
        for report in reports.iter().filter(|report| report.age < KNOWN_LIMIT_TTL) {
            let limit = PerSecond::new(report.limit.get());
            self.record(&report.target, limit, now.saturating_sub(report.age));
        }
    }

    /// Reports of the limits that have changed since the last call.
    pub fn take_news(&mut self, now: Millis) -> Vec<LimitReport> {
        let changed = std::mem::take(&mut self.changed);
        changed
            .iter()
            .filter_map(|target| self.report(target, now))
            .collect()
    }

    /// Reports of all limits.
    pub fn reports(&self, now: Millis) -> Vec<LimitReport> {
        let targets = self.by_target.keys();
        targets
            .filter_map(|target| self.report(target, now))
            .collect()
    }

    /// Forgets limits that no target has repeated lately.
    pub fn expire(&mut self, now: Millis) {
        self.by_target
            .retain(|_, (_, at)| now.saturating_sub(*at) < KNOWN_LIMIT_TTL);
    }

    /// The limited targets and their limits, apart from times.
    pub fn iter(&self) -> impl Iterator<Item = (&TargetIncarnation, PerSecond)> {
        let known = self.by_target.iter();
        known.map(|(target, (limit, _))| (target, *limit))
    }

    fn report(&self, target: &TargetIncarnation, now: Millis) -> Option<LimitReport> {
        let (limit, at) = self.by_target.get(target)?;
        Some(LimitReport {
            target: target.clone(),
            limit: *limit,
            age: now.saturating_sub(*at),
        })
    }
}
