//! What all requests and controllers of one entry share.

use std::{
    ops::Deref,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use cadence::Gauged as _;
use cyc_budget::Purse;
use cyc_claim::{BUCKETS, bucket_of};
use cyc_config::InForce;
use cyc_ledger::Ledger;
use cyc_obs::{Metrics, names};
use cyc_route::{Ask as RouteAsk, Pools, candidates::bucket_key};
use cyc_types::{
    AvailabilityZone, ByteSize, Clock, ErrorKind, Incarnation, Millis, Refusal, TargetId,
};
use tokio::sync::{Notify, watch};

use crate::{
    books::Books,
    cx::Cx,
    fleet::{Fleet, Order, Sidecar},
    forward::Job,
    hedge::Hedges,
    observe,
};

/// The limits of an entry.
#[derive(Debug, Clone)]
pub struct Options {
    /// How long a request waits for tokens.
    pub reserve_wait: Millis,
    /// Deadline of a request that names none.
    pub default_deadline: Millis,
    /// The longest deadline.
    pub max_deadline: Millis,
    /// The largest body.
    pub max_body: ByteSize,
}

/// The parts of an entry.
pub struct Parts {
    /// This incarnation.
    pub me: Incarnation,
    /// The availability zone.
    pub zone: AvailabilityZone,
    /// The clock.
    pub clock: Clock,
    /// The limits.
    pub options: Options,
    /// The tokens held.
    pub purse: Purse,
    /// The open attempts.
    pub books: Books,
    /// The sidecars.
    pub fleet: Fleet,
    /// The configuration in force.
    pub config: InForce,
    /// The pools of the route classes.
    pub pools: Pools,
    /// Where receipts and refusals go.
    pub ledger: Ledger,
    /// Counters.
    pub metrics: Metrics,
}

/// What all requests and controllers of one entry share.
pub struct App {
    parts: Parts,
    /// When look-ups go to a second target.
    pub hedges: Hedges,
    attempts: AtomicU64,
    in_flight: AtomicU64,
    /// Requests whose answers are not at their end.
    pub(crate) requests: AtomicU64,
    draining: AtomicBool,
    /// True while the VM list says that the VM of this entry is leaving.
    leaving: AtomicBool,
    /// Notified when sidecars have something to learn before the next heartbeat.
    pub news: Notify,
    /// True once this incarnation was refused as fenced.
    fenced: watch::Sender<bool>,
}

impl Deref for App {
    type Target = Parts;

    fn deref(&self) -> &Parts {
        &self.parts
    }
}

impl App {
    /// Puts the parts together.
    pub fn new(parts: Parts) -> Self {
        Self {
            parts,
            hedges: Hedges::default(),
            attempts: AtomicU64::new(0),
            in_flight: AtomicU64::new(0),
            requests: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            news: Notify::new(),
            fenced: watch::Sender::new(false),
        }
    }

    /// Returns the number of the next attempt.
    pub fn next_attempt(&self) -> u64 {
        self.attempts.fetch_add(1, Ordering::Relaxed)
    }
}

/// # Choice of targets
impl App {
    /// Returns the best target for a job that is not in `tried`.
    pub fn choose(&self, job: &Job, tried: &[TargetId]) -> Option<Arc<Sidecar>> {
        let order = match job.ask.idempotent {
            true => Order::Estimate,
            false => Order::Rendezvous,
        };
        self.fleet.choose(&self.route_ask(job), order, tried)
    }

    /// Returns the targets at which a retry of the job finds it.
    pub fn candidates(&self, job: &Job) -> Vec<Arc<Sidecar>> {
        self.fleet.candidates(&self.route_ask(job))
    }

    fn route_ask<'a>(&'a self, job: &'a Job) -> RouteAsk<'a> {
        let ask = &job.ask;
        let key = match ask.idempotent {
            true => ask.key,
            false => bucket_key(&ask.service, bucket_of(job.request, BUCKETS)),
        };
        RouteAsk {
            service: &ask.service,
            model: ask.model.as_ref(),
            adapter: None,
            key,
            prefixes: &ask.prefixes,
            zone: &self.zone,
            now: self.clock.now(),
            turn: 0,
        }
    }
}

/// # Bills
impl App {
    /// Counts a refusal for the spend report.
    pub fn note_refusal(&self, cx: &Cx, refusal: &Refusal) {
        observe::count_refusal(self, refusal.kind);
        if let Some(caller) = &cx.caller {
            let money_remained = refusal.kind != ErrorKind::BudgetExhausted;
            self.ledger
                .refuse(&caller.budget, refusal.kind, cx.ask.worst, money_remained);
        }
    }
}

/// # Life cycle
impl App {
    /// Stops taking new requests.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Returns true if no new requests are taken.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Notes what the VM list says of the VM of this entry.
    pub fn set_leaving(&self, leaving: bool) {
        if self.leaving.swap(leaving, Ordering::SeqCst) != leaving {
            spdlog::info!("own_vm", kv: { leaving });
        }
    }

    /// Returns true while the VM of this entry is leaving: the balancer should send no new
    /// requests, but those that come are still served.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Notes that this incarnation is fenced: it stops, so that a new one starts with nothing.
    pub fn on_fenced(&self) {
        self.drain();
        self.purse.fenced();
        self.fenced.send_replace(true);
        // The next reading may come too late: the process is about to end.
        self.metrics.gauge(names::FENCED, 1_u64).ok();
    }

    /// Returns a receiver that tells when this incarnation is fenced.
    pub fn fenced(&self) -> watch::Receiver<bool> {
        self.fenced.subscribe()
    }

    /// Counts a request until the result is dropped.
    pub fn begin(self: &Arc<Self>) -> Busy {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        Busy(self.clone())
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::SeqCst)
    }
}

/// A request in flight.
pub struct Busy(Arc<App>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}
