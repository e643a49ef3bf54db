//! What an entry learns of the targets of a service together, and whether it selects by it.

use cyc_types::{Millis, Tokens};

use crate::{
    decay::DecayingSum,
    load::{ExpectedLoad, UsualLoad},
    prompt::PromptSize,
    speed::{PaceEstimate, Speed, SpeedEstimate},
    timely::{Pauses, Workload},
};

/// Time constant of the numbers of reports with and without the pace.
const REPORTS_TIME_CONSTANT: Millis = Millis::MINUTE;
/// Reports with the pace that are needed before an entry selects by it.
const MIN_REPORTS: f64 = 3.0;
/// Part of the reports that carry the pace before an entry selects by it, and below which it stops.
const REPORTS_BOUNDS: (f64, f64) = (0.25, 0.5);
/// Time without a report of the pace after which an entry stops selecting by it.
const PACE_TTL: Millis = Millis::new(180_000);
/// Time constant of the spells and of the sizes of prompts.
const SHAPE_TIME_CONSTANT: Millis = Millis::new(20_000);
/// Time constant of the requests sent to the targets of one pace.
const CLASS_TIME_CONSTANT: Millis = Millis::new(8_000);
/// Weight, in reports, of the assumption that machines have no other work.
const SPELL_PRIOR_REPORTS: f64 = 10.0;
/// Factor, relative to the usual one, from which a machine has other work.
const SPELL_RATIO: f64 = 1.4;
/// Time after which longer pauses replace shorter ones that no stream has asked for.
const PAUSES_TTL: Millis = Millis::MINUTE;
/// Time between two counts of the targets of each class.
const CENSUS_INTERVAL: Millis = Millis::new(2_000);
/// Time between two log lines on the evenness of the load of a service.
const EVENNESS_INTERVAL: Millis = Millis::new(30_000);
/// Classes of pace in one doubling.
const CLASSES_PER_DOUBLING: f64 = 3.0;
/// Bounds of the load of a target relative to that of its class, where it stands for its prefill.
const LOAD_RATIO_BOUNDS: (f64, f64) = (0.4, 2.5);
/// Requests added to both, since few requests say little.
const LOAD_PRIOR: f64 = 2.0;
/// Bounds of the mean time of a request.
const REQUEST_TIME_BOUNDS: (Millis, Millis) = (Millis::new(100), Millis::new(1_500));
/// Number of classes, from a pace of a quarter to eight times the usual one.
const CLASSES: usize = 16;
/// Class of a target of the usual pace.
const USUAL_CLASS: f64 = 6.0;
/// Weight of the mean over all targets, in requests, in the prefill of one class.
const CLASS_PRIOR_REQUESTS: f64 = 2.0;

/// The targets of a service whose pace is about the same.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PaceClass(usize);

impl PaceClass {
    /// The class of a target whose work takes `usual` times as long as on a usual machine.
    pub fn new(usual: f64) -> Self {
        let index = (usual.max(0.01).log2() * CLASSES_PER_DOUBLING + USUAL_CLASS).round();
        Self((index.max(0.0) as usize).min(CLASSES - 1))
    }
}

/// This entry's requests to the targets of one pace.
#[derive(Debug, Clone, Copy, Default)]
struct ClassDemand {
    /// Tokens to prefill, in ms of the targets' time at the typical rate.
    work_ms: DecayingSum,
    load: UsualLoad,
    targets: usize,
}

/// What an entry knows of the targets of a service.
#[derive(Debug, Default)]
pub struct ServiceProfile {
    /// Speed of the targets, converted to machines of usual speed.
    pub speed: SpeedEstimate,
    /// Tokens that fit in the memory of each target.
    pub memory: Option<Tokens>,
    /// Tokens held by this entry's requests that have not ended.
    held_tokens: u64,
    /// Number of these requests.
    holders: u64,
    load: UsualLoad,
    is_active: bool,
    reports: DecayingSum,
    pace_reports: DecayingSum,
    pace_at: Millis,
    /// Mean usual pace over the reports.
    usual: f64,
    shape_reports: DecayingSum,
    spells: DecayingSum,
    spell_ratios: DecayingSum,
    /// Sum over the requests of how many others of this entry had not ended.
    holders_seen: DecayingSum,
    requests: DecayingSum,
    tokens: DecayingSum,
    tokens_squared: DecayingSum,
    classes: [ClassDemand; CLASSES],
    census_at: Option<Millis>,
    evenness_at: Option<Millis>,
    /// The shortest pauses that matter, and when a stream asked for them.
    pauses: Option<(Pauses, Millis)>,
}

impl ServiceProfile {
    /// Returns true if targets are selected by what they report of their pace.
    pub fn is_active(&self) -> bool {
        self.is_active
    }

    /// Records a report, with the pace of its target if it carries one. Returns true if this starts
    /// or ends selection by the pace.
    pub fn record_report(
        &mut self,
        running: u32,
        waiting: u32,
        pace: Option<&PaceEstimate>,
        now: Millis,
    ) -> bool {
        self.load.record(running, waiting, now);
        self.reports.add(1.0, REPORTS_TIME_CONSTANT, now);
        if let Some(pace) = pace {
            self.pace_reports.add(1.0, REPORTS_TIME_CONSTANT, now);
            self.pace_at = now;
            let class = PaceClass::new(pace.usual());
            self.classes[class.0].load.record(running, waiting, now);
            let weight = match self.usual > 0.0 {
                true => 0.05,
                false => 1.0,
            };
            self.usual += (pace.usual() - self.usual) * weight;
            self.shape_reports.add(1.0, SHAPE_TIME_CONSTANT, now);
            if pace.ratio() >= SPELL_RATIO {
                self.spells.add(1.0, SHAPE_TIME_CONSTANT, now);
                self.spell_ratios
                    .add(pace.ratio(), SHAPE_TIME_CONSTANT, now);
            }
        }
        self.update(now)
    }

    /// Decides anew whether to select by the pace. Returns true if that has changed.
    pub fn update(&mut self, now: Millis) -> bool {
        let paces = self.pace_reports.get(REPORTS_TIME_CONSTANT, now);
        let all = self.reports.get(REPORTS_TIME_CONSTANT, now);
        let (least, most) = REPORTS_BOUNDS;
        let before = self.is_active;
        self.is_active = match before {
            true => now.saturating_sub(self.pace_at) <= PACE_TTL && paces >= all * least,
            false => paces >= MIN_REPORTS && paces >= all * most,
        };
        before != self.is_active
    }

    /// Mean usual pace of the targets.
    pub fn usual_pace(&self) -> f64 {
        match self.usual > 0.0 {
            true => self.usual,
            false => 1.0,
        }
    }

    /// Mean load of the targets.
    pub fn load(&self, now: Millis) -> ExpectedLoad {
        self.load.get(ExpectedLoad::default(), now)
    }

    /// Records the pauses that matter to a stream.
    pub fn record_pauses(&mut self, pauses: Pauses, now: Millis) {
        let is_current = self.pauses.is_some_and(|(known, at)| {
            known.longest < pauses.longest && now.saturating_sub(at) < PAUSES_TTL
        });
        if !is_current {
            self.pauses = Some((pauses, now));
        }
    }

    /// Returns true if the targets of each class have to be counted.
    pub fn is_census_due(&self, now: Millis) -> bool {
        self.census_at
            .is_none_or(|at| now.saturating_sub(at) >= CENSUS_INTERVAL)
    }

    /// Returns true if the evenness of the load has to be shown again. The first time is an interval
    /// after the first call.
    pub fn is_evenness_due(&mut self, now: Millis) -> bool {
        let at = *self.evenness_at.get_or_insert(now);
        let is_due = now.saturating_sub(at) >= EVENNESS_INTERVAL;
        if is_due {
            self.evenness_at = Some(now);
        }
        is_due
    }

    /// Sets how many targets of each class there are.
    pub fn set_classes(&mut self, targets: impl Iterator<Item = PaceClass>, now: Millis) {
        self.census_at = Some(now);
        for class in &mut self.classes {
            class.targets = 0;
        }
        for PaceClass(index) in targets {
            self.classes[index].targets += 1;
        }
    }

    /// Records that a request of this size is sent to a target of this class, which has to prefill
    /// `uncached` tokens.
    pub fn start(
        &mut self,
        size: PromptSize,
        uncached: u64,
        class: PaceClass,
        speed: Speed,
        now: Millis,
    ) {
        self.held_tokens += size.total().get();
        self.holders_seen
            .add(self.holders as f64, SHAPE_TIME_CONSTANT, now);
        self.holders += 1;
        let uncached = uncached as f64;
        self.requests.add(1.0, SHAPE_TIME_CONSTANT, now);
        self.tokens.add(uncached, SHAPE_TIME_CONSTANT, now);
        self.tokens_squared
            .add(uncached * uncached, SHAPE_TIME_CONSTANT, now);
        let demand = &mut self.classes[class.0];
        demand
            .work_ms
            .add(uncached * speed.ms_per_token, CLASS_TIME_CONSTANT, now);
    }

    /// Records that a request of this size has ended.
    pub fn end(&mut self, size: PromptSize) {
        self.held_tokens = self.held_tokens.saturating_sub(size.total().get());
        self.holders = self.holders.saturating_sub(1);
    }

    /// Tokens that a request holds in the mean, with one more of `own` tokens.
    pub fn held_per_request(&self, own: u64) -> f64 {
        (self.held_tokens + own) as f64 / (self.holders + 1) as f64
    }

    /// How long a request takes in the mean: those that have not ended by the rate of new ones.
    pub fn request_time(&self, now: Millis) -> Millis {
        let requests = self.requests.get(SHAPE_TIME_CONSTANT, now);
        let holders = self.holders_seen.get(SHAPE_TIME_CONSTANT, now) / requests.max(1.0);
        let per_ms = requests.max(1.0) / SHAPE_TIME_CONSTANT.get() as f64;
        let (least, most) = REQUEST_TIME_BOUNDS;
        Millis::new((holders / per_ms) as u64).clamp(least, most)
    }

    /// What the requests of the service have in common; `entries` entries send as much as this one.
    pub fn workload(&self, entries: usize, now: Millis) -> Workload {
        let tokens = self.tokens.get(SHAPE_TIME_CONSTANT, now);
        let squared = self.tokens_squared.get(SHAPE_TIME_CONSTANT, now);
        let spells = self.spells.get(SHAPE_TIME_CONSTANT, now);
        let reports = self.shape_reports.get(SHAPE_TIME_CONSTANT, now);
        let ratios = self.spell_ratios.get(SHAPE_TIME_CONSTANT, now);
        let (work, capacity) = self.totals(now);
        let per_entry = work / (CLASS_TIME_CONSTANT.get() as f64 * capacity.max(f64::MIN_POSITIVE));
        Workload {
            prefill_fraction: per_entry * entries as f64,
            burst_tokens: squared / tokens.max(1.0),
            pauses: self.pauses.map(|(pauses, _)| pauses),
            spell_fraction: spells / (reports + SPELL_PRIOR_REPORTS),
            spell_factor: match spells > 0.0 {
                true => (ratios / spells).max(1.0),
                false => 1.0,
            },
        }
    }

    /// This entry's work on all targets, and their capacity in targets of usual pace.
    fn totals(&self, now: Millis) -> (f64, f64) {
        let sums = self.classes.iter().enumerate().map(|(index, class)| {
            let work = class.work_ms.get(CLASS_TIME_CONSTANT, now);
            (work, class.targets as f64 / class_pace(index))
        });
        sums.fold((0.0, 0.0), |sum, next| (sum.0 + next.0, sum.1 + next.1))
    }

    /// Estimates the part of their time that targets of each class spend on prefill, if `entries`
    /// entries send as much as this one, and their load.
    pub fn class_views(&self, entries: usize, now: Millis) -> ClassViews {
        let service_load = self.load(now);
        let (work, capacity) = self.totals(now);
        let per_ms = entries as f64 / CLASS_TIME_CONSTANT.get() as f64;
        let mean_work = work / capacity.max(f64::MIN_POSITIVE);
        let requests = self.requests.get(SHAPE_TIME_CONSTANT, now);
        let per_request = work / requests.max(1.0) * SHAPE_TIME_CONSTANT.get() as f64
            / CLASS_TIME_CONSTANT.get() as f64;
        let mut views = [ClassView::default(); CLASSES];
        for (index, class) in self.classes.iter().enumerate() {
            let capacity = class.targets as f64 / class_pace(index);
            let prior = CLASS_PRIOR_REQUESTS * per_request;
            let own = class.work_ms.get(CLASS_TIME_CONSTANT, now);
            // As many requests of the prior as if the class were loaded like all targets.
            let weight = match mean_work > 0.0 {
                true => prior / mean_work,
                false => 1.0,
            };
            let work = (own + prior) / (capacity + weight).max(f64::MIN_POSITIVE);
            views[index] = ClassView {
                prefill_fraction: work * per_ms,
                load: class.load.get(service_load, now),
            };
        }
        ClassViews(views)
    }
}

/// What is known of the targets of one class.
#[derive(Debug, Clone, Copy, Default)]
pub struct ClassView {
    /// The part of their time that they spend on prefill.
    pub prefill_fraction: f64,
    /// Their mean load.
    pub load: ExpectedLoad,
}

impl ClassView {
    /// Estimates the part of its time that a target with this load spends on prefill: it has got more
    /// than others of its class if more requests run there.
    pub fn prefill_fraction(&self, load: ExpectedLoad) -> f64 {
        let (least, most) = LOAD_RATIO_BOUNDS;
        let own = load.running + load.waiting + LOAD_PRIOR;
        let mean = self.load.running + self.load.waiting + LOAD_PRIOR;
        self.prefill_fraction * (own / mean).clamp(least, most)
    }
}

/// What is known of the targets of each class.
#[derive(Debug, Clone, Copy)]
pub struct ClassViews([ClassView; CLASSES]);

impl ClassViews {
    /// One class.
    pub fn get(&self, class: PaceClass) -> &ClassView {
        &self.0[class.0]
    }
}

fn class_pace(index: usize) -> f64 {
    ((index as f64 - USUAL_CLASS) / CLASSES_PER_DOUBLING).exp2()
}
