//! The sidecars known to this entry, their state, and the selection of targets.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use cyc_proto::{Link, sidecar::HeartbeatReply};
use cyc_route::{
    Availability, Failure, Health, Options, RoutingRequest, Target, candidates, choose, health,
};
use cyc_types::{AvailabilityZone, Incarnation, Millis, ProcessKey, ServiceId, TargetId};

/// Prefix hashes remembered for each target.
const PREFIX_CAPACITY: usize = 4_096;
/// How long a prefix counts as cached after it was last recorded.
const PREFIX_TTL: Millis = Millis::new(10 * 60_000);

/// The configuration of one target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetConfig {
    /// The target.
    pub target: TargetId,
    /// The services that the target offers.
    pub services: Vec<ServiceId>,
    /// Its availability zone.
    pub zone: AvailabilityZone,
    /// The address of its sidecar.
    pub addr: SocketAddr,
}

/// A sidecar and its connection.
#[derive(Debug)]
pub struct Sidecar {
    /// The target.
    pub target: TargetId,
    /// The connection.
    pub link: Link,
    state: Mutex<SidecarState>,
}

/// The state reported by recent heartbeats and the VM list.
#[derive(Debug, Clone, Default)]
pub struct SidecarState {
    /// The last heartbeat reply.
    pub reply: Option<HeartbeatReply>,
    /// Heartbeats missed since the last reply.
    pub missed: u32,
    /// True if the VM list reports that the VM is leaving.
    pub leaving: bool,
}

impl Sidecar {
    fn lock(&self) -> MutexGuard<'_, SidecarState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the state reported by recent heartbeats and the VM list.
    pub fn state(&self) -> SidecarState {
        self.lock().clone()
    }

    /// Returns the incarnation that sent the last heartbeat reply.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.lock()
            .reply
            .as_ref()
            .map(|reply| reply.sidecar.clone())
    }

    /// Returns true if the VM list reports that the VM is leaving.
    pub fn is_leaving(&self) -> bool {
        self.lock().leaving
    }
}

/// A target with its sidecar and health.
#[derive(Debug)]
struct TargetRow {
    config: TargetConfig,
    sidecar: Arc<Sidecar>,
    health: Health,
    /// The incarnation recorded in the platform; only this one may be sent requests.
    recorded: Option<Incarnation>,
}

impl TargetRow {
    /// Returns true if the incarnation of the last heartbeat reply is the recorded one.
    fn is_recorded(&self) -> bool {
        self.recorded.is_some() && self.recorded == self.sidecar.incarnation()
    }
}

#[derive(Debug, Default)]
struct FleetState {
    /// Invariant: `targets[i]` belongs to `rows[i]`.
    rows: Vec<TargetRow>,
    targets: Vec<Target>,
    index: BTreeMap<TargetId, usize>,
    selections: u64,
    /// The recorded incarnations, including those of targets that are not in the configuration now.
    recorded: BTreeMap<TargetId, Incarnation>,
}

/// The sidecars of the configuration in force.
#[derive(Debug)]
pub struct Fleet {
    key: ProcessKey,
    options: Options,
    health: health::Options,
    state: Mutex<FleetState>,
}

/// Counts a request in flight at a target until dropped.
#[derive(Debug)]
pub struct InFlightRequest<'a> {
    fleet: &'a Fleet,
    target: TargetId,
}

impl Drop for InFlightRequest<'_> {
    fn drop(&mut self) {
        self.fleet
            .with_target(&self.target, |target, _| target.load.record_end());
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
            state: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, FleetState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies a configuration: adds new targets, drops removed ones, and replaces those whose
    /// address changed.
    pub fn apply_config(&self, configs: Vec<TargetConfig>) {
        let mut state = self.lock();
        let old_rows = std::mem::take(&mut state.rows);
        let old_targets = std::mem::take(&mut state.targets);
        let mut old: BTreeMap<TargetId, (TargetRow, Target)> = old_rows
            .into_iter()
            .zip(old_targets)
            .map(|(row, target)| (row.config.target.clone(), (row, target)))
            .collect();
        for config in configs {
            let kept = old
                .remove(&config.target)
                .filter(|(row, _)| row.config.addr == config.addr);
            let (row, target) = match kept {
                Some(kept) => with_config(kept, config),
                None => self.new_row(config),
            };
            let recorded = state.recorded.get(&row.config.target).cloned();
            let row = TargetRow { recorded, ..row };
            state.rows.push(row);
            state.targets.push(target);
        }
        state.index = state
            .rows
            .iter()
            .enumerate()
            .map(|(index, row)| (row.config.target.clone(), index))
            .collect();
    }

    fn new_row(&self, config: TargetConfig) -> (TargetRow, Target) {
        let link = Link::new(config.addr, self.key.clone());
        let sidecar = Arc::new(Sidecar {
            target: config.target.clone(),
            link,
            state: Mutex::default(),
        });
        let mut target = Target::new(
            config.target.clone(),
            config.services.clone(),
            config.zone.clone(),
        );
        target.prefixes = cyc_route::PrefixCache::new(PREFIX_CAPACITY, PREFIX_TTL);
        let health = Health::new(self.health.clone());
        (
            TargetRow {
                config,
                sidecar,
                health,
                recorded: None,
            },
            target,
        )
    }

    /// Returns the sidecar of a target.
    pub fn get(&self, target: &TargetId) -> Option<Arc<Sidecar>> {
        let state = self.lock();
        state
            .index
            .get(target)
            .map(|index| state.rows[*index].sidecar.clone())
    }

    /// Returns all sidecars.
    pub fn all(&self) -> Vec<Arc<Sidecar>> {
        self.lock()
            .rows
            .iter()
            .map(|row| row.sidecar.clone())
            .collect()
    }

    /// Returns the number of targets whose sidecar is recorded and answered the last heartbeat.
    pub fn reachable_count(&self) -> usize {
        let answered = |row: &&TargetRow| {
            let missed = row.sidecar.lock().missed;
            row.is_recorded() && missed == 0
        };
        self.lock().rows.iter().filter(answered).count()
    }

    /// Returns the number of targets that are ejected, including those due for a probe.
    pub fn ejected_count(&self, now: Millis) -> usize {
        let ejected = |row: &&TargetRow| row.health.availability(now) != Availability::Available;
        self.lock().rows.iter().filter(ejected).count()
    }

    fn with_target<T>(
        &self,
        id: &TargetId,
        f: impl FnOnce(&mut Target, &mut TargetRow) -> T,
    ) -> Option<T> {
        let mut state = self.lock();
        let index = *state.index.get(id)?;
        let FleetState { rows, targets, .. } = &mut *state;
        Some(f(&mut targets[index], &mut rows[index]))
    }
}

/// Updates the configuration of a known target; its connection, load and health are kept.
fn with_config(
    (mut row, mut target): (TargetRow, Target),
    config: TargetConfig,
) -> (TargetRow, Target) {
    target.services = config.services.clone();
    target.zone = config.zone.clone();
    row.config = config;
    (row, target)
}

/// # Heartbeats and results
impl Fleet {
    /// Returns the load mark to pass to [`Fleet::record_heartbeat`]; call it before the heartbeat
    /// is sent.
    pub fn load_mark(&self, target: &TargetId) -> u64 {
        self.with_target(target, |target, _| target.load.mark())
            .unwrap_or_default()
    }

    /// Applies a heartbeat reply. Returns true if the previous reply was from another incarnation.
    pub fn record_heartbeat(&self, reply: HeartbeatReply, mark: u64, now: Millis) -> bool {
        let id = reply.target.clone();
        let is_new = self.with_target(&id, |target, row| {
            let mut state = row.sidecar.lock();
            let before = state.reply.as_ref().map(|reply| &reply.sidecar);
            let is_new = before.is_some_and(|before| *before != reply.sidecar);
            if is_new {
                target.load.clear();
                target.prefixes.clear();
            }
            target.load.apply_report(&reply.load, mark);
            target.models = reply.load.models.clone();
            target.prefixes.record(&reply.load.prefixes, now);
            target.draining = reply.draining || state.leaving;
            state.missed = 0;
            state.reply = Some(reply);
            is_new
        });
        is_new.unwrap_or_default()
    }

    /// Sets the incarnations that may be sent requests.
    pub fn set_recorded_incarnations(&self, incarnations: &BTreeMap<TargetId, Incarnation>) {
        let mut state = self.lock();
        state.recorded.clone_from(incarnations);
        for row in &mut state.rows {
            row.recorded = incarnations.get(&row.config.target).cloned();
        }
    }

    /// Counts a missed heartbeat, also as a failure of the target that may eject it.
    pub fn record_missed_heartbeat(&self, target: &TargetId, now: Millis) {
        self.with_target(target, |_, row| {
            row.sidecar.lock().missed += 1;
            row.health.record_failure(Failure::ConnectFailed, now);
        });
    }

    /// Sets whether the VM list reports the target's VM as leaving.
    pub fn set_leaving(&self, target: &TargetId, leaving: bool) {
        self.with_target(target, |target, row| {
            let mut state = row.sidecar.lock();
            state.leaving = leaving;
            let draining = state.reply.as_ref().is_some_and(|reply| reply.draining);
            target.draining = draining || leaving;
        });
    }

    /// Records that the target itself made progress, shown by a frame of an answer. Heartbeat
    /// replies do not count, because a sidecar answers them even while its target hangs.
    pub fn record_progress(&self, target: &TargetId, now: Millis) {
        self.with_target(target, |_, row| row.health.record_frame(now));
    }

    /// Records the result of a request at a target.
    pub fn record_result(&self, target: &TargetId, result: Result<(), Failure>, now: Millis) {
        self.with_target(target, |_, row| match result {
            Ok(()) => row.health.record_success(now),
            Err(failure) => row.health.record_failure(failure, now),
        });
    }

    /// Counts a request at a target until the guard is dropped.
    pub fn begin_request(
        &self,
        target: &TargetId,
        prefixes: &[u64],
        now: Millis,
    ) -> InFlightRequest<'_> {
        self.with_target(target, |known, row| {
            known.load.record_start();
            known.prefixes.record(prefixes, now);
            row.health.record_request(now);
        });
        InFlightRequest {
            fleet: self,
            target: target.clone(),
        }
    }
}

/// How targets are ordered for selection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SelectionOrder {
    /// By the estimated time to the first token.
    Estimate,
    /// By rendezvous hashing, with ejected targets last, so that the attempts of a request meet at
    /// one target where possible.
    Rendezvous,
}

/// # Selection
impl Fleet {
    /// Returns the best target that is usable and not in `tried`.
    pub fn choose(
        &self,
        request: &RoutingRequest<'_>,
        order: SelectionOrder,
        tried: &[TargetId],
    ) -> Option<Arc<Sidecar>> {
        let mut state = self.lock();
        state.selections += 1;
        let request = RoutingRequest {
            request_number: state.selections,
            ..request.clone()
        };
        let FleetState { rows, targets, .. } = &mut *state;
        for (row, target) in rows.iter().zip(targets.iter_mut()) {
            target.availability = row.health.availability(request.now);
        }
        let ranked = match order {
            SelectionOrder::Estimate => choose(targets, &request, &self.options),
            SelectionOrder::Rendezvous => {
                let mut all = candidates(
                    targets,
                    request.service,
                    request.model,
                    request.key,
                    usize::MAX,
                );
                all.sort_by_key(|index| targets[*index].availability);
                all
            }
        };
        let ranked_rows = ranked.into_iter().map(|index| &rows[index]);
        ranked_rows
            .filter(|row| !tried.contains(&row.config.target))
            .find(|row| row.is_recorded())
            .map(|row| row.sidecar.clone())
    }

    /// Returns the incarnation that requests to a target must be addressed to; `None` if its
    /// sidecar has not answered a heartbeat or the incarnation that answered last is not recorded.
    pub fn usable_incarnation(&self, target: &TargetId) -> Option<Incarnation> {
        let usable = |row: &TargetRow| row.is_recorded().then(|| row.recorded.clone());
        self.with_target(target, |_, row| usable(row))??
    }

    /// Returns the targets where a retry may find its request, in the order of rendezvous hashing.
    /// Selection may skip the first candidates when they are overloaded or ejected, so this returns
    /// twice as many.
    pub fn candidates(&self, request: &RoutingRequest<'_>) -> Vec<Arc<Sidecar>> {
        let state = self.lock();
        let count = self.options.candidates.saturating_mul(2);
        let found = candidates(
            &state.targets,
            request.service,
            request.model,
            request.key,
            count,
        );
        found
            .into_iter()
            .map(|index| state.rows[index].sidecar.clone())
            .collect()
    }
}
