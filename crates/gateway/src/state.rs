//! State shared by all requests and background tasks of an entry, which runs on a single thread.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    rc::Rc,
};

use cadence::{CountedExt as _, Gauged as _};
use cyc_intake::Intake;
use cyc_obs::Metrics;
use cyc_signal::Signals;
use cyc_types::{ClientAccountId, Clock, Era, Millis, PerSecond, ServiceId, TargetId, VmId};
use strum::{Display, IntoStaticStr};
use tokio::{
    sync::{Notify, watch},
    time::Instant,
};

use crate::{
    buffer::AnswerMemory,
    call::{PromptPart, RequestDigest},
    choose,
    config::Configuration,
    control::{BrokenAnswer, LoanFailures, PeerConnections, UnansweredPrompt},
    crowd::{ConnectionId, Crowd},
    daemon::Settings,
    evenness::Evenness,
    fleet::Fleet,
    limit::Grantor,
    member::{TargetIncarnation, TargetList},
    news::{Knowledge, News},
    peers::Peers,
    port::{StatedLimit, StoreError},
    prepaid::{Allocations, Role},
    retry_budget::RetryBudget,
    shutdown::Shutdown,
    store_health::StoreHealth,
};

/// An entry whose task of every second has not run for this long was frozen. The task may wait for
/// three other entries that do not answer, 300 ms each.
const FREEZE_TIME: Millis = Millis::new(2_500);

fn log_limit(target: &TargetIncarnation, limit: Option<PerSecond>, source: &str) {
    spdlog::info!("target_limit_changed", kv: {
        target = target.id.as_str(),
        limit = limit.map_or_else(|| "none".into(), |limit| limit.get().to_string()),
        source = source,
    });
}

/// How an entry learnt that a target is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ColdSource {
    /// Its registration says so.
    Registration,
    /// It was restarted under its id.
    Restart,
    /// It returned after an ejection.
    Ejection,
    /// One of its answers says so.
    Answer,
    /// Another entry asked for a grant.
    Entry,
}

/// The source of a statement of a target itself, in log lines.
const SOURCE_TARGET: &str = "target";
/// The source of a statement that another entry passed on, in log lines.
const SOURCE_ENTRY: &str = "entry";

/// The state of one entry.
pub struct State<P> {
    /// VM of this entry.
    pub vm: VmId,
    /// Protocol of callers and targets.
    pub protocol: P,
    /// Time source of the entry.
    pub clock: Clock,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// The active configuration.
    pub config: RefCell<Option<Rc<Configuration>>>,
    /// The list of targets.
    pub targets: RefCell<TargetList>,
    /// The list of targets was read at least once.
    pub targets_loaded: Cell<bool>,
    /// The evacuations were read at least once, or need not be read.
    pub evacuations_loaded: Cell<bool>,
    /// State of the targets.
    pub fleet: RefCell<Fleet>,
    /// The other entries.
    pub peers: RefCell<Peers>,
    /// Connections to the other entries.
    pub peer_connections: RefCell<PeerConnections>,
    /// Recent failures to get loans.
    pub loan_failures: RefCell<LoanFailures>,
    /// What this entry and others have learnt about targets.
    pub knowledge: RefCell<Knowledge>,
    /// Notified when there may be news for other entries.
    pub news_added: Notify,
    /// When a task of this entry last ran that runs about every second; see [`State::note_freeze`].
    pub ticked_at: Cell<Option<Millis>>,
    /// When this entry last went on after it was frozen.
    pub resumed_at: Cell<Millis>,
    /// No other entry answered lately, though some run.
    pub is_isolated: Cell<bool>,
    /// Other entries were asked what they know, once after the start.
    pub is_informed: Cell<bool>,
    /// Grants of requests to the limited targets that this entry looks after.
    pub grantor: RefCell<Grantor>,
    /// Granting entries that did not answer, and until when they are not asked.
    pub unresponsive_grantors: RefCell<HashMap<SocketAddr, Instant>>,
    /// Limits that targets have named or lifted and that the granting entries are to be told.
    pub limit_changes: RefCell<Vec<(TargetIncarnation, Option<PerSecond>)>>,
    /// Notified when a limit changes.
    pub limit_changed: Notify,
    /// Broken answers whose targets may have crashed.
    pub broken_answers: RefCell<Vec<BrokenAnswer>>,
    /// Prompts without any answer, charged until their targets are known to run.
    pub unanswered_prompts: RefCell<Vec<UnansweredPrompt>>,
    /// Notified when a broken answer or an unanswered prompt is added.
    pub answer_broken: Notify,
    /// Prepaid tokens allocated to this entry.
    pub allocations: RefCell<Allocations>,
    /// Accounts that run short, as this entry expects as their owner.
    pub short_accounts: RefCell<BTreeSet<ClientAccountId>>,
    /// Whether the store answers this entry.
    pub store_health: RefCell<StoreHealth>,
    /// The era of the store; `None` before the first answer.
    pub store_era: Cell<Option<Era>>,
    /// Consecutive failed reads and writes of the shared records of prepaid tokens.
    pub prepaid_failures: Cell<u32>,
    /// Requests an immediate round of reads and writes of the shared records.
    pub draw_requested: Notify,
    /// Accounts whose records this entry has written and not told the others about yet.
    pub written_records: RefCell<BTreeSet<ClientAccountId>>,
    /// Notified when a record was written.
    pub record_written: Notify,
    /// Requests an immediate heartbeat of this entry.
    pub heartbeat_requested: Notify,
    /// Requests loans from other entries.
    pub loan_requested: Notify,
    /// Notified when the allocations change.
    pub allocations_changed: Notify,
    /// Overload of this entry by its callers; `None` if the capacity of its link is not known.
    pub intake: RefCell<Option<Intake>>,
    /// Retry budget.
    pub retry_budget: RefCell<RetryBudget>,
    /// Connections of callers.
    pub crowd: RefCell<Crowd>,
    /// Notified to close a connection.
    pub evictions: RefCell<HashMap<ConnectionId, Rc<Notify>>>,
    /// Memory for answers that are held until they are complete.
    pub answer_memory: AnswerMemory,
    /// The shutdown in progress, if any.
    pub stopping: watch::Sender<Option<Shutdown>>,
    /// Requests in flight.
    pub in_flight: Cell<u32>,
}

impl<P> State<P> {
    /// Creates the initial state of an entry.
    pub fn new(protocol: P, settings: &Settings, incarnation: u64, metrics: Metrics) -> Self {
        Self {
            vm: settings.vm.clone(),
            protocol,
            clock: Clock::System,
            metrics,
            config: RefCell::new(None),
            targets: RefCell::new(
                TargetList::new().with_registration_ttl(settings.registration_ttl),
            ),
            targets_loaded: Cell::new(false),
            evacuations_loaded: Cell::new(settings.evacuation.is_none()),
            fleet: RefCell::new(
                Fleet::new(settings.zone.clone(), choose::Options::default())
                    .with_entry(&settings.vm),
            ),
            peers: RefCell::new(Peers::new(settings.vm.clone(), incarnation)),
            peer_connections: RefCell::default(),
            loan_failures: RefCell::default(),
            knowledge: RefCell::default(),
            news_added: Notify::new(),
            ticked_at: Cell::new(None),
            resumed_at: Cell::new(Millis::ZERO),
            is_isolated: Cell::new(false),
            is_informed: Cell::new(settings.peers.is_none()),
            grantor: RefCell::default(),
            unresponsive_grantors: RefCell::default(),
            limit_changes: RefCell::default(),
            limit_changed: Notify::new(),
            broken_answers: RefCell::default(),
            unanswered_prompts: RefCell::default(),
            answer_broken: Notify::new(),
            allocations: RefCell::new(Allocations::new(settings.vm.clone(), incarnation)),
            short_accounts: RefCell::default(),
            store_health: RefCell::default(),
            store_era: Cell::new(None),
            prepaid_failures: Cell::new(0),
            draw_requested: Notify::new(),
            written_records: RefCell::default(),
            record_written: Notify::new(),
            heartbeat_requested: Notify::new(),
            loan_requested: Notify::new(),
            allocations_changed: Notify::new(),
            intake: RefCell::new(settings.link.map(Intake::new)),
            retry_budget: RefCell::new(RetryBudget::new(settings.retry_budget)),
            answer_memory: AnswerMemory::new(settings.memory),
            crowd: RefCell::new(Crowd::new(settings.memory, settings.descriptors)),
            evictions: RefCell::default(),
            stopping: watch::Sender::new(None),
            in_flight: Cell::new(0),
        }
    }

    /// Current time of the monotonic clock.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Finds out whether this entry was frozen, before it acts on what it knew. What other entries
    /// have learnt meanwhile arrives later than the requests of callers.
    pub fn note_freeze(&self) {
        let now = self.now();
        let since = self.ticked_at.get().map(|at| now.saturating_sub(at));
        if since.is_some_and(|since| since >= FREEZE_TIME) {
            self.ticked_at.set(Some(now));
            self.resumed_at.set(now);
            self.fleet.borrow_mut().resume(now);
            if let Some(intake) = self.intake.borrow_mut().as_mut() {
                intake.resume(now);
            }
            spdlog::warn!("process_resumed", kv: {
                frozen_ms = since.map_or(0, |since| since.get()),
            });
        }
    }

    /// Returns true if the platform may route callers to this entry.
    pub fn is_ready(&self) -> bool {
        let has_read = self.targets_loaded.get() && self.evacuations_loaded.get();
        let is_informed = has_read && self.is_informed.get();
        self.config.borrow().is_some()
            && is_informed
            && !self.is_stopping()
            && self.is_open()
            && self.has_room()
    }

    /// Returns true once the shutdown signal has arrived.
    pub fn is_stopping(&self) -> bool {
        self.stopping.borrow().is_some()
    }

    /// Number of running entries, including this one.
    pub fn entries(&self) -> usize {
        self.peers.borrow().running()
    }

    /// Role of this entry for an account.
    pub fn role(&self, account: &ClientAccountId) -> Role {
        match self.peers.borrow().is_owner(account) {
            true => Role::Owner,
            false => Role::Borrower,
        }
    }

    /// Records the outcome of a call to the store, and returns it.
    pub fn record_store_call<T>(&self, result: Result<T, StoreError>) -> Result<T, StoreError> {
        let mut health = self.store_health.borrow_mut();
        match &result {
            Ok(_) | Err(StoreError::HistoryUnavailable) => health.record_success(self.now()),
            Err(_) => health.record_failure(self.now()),
        }
        drop(health);
        result
    }

    /// Takes over the newest era that the store has named; `None` if it has not answered yet.
    pub fn note_era(&self, era: Option<Era>) {
        let Some(era) = era else { return };
        let previous = self.store_era.get();
        if previous.is_some_and(|previous| previous >= era) {
            return;
        }
        self.store_era.set(Some(era));
        self.allocations.borrow_mut().set_era(era, self.now());
        self.metrics
            .gauge(cyc_obs::names::STORE_ERA, era.get())
            .ok();
        let Some(previous) = previous else { return };
        spdlog::warn!("store_restored", kv: { era = era.get(), previous = previous.get() });
        self.metrics.incr(cyc_obs::names::STORE_RESTORES).ok();
        self.targets.borrow_mut().store_restored(self.now());
        self.draw_requested.notify_one();
    }

    /// Merges news of another entry.
    pub fn learn(&self, news: News) {
        if news.is_empty() {
            return;
        }
        let now = self.now();
        self.apply_news(&news, now);
        self.knowledge.borrow_mut().merge(news, now);
        self.news_added.notify_one();
    }

    /// Applies what other entries have learnt to the targets: limits, leaving targets, and crashes that
    /// this entry does not know yet.
    pub fn apply_news(&self, news: &News, now: Millis) {
        let mut fleet = self.fleet.borrow_mut();
        for report in &news.limits {
            let said_at = now.saturating_sub(report.age);
            if fleet.learn_limit(&report.target, report.limit, said_at) {
                log_limit(&report.target, Some(report.limit), SOURCE_ENTRY);
            }
        }
        // Without a start time, a later run could not be told from the one that leaves.
        let leaving = news.leaving.iter();
        for report in leaving.filter(|report| report.target.started_at.is_some()) {
            let signals = Signals {
                is_leaving: true,
                pause: None,
            };
            if fleet.record_signals(&report.target, signals, now).0 {
                self.log_leaving(&report.target, SOURCE_ENTRY);
            }
        }
        let knowledge = self.knowledge.borrow();
        for report in &news.crashes {
            let is_new = !knowledge.crashes.knows(&report.target);
            if is_new && fleet.learn_crash(&report.target, report.age, now) {
                spdlog::warn!("target_ejected", kv: {
                    target = report.target.id.as_str(),
                    reason = "ReportedCrash",
                });
            }
        }
    }

    /// Records what a target said about its limit in the response to a request sent at this time.
    pub fn record_limit(&self, target: &TargetId, stated: StatedLimit, sent_at: Millis) {
        let now = self.now();
        let changed = self
            .fleet
            .borrow_mut()
            .record_limit(target, stated, sent_at, now);
        if let StatedLimit::Rate(limit) = stated {
            let fleet = self.fleet.borrow();
            let known = fleet.get(target).map(|target| target.record.incarnation());
            if let Some(target) = known {
                self.knowledge
                    .borrow_mut()
                    .limits
                    .record(&target, limit, now);
            }
        }
        let Some((target, limit)) = changed else {
            return;
        };
        log_limit(&target, limit, SOURCE_TARGET);
        if limit.is_none() {
            self.knowledge.borrow_mut().limits.remove(&target);
        }
        self.news_added.notify_one();
        self.limit_changes.borrow_mut().push((target, limit));
        self.limit_changed.notify_one();
    }

    /// Records that a target stays cold for at least this long.
    pub fn mark_cold(&self, target: &TargetIncarnation, left: Millis, source: ColdSource) {
        let now = self.now();
        let mut fleet = self.fleet.borrow_mut();
        let known = fleet
            .get(&target.id)
            .map(|known| known.record.incarnation());
        if known.as_ref() != Some(target) {
            return;
        }
        let is_new = fleet.mark_cold(&target.id, left, now);
        // The fleet itself marks a target that was restarted, before this.
        let is_restart = source == ColdSource::Restart && fleet.cold(&target.id, now).is_some();
        drop(fleet);
        if is_new || is_restart {
            self.log_cold(&target.id, source);
        }
    }

    /// Logs that a target has become cold.
    pub fn log_cold(&self, target: &TargetId, source: ColdSource) {
        let left = self.fleet.borrow().cold(target, self.now());
        spdlog::info!("target_cold", kv: {
            target = target.as_str(),
            left_ms = left.map_or(0, |cold| cold.left.get()),
            source = source.to_string(),
        });
        self.metrics.incr(cyc_obs::names::TARGETS_COLD).ok();
    }

    /// Logs and counts how even the load of the targets of a service is.
    pub fn show_evenness(&self, service: &ServiceId, evenness: &Evenness) {
        let percent = (evenness.busiest * 100.0) as u64;
        spdlog::info!("load_evenness", kv: {
            service = service.as_str(),
            busiest_percent = percent,
            report_age_ms = evenness.report_age.get(),
            targets = evenness.targets,
        });
        let name = format!("{}{service}", cyc_obs::names::LOAD_BUSIEST);
        self.metrics.gauge(&name, percent).ok();
        let name = format!("{}{service}", cyc_obs::names::LOAD_REPORT_AGE);
        self.metrics.gauge(&name, evenness.report_age.get()).ok();
    }

    /// Records what a run of a target announced about itself in an answer to this entry.
    pub fn record_signals(&self, target: &TargetIncarnation, signals: Signals) {
        if signals.is_empty() {
            return;
        }
        let now = self.now();
        let mut fleet = self.fleet.borrow_mut();
        let (is_leaving, is_paused) = fleet.record_signals(target, signals, now);
        drop(fleet);
        if is_leaving {
            self.log_leaving(target, SOURCE_TARGET);
            // Without a start time, other entries could not tell a later run from this one.
            if target.started_at.is_some() {
                let mut knowledge = self.knowledge.borrow_mut();
                if knowledge.leaving.record(target, Millis::ZERO, now) {
                    self.news_added.notify_one();
                }
            }
        }
        if let Some(pause) = signals.pause.filter(|pause| !pause.is_zero()) {
            self.metrics.incr(cyc_obs::names::TARGET_PAUSES).ok();
            if is_paused {
                spdlog::info!("target_paused", kv: {
                    target = target.id.as_str(),
                    pause_ms = pause.get(),
                });
            }
        }
    }

    fn log_leaving(&self, target: &TargetIncarnation, source: &str) {
        self.metrics.incr(cyc_obs::names::TARGETS_LEAVING).ok();
        spdlog::info!("target_leaving", kv: { target = target.id.as_str(), source = source });
    }

    /// Forgets the leaving targets that are not registered any more.
    pub fn forget_gone_targets(&self) {
        let fleet = self.fleet.borrow();
        let mut knowledge = self.knowledge.borrow_mut();
        knowledge.leaving.set_registered(|target| {
            let known = fleet.get(&target.id);
            known.is_some_and(|known| known.record.incarnation() == *target)
        });
    }

    /// Records that a request was answered whose prompt, if it has one, has these shared parts.
    pub fn clear_request(&self, parts: &[PromptPart], request: RequestDigest) {
        let mut knowledge = self.knowledge.borrow_mut();
        let now = self.now();
        if knowledge.crashes.clear_request(parts, request, now) {
            self.news_added.notify_one();
        }
    }

    /// Passes the changed list of targets to the fleet.
    pub fn refresh_fleet(&self) {
        let targets = self.targets.borrow();
        self.fleet
            .borrow_mut()
            .set_targets(targets.current_records(), self.now());
    }
}
