//! The generation run of a chat request, produced as a sequence of answer events.

use std::{collections::HashMap, future::pending, time::Duration};

use smol_str::SmolStr;
use tokio::sync::watch;

use super::{Engine, Faults, batch::Slot, text};

/// Added to the prompt hash under the fault `crossed`, so that the text of another answer is sent.
const CROSSED_HASH: u64 = 1;

/// The active runs, by run id, with their cancellation senders.
#[derive(Debug, Default)]
pub(super) struct Runs {
    last_id: u64,
    active: HashMap<u64, (SmolStr, watch::Sender<bool>)>,
}

impl Runs {
    fn register(&mut self, request_id: SmolStr) -> (u64, watch::Receiver<bool>) {
        self.last_id += 1;
        let (tx, rx) = watch::channel(false);
        self.active.insert(self.last_id, (request_id, tx));
        (self.last_id, rx)
    }

    pub(super) fn cancel(&mut self, request_id: &str) -> u64 {
        let runs = self.active.values().filter(|(id, _)| id == request_id);
        runs.filter(|(_, tx)| !tx.send_replace(true)).count() as u64
    }
}

/// An event of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum AnswerEvent {
    /// A generated token.
    Token {
        /// The offset of the token in the whole answer.
        position: u64,
        /// The text of the token.
        text: String,
    },
    /// The end marker.
    End(Completion),
}

/// The finish reason and the usage of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Completion {
    /// `stop`, `length` or `cancelled`.
    pub(super) finish_reason: &'static str,
    pub(super) prompt_tokens: u64,
    /// Tokens of the whole answer, including those sent before a resumption.
    pub(super) completion_tokens: u64,
}

/// The connection is to be aborted in the middle of the response.
#[derive(Debug)]
pub(super) struct AbortConnection;

/// The parameters of a run, taken from the chat request.
#[derive(Debug, Clone)]
pub(super) struct RunParams {
    pub(super) request_id: SmolStr,
    pub(super) prompt: String,
    pub(super) max_tokens: Option<u64>,
    pub(super) priority: i64,
    /// Offset of the first token to send; greater than zero resumes an answer.
    pub(super) first_position: u64,
}

/// A generation run. Dropping it ends the run and releases its slot.
#[derive(Debug)]
pub(super) struct Run {
    engine: Engine,
    params: RunParams,
    faults: Faults,
    id: u64,
    cancelled: watch::Receiver<bool>,
    slot: Option<Slot>,
    prompt_hash: u64,
    position: u64,
    end_position: u64,
    finish_reason: &'static str,
    finished: bool,
}

impl Run {
    /// Counts the run as started. The slot is acquired when the first event is requested.
    pub(super) fn start(engine: &Engine, params: RunParams, faults: Faults) -> Self {
        let requested = text::requested_tokens(&params.prompt);
        let requested = requested.unwrap_or(engine.inner.options.default_tokens);
        let limit = params.max_tokens.unwrap_or(u64::MAX);
        let mut state = engine.state();
        let is_known = state.counters.runs.contains_key(&params.request_id);
        let counts = if params.first_position > 0 && is_known {
            &mut state.counters.resumes
        } else {
            &mut state.counters.runs
        };
        *counts.entry(params.request_id.clone()).or_default() += 1;
        let (id, cancelled) = state.runs.register(params.request_id.clone());
        drop(state);
        let crossed = if faults.crossed { CROSSED_HASH } else { 0 };
        Self {
            engine: engine.clone(),
            prompt_hash: text::prompt_hash(&params.prompt).wrapping_add(crossed),
            position: params.first_position,
            end_position: requested.min(limit),
            finish_reason: if requested > limit { "length" } else { "stop" },
            params,
            faults,
            id,
            cancelled,
            slot: None,
            finished: false,
        }
    }

    pub(super) fn params(&self) -> &RunParams {
        &self.params
    }

    pub(super) fn faults(&self) -> &Faults {
        &self.faults
    }

    /// The next event; `None` after the last one or where the answer is truncated.
    pub(super) async fn next(&mut self) -> Option<Result<AnswerEvent, AbortConnection>> {
        if self.finished {
            return None;
        }
        let mut cancelled = self.cancelled.clone();
        let step = tokio::select! {
            biased;
            _ = cancelled.wait_for(|cancelled| *cancelled) => None,
            step = self.step() => Some(step),
        };
        match step {
            None => Some(Ok(self.finish("cancelled"))),
            Some(Step::Token) => Some(Ok(self.token())),
            Some(Step::End) => Some(Ok(self.finish(self.finish_reason))),
            Some(Step::Abort) => {
                self.finished = true;
                Some(Err(AbortConnection))
            }
            Some(Step::Truncate) => {
                self.finished = true;
                None
            }
        }
    }

    /// Waits until the next event is due.
    ///
    /// Cancel safe: no event is lost if the future is dropped while it waits.
    async fn step(&mut self) -> Step {
        if self.slot.is_none() {
            self.slot = self
                .engine
                .inner
                .batch
                .acquire_slot(self.params.priority)
                .await;
            self.engine.record_load();
            self.prefill().await;
        }
        let tokens_sent = Some(self.position.saturating_sub(self.params.first_position));
        if self.faults.stall_after == tokens_sent {
            pending::<()>().await;
        }
        if self.faults.break_after == tokens_sent {
            // The server flushes its buffer while the body is pending; an error discards the
            // buffer.
            tokio::task::yield_now().await;
            return Step::Abort;
        }
        if self.faults.truncate_after == tokens_sent {
            return Step::Truncate;
        }
        if self.position >= self.end_position {
            return Step::End;
        }
        self.wait_for_token().await;
        Step::Token
    }

    async fn prefill(&self) {
        let prefixes = text::prefix_hashes(&self.params.prompt);
        let now = self.engine.now();
        let missed = {
            let mut state = self.engine.state();
            let hits = state.cache.lookup_and_insert(now, &prefixes);
            let missed = prefixes.len() - hits;
            state.counters.blocks_hit += hits as u64;
            state.counters.blocks_missed += missed as u64;
            missed as u32
        };
        if missed > 0 {
            let block_time = self.engine.inner.options.prefill_block_time.duration();
            tokio::time::sleep(block_time * missed).await;
        }
    }

    async fn wait_for_token(&self) {
        let options = &self.engine.inner.options;
        let other_runs = self.engine.inner.batch.running().saturating_sub(1) as u64;
        let percent = 100 + other_runs * options.batch_slowdown_percent;
        // Milliseconds * 1,000 * percent / 100.
        let micros = options.token_time.get() * 10 * percent;
        let wait = Duration::from_micros(micros) + self.faults.token_delay.duration();
        if wait.is_zero() {
            tokio::task::yield_now().await;
        } else {
            tokio::time::sleep(wait).await;
        }
    }

    fn token(&mut self) -> AnswerEvent {
        let position = self.position;
        self.position += 1;
        self.engine.state().counters.tokens_generated += 1;
        AnswerEvent::Token {
            position,
            text: text::token_text(self.prompt_hash, position),
        }
    }

    fn finish(&mut self, finish_reason: &'static str) -> AnswerEvent {
        self.finished = true;
        self.slot = None;
        AnswerEvent::End(Completion {
            finish_reason,
            prompt_tokens: text::prompt_tokens(&self.params.prompt),
            completion_tokens: self.position,
        })
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.engine.state().runs.active.remove(&self.id);
        self.slot = None;
        self.engine.record_load();
    }
}

/// The next action of a run.
enum Step {
    Token,
    End,
    Abort,
    Truncate,
}
