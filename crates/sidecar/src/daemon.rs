//! The process lifecycle: start-up, serving and graceful shutdown.

use std::{fmt, io, sync::Arc};

use cyc_claim::{Committer, commit};
use cyc_member::{Registration, Role, fence, register};
use cyc_orders::FenceCheck;
use cyc_proto::{bind, serve, sidecar::SidecarServer as _};
use cyc_route::{Pools, pool};
use cyc_settings::{SidecarSettings, TargetKind};
use cyc_store::{HttpPlatform, Platform};
use cyc_types::{Backoff, Clock, Incarnation, Millis};

use crate::{
    admission::{Options, Sidecar},
    claims::Claims,
    load, orders,
    rpc::RpcHandler,
    slots,
    target::TargetClient,
};

/// Interval at which the graceful shutdown checks for active runs and unreleased receipts.
const DRAIN_POLL_INTERVAL: Millis = Millis::new(20);
/// Interval between two evictions of old answers.
const EVICT_INTERVAL: Millis = Millis::new(1_000);

/// The process failed to start or to serve.
#[derive(Debug)]
pub enum Error {
    /// The RPC server could not be started; the previous process may still hold its address.
    Listen(io::Error),
    /// The registration stored in the platform is malformed.
    Register(cyc_member::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(error) => write!(f, "cannot listen: {error}"),
            Self::Register(error) => write!(f, "cannot register: {error}"),
        }
    }
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        Self::Listen(error)
    }
}

/// Runs a sidecar until SIGTERM and its graceful shutdown.
///
/// # Errors
/// See [`Error`].
pub async fn run(settings: SidecarSettings) -> Result<(), Error> {
    // The port is bound before the registration: a successful bind proves that no previous process
    // is running, so this incarnation is the only one that sends requests to the target.
    let listener = bind(settings.rpc_addr).await?;
    let addr = listener.local_addr()?;
    let platform: Arc<dyn Platform> =
        Arc::new(HttpPlatform::new(settings.platform.addr).with_timeout(settings.platform.timeout));
    let registration = Registration {
        role: Role::Sidecar,
        vm: settings.process.vm.clone(),
        zone: settings.process.zone.clone(),
        addr,
        target: Some(settings.target_id.clone()),
    };
    let incarnation = register(platform.as_ref(), &registration)
        .await
        .map_err(Error::Register)?;
    let sidecar = Arc::new(build_sidecar(
        &settings,
        platform.clone(),
        incarnation.clone(),
    ));
    // No request is admitted before the fences are read: a fenced entry may still use grants that
    // were reclaimed long ago.
    sidecar
        .table()
        .add_fences(&read_fences(platform.as_ref()).await);
    spdlog::info!("started", kv: { sidecar = incarnation.to_string(), addr = addr.to_string() });

    let key = &settings.access.process_key;
    let server = serve(listener, key, RpcHandler::new(sidecar.clone()).into_rpc())?;
    if settings.target.kind == TargetKind::Engine {
        tokio::spawn(load::poll_engine(
            sidecar.clone(),
            settings.target.load_interval,
        ));
        let check = match settings.target.checks_fencing {
            true => FenceCheck::Enforced,
            false => FenceCheck::Ignored,
        };
        tokio::spawn(orders::run(sidecar.clone(), platform.clone(), check));
    }
    tokio::spawn(slots::resize_on_change(
        sidecar.clone(),
        settings.limits.clone(),
    ));
    let buffer = usize::try_from(settings.limits.answer_buffer.get()).unwrap_or(usize::MAX);
    tokio::spawn(evict_answers(
        sidecar.clone(),
        settings.limits.retry_window,
        buffer,
    ));
    println!("listening on {addr}");
    cyc_obs::wait_for_shutdown().await?;
    shut_down(&sidecar, settings.process.drain_limit).await;
    server.stop().ok();
    Ok(())
}

fn build_sidecar(
    settings: &SidecarSettings,
    platform: Arc<dyn Platform>,
    incarnation: Incarnation,
) -> Sidecar {
    let clock = Clock::System;
    let target = settings.target_id.clone();
    let committer = Committer::new(
        platform,
        incarnation.clone(),
        target.clone(),
        clock.clone(),
        commit::Options::default(),
    );
    let limits = &settings.limits;
    let options = |class| pool::Options {
        slots: slots::max_slots(limits, class),
        queue_limit: limits.queue,
        ..pool::Options::default()
    };
    Sidecar::new(Options {
        incarnation,
        target,
        client: TargetClient::new(settings.target.addr),
        claims: Claims::new(committer),
        pools: Pools::new(options, &clock),
        clock,
    })
}

/// Reads the fences, retrying until the platform answers.
async fn read_fences(platform: &dyn Platform) -> Vec<Incarnation> {
    let mut backoff = Backoff::new(Millis::new(50), Millis::new(2_000));
    loop {
        match fence::read(platform).await {
            Ok(fences) => return fences.incarnations(),
            Err(error) => {
                spdlog::warn!("fences_read_failed", kv: { error = error.to_string() });
            }
        }
        tokio::time::sleep(backoff.next_delay().duration()).await;
    }
}

async fn evict_answers(sidecar: Arc<Sidecar>, retry_window: Millis, buffer: usize) {
    let mut interval = tokio::time::interval(EVICT_INTERVAL.duration());
    loop {
        interval.tick().await;
        let before = sidecar.clock().now().saturating_sub(retry_window);
        sidecar.table().evict(before, buffer);
    }
}

/// Refuses new requests, then waits until all runs have ended, the ends of their claims are written
/// and entries have released all receipts, at most for `limit`.
async fn shut_down(sidecar: &Sidecar, limit: Millis) {
    let deadline = sidecar.clock().now() + limit;
    let left = || deadline.saturating_sub(sidecar.clock().now());
    sidecar.table().drain();
    spdlog::info!("draining", kv: { active = sidecar.table().active() as u64 });
    while sidecar.table().active() > 0 && !left().is_zero() {
        tokio::time::sleep(DRAIN_POLL_INTERVAL.duration()).await;
    }
    if tokio::time::timeout(left().duration(), sidecar.claims().flush())
        .await
        .is_err()
    {
        spdlog::error!("claim_flush_timed_out");
    }
    while !sidecar.table().unreleased().is_empty() && !left().is_zero() {
        tokio::time::sleep(DRAIN_POLL_INTERVAL.duration()).await;
    }
    let unreleased = sidecar.table().unreleased();
    if !unreleased.is_empty() {
        spdlog::error!("receipts_not_released", kv: { count = unreleased.len() as u64 });
    }
    spdlog::info!("stopped", kv: { active = sidecar.table().active() as u64 });
}
