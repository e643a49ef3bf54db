//! A model engine: continuous batching, prefix cache, streams, orders and faults.
//!
//! The text of an answer depends on its prompt only ([`expected_text`]), so that a test sees
//! whether an answer is complete and belongs to its request.

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
use orders::Loaded;
pub use orders::{Order, OrderAction, OrderError, Role, SeenOrder};
use run::Runs;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
pub use text::{
    BLOCK_BYTES, Message, expected_text, prefix_hashes, prompt_of, prompt_tokens, token_text,
    wanted_tokens,
};

use crate::lagged::Lagged;

/// How an engine behaves.
#[derive(Debug, Clone)]
pub struct Options {
    /// The model that is loaded from the start.
    pub model: SmolStr,
    /// Its version.
    pub version: SmolStr,
    /// Time for one token of a run that is alone in the batch.
    pub token_time: Millis,
    /// By how much each further run in the batch lengthens the time for a token, in percent.
    pub batch_slowdown_percent: u64,
    /// Time for one block of the prompt that is not in the prefix cache.
    pub prefill_block_time: Millis,
    /// Runs that the batch holds.
    pub slots: usize,
    /// Blocks that the prefix cache holds.
    pub cache_blocks: usize,
    /// Tokens of an answer whose prompt asks for no number.
    pub default_tokens: u64,
    /// Time to carry out `load_model` and `load_adapter`.
    pub load_time: Millis,
    /// True if orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// The clock for lags.
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

/// The load of an engine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Runs in the batch.
    pub running: u64,
    /// Runs that wait for a slot.
    pub waiting: u64,
    /// Runs that the batch holds at most.
    pub slots: u64,
    /// Blocks in the prefix cache.
    pub cache_blocks: u64,
    /// The version of each loaded model.
    pub models: BTreeMap<SmolStr, SmolStr>,
    /// Loaded adapters as `model:adapter`.
    pub adapters: Vec<SmolStr>,
    /// The role.
    pub role: Role,
}

/// What an engine has done so far.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Runs started, by request id.
    pub runs: BTreeMap<SmolStr, u64>,
    /// Runs that went on from a later token after a run of the same request id, by request id.
    pub resumes: BTreeMap<SmolStr, u64>,
    /// Orders seen, oldest first.
    pub orders: Vec<SeenOrder>,
    /// Tokens generated.
    pub tokens_generated: u64,
    /// Chat requests refused without a run.
    pub refused: u64,
    /// Runs cancelled by a call.
    pub cancelled: u64,
    /// Blocks of prompts found in the prefix cache.
    pub blocks_hit: u64,
    /// Blocks of prompts not found there.
    pub blocks_missed: u64,
}

impl Counters {
    /// Returns the runs started with `request_id`, resumed ones not counted.
    pub fn runs_of(&self, request_id: &str) -> u64 {
        self.runs.get(request_id).copied().unwrap_or_default()
    }
}

/// A model engine. Clones share everything.
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
    loaded: Loaded,
    cache: PrefixCache,
    counters: Counters,
    load: Lagged<Load>,
    runs: Runs,
}

/// Construction and control by tests.
impl Engine {
    /// Creates an idle engine.
    pub fn new(options: Options) -> Self {
        let mut loaded = Loaded::default();
        let first = (options.model.clone(), options.version.clone());
        loaded.models.extend([first]);
        let state = State {
            faults: Faults::default(),
            loaded,
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

    /// Puts `faults` in force in place of those before.
    pub fn set_faults(&self, faults: Faults) {
        self.state().faults = faults;
    }

    /// Returns the faults in force.
    pub fn faults(&self) -> Faults {
        self.state().faults.clone()
    }

    /// Returns what the engine has done so far.
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

/// The engine's interface.
impl Engine {
    /// Returns the load, as old as the faults make it.
    pub fn load(&self) -> Load {
        let now = self.now();
        let lag = self.state().faults.load_lag;
        if lag.is_zero() {
            return self.current_load();
        }
        self.state().load.seen(now, lag)
    }

    /// Returns the cache events after sequence number `after` that are published by now.
    pub fn cache_events(&self, after: u64) -> CacheEvents {
        let now = self.now();
        let state = self.state();
        let (late, lost_every) = (state.faults.events_late, state.faults.events_lost_every);
        CacheEvents {
            events: state.cache.events(now, after, late, lost_every),
        }
    }

    /// Carries out an order.
    ///
    /// # Errors
    /// If a field is absent, or the fencing number is old and this engine checks it.
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
                .loaded
                .apply(&order, self.inner.options.checks_fencing);
            let accepted = outcome.is_ok();
            state.counters.orders.push(SeenOrder { order, accepted });
            outcome
        };
        self.note_load();
        outcome
    }

    /// Cancels the runs of a request; true if there were any.
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
            models: state.loaded.models.clone(),
            adapters: state.loaded.adapters.iter().cloned().collect(),
            role: state.loaded.role,
        }
    }

    /// Records the load for reports that lag.
    fn note_load(&self) {
        let load = self.current_load();
        let now = self.now();
        self.state().load.set(now, load);
    }
}
