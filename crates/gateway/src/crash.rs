//! Relates the ends of targets to the prompt parts and requests that they were working on, so that a
//! part, or a request that comes again, is refused if it ends one target after the other. A request
//! counts as a part that only its own repeats have.
//!
//! An entry records for each crashed target the parts of the prompts whose answers had hardly begun.
//! The entries exchange these reports (module [`news`](crate::news)), since each sees only its own
//! requests. An answer that arrives clears the parts of its prompt of the crashes known at that time.
//! Reports only grow, in targets, in suspects and in clearances, so that entries that have the same
//! reports refuse the same parts, in whatever order and however often these arrive.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    hash::{DefaultHasher, Hash as _, Hasher as _},
};

use cyc_types::Millis;
use serde::{Deserialize, Serialize};

use crate::{
    call::{PartId, PromptPart, RequestDigest},
    member::TargetIncarnation,
};

/// Crashes that must have a suspect in common before it is refused.
pub const CRASHES_TO_REFUSE: usize = 3;
/// The same for a part with which a prompt was answered lately: it has been sound so far.
pub const CRASHES_TO_REFUSE_ANSWERED: usize = 5;
/// Crashes within this time count once: targets that end together have another cause in common.
pub const COINCIDENCE: Millis = Millis::new(150);
/// An answer whose events have arrived for this long, or that is complete, clears its prompt. A target
/// that crashes on a part does so when it begins to answer.
pub const SOUND_AFTER: Millis = Millis::new(250);
/// A prompt that was answered this long ago or less counts as answered lately.
const ANSWERED_TTL: Millis = Millis::MINUTE;
/// A crash is forgotten this long after it happened and after the last request that was refused
/// because of it.
pub const CRASH_TTL: Millis = Millis::new(300_000);
/// A refused part gets one request this long after the last crash or the last such request, since
/// nothing else can show that it is refused wrongly. Grows with each crash.
pub const PROBE_INTERVAL: Millis = Millis::new(60_000);
/// Factor of [`PROBE_INTERVAL`] for each further crash.
const PROBE_BACKOFF: u64 = 4;
/// Maximum time between such requests.
const PROBE_INTERVAL_MAX: Millis = Millis::new(3_600_000);
/// Maximum crashes that are remembered.
const MAX_CRASHES: usize = 64;
/// Maximum suspects of one crash.
const MAX_SUSPECTS: usize = 256;
/// Maximum parts of answered prompts that are remembered; further ones are ignored until others
/// expire.
const MAX_ANSWERED_PARTS: usize = 8_192;
/// Maximum answers to requests that are remembered.
const MAX_ANSWERED_REQUESTS: usize = 4_096;
/// Maximum suspects in a message to another entry.
const MAX_REPORTED_SUSPECTS: usize = 800;
/// Maximum crashes in a heartbeat.
const MAX_SUMMARY: usize = 16;
/// Longer than any crash is remembered.
const CLOCK_OFFSET: Millis = Millis::new(1 << 40);

/// A crash as entries report it to each other. Times are relative, because clocks differ.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The target that ended.
    pub target: TargetIncarnation,
    /// Time since the crash.
    pub age: Millis,
    /// Time since the crash, or since a request was refused because of it.
    pub idle: Millis,
    /// Parts that the target was working on.
    pub suspects: Vec<SuspectReport>,
}

/// When a known crash happened. Exchanged more often than reports, since each message is delayed
/// differently and the shortest delay is the most exact.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashTime {
    /// The target that ended.
    pub target: TargetIncarnation,
    /// As in [`CrashReport::age`].
    pub age: Millis,
    /// As in [`CrashReport::idle`].
    pub idle: Millis,
}

/// A suspect of a reported crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// The part.
    pub part: PartId,
    /// Position in the prompt.
    pub depth: u8,
    /// A prompt with the part was answered after the crash.
    #[serde(default)]
    pub is_cleared: bool,
    /// A prompt with the part was answered shortly before the crash.
    #[serde(default)]
    pub was_answered: bool,
    /// The request was sent to this target after another one had broken it off, so that the two crashes
    /// have no other cause in common, however close they are.
    #[serde(default)]
    pub is_repeat: bool,
}

#[derive(Debug, Clone, Copy)]
struct Suspicion {
    depth: u8,
    is_cleared: bool,
    was_answered: bool,
    is_repeat: bool,
}

impl Suspicion {
    fn flags(self) -> (bool, bool, bool) {
        (self.is_cleared, self.was_answered, self.is_repeat)
    }
}

#[derive(Debug, Clone)]
struct Crash {
    at: EventTime,
    used_at: EventTime,
    suspects: BTreeMap<PartId, Suspicion>,
}

impl Crash {
    fn suspects(&self, part: PartId) -> bool {
        let suspicion = self.suspects.get(&part);
        suspicion.is_some_and(|suspicion| !suspicion.is_cleared)
    }

    /// Corrects the times from a message; one that was delayed makes a crash look younger. Returns
    /// true if the time of the crash has changed.
    fn merge_times(&mut self, age: Millis, idle: Millis, now: Millis) -> bool {
        let before = self.at;
        self.at = self.at.min(EventTime::new(now, age));
        self.used_at = self.used_at.max(EventTime::new(now, idle));
        self.at != before
    }

    fn add(&mut self, part: PartId, new: Suspicion) -> bool {
        let is_full = self.suspects.len() >= MAX_SUSPECTS;
        match self.suspects.get_mut(&part) {
            Some(known) => {
                let before = known.flags();
                known.is_cleared |= new.is_cleared;
                known.was_answered |= new.was_answered;
                known.is_repeat |= new.is_repeat;
                known.depth = known.depth.max(new.depth);
                before != known.flags()
            }
            None if is_full => false,
            None => {
                self.suspects.insert(part, new);
                true
            }
        }
    }
}

/// A time of the entry's clock moved forward by [`CLOCK_OFFSET`], since a crash may have happened
/// before the clock started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EventTime(Millis);

impl EventTime {
    fn new(now: Millis, age: Millis) -> Self {
        Self((now + CLOCK_OFFSET).saturating_sub(age))
    }

    fn age(self, now: Millis) -> Millis {
        (now + CLOCK_OFFSET).saturating_sub(self.0)
    }
}

/// A part that is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct RefusedPart {
    part: PartId,
    crashes: usize,
    last_crash: EventTime,
}

/// Whether a prompt may be sent to targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// No part is refused.
    Admitted,
    /// The prompt may be sent to one target, to find out whether its refused part still ends targets.
    Probe(PartId),
    /// The prompt has a refused part.
    Refused {
        /// The part.
        part: PartId,
        /// Crashes that it explains.
        crashes: usize,
        /// Time until the part gets a request again.
        retry_after: Millis,
    },
}

/// The crashes that an entry knows of, and the parts that it refuses because of them.
#[derive(Debug, Default)]
pub struct CrashEvidence {
    crashes: BTreeMap<TargetIncarnation, Crash>,
    /// Derived from `crashes`.
    refused: Vec<RefusedPart>,
    /// Crashes whose reports have changed since [`CrashEvidence::take_news`].
    changed: BTreeSet<TargetIncarnation>,
    /// When a request of a refused part was last let through. Invariant: only refused parts.
    probed_at: BTreeMap<PartId, EventTime>,
    /// When prompts with these parts were last answered to this entry.
    answered: HashMap<PartId, Millis>,
    /// When these requests were last answered to this entry.
    answered_requests: RecentRequests,
}

/// The requests that were answered last, and when.
#[derive(Debug, Default)]
struct RecentRequests {
    answered_at: HashMap<PartId, Millis>,
    /// Oldest first. Invariant: has each key of `answered_at` once for each answer among the last
    /// [`MAX_ANSWERED_REQUESTS`].
    order: VecDeque<(PartId, Millis)>,
}

impl RecentRequests {
    fn insert(&mut self, request: PartId, now: Millis) {
        if self.order.len() == MAX_ANSWERED_REQUESTS
            && let Some((oldest, at)) = self.order.pop_front()
            && self.answered_at.get(&oldest) == Some(&at)
        {
            self.answered_at.remove(&oldest);
        }
        self.order.push_back((request, now));
        self.answered_at.insert(request, now);
    }

    fn get(&self, request: PartId) -> Option<Millis> {
        self.answered_at.get(&request).copied()
    }
}

impl CrashEvidence {
    /// Returns true if the crash is known.
    pub fn knows(&self, target: &TargetIncarnation) -> bool {
        self.crashes.contains_key(target)
    }

    /// Returns true if no crash is known.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Records the crash of a target that was working on `parts`, the shared parts of one prompt.
    pub fn record(&mut self, target: &TargetIncarnation, parts: &[PromptPart], now: Millis) {
        self.record_suspects(target, suspects(parts), now);
    }

    /// The same for a request whose prompt, if it has one, has the shared `parts`. `is_repeat` is that of
    /// [`SuspectReport`].
    pub fn record_request(
        &mut self,
        target: &TargetIncarnation,
        parts: &[PromptPart],
        request: RequestDigest,
        is_repeat: bool,
        now: Millis,
    ) {
        let mut suspects = suspects(parts);
        suspects.push(SuspectReport {
            part: request.part().id,
            depth: u8::MAX,
            is_cleared: false,
            was_answered: false,
            is_repeat,
        });
        self.record_suspects(target, suspects, now);
    }

    fn record_suspects(
        &mut self,
        target: &TargetIncarnation,
        suspects: Vec<SuspectReport>,
        now: Millis,
    ) {
        let report = CrashReport {
            target: target.clone(),
            age: Millis::ZERO,
            idle: Millis::ZERO,
            suspects,
        };
        self.merge(vec![report], now);
    }

    /// Clears a request that was answered, and the parts of its prompt. Returns true if one of them was a
    /// suspect.
    pub fn clear_request(
        &mut self,
        parts: &[PromptPart],
        request: RequestDigest,
        now: Millis,
    ) -> bool {
        self.remember_answered(parts, now);
        self.answered_requests.insert(request.part().id, now);
        let mut all = parts.to_vec();
        all.push(request.part());
        self.clear_suspects(&all)
    }

    /// Clears the parts of a prompt that was answered. Returns true if one of them was a suspect.
    pub fn clear(&mut self, parts: &[PromptPart], now: Millis) -> bool {
        self.remember_answered(parts, now);
        self.clear_suspects(parts)
    }

    fn clear_suspects(&mut self, parts: &[PromptPart]) -> bool {
        let mut is_changed = false;
        for (target, crash) in &mut self.crashes {
            for part in parts {
                if let Some(suspicion) = crash.suspects.get_mut(&part.id)
                    && !suspicion.is_cleared
                {
                    suspicion.is_cleared = true;
                    is_changed = true;
                    self.changed.insert(target.clone());
                }
            }
        }
        if is_changed {
            self.update();
        }
        is_changed
    }

    /// Adds reports of other entries.
    pub fn merge(&mut self, reports: Vec<CrashReport>, now: Millis) {
        let mut is_changed = false;
        for report in reports {
            if report.idle >= CRASH_TTL {
                continue;
            }
            let at = EventTime::new(now, report.age);
            let used_at = EventTime::new(now, report.idle);
            let target = report.target;
            let is_new = !self.crashes.contains_key(&target);
            let crash = self.crashes.entry(target.clone()).or_insert(Crash {
                at,
                used_at,
                suspects: BTreeMap::new(),
            });
            is_changed |= crash.merge_times(report.age, report.idle, now);
            let mut is_grown = is_new;
            for suspect in report.suspects {
                let answered_at = self.answered.get(&suspect.part).copied();
                let answered_at = answered_at.max(self.answered_requests.get(suspect.part));
                let was_answered =
                    answered_at.is_some_and(|at| now.saturating_sub(at) < ANSWERED_TTL);
                let suspicion = Suspicion {
                    depth: suspect.depth,
                    is_cleared: suspect.is_cleared,
                    was_answered: suspect.was_answered || was_answered,
                    is_repeat: suspect.is_repeat,
                };
                is_grown |= crash.add(suspect.part, suspicion);
            }
            if is_grown {
                is_changed = true;
                self.changed.insert(target);
            }
        }
        if is_changed {
            self.update();
        }
    }

    /// When the known crashes happened.
    pub fn times(&self, now: Millis) -> Vec<CrashTime> {
        let crashes = self.crashes.iter();
        let time = |(target, crash): (&TargetIncarnation, &Crash)| CrashTime {
            target: target.clone(),
            age: crash.at.age(now),
            idle: crash.used_at.age(now),
        };
        crashes.map(time).collect()
    }

    /// Corrects the times of known crashes.
    pub fn merge_times(&mut self, times: &[CrashTime], now: Millis) {
        let mut is_changed = false;
        for time in times {
            if let Some(crash) = self.crashes.get_mut(&time.target) {
                is_changed |= crash.merge_times(time.age, time.idle, now);
            }
        }
        if is_changed {
            self.update();
        }
    }

    /// Returns true if requests with one of these parts are refused.
    pub fn is_refused(&self, parts: &[PromptPart]) -> bool {
        self.refused_part(parts).is_some()
    }

    /// Decides whether a prompt with these shared parts may be sent. `may_probe` tells whether this
    /// entry is the one that lets requests of a refused part through from time to time.
    pub fn admit(
        &mut self,
        parts: &[PromptPart],
        may_probe: impl Fn(PartId) -> bool,
        now: Millis,
    ) -> Admission {
        let Some(refused) = self.refused_part(parts) else {
            return Admission::Admitted;
        };
        let part = refused.part;
        for crash in self.crashes.values_mut() {
            if crash.suspects(part) {
                crash.used_at = EventTime::new(now, Millis::ZERO);
            }
        }
        let since = self.probed_at.get(&part).copied();
        let since = since.map_or(refused.last_crash, |at| at.max(refused.last_crash));
        let further = refused.crashes.saturating_sub(CRASHES_TO_REFUSE) as u32;
        let factor = PROBE_BACKOFF.saturating_pow(further);
        let interval = Millis::new(PROBE_INTERVAL.get().saturating_mul(factor));
        let interval = interval.min(PROBE_INTERVAL_MAX);
        let retry_after = interval.saturating_sub(since.age(now));
        let is_only_one = parts
            .iter()
            .all(|other| other.id == part || !self.is_refused(&[*other]));
        if retry_after.is_zero() && is_only_one && may_probe(part) {
            self.probed_at
                .insert(part, EventTime::new(now, Millis::ZERO));
            return Admission::Probe(part);
        }
        Admission::Refused {
            part,
            crashes: refused.crashes,
            retry_after,
        }
    }

    /// The refused parts.
    pub fn refused_parts(&self) -> impl Iterator<Item = PartId> + '_ {
        self.refused.iter().map(|refused| refused.part)
    }

    /// Forgets crashes that have not been used for [`CRASH_TTL`]. Returns true if there were any.
    pub fn expire(&mut self, now: Millis) -> bool {
        let count = self.crashes.len();
        self.crashes
            .retain(|_, crash| crash.used_at.age(now) < CRASH_TTL);
        let is_changed = self.crashes.len() != count;
        if is_changed {
            self.update();
        }
        is_changed
    }

    /// Reports of the crashes that have changed since the last call.
    pub fn take_news(&mut self, now: Millis) -> Vec<CrashReport> {
        let changed = std::mem::take(&mut self.changed);
        let known = changed
            .iter()
            .filter_map(|target| self.crashes.get_key_value(target));
        limit_size(known.map(|(target, crash)| report(target, crash, now)))
    }

    /// Reports of all crashes, those that refused parts depend on and the newest ones first.
    pub fn reports(&self, now: Millis) -> Vec<CrashReport> {
        let mut all: Vec<_> = self.crashes.iter().collect();
        all.sort_by_key(|(_, crash)| std::cmp::Reverse((self.is_used(crash), crash.at)));
        limit_size(
            all.into_iter()
                .map(|(target, crash)| report(target, crash, now)),
        )
    }

    /// The latest crashes that make another entry refuse the same parts, without other suspects.
    pub fn summary(&self, now: Millis) -> Vec<CrashReport> {
        let mut used: Vec<_> = self.crashes.iter().collect();
        used.retain(|(_, crash)| self.is_used(crash));
        used.sort_by_key(|(_, crash)| std::cmp::Reverse(crash.at));
        let reduced = used.into_iter().map(|(target, crash)| {
            let mut report = report(target, crash, now);
            report.suspects.retain(|suspect| {
                !suspect.is_cleared && self.refused_parts().any(|part| part == suspect.part)
            });
            report
        });
        reduced.take(MAX_SUMMARY).collect()
    }

    /// A hash of everything that other entries need to know, apart from times.
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for (target, crash) in &self.crashes {
            target.hash(&mut hasher);
            for (part, suspicion) in &crash.suspects {
                (part, suspicion.flags()).hash(&mut hasher);
            }
        }
        hasher.finish()
    }

    fn remember_answered(&mut self, parts: &[PromptPart], now: Millis) {
        if self.answered.len() + parts.len() > MAX_ANSWERED_PARTS {
            self.answered
                .retain(|_, at| now.saturating_sub(*at) < ANSWERED_TTL);
        }
        if self.answered.len() + parts.len() <= MAX_ANSWERED_PARTS {
            self.answered
                .extend(parts.iter().map(|part| (part.id, now)));
        }
    }

    fn refused_part(&self, parts: &[PromptPart]) -> Option<RefusedPart> {
        let mut refused = self.refused.iter();
        refused
            .find(|refused| parts.iter().any(|part| part.id == refused.part))
            .copied()
    }

    fn is_used(&self, crash: &Crash) -> bool {
        self.refused_parts().any(|part| crash.suspects(part))
    }

    /// Drops crashes beyond the limit and derives the refused parts again.
    fn update(&mut self) {
        while self.crashes.len() > MAX_CRASHES {
            let oldest = self
                .crashes
                .iter()
                .min_by_key(|(_, crash)| (self.is_used(crash), crash.used_at));
            let Some(oldest) = oldest.map(|(target, _)| target.clone()) else {
                break;
            };
            self.crashes.remove(&oldest);
        }
        self.refused = explain(self.crashes.values());
        let refused = &self.refused;
        self.probed_at
            .retain(|part, _| refused.iter().any(|refused| refused.part == *part));
    }
}

/// The suspects of a crash under a prompt with these shared parts.
fn suspects(parts: &[PromptPart]) -> Vec<SuspectReport> {
    let suspects = parts.iter().enumerate().map(|(depth, part)| SuspectReport {
        part: part.id,
        depth: depth.min(usize::from(u8::MAX)) as u8,
        is_cleared: false,
        was_answered: false,
        is_repeat: false,
    });
    suspects.collect()
}

fn report(target: &TargetIncarnation, crash: &Crash, now: Millis) -> CrashReport {
    let suspects = crash.suspects.iter();
    let suspects = suspects.map(|(part, suspicion)| SuspectReport {
        part: *part,
        depth: suspicion.depth,
        is_cleared: suspicion.is_cleared,
        was_answered: suspicion.was_answered,
        is_repeat: suspicion.is_repeat,
    });
    CrashReport {
        target: target.clone(),
        age: crash.at.age(now),
        idle: crash.used_at.age(now),
        suspects: suspects.collect(),
    }
}

/// Takes reports until they have [`MAX_REPORTED_SUSPECTS`].
fn limit_size(reports: impl Iterator<Item = CrashReport>) -> Vec<CrashReport> {
    let mut left = MAX_REPORTED_SUSPECTS;
    let fits = reports.take_while(|report| {
        let fits = report.suspects.len() <= left;
        left = left.saturating_sub(report.suspects.len() + 1);
        fits
    });
    fits.collect()
}

/// What crashes have in common with respect to one part.
#[derive(Debug, Clone, Copy)]
struct Tally {
    crashes: usize,
    last: EventTime,
    depth: u8,
    was_answered: bool,
}

impl Tally {
    fn is_enough(&self) -> bool {
        let needed = match self.was_answered {
            true => CRASHES_TO_REFUSE_ANSWERED,
            false => CRASHES_TO_REFUSE,
        };
        self.crashes >= needed
    }
}

/// Finds the parts that explain most crashes, one after the other: a part is refused only for crashes
/// that no other refused part explains, so that the parts of sound prompts that were on the same
/// targets are not refused with it.
fn explain<'a>(crashes: impl Iterator<Item = &'a Crash>) -> Vec<RefusedPart> {
    let mut unexplained: Vec<&Crash> = crashes.collect();
    unexplained.sort_by_key(|crash| crash.at);
    let cleared: BTreeSet<PartId> = unexplained
        .iter()
        .flat_map(|crash| &crash.suspects)
        .filter(|(_, suspicion)| suspicion.is_cleared)
        .map(|(part, _)| *part)
        .collect();
    let mut refused = Vec::new();
    loop {
        let mut tallies: BTreeMap<PartId, Tally> = BTreeMap::new();
        for crash in &unexplained {
            let suspects = crash.suspects.iter();
            for (part, suspicion) in suspects.filter(|(_, suspicion)| !suspicion.is_cleared) {
                let tally = tallies.entry(*part).or_insert(Tally {
                    crashes: 0,
                    last: crash.at,
                    depth: 0,
                    was_answered: cleared.contains(part),
                });
                let is_independent =
                    suspicion.is_repeat || crash.at.0.saturating_sub(tally.last.0) >= COINCIDENCE;
                if tally.crashes == 0 || is_independent {
                    tally.crashes += 1;
                    tally.last = crash.at;
                }
                tally.depth = tally.depth.max(suspicion.depth);
                tally.was_answered |= suspicion.was_answered;
            }
        }
        // Of two parts that always occur together, the one is refused that fewer prompts have: one
        // that was never answered, or the later one.
        let enough = tallies.into_iter().filter(|(_, tally)| tally.is_enough());
        let best = enough
            .max_by_key(|(part, tally)| (tally.crashes, !tally.was_answered, tally.depth, *part));
        let Some((part, tally)) = best else {
            return refused;
        };
        unexplained.retain(|crash| !crash.suspects(part));
        refused.push(RefusedPart {
            part,
            crashes: tally.crashes,
            last_crash: tally.last,
        });
    }
}
