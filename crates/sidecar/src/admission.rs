//! Admission: decides whether a request is run, joins an existing run, or is refused.

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
    replay::{self, StoredAnswer},
    run,
    table::{Admitted, Phase, Run, RunTable},
    target::TargetClient,
};

/// Weight of every account in the pools of a sidecar. Entries weight accounts by their shares, so
/// sidecars do not.
const EQUAL_WEIGHT: u32 = 1;

/// The identity and the components of a sidecar.
pub struct Options {
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// Id of the target that the sidecar serves.
    pub target: TargetId,
    /// HTTP client of the target.
    pub client: TargetClient,
    /// Writer of the claims of non-idempotent requests.
    pub claims: Claims,
    /// Slot pools by route class.
    pub pools: Pools,
    /// Clock for deadlines and receipts.
    pub clock: Clock,
}

/// The core of a sidecar, which handles all calls of entries.
pub struct Sidecar {
    options: Options,
    table: RunTable,
    load: watch::Sender<LoadReport>,
    load_sequence: AtomicU64,
    services: watch::Sender<(Revision, SmolStr)>,
}

/// # Accessors
impl Sidecar {
    /// Creates a sidecar without runs, fences or configuration.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            table: RunTable::default(),
            load: watch::Sender::new(LoadReport::default()),
            load_sequence: AtomicU64::new(0),
            services: watch::Sender::new((Revision::ZERO, SmolStr::default())),
        }
    }

    /// The incarnation of this process.
    pub fn incarnation(&self) -> &Incarnation {
        &self.options.incarnation
    }

    /// Id of the target that the sidecar serves.
    pub fn target_id(&self) -> &TargetId {
        &self.options.target
    }

    /// HTTP client of the target.
    pub fn target(&self) -> &TargetClient {
        &self.options.client
    }

    /// Writer of the claims of non-idempotent requests.
    pub fn claims(&self) -> &Claims {
        &self.options.claims
    }

    /// Slot pools by route class.
    pub fn pools(&self) -> &Pools {
        &self.options.pools
    }

    /// The state of runs, fences and receipts.
    pub fn table(&self) -> &RunTable {
        &self.table
    }

    /// Clock for deadlines and receipts.
    pub fn clock(&self) -> &Clock {
        &self.options.clock
    }
}

/// # Load and configuration
impl Sidecar {
    /// Replaces the load that was last read from the target.
    pub fn set_target_load(&self, report: LoadReport) {
        self.load.send_replace(report);
    }

    /// Builds the load report for the reply to a heartbeat, with a new sequence number.
    pub fn load(&self) -> LoadReport {
        let mut report = self.load.borrow().clone();
        report.sequence = self.load_sequence.fetch_add(1, Ordering::Relaxed);
        for (index, class) in RouteClass::iter().enumerate() {
            let (running, queued) = self.options.pools.of(class).counts();
            report.running[index] = running as u32;
            report.queued[index] = queued as u32;
        }
        report
    }

    /// Applies a configuration if it is newer, and returns the revision that is now in force.
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

    /// Revision of the configuration in force; zero before the first one.
    pub fn revision(&self) -> Revision {
        self.services.borrow().0
    }

    /// Watches the services section of the configuration in force, as JSON text.
    pub fn services(&self) -> watch::Receiver<(Revision, SmolStr)> {
        self.services.subscribe()
    }
}

/// # Admission
impl Sidecar {
    /// Runs a request or joins its existing run. Returns once the run has started or the request is
    /// refused, or when another sidecar has claimed it.
    pub async fn run(self: &Arc<Self>, req: RunRequest) -> RunReply {
        if req.sidecar != *self.incarnation() {
            return refusal_reply(ErrorKind::NoTarget, format!("{} has ended", req.sidecar));
        }
        let deadline = self.clock().now() + req.deadline;
        loop {
            let run = match self.table.admit(&req) {
                Err(refusal) => return RunReply::Refused(refusal),
                Ok(Admitted::New(run)) => return self.start(run).await,
                Ok(Admitted::Existing(run)) => run,
            };
            let left = deadline.saturating_sub(self.clock().now());
            match tokio::time::timeout(left.duration(), wait_until_started_or_refused(&run)).await {
                Err(_) => {
                    // The existing run may still start.
                    let detail = "the deadline passed while another attempt waited";
                    return refusal_reply(ErrorKind::OutcomeUnknown, detail);
                }
                Ok(Phase::Refused(refusal)) if run.is_attempt(&req) => {
                    return RunReply::Refused(refusal);
                }
                // Another attempt's run was refused and removed from the table, so this attempt may
                // run the request.
                Ok(Phase::Refused(_)) => {}
                // The existing run has started, so its body binds the key: the next iteration
                // refuses this attempt.
                Ok(_) if run.req.fingerprint != req.fingerprint => {}
                Ok(_) if run.is_attempt(&req) => return RunReply::Started,
                Ok(_) => return RunReply::Joined,
            }
        }
    }

    async fn start(self: &Arc<Self>, run: Arc<Run>) -> RunReply {
        // A separate task, so that a caller that disconnects cannot leave the run half admitted.
        let this = self.clone();
        let admission = tokio::spawn(async move { this.admit_new(run).await });
        match admission.await {
            Ok(reply) => reply,
            Err(error) => refusal_reply(ErrorKind::Internal, error.to_string()),
        }
    }

    async fn admit_new(self: Arc<Self>, run: Arc<Run>) -> RunReply {
        let deadline = self.clock().now() + run.req.deadline;
        let pool = self.options.pools.of(run.req.class);
        let slot = pool
            .acquire(&run.req.account, EQUAL_WEIGHT, run.req.deadline)
            .await;
        let permit = match slot {
            Ok(permit) => permit,
            Err(refusal) => return self.refuse(&run, refusal),
        };
        if !run.req.idempotent {
            let left = deadline.saturating_sub(self.clock().now());
            match self.claims().claim(&run.req, left).await {
                ClaimOutcome::Claimed => {}
                other => return self.reply_without_claim(&run, other),
            }
        }
        if let Err(refusal) = self.table.start(&run) {
            if !run.req.idempotent {
                self.claims().not_run(&run.req);
            }
            return self.refuse(&run, refusal);
        }
        tokio::spawn(hold_permit(permit, run::execute(self, run)));
        RunReply::Started
    }

    /// Removes a waiting run from the table and returns the refusal as the reply.
    pub(crate) fn refuse(&self, run: &Run, refusal: Refusal) -> RunReply {
        self.table.refuse(run, refusal.clone());
        RunReply::Refused(refusal)
    }

    /// Replies to a request for which the committer granted no new claim.
    fn reply_without_claim(&self, run: &Run, outcome: ClaimOutcome) -> RunReply {
        match outcome {
            // Not billed again: the run was billed when it ended, or its receipt is still in the
            // table.
            ClaimOutcome::ClaimedBySelf(State::Done {
                status,
                content_type,
                body,
                ..
            }) => replay::reply(self, run, StoredAnswer::new(status, content_type, body)),
            ClaimOutcome::ClaimedByOther {
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
                let stored = StoredAnswer::new(status, content_type, body).with_bill(tokens);
                replay::reply(self, run, stored)
            }
            // While the claiming sidecar runs, it holds the answer and the receipt.
            ClaimOutcome::ClaimedByOther {
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
            // The committer later marks an uncertain claim as not run, and this sidecar has not run
            // the request.
            ClaimOutcome::Unavailable | ClaimOutcome::Unknown => {
                let detail = "the claim could not be made durable";
                self.refuse(run, Refusal::new(ErrorKind::PlatformUnavailable, detail))
            }
            ClaimOutcome::Claimed
            | ClaimOutcome::ClaimedBySelf(_)
            | ClaimOutcome::ClaimedByOther { .. } => {
                let detail = "an earlier run of this key has no known end";
                self.refuse(run, Refusal::new(ErrorKind::OutcomeUnknown, detail))
            }
        }
    }
}

fn refusal_reply(kind: ErrorKind, detail: impl Into<SmolStr>) -> RunReply {
    RunReply::Refused(Refusal::new(kind, detail))
}

/// Waits until a run has left [`Phase::Waiting`] and returns the phase that it then has.
async fn wait_until_started_or_refused(run: &Run) -> Phase {
    let mut phase = run.phase.subscribe();
    match phase.wait_for(|phase| *phase != Phase::Waiting).await {
        Ok(phase) => phase.clone(),
        Err(_) => Phase::Ended(Millis::ZERO),
    }
}

async fn hold_permit(permit: Permit, work: impl Future<Output = ()>) {
    work.await;
    drop(permit);
}
