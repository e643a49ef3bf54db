//! The entry process: state, background tasks, listeners and graceful shutdown.

use std::{fmt, io, net::SocketAddr, rc::Rc};

use cyc_evac::Evacuations;
use cyc_intake::LinkRate;
use cyc_obs::Metrics;
use cyc_types::{AvailabilityZone, ByteSize, Millis, VmId};
use tokio::{
    net::TcpListener,
    time::{Instant, sleep, timeout, timeout_at},
};

use crate::{
    control,
    port::{Protocol, Store},
    retry_budget, serve,
    shutdown::{DEREGISTRATION_DELAY, Shutdown},
    state::State,
};

/// Interval between checks for requests in flight during shutdown.
const SHUTDOWN_POLL_INTERVAL: Millis = Millis::new(20);
/// The process ends this long before the platform would kill it.
const SHUTDOWN_MARGIN: Millis = Millis::new(700);
/// Timeout of returning prepaid tokens at the end; part of [`SHUTDOWN_MARGIN`].
const TOKEN_RETURN_TIMEOUT: Millis = Millis::new(300);

/// Settings of an entry at startup.
#[derive(Debug, Clone)]
pub struct Settings {
    /// VM of this entry.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: AvailabilityZone,
    /// Listening address for callers.
    pub callers: SocketAddr,
    /// Listening address for the platform's readiness checks.
    pub ready: SocketAddr,
    /// Listening address for metrics.
    pub metrics: Option<SocketAddr>,
    /// Listening address for calls of other entries.
    pub peers: Option<SocketAddr>,
    /// Retry budget of all entries together.
    pub retry_budget: retry_budget::Options,
    /// Time within which the load leaves an evacuated zone, counted from the store's
    /// acknowledgement; without it evacuations are not read.
    pub evacuation: Option<Millis>,
    /// Capacity of the link of the VM; without it this entry does not notice that its callers overload
    /// it.
    pub link: Option<LinkRate>,
    /// Memory that the process may take, if it is known.
    pub memory: Option<ByteSize>,
    /// Descriptors that the process may have open, if that is known.
    pub descriptors: Option<u64>,
    /// Time after which the registration of a target lapses if it is not renewed.
    pub registration_ttl: Millis,
    /// Time from the shutdown signal until the platform kills the process.
    pub grace: Millis,
}

/// Why an entry could not run.
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

/// Runs an entry until the shutdown signal. Needs a local task set on a single thread. `reload`
/// reads the settings again when the platform signals a change.
///
/// # Errors
/// [`Error`], if the entry cannot start.
pub async fn run<P: Protocol, S: Store>(
    settings: Settings,
    protocol: P,
    store: S,
    reload: impl Fn() -> Result<Settings, String> + 'static,
) -> Result<(), Error> {
    let reloads = cyc_obs::ReloadSignal::new().map_err(Error::Signals)?;
    let incarnation: u64 = rand::random();
    let state = Rc::new(State::new(
        protocol,
        &settings,
        incarnation,
        Metrics::new_aggregating(),
    ));
    let store = Rc::new(store);
    let callers = bind(settings.callers).await?;
    let ready = bind(settings.ready).await?;
    let mut metrics_at = String::new();
    if let Some(addr) = settings.metrics {
        let metrics = bind(addr).await?;
        metrics_at = addr_text(&metrics);
        tokio::task::spawn_local(serve::serve_metrics(state.clone(), metrics));
    }
    if let Some(addr) = settings.peers {
        let peers = bind(addr).await?;
        if let Ok(addr) = peers.local_addr() {
            state.peers.borrow_mut().set_addr(addr);
        }
        tokio::task::spawn_local(serve::serve_peers(state.clone(), peers));
        tokio::task::spawn_local(control::run_loans(state.clone()));
        tokio::task::spawn_local(control::run_token_returns(state.clone()));
        tokio::task::spawn_local(control::learn_holders(state.clone()));
        tokio::task::spawn_local(control::report_holders(state.clone()));
        tokio::task::spawn_local(control::spread_news(state.clone()));
        tokio::task::spawn_local(control::compare_news(state.clone()));
        tokio::task::spawn_local(control::report_limits(state.clone()));
    }
    spdlog::info!("started", kv: {
        vm = settings.vm.as_str(),
        zone = settings.zone.as_str(),
        callers = addr_text(&callers),
        ready = addr_text(&ready),
        metrics = metrics_at,
        incarnation = incarnation,
        version = env!("CARGO_PKG_VERSION"),
    });
    tokio::task::spawn_local(control::watch_configuration(state.clone(), store.clone()));
    tokio::task::spawn_local(control::watch_targets(state.clone(), store.clone()));
    if let Some(limit) = settings.evacuation {
        let mut fleet = state.fleet.borrow_mut();
        fleet.set_evacuations(Evacuations::new(limit));
        drop(fleet);
        tokio::task::spawn_local(control::watch_evacuations(state.clone(), store.clone()));
    }
    tokio::task::spawn_local(control::exchange_heartbeats(state.clone(), store.clone()));
    tokio::task::spawn_local(control::run_prepaid(state.clone(), store.clone()));
    tokio::task::spawn_local(control::check_targets(state.clone()));
    tokio::task::spawn_local(watch_settings(state.clone(), reloads, reload));
    tokio::task::spawn_local(serve::serve_ready(state.clone(), ready));
    tokio::task::spawn_local(serve::serve_callers(state.clone(), callers));
    cyc_obs::wait_for_shutdown().await.map_err(Error::Signals)?;
    let grace = settings.grace.saturating_sub(SHUTDOWN_MARGIN);
    shutdown(&state, grace).await;
    let returned = timeout(
        TOKEN_RETURN_TIMEOUT.duration(),
        control::return_prepaid(&state, &*store),
    )
    .await;
    control::leave_reports(&state).await;
    // The last refusals may still be in transmission.
    sleep(SHUTDOWN_POLL_INTERVAL.duration()).await;
    spdlog::info!("stopped", kv: {
        in_flight = state.in_flight.get(),
        are_tokens_returned = returned == Ok(true),
    });
    Ok(())
}

/// Applies the settings that can change at runtime; others need a restart.
async fn watch_settings<P: Protocol>(
    state: Rc<State<P>>,
    mut reloads: cyc_obs::ReloadSignal,
    reload: impl Fn() -> Result<Settings, String>,
) {
    loop {
        reloads.next().await;
        match reload() {
            Ok(settings) => {
                state
                    .retry_budget
                    .borrow_mut()
                    .set_options(settings.retry_budget);
                spdlog::info!("settings_read", kv: {
                    retry_ratio = settings.retry_budget.ratio,
                    retry_extra = settings.retry_budget.extra,
                });
            }
            Err(error) => spdlog::error!("settings_read_failed", kv: {
                error = error.as_str(),
            }),
        }
    }
}

async fn bind(addr: SocketAddr) -> Result<TcpListener, Error> {
    let bound = serve::bind(addr).await;
    bound.map_err(|error| Error::Listen(addr, error))
}

/// Formats the address of a listener for the log.
fn addr_text(listener: &TcpListener) -> String {
    let addr = listener.local_addr();
    addr.map_or_else(|error| error.to_string(), |addr| addr.to_string())
}

/// Announces the shutdown to the platform and the other entries, and waits up to `grace` for the
/// requests in flight.
async fn shutdown<P: Protocol>(state: &State<P>, grace: Millis) {
    spdlog::info!("stopping", kv: { in_flight = state.in_flight.get() });
    state.peers.borrow_mut().begin_shutdown();
    state.heartbeat_requested.notify_one();
    let (since, until) = (state.now(), Instant::now() + grace.duration());
    let end = since + grace;
    let shutdown = Shutdown {
        since,
        end,
        is_finished: false,
    };
    state.stopping.send_replace(Some(shutdown));
    sleep((DEREGISTRATION_DELAY + SHUTDOWN_POLL_INTERVAL).duration()).await;
    let idle = async {
        while state.in_flight.get() > 0 {
            sleep(SHUTDOWN_POLL_INTERVAL.duration()).await;
        }
    };
    // The remaining requests end with the process; the last log line counts them.
    timeout_at(until, idle).await.ok();
    // From here on the process only returns its tokens, which takes calls to the store.
    let is_finished = true;
    state.stopping.send_replace(Some(Shutdown {
        is_finished,
        ..shutdown
    }));
}
