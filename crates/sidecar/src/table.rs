//! What a sidecar remembers: runs, fences, barred attempts and receipts that nobody has released.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use cyc_proto::{
    Receipt,
    sidecar::{FenceReply, RunRequest, RunningHold},
};
use cyc_types::{ErrorKind, Incarnation, Millis, Outcome, Refusal, RequestId, VmId};
use tokio::sync::{Notify, watch};

pub use crate::over::{Attempt, attempt_of};
use crate::{answer::Answer, over::Over};

/// The phase of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Phase {
    /// In the queue or being claimed.
    Waiting,
    /// The target has it.
    Running,
    /// The answer is complete.
    Ended(Millis),
    /// The run surely did not reach the target; another attempt may run it.
    NotRun(Millis),
    /// Refused; the run is no longer in the table.
    Refused(Refusal),
}

/// One request at this sidecar.
#[derive(Debug)]
pub struct Run {
    /// What was asked, by the attempt that came first.
    pub req: RunRequest,
    /// Number of this run within the sidecar, to tell its answer from that of a later run.
    pub number: u64,
    /// Its answer.
    pub answer: Answer,
    /// Set to stop the run.
    pub cancel: Notify,
    /// Its phase.
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

    /// Returns true if another attempt may run the request: the target surely has not run it, or
    /// it may be run more than once and the run has failed.
    pub fn may_run_again(&self) -> bool {
        match *self.phase.borrow() {
            Phase::NotRun(_) => true,
            Phase::Ended(_) => self.req.idempotent && self.answer.is_failed(),
            Phase::Waiting | Phase::Running | Phase::Refused(_) => false,
        }
    }

    /// Returns true if the run is in the queue or being claimed.
    pub fn is_waiting(&self) -> bool {
        *self.phase.borrow() == Phase::Waiting
    }

    /// Returns when the run ended, if it has.
    pub fn ended(&self) -> Option<Millis> {
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
    /// Per VM the lowest incarnation that may still spend. Invariant: only grows.
    fences: BTreeMap<VmId, u64>,
    over: Over,
    runs: HashMap<RequestId, Arc<Run>>,
    /// Number of the last run.
    last_run: u64,
    /// Receipts that the ledger may not have, by request and the entry that started the run.
    unreleased: BTreeMap<(RequestId, Incarnation), Receipt>,
    draining: bool,
}

/// The memory of one sidecar, behind one lock.
///
/// Fences and the start of a run take the same lock, so that evidence handed over for a fence
/// holds every run that was started before it.
#[derive(Debug, Default)]
pub struct Table {
    state: Mutex<State>,
}

/// What [`Table::admit`] found.
#[derive(Debug)]
pub enum Admitted {
    /// The request is new here; the caller decides about it.
    New(Arc<Run>),
    /// The request is here already.
    Found(Arc<Run>),
}

/// What [`Table::find_or_bar`] found.
#[derive(Debug)]
pub enum Found {
    /// The request is here, under this attempt or another one.
    Run(Arc<Run>),
    /// The attempt was refused with this kind.
    Refused(ErrorKind),
    /// The attempt was not seen, and is barred.
    Barred,
}

/// # Admission
impl Table {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Finds the run of a request or adds one that waits.
    ///
    /// # Errors
    /// Refuses what is fenced, barred, reuses a key with another body, or is new while draining.
    pub fn admit(&self, req: &RunRequest) -> Result<Admitted, Refusal> {
        let mut state = self.state();
        state.check_fence(req)?;
        if state.over.contains(&attempt_of(req)) {
            return Err(Refusal::new(ErrorKind::Cancelled, "the attempt is barred"));
        }
        if let Some(run) = state.runs.get(&req.request) {
            // A run that still waits may be refused, and then its body counts for nothing.
            if run.req.fingerprint != req.fingerprint && !run.is_waiting() {
                return Err(Refusal::new(
                    ErrorKind::KeyReused,
                    "the key came with another body",
                ));
            }
            if run.is_attempt(req) || !run.may_run_again() {
                return Ok(Admitted::Found(run.clone()));
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

    /// Lets a waiting run start, unless it was fenced meanwhile.
    pub fn start(&self, run: &Run) -> Result<(), Refusal> {
        let state = self.state();
        state.check_fence(&run.req)?;
        run.phase.send_replace(Phase::Running);
        Ok(())
    }

    /// Takes a refused run out of the table and tells those who wait for it.
    ///
    /// A refusal that does not say "not run" is remembered for an entry that has not heard it.
    pub fn refuse(&self, run: &Run, refusal: Refusal) {
        let mut state = self.state();
        state.runs.remove(&run.req.request);
        if refusal.outcome() != Outcome::NotRun {
            state.over.refuse(attempt_of(&run.req), refusal.kind);
        }
        drop(state);
        run.phase.send_replace(Phase::Refused(refusal));
    }

    /// Returns the run of a request.
    pub fn find(&self, request: RequestId) -> Option<Arc<Run>> {
        self.state().runs.get(&request).cloned()
    }

    /// Finds the run of a request. Unless it is this attempt's own, the attempt is barred, so that
    /// a late message cannot start it, also not after the run that was found is over.
    pub fn find_or_bar(&self, attempt: Attempt) -> Found {
        let mut state = self.state();
        if let Some(kind) = state.over.refusal(&attempt) {
            return Found::Refused(kind);
        }
        let run = state.runs.get(&attempt.0).cloned();
        let is_own = run
            .as_ref()
            .is_some_and(|run| attempt_of(&run.req) == attempt);
        if !is_own {
            state.over.bar(attempt);
        }
        run.map_or(Found::Barred, Found::Run)
    }
}

/// # End of runs and receipts
impl Table {
    /// Ends a run and keeps its receipt until it is released.
    pub fn end(&self, run: &Run, receipt: Option<&Receipt>, now: Millis) {
        let mut state = self.state();
        if let Some(receipt) = receipt {
            let key = (receipt.request, receipt.entry.clone());
            state.unreleased.insert(key, receipt.clone());
        }
        run.phase.send_replace(Phase::Ended(now));
    }

    /// Ends a run that surely did not reach the target: another attempt may run it.
    pub fn end_not_run(&self, run: &Run, now: Millis) {
        let _state = self.state();
        run.phase.send_replace(Phase::NotRun(now));
    }

    /// Drops receipts that the ledger has.
    pub fn release(&self, entry: &Incarnation, requests: &[RequestId]) {
        let mut state = self.state();
        for request in requests {
            state.unreleased.remove(&(*request, entry.clone()));
        }
    }

    /// Returns the receipts of `entry` that it has not released.
    pub fn receipts_of(&self, entry: &Incarnation) -> Vec<Receipt> {
        let state = self.state();
        state
            .unreleased
            .values()
            .filter(|receipt| receipt.entry == *entry)
            .cloned()
            .collect()
    }

    /// Returns all receipts that nobody has released.
    pub fn unreleased(&self) -> Vec<Receipt> {
        self.state().unreleased.values().cloned().collect()
    }

    /// Forgets answers that ended before `before`, and the oldest ones while the buffers hold
    /// more than `limit` bytes.
    pub fn evict(&self, before: Millis, limit: usize) {
        let mut state = self.state();
        let mut ended: Vec<(Millis, RequestId, usize)> = Vec::new();
        for (id, run) in &state.runs {
            if let Some(at) = run.ended() {
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

/// # Fences and drain
impl Table {
    /// Raises a fence and hands over the evidence for it.
    pub fn fence(&self, sidecar: &Incarnation, lowest: &Incarnation) -> FenceReply {
        let mut state = self.state();
        let fence = state.fences.entry(lowest.vm.clone()).or_default();
        *fence = (*fence).max(lowest.number);
        let number = *fence;
        let fenced = |one: &Incarnation| one.vm == lowest.vm && one.number < number;
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
            .map(|run| RunningHold {
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

    /// Takes over fences known elsewhere.
    pub fn learn_fences(&self, fences: &[Incarnation]) {
        let mut state = self.state();
        for lowest in fences {
            let fence = state.fences.entry(lowest.vm.clone()).or_default();
            *fence = (*fence).max(lowest.number);
        }
    }

    /// Returns all fences.
    pub fn fences(&self) -> Vec<Incarnation> {
        let state = self.state();
        state
            .fences
            .iter()
            .map(|(vm, number)| Incarnation::new(vm.clone(), *number))
            .collect()
    }

    /// Stops taking new work.
    pub fn drain(&self) {
        self.state().draining = true;
    }

    /// Returns true if no new work is taken.
    pub fn is_draining(&self) -> bool {
        self.state().draining
    }

    /// Returns the number of runs that have not ended.
    pub fn active(&self) -> usize {
        self.state()
            .runs
            .values()
            .filter(|run| run.ended().is_none())
            .count()
    }
}

impl State {
    fn check_fence(&self, req: &RunRequest) -> Result<(), Refusal> {
        for one in [&req.entry, &req.grant.holder] {
            if self
                .fences
                .get(&one.vm)
                .is_some_and(|lowest| one.number < *lowest)
            {
                return Err(Refusal::new(ErrorKind::Fenced, format!("{one} is fenced")));
            }
        }
        Ok(())
    }
}
