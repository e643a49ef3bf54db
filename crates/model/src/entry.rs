//! An entry: the product's own decisions, or those of a baseline.

use std::{
    net::{Ipv4Addr, SocketAddr},
    str::FromStr,
};

use cyc_gateway::{
    call::Prompt,
    choose::{Choice, Options},
    fleet::{Fleet, LOAD_FOR, Load, Read, Verdict, Wanted},
    member::{Record, TargetState},
    repeat::{self, Repeats},
};
use cyc_types::{AvailabilityZone, Millis, ServiceId, TargetId};
use strum::{Display, EnumIter, EnumString};

use crate::scenario::Scenario;

/// Repeats that all entries together may send for each first send.
const REPEAT_RATIO: f64 = 0.2;
/// Repeats of all entries in [`REPEAT_WINDOW`] without any first send.
const REPEAT_EXTRA: f64 = 50.0;
/// The span over which repeats are counted.
const REPEAT_WINDOW: Millis = Millis::new(10_000);

/// How targets are chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumString, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Policy {
    /// Each target in turn.
    RoundRobin,
    /// The target with the fewest requests, by own sends and last report.
    LeastLoaded,
    /// The product's first version on targets that are reached directly: homes, without lanes and
    /// without regard to the streams beside a prompt.
    FirstVersion,
    /// The product.
    Product,
}

impl Policy {
    fn options(self) -> Options {
        let options = Options::default();
        match self {
            Self::FirstVersion => Options {
                lane_ms: 0.0,
                harm_ms: 0.0,
                reading_ms: 0.0,
                reread_factor: 1.0,
                ..options
            },
            Self::RoundRobin | Self::LeastLoaded | Self::Product => options,
        }
    }
}

/// The two services of a scenario.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Service {
    /// The engines.
    Engines,
    /// The plain service.
    Plain,
}

impl Service {
    /// Returns its id.
    pub fn id(self) -> ServiceId {
        let name = match self {
            Self::Engines => "engines",
            Self::Plain => "plain",
        };
        id(name)
    }
}

/// A target as entries know it.
#[derive(Debug, Clone)]
struct Known {
    id: TargetId,
    service: Service,
    in_flight: u32,
    /// Requests there by its last report, and when that came.
    reported: (u32, Millis),
}

impl Known {
    fn load(&self, now: Millis) -> u32 {
        let (load, at) = self.reported;
        match now.saturating_sub(at) <= LOAD_FOR {
            true => load.max(self.in_flight),
            false => self.in_flight,
        }
    }
}

/// An entry.
#[derive(Debug)]
pub struct Entry {
    policy: Policy,
    fleet: Fleet,
    repeats: Repeats,
    entries: usize,
    /// By the number of the target. Invariant: does not change.
    known: Vec<Known>,
    next: usize,
}

impl Entry {
    /// Creates the entry with this number.
    pub fn new(scenario: &Scenario, number: usize, policy: Policy) -> Self {
        let mut options = policy.options();
        options.prompt_tokens_per_ms = scenario.engines.prompt_tokens_per_ms;
        let mut fleet = Fleet::new(zone(scenario, number), options);
        fleet.set_entries(scenario.entries);
        let records = records(scenario);
        fleet.set(records.iter(), Millis::ZERO);
        let known = records.iter().enumerate().map(|(index, record)| Known {
            id: record.id.clone(),
            service: service_of(scenario, index),
            in_flight: 0,
            reported: (0, Millis::ZERO),
        });
        let bound = repeat::Options {
            ratio: REPEAT_RATIO,
            window: REPEAT_WINDOW,
            extra: REPEAT_EXTRA,
        };
        Self {
            policy,
            fleet,
            repeats: Repeats::new(bound),
            entries: scenario.entries,
            known: known.collect(),
            next: number,
        }
    }

    /// Chooses a target, by its number, outside of `tried`.
    pub fn choose(
        &mut self,
        service: Service,
        prompt: Option<&Prompt>,
        tried: &[usize],
        now: Millis,
    ) -> Option<(usize, Choice)> {
        let fits = |index: &usize| self.known[*index].service == service && !tried.contains(index);
        let target = match self.policy {
            Policy::RoundRobin => {
                self.next += 1;
                let all: Vec<usize> = (0..self.known.len()).filter(fits).collect();
                *all.get(self.next % all.len().max(1))?
            }
            Policy::LeastLoaded => {
                self.next += 1;
                let count = self.known.len();
                // Targets that are equally loaded take turns.
                (0..count).filter(fits).min_by_key(|index| {
                    let known = &self.known[*index];
                    let turn = (index + self.next) % count;
                    (known.load(now), turn)
                })?
            }
            Policy::FirstVersion | Policy::Product => {
                let tried: Vec<TargetId> = tried
                    .iter()
                    .map(|index| self.known[*index].id.clone())
                    .collect();
                let service = service.id();
                let wanted = Wanted {
                    service: &service,
                    connections: u32::MAX,
                };
                let (id, choice) = self.fleet.choose(&wanted, prompt, &tried, now)?;
                let index = self.known.iter().position(|known| known.id == id)?;
                return Some((index, choice));
            }
        };
        let choice = Choice {
            index: target,
            estimate: Millis::ZERO,
            uncached: prompt.map_or(0, |prompt| prompt.input.get()),
        };
        Some((target, choice))
    }

    /// Notes a send.
    pub fn start(&mut self, target: usize, uncached: u64, now: Millis) {
        let known = &mut self.known[target];
        known.in_flight += 1;
        self.fleet.start(&known.id, uncached, now);
    }

    /// Notes the first piece of an answer and the load that came with it.
    pub fn read(&mut self, target: usize, read: &Read<'_>, load: Load, now: Millis) {
        let known = &mut self.known[target];
        known.reported = (load.running + load.waiting, now);
        self.fleet.report(&known.id, load, now);
        self.fleet.read(&known.id, read, now);
    }

    /// Notes the end of a send.
    pub fn end(&mut self, target: usize, unread: u64, verdict: Verdict, now: Millis) {
        let known = &mut self.known[target];
        known.in_flight = known.in_flight.saturating_sub(1);
        self.fleet.end(&known.id, unread, verdict, now);
    }

    /// Counts the first send of a request.
    pub fn first(&mut self, service: Service, now: Millis) {
        self.repeats.first(&service.id(), now);
    }

    /// Takes one repeat from the bound that the entries share.
    pub fn take_repeat(&mut self, service: Service, now: Millis) -> bool {
        self.repeats.take(&service.id(), self.entries, now)
    }
}

/// Returns the service of the target with this number: the engines come first.
pub fn service_of(scenario: &Scenario, target: usize) -> Service {
    if target < scenario.engines.count {
        Service::Engines
    } else {
        Service::Plain
    }
}

/// Returns the number of the availability zone of the entry or target with this number.
pub fn zone_number(scenario: &Scenario, number: usize) -> usize {
    number % scenario.zones
}

fn zone(scenario: &Scenario, number: usize) -> AvailabilityZone {
    id(&format!("zone-{}", zone_number(scenario, number)))
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
            born: None,
            service: service.id(),
            // Nothing is ever sent there.
            addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
            zone: zone(scenario, index),
            slots,
            state: TargetState::Ready,
        }
    };
    (0..count).map(record).collect()
}

/// Makes an id of a text that is one.
fn id<T: FromStr>(text: &str) -> T {
    match text.parse() {
        Ok(id) => id,
        Err(_) => unreachable!("`{text}` is an id"),
    }
}
