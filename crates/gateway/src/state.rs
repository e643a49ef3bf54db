//! State shared by all requests and background tasks of an entry, which runs on a single thread.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    rc::Rc,
};

use cyc_obs::Metrics;
use cyc_types::{ClientAccountId, Clock, Millis, PerSecond, TargetId, VmId};
use tokio::{
    sync::{Notify, watch},
    time::Instant,
};

use crate::{
    call::PromptPart,
    choose,
    config::Configuration,
    control::{BrokenAnswer, LoanFailures, PeerConnections, UnansweredPrompt},
    daemon::Settings,
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

fn log_limit(target: &TargetIncarnation, limit: Option<PerSecond>, source: &str) {
    spdlog::info!("target_limit_changed", kv: {
        target = target.id.as_str(),
        limit = limit.map_or_else(|| "none".into(), |limit| limit.get().to_string()),
        source = source,
    });
}

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
    /// No other entry answered lately, though some run.
    pub is_isolated: Cell<bool>,
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
    /// Consecutive failed reads and writes of the shared records of prepaid tokens.
    pub prepaid_failures: Cell<u32>,
    /// Requests an immediate round of reads and writes of the shared records.
    pub draw_requested: Notify,
    /// Requests an immediate heartbeat of this entry.
    pub heartbeat_requested: Notify,
    /// Requests loans from other entries.
    pub loan_requested: Notify,
    /// Notified when the allocations change.
    pub allocations_changed: Notify,
    /// Retry budget.
    pub retry_budget: RefCell<RetryBudget>,
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
            targets: RefCell::new(TargetList::new()),
            targets_loaded: Cell::new(false),
            fleet: RefCell::new(
                Fleet::new(settings.zone.clone(), choose::Options::default())
                    .with_entry(&settings.vm),
            ),
            peers: RefCell::new(Peers::new(settings.vm.clone(), incarnation)),
            peer_connections: RefCell::default(),
            loan_failures: RefCell::default(),
            knowledge: RefCell::default(),
            news_added: Notify::new(),
            is_isolated: Cell::new(false),
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
            prepaid_failures: Cell::new(0),
            draw_requested: Notify::new(),
            heartbeat_requested: Notify::new(),
            loan_requested: Notify::new(),
            allocations_changed: Notify::new(),
            retry_budget: RefCell::new(RetryBudget::new(settings.retry_budget)),
            stopping: watch::Sender::new(None),
            in_flight: Cell::new(0),
        }
    }

    /// Current time of the monotonic clock.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Returns true if the platform may route callers to this entry.
    pub fn is_ready(&self) -> bool {
        self.config.borrow().is_some() && self.targets_loaded.get() && !self.is_stopping()
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
            Ok(_) | Err(StoreError::HistoryUnavailable) => health.record_success(),
            Err(_) => health.record_failure(self.now()),
        }
        drop(health);
        result
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

    /// Applies what other entries have learnt to the targets: limits, and crashes that this entry
    /// does not know yet.
    pub fn apply_news(&self, news: &News, now: Millis) {
        let mut fleet = self.fleet.borrow_mut();
        for report in &news.limits {
            let said_at = now.saturating_sub(report.age);
            if fleet.learn_limit(&report.target, report.limit, said_at) {
                log_limit(&report.target, Some(report.limit), "entry");
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
        log_limit(&target, limit, "target");
        if limit.is_none() {
            self.knowledge.borrow_mut().limits.remove(&target);
        }
        self.news_added.notify_one();
        self.limit_changes.borrow_mut().push((target, limit));
        self.limit_changed.notify_one();
    }

    /// Records that a prompt with these shared parts was answered.
    pub fn clear_prompt(&self, parts: &[PromptPart]) {
        let mut knowledge = self.knowledge.borrow_mut();
        if knowledge.crashes.clear(parts, self.now()) {
            self.news_added.notify_one();
        }
    }

    /// Passes the changed list of targets to the fleet.
    pub fn refresh_fleet(&self) {
        let targets = self.targets.borrow();
        self.fleet
            .borrow_mut()
            .set_targets(targets.records(), self.now());
    }
}
