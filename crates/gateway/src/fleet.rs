//! Per-target state of this entry: requests in flight, reported load, health, and the prompt parts
//! that are probably cached.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    rc::Rc,
};

use cyc_route::{Availability, Failure, Health, health};
use cyc_types::{AvailabilityZone, Millis, ServiceId, TargetId, VmId, hash};

use crate::{
    call::{Prompt, PromptPart},
    choose::{self, Candidate, Choice, Lane, PromptInput},
    conn::Pool,
    member::{Record, TargetState},
    subset::Subset,
};

/// Consecutive failures that eject a target.
const EJECT_FAILURES: u32 = 2;
/// Time until an ejected target gets a probe request.
const PROBE_MIN: Millis = Millis::new(700);
/// Maximum time between probe requests.
const PROBE_MAX: Millis = Millis::new(4_000);
/// How long prompt parts sent to a target are assumed to be cached there.
const CACHED_PART_TTL: Millis = Millis::new(60_000);
/// Maximum prompt parts tracked per target; further ones are ignored until others expire.
const MAX_CACHED_PARTS: usize = 4_096;
/// A load report older than this is ignored.
pub const LOAD_REPORT_TTL: Millis = Millis::new(1_500);
/// Fixed part of the time to first token, so that targets do not look slow on small prompts.
const BASE_LATENCY_MS: f64 = 100.0;
/// Time constant of the measured prefill rate.
const PREFILL_RATE_TIME_CONSTANT: Millis = Millis::new(2_000);
/// Weight of a new sample in the average of slowness.
const SLOWNESS_WEIGHT: f64 = 0.25;
/// Without new samples, slowness moves halfway back to 1 in this time.
const SLOWNESS_HALF_LIFE: Millis = Millis::new(4_000);

/// Load that a target reports with a response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests running on the target.
    pub running: u32,
    /// Requests queued at the target.
    pub waiting: u32,
    /// Requests that the target runs concurrently.
    pub slots: u32,
}

/// A target and its state.
#[derive(Debug)]
pub struct Target {
    /// Registration of the target.
    pub record: Record,
    /// Connections to the target.
    pub pool: Rc<Pool>,
    lane: Lane,
    health: Health,
    in_flight: u32,
    pending_tokens: u64,
    /// Prompt tokens per second that this entry's requests make the target prefill, exponentially
    /// averaged.
    prefill_rate: f64,
    prefill_rate_at: Millis,
    load: Option<(Load, Millis)>,
    slowness: f64,
    slowness_at: Millis,
    cached: HashMap<u64, Millis>,
}

impl Target {
    fn new(record: Record, now: Millis) -> Self {
        let options = health::Options {
            failures: EJECT_FAILURES,
            probe_min: PROBE_MIN,
            probe_max: PROBE_MAX,
        };
        Self {
            pool: Rc::new(Pool::new(record.addr)),
            record,
            lane: Lane::Any,
            health: Health::new(options),
            in_flight: 0,
            pending_tokens: 0,
            prefill_rate: 0.0,
            prefill_rate_at: now,
            load: None,
            slowness: 1.0,
            slowness_at: now,
            cached: HashMap::new(),
        }
    }

    fn prefill_rate(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.prefill_rate_at).get() as f64;
        self.prefill_rate * (-age / PREFILL_RATE_TIME_CONSTANT.get() as f64).exp()
    }

    fn record_prefill(&mut self, uncached: u64, now: Millis) {
        let span_s = PREFILL_RATE_TIME_CONSTANT.get() as f64 / 1_000.0;
        self.prefill_rate = self.prefill_rate(now) + uncached as f64 / span_s;
        self.prefill_rate_at = now;
    }

    fn slowness(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.slowness_at).get() as f64;
        let kept = 0.5_f64.powf(age / SLOWNESS_HALF_LIFE.get() as f64);
        1.0 + (self.slowness - 1.0) * kept
    }

    fn cached_parts(&self, shared: &[PromptPart], now: Millis) -> usize {
        let is_cached = |part: &&PromptPart| {
            let at = self.cached.get(&part.id);
            at.is_some_and(|at| now.saturating_sub(*at) <= CACHED_PART_TTL)
        };
        shared.iter().take_while(is_cached).count()
    }

    fn candidate<'a>(&'a self, fleet: &Fleet, shared: &[PromptPart], now: Millis) -> Candidate<'a> {
        let total_prefill_rate = self.prefill_rate(now) * fleet.entries as f64;
        let capacity = fleet.options.prompt_tokens_per_ms * 1_000.0;
        let load = self
            .load
            .filter(|(_, at)| now.saturating_sub(*at) <= LOAD_REPORT_TTL);
        let load = load.map_or(Load::default(), |(load, _)| load);
        Candidate {
            id: self.record.id.as_str(),
            is_same_zone: self.record.zone == fleet.zone,
            may_be_preferred: true,
            lane: self.lane,
            in_flight: self.in_flight,
            pending_tokens: self.pending_tokens,
            running: load.running,
            waiting: load.waiting,
            slots: self.record.slots,
            prefill_fraction: (total_prefill_rate / capacity).min(1.0),
            slowness: self.slowness(now),
            cached_parts: self.cached_parts(shared, now),
        }
    }

    fn record_cached(&mut self, parts: &[PromptPart], now: Millis) {
        if self.cached.len() + parts.len() > MAX_CACHED_PARTS {
            self.cached
                .retain(|_, at| now.saturating_sub(*at) < CACHED_PART_TTL);
        }
        if self.cached.len() + parts.len() <= MAX_CACHED_PARTS {
            self.cached.extend(parts.iter().map(|part| (part.id, now)));
        }
    }
}

/// Size and duration of a finished prefill.
#[derive(Debug, Clone, Copy)]
pub struct FinishedPrefill<'a> {
    /// Tokens that the target had to prefill.
    pub uncached: u64,
    /// The prompt; `None` for requests to plain services.
    pub prompt: Option<&'a Prompt>,
    /// Time from sending the request to the first byte of the response.
    pub took: Millis,
    /// Estimate of that time.
    pub expected: Millis,
}

/// The service of a request, and the connection limit for each of its targets.
#[derive(Debug, Clone, Copy)]
pub struct ServiceLimits<'a> {
    /// The service.
    pub service: &'a ServiceId,
    /// Connections that this entry may have open to one target.
    pub connections: u32,
}

/// How an attempt ended, for the health of the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The target responded.
    Answered,
    /// The target refused the request because of its load.
    Full,
    /// No connection could be established.
    NotReached,
    /// The target broke off the response, or the response was invalid or a server error.
    Failed,
    /// No complete response in time to a request sent at this time.
    Timeout(Millis),
    /// The attempt ended for another reason, such as a client disconnect.
    Abandoned,
}

/// All registered targets.
#[derive(Debug)]
pub struct Fleet {
    zone: AvailabilityZone,
    options: choose::Options,
    /// Running entries, assumed to send equal load. Invariant: at least 1.
    entries: usize,
    targets: BTreeMap<TargetId, Target>,
    /// Hash key of this entry, which selects its subsets.
    hash_key: u64,
    /// The subset of ready targets of each service.
    subsets: HashMap<ServiceId, Subset>,
}

impl Fleet {
    /// Creates an empty fleet for an entry in `zone`.
    pub fn new(zone: AvailabilityZone, options: choose::Options) -> Self {
        Self {
            zone,
            options,
            entries: 1,
            targets: BTreeMap::new(),
            hash_key: 0,
            subsets: HashMap::new(),
        }
    }

    /// Sets the entry whose subsets of large services are used.
    pub fn with_entry(mut self, vm: &VmId) -> Self {
        self.hash_key = hash::stable(vm.as_str().as_bytes());
        self
    }

    /// Replaces the list of targets. The state of a target that was restarted or has a new address
    /// is discarded.
    pub fn set_targets<'a>(&mut self, records: impl Iterator<Item = &'a Record>, now: Millis) {
        let mut old = std::mem::take(&mut self.targets);
        for record in records {
            let same = old.remove(&record.id).filter(|target| {
                target.record.started_at == record.started_at && target.record.addr == record.addr
            });
            let target = match same {
                Some(mut target) => {
                    target.record = record.clone();
                    target
                }
                None => Target::new(record.clone(), now),
            };
            self.targets.insert(record.id.clone(), target);
        }
        self.assign_lanes();
        self.assign_subsets();
    }

    fn assign_subsets(&mut self) {
        let mut ready: HashMap<ServiceId, Vec<TargetId>> = HashMap::new();
        let records = self.targets.values().map(|target| &target.record);
        for record in records.filter(|record| record.state == TargetState::Ready) {
            let ids = ready.entry(record.service.clone()).or_default();
            ids.push(record.id.clone());
        }
        let subset = |(service, ids): (ServiceId, Vec<TargetId>)| {
            let subset = Subset::new(self.hash_key, ids);
            (service, subset)
        };
        self.subsets = ready.into_iter().map(subset).collect();
    }

    fn assign_lanes(&mut self) {
        let mut groups: BTreeMap<(ServiceId, AvailabilityZone), Vec<TargetId>> = BTreeMap::new();
        let ready = self.targets.values().map(|target| &target.record);
        for record in ready.filter(|record| record.state == TargetState::Ready) {
            let group = (record.service.clone(), record.zone.clone());
            groups.entry(group).or_default().push(record.id.clone());
        }
        for ids in groups.values() {
            let names: Vec<&str> = ids.iter().map(TargetId::as_str).collect();
            for (id, lane) in ids.iter().zip(choose::lanes(&names)) {
                if let Some(target) = self.targets.get_mut(id) {
                    target.lane = lane;
                }
            }
        }
    }

    /// Sets the number of running entries.
    pub fn set_entries(&mut self, entries: usize) {
        self.entries = entries.max(1);
    }

    /// Looks up a target by its id.
    pub fn get(&self, id: &TargetId) -> Option<&Target> {
        self.targets.get(id)
    }

    /// Targets to consider for a request, and the ids of those that may be preferred targets of its
    /// prefix; `None` if all of them may.
    fn considered_targets(
        &self,
        service: &ServiceId,
        shared: &[PromptPart],
    ) -> (Vec<&Target>, Option<HashSet<&TargetId>>) {
        let Some(subset) = self
            .subsets
            .get(service)
            .filter(|subset| !subset.includes_all())
        else {
            let offers_service = |target: &&Target| target.record.service == *service;
            return (self.targets.values().filter(offers_service).collect(), None);
        };
        let prefix = shared.last().map(|part| part.id);
        let group = prefix
            .into_iter()
            .flat_map(|prefix| subset.prefix_group(prefix));
        let preferred: HashSet<&TargetId> = group.collect();
        let others = subset
            .selected()
            .iter()
            .filter(|id| !preferred.contains(id));
        let ids = preferred.iter().copied().chain(others);
        let targets = ids.filter_map(|id| self.targets.get(id)).collect();
        (targets, Some(preferred))
    }

    /// Selects a target of the service, outside `tried`, that has a connection available. Ejected
    /// targets are selected only when they are due for a probe, or when there are no others.
    pub fn choose(
        &self,
        limits: &ServiceLimits<'_>,
        prompt: Option<&Prompt>,
        tried: &[TargetId],
        now: Millis,
    ) -> Option<(TargetId, Choice)> {
        let shared = prompt.map_or(&[][..], Prompt::shared);
        let is_usable = |target: &&Target| {
            target.record.state == TargetState::Ready
                && !tried.contains(&target.record.id)
                && target.pool.has_room(limits.connections)
        };
        let (targets, preferred) = self.considered_targets(limits.service, shared);
        let all: Vec<&Target> = targets.into_iter().filter(is_usable).collect();
        let is_due = |target: &&&Target| target.health.availability(now) == Availability::Probe;
        let is_available =
            |target: &&Target| target.health.availability(now) == Availability::Available;
        let available: Vec<&Target> = all.iter().copied().filter(is_available).collect();
        if let Some(probe) = all.iter().find(is_due) {
            let choice = Choice {
                index: 0,
                estimate: Millis::ZERO,
                uncached: prompt.map_or(0, |prompt| prompt.input.get()),
            };
            return Some((probe.record.id.clone(), choice));
        }
        let usable = if available.is_empty() { all } else { available };
        let candidates: Vec<Candidate<'_>> = usable
            .iter()
            .map(|target| Candidate {
                may_be_preferred: preferred
                    .as_ref()
                    .is_none_or(|preferred| preferred.contains(&target.record.id)),
                ..target.candidate(self, shared, now)
            })
            .collect();
        let input = prompt.map(|prompt| PromptInput {
            input: prompt.input.get(),
            shared,
        });
        let choice = choose::choose(&candidates, input, &self.options)?;
        Some((usable[choice.index].record.id.clone(), choice))
    }

    /// Records that a request is sent to a target.
    pub fn start_attempt(&mut self, id: &TargetId, uncached: u64, now: Millis) {
        if let Some(target) = self.targets.get_mut(id) {
            target.health.record_request(now);
            target.in_flight += 1;
            target.pending_tokens += uncached;
            target.record_prefill(uncached, now);
        }
    }

    /// Records that a target has finished prefill and starts to respond.
    pub fn finish_prefill(&mut self, id: &TargetId, prefill: &FinishedPrefill<'_>, now: Millis) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        target.pending_tokens = target.pending_tokens.saturating_sub(prefill.uncached);
        target.health.record_frame(now);
        if let Some(prompt) = prefill.prompt {
            target.record_cached(&prompt.parts, now);
            let ratio = (prefill.took.get() as f64 + BASE_LATENCY_MS)
                / (prefill.expected.get() as f64 + 2.0 * BASE_LATENCY_MS);
            let slowness = target.slowness(now);
            target.slowness = slowness + (ratio.clamp(0.5, 8.0) - slowness) * SLOWNESS_WEIGHT;
            target.slowness_at = now;
        }
    }

    /// Stores the load reported with a response.
    pub fn record_load(&mut self, id: &TargetId, load: Load, now: Millis) {
        if let Some(target) = self.targets.get_mut(id) {
            target.load = Some((load, now));
        }
    }

    /// Records the end of an attempt; `pending_tokens` is what the target has not prefilled.
    /// Returns true if this ejected the target.
    pub fn end_attempt(
        &mut self,
        id: &TargetId,
        pending_tokens: u64,
        verdict: Verdict,
        now: Millis,
    ) -> bool {
        let Some(target) = self.targets.get_mut(id) else {
            return false;
        };
        target.in_flight = target.in_flight.saturating_sub(1);
        target.pending_tokens = target.pending_tokens.saturating_sub(pending_tokens);
        let was_available = target.health.availability(now) == Availability::Available;
        match verdict {
            Verdict::Answered => target.health.record_success(now),
            Verdict::Full | Verdict::Abandoned => {}
            Verdict::NotReached => {
                // Counts as `EJECT_FAILURES` failures, so that the target is ejected at once.
                target.health.record_failure(Failure::ConnectFailed, now);
                target.health.record_failure(Failure::ConnectFailed, now);
            }
            Verdict::Failed => target.health.record_failure(Failure::TargetFailed, now),
            Verdict::Timeout(sent) => target.health.record_failure(Failure::Timeout(sent), now),
        }
        was_available && target.health.availability(now) != Availability::Available
    }
}
