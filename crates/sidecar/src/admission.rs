//! Admission: whether a request runs here, joins a run, or is refused.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use cyc_claim::{ClaimOutcome, State};
use cyc_proto::sidecar::{LoadReport, RouteClass, RunReply, RunRequest};
use cyc_route::{Permit, Pools};
use cyc_types::{Clock, ErrorKind, Incarnation, Millis, Refusal, Revision, TargetId};
use smol_str::SmolStr;
use strum::IntoEnumIterator as _;
use tokio::sync::watch;

use crate::{
    claims::Claims,
    replay::{self, Stored},
    run,
    table::{Admitted, Phase, Run, Table},
    target::TargetClient,
};

/// Weight of every account in the pools of a sidecar; entries weigh accounts by their shares.
const EQUAL_WEIGHT: u32 = 1;

/// What a sidecar is made of.
pub struct Options {
    /// This incarnation.
    pub me: Incarnation,
    /// The target beside it.
    pub target: TargetId,
    /// The client of the target.
    pub client: TargetClient,
    /// The claims of non-idempotent requests.
    pub claims: Claims,
    /// The pools of the route classes.
    pub pools: Pools,
    /// The clock.
    pub clock: Clock,
}

/// The core of a sidecar. All calls of entries end here.
pub struct Sidecar {
    options: Options,
    table: Table,
    load: watch::Sender<LoadReport>,
    load_sequence: AtomicU64,
    services: watch::Sender<(Revision, SmolStr)>,
}

/// # Parts
impl Sidecar {
    /// Creates a sidecar that has seen nothing yet.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            table: Table::default(),
            load: watch::Sender::new(LoadReport::default()),
            load_sequence: AtomicU64::new(0),
            services: watch::Sender::new((Revision::ZERO, SmolStr::default())),
        }
    }

    /// Returns this incarnation.
    pub fn me(&self) -> &Incarnation {
        &self.options.me
    }

    /// Returns the id of the target.
    pub fn target_id(&self) -> &TargetId {
        &self.options.target
    }

    /// Returns the client of the target.
    pub fn target(&self) -> &TargetClient {
        &self.options.client
    }

    /// Returns the claims.
    pub fn claims(&self) -> &Claims {
        &self.options.claims
    }

    /// Returns the pools of the route classes.
    pub fn pools(&self) -> &Pools {
        &self.options.pools
    }

    /// Returns the memory of runs, fences and receipts.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Returns the clock.
    pub fn clock(&self) -> &Clock {
        &self.options.clock
    }
}

/// # Load and configuration
impl Sidecar {
    /// Takes over what the target reports about itself.
    pub fn set_target_load(&self, report: LoadReport) {
        self.load.send_replace(report);
    }

    /// Returns the load report for the next heartbeat.
    pub fn load(&self) -> LoadReport {
        let mut report = self.load.borrow().clone();
        report.sequence = self.load_sequence.fetch_add(1, Ordering::Relaxed);
        for (index, class) in RouteClass::iter().enumerate() {
            let (running, queued) = self.options.pools.of(class).depth();
            report.running[index] = running as u32;
            report.queued[index] = queued as u32;
        }
        report
    }

    /// Puts a configuration in force if it is newer, and returns the revision in force.
    pub fn configure(&self, revision: Revision, services: SmolStr) -> Revision {
        self.services.send_if_modified(|current| {
            let newer = revision > current.0;
            if newer {
                *current = (revision, services);
            }
            newer
        });
        self.revision()
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> Revision {
        self.services.borrow().0
    }

    /// Returns a receiver of the services part in force, as JSON text.
    pub fn services(&self) -> watch::Receiver<(Revision, SmolStr)> {
        self.services.subscribe()
    }
}

/// # Admission
impl Sidecar {
    /// Runs a request or joins its run. Returns when it has started or is refused.
    pub async fn run(self: &Arc<Self>, req: RunRequest) -> RunReply {
        if req.sidecar != *self.me() {
            return refused(ErrorKind::NoTarget, format!("{} has ended", req.sidecar));
        }
        let until = self.clock().now() + req.deadline;
        loop {
            let run = match self.table.admit(&req) {
                Err(refusal) => return RunReply::Refused(refusal),
                Ok(Admitted::New(run)) => return self.start(run).await,
                Ok(Admitted::Found(run)) => run,
            };
            let left = until.saturating_sub(self.clock().now());
            match tokio::time::timeout(left.duration(), settled(&run)).await {
                Err(_) => {
                    // That attempt may still run the request.
                    let detail = "the deadline passed while another attempt waited";
                    return refused(ErrorKind::OutcomeUnknown, detail);
                }
                Ok(Phase::Refused(refusal)) if run.is_attempt(&req) => {
                    return RunReply::Refused(refusal);
                }
                // The other attempt was refused and is gone from the table: this one may run.
                Ok(Phase::Refused(_)) => {}
                // The body of that attempt counts now, and this one is refused for its own.
                Ok(_) if run.req.fingerprint != req.fingerprint => {}
                Ok(_) if run.is_attempt(&req) => return RunReply::Started,
                Ok(_) => return RunReply::Joined,
            }
        }
    }

    async fn start(self: &Arc<Self>, run: Arc<Run>) -> RunReply {
        // A task of its own, so that a caller that goes away cannot leave the run half admitted.
        let this = self.clone();
        let admitting = tokio::spawn(async move { this.admit_new(run).await });
        match admitting.await {
            Ok(reply) => reply,
            Err(error) => refused(ErrorKind::Internal, error.to_string()),
        }
    }

    async fn admit_new(self: Arc<Self>, run: Arc<Run>) -> RunReply {
        let until = self.clock().now() + run.req.deadline;
        let pool = self.options.pools.of(run.req.class);
        let slot = pool
            .acquire(&run.req.account, EQUAL_WEIGHT, run.req.deadline)
            .await;
        let permit = match slot {
            Ok(permit) => permit,
            Err(refusal) => return self.refuse(&run, refusal),
        };
        if !run.req.idempotent {
            let left = until.saturating_sub(self.clock().now());
            match self.claims().claim(&run.req, left).await {
                ClaimOutcome::Claimed => {}
                other => return self.not_claimed(&run, other),
            }
        }
        if let Err(refusal) = self.table.start(&run) {
            if !run.req.idempotent {
                self.claims().not_run(&run.req);
            }
            return self.refuse(&run, refusal);
        }
        tokio::spawn(hold(permit, run::execute(self, run)));
        RunReply::Started
    }

    /// Takes a run that waits out of the table again.
    pub(crate) fn refuse(&self, run: &Run, refusal: Refusal) -> RunReply {
        self.table.refuse(run, refusal.clone());
        RunReply::Refused(refusal)
    }

    /// Answers a request whose claim was not made now.
    fn not_claimed(&self, run: &Run, outcome: ClaimOutcome) -> RunReply {
        match outcome {
            // Billed when the run ended, or kept in the table until it is.
            ClaimOutcome::Mine(State::Done {
                status,
                content_type,
                body,
                ..
            }) => replay::answer(self, run, Stored::new(status, content_type, body)),
            ClaimOutcome::Other {
                by,
                state:
                    State::Done {
                        status,
                        content_type,
                        body,
                        tokens,
                    },
                ..
            } if run.req.replay.as_ref() == Some(&by) => {
                let stored = Stored::new(status, content_type, body).with_bill(tokens);
                replay::answer(self, run, stored)
            }
            // While its claimant lives, the answer and the bill are there.
            ClaimOutcome::Other {
                by,
                target,
                state: State::Claimed | State::Done { .. },
                ..
            } => {
                let refusal = Refusal::new(ErrorKind::OutcomeUnknown, format!("claimed by {by}"));
                self.table.refuse(run, refusal);
                RunReply::ClaimedBy {
                    sidecar: by,
                    target,
                }
            }
            ClaimOutcome::KeyReused => {
                let detail = "the key came with another body";
                self.refuse(run, Refusal::new(ErrorKind::KeyReused, detail))
            }
            // The committer ends a claim in doubt as not run, and this sidecar has not run it.
            ClaimOutcome::Unavailable | ClaimOutcome::Unknown => {
                let detail = "the claim could not be made durable";
                self.refuse(run, Refusal::new(ErrorKind::PlatformUnavailable, detail))
            }
            ClaimOutcome::Claimed | ClaimOutcome::Mine(_) | ClaimOutcome::Other { .. } => {
                let detail = "an earlier run of this key has no known end";
                self.refuse(run, Refusal::new(ErrorKind::OutcomeUnknown, detail))
            }
        }
    }
}

fn refused(kind: ErrorKind, detail: impl Into<SmolStr>) -> RunReply {
    RunReply::Refused(Refusal::new(kind, detail))
}

/// Waits until a run has left the queue, and returns its phase then.
async fn settled(run: &Run) -> Phase {
    let mut phase = run.phase.subscribe();
    match phase.wait_for(|phase| *phase != Phase::Waiting).await {
        Ok(phase) => phase.clone(),
        Err(_) => Phase::Ended(Millis::ZERO),
    }
}

async fn hold(permit: Permit, work: impl Future<Output = ()>) {
    work.await;
    drop(permit);
}
