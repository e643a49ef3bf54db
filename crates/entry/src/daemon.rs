//! The process: startup, service and graceful shutdown.

use std::{fmt, io, sync::Arc};

use cyc_budget::{BudgetController, controller, policy};
use cyc_config::CurrentConfig;
use cyc_ledger::{Flusher, flush};
use cyc_member::{Registration, Role, register};
use cyc_obs::Metrics;
use cyc_proto::{bind, peer::PeerServer as _, serve};
use cyc_route::{Pools, health, pool};
use cyc_settings::{EntrySettings, GrantPolicy};
use cyc_store::{HttpPlatform, Platform};
use cyc_types::{Clock, Incarnation, Millis, ProcessKey};
use tokio::{net::TcpListener, sync::watch};

use crate::{
    api,
    app::{App, Options, Parts},
    control::{self, loans::LoanClient},
    fleet::Fleet,
    listen,
    peer::Rpc,
    pending::PendingAttempts,
};

/// Interval between checks for requests that are still in flight.
const DRAIN_POLL_INTERVAL: Millis = Millis::new(20);
/// Time for the load balancer to notice that this entry is not ready, before the port closes.
const BALANCER_GRACE: Millis = Millis::new(200);
/// Time after the last answer during which requests on open connections are still refused with an
/// answer.
const CONNECTION_GRACE: Millis = Millis::new(100);

/// Why the process stopped.
#[derive(Debug)]
pub enum Error {
    /// A listener could not be created or used.
    Listen(io::Error),
    /// The registration in the platform is malformed.
    Register(cyc_member::Error),
    /// The metrics client could not be created.
    Observe(String),
    /// This incarnation was fenced; a restart registers a new one.
    Fenced,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(error) => write!(f, "cannot listen: {error}"),
            Self::Register(error) => write!(f, "cannot register: {error}"),
            Self::Observe(why) => write!(f, "cannot create the metrics client: {why}"),
            Self::Fenced => f.write_str("this incarnation is fenced; start the process again"),
        }
    }
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        Self::Listen(error)
    }
}

/// Runs an entry until SIGTERM or until it is fenced, then shuts it down gracefully.
///
/// # Errors
/// See [`Error`].
pub async fn run(settings: EntrySettings) -> Result<(), Error> {
    let peer_listener = bind(settings.peer_addr).await?;
    let caller_listener = TcpListener::bind(settings.caller_addr).await?;
    let platform: Arc<dyn Platform> =
        Arc::new(HttpPlatform::new(settings.platform.addr).with_timeout(settings.platform.timeout));
    let registration = Registration {
        role: Role::Entry,
        vm: settings.process.vm.clone(),
        zone: settings.process.zone.clone(),
        addr: peer_listener.local_addr()?,
        target: None,
    };
    let incarnation = register(platform.as_ref(), &registration)
        .await
        .map_err(Error::Register)?;
    spdlog::info!("started", kv: {
        entry = incarnation.to_string(),
        callers = caller_listener.local_addr()?.to_string(),
    });

    let key = &settings.access.process_key;
    let app = build(&settings, platform.clone(), incarnation, key)?;
    let server = serve(peer_listener, key, Rpc::new(app.clone()).into_rpc())?;
    tokio::spawn(control::gauges::run(app.clone()));
    tokio::spawn(control::heartbeat::run(app.clone()));
    tokio::spawn(control::contacts::run(app.clone(), platform.clone()));
    tokio::spawn(control::vms::run(app.clone(), platform.clone()));
    let absence_timeout = settings.ledger.vm_absence;
    tokio::spawn(control::reclaim::run(
        app.clone(),
        platform.clone(),
        absence_timeout,
    ));
    let window = settings.ledger.retry_window;
    tokio::spawn(control::merge::run(app.clone(), platform.clone(), window));
    let seeds = settings.peers.seeds.clone();
    let idle_timeout = settings.budget.idle_timeout;
    let loan_client = Arc::new(LoanClient::new(
        app.clone(),
        key.clone(),
        &seeds,
        idle_timeout,
    ));
    tokio::spawn(loan_client.clone().run(platform.clone()));
    tokio::spawn(control::config_watch::run(
        app.clone(),
        platform,
        seeds,
        key.clone(),
    ));

    println!("listening on {}", caller_listener.local_addr()?);
    let (stop, stopped) = watch::channel(false);
    let router = listen::close_while_draining(api::server::router(app.clone()), app.clone());
    let connections = settings.limits.max_connections;
    let serving = tokio::spawn(listen::run(caller_listener, router, connections, stopped));
    let mut fenced = app.subscribe_fenced();
    let is_fenced = tokio::select! {
        signal = cyc_obs::wait_for_shutdown() => signal.map(|()| false)?,
        _ = fenced.wait_for(|fenced| *fenced) => true,
    };
    shut_down(&app, &loan_client, settings.process.drain_limit, stop).await;
    serving.await.map_err(io::Error::other)??;
    server.stop().ok();
    if is_fenced {
        Err(Error::Fenced)
    } else {
        Ok(())
    }
}

fn build(
    settings: &EntrySettings,
    platform: Arc<dyn Platform>,
    incarnation: Incarnation,
    key: &ProcessKey,
) -> Result<Arc<App>, Error> {
    let clock = Clock::System;
    let budget = controller::Options {
        draws: draw_options(settings),
        ..controller::Options::default()
    };
    let (wallet, controller) =
        BudgetController::new(platform.clone(), incarnation.clone(), clock.clone(), budget);
    tokio::spawn(controller.run());
    let flush = flush::Options {
        flush_interval: settings.ledger.flush_interval,
        retry_window: settings.ledger.retry_window,
        ..flush::Options::default()
    };
    let (ledger, flusher, settled) = Flusher::new(
        platform,
        wallet.clone(),
        incarnation.clone(),
        clock.clone(),
        flush,
    );
    tokio::spawn(flusher.run());
    let metrics = Metrics::new(settings.process.metrics_addr)
        .map_err(|error| Error::Observe(error.to_string()))?;
    let app = Arc::new(App::new(Parts {
        incarnation,
        zone: settings.process.zone.clone(),
        clock: clock.clone(),
        options: Options {
            reserve_timeout: settings.budget.reserve_timeout,
            default_deadline: settings.limits.default_deadline,
            max_deadline: settings.limits.max_deadline,
            max_body: settings.limits.max_body,
        },
        pending: PendingAttempts::new(wallet.clone(), ledger.clone()),
        wallet,
        fleet: Fleet::new(
            key.clone(),
            cyc_route::Options::default(),
            health::Options::default(),
        ),
        config: CurrentConfig::new(),
        pools: pools(settings, &clock),
        ledger,
        metrics,
    }));
    tokio::spawn(control::release::run(app.clone(), settled));
    Ok(app)
}

fn draw_options(settings: &EntrySettings) -> policy::Options {
    policy::Options {
        policy: match settings.budget.policy {
            GrantPolicy::Equal => policy::Policy::Equal,
            GrantPolicy::Fixed => policy::Policy::Fixed,
            GrantPolicy::Adaptive => policy::Policy::Adaptive,
        },
        weight: settings.budget.weight,
        idle: settings.budget.idle_timeout,
        ..policy::Options::default()
    }
}

fn pools(settings: &EntrySettings, clock: &Clock) -> Pools {
    use cyc_proto::sidecar::RouteClass;
    let limits = &settings.limits;
    let options = |class| pool::Options {
        slots: match class {
            RouteClass::Status => limits.status_slots,
            RouteClass::Booking => limits.booking_slots,
            RouteClass::Drafting => limits.drafting_slots,
        },
        queue_limit: limits.queue,
        ..pool::Options::default()
    };
    Pools::new(options, clock)
}

/// Refuses new requests, waits for those in flight up to `limit`, then repays loans, flushes the
/// ledger and returns grants.
async fn shut_down(app: &App, loan_client: &LoanClient, limit: Millis, stop: watch::Sender<bool>) {
    let drain_deadline = app.clock.now() + limit;
    app.drain();
    spdlog::info!("draining", kv: { in_flight = app.in_flight() });
    tokio::time::sleep(BALANCER_GRACE.duration()).await;
    while app.in_flight() > 0 && app.clock.now() < drain_deadline {
        tokio::time::sleep(DRAIN_POLL_INTERVAL.duration()).await;
    }
    tokio::time::sleep(CONNECTION_GRACE.duration()).await;
    stop.send_replace(true);
    let time_left = || {
        drain_deadline
            .saturating_sub(app.clock.now())
            .max(Millis::SECOND)
    };
    loan_client.repay_all().await;
    let ledger = app.ledger.close(time_left()).await;
    if ledger.unflushed + ledger.unsettled > 0 {
        spdlog::error!("receipts_not_flushed", kv: {
            unflushed = ledger.unflushed,
            unsettled = ledger.unsettled,
        });
    }
    for (budget, tokens, why) in app.wallet.close(time_left()).await.unreturned {
        spdlog::error!("grant_not_returned", kv: {
            budget = budget.to_string(),
            tokens = tokens.get(),
            reason = why.to_string(),
        });
    }
    spdlog::info!("stopped", kv: { in_flight = app.in_flight() });
}
