//! The relay process: listener, watches on demand, heartbeats of its entries, and shutdown.

use std::{
    cell::{Cell, RefCell},
    fmt, io,
    net::SocketAddr,
    rc::Rc,
};

use cadence::{CountedExt as _, Gauged as _};
use cyc_gateway::{
    peers::HEARTBEAT_INTERVAL,
    port::{Freshness, Store, StoreError},
    serve,
};
use cyc_obs::Metrics;
use cyc_types::{Backoff, Clock, Era, Millis, Version, VmId};
use tokio::{
    net::TcpListener,
    sync::{Mutex, Notify},
    task::JoinSet,
    time::{sleep, timeout},
};

use crate::{
    feed::{ConfigFeed, EvacuationFeed, ListChange, ListFeed, TargetFeed, watch_heard_at},
    handle::handle_request,
    roster::Roster,
};

/// Wait of a watch on the store. The connection may be lost without an error, which is noticed only
/// after it, and entries must not miss a change for longer than [`crate::feed::STALE_AFTER`].
const WATCH_WAIT: Millis = Millis::new(1_000);
/// Changes within this time are read with one call, since each call to the store is billed.
const COALESCE_WINDOW: Millis = Millis::new(100);
/// A feed that no entry has asked for during this time is stopped.
const IDLE_AFTER: Millis = Millis::new(10_000);
/// Delay until the heartbeat of a new entry is written, so that entries that start together share
/// one write.
const NEW_ENTRY_DELAY: Millis = Millis::new(100);
/// First delay after a failed call to the store.
const RETRY_MIN: Millis = Millis::new(50);
/// Maximum delay after failed calls to the store.
const RETRY_MAX: Millis = Millis::new(400);
/// Heartbeats that were read longer ago are read again for an entry that asks.
const MAX_HEARTBEAT_AGE: Millis = Millis::new(5_000);
/// The same for an entry that asks for the newest ones: entries that start together share a read.
const MAX_NEWEST_HEARTBEAT_AGE: Millis = Millis::new(300);
/// Time that calls in flight have to end at shutdown.
const SHUTDOWN_DELAY: Millis = Millis::new(300);
/// Timeout of the last write at shutdown.
const LAST_WRITE_TIMEOUT: Millis = Millis::new(300);

/// Settings of a relay at startup.
#[derive(Debug, Clone)]
pub struct Settings {
    /// VM of the relay.
    pub vm: VmId,
    /// Listening address for entries.
    pub entries: SocketAddr,
    /// Listening address for metrics.
    pub metrics: Option<SocketAddr>,
}

/// Why a relay could not run.
#[derive(Debug)]
pub enum Error {
    /// Listening on an address failed.
    Listen(SocketAddr, io::Error),
    /// Signal handlers could not be installed.
    Signals(io::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(addr, error) => write!(f, "cannot listen on {addr}: {error}"),
            Self::Signals(error) => write!(f, "cannot receive signals: {error}"),
        }
    }
}

impl std::error::Error for Error {}

/// Whether entries use a feed.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    asked_at: Cell<Option<Millis>>,
    asked: Notify,
}

impl Demand {
    /// Records that an entry asked for the feed.
    pub(crate) fn record(&self, now: Millis) {
        self.asked_at.set(Some(now));
        self.asked.notify_one();
    }

    fn is_recent(&self, now: Millis) -> bool {
        let asked_at = self.asked_at.get();
        asked_at.is_some_and(|at| now.saturating_sub(at) <= IDLE_AFTER)
    }
}

/// State of the relay.
pub(crate) struct Relay<S> {
    pub(crate) store: S,
    pub(crate) clock: Clock,
    pub(crate) metrics: Metrics,
    vm: VmId,
    /// The era of the store; `None` before the first answer.
    era: Cell<Option<Era>>,
    pub(crate) config: RefCell<ConfigFeed>,
    pub(crate) config_demand: Demand,
    pub(crate) targets: RefCell<TargetFeed>,
    pub(crate) targets_demand: Demand,
    pub(crate) evacuations: RefCell<EvacuationFeed>,
    /// Without an entry that asks, no call is made for evacuations.
    pub(crate) evacuations_demand: Demand,
    /// Notified when a feed has new data or has to tell that it is outdated.
    pub(crate) feeds_changed: Notify,
    pub(crate) roster: RefCell<Roster>,
    /// Notified when an entry's heartbeat should be written soon.
    pub(crate) entry_joined: Notify,
    /// When the heartbeats of the store were last read.
    heartbeats_read_at: Cell<Option<Millis>>,
    /// Held while the heartbeats are read, so that entries that start together share one read.
    reading_heartbeats: Mutex<()>,
    pub(crate) is_stopping: Cell<bool>,
}

/// Runs a relay until the shutdown signal. Needs a local task set on a single thread.
///
/// # Errors
/// [`Error`], if the relay cannot start.
pub async fn run<S: Store>(settings: Settings, store: S) -> Result<(), Error> {
    // Other settings than at startup need a restart; the signal must not end the process.
    let _reloads = cyc_obs::ReloadSignal::new().map_err(Error::Signals)?;
    let listener = bind(settings.entries).await?;
    let metrics = Metrics::new_aggregating();
    if let Some(addr) = settings.metrics {
        let (listener, metrics) = (bind(addr).await?, metrics.clone());
        tokio::task::spawn_local(serve::serve_text(listener, move || metrics.render()));
    }
    let addr = listener.local_addr().unwrap_or(settings.entries);
    spdlog::info!("started", kv: {
        vm = settings.vm.as_str(),
        entries = addr.to_string(),
        version = env!("CARGO_PKG_VERSION"),
    });
    let shutdown = cyc_obs::wait_for_shutdown();
    let result = serve_entries(settings.vm, listener, metrics, store, shutdown).await;
    result.map_err(Error::Signals)?;
    spdlog::info!("stopped");
    Ok(())
}

async fn bind(addr: SocketAddr) -> Result<TcpListener, Error> {
    let listener = serve::bind(addr).await;
    listener.map_err(|error| Error::Listen(addr, error))
}

/// Serves entries until `shutdown` is complete, and returns its result. Needs a local task set on a
/// single thread.
pub async fn serve_entries<S: Store, T>(
    vm: VmId,
    listener: TcpListener,
    metrics: Metrics,
    store: S,
    shutdown: impl Future<Output = T>,
) -> T {
    let relay = Rc::new(Relay {
        store,
        clock: Clock::System,
        metrics,
        vm,
        era: Cell::new(None),
        config: RefCell::default(),
        config_demand: Demand::default(),
        targets: RefCell::default(),
        targets_demand: Demand::default(),
        evacuations: RefCell::default(),
        evacuations_demand: Demand::default(),
        feeds_changed: Notify::new(),
        roster: RefCell::default(),
        entry_joined: Notify::new(),
        heartbeats_read_at: Cell::new(None),
        reading_heartbeats: Mutex::new(()),
        is_stopping: Cell::new(false),
    });
    let mut tasks = JoinSet::new();
    tasks.spawn_local(run_config_feed(relay.clone()));
    tasks.spawn_local(run_target_feed(relay.clone()));
    tasks.spawn_local(run_evacuation_feed(relay.clone()));
    tasks.spawn_local(write_heartbeats(relay.clone()));
    let handler = relay.clone();
    tasks.spawn_local(serve::serve_plain(listener, async move |req| {
        handle_request(&handler, req).await
    }));
    let result = shutdown.await;
    spdlog::info!("stopping");
    relay.is_stopping.set(true);
    relay.feeds_changed.notify_waiters();
    sleep(SHUTDOWN_DELAY.duration()).await;
    if !relay.roster.borrow().is_empty() {
        let write = relay.store.write_heartbeats(&relay.vm, &[], true);
        timeout(LAST_WRITE_TIMEOUT.duration(), write).await.ok();
    }
    result
}

impl<S: Store> Relay<S> {
    /// Current time of the monotonic clock.
    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Takes over the newest era that the store has named.
    fn note_era(&self) {
        let Some(era) = self.store.era() else { return };
        let previous = self.era.get();
        if previous.is_some_and(|previous| previous >= era) {
            return;
        }
        self.era.set(Some(era));
        self.metrics
            .gauge(cyc_obs::names::STORE_ERA, era.get())
            .ok();
        let Some(previous) = previous else { return };
        spdlog::warn!("store_restored", kv: { era = era.get(), previous = previous.get() });
        self.metrics.incr(cyc_obs::names::STORE_RESTORES).ok();
    }

    /// Counts a call to the store or of an entry.
    pub(crate) fn count(&self, metric: &str, kind: &str) {
        self.metrics.incr(&format!("{metric}{kind}")).ok();
    }

    /// Reads the heartbeats of the store unless they were read after `since`.
    pub(crate) async fn refresh_heartbeats(
        &self,
        freshness: Freshness,
        since: Millis,
    ) -> Result<(), StoreError> {
        let _reading = self.reading_heartbeats.lock().await;
        let is_recent = self.heartbeats_read_at.get().is_some_and(|at| at >= since);
        if is_recent {
            return Ok(());
        }
        let asked_at = self.now();
        self.count(cyc_obs::names::STORE_CALLS, "heartbeats");
        let heartbeats = self.store.heartbeats(freshness).await?;
        self.roster.borrow_mut().set_stored(heartbeats);
        self.heartbeats_read_at.set(Some(asked_at));
        Ok(())
    }

    /// Time from which on heartbeats must have been read to answer an entry.
    pub(crate) fn required_heartbeat_time(&self, freshness: Freshness) -> Millis {
        let max_age = match freshness {
            Freshness::Newest => MAX_NEWEST_HEARTBEAT_AGE,
            Freshness::SecondsOld => MAX_HEARTBEAT_AGE,
        };
        self.now().saturating_sub(max_age)
    }
}

/// Pauses after a failed read of a feed, and logs it.
async fn pause(backoff: &mut Backoff, feed: &str, error: &StoreError) {
    let wait = backoff.next_delay();
    spdlog::warn!("feed_read_failed", kv: {
        feed = feed,
        error = error.to_string(),
        retry_in_ms = wait.get(),
    });
    sleep(wait.duration()).await;
}

/// Keeps the newest configuration while entries ask for it; never returns.
async fn run_config_feed<S: Store>(relay: Rc<Relay<S>>) {
    let mut backoff = Backoff::new(RETRY_MIN, RETRY_MAX);
    // Grows until a watch succeeds, so that changes that are always too many cause no busy loop.
    let mut relists = Backoff::new(RETRY_MIN, RETRY_MAX);
    loop {
        if !relay.config_demand.is_recent(relay.now()) {
            relay.config.borrow_mut().clear();
            relay.config_demand.asked.notified().await;
            continue;
        }
        let since: Option<Version> = relay.config.borrow().as_of();
        relay.count(cyc_obs::names::STORE_CALLS, "config");
        let sent_at = relay.now();
        let read = match since {
            None => relay.store.configuration().await,
            Some(since) => relay.store.next_configuration(since, WATCH_WAIT).await,
        };
        relay.note_era();
        match read {
            Ok((config, as_of)) => {
                backoff.reset();
                let now = match since {
                    None => relay.now(),
                    Some(_) => {
                        relists.reset();
                        watch_heard_at(sent_at, WATCH_WAIT, relay.now())
                    }
                };
                relay.config.borrow_mut().record(config, as_of, now);
                relay.feeds_changed.notify_waiters();
            }
            Err(error @ StoreError::HistoryUnavailable) => {
                relay.config.borrow_mut().restart();
                pause(&mut relists, "config", &error).await;
            }
            Err(error) => pause(&mut backoff, "config", &error).await,
        }
    }
}

/// Keeps the list of targets while entries ask for it; never returns.
async fn run_target_feed<S: Store>(relay: Rc<Relay<S>>) {
    let mut backoff = Backoff::new(RETRY_MIN, RETRY_MAX);
    // Grows until a watch succeeds, so that changes that are always too many cause no busy loop.
    let mut relists = Backoff::new(RETRY_MIN, RETRY_MAX);
    loop {
        if !relay.targets_demand.is_recent(relay.now()) {
            relay.targets.borrow_mut().clear();
            relay.targets_demand.asked.notified().await;
            continue;
        }
        let since: Option<Version> = relay.targets.borrow().as_of();
        relay.count(cyc_obs::names::STORE_CALLS, "targets");
        let sent_at = relay.now();
        let read = match since {
            None => relay.store.targets().await,
            Some(since) => relay.store.next_targets(since, WATCH_WAIT).await,
        };
        relay.note_era();
        match read {
            Ok((changes, as_of)) => {
                backoff.reset();
                let now = match since {
                    None => relay.now(),
                    Some(_) => {
                        relists.reset();
                        watch_heard_at(sent_at, WATCH_WAIT, relay.now())
                    }
                };
                let has_changes = !changes.is_empty();
                record_list(&relay, &relay.targets, since, changes, as_of, now);
                if has_changes {
                    sleep(COALESCE_WINDOW.duration()).await;
                }
            }
            Err(error @ StoreError::HistoryUnavailable) => {
                relay.targets.borrow_mut().clear();
                pause(&mut relists, "targets", &error).await;
            }
            Err(error) => pause(&mut backoff, "targets", &error).await,
        }
    }
}

/// Keeps the requested evacuations while entries ask for them; never returns.
async fn run_evacuation_feed<S: Store>(relay: Rc<Relay<S>>) {
    let mut backoff = Backoff::new(RETRY_MIN, RETRY_MAX);
    // Grows until a watch succeeds, so that changes that are always too many cause no busy loop.
    let mut relists = Backoff::new(RETRY_MIN, RETRY_MAX);
    loop {
        if !relay.evacuations_demand.is_recent(relay.now()) {
            relay.evacuations.borrow_mut().clear();
            relay.evacuations_demand.asked.notified().await;
            continue;
        }
        let since: Option<Version> = relay.evacuations.borrow().as_of();
        relay.count(cyc_obs::names::STORE_CALLS, "evacuations");
        let sent_at = relay.now();
        let read = match since {
            None => relay.store.evacuations().await,
            Some(since) => relay.store.next_evacuations(since, WATCH_WAIT).await,
        };
        relay.note_era();
        match read {
            Ok((changes, as_of)) => {
                backoff.reset();
                let now = match since {
                    None => relay.now(),
                    Some(_) => {
                        relists.reset();
                        watch_heard_at(sent_at, WATCH_WAIT, relay.now())
                    }
                };
                record_list(&relay, &relay.evacuations, since, changes, as_of, now);
            }
            Err(error @ StoreError::HistoryUnavailable) => {
                relay.evacuations.borrow_mut().clear();
                pause(&mut relists, "evacuations", &error).await;
            }
            Err(error) => pause(&mut backoff, "evacuations", &error).await,
        }
    }
}

/// Records a read of a whole list, or of its changes after `since`, which is news as of `now`.
fn record_list<S, C: ListChange>(
    relay: &Relay<S>,
    feed: &RefCell<ListFeed<C>>,
    since: Option<Version>,
    changes: Vec<C>,
    as_of: Version,
    now: Millis,
) {
    match since {
        None => feed.borrow_mut().replace(changes, as_of, now),
        Some(_) => feed.borrow_mut().extend(changes, as_of, now),
    }
    relay.feeds_changed.notify_waiters();
}

/// Writes the heartbeats of the relay's entries and reads those of the others; never returns.
async fn write_heartbeats<S: Store>(relay: Rc<Relay<S>>) {
    let mut is_known = false;
    let mut written = 0;
    loop {
        let joined = timeout(HEARTBEAT_INTERVAL.duration(), relay.entry_joined.notified()).await;
        if joined.is_ok() {
            sleep(NEW_ENTRY_DELAY.duration()).await;
        }
        let members = relay.roster.borrow_mut().members(relay.now());
        if members.is_empty() && written == 0 {
            continue;
        }
        if members.len() != written {
            spdlog::info!("entries_changed", kv: { entries = members.len(), previous = written });
        }
        relay.count(cyc_obs::names::STORE_CALLS, "write_heartbeats");
        let write = relay
            .store
            .write_heartbeats(&relay.vm, &members, is_known)
            .await;
        let read = match write {
            Ok(()) => {
                is_known = true;
                written = members.len();
                let now = relay.now();
                relay.refresh_heartbeats(Freshness::SecondsOld, now).await
            }
            Err(error) => Err(error),
        };
        if let Err(error) = read {
            spdlog::warn!("heartbeats_failed", kv: { error = error.to_string() });
        }
    }
}
