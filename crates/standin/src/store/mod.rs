//! In-memory platform: object API, VM list and weight store, with injected faults.
//!
//! [`Store`] implements [`cyc_store::Platform`], so that tests can use it in process;
//! [`crate::platform`] serves it over HTTP.

mod api;
mod counters;
mod faults;
mod objects;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use counters::CallCounter;
pub use counters::{CallCount, Counters, Operation};
use cyc_store::{Change, Error, Kind, Object, ObjectKey, Result, Vm};
use cyc_types::{ByteSize, Clock, Millis, Version};
use faults::FaultState;
pub use faults::{Faults, LostAnswers};
use objects::Objects;
use tokio::sync::watch;

use crate::lagged::Lagged;

/// An in-memory platform. Clones share their state.
#[derive(Debug, Clone)]
pub struct Store {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    clock: Clock,
    /// Rate of the weight store in bytes per second; `None` means no limit.
    weight_rate: Option<ByteSize>,
    state: Mutex<State>,
    /// Notifies pending watches after each write and each change of the faults.
    watch_notifier: watch::Sender<()>,
}

#[derive(Debug)]
struct State {
    objects: Objects,
    faults: FaultState,
    call_counter: CallCounter,
    vms: Lagged<Vec<Vm>>,
    /// Time at which the weight store finishes the load that it permitted last.
    weights_busy_until: Millis,
}

/// The properties of a call by which it is counted and matched with faults.
#[derive(Debug, Clone)]
struct Call {
    operation: Operation,
    kind: Option<Kind>,
    /// The object name or the prefix; empty for operations that have neither.
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

    fn without_kind(operation: Operation) -> Self {
        Self {
            operation,
            kind: None,
            name: Default::default(),
        }
    }
}

/// Construction.
impl Store {
    /// Creates an empty store without faults and without a rate limit on weights.
    pub fn new() -> Self {
        Self::build(Clock::System, None)
    }

    /// Uses `clock` for the VM list lag and for the weight store. Returns a new, empty store.
    pub fn with_clock(self, clock: Clock) -> Self {
        Self::build(clock, self.inner.weight_rate)
    }

    /// Limits the weight store to `rate` bytes per second. Returns a new, empty store.
    pub fn with_weight_rate(self, rate: ByteSize) -> Self {
        Self::build(self.inner.clock.clone(), Some(rate))
    }

    fn build(clock: Clock, weight_rate: Option<ByteSize>) -> Self {
        let state = State {
            objects: Objects::default(),
            faults: FaultState::default(),
            call_counter: CallCounter::default(),
            vms: Lagged::new(Vec::new()),
            weights_busy_until: Millis::ZERO,
        };
        Self {
            inner: Arc::new(Inner {
                clock,
                weight_rate,
                state: Mutex::new(state),
                watch_notifier: watch::Sender::new(()),
            }),
        }
    }
}

impl Default for Store {
    fn default() -> Self {
        Self::new()
    }
}

/// Control by tests. These calls are not counted and not subject to faults.
impl Store {
    /// Replaces the active faults and restarts the count of writes for `lost`.
    pub fn set_faults(&self, faults: Faults) {
        self.state().faults.replace(faults);
        self.inner.watch_notifier.send_replace(());
    }

    /// The active faults.
    pub fn faults(&self) -> Faults {
        self.state().faults.faults.clone()
    }

    /// A snapshot of the call counts.
    pub fn counters(&self) -> Counters {
        self.state().call_counter.counters()
    }

    /// Sets the VM list; [`Faults::vm_lag`] delays when callers see it.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        let now = self.inner.clock.now();
        self.state().vms.set(now, vms);
    }

    /// Reads an object, without counting the call or applying faults.
    pub fn peek(&self, key: &ObjectKey) -> Option<Object> {
        self.state().objects.get(key)
    }

    /// Lists objects, without counting the call or applying faults.
    pub fn peek_list(&self, kind: Kind, prefix: &str) -> Vec<Object> {
        self.state().objects.list(kind, prefix)
    }
}

/// Execution of calls under faults.
impl Store {
    fn state(&self) -> MutexGuard<'_, State> {
        // Poisoning is ignored: no method panics with the state partly updated.
        self.inner
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts the call and applies `effect`, subject to the active faults.
    async fn call<T, F>(&self, call: Call, effect: F) -> Result<T>
    where
        T: Send + 'static,
        F: FnOnce(&Inner, &mut State) -> Result<T> + Send + 'static,
    {
        let slow = {
            let mut state = self.state();
            state.call_counter.record_call(call.operation, call.kind);
            state.faults.faults.slow
        };
        if slow.is_zero() {
            return self.apply(&call, effect);
        }
        // A separate task, so that the effect is applied even if the caller gives up meanwhile.
        let store = self.clone();
        let delayed = tokio::spawn(async move {
            tokio::time::sleep(slow.duration()).await;
            store.apply(&call, effect)
        });
        delayed
            .await
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
        let outcome = drop_lost_answer(&mut state, call, outcome);
        if outcome.is_err() {
            state.call_counter.record_failure(call.operation, call.kind);
        }
        drop(state);
        if call.operation.is_write() {
            self.inner.watch_notifier.send_replace(());
        }
        outcome
    }

    /// The outcome of a watch; `None` if there is none yet and the watch has to keep waiting.
    fn poll_changes(&self, call: &Call, since: Version) -> Option<Result<Vec<Change>>> {
        let mut state = self.state();
        if let Some(error) = refusal(&state.faults.faults) {
            return Some(Err(error));
        }
        let kind = call.kind?;
        let changes = state.objects.changes(kind, &call.name, since);
        if changes.is_empty() {
            return None;
        }
        Some(drop_lost_answer(&mut state, call, Ok(changes)))
    }
}

/// The error of a call that the faults reject without any effect.
fn refusal(faults: &Faults) -> Option<Error> {
    if faults.outage {
        return Some(Error::Unavailable("outage".into()));
    }
    faults.throttle.then_some(Error::Throttled)
}

/// Replaces the answer of a call that took effect by an error if the faults lose that answer.
fn drop_lost_answer<T>(state: &mut State, call: &Call, outcome: Result<T>) -> Result<T> {
    let value = outcome?;
    if state
        .faults
        .loses_answer(call.operation, call.kind, &call.name)
    {
        return Err(Error::Unavailable("answer lost".into()));
    }
    Ok(value)
}

/// Permits a load of `bytes` now (`None`), or returns the time until the weight store is free.
fn permit_weight_load(inner: &Inner, state: &mut State, bytes: ByteSize) -> Option<Millis> {
    let rate = inner.weight_rate.filter(|rate| !rate.is_zero())?;
    let now = inner.clock.now();
    if state.weights_busy_until > now {
        return Some(state.weights_busy_until.saturating_sub(now));
    }
    let load_ms = bytes.get().saturating_mul(1_000).div_ceil(rate.get());
    state.weights_busy_until = now + Millis::new(load_ms);
    None
}
