//! The state of a sidecar: runs, fences, closed attempts and receipts that are not released yet.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use cyc_proto::{
    Receipt,
    sidecar::{FenceReply, RunRequest, RunningReservation},
};
use cyc_types::{ErrorKind, Incarnation, Millis, Outcome, Refusal, RequestId, VmId};
use tokio::sync::{Notify, watch};

pub use crate::closed_attempts::{Attempt, attempt_of};
use crate::{answer::Answer, closed_attempts::ClosedAttempts};

/// The phase of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Phase {
    /// The run waits for a slot or for its claim.
    Waiting,
    /// The request may have been sent to the target.
    Running,
    /// The run ended at this time; the target may have run the request.
    Ended(Millis),
    /// The run ended at this time and the target certainly has not run the request, so another
    /// attempt may run it.
    NotRun(Millis),
    /// The run was refused and removed from the table.
    Refused(Refusal),
}

/// One request at this sidecar.
#[derive(Debug)]
pub struct Run {
    /// The request, as sent by the first attempt.
    pub req: RunRequest,
    /// Number of this run within the sidecar, which tells its answer from that of a later run.
    pub number: u64,
    /// The buffered answer.
    pub answer: Answer,
    /// Notified to cancel the run.
    pub cancel: Notify,
    /// The phase, which callers can wait on.
    pub phase: watch::Sender<Phase>,
}

impl Run {
    fn new(req: RunRequest, number: u64) -> Self {
        Self {
            req,
            number,
            answer: Answer::default(),
            cancel: Notify::new(),
            phase: watch::Sender::new(Phase::Waiting),
        }
    }

    /// Returns true if another attempt may run the request: the target certainly has not run it,
    /// or the request is idempotent and the run has failed.
    pub fn may_run_again(&self) -> bool {
        match *self.phase.borrow() {
            Phase::NotRun(_) => true,
            Phase::Ended(_) => self.req.idempotent && self.answer.is_failed(),
            Phase::Waiting | Phase::Running | Phase::Refused(_) => false,
        }
    }

    /// Returns true while the run waits for a slot or for its claim.
    pub fn is_waiting(&self) -> bool {
        *self.phase.borrow() == Phase::Waiting
    }

    /// Time at which the run ended, if it has.
    pub fn ended_at(&self) -> Option<Millis> {
        match *self.phase.borrow() {
            Phase::Ended(at) | Phase::NotRun(at) => Some(at),
            Phase::Waiting | Phase::Running | Phase::Refused(_) => None,
        }
    }

    /// Returns true if `req` is the attempt that started this run.
    pub fn is_attempt(&self, req: &RunRequest) -> bool {
        self.req.entry == req.entry && self.req.attempt == req.attempt
    }
}

#[derive(Debug, Default)]
struct State {
    /// By VM, the lowest incarnation number that is not fenced. Invariant: never decreases.
    fences: BTreeMap<VmId, u64>,
    closed: ClosedAttempts,
    runs: HashMap<RequestId, Arc<Run>>,
    /// Number of the last run.
    last_run: u64,
    /// Receipts that the ledger may not have yet, by request and the entry that started the run.
    unreleased: BTreeMap<(RequestId, Incarnation), Receipt>,
    draining: bool,
}

/// The state of one sidecar, behind one lock.
///
/// Raising a fence and starting a run take the same lock, so the reply to a fence includes every
/// run that was started before it.
#[derive(Debug, Default)]
pub struct RunTable {
    state: Mutex<State>,
}

/// Result of [`RunTable::admit`].
#[derive(Debug)]
pub enum Admitted {
    /// A new run was added; the caller starts or refuses it.
    New(Arc<Run>),
    /// The request already has a run.
    Existing(Arc<Run>),
}

/// Result of [`RunTable::find_or_bar`].
#[derive(Debug)]
pub enum Lookup {
    /// The request has a run, of this attempt or another one.
    Run(Arc<Run>),
    /// The attempt was refused with this error kind.
    Refused(ErrorKind),
    /// The request has no run, and the attempt is barred: it is refused if it arrives later.
    Barred,
}

/// # Admission
impl RunTable {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Finds the run of a request, or adds a waiting one.
    ///
    /// # Errors
    /// If the entry or the grant is fenced, the attempt is closed, the key was used with a
    /// different body, or the request needs a new run while the sidecar drains.
    pub fn admit(&self, req: &RunRequest) -> Result<Admitted, Refusal> {
        let mut state = self.state();
        state.check_fence(req)?;
        if state.closed.contains(&attempt_of(req)) {
            return Err(Refusal::new(ErrorKind::Cancelled, "the attempt is barred"));
        }
        if let Some(run) = state.runs.get(&req.request) {
            // A waiting run may still be refused; until it starts, its body does not bind the key.
            if run.req.fingerprint != req.fingerprint && !run.is_waiting() {
                return Err(Refusal::new(
                    ErrorKind::KeyReused,
                    "the key came with another body",
                ));
            }
            if run.is_attempt(req) || !run.may_run_again() {
                return Ok(Admitted::Existing(run.clone()));
            }
        }
        if state.draining {
            return Err(Refusal::new(ErrorKind::Draining, "this target is leaving"));
        }
        state.last_run += 1;
        let run = Arc::new(Run::new(req.clone(), state.last_run));
        state.runs.insert(req.request, run.clone());
        Ok(Admitted::New(run))
    }

    /// Marks a waiting run as running.
    ///
    /// # Errors
    /// If its entry or grant was fenced after the admission.
    pub fn start(&self, run: &Run) -> Result<(), Refusal> {
        let state = self.state();
        state.check_fence(&run.req)?;
        run.phase.send_replace(Phase::Running);
        Ok(())
    }

    /// Removes a refused run from the table and notifies the attempts that wait for it.
    ///
    /// A refusal whose outcome is not [`Outcome::NotRun`] is kept, for an entry that did not
    /// receive it and queries the outcome.
    pub fn refuse(&self, run: &Run, refusal: Refusal) {
        let mut state = self.state();
        state.runs.remove(&run.req.request);
        if refusal.outcome() != Outcome::NotRun {
            state.closed.refuse(attempt_of(&run.req), refusal.kind);
        }
        drop(state);
        run.phase.send_replace(Phase::Refused(refusal));
    }

    /// Returns the run of a request, without barring anything.
    pub fn find(&self, request: RequestId) -> Option<Arc<Run>> {
        self.state().runs.get(&request).cloned()
    }

    /// Finds the run of a request. Unless the run belongs to `attempt` itself, the attempt is
    /// barred, so that a late message cannot start it, even after the run that was found has ended.
    pub fn find_or_bar(&self, attempt: Attempt) -> Lookup {
        let mut state = self.state();
        if let Some(kind) = state.closed.refusal(&attempt) {
            return Lookup::Refused(kind);
        }
        let run = state.runs.get(&attempt.0).cloned();
        let is_own = run
            .as_ref()
            .is_some_and(|run| attempt_of(&run.req) == attempt);
        if !is_own {
            state.closed.bar(attempt);
        }
        run.map_or(Lookup::Barred, Lookup::Run)
    }
}

/// # Ended runs and receipts
impl RunTable {
    /// Marks a run as ended and keeps its receipt until it is released.
    pub fn end(&self, run: &Run, receipt: Option<&Receipt>, now: Millis) {
        let mut state = self.state();
        if let Some(receipt) = receipt {
            let key = (receipt.request, receipt.entry.clone());
            state.unreleased.insert(key, receipt.clone());
        }
        run.phase.send_replace(Phase::Ended(now));
    }

    /// Marks a run as ended whose request the target certainly has not run, so another attempt may
    /// run it.
    pub fn end_not_run(&self, run: &Run, now: Millis) {
        let _state = self.state();
        run.phase.send_replace(Phase::NotRun(now));
    }

    /// Drops receipts of `entry` that the ledger has settled.
    pub fn release(&self, entry: &Incarnation, requests: &[RequestId]) {
        let mut state = self.state();
        for request in requests {
            state.unreleased.remove(&(*request, entry.clone()));
        }
    }

    /// Returns the receipts of runs that `entry` started and has not released.
    pub fn receipts_of(&self, entry: &Incarnation) -> Vec<Receipt> {
        let state = self.state();
        state
            .unreleased
            .values()
            .filter(|receipt| receipt.entry == *entry)
            .cloned()
            .collect()
    }

    /// Returns the unreleased receipts of all entries.
    pub fn unreleased(&self) -> Vec<Receipt> {
        self.state().unreleased.values().cloned().collect()
    }

    /// Evicts ended runs: those that ended before `before`, and the oldest ones while the answers
    /// of ended runs exceed `limit` bytes.
    pub fn evict(&self, before: Millis, limit: usize) {
        let mut state = self.state();
        let mut ended: Vec<(Millis, RequestId, usize)> = Vec::new();
        for (id, run) in &state.runs {
            if let Some(at) = run.ended_at() {
                ended.push((at, *id, run.answer.bytes()));
            }
        }
        ended.sort_unstable();
        let mut held: usize = ended.iter().map(|(_, _, bytes)| bytes).sum();
        for (at, id, bytes) in ended {
            if at >= before && held <= limit {
                break;
            }
            state.runs.remove(&id);
            held -= bytes;
        }
    }
}

/// # Fencing and draining
impl RunTable {
    /// Raises a fence and returns the unreleased receipts and the running requests whose entry or
    /// grant is fenced.
    pub fn fence(&self, sidecar: &Incarnation, lowest: &Incarnation) -> FenceReply {
        let mut state = self.state();
        let fence = state.fences.entry(lowest.vm.clone()).or_default();
        *fence = (*fence).max(lowest.number);
        let number = *fence;
        let fenced =
            |incarnation: &Incarnation| incarnation.vm == lowest.vm && incarnation.number < number;
        let receipts = state
            .unreleased
            .values()
            .filter(|receipt| fenced(&receipt.entry) || fenced(&receipt.grant.holder))
            .cloned()
            .collect();
        let running = state
            .runs
            .values()
            .filter(|run| *run.phase.borrow() == Phase::Running)
            .filter(|run| fenced(&run.req.entry) || fenced(&run.req.grant.holder))
            .map(|run| RunningReservation {
                request: run.req.request,
                grant: run.req.grant.clone(),
                reserved: run.req.reserved,
            })
            .collect();
        FenceReply {
            sidecar: sidecar.clone(),
            receipts,
            running,
        }
    }

    /// Raises fences that were read from the platform.
    pub fn add_fences(&self, fences: &[Incarnation]) {
        let mut state = self.state();
        for lowest in fences {
            let fence = state.fences.entry(lowest.vm.clone()).or_default();
            *fence = (*fence).max(lowest.number);
        }
    }

    /// Returns, by VM, the lowest incarnation that is not fenced.
    pub fn fences(&self) -> Vec<Incarnation> {
        let state = self.state();
        state
            .fences
            .iter()
            .map(|(vm, number)| Incarnation::new(vm.clone(), *number))
            .collect()
    }

    /// Starts to refuse new requests.
    pub fn drain(&self) {
        self.state().draining = true;
    }

    /// Returns true if new requests are refused.
    pub fn is_draining(&self) -> bool {
        self.state().draining
    }

    /// Number of runs that have not ended.
    pub fn active(&self) -> usize {
        self.state()
            .runs
            .values()
            .filter(|run| run.ended_at().is_none())
            .count()
    }
}

impl State {
    fn check_fence(&self, req: &RunRequest) -> Result<(), Refusal> {
        for incarnation in [&req.entry, &req.grant.holder] {
            if self
                .fences
                .get(&incarnation.vm)
                .is_some_and(|lowest| incarnation.number < *lowest)
            {
                return Err(Refusal::new(
                    ErrorKind::Fenced,
                    format!("{incarnation} is fenced"),
                ));
            }
        }
        Ok(())
    }
}
