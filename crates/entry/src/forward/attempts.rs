//! One attempt at one target, and what follows from its outcome.

use std::sync::Arc;

use cyc_budget::Reservation;
use cyc_proto::sidecar::RunRequest;
use cyc_route::Failure;
use cyc_types::{ErrorKind, Incarnation, Millis, Outcome as Ran, Refusal, TargetId};

use super::{Driver, Step};
use crate::{
    attempt::{self, Outcome},
    books::Pending,
    fleet::Sidecar,
};

/// How long a lost answer is asked for before the request goes on elsewhere.
const RESOLVE_WAIT: Millis = Millis::new(2_000);

impl Driver {
    pub(super) async fn attempt(&mut self, sidecar: Arc<Sidecar>) -> Step {
        let Some(incarnation) = self.app.fleet.usable(&sidecar.target) else {
            return Step::Next(Refusal::new(
                ErrorKind::NoTarget,
                "the sidecar is not known yet",
            ));
        };
        let reservation = match self.take_reservation().await {
            Ok(reservation) => reservation,
            Err(refusal) => return Step::Fail(refusal),
        };
        let number = self.app.next_attempt();
        let req = self.run_request(incarnation.clone(), number, &reservation);
        let pending = Pending {
            attempt: number,
            target: sidecar.target.clone(),
            sidecar: incarnation,
            reservation,
            in_doubt: false,
        };
        self.app.books.open(self.job.request, pending);
        let app = self.app.clone();
        let sent = app.clock.now();
        let _in_flight = app
            .fleet
            .begin(&sidecar.target, &self.job.ask.prefixes, sent);
        let resolve = RESOLVE_WAIT.min(self.left());
        let outcome = attempt::send(&sidecar, req, &self.app.clock, resolve).await;
        let step = self.follow(&sidecar, number, outcome).await;
        self.note_health(&sidecar.target, &step, sent);
        step
    }

    fn note_health(&self, target: &TargetId, step: &Step, sent: Millis) {
        let now = self.app.clock.now();
        let result = match step {
            Step::Done => Ok(()),
            Step::Next(refusal) | Step::Fail(refusal) => match refusal.kind {
                ErrorKind::NoTarget => Err(Failure::NotReached),
                ErrorKind::TargetFailed | ErrorKind::AnswerIncomplete => Err(Failure::TargetFailed),
                ErrorKind::OutcomeUnknown | ErrorKind::DeadlineWhileRunning => {
                    Err(Failure::Timeout(sent))
                }
                _ => return,
            },
        };
        self.app.fleet.note(target, result, now);
    }

    /// Acts on what became of an attempt.
    async fn follow(&mut self, sidecar: &Arc<Sidecar>, number: u64, outcome: Outcome) -> Step {
        match outcome {
            Outcome::Started | Outcome::Unbilled => self.relay(sidecar, Some(number)).await,
            Outcome::Joined => {
                self.keep_reservation(number);
                self.relay(sidecar, None).await
            }
            Outcome::NotRun(refusal) => {
                self.keep_reservation(number);
                if refusal.kind == ErrorKind::Fenced {
                    if let Some(refusal) = self.forget_loan() {
                        return Step::Next(refusal);
                    }
                    self.app.on_fenced();
                }
                if may_go_on(refusal.kind) {
                    Step::Next(refusal)
                } else {
                    Step::Fail(refusal)
                }
            }
            Outcome::ClaimedBy(incarnation, target) => {
                self.keep_reservation(number);
                self.answer_of_claimant(sidecar, incarnation, &target).await
            }
            Outcome::Gone => {
                // Its run has ended with it, and with the run all that could still be billed.
                self.keep_reservation(number);
                self.unknown("the sidecar has ended".into())
            }
            Outcome::Unknown(why) => {
                self.app.books.doubt(self.job.request, number);
                self.unknown(why)
            }
        }
    }

    /// The attempt may have run. An idempotent request may run again. For another one the durable
    /// claim decides: a second sidecar runs it only if nobody has claimed it.
    pub(super) fn unknown(&self, why: String) -> Step {
        Step::Next(Refusal::new(ErrorKind::OutcomeUnknown, why))
    }

    /// Gets the answer from the sidecar that claimed the request, or else the stored answer from
    /// the one that knows of the claim.
    async fn answer_of_claimant(
        &mut self,
        sidecar: &Arc<Sidecar>,
        claimant: Incarnation,
        target: &TargetId,
    ) -> Step {
        if let Some(step) = self.join_claimant(&claimant, target).await {
            return step;
        }
        if self.replay.as_ref() == Some(&claimant) {
            let detail = format!("{claimant} claimed the request and cannot be asked");
            return Step::Fail(Refusal::new(ErrorKind::OutcomeUnknown, detail));
        }
        self.replay = Some(claimant);
        Box::pin(self.attempt(sidecar.clone())).await
    }

    /// Reads the answer at the sidecar that claimed the request; `None` if that sidecar has ended
    /// or does not have it.
    async fn join_claimant(&mut self, claimant: &Incarnation, target: &TargetId) -> Option<Step> {
        let sidecar = self.app.fleet.get(target)?;
        if sidecar.incarnation().as_ref() != Some(claimant) {
            return None;
        }
        match self.relay(&sidecar, None).await {
            Step::Next(_) => None,
            step => Some(step),
        }
    }

    async fn take_reservation(&mut self) -> Result<Reservation, Refusal> {
        if let Some(reservation) = self.reservation.take() {
            return Ok(reservation);
        }
        let wait = self.left().min(self.app.options.reserve_wait);
        self.app
            .purse
            .reserve(&self.job.caller.budget, self.job.ask.worst, wait)
            .await
    }

    /// Drops a loan whose lender is fenced; `None` if this entry's own grant was to pay.
    fn forget_loan(&mut self) -> Option<Refusal> {
        let from_peer = |one: &mut Reservation| one.grant.holder != self.app.me;
        let reservation = self.reservation.take_if(from_peer)?;
        let grant = reservation.grant.clone();
        self.app.purse.release(reservation);
        self.app.purse.with_wallet(|wallet| wallet.forget(&grant));
        let detail = format!("{} lent the tokens and is fenced", grant.holder);
        Some(Refusal::new(ErrorKind::BudgetUnreachable, detail))
    }

    /// Takes the reservation of an attempt that does not run back for the next one.
    fn keep_reservation(&mut self, number: u64) {
        if let Some(reservation) = self.app.books.take(self.job.request, number) {
            match self.reservation {
                None => self.reservation = Some(reservation),
                Some(_) => self.app.purse.release(reservation),
            }
        }
    }

    fn run_request(
        &self,
        sidecar: Incarnation,
        attempt: u64,
        reservation: &Reservation,
    ) -> RunRequest {
        let ask = &self.job.ask;
        RunRequest {
            request: self.job.request,
            entry: self.app.me.clone(),
            sidecar,
            attempt,
            account: self.job.caller.account.clone(),
            service: ask.service.clone(),
            class: ask.class,
            idempotent: ask.idempotent,
            fingerprint: ask.fingerprint,
            grant: reservation.grant.clone(),
            reserved: reservation.tokens,
            replay: self.replay.clone(),
            deadline: self.left(),
            work: ask.work.clone(),
        }
    }
}

/// Returns true if another target may take a request that this one refused.
fn may_go_on(kind: ErrorKind) -> bool {
    match kind {
        ErrorKind::Draining
        | ErrorKind::Overloaded
        | ErrorKind::AccountLimited
        | ErrorKind::NoTarget
        | ErrorKind::NotConfigured
        | ErrorKind::Cancelled => true,
        other => other.answer().outcome == Ran::Unknown,
    }
}
