//! The entry process: state, controllers, listeners and the planned stop.

use std::{fmt, io, net::SocketAddr, rc::Rc};

use cyc_obs::Metrics;
use cyc_types::{AvailabilityZone, Millis, VmId};
use tokio::{
    net::TcpListener,
    time::{Instant, sleep, timeout, timeout_at},
};

use crate::{
    control,
    port::{Store, Wire},
    repeat, serve,
    state::State,
    stop::{LINGER, Stop},
};

/// Time between looks at the requests in flight during a stop.
const STOP_TICK: Millis = Millis::new(20);
/// The process ends this long before the platform would kill it.
const STOP_MARGIN: Millis = Millis::new(700);
/// How long the return of prepaid tokens may take at the end; part of [`STOP_MARGIN`].
const RETURN_TIMEOUT: Millis = Millis::new(300);

/// What an entry is told at its start.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This VM.
    pub vm: VmId,
    /// Its availability zone.
    pub zone: AvailabilityZone,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the platform asks whether this entry is ready.
    pub ready: SocketAddr,
    /// Where metrics are served.
    pub metrics: Option<SocketAddr>,
    /// Where other entries ask for loans.
    pub peers: Option<SocketAddr>,
    /// The bound for repeats of all entries together.
    pub repeats: repeat::Options,
    /// Time from the signal to stop to the end of the process by force.
    pub grace: Millis,
}

/// Why an entry ended.
#[derive(Debug)]
pub enum Error {
    /// An address cannot be listened on.
    Listen(SocketAddr, io::Error),
    /// The signals cannot be received.
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

/// Runs an entry until it is told to stop. Needs a local task set on one thread. `reload` reads
/// the settings again when the platform says that they have changed.
///
/// # Errors
/// [`Error`], if the entry cannot start.
pub async fn run<W: Wire, S: Store>(
    settings: Settings,
    wire: W,
    store: S,
    reload: impl Fn() -> Result<Settings, String> + 'static,
) -> Result<(), Error> {
    let reloads = cyc_obs::Reloads::new().map_err(Error::Signals)?;
    let start: u64 = rand::random();
    let state = Rc::new(State::new(wire, &settings, start, Metrics::new_registry()));
    let store = Rc::new(store);
    let callers = bind(settings.callers).await?;
    let ready = bind(settings.ready).await?;
    let mut metrics_at = String::new();
    if let Some(addr) = settings.metrics {
        let metrics = bind(addr).await?;
        metrics_at = local(&metrics);
        tokio::task::spawn_local(serve::serve_metrics(state.clone(), metrics));
    }
    if let Some(addr) = settings.peers {
        let peers = bind(addr).await?;
        if let Ok(addr) = peers.local_addr() {
            state.peers.borrow_mut().set_addr(addr);
        }
        tokio::task::spawn_local(serve::serve_peers(state.clone(), peers));
        tokio::task::spawn_local(control::keep_loans(state.clone()));
        tokio::task::spawn_local(control::keep_giving_back(state.clone()));
    }
    spdlog::info!("started", kv: {
        vm = settings.vm.as_str(),
        zone = settings.zone.as_str(),
        callers = local(&callers),
        ready = local(&ready),
        metrics = metrics_at,
        start = start,
        version = env!("CARGO_PKG_VERSION"),
    });
    tokio::task::spawn_local(control::follow_configuration(state.clone(), store.clone()));
    tokio::task::spawn_local(control::follow_targets(state.clone(), store.clone()));
    tokio::task::spawn_local(control::follow_entries(state.clone(), store.clone()));
    tokio::task::spawn_local(control::keep_shares(state.clone(), store.clone()));
    tokio::task::spawn_local(follow_settings(state.clone(), reloads, reload));
    tokio::task::spawn_local(serve::serve_ready(state.clone(), ready));
    tokio::task::spawn_local(serve::serve_callers(state.clone(), callers));
    cyc_obs::shutdown().await.map_err(Error::Signals)?;
    let grace = settings.grace.saturating_sub(STOP_MARGIN);
    stop(&state, grace).await;
    let returned = timeout(
        RETURN_TIMEOUT.duration(),
        control::return_shares(&state, &*store),
    )
    .await;
    // The last refusals are still being written.
    sleep(STOP_TICK.duration()).await;
    spdlog::info!("stopped", kv: {
        in_flight = state.in_flight.get(),
        are_tokens_returned = returned == Ok(true),
    });
    Ok(())
}

/// Takes over the settings that may change while the entry runs; others need a restart.
async fn follow_settings<W: Wire>(
    state: Rc<State<W>>,
    mut reloads: cyc_obs::Reloads,
    reload: impl Fn() -> Result<Settings, String>,
) {
    loop {
        reloads.next().await;
        match reload() {
            Ok(settings) => {
                state.repeats.borrow_mut().set_options(settings.repeats);
                spdlog::info!("settings_read", kv: {
                    repeat_ratio = settings.repeats.ratio,
                    repeat_extra = settings.repeats.extra,
                });
            }
            Err(error) => spdlog::error!("settings_not_read", kv: {
                error = error.as_str(),
            }),
        }
    }
}

async fn bind(addr: SocketAddr) -> Result<TcpListener, Error> {
    let bound = serve::bind(addr).await;
    bound.map_err(|error| Error::Listen(addr, error))
}

/// Returns the address of a listener as text, for the log.
fn local(listener: &TcpListener) -> String {
    let addr = listener.local_addr();
    addr.map_or_else(|error| error.to_string(), |addr| addr.to_string())
}

/// Stops taking new callers, and waits up to `grace` for the requests in flight.
async fn stop<W: Wire>(state: &State<W>, grace: Millis) {
    spdlog::info!("stopping", kv: { in_flight = state.in_flight.get() });
    state.peers.borrow_mut().leave();
    state.sign_wanted.notify_one();
    let (since, until) = (state.now(), Instant::now() + grace.duration());
    let end = since + grace;
    let stop = Stop {
        since,
        end,
        is_over: false,
    };
    state.stopping.send_replace(Some(stop));
    sleep((LINGER + STOP_TICK).duration()).await;
    let idle = async {
        while state.in_flight.get() > 0 {
            sleep(STOP_TICK.duration()).await;
        }
    };
    // What is in flight then ends with the process; the last log line counts it.
    timeout_at(until, idle).await.ok();
    // From here on the process only returns its tokens, which takes calls to the store.
    let is_over = true;
    state.stopping.send_replace(Some(Stop { is_over, ..stop }));
}
