//! A simulated entry. Targets are chosen by the product's own code or by a baseline policy.

use std::{
    net::{Ipv4Addr, SocketAddr},
    str::FromStr,
};

use cyc_gateway::{
    call::Prompt,
    choose::{Choice, Options},
    fleet::{FinishedPrefill, Fleet, LOAD_REPORT_TTL, Load, Requirements, Verdict},
    member::{Record, TargetState},
    retry_budget::{self, RetryBudget},
    timely::Pauses,
};
use cyc_types::{AvailabilityZone, Millis, ServiceId, TargetId, Tokens, VmId};
use strum::{Display, EnumIter, EnumString};

use crate::scenario::Scenario;

/// Retries that an entry may send per first attempt.
const RETRY_RATIO: f64 = 0.2;
/// Retries per [`RETRY_WINDOW`] that are allowed regardless of first attempts, over all entries. The
/// retry budget keeps a part of them as a margin.
const BASE_RETRIES: f64 = 50.0;
/// Sliding window over which retries are counted.
const RETRY_WINDOW: Millis = Millis::new(10_000);

/// How an entry chooses a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumString, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Policy {
    /// All targets of the service in turn.
    RoundRobin,
    /// The target with the fewest requests: the larger of the entry's own requests in flight and the
    /// target's last load report.
    LeastLoaded,
    /// The first version of the product whose entries sent requests to targets directly: prefix
    /// affinity, without lanes and without the costs that prefill causes to other requests on the
    /// same engine.
    FirstVersion,
    /// The current version of the product.
    Product,
}

impl Policy {
    fn options(self) -> Options {
        let options = Options::default();
        match self {
            Self::FirstVersion => Options {
                lane_ms: 0.0,
                interference_ms: 0.0,
                prefill_ms: 0.0,
                reprefill_factor: 1.0,
                ..options
            },
            Self::RoundRobin | Self::LeastLoaded | Self::Product => options,
        }
    }
}

/// The two services of a scenario.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Service {
    /// Batching model engines.
    Engines,
    /// The plain service.
    Plain,
}

impl Service {
    /// Returns the service's id in the fleet of an entry.
    pub fn id(self) -> ServiceId {
        let name = match self {
            Self::Engines => "engines",
            Self::Plain => "plain",
        };
        id(name)
    }
}

/// What the caller of a request notices.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Time within which the first piece should come.
    pub objective: Millis,
    /// The pauses between the pieces of a stream.
    pub pauses: Pauses,
}

/// An entry's view of one target.
#[derive(Debug, Clone)]
struct TargetView {
    id: TargetId,
    service: Service,
    in_flight: u32,
    /// Requests at the target by its last report, and the time of that report.
    last_report: (u32, Millis),
}

impl TargetView {
    fn load(&self, now: Millis) -> u32 {
        let (load, at) = self.last_report;
        match now.saturating_sub(at) <= LOAD_REPORT_TTL {
            true => load.max(self.in_flight),
            false => self.in_flight,
        }
    }
}

/// An entry with its own view of all targets.
#[derive(Debug)]
pub struct Entry {
    policy: Policy,
    fleet: Fleet,
    retry_budget: RetryBudget,
    entries: usize,
    /// Indexed by target. Invariant: the set of targets does not change.
    targets: Vec<TargetView>,
    round_robin_counter: usize,
}

impl Entry {
    /// Creates the entry with this index.
    pub fn new(scenario: &Scenario, index: usize, policy: Policy) -> Self {
        let mut options = policy.options();
        options.prompt_tokens_per_ms = scenario.engines.prompt_tokens_per_ms;
        let vm: VmId = id(&format!("entry-{index}"));
        let mut fleet = Fleet::new(zone(scenario, index), options).with_entry(&vm);
        fleet.set_entries(scenario.entries);
        let memory = Tokens::new(scenario.engines.memory_tokens);
        fleet.set_memory(&Service::Engines.id(), Some(memory));
        let records = records(scenario);
        fleet.set_targets(records.iter(), Millis::ZERO);
        let targets = records
            .iter()
            .enumerate()
            .map(|(index, record)| TargetView {
                id: record.id.clone(),
                service: service_of(scenario, index),
                in_flight: 0,
                last_report: (0, Millis::ZERO),
            });
        let retry_options = retry_budget::Options {
            ratio: RETRY_RATIO,
            window: RETRY_WINDOW,
            extra: BASE_RETRIES,
        };
        Self {
            policy,
            fleet,
            retry_budget: RetryBudget::new(retry_options),
            entries: scenario.entries,
            targets: targets.collect(),
            round_robin_counter: index,
        }
    }

    /// Chooses a target that is not in `tried`, and returns its index. `None` if there is none.
    pub fn choose(
        &mut self,
        service: Service,
        prompt: Option<&Prompt>,
        bounds: Bounds,
        tried: &[usize],
        now: Millis,
    ) -> Option<(usize, Choice)> {
        let is_eligible =
            |index: &usize| self.targets[*index].service == service && !tried.contains(index);
        let target = match self.policy {
            Policy::RoundRobin => {
                self.round_robin_counter += 1;
                let all: Vec<usize> = (0..self.targets.len()).filter(is_eligible).collect();
                *all.get(self.round_robin_counter % all.len().max(1))?
            }
            Policy::LeastLoaded => {
                self.round_robin_counter += 1;
                let count = self.targets.len();
                // Ties are broken round-robin.
                (0..count).filter(is_eligible).min_by_key(|index| {
                    let view = &self.targets[*index];
                    let rank = (index + self.round_robin_counter) % count;
                    (view.load(now), rank)
                })?
            }
            Policy::FirstVersion | Policy::Product => {
                let tried: Vec<TargetId> = tried
                    .iter()
                    .map(|index| self.targets[*index].id.clone())
                    .collect();
                let service = service.id();
                let required = Requirements {
                    service: &service,
                    connections: u32::MAX,
                    objective: Some(bounds.objective),
                    pauses: Some(bounds.pauses),
                    tried: &tried,
                    may_probe: true,
                    may_ask: true,
                };
                let (id, choice) = self.fleet.choose(&required, prompt, now)?;
                let index = self.targets.iter().position(|view| view.id == id)?;
                return Some((index, choice));
            }
        };
        let choice = Choice {
            index: target,
            estimate: Millis::ZERO,
            uncached: prompt.map_or(0, |prompt| prompt.input.get()),
            ahead: 0,
        };
        Some((target, choice))
    }

    /// Records the start of an attempt at a target.
    pub fn start_attempt(
        &mut self,
        target: usize,
        prompt: Option<&Prompt>,
        uncached: u64,
        now: Millis,
    ) {
        let view = &mut self.targets[target];
        view.in_flight += 1;
        self.fleet.start_attempt(&view.id, uncached, now);
        if let Some(prompt) = prompt {
            self.fleet
                .start_generation(&view.id, prompt.size(), uncached, now);
        }
    }

    /// Records the first piece of an answer and the load reported with it.
    pub fn record_first_piece(
        &mut self,
        target: usize,
        prefill: &FinishedPrefill<'_>,
        load: Load,
        now: Millis,
    ) {
        let view = &mut self.targets[target];
        view.last_report = (load.running + load.waiting, now);
        self.fleet.record_load(&view.id, load, now);
        self.fleet.finish_prefill(&view.id, prefill, now);
    }

    /// Records how an attempt ended.
    pub fn end_attempt(
        &mut self,
        target: usize,
        prompt: Option<&Prompt>,
        pending_tokens: u64,
        verdict: Verdict,
        now: Millis,
    ) {
        let view = &mut self.targets[target];
        view.in_flight = view.in_flight.saturating_sub(1);
        if let Some(prompt) = prompt {
            let service = view.service.id();
            self.fleet.end_generation(&service, &view.id, prompt.size());
        }
        self.fleet
            .end_attempt(&view.id, pending_tokens, verdict, now);
    }

    /// Records the first attempt of a request, which adds to the retry budget.
    pub fn record_first_attempt(&mut self, service: Service, now: Millis) {
        self.retry_budget.record_first_attempt(&service.id(), now);
    }

    /// Takes one retry from this entry's part of the retry budget; false if none is left.
    pub fn take_retry(&mut self, service: Service, now: Millis) -> bool {
        self.retry_budget.take(&service.id(), self.entries, now)
    }
}

/// Returns the service of the target with this index: engines come before plain targets.
pub fn service_of(scenario: &Scenario, target: usize) -> Service {
    if target < scenario.engines.count {
        Service::Engines
    } else {
        Service::Plain
    }
}

/// Returns the index of the availability zone of the entry or target with this index.
pub fn zone_index(scenario: &Scenario, index: usize) -> usize {
    index % scenario.zones
}

fn zone(scenario: &Scenario, index: usize) -> AvailabilityZone {
    id(&format!("zone-{}", zone_index(scenario, index)))
}

fn records(scenario: &Scenario) -> Vec<Record> {
    let count = scenario.engines.count + scenario.service.count;
    let record = |index| {
        let service = service_of(scenario, index);
        let slots = match service {
            Service::Engines => scenario.engines.slots,
            Service::Plain => scenario.service.slots,
        };
        Record {
            id: id(&format!("target-{index}")),
            started_at: None,
            service: service.id(),
            // A placeholder: the simulation opens no connections.
            addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
            zone: zone(scenario, index),
            slots,
            state: TargetState::Ready,
            cold_left: Millis::ZERO,
        }
    };
    (0..count).map(record).collect()
}

/// Parses a text that is known to be a valid id.
fn id<T: FromStr>(text: &str) -> T {
    match text.parse() {
        Ok(id) => id,
        Err(_) => unreachable!("`{text}` is a valid id"),
    }
}
