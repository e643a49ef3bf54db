//! Runs one attempt at one target and decides how the request continues.

use std::sync::Arc;

use cyc_budget::Reservation;
use cyc_proto::sidecar::RunRequest;
use cyc_route::Failure;
use cyc_types::{ErrorKind, Incarnation, Millis, Outcome as RunOutcome, Refusal, TargetId};

use super::{AttemptResult, ForwardTask};
use crate::{
    attempt::{self, Outcome},
    fleet::Sidecar,
    pending::PendingAttempt,
};

/// How long to query the outcome of an attempt whose reply was lost before trying another target.
const RESOLVE_LIMIT: Millis = Millis::new(2_000);

impl ForwardTask {
    pub(super) async fn attempt(&mut self, sidecar: Arc<Sidecar>) -> AttemptResult {
        let Some(incarnation) = self.app.fleet.usable_incarnation(&sidecar.target) else {
            return AttemptResult::Retry(Refusal::new(
                ErrorKind::NoTarget,
                "the sidecar is not known yet",
            ));
        };
        let reservation = match self.take_reservation().await {
            Ok(reservation) => reservation,
            Err(refusal) => return AttemptResult::Fail(refusal),
        };
        let number = self.app.next_attempt_number();
        let req = self.run_request(incarnation.clone(), number, &reservation);
        let pending = PendingAttempt {
            attempt: number,
            target: sidecar.target.clone(),
            sidecar: incarnation,
            reservation,
            in_doubt: false,
        };
        self.app.pending.insert(self.job.request, pending);
        let app = self.app.clone();
        let sent_at = app.clock.now();
        let _in_flight = app
            .fleet
            .begin_request(&sidecar.target, &self.job.spec.prefixes, sent_at);
        let resolve_limit = RESOLVE_LIMIT.min(self.time_left());
        let outcome = attempt::send(&sidecar, req, &self.app.clock, resolve_limit).await;
        let result = self.handle_outcome(&sidecar, number, outcome).await;
        self.record_health(&sidecar.target, &result, sent_at);
        result
    }

    fn record_health(&self, target: &TargetId, result: &AttemptResult, sent_at: Millis) {
        let now = self.app.clock.now();
        let outcome = match result {
            AttemptResult::Done => Ok(()),
            AttemptResult::Retry(refusal) | AttemptResult::Fail(refusal) => match refusal.kind {
                ErrorKind::NoTarget => Err(Failure::ConnectFailed),
                ErrorKind::TargetFailed | ErrorKind::AnswerIncomplete => Err(Failure::TargetFailed),
                ErrorKind::OutcomeUnknown | ErrorKind::DeadlineWhileRunning => {
                    Err(Failure::Timeout(sent_at))
                }
                _ => return,
            },
        };
        self.app.fleet.record_result(target, outcome, now);
    }

    /// Decides how the request continues after the outcome of an attempt.
    async fn handle_outcome(
        &mut self,
        sidecar: &Arc<Sidecar>,
        number: u64,
        outcome: Outcome,
    ) -> AttemptResult {
        match outcome {
            Outcome::Started | Outcome::Unbilled => self.relay(sidecar, Some(number)).await,
            Outcome::Joined => {
                self.recover_reservation(number);
                self.relay(sidecar, None).await
            }
            Outcome::NotRun(refusal) => {
                self.recover_reservation(number);
                if refusal.kind == ErrorKind::Fenced {
                    if let Some(refusal) = self.drop_fenced_loan() {
                        return AttemptResult::Retry(refusal);
                    }
                    self.app.on_fenced();
                }
                if may_try_next_target(refusal.kind) {
                    AttemptResult::Retry(refusal)
                } else {
                    AttemptResult::Fail(refusal)
                }
            }
            Outcome::ClaimedBy(incarnation, target) => {
                self.recover_reservation(number);
                self.answer_from_claimant(sidecar, incarnation, &target)
                    .await
            }
            Outcome::SidecarEnded => {
                // The run ended with that incarnation, so that no receipt for it can follow.
                self.recover_reservation(number);
                self.unknown_outcome("the sidecar has ended".into())
            }
            Outcome::Unknown(why) => {
                self.app.pending.mark_in_doubt(self.job.request, number);
                self.unknown_outcome(why)
            }
        }
    }

    /// Lets another target be tried after an attempt that may have run. An idempotent request may
    /// run again; any other is protected by its durable claim, so that a second sidecar runs it
    /// only if it is unclaimed.
    pub(super) fn unknown_outcome(&self, why: String) -> AttemptResult {
        AttemptResult::Retry(Refusal::new(ErrorKind::OutcomeUnknown, why))
    }

    /// Gets the answer from the sidecar that claimed the request; if that fails, asks the sidecar
    /// that reported the claim to replay the stored answer.
    async fn answer_from_claimant(
        &mut self,
        sidecar: &Arc<Sidecar>,
        claimant: Incarnation,
        target: &TargetId,
    ) -> AttemptResult {
        if let Some(result) = self.join_claimant(&claimant, target).await {
            return result;
        }
        if self.replay.as_ref() == Some(&claimant) {
            let detail = format!("{claimant} claimed the request and cannot be asked");
            return AttemptResult::Fail(Refusal::new(ErrorKind::OutcomeUnknown, detail));
        }
        self.replay = Some(claimant);
        Box::pin(self.attempt(sidecar.clone())).await
    }

    /// Relays the answer from the sidecar that claimed the request; `None` if that incarnation has
    /// ended or does not have the answer.
    async fn join_claimant(
        &mut self,
        claimant: &Incarnation,
        target: &TargetId,
    ) -> Option<AttemptResult> {
        let sidecar = self.app.fleet.get(target)?;
        if sidecar.incarnation().as_ref() != Some(claimant) {
            return None;
        }
        match self.relay(&sidecar, None).await {
            AttemptResult::Retry(_) => None,
            result => Some(result),
        }
    }

    async fn take_reservation(&mut self) -> Result<Reservation, Refusal> {
        if let Some(reservation) = self.reservation.take() {
            return Ok(reservation);
        }
        let timeout = self.time_left().min(self.app.options.reserve_timeout);
        self.app
            .wallet
            .reserve(&self.job.caller.budget, self.job.spec.worst_case, timeout)
            .await
    }

    /// Drops a loan whose lender is fenced; `None` if the reservation is from this entry's own
    /// grant.
    fn drop_fenced_loan(&mut self) -> Option<Refusal> {
        let from_peer =
            |reservation: &mut Reservation| reservation.grant.holder != self.app.incarnation;
        let reservation = self.reservation.take_if(from_peer)?;
        let grant = reservation.grant.clone();
        self.app.wallet.release(reservation);
        self.app
            .wallet
            .with_wallet(|wallet| wallet.discard_borrowed(&grant));
        let detail = format!("{} lent the tokens and is fenced", grant.holder);
        Some(Refusal::new(ErrorKind::BudgetUnreachable, detail))
    }

    /// Takes back the reservation of an attempt that does not run, for use by the next attempt.
    fn recover_reservation(&mut self, number: u64) {
        if let Some(reservation) = self.app.pending.remove(self.job.request, number) {
            match self.reservation {
                None => self.reservation = Some(reservation),
                Some(_) => self.app.wallet.release(reservation),
            }
        }
    }

    fn run_request(
        &self,
        sidecar: Incarnation,
        attempt: u64,
        reservation: &Reservation,
    ) -> RunRequest {
        let spec = &self.job.spec;
        RunRequest {
            request: self.job.request,
            entry: self.app.incarnation.clone(),
            sidecar,
            attempt,
            account: self.job.caller.account.clone(),
            service: spec.service.clone(),
            class: spec.class,
            idempotent: spec.idempotent,
            fingerprint: spec.fingerprint,
            grant: reservation.grant.clone(),
            reserved: reservation.tokens,
            replay: self.replay.clone(),
            deadline: self.time_left(),
            work: spec.work.clone(),
        }
    }
}

/// Returns true if another target may accept a request that this one refused.
fn may_try_next_target(kind: ErrorKind) -> bool {
    match kind {
        ErrorKind::Draining
        | ErrorKind::Overloaded
        | ErrorKind::AccountLimited
        | ErrorKind::NoTarget
        | ErrorKind::NotConfigured
        | ErrorKind::Cancelled => true,
        other => other.response().outcome == RunOutcome::Unknown,
    }
}
