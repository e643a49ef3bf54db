//! Emits the state of the entry as gauge metrics.

use std::sync::{Arc, atomic::Ordering};

use cadence::Gauged as _;
use cyc_obs::names;
use cyc_proto::sidecar::RouteClass;
use cyc_types::Millis;
use strum::IntoEnumIterator as _;

use crate::app::App;

/// Interval between emissions.
const GAUGE_INTERVAL: Millis = Millis::new(1_000);

/// Emits all gauges periodically until the process ends.
pub async fn run(app: Arc<App>) {
    let mut interval = tokio::time::interval(GAUGE_INTERVAL.duration());
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        emit(&app);
    }
}

/// Emits all gauges once.
pub fn emit(app: &App) {
    // Send errors are ignored; the next emission follows after one interval.
    let gauge = |name: &str, value: u64| {
        app.metrics.gauge(name, value).ok();
    };
    gauge(names::IN_FLIGHT, app.open_requests.load(Ordering::Relaxed));
    for class in RouteClass::iter() {
        let (busy, waiting) = app.pools.of(class).counts();
        gauge(&format!("{}{class}", names::POOL_BUSY), busy as u64);
        gauge(&format!("{}{class}", names::POOL_WAITING), waiting as u64);
    }
    gauge(
        names::RESERVATIONS_WAITING,
        app.wallet.waiting_requests() as u64,
    );
    gauge(names::GRANTS_IDLE, app.wallet.idle_tokens().get());
    let ledger = app.ledger.status();
    gauge(names::RECEIPTS_UNFLUSHED, ledger.unflushed);
    gauge(names::RECEIPTS_UNSETTLED, ledger.unsettled);
    gauge(names::ATTEMPTS_OPEN, app.pending.attempt_count() as u64);
    gauge(
        names::SIDECARS_REACHABLE,
        app.fleet.reachable_count() as u64,
    );
    let ejected = app.fleet.ejected_count(app.clock.now());
    gauge(names::TARGETS_EJECTED, ejected as u64);
    gauge(names::FENCED, u64::from(*app.subscribe_fenced().borrow()));
    gauge(names::CONFIG_REVISION, app.config.revision().get());
}
