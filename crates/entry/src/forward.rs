//! Forwarding: attempts at one target after the other until one answers, and the relay of its
//! answer.
//!
//! A request is forwarded by a task of its own, which goes on when the caller goes away: only the
//! end of the run tells what is billed.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cyc_budget::Reservation;
use cyc_member::Backoff;
use cyc_proto::sidecar::{CancelRequest, FindRequest, Frame, RunRequest, SidecarClient as _};
use cyc_route::{Failure, Permit};
use cyc_types::{ErrorKind, Incarnation, Millis, Outcome as Ran, Refusal, RequestId, TargetId};
use futures::{StreamExt as _, stream::FuturesUnordered};
use tokio::sync::mpsc;

use crate::{
    app::App,
    attempt::{self, Outcome},
    books::Pending,
    cx::{Ask, Caller},
    fleet::Sidecar,
    relay::{self, Reader},
};

/// Frames that may wait for a slow caller.
const EVENT_BUFFER: usize = 64;
/// How long a lost answer is asked for before the request goes on elsewhere.
const RESOLVE_WAIT: Millis = Millis::new(2_000);
/// How long a sidecar that runs the request may stay out of reach before it is given up.
const LOST_WAIT: Millis = Millis::new(5_000);
/// How long a target is waited for that may be sent work.
const TARGET_WAIT: Millis = Millis::new(2_000);
/// Time between two looks for such a target.
const TARGET_POLL: Millis = Millis::new(20);
/// How long targets are asked whether they have a request already.
const FIND_WAIT: Millis = Millis::new(250);
/// Time beyond the deadline in which the end of a run is still read.
const END_GRACE: Millis = Millis::new(5_000);

/// What the caller's side of a request receives: frames, then nothing; or a refusal.
pub type Events = mpsc::Receiver<Result<Frame, Refusal>>;

/// What is needed to forward a request.
#[derive(Debug)]
pub struct Job {
    /// The request.
    pub request: RequestId,
    /// True if the caller gave a key, so that a retry may join.
    pub keyed: bool,
    /// Who calls.
    pub caller: Caller,
    /// What is asked.
    pub ask: Ask,
    /// When the caller gives up.
    pub until: Millis,
    /// Tokens for the first attempt. Invariant: given when the job starts.
    pub reservation: Option<Reservation>,
    /// The slot, held until the run has ended; `None` if another job of the request holds it.
    pub permit: Option<Permit>,
    /// The targets that jobs of this request have tried.
    pub tried: Tried,
}

/// The targets that were tried, shared by the jobs of one request.
#[derive(Debug, Clone, Default)]
pub struct Tried(Arc<Mutex<Vec<TargetId>>>);

impl Tried {
    fn lock(&self) -> MutexGuard<'_, Vec<TargetId>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a target.
    pub fn add(&self, target: TargetId) {
        self.lock().push(target);
    }

    /// Returns the targets, in the order in which they were tried.
    pub fn list(&self) -> Vec<TargetId> {
        self.lock().clone()
    }
}

/// Starts to forward a request and returns what will come of it.
pub fn start(app: Arc<App>, job: Job) -> Events {
    let (tx, rx) = mpsc::channel(EVENT_BUFFER);
    let busy = app.begin();
    tokio::spawn(async move {
        let _busy = busy;
        let mut job = job;
        let reservation = job.reservation.take();
        let driver = Driver {
            app,
            job,
            tx,
            reservation,
            head: None,
            forwarded: false,
            replay: None,
        };
        driver.drive().await;
    });
    rx
}

/// What an attempt came to.
enum Step {
    /// The caller has been told everything.
    Done,
    /// Another target may be asked.
    Next(Refusal),
    /// Nothing more can be done.
    Fail(Refusal),
}

struct Driver {
    app: Arc<App>,
    job: Job,
    tx: mpsc::Sender<Result<Frame, Refusal>>,
    /// Tokens for the next attempt. Invariant: in no other attempt's use.
    reservation: Option<Reservation>,
    /// The head of the answer, kept back until something follows it, so that another target may
    /// still answer.
    head: Option<Frame>,
    /// True if the caller has been given a frame of an answer.
    forwarded: bool,
    /// The claimant that did not give the answer; a stored one may be taken instead.
    replay: Option<Incarnation>,
}

/// # Attempts
impl Driver {
    async fn drive(mut self) {
        let refusal = self.attempts().await;
        if let Some(reservation) = self.reservation.take() {
            self.app.purse.release(reservation);
        }
        if let Some(refusal) = refusal {
            self.tx.send(Err(refusal)).await.ok();
        }
    }

    /// Tries targets until the caller has an answer; returns the refusal otherwise.
    async fn attempts(&mut self) -> Option<Refusal> {
        if let Some(sidecar) = self.find_running().await {
            self.job.tried.add(sidecar.target.clone());
            match self.attempt(sidecar).await {
                Step::Done => return None,
                Step::Fail(refusal) => return Some(refusal),
                Step::Next(_) => {}
            }
        }
        let mut last = Refusal::new(ErrorKind::NoTarget, "no live target serves this");
        let mut reached = 0;
        loop {
            if self.left().is_zero() {
                return Some(self.at_deadline(last));
            }
            let Some(sidecar) = self.next_target().await else {
                return Some(last);
            };
            self.job.tried.add(sidecar.target.clone());
            match self.attempt(sidecar).await {
                Step::Done => return None,
                Step::Fail(refusal) => return Some(worse(last, refusal)),
                Step::Next(refusal) => {
                    reached += u32::from(refusal.outcome() != Ran::NotRun);
                    last = worse(last, refusal);
                }
            }
            if reached >= self.job.ask.max_attempts.max(1) {
                return Some(last);
            }
        }
    }

    /// Returns the best target that was not tried. Where none was, one is waited for a while: an
    /// entry that has just started may not have heard of all targets yet.
    async fn next_target(&self) -> Option<Arc<Sidecar>> {
        let tried = self.job.tried.list();
        let until = self.app.clock.now() + TARGET_WAIT.min(self.left());
        loop {
            let chosen = self.app.choose(&self.job, &tried);
            if chosen.is_some() || !tried.is_empty() || self.app.clock.now() >= until {
                return chosen;
            }
            tokio::time::sleep(TARGET_POLL.duration()).await;
        }
    }

    fn left(&self) -> Millis {
        self.job.until.saturating_sub(self.app.clock.now())
    }

    fn at_deadline(&self, last: Refusal) -> Refusal {
        match last.outcome() {
            Ran::NotRun => Refusal::new(
                ErrorKind::DeadlineBeforeStart,
                format!("the last try: {last}"),
            ),
            Ran::Ran | Ran::Unknown => last,
        }
    }

    /// Finds a target that already has the request, where a retry is possible. Only a retry at
    /// another entry makes this find something, so targets out of reach are not waited for.
    async fn find_running(&self) -> Option<Arc<Sidecar>> {
        if !self.job.keyed || !self.job.ask.idempotent {
            return None;
        }
        let request = self.job.request;
        let mut asked: FuturesUnordered<_> = self
            .app
            .candidates(&self.job)
            .into_iter()
            .map(|sidecar| async move {
                let client = sidecar.link.client().await.ok()?;
                client
                    .find(FindRequest { request })
                    .await
                    .ok()?
                    .then_some(sidecar)
            })
            .collect();
        // The first that has it is enough: one that gives no answer must not hide it.
        let first = async {
            while let Some(found) = asked.next().await {
                if found.is_some() {
                    return found;
                }
            }
            None
        };
        tokio::time::timeout(FIND_WAIT.duration(), first)
            .await
            .ok()?
    }

    async fn attempt(&mut self, sidecar: Arc<Sidecar>) -> Step {
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
    fn unknown(&self, why: String) -> Step {
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

/// Returns true for a frame that the target itself has caused. A failure also comes of a target
/// that hangs.
fn is_sign_of_life(frame: &Frame) -> bool {
    match frame {
        Frame::Head { .. } | Frame::Data { .. } | Frame::End { .. } => true,
        Frame::Failed { .. } => false,
    }
}

/// Keeps the refusal that knows of a run over one that does not.
pub(crate) fn worse(last: Refusal, new: Refusal) -> Refusal {
    if last.outcome() != Ran::NotRun && new.outcome() == Ran::NotRun {
        last
    } else {
        new
    }
}

/// What the relay of an answer came to.
enum Relayed {
    /// The end marker was read.
    Complete,
    /// The run failed.
    Failed(Refusal),
    /// The sidecar cannot be asked any more.
    Lost(String),
}

/// # Relay
impl Driver {
    /// Relays the answer; `number` is the attempt that is billed, if it is this entry's.
    async fn relay(&mut self, sidecar: &Arc<Sidecar>, number: Option<u64>) -> Step {
        match self.read_to_end(sidecar, number).await {
            Relayed::Complete => Step::Done,
            Relayed::Failed(refusal) => self.failed(refusal),
            Relayed::Lost(why) => {
                if let Some(number) = number {
                    self.app.books.doubt(self.job.request, number);
                }
                match self.forwarded {
                    true => Step::Fail(Refusal::new(ErrorKind::AnswerIncomplete, why)),
                    false => self.unknown(why),
                }
            }
        }
    }

    fn failed(&self, refusal: Refusal) -> Step {
        let again = match refusal.outcome() {
            Ran::NotRun => true,
            Ran::Ran => self.job.ask.idempotent && refusal.kind != ErrorKind::DeadlineWhileRunning,
            Ran::Unknown => self.job.ask.idempotent,
        };
        match again && !self.forwarded {
            true => Step::Next(refusal),
            false => Step::Fail(refusal),
        }
    }

    async fn read_to_end(&mut self, sidecar: &Arc<Sidecar>, number: Option<u64>) -> Relayed {
        let mut reader = Reader::new(self.job.request);
        let mut backoff = Backoff::new(Millis::new(20), Millis::new(500));
        let mut lost_since = None;
        loop {
            let limit = (self.left() + END_GRACE).duration();
            match tokio::time::timeout(limit, reader.next(&sidecar.link)).await {
                Err(_) => return Relayed::Lost("the deadline passed in the run".into()),
                Ok(Err(relay::Error::Gone)) => {
                    return Relayed::Lost("the sidecar does not have the answer".into());
                }
                Ok(Err(relay::Error::Lost(why))) => {
                    let since = *lost_since.get_or_insert(self.app.clock.now());
                    if self.app.clock.now().saturating_sub(since) >= LOST_WAIT {
                        return Relayed::Lost(why);
                    }
                    backoff.wait().await;
                }
                Ok(Ok(frames)) => {
                    lost_since = None;
                    if frames.iter().any(is_sign_of_life) {
                        let now = self.app.clock.now();
                        self.app.fleet.alive(&sidecar.target, now);
                    }
                    for frame in frames {
                        if let Some(end) = self.take_frame(sidecar, number, frame).await {
                            return end;
                        }
                    }
                }
            }
        }
    }

    /// Posts the bill of an end frame and gives the frame to the caller.
    async fn take_frame(
        &mut self,
        sidecar: &Arc<Sidecar>,
        number: Option<u64>,
        frame: Frame,
    ) -> Option<Relayed> {
        if let Frame::End { receipt, .. } | Frame::Failed { receipt, .. } = &frame {
            match (receipt, number) {
                (Some(receipt), _) => {
                    self.app.books.post(sidecar, receipt);
                }
                (None, Some(number)) => self.app.books.unbilled(self.job.request, number),
                (None, None) => {}
            }
        }
        match frame {
            Frame::Failed { refusal, .. } => Some(Relayed::Failed(refusal)),
            Frame::End { .. } => {
                self.give(sidecar, frame).await;
                Some(Relayed::Complete)
            }
            Frame::Head { .. } | Frame::Data { .. } => {
                self.give(sidecar, frame).await;
                None
            }
        }
    }

    async fn give(&mut self, sidecar: &Arc<Sidecar>, frame: Frame) {
        if matches!(frame, Frame::Head { .. }) {
            self.head = Some(frame);
            return;
        }
        self.forwarded = true;
        for frame in self.head.take().into_iter().chain([frame]) {
            if self.tx.send(Ok(frame)).await.is_err() {
                self.caller_left(sidecar).await;
            }
        }
    }

    /// Stops a run that nobody waits for and no retry can find.
    async fn caller_left(&mut self, sidecar: &Arc<Sidecar>) {
        if self.job.keyed || !self.job.ask.idempotent {
            return;
        }
        // Once is enough: from now on the job counts as keyed.
        self.job.keyed = true;
        if let Ok(client) = sidecar.link.client().await {
            client
                .cancel(CancelRequest {
                    request: self.job.request,
                })
                .await
                .ok();
        }
    }
}
