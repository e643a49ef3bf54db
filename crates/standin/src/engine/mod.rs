//! A model engine: continuous batching, prefix cache, streaming, orders and injected faults.
//!
//! The text of an answer depends only on its prompt ([`expected_text`]), so that a test can check
//! that an answer is complete and belongs to its request.

mod batch;
mod cache;
mod faults;
mod http;
mod orders;
mod run;
mod text;

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use batch::Batch;
use cache::PrefixCache;
pub use cache::{CacheAction, CacheEvent, CacheEvents};
use cyc_types::{Clock, Millis};
pub use faults::Faults;
pub use http::{ChatRequest, router};
use orders::ServingState;
pub use orders::{Order, OrderAction, OrderError, RecordedOrder, Role};
use run::Runs;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
pub use text::{
    BLOCK_BYTES, Message, chat_prompt, expected_text, prefix_hashes, prompt_tokens,
    requested_tokens, token_text,
};

use crate::lagged::Lagged;

/// Configuration of an engine.
#[derive(Debug, Clone)]
pub struct Options {
    /// The model loaded at start.
    pub model: SmolStr,
    /// The version of that model.
    pub version: SmolStr,
    /// Time per token of a run that is alone in the batch.
    pub token_time: Millis,
    /// Increase of the time per token for each further run in the batch, in percent.
    pub batch_slowdown_percent: u64,
    /// Prefill time per block of the prompt that is not in the prefix cache.
    pub prefill_block_time: Millis,
    /// Maximum number of runs in the batch.
    pub slots: usize,
    /// Capacity of the prefix cache in blocks.
    pub cache_blocks: usize,
    /// Tokens of an answer whose prompt requests no number.
    pub default_tokens: u64,
    /// Time to apply `load_model` and `load_adapter`.
    pub load_time: Millis,
    /// True if orders with a stale fencing number are refused.
    pub checks_fencing: bool,
    /// The clock for the lag of load reports and cache events.
    pub clock: Clock,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            model: SmolStr::new_static("writer"),
            version: SmolStr::new_static("1"),
            token_time: Millis::new(1),
            batch_slowdown_percent: 5,
            prefill_block_time: Millis::new(1),
            slots: 16,
            cache_blocks: 1_024,
            default_tokens: 16,
            load_time: Millis::ZERO,
            checks_fencing: true,
            clock: Clock::System,
        }
    }
}

/// The load report of an engine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Runs in the batch.
    pub running: u64,
    /// Runs waiting for a slot.
    pub waiting: u64,
    /// Maximum number of runs in the batch.
    pub slots: u64,
    /// Blocks in the prefix cache.
    pub cache_blocks: u64,
    /// The version of each loaded model.
    pub models: BTreeMap<SmolStr, SmolStr>,
    /// Loaded adapters as `model:adapter`.
    pub adapters: Vec<SmolStr>,
    /// The role, `mixed` unless an order changed it.
    pub role: Role,
}

/// Counters of an engine since its start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Runs started, by request id.
    pub runs: BTreeMap<SmolStr, u64>,
    /// Runs that resumed an earlier run of the same request id at a later token, by request id.
    pub resumes: BTreeMap<SmolStr, u64>,
    /// Orders received, oldest first.
    pub orders: Vec<RecordedOrder>,
    /// Tokens generated.
    pub tokens_generated: u64,
    /// Chat requests refused without starting a run.
    pub refused: u64,
    /// Runs cancelled through `POST /v1/cancel`.
    pub cancelled: u64,
    /// Blocks of prompts found in the prefix cache.
    pub blocks_hit: u64,
    /// Blocks of prompts not found in the prefix cache.
    pub blocks_missed: u64,
}

impl Counters {
    /// Number of runs started with `request_id`, excluding resumptions.
    pub fn runs_of(&self, request_id: &str) -> u64 {
        self.runs.get(request_id).copied().unwrap_or_default()
    }
}

/// A model engine. Clones share their state.
#[derive(Debug, Clone)]
pub struct Engine {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    options: Options,
    batch: Batch,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    faults: Faults,
    serving: ServingState,
    cache: PrefixCache,
    counters: Counters,
    load: Lagged<Load>,
    runs: Runs,
}

/// Construction, and control by tests.
impl Engine {
    /// Creates an idle engine.
    pub fn new(options: Options) -> Self {
        let mut serving = ServingState::default();
        let first = (options.model.clone(), options.version.clone());
        serving.models.extend([first]);
        let state = State {
            faults: Faults::default(),
            serving,
            cache: PrefixCache::new(options.cache_blocks),
            counters: Counters::default(),
            load: Lagged::new(Load::default()),
            runs: Runs::default(),
        };
        let inner = Inner {
            batch: Batch::new(options.slots),
            options,
            state: Mutex::new(state),
        };
        let engine = Self {
            inner: Arc::new(inner),
        };
        let idle = engine.current_load();
        engine.state().load = Lagged::new(idle);
        engine
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: Faults) {
        self.state().faults = faults;
    }

    /// The active faults.
    pub fn faults(&self) -> Faults {
        self.state().faults.clone()
    }

    /// A snapshot of the counters.
    pub fn counters(&self) -> Counters {
        self.state().counters.clone()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        let locked = self.inner.state.lock();
        locked.unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Millis {
        self.inner.options.clock.now()
    }
}

/// The operations that the engine serves over HTTP.
impl Engine {
    /// The load report, delayed by the fault `load_lag`.
    pub fn load(&self) -> Load {
        let now = self.now();
        let lag = self.state().faults.load_lag;
        if lag.is_zero() {
            return self.current_load();
        }
        self.state().load.visible(now, lag)
    }

    /// The published cache events after sequence number `after`.
    pub fn cache_events(&self, after: u64) -> CacheEvents {
        let now = self.now();
        let state = self.state();
        let (delay, drop_every) = (state.faults.events_late, state.faults.events_lost_every);
        CacheEvents {
            events: state.cache.events(now, after, delay, drop_every),
        }
    }

    /// Applies an order.
    ///
    /// # Errors
    /// If a required field is absent, or if the fencing number is stale and this engine checks it.
    pub async fn order(&self, order: Order) -> Result<(), OrderError> {
        if matches!(
            order.action,
            OrderAction::LoadModel | OrderAction::LoadAdapter
        ) {
            tokio::time::sleep(self.inner.options.load_time.duration()).await;
        }
        let outcome = {
            let mut state = self.state();
            let outcome = state
                .serving
                .apply(&order, self.inner.options.checks_fencing);
            let accepted = outcome.is_ok();
            state
                .counters
                .orders
                .push(RecordedOrder { order, accepted });
            outcome
        };
        self.record_load();
        outcome
    }

    /// Cancels the runs of a request; true if any was active.
    pub fn cancel(&self, request_id: &str) -> bool {
        let mut state = self.state();
        let cancelled = state.runs.cancel(request_id);
        state.counters.cancelled += cancelled;
        cancelled > 0
    }

    fn current_load(&self) -> Load {
        let state = self.state();
        Load {
            running: self.inner.batch.running() as u64,
            waiting: self.inner.batch.waiting() as u64,
            slots: self.inner.options.slots as u64,
            cache_blocks: state.cache.len() as u64,
            models: state.serving.models.clone(),
            adapters: state.serving.adapters.iter().cloned().collect(),
            role: state.serving.role,
        }
    }

    /// Records the current load in the history from which delayed reports are answered.
    fn record_load(&self) {
        let load = self.current_load();
        let now = self.now();
        self.state().load.set(now, load);
    }
}
