//! The life of the process: start, service, graceful shutdown.

use std::{fmt, io, sync::Arc};

use cyc_claim::{Committer, commit};
use cyc_member::{Entry as MemberEntry, Role, fence, register};
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
    rpc::Rpc,
    slots,
    target::TargetClient,
};

/// Time between two looks at the runs that have not ended.
const DRAIN_POLL: Millis = Millis::new(20);
/// Time between two rounds of eviction of old answers.
const EVICT_INTERVAL: Millis = Millis::new(1_000);

/// Why the process ended.
#[derive(Debug)]
pub enum Error {
    /// The address could not be used; a predecessor may still run.
    Listen(io::Error),
    /// The registration in the platform is damaged.
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
    // Bound before the registration: that no predecessor runs is what makes this incarnation the
    // only one that gives the target work.
    let listener = bind(settings.rpc_addr).await?;
    let addr = listener.local_addr()?;
    let platform: Arc<dyn Platform> =
        Arc::new(HttpPlatform::new(settings.platform.addr).with_timeout(settings.platform.timeout));
    let member = MemberEntry {
        role: Role::Sidecar,
        vm: settings.process.vm.clone(),
        zone: settings.process.zone.clone(),
        addr,
        target: Some(settings.target_id.clone()),
    };
    let me = register(platform.as_ref(), &member)
        .await
        .map_err(Error::Register)?;
    let sidecar = Arc::new(build(&settings, platform.clone(), me.clone()));
    // Nothing is admitted before the fences are known: an entry that lost its grants long ago may
    // still believe in them.
    sidecar
        .table()
        .learn_fences(&read_fences(platform.as_ref()).await);
    spdlog::info!("started", kv: { sidecar = me.to_string(), addr = addr.to_string() });

    let key = &settings.access.process_key;
    let server = serve(listener, key, Rpc::new(sidecar.clone()).into_rpc())?;
    if settings.target.kind == TargetKind::Engine {
        tokio::spawn(load::follow_engine(sidecar.clone(), settings.target.load));
        let check = match settings.target.checks_fencing {
            true => FenceCheck::Checked,
            false => FenceCheck::Ignored,
        };
        tokio::spawn(orders::run(sidecar.clone(), platform.clone(), check));
    }
    tokio::spawn(slots::follow(sidecar.clone(), settings.limits.clone()));
    let buffer = usize::try_from(settings.limits.answer_buffer.get()).unwrap_or(usize::MAX);
    tokio::spawn(evict(sidecar.clone(), settings.limits.retry_window, buffer));
    println!("listening on {addr}");
    cyc_obs::shutdown().await?;
    shut_down(&sidecar, settings.process.drain_limit).await;
    server.stop().ok();
    Ok(())
}

fn build(settings: &SidecarSettings, platform: Arc<dyn Platform>, me: Incarnation) -> Sidecar {
    let clock = Clock::System;
    let target = settings.target_id.clone();
    let committer = Committer::new(
        platform,
        me.clone(),
        target.clone(),
        clock.clone(),
        commit::Options::default(),
    );
    let limits = &settings.limits;
    let options = |class| pool::Options {
        slots: slots::of_settings(limits, class),
        queue: limits.queue,
        ..pool::Options::default()
    };
    Sidecar::new(Options {
        me,
        target,
        client: TargetClient::new(settings.target.addr),
        claims: Claims::new(committer),
        pools: Pools::new(options, &clock),
        clock,
    })
}

/// Reads the fences, trying again for as long as the platform gives no answer.
async fn read_fences(platform: &dyn Platform) -> Vec<Incarnation> {
    let mut backoff = Backoff::new(Millis::new(50), Millis::new(2_000));
    loop {
        match fence::read(platform).await {
            Ok(fences) => return fences.incarnations(),
            Err(error) => {
                spdlog::warn!("fences_not_read", kv: { error = error.to_string() });
            }
        }
        tokio::time::sleep(backoff.next_wait().duration()).await;
    }
}

async fn evict(sidecar: Arc<Sidecar>, retry_window: Millis, buffer: usize) {
    let mut interval = tokio::time::interval(EVICT_INTERVAL.duration());
    loop {
        interval.tick().await;
        let before = sidecar.clock().now().saturating_sub(retry_window);
        sidecar.table().evict(before, buffer);
    }
}

/// Refuses new work, finishes the runs, and waits until entries have taken all receipts.
async fn shut_down(sidecar: &Sidecar, limit: Millis) {
    let until = sidecar.clock().now() + limit;
    let left = || until.saturating_sub(sidecar.clock().now());
    sidecar.table().drain();
    spdlog::info!("draining", kv: { active = sidecar.table().active() as u64 });
    while sidecar.table().active() > 0 && !left().is_zero() {
        tokio::time::sleep(DRAIN_POLL.duration()).await;
    }
    if tokio::time::timeout(left().duration(), sidecar.claims().flush())
        .await
        .is_err()
    {
        spdlog::error!("claims_not_flushed");
    }
    while !sidecar.table().unreleased().is_empty() && !left().is_zero() {
        tokio::time::sleep(DRAIN_POLL.duration()).await;
    }
    let kept = sidecar.table().unreleased();
    if !kept.is_empty() {
        spdlog::error!("receipts_not_released", kv: { count = kept.len() as u64 });
    }
    spdlog::info!("stopped", kv: { active = sidecar.table().active() as u64 });
}
