//! Per-target state of this entry: requests in flight, reported load, health, and the prompt parts
//! that are probably cached.

use std::{
    cell::Cell,
    collections::{BTreeMap, HashMap},
    rc::Rc,
};

use cyc_evac::Evacuations;
use cyc_route::{Availability, Failure, Health, health};
use cyc_signal::{Announcement, Retained, ServiceWait, Signals, service_wait};
use cyc_types::{AvailabilityZone, Millis, PerSecond, ServiceId, TargetId, Tokens, VmId, hash};
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};

use crate::{
    affinity::PrefixDemand,
    call::{PartId, Prompt, PromptPart, PromptSize},
    choose::{self, Candidate, Choice, Lane, PromptInput},
    config::ColdStart,
    conn::Pool,
    decay::DecayingSum,
    evenness::{Evenness, evenness},
    group::ServiceTargets,
    limit::{ColdWord, Coldness, LimitWord, TargetLimit},
    load::LoadEstimate,
    member::{Record, TargetIncarnation, TargetState},
    port::StatedLimit,
    service::{ClassViews, PaceClass, ServiceProfile},
    speed::{Pace, PaceEstimate, Speed},
    timely::{self, Engine, Pauses, Workload},
};

/// Consecutive failures that eject a target.
const EJECT_FAILURES: u32 = 2;
/// Time until an ejected target gets a probe request.
const PROBE_MIN: Millis = Millis::new(700);
/// Maximum time between probe requests.
const PROBE_MAX: Millis = Millis::new(4_000);
/// A crash that another entry reports later than this says nothing about the target: its
/// registration has ended, or it answered in the meantime.
const REPORTED_CRASH_TTL: Millis = Millis::new(5_000);
/// How long prompt parts sent to a target are assumed to be cached there.
const CACHED_PART_TTL: Millis = Millis::new(15_000);
/// Maximum prompt parts tracked per target; further ones are ignored until others expire.
const MAX_CACHED_PARTS: usize = 4_096;
/// A load report older than this is ignored.
pub const LOAD_REPORT_TTL: Millis = Millis::new(1_500);
/// Fixed part of the time to first token, so that targets do not look slow on small prompts.
const BASE_LATENCY_MS: f64 = 100.0;
/// Time constant of the measured prefill rate.
const PREFILL_TIME_CONSTANT: Millis = Millis::new(2_000);
/// Time constant of the work that an entry has sent a target. An entry with a part of the traffic
/// sends each target a request every few seconds.
const RECENT_TIME_CONSTANT: Millis = Millis::new(8_000);
/// Work of a request beside its prefill, in ms.
const REQUEST_MS: f64 = 20.0;
/// How alike the targets of a service are assumed to be in their share of the prompts: the weight
/// of the average, in requests, against the requests that an entry has sent to one target.
const PREFILL_PRIOR_REQUESTS: f64 = 4.0;
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
    /// Time that work takes on the target's machine at the moment, in percent of the time on a
    /// machine of usual speed; `None` if the target does not tell.
    pub work_percent: Option<u32>,
}

/// The prompts that this entry's requests made a target, or all targets of a service, prefill
/// lately.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Prefill {
    requests: DecayingSum,
    tokens: DecayingSum,
}

impl Prefill {
    pub(crate) fn record(&mut self, tokens: u64, now: Millis) {
        self.requests.add(1.0, PREFILL_TIME_CONSTANT, now);
        self.tokens.add(tokens as f64, PREFILL_TIME_CONSTANT, now);
    }

    fn requests(&self, now: Millis) -> f64 {
        self.requests.get(PREFILL_TIME_CONSTANT, now)
    }

    fn tokens(&self, now: Millis) -> f64 {
        self.tokens.get(PREFILL_TIME_CONSTANT, now)
    }
}

/// What this entry sends to an average target, and what follows for the other entries.
#[derive(Debug, Clone, Copy)]
struct AveragePrefill {
    requests: f64,
    tokens_per_request: f64,
    other_entries: f64,
    /// Tokens that a target can prefill in the time over which requests are counted.
    capacity: f64,
}

impl AveragePrefill {
    /// Estimates the fraction of time that a target spends on prefill for all entries, which send
    /// about as much to a service each. The few requests that this entry has sent to the target
    /// tell little about the other entries.
    fn fraction(&self, own: &Prefill, now: Millis) -> f64 {
        if self.requests <= 0.0 {
            return 0.0;
        }
        let expected = (PREFILL_PRIOR_REQUESTS + own.requests(now))
            / (PREFILL_PRIOR_REQUESTS / self.requests + 1.0);
        let others = expected * self.other_entries * self.tokens_per_request;
        ((own.tokens(now) + others) / self.capacity).min(1.0)
    }
}

/// What a request to a service needs to weigh its targets by their pace.
#[derive(Debug)]
struct ServiceView {
    workload: Workload,
    typical: Speed,
    usual_pace: f64,
    classes: ClassViews,
    request_time: Millis,
    memory: Memory,
}

/// The memory of the targets of a service, for one request.
#[derive(Debug, Clone, Copy)]
struct Memory {
    /// Tokens that fit in the memory of a target; `None` if that is not known.
    capacity: Option<Tokens>,
    /// Tokens that a request to the service holds in the mean.
    per_request: f64,
    /// Fraction of the memory that the request will hold.
    own: f64,
}

impl Memory {
    /// Estimates the fraction of a target's memory that is held. Requests of other entries are
    /// assumed to hold as much as those of this one.
    fn used(&self, held: u64, running: f64, in_flight: u32) -> f64 {
        let Some(capacity) = self.capacity else {
            return 0.0;
        };
        let others = (running - f64::from(in_flight)).max(0.0) * self.per_request;
        (held as f64 + others) / (capacity.get() as f64).max(1.0)
    }
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
    prefill: Prefill,
    load: Option<(Load, Millis)>,
    limit: Option<TargetLimit>,
    /// When the target last answered without a limit.
    unlimited_at: Millis,
    /// Time that the target takes for what this entry has sent it, in ms.
    recent_ms: DecayingSum,
    /// `None` until the target reports its pace.
    pace: Option<PaceEstimate>,
    expected_load: LoadEstimate,
    /// Tokens of the prompts and answers of this entry's attempts that have not ended.
    held_tokens: u64,
    /// See [`Fleet::cold`], which also counts an ejected target as cold.
    cold: Coldness,
    announcement: Announcement,
    slowness: f64,
    slowness_at: Millis,
    cached: HashMap<PartId, Millis>,
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
            prefill: Prefill::default(),
            load: None,
            limit: None,
            unlimited_at: Millis::ZERO,
            recent_ms: DecayingSum::default(),
            pace: None,
            expected_load: LoadEstimate::default(),
            held_tokens: 0,
            cold: Coldness::default(),
            announcement: Announcement::default(),
            slowness: 1.0,
            slowness_at: now,
            cached: HashMap::new(),
        }
    }

    /// Takes over what this run of the target has announced before.
    fn with_announcement(mut self, announcement: Announcement) -> Self {
        self.announcement = announcement;
        if announcement.is_leaving() {
            self.pool.close();
        }
        self
    }

    /// What the target has announced about itself.
    pub fn announcement(&self) -> &Announcement {
        &self.announcement
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

    fn candidate<'a>(
        &'a self,
        zone: &AvailabilityZone,
        average: &AveragePrefill,
        shared: &[PromptPart],
        now: Millis,
    ) -> Candidate<'a> {
        let load = self
            .load
            .filter(|(_, at)| now.saturating_sub(*at) <= LOAD_REPORT_TTL);
        let load = load.map_or(Load::default(), |(load, _)| load);
        Candidate {
            id: self.record.id.as_str(),
            is_same_zone: self.record.zone == *zone,
            affinity: 0.0,
            lane: self.lane,
            in_flight: self.in_flight,
            pending_tokens: self.pending_tokens,
            running: load.running,
            waiting: load.waiting,
            slots: self.record.slots,
            prefill_fraction: average.fraction(&self.prefill, now),
            slowness: self.slowness(now),
            cached_parts: self.cached_parts(shared, now),
        }
    }

    fn pace_class(&self, usual: f64) -> PaceClass {
        let pace = self.pace.as_ref();
        PaceClass::new(pace.map_or(usual, PaceEstimate::usual))
    }

    fn engine(
        &self,
        zone: &AvailabilityZone,
        view: &ServiceView,
        affinity: f64,
        shared: &[PromptPart],
        now: Millis,
    ) -> Engine {
        let unknown = Pace::unknown(view.usual_pace);
        let pace = self.pace.map_or(unknown, |pace| pace.get(now));
        let class = view.classes.get(self.pace_class(view.usual_pace));
        let load = self
            .expected_load
            .get(class.load, self.in_flight, view.request_time, now);
        Engine {
            is_same_zone: self.record.zone == *zone,
            affinity,
            cached_parts: self.cached_parts(shared, now),
            pending_tokens: self.pending_tokens,
            recent_ms: self.recent_ms.get(RECENT_TIME_CONSTANT, now),
            load,
            slots: self.record.slots,
            prefill_fraction: class.prefill_fraction(load),
            speed: view.typical,
            pace,
            memory_fraction: view
                .memory
                .used(self.held_tokens, load.running, self.in_flight),
            own_memory_fraction: view.memory.own,
            slowness: self.slowness(now),
        }
    }

    /// Returns true if the target works and can start one more request at once, as far as this entry
    /// knows.
    fn has_room(&self, now: Millis) -> bool {
        let load = self
            .load
            .filter(|(_, at)| now.saturating_sub(*at) <= LOAD_REPORT_TTL);
        let load = load.map_or(Load::default(), |(load, _)| load);
        self.health.availability(now) == Availability::Available
            && load.waiting == 0
            && load.running.max(self.in_flight) < self.record.slots.max(1)
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
    /// Tokens that it had to prefill before.
    pub ahead: u64,
    /// The prompt; `None` for requests to plain services.
    pub prompt: Option<&'a Prompt>,
    /// Time from sending the request to the first byte of the response.
    pub took: Millis,
    /// Estimate of that time.
    pub expected: Millis,
}

/// What a request requires of a target.
#[derive(Debug, Clone, Copy)]
pub struct Requirements<'a> {
    /// The service.
    pub service: &'a ServiceId,
    /// Connections that this entry may have open to one target.
    pub connections: u32,
    /// Time within which the first event should come, if there is an objective.
    pub objective: Option<Millis>,
    /// The pauses that matter to the caller, if any do.
    pub pauses: Option<Pauses>,
    /// Targets that were tried before.
    pub tried: &'a [TargetId],
    /// The request may be sent again if the target fails it, so that it can probe an ejected one.
    pub may_probe: bool,
    /// The request may be sent to a target that names a limit, if it is granted.
    pub may_ask: bool,
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
    retained: Retained<TargetIncarnation>,
    /// The ready targets of each service.
    services: HashMap<ServiceId, ServiceTargets>,
    profiles: HashMap<ServiceId, ServiceProfile>,
    /// The services whose targets start cold.
    cold_starts: HashMap<ServiceId, ColdStart>,
    /// When this entry first read the list of targets, or went on after it was frozen.
    resumed_at: Option<Millis>,
    /// The zones whose targets get less than their load, or nothing.
    evacuations: Evacuations,
    /// Prompts that this entry has sent to the targets of each service, by lane.
    prefill: HashMap<(ServiceId, Lane), Prefill>,
    demand: PrefixDemand,
    /// Entries draw different samples.
    rng: StdRng,
}

impl Fleet {
    /// Creates an empty fleet for an entry in `zone`.
    pub fn new(zone: AvailabilityZone, options: choose::Options) -> Self {
        Self {
            zone,
            options,
            entries: 1,
            targets: BTreeMap::new(),
            retained: Retained::default(),
            services: HashMap::new(),
            profiles: HashMap::new(),
            cold_starts: HashMap::new(),
            resumed_at: None,
            evacuations: Evacuations::default(),
            prefill: HashMap::new(),
            demand: PrefixDemand::default(),
            rng: StdRng::seed_from_u64(0),
        }
    }

    /// Sets the entry, whose samples of the targets differ from those of the others.
    pub fn with_entry(mut self, vm: &VmId) -> Self {
        self.rng = StdRng::seed_from_u64(hash::stable(vm.as_str().as_bytes()));
        self
    }

    /// Sets the services whose targets start cold.
    pub fn set_cold_starts<'a>(
        &mut self,
        services: impl Iterator<Item = (&'a ServiceId, ColdStart)>,
    ) {
        self.cold_starts = services
            .map(|(id, cold_start)| (id.clone(), cold_start))
            .collect();
    }

    /// Replaces the list of targets. The state of a target that was restarted or has a new address
    /// is discarded, except what this run of it has announced; it counts as cold.
    pub fn set_targets<'a>(&mut self, records: impl Iterator<Item = &'a Record>, now: Millis) {
        self.resumed_at.get_or_insert(now);
        let mut old = std::mem::take(&mut self.targets);
        for record in records {
            let known = old.remove(&record.id);
            let is_same = |target: &Target| {
                target.record.started_at == record.started_at && target.record.addr == record.addr
            };
            let target = match known {
                Some(mut target) if is_same(&target) => {
                    target.record = record.clone();
                    target
                }
                before => {
                    self.retain(before.as_ref(), now);
                    let announcement = self.retained.take(&record.incarnation(), now);
                    let mut target =
                        Target::new(record.clone(), now).with_announcement(announcement);
                    let cold_start = self.cold_starts.get(&record.service);
                    if let Some(cold_start) = cold_start.filter(|_| before.is_some()) {
                        target.cold.extend(cold_start.time, now);
                    }
                    target
                }
            };
            self.targets.insert(record.id.clone(), target);
        }
        for target in old.values() {
            self.retain(Some(target), now);
        }
        self.assign_lanes();
        self.assign_services();
    }

    /// Keeps what a target has announced in case that its registration comes back. Without a start time
    /// a later run cannot be told from this one.
    fn retain(&mut self, target: Option<&Target>, now: Millis) {
        if let Some(target) = target.filter(|target| target.record.started_at.is_some()) {
            let incarnation = target.record.incarnation();
            self.retained.keep(incarnation, target.announcement, now);
        }
    }

    fn assign_services(&mut self) {
        self.services.clear();
        let ready = self.targets.values();
        for target in ready.filter(|target| target.record.state == TargetState::Ready) {
            let service = self.services.entry(target.record.service.clone());
            let is_same_zone = target.record.zone == self.zone;
            service
                .or_default()
                .add(target.record.id.clone(), target.lane, is_same_zone);
        }
    }

    fn assign_lanes(&mut self) {
        let mut groups: BTreeMap<(ServiceId, AvailabilityZone), Vec<TargetId>> = BTreeMap::new();
        let ready = self.targets.values().map(|target| &target.record);
        for record in ready.filter(|record| record.state == TargetState::Ready) {
            let group = (record.service.clone(), record.zone.clone());
            groups.entry(group).or_default().push(record.id.clone());
        }
        for ((service, _), ids) in &groups {
            let names: Vec<&str> = ids.iter().map(TargetId::as_str).collect();
            let lanes = match self.is_paced(service) {
                true => vec![Lane::Any; names.len()],
                false => choose::lanes(&names),
            };
            for (id, lane) in ids.iter().zip(lanes) {
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

    /// Returns true if the targets of a service are selected by the pace that they report.
    pub fn is_paced(&self, service: &ServiceId) -> bool {
        let profile = self.profiles.get(service);
        profile.is_some_and(ServiceProfile::is_active)
    }

    /// Sets the tokens that fit in the memory of each target of a service.
    pub fn set_memory(&mut self, service: &ServiceId, memory: Option<Tokens>) {
        match self.profiles.get_mut(service) {
            Some(profile) => profile.memory = memory,
            None => self.profiles.entry(service.clone()).or_default().memory = memory,
        }
    }

    fn assumed_speed(&self) -> Speed {
        Speed::new(BASE_LATENCY_MS, self.options.prompt_tokens_per_ms)
    }

    /// Records that a target gets a request of this size, of which it has to prefill `uncached`
    /// tokens.
    pub fn start_generation(
        &mut self,
        id: &TargetId,
        size: PromptSize,
        uncached: u64,
        now: Millis,
    ) {
        let assumed = self.assumed_speed();
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        target.held_tokens += size.total().get();
        target.expected_load.send();
        let profile = self.profiles.entry(target.record.service.clone());
        let profile = profile.or_default();
        let speed = profile.speed.get(assumed, now);
        let usual = profile.usual_pace();
        let class = target.pace_class(usual);
        let pace = target.pace.as_ref().map_or(usual, PaceEstimate::usual);
        let work_ms = REQUEST_MS + uncached as f64 * speed.ms_per_token;
        target
            .recent_ms
            .add(work_ms * pace, RECENT_TIME_CONSTANT, now);
        profile.start(size, uncached, class, speed, now);
    }

    /// Records the end of a request of this size, which was sent to a target of `service`.
    pub fn end_generation(&mut self, service: &ServiceId, id: &TargetId, size: PromptSize) {
        if let Some(target) = self.targets.get_mut(id) {
            target.held_tokens = target.held_tokens.saturating_sub(size.total().get());
        }
        // The target may have left in the meantime; its service has still one request less.
        if let Some(profile) = self.profiles.get_mut(service) {
            profile.end(size);
        }
    }

    /// Prepares the choice among the targets of a service that report their pace; `None` if they do
    /// not.
    fn service_view(
        &mut self,
        required: &Requirements<'_>,
        prompt: &Prompt,
        now: Millis,
    ) -> Option<ServiceView> {
        let profile = self.profiles.get_mut(required.service)?;
        if !profile.is_active() {
            return None;
        }
        if let Some(pauses) = required.pauses {
            profile.record_pauses(pauses, now);
        }
        if profile.update(now) {
            self.assign_lanes();
            self.assign_services();
            return None;
        }
        if profile.is_census_due(now) {
            let usual = profile.usual_pace();
            let ready = self.targets.values().filter(|target| {
                target.record.state == TargetState::Ready
                    && target.record.service == *required.service
            });
            profile.set_classes(ready.map(|target| target.pace_class(usual)), now);
        }
        let assumed = self.assumed_speed();
        let profile = self.profiles.get(required.service)?;
        let own = prompt.size().total().get();
        let capacity = profile.memory;
        Some(ServiceView {
            workload: profile.workload(self.entries, now),
            typical: profile.speed.get(assumed, now),
            usual_pace: profile.usual_pace(),
            classes: profile.class_views(self.entries, now),
            request_time: profile.request_time(now),
            memory: Memory {
                capacity,
                per_request: profile.held_per_request(own),
                own: capacity.map_or(0.0, |capacity| {
                    own as f64 / (capacity.get() as f64).max(1.0)
                }),
            },
        })
    }

    /// How even the load of a service is, at most once in a while.
    pub fn take_evenness(&mut self, service: &ServiceId, now: Millis) -> Option<Evenness> {
        let profile = self.profiles.get_mut(service)?;
        if !profile.is_evenness_due(now) {
            return None;
        }
        let (usual, mean) = (profile.usual_pace(), profile.load(now));
        let lasts = profile.request_time(now);
        let ready = self.targets.values().filter(|target| {
            target.record.state == TargetState::Ready && target.record.service == *service
        });
        evenness(ready.filter_map(|target| {
            let age = target.expected_load.age(now)?;
            let load = target.expected_load.get(mean, target.in_flight, lasts, now);
            let pace = target.pace.as_ref().map_or(usual, PaceEstimate::usual);
            Some(((load.running + load.waiting) * pace, age))
        }))
    }

    /// Looks up a target by its id.
    pub fn get(&self, id: &TargetId) -> Option<&Target> {
        self.targets.get(id)
    }

    /// What this entry sends to an average target in a lane of a service.
    fn average_prefill(
        &self,
        id: &ServiceId,
        service: &ServiceTargets,
        lane: Lane,
        now: Millis,
    ) -> AveragePrefill {
        let all = self.prefill.get(&(id.clone(), lane));
        let all = all.copied().unwrap_or_default();
        let requests = all.requests(now);
        AveragePrefill {
            requests: requests / service.lane_len(lane).max(1) as f64,
            tokens_per_request: all.tokens(now) / requests.max(f64::MIN_POSITIVE),
            other_entries: (self.entries - 1) as f64,
            capacity: self.options.prompt_tokens_per_ms * PREFILL_TIME_CONSTANT.get() as f64,
        }
    }

    /// Sets the evacuated zones.
    pub fn set_evacuations(&mut self, evacuations: Evacuations) {
        self.evacuations = evacuations;
    }

    /// The evacuated zones.
    pub fn evacuations_mut(&mut self) -> &mut Evacuations {
        &mut self.evacuations
    }

    /// Returns true if nothing may be sent to the target, nor any connection opened, because its zone
    /// is evacuated.
    pub fn is_evacuated(&self, id: &TargetId, now: Millis) -> bool {
        let target = self.targets.get(id);
        target.is_some_and(|target| self.evacuations.is_closed(&target.record.zone, now))
    }

    /// Records that the targets of a zone may have become cold. Returns the number of targets that
    /// count as cold because of that.
    pub fn mark_zone_cold(&mut self, zone: &AvailabilityZone, now: Millis) -> usize {
        let mut marked = 0;
        let targets = self.targets.values_mut();
        for target in targets.filter(|target| target.record.zone == *zone) {
            if let Some(cold_start) = self.cold_starts.get(&target.record.service) {
                target.cold.extend(cold_start.time, now);
                marked += 1;
            }
        }
        marked
    }

    /// Selects a target that has a connection available. Targets of evacuated zones are never
    /// selected, and those of a zone whose load leaves or returns for a part of the requests, or if
    /// there are no others. Ejected targets are selected only when they
    /// are due for a probe that the request can be, or when there are no others.
    pub fn choose(
        &mut self,
        required: &Requirements<'_>,
        prompt: Option<&Prompt>,
        now: Millis,
    ) -> Option<(TargetId, Choice)> {
        if self.evacuations.is_empty() {
            return self.choose_in_zones(required, prompt, 0.0, now);
        }
        let draw = self.rng.random();
        self.choose_in_zones(required, prompt, draw, now)
            .or_else(|| self.choose_in_zones(required, prompt, 0.0, now))
    }

    /// Selects a target in the zones whose share of their load is above `draw`, from 0 to 1.
    fn choose_in_zones(
        &mut self,
        required: &Requirements<'_>,
        prompt: Option<&Prompt>,
        draw: f64,
        now: Millis,
    ) -> Option<(TargetId, Choice)> {
        let shared = prompt.map_or(&[][..], Prompt::shared);
        let view = prompt.and_then(|prompt| self.service_view(required, prompt, now));
        let tokens_per_ms = match &view {
            Some(view) => view.typical.tokens_per_ms() / view.usual_pace,
            None => self.options.prompt_tokens_per_ms,
        };
        let preferred = self.preferred_count(prompt, shared, tokens_per_ms, now);
        let service = self.services.get(required.service)?;
        let cold_start = self.cold_starts.get(required.service);
        let usable = |id: &TargetId| {
            let target = self.targets.get(id)?;
            if !self.evacuations.is_empty()
                && self.evacuations.share(&target.record.zone, now) <= draw
            {
                return None;
            }
            let is_open = target
                .limit
                .is_none_or(|limit| required.may_ask && limit.wait(now).is_zero());
            let availability = target.health.availability(now);
            let is_cold = cold_start.is_some()
                && (availability != Availability::Available || !target.cold.left(now).is_zero());
            let is_open =
                is_open && (!is_cold || required.may_ask && target.cold.wait(now).is_zero());
            let is_usable = is_open
                && target.announcement.may_send(now)
                && !required.tried.contains(id)
                && target.pool.has_room(required.connections);
            is_usable.then_some((availability, is_cold))
        };
        // Warm targets first: a cold one looks idle and would be preferred by all entries.
        let has_cold = Cell::new(false);
        let mut considered = service.consider(prompt, preferred, &mut self.rng, |id| {
            let (availability, is_cold) = usable(id)?;
            if is_cold && availability == Availability::Available {
                has_cold.set(true);
                return None;
            }
            Some(availability)
        });
        let has_room = |(id, _): &(&TargetId, f64)| {
            let target = self.targets.get(*id);
            target.is_some_and(|target| target.has_room(now))
        };
        if has_cold.get() && !considered.targets.iter().any(has_room) {
            considered = service.consider(prompt, preferred, &mut self.rng, |id| {
                usable(id).map(|(availability, _)| availability)
            });
        }
        if required.may_probe
            && let Some(probe) = considered.probe
        {
            let choice = Choice {
                index: 0,
                estimate: Millis::ZERO,
                uncached: prompt.map_or(0, |prompt| prompt.input.get()),
                ahead: 0,
            };
            return Some((probe.clone(), choice));
        }
        let input = prompt.map(|prompt| PromptInput {
            input: prompt.input.get(),
            shared,
        });
        if let (Some(view), Some(prompt), Some(input)) = (&view, prompt, input) {
            let engines = considered.targets.iter().filter_map(|(id, affinity)| {
                let target = self.targets.get(*id)?;
                Some(target.engine(&self.zone, view, *affinity, shared, now))
            });
            let engines: Vec<Engine> = engines.collect();
            let request = timely::Request {
                prompt: input,
                objective: required.objective,
                pauses: required.pauses,
                output: prompt.max_output.get(),
            };
            let near = self.rng.random();
            let choice = timely::choose(&engines, &request, &view.workload, near)?;
            let (id, _) = considered.targets[choice.index];
            return Some((id.clone(), choice));
        }
        let average = |lane| self.average_prefill(required.service, service, lane, now);
        let averages = [Lane::Any, Lane::Short, Lane::Long].map(|lane| (lane, average(lane)));
        let averages = BTreeMap::from(averages);
        let candidates = considered.targets.iter().filter_map(|(id, affinity)| {
            let target = self.targets.get(*id)?;
            Some(Candidate {
                affinity: *affinity,
                ..target.candidate(&self.zone, &averages[&target.lane], shared, now)
            })
        });
        let candidates: Vec<Candidate<'_>> = candidates.collect();
        let choice = choose::choose(&candidates, input, &self.options)?;
        let (id, _) = considered.targets[choice.index];
        Some((id.clone(), choice))
    }

    /// Records the demand for the prefix of a prompt, and returns the number of its preferred
    /// targets.
    fn preferred_count(
        &mut self,
        prompt: Option<&Prompt>,
        shared: &[PromptPart],
        tokens_per_ms: f64,
        now: Millis,
    ) -> usize {
        let (Some(prompt), Some(prefix)) = (prompt, shared.last()) else {
            return 0;
        };
        let count = self
            .demand
            .preferred(prefix.id.get(), self.entries, tokens_per_ms, now);
        let of_prefix: u64 = shared.iter().map(|part| part.tokens.get()).sum();
        let own = prompt.input.get().saturating_sub(of_prefix);
        self.demand.record(prefix.id.get(), own, now);
        count
    }

    /// Records that a request is sent to a target.
    pub fn start_attempt(&mut self, id: &TargetId, uncached: u64, now: Millis) {
        if let Some(target) = self.targets.get_mut(id) {
            target.health.record_request(now);
            target.in_flight += 1;
            target.pending_tokens += uncached;
            target.prefill.record(uncached, now);
            let lane = (target.record.service.clone(), target.lane);
            let lane = self.prefill.entry(lane).or_default();
            lane.record(uncached, now);
        }
    }

    /// Records that a target has finished prefill and starts to respond.
    pub fn finish_prefill(&mut self, id: &TargetId, prefill: &FinishedPrefill<'_>, now: Millis) {
        let assumed = self.assumed_speed();
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
            let profile = self.profiles.entry(target.record.service.clone());
            let profile = profile.or_default();
            let usual = profile.usual_pace();
            let pace = target.pace.map_or(usual, |pace| pace.get(now).expected());
            let took_ms = prefill.took.get() as f64 / pace;
            let tokens = prefill.ahead + prefill.uncached;
            profile.speed.record(tokens, took_ms, assumed, now);
        }
    }

    /// Stores the load reported with a response.
    pub fn record_load(&mut self, id: &TargetId, load: Load, now: Millis) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        target.load = Some((load, now));
        target.expected_load.record(load.running, load.waiting, now);
        if let Some(percent) = load.work_percent {
            match &mut target.pace {
                Some(pace) => pace.record(percent, now),
                None => target.pace = Some(PaceEstimate::new(percent, now)),
            }
        }
        let pace = target.pace.filter(|_| load.work_percent.is_some());
        let service = &target.record.service;
        let profile = match self.profiles.get_mut(service) {
            Some(profile) => profile,
            None => self.profiles.entry(service.clone()).or_default(),
        };
        let is_changed = profile.record_report(load.running, load.waiting, pace.as_ref(), now);
        if is_changed {
            let is_paced = profile.is_active();
            spdlog::info!("selection_changed", kv: {
                service = service.as_str(),
                by_pace = is_paced,
            });
            self.assign_lanes();
            self.assign_services();
        }
    }

    /// Returns true if a request may be sent to this run of a target now.
    pub fn may_send(&self, target: &TargetIncarnation, now: Millis) -> bool {
        self.targets.get(&target.id).is_some_and(|known| {
            known.record.started_at == target.started_at
                && known.record.state == TargetState::Ready
                && known.announcement.may_send(now)
        })
    }

    /// Stores what a run of a target announces about itself. Returns whether its leaving and its pause
    /// are new.
    pub fn record_signals(
        &mut self,
        target: &TargetIncarnation,
        signals: Signals,
        now: Millis,
    ) -> (bool, bool) {
        let known = self.targets.get_mut(&target.id);
        let known = known.filter(|known| known.record.incarnation() == *target);
        let mut retained = Announcement::default();
        let is_known = known.is_some();
        let pool = known.as_ref().map(|known| known.pool.clone());
        let announcement = match known {
            Some(known) => &mut known.announcement,
            None => {
                retained = self.retained.take(target, now);
                &mut retained
            }
        };
        let is_leaving = signals.is_leaving && announcement.leave();
        let is_paused = signals
            .pause
            .is_some_and(|pause| announcement.pause(pause, now));
        if let Some(pool) = pool.filter(|_| is_leaving) {
            pool.close();
        }
        if !is_known && target.started_at.is_some() {
            self.retained.keep(target.clone(), retained, now);
        }
        (is_leaving, is_paused)
    }

    /// When the targets of a service take requests, as far as they announce it.
    pub fn service_wait(&self, service: &ServiceId, now: Millis) -> ServiceWait {
        let ready = self.targets.values().filter(|target| {
            target.record.service == *service && target.record.state == TargetState::Ready
        });
        service_wait(ready.map(|target| {
            let limit_wait = target.limit.map(|limit| limit.wait(now));
            (target.announcement.standing(now), limit_wait)
        }))
    }

    /// Ejects a target that another entry found crashed this long ago. Returns true if it was in use.
    pub fn learn_crash(&mut self, target: &TargetIncarnation, age: Millis, now: Millis) -> bool {
        let Some(known) = self.targets.get_mut(&target.id) else {
            return false;
        };
        let is_same_run = known.record.incarnation() == *target;
        let was_available = known.health.availability(now) == Availability::Available;
        if !is_same_run || !was_available || age >= REPORTED_CRASH_TTL {
            return false;
        }
        known.health.record_failure(Failure::ConnectFailed, now);
        known.health.record_failure(Failure::ConnectFailed, now);
        true
    }

    /// Stores what a target said about its limit in the response to a request sent at this time.
    /// Returns what is new: a limit, or `None` for the end of one.
    pub fn record_limit(
        &mut self,
        id: &TargetId,
        stated: StatedLimit,
        sent_at: Millis,
        now: Millis,
    ) -> Option<(TargetIncarnation, Option<PerSecond>)> {
        let target = self.targets.get_mut(id)?;
        match (stated, &mut target.limit) {
            (StatedLimit::Rate(limit), Some(known)) => {
                let is_new = known.limit() != limit;
                known.set(limit, now);
                is_new.then(|| (target.record.incarnation(), Some(limit)))
            }
            (StatedLimit::Rate(limit), None) => {
                target.limit = Some(TargetLimit::new(limit, now));
                Some((target.record.incarnation(), Some(limit)))
            }
            // The response may be older than the limit if it overtook another one.
            (StatedLimit::Absent, Some(known)) if known.said_at() > sent_at => None,
            (StatedLimit::Absent, known) => {
                let was_limited = known.take().is_some();
                target.unlimited_at = now;
                was_limited.then(|| (target.record.incarnation(), None))
            }
            (StatedLimit::Invalid, _) => None,
        }
    }

    /// Stores a limit that a target named to another entry at this time, unless the target has
    /// answered this entry since. Returns true if it is new.
    pub fn learn_limit(
        &mut self,
        target: &TargetIncarnation,
        limit: PerSecond,
        said_at: Millis,
    ) -> bool {
        let Some(known) = self.targets.get_mut(&target.id) else {
            return false;
        };
        let is_same_run = known.record.incarnation() == *target;
        if !is_same_run || known.limit.is_some() || known.unlimited_at >= said_at {
            return false;
        }
        known.limit = Some(TargetLimit::new(limit, said_at));
        true
    }

    /// The limit of a target, if it names one.
    pub fn limit_mut(&mut self, id: &TargetId) -> Option<&mut TargetLimit> {
        self.targets.get_mut(id)?.limit.as_mut()
    }

    /// Records that a target names no limit any more.
    pub fn remove_limit(&mut self, id: &TargetId, now: Millis) {
        if let Some(target) = self.targets.get_mut(id) {
            target.limit = None;
            target.unlimited_at = now;
        }
    }

    /// Time until a request may be sent to one of the limited or cold targets of a service; `None`
    /// if there are none.
    pub fn limit_wait(&self, service: &ServiceId, now: Millis) -> Option<Millis> {
        let targets = self.targets.values();
        let of_service = targets.filter(|target| {
            target.record.service == *service
                && !self.evacuations.is_closed(&target.record.zone, now)
        });
        of_service
            .filter_map(|target| {
                let named = target.limit.map(|limit| limit.wait(now));
                // An ejected target says nothing of when one accepts a request.
                let is_available = target.health.availability(now) == Availability::Available;
                let cold = self.cold_word(target, now).filter(|_| is_available);
                let cold = cold.map(|_| target.cold.wait(now));
                named.max(cold)
            })
            .min()
    }

    /// Records that a target stays cold for at least this long, if its service has targets that
    /// start cold. Returns true if it was not known to be cold.
    pub fn mark_cold(&mut self, id: &TargetId, left: Millis, now: Millis) -> bool {
        let Some(target) = self.targets.get_mut(id) else {
            return false;
        };
        // The configuration may be read after the list of targets.
        let is_new = target.cold.extend(left, now);
        is_new && self.cold_starts.contains_key(&target.record.service)
    }

    /// What this entry knows of a cold target; `None` if it is warm. An ejected target counts as
    /// cold, because it may be starting and each entry probes it; one that has returned does so for
    /// the time of a start.
    pub fn cold(&self, id: &TargetId, now: Millis) -> Option<ColdWord> {
        self.cold_word(self.targets.get(id)?, now)
    }

    fn cold_word(&self, target: &Target, now: Millis) -> Option<ColdWord> {
        let cold_start = self.cold_starts.get(&target.record.service)?;
        let left = match target.health.availability(now) {
            Availability::Available => target.cold.left(now),
            Availability::Probe | Availability::Ejected => {
                target.cold.left(now).max(cold_start.time)
            }
        };
        (!left.is_zero()).then_some(ColdWord {
            rate: cold_start.rate,
            left,
        })
    }

    /// Records that this entry goes on after it was frozen, so that it has missed what happened.
    pub fn resume(&mut self, now: Millis) {
        self.resumed_at = Some(now);
    }

    /// Returns true if a target may be cold without this entry's knowledge, because the entry started
    /// or was frozen shorter ago than targets stay cold after what it has not seen: an ejection, or
    /// the end of an evacuation. The granting entry knows.
    pub fn may_be_cold(&self, id: &TargetId, now: Millis) -> bool {
        let target = self.targets.get(id);
        let cold_start = target.and_then(|target| self.cold_starts.get(&target.record.service));
        let since = self.resumed_at.map(|at| now.saturating_sub(at));
        cold_start.is_some_and(|cold_start| since.is_some_and(|since| since < cold_start.time))
    }

    /// The limit that paces the requests to a target: that of its cold time, or the one it names.
    pub fn pace_mut(&mut self, id: &TargetId, now: Millis) -> Option<&mut TargetLimit> {
        let cold = self.cold(id, now);
        let target = self.targets.get_mut(id)?;
        match cold {
            Some(cold) => {
                let named = target.limit.map(|limit| limit.limit());
                Some(target.cold.pace(cold.rate, named))
            }
            None => target.limit.as_mut(),
        }
    }

    /// What is known of the limit that a target names, for the granting entry.
    pub fn limit_word(&self, id: &TargetId, now: Millis) -> Option<LimitWord> {
        let target = self.targets.get(id)?;
        let absent = LimitWord {
            limit: None,
            age: now.saturating_sub(target.unlimited_at),
        };
        Some(target.limit.map_or(absent, |limit| limit.word(now)))
    }

    /// Returns true if a target gets no requests other than probes.
    pub fn is_ejected(&self, id: &TargetId, now: Millis) -> bool {
        let target = self.targets.get(id);
        target.is_some_and(|target| target.health.availability(now) != Availability::Available)
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
        let cold_start = self.cold_starts.get(&target.record.service);
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
        let is_available = target.health.availability(now) == Availability::Available;
        if let Some(cold_start) = cold_start.filter(|_| is_available && !was_available) {
            target.cold.extend(cold_start.time, now);
        }
        was_available && !is_available
    }
}
