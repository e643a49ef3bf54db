//! The state shared by all requests and controllers of one entry.

use std::{
    ops::Deref,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use cadence::Gauged as _;
use cyc_budget::WalletHandle;
use cyc_claim::{BUCKETS, bucket_of};
use cyc_config::CurrentConfig;
use cyc_ledger::Ledger;
use cyc_obs::{Metrics, names};
use cyc_route::{Pools, RoutingRequest, candidates::bucket_key};
use cyc_types::{
    AvailabilityZone, ByteSize, Clock, ErrorKind, Incarnation, Millis, Refusal, TargetId,
};
use tokio::sync::{Notify, watch};

use crate::{
    cx::Cx,
    fleet::{Fleet, SelectionOrder, Sidecar},
    forward::Job,
    hedge::HedgeControl,
    observe,
    pending::PendingAttempts,
};

/// The limits of an entry, from its settings.
#[derive(Debug, Clone)]
pub struct Options {
    /// How long a request may wait for its reservation.
    pub reserve_timeout: Millis,
    /// Deadline of requests that give none.
    pub default_deadline: Millis,
    /// Longest deadline that a caller may give.
    pub max_deadline: Millis,
    /// Largest request body.
    pub max_body: ByteSize,
}

/// The components of an entry.
pub struct Parts {
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// The availability zone of this process.
    pub zone: AvailabilityZone,
    /// The clock.
    pub clock: Clock,
    /// The limits.
    pub options: Options,
    /// The wallet: tokens held by grants, and the reservations on them.
    pub wallet: WalletHandle,
    /// The attempts whose outcome is not known yet.
    pub pending: PendingAttempts,
    /// The sidecars and their targets.
    pub fleet: Fleet,
    /// The current configuration.
    pub config: CurrentConfig,
    /// The concurrency pools of the route classes.
    pub pools: Pools,
    /// Takes receipts, refusals and service-level counts.
    pub ledger: Ledger,
    /// The metrics client.
    pub metrics: Metrics,
}

/// The state shared by all requests and controllers of one entry.
pub struct App {
    parts: Parts,
    /// Decides when calls are sent to a second target.
    pub hedging: HedgeControl,
    attempt_counter: AtomicU64,
    in_flight: AtomicU64,
    /// Requests from the start of the filter chain to the end of the answer.
    pub(crate) open_requests: AtomicU64,
    draining: AtomicBool,
    /// True while the VM list reports this entry's VM as leaving.
    leaving: AtomicBool,
    /// Triggers a round of heartbeats before the next interval, to pass on a new configuration or
    /// leaving VM.
    pub heartbeat_trigger: Notify,
    /// True once this incarnation is known to be fenced.
    fenced: watch::Sender<bool>,
}

impl Deref for App {
    type Target = Parts;

    fn deref(&self) -> &Parts {
        &self.parts
    }
}

impl App {
    /// Creates the shared state.
    pub fn new(parts: Parts) -> Self {
        Self {
            parts,
            hedging: HedgeControl::default(),
            attempt_counter: AtomicU64::new(0),
            in_flight: AtomicU64::new(0),
            open_requests: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            heartbeat_trigger: Notify::new(),
            fenced: watch::Sender::new(false),
        }
    }

    /// Returns a new attempt number.
    pub fn next_attempt_number(&self) -> u64 {
        self.attempt_counter.fetch_add(1, Ordering::Relaxed)
    }
}

/// # Target selection
impl App {
    /// Returns the best usable target for a job that is not in `tried`.
    pub fn choose(&self, job: &Job, tried: &[TargetId]) -> Option<Arc<Sidecar>> {
        let order = match job.spec.idempotent {
            true => SelectionOrder::Estimate,
            false => SelectionOrder::Rendezvous,
        };
        self.fleet.choose(&self.routing_request(job), order, tried)
    }

    /// Returns the targets where a retry may find the job's request.
    pub fn candidates(&self, job: &Job) -> Vec<Arc<Sidecar>> {
        self.fleet.candidates(&self.routing_request(job))
    }

    fn routing_request<'a>(&'a self, job: &'a Job) -> RoutingRequest<'a> {
        let spec = &job.spec;
        let key = match spec.idempotent {
            true => spec.candidate_key,
            false => bucket_key(&spec.service, bucket_of(job.request, BUCKETS)),
        };
        RoutingRequest {
            service: &spec.service,
            model: spec.model.as_ref(),
            adapter: None,
            key,
            prefixes: &spec.prefixes,
            zone: &self.zone,
            now: self.clock.now(),
            request_number: 0,
        }
    }
}

/// # Refusals
impl App {
    /// Counts a refusal in the metrics and, if the caller is known, in the spend report.
    pub fn record_refusal(&self, cx: &Cx, refusal: &Refusal) {
        observe::count_refusal(self, refusal.kind);
        if let Some(caller) = &cx.caller {
            let money_remained = refusal.kind != ErrorKind::BudgetExhausted;
            self.ledger.record_refusal(
                &caller.budget,
                refusal.kind,
                cx.spec.worst_case,
                money_remained,
            );
        }
    }
}

/// # Life cycle
impl App {
    /// Stops accepting new requests.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Returns true if new requests are refused.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Sets whether the VM list reports this entry's VM as leaving.
    pub fn set_leaving(&self, leaving: bool) {
        if self.leaving.swap(leaving, Ordering::SeqCst) != leaving {
            spdlog::info!("own_vm_leaving_changed", kv: { leaving });
        }
    }

    /// Returns true while this entry's VM is leaving: the load balancer should send no new
    /// requests, but requests that arrive are still served.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Handles the fencing of this incarnation: drains, so that the process ends and a new
    /// incarnation starts without state.
    pub fn on_fenced(&self) {
        self.drain();
        self.wallet.fence();
        self.fenced.send_replace(true);
        // Emitted here, because the process may end before the next periodic emission.
        self.metrics.gauge(names::FENCED, 1_u64).ok();
    }

    /// Subscribes to the fencing of this incarnation.
    pub fn subscribe_fenced(&self) -> watch::Receiver<bool> {
        self.fenced.subscribe()
    }

    /// Delays the shutdown until the guard is dropped. A request may hold several guards.
    pub fn begin_request(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlightGuard(self.clone())
    }

    /// Returns the number of guards from [`Self::begin_request`]; zero if no request is in flight.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::SeqCst)
    }
}

/// Delays the shutdown until dropped; see [`App::begin_request`].
pub struct InFlightGuard(Arc<App>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}
