//! The sidecars as this entry knows them, and the choice among their targets.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use cyc_proto::{Link, sidecar::HeartbeatReply};
use cyc_route::{Ask, Failure, Health, Options, Standing, Target, candidates, choose, health};
use cyc_types::{AvailabilityZone, Incarnation, Millis, ProcessKey, ServiceId, TargetId};

/// Hashes of cached prefixes kept for each target.
const PREFIX_CAPACITY: usize = 4_096;
/// How long a cached prefix is believed in after its last note.
const PREFIX_TTL: Millis = Millis::new(10 * 60_000);

/// A target of the configuration, as the fleet needs it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place {
    /// The target.
    pub target: TargetId,
    /// The services that it takes part in.
    pub services: Vec<ServiceId>,
    /// Its availability zone.
    pub zone: AvailabilityZone,
    /// The address of its sidecar.
    pub addr: SocketAddr,
}

/// One sidecar.
#[derive(Debug)]
pub struct Sidecar {
    /// The target.
    pub target: TargetId,
    /// The connection.
    pub link: Link,
    seen: Mutex<Seen>,
}

/// What the last heartbeats told.
#[derive(Debug, Clone, Default)]
pub struct Seen {
    /// The last answer.
    pub reply: Option<HeartbeatReply>,
    /// Heartbeats without an answer since then.
    pub missed: u32,
    /// True if the VM list says that the VM is leaving.
    pub leaving: bool,
}

impl Sidecar {
    fn lock(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns what the last heartbeats told.
    pub fn seen(&self) -> Seen {
        self.lock().clone()
    }

    /// Returns the sidecar incarnation that answered last.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.lock()
            .reply
            .as_ref()
            .map(|reply| reply.sidecar.clone())
    }

    /// Returns true if the VM list says that the VM is leaving.
    pub fn is_leaving(&self) -> bool {
        self.lock().leaving
    }
}

/// One row of the fleet: the sidecar, and its target as input of decisions.
#[derive(Debug)]
struct Row {
    place: Place,
    sidecar: Arc<Sidecar>,
    health: Health,
    /// The incarnation that may be sent work, as recorded in the platform.
    recorded: Option<Incarnation>,
}

impl Row {
    /// Returns true if the incarnation that answered last is recorded.
    fn is_recorded(&self) -> bool {
        self.recorded.is_some() && self.recorded == self.sidecar.incarnation()
    }
}

#[derive(Debug, Default)]
struct Rows {
    /// Invariant: `targets[i]` is the target of `rows[i]`.
    rows: Vec<Row>,
    targets: Vec<Target>,
    index: BTreeMap<TargetId, usize>,
    turn: u64,
    /// The incarnations that may be sent work, also of targets that have no row now.
    recorded: BTreeMap<TargetId, Incarnation>,
}

/// All sidecars of the configuration in force.
#[derive(Debug)]
pub struct Fleet {
    key: ProcessKey,
    options: Options,
    health: health::Options,
    rows: Mutex<Rows>,
}

/// A request in flight at a target, counted until it is dropped.
#[derive(Debug)]
pub struct InFlight<'a> {
    fleet: &'a Fleet,
    target: TargetId,
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.fleet
            .with_target(&self.target, |target, _| target.load.end());
    }
}

/// # Configuration
impl Fleet {
    /// Creates an empty fleet.
    pub fn new(key: ProcessKey, options: Options, health: health::Options) -> Self {
        Self {
            key,
            options,
            health,
            rows: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Rows> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Follows the configuration: adds new targets and drops those that are gone or have moved.
    pub fn set(&self, places: Vec<Place>) {
        let mut rows = self.lock();
        let old_rows = std::mem::take(&mut rows.rows);
        let old_targets = std::mem::take(&mut rows.targets);
        let mut old: BTreeMap<TargetId, (Row, Target)> = old_rows
            .into_iter()
            .zip(old_targets)
            .map(|(row, target)| (row.place.target.clone(), (row, target)))
            .collect();
        for place in places {
            let kept = old
                .remove(&place.target)
                .filter(|(row, _)| row.place.addr == place.addr);
            let (row, target) = match kept {
                Some(kept) => moved(kept, place),
                None => self.new_row(place),
            };
            let recorded = rows.recorded.get(&row.place.target).cloned();
            let row = Row { recorded, ..row };
            rows.rows.push(row);
            rows.targets.push(target);
        }
        rows.index = rows
            .rows
            .iter()
            .enumerate()
            .map(|(index, row)| (row.place.target.clone(), index))
            .collect();
    }

    fn new_row(&self, place: Place) -> (Row, Target) {
        let link = Link::new(place.addr, self.key.clone());
        let sidecar = Arc::new(Sidecar {
            target: place.target.clone(),
            link,
            seen: Mutex::default(),
        });
        let mut target = Target::new(
            place.target.clone(),
            place.services.clone(),
            place.zone.clone(),
        );
        target.prefixes = cyc_route::PrefixCache::new(PREFIX_CAPACITY, PREFIX_TTL);
        let health = Health::new(self.health.clone());
        (
            Row {
                place,
                sidecar,
                health,
                recorded: None,
            },
            target,
        )
    }

    /// Returns the sidecar of a target.
    pub fn get(&self, target: &TargetId) -> Option<Arc<Sidecar>> {
        let rows = self.lock();
        rows.index
            .get(target)
            .map(|index| rows.rows[*index].sidecar.clone())
    }

    /// Returns all sidecars.
    pub fn all(&self) -> Vec<Arc<Sidecar>> {
        self.lock()
            .rows
            .iter()
            .map(|row| row.sidecar.clone())
            .collect()
    }

    /// Returns the number of sidecars that answered the last heartbeat and may be sent work.
    pub fn reachable(&self) -> usize {
        let answered = |row: &&Row| {
            let missed = row.sidecar.lock().missed;
            row.is_recorded() && missed == 0
        };
        self.lock().rows.iter().filter(answered).count()
    }

    /// Returns the number of targets that get no requests because requests failed there.
    pub fn ejected(&self, now: Millis) -> usize {
        let ejected = |row: &&Row| row.health.standing(now) != Standing::Open;
        self.lock().rows.iter().filter(ejected).count()
    }

    fn with_target<T>(
        &self,
        id: &TargetId,
        f: impl FnOnce(&mut Target, &mut Row) -> T,
    ) -> Option<T> {
        let mut rows = self.lock();
        let index = *rows.index.get(id)?;
        let Rows { rows, targets, .. } = &mut *rows;
        Some(f(&mut targets[index], &mut rows[index]))
    }
}

/// Gives a known target its new services and zone; its sidecar and what is known of it stay.
fn moved((mut row, mut target): (Row, Target), place: Place) -> (Row, Target) {
    target.services = place.services.clone();
    target.zone = place.zone.clone();
    row.place = place;
    (row, target)
}

/// # Signs of life
impl Fleet {
    /// Returns the mark that [`Fleet::answered`] needs, taken before a heartbeat is sent.
    pub fn mark(&self, target: &TargetId) -> u64 {
        self.with_target(target, |target, _| target.load.mark())
            .unwrap_or_default()
    }

    /// Takes in an answer to a heartbeat. Returns true if another incarnation answered before.
    pub fn answered(&self, reply: HeartbeatReply, mark: u64, now: Millis) -> bool {
        let id = reply.target.clone();
        let is_new = self.with_target(&id, |target, row| {
            let mut seen = row.sidecar.lock();
            let before = seen.reply.as_ref().map(|reply| &reply.sidecar);
            let is_new = before.is_some_and(|before| *before != reply.sidecar);
            if is_new {
                target.load.clear();
                target.prefixes.clear();
            }
            target.load.report(&reply.load, mark);
            target.models = reply.load.models.clone();
            target.prefixes.note(&reply.load.prefixes, now);
            target.draining = reply.draining || seen.leaving;
            seen.missed = 0;
            seen.reply = Some(reply);
            is_new
        });
        is_new.unwrap_or_default()
    }

    /// Notes which incarnations may be sent work.
    pub fn set_recorded(&self, contacts: &BTreeMap<TargetId, Incarnation>) {
        let mut rows = self.lock();
        rows.recorded.clone_from(contacts);
        for row in &mut rows.rows {
            row.recorded = contacts.get(&row.place.target).cloned();
        }
    }

    /// Counts a heartbeat without an answer; a target that misses several is ejected.
    pub fn missed(&self, target: &TargetId, now: Millis) {
        self.with_target(target, |_, row| {
            row.sidecar.lock().missed += 1;
            row.health.fail(Failure::NotReached, now);
        });
    }

    /// Notes what the VM list says of a target's VM.
    pub fn set_leaving(&self, target: &TargetId, leaving: bool) {
        self.with_target(target, |target, row| {
            let mut seen = row.sidecar.lock();
            seen.leaving = leaving;
            let draining = seen.reply.as_ref().is_some_and(|reply| reply.draining);
            target.draining = draining || leaving;
        });
    }

    /// Notes a sign of life of a target itself: a frame of an answer. That its sidecar answers
    /// heartbeats is none, since the target may hang all the same.
    pub fn alive(&self, target: &TargetId, now: Millis) {
        self.with_target(target, |_, row| row.health.alive(now));
    }

    /// Notes how a request ended at a target.
    pub fn note(&self, target: &TargetId, result: Result<(), Failure>, now: Millis) {
        self.with_target(target, |_, row| match result {
            Ok(()) => row.health.succeed(now),
            Err(failure) => row.health.fail(failure, now),
        });
    }

    /// Counts a request at a target until the result is dropped.
    pub fn begin(&self, target: &TargetId, prefixes: &[u64], now: Millis) -> InFlight<'_> {
        self.with_target(target, |known, row| {
            known.load.start();
            known.prefixes.note(prefixes, now);
            row.health.start(now);
        });
        InFlight {
            fleet: self,
            target: target.clone(),
        }
    }
}

/// The order in which targets are tried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// By the estimated time to the first token.
    Estimate,
    /// By rendezvous hashing alone, so that all attempts of a request meet at one target.
    Rendezvous,
}

/// # Choice
impl Fleet {
    /// Returns the best target that is not in `tried` and may be sent work.
    pub fn choose(&self, ask: &Ask<'_>, order: Order, tried: &[TargetId]) -> Option<Arc<Sidecar>> {
        let mut rows = self.lock();
        rows.turn += 1;
        let ask = Ask {
            turn: rows.turn,
            ..ask.clone()
        };
        let Rows { rows, targets, .. } = &mut *rows;
        for (row, target) in rows.iter().zip(targets.iter_mut()) {
            target.standing = row.health.standing(ask.now);
        }
        let ranked = match order {
            Order::Estimate => choose(targets, &ask, &self.options),
            Order::Rendezvous => {
                let mut all = candidates(targets, ask.service, ask.model, ask.key, usize::MAX);
                all.sort_by_key(|index| targets[*index].standing);
                all
            }
        };
        let open = ranked.into_iter().map(|index| &rows[index]);
        open.filter(|row| !tried.contains(&row.place.target))
            .find(|row| row.is_recorded())
            .map(|row| row.sidecar.clone())
    }

    /// Returns the incarnation at a target that may be sent work.
    pub fn usable(&self, target: &TargetId) -> Option<Incarnation> {
        let usable = |row: &Row| row.is_recorded().then(|| row.recorded.clone());
        self.with_target(target, |_, row| usable(row))??
    }

    /// Returns the targets, in the order of rendezvous hashing, at which a retry of the request
    /// finds it. The choice may go beyond the first candidates when those are full or ejected, so
    /// twice as many are looked at.
    pub fn candidates(&self, ask: &Ask<'_>) -> Vec<Arc<Sidecar>> {
        let rows = self.lock();
        let count = self.options.candidates.saturating_mul(2);
        let found = candidates(&rows.targets, ask.service, ask.model, ask.key, count);
        found
            .into_iter()
            .map(|index| rows.rows[index].sidecar.clone())
            .collect()
    }
}
