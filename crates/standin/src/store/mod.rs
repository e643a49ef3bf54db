//! The platform in memory: object API, VM list and weight store, with faults.
//!
//! [`Store`] implements [`cyc_store::Platform`], so that tests use it in their own process;
//! [`crate::platform`] serves it over HTTP.

mod api;
mod counters;
mod faults;
mod objects;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use counters::Tally;
pub use counters::{CallCount, Counters, Operation};
use cyc_store::{Change, Error, Kind, Object, ObjectKey, Result, Vm};
use cyc_types::{ByteSize, Clock, Millis, Version};
use faults::FaultState;
pub use faults::{Faults, LostAnswers};
use objects::Objects;
use tokio::sync::watch;

use crate::lagged::Lagged;

/// The platform in memory. Clones share everything.
#[derive(Debug, Clone)]
pub struct Store {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    clock: Clock,
    /// Bytes of weights a second; `None` means no limit.
    weight_rate: Option<ByteSize>,
    state: Mutex<State>,
    /// Wakes the waiting watches after each change and each switch of faults.
    wake: watch::Sender<()>,
}

#[derive(Debug)]
struct State {
    objects: Objects,
    faults: FaultState,
    tally: Tally,
    vms: Lagged<Vec<Vm>>,
    /// When the weight store has finished the loads it gave leave to.
    weights_busy_until: Millis,
}

/// One call: what is counted and what faults apply to.
#[derive(Debug, Clone)]
struct Call {
    operation: Operation,
    kind: Option<Kind>,
    /// The name or the prefix.
    name: smol_str::SmolStr,
}

impl Call {
    fn new(operation: Operation, kind: Kind, name: &str) -> Self {
        Self {
            operation,
            kind: Some(kind),
            name: name.into(),
        }
    }

    fn plain(operation: Operation) -> Self {
        Self {
            operation,
            kind: None,
            name: Default::default(),
        }
    }
}

/// Construction.
impl Store {
    /// Creates an empty store without faults and without a limit on weights.
    pub fn new() -> Self {
        Self::build(Clock::System, None)
    }

    /// Uses `clock` for the lag of the VM list and the weight store. The store starts empty.
    pub fn with_clock(self, clock: Clock) -> Self {
        Self::build(clock, self.inner.weight_rate)
    }

    /// Limits the weight store to `rate` bytes a second. The store starts empty.
    pub fn with_weight_rate(self, rate: ByteSize) -> Self {
        Self::build(self.inner.clock.clone(), Some(rate))
    }

    fn build(clock: Clock, weight_rate: Option<ByteSize>) -> Self {
        let state = State {
            objects: Objects::default(),
            faults: FaultState::default(),
            tally: Tally::default(),
            vms: Lagged::new(Vec::new()),
            weights_busy_until: Millis::ZERO,
        };
        Self {
            inner: Arc::new(Inner {
                clock,
                weight_rate,
                state: Mutex::new(state),
                wake: watch::Sender::new(()),
            }),
        }
    }
}

impl Default for Store {
    fn default() -> Self {
        Self::new()
    }
}

/// Control by tests; none of these is counted or hit by faults.
impl Store {
    /// Puts `faults` in force in place of those before.
    pub fn set_faults(&self, faults: Faults) {
        self.state().faults.switch(faults);
        self.inner.wake.send_replace(());
    }

    /// Returns the faults in force.
    pub fn faults(&self) -> Faults {
        self.state().faults.faults.clone()
    }

    /// Returns the counts of all calls so far.
    pub fn counters(&self) -> Counters {
        self.state().tally.counters()
    }

    /// Sets the VM list; callers see it after the lag.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        let now = self.inner.clock.now();
        self.state().vms.set(now, vms);
    }

    /// Reads an object.
    pub fn peek(&self, key: &ObjectKey) -> Option<Object> {
        self.state().objects.get(key)
    }

    /// Lists objects.
    pub fn peek_list(&self, kind: Kind, prefix: &str) -> Vec<Object> {
        self.state().objects.list(kind, prefix)
    }
}

/// The path of a call through the faults.
impl Store {
    fn state(&self) -> MutexGuard<'_, State> {
        // A panic elsewhere leaves the state as consistent as each method leaves it.
        self.inner
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts the call and lets `effect` happen as the faults allow.
    async fn call<T, F>(&self, call: Call, effect: F) -> Result<T>
    where
        T: Send + 'static,
        F: FnOnce(&Inner, &mut State) -> Result<T> + Send + 'static,
    {
        let slow = {
            let mut state = self.state();
            state.tally.arrived(call.operation, call.kind);
            state.faults.faults.slow
        };
        if slow.is_zero() {
            return self.apply(&call, effect);
        }
        // A task of its own, so that the effect comes also if the caller gives up meanwhile.
        let store = self.clone();
        let late = tokio::spawn(async move {
            tokio::time::sleep(slow.duration()).await;
            store.apply(&call, effect)
        });
        late.await
            .unwrap_or_else(|e| Err(Error::Unavailable(e.to_string())))
    }

    fn apply<T>(
        &self,
        call: &Call,
        effect: impl FnOnce(&Inner, &mut State) -> Result<T>,
    ) -> Result<T> {
        let mut state = self.state();
        let outcome = match refusal(&state.faults.faults) {
            Some(error) => Err(error),
            None => effect(&self.inner, &mut state),
        };
        let outcome = lose(&mut state, call, outcome);
        if outcome.is_err() {
            state.tally.failed(call.operation, call.kind);
        }
        drop(state);
        if call.operation.is_write() {
            self.inner.wake.send_replace(());
        }
        outcome
    }

    /// Looks for changes; `None` if a watch should go on waiting.
    fn look(&self, call: &Call, since: Version) -> Option<Result<Vec<Change>>> {
        let mut state = self.state();
        if let Some(error) = refusal(&state.faults.faults) {
            return Some(Err(error));
        }
        let kind = call.kind?;
        let changes = state.objects.changes(kind, &call.name, since);
        if changes.is_empty() {
            return None;
        }
        Some(lose(&mut state, call, Ok(changes)))
    }
}

/// Returns the error of a call that the faults keep from any effect.
fn refusal(faults: &Faults) -> Option<Error> {
    if faults.outage {
        return Some(Error::Unavailable("outage".into()));
    }
    faults.throttle.then_some(Error::Throttled)
}

/// Replaces the answer of a call that took effect if the faults lose it.
fn lose<T>(state: &mut State, call: &Call, outcome: Result<T>) -> Result<T> {
    let value = outcome?;
    if state.faults.loses(call.operation, call.kind, &call.name) {
        return Err(Error::Unavailable("answer lost".into()));
    }
    Ok(value)
}

/// Gives leave to load `bytes`, or says how long the weight store is still busy.
fn permit(inner: &Inner, state: &mut State, bytes: ByteSize) -> Option<Millis> {
    let rate = inner.weight_rate.filter(|rate| !rate.is_zero())?;
    let now = inner.clock.now();
    if state.weights_busy_until > now {
        return Some(state.weights_busy_until.saturating_sub(now));
    }
    let load_ms = bytes.get().saturating_mul(1_000).div_ceil(rate.get());
    state.weights_busy_until = now + Millis::new(load_ms);
    None
}
