//! One run of one chat request, as a sequence of pieces.

use std::{collections::HashMap, future::pending, time::Duration};

use smol_str::SmolStr;
use tokio::sync::watch;

use super::{Engine, Faults, batch::Slot, text};

/// Added to the hash of a prompt where the answer is to belong to another one.
const CROSSED_HASH: u64 = 1;

/// The runs that can be cancelled.
#[derive(Debug, Default)]
pub(super) struct Runs {
    last: u64,
    active: HashMap<u64, (SmolStr, watch::Sender<bool>)>,
}

impl Runs {
    fn register(&mut self, request_id: SmolStr) -> (u64, watch::Receiver<bool>) {
        self.last += 1;
        let (tx, rx) = watch::channel(false);
        self.active.insert(self.last, (request_id, tx));
        (self.last, rx)
    }

    pub(super) fn cancel(&mut self, request_id: &str) -> u64 {
        let runs = self.active.values().filter(|(id, _)| id == request_id);
        runs.filter(|(_, tx)| !tx.send_replace(true)).count() as u64
    }
}

/// One piece of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Piece {
    /// A token.
    Token {
        /// Its offset in the answer.
        position: u64,
        /// Its text.
        text: String,
    },
    /// The end marker.
    End(End),
}

/// How a run ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct End {
    /// `stop`, `length` or `cancelled`.
    pub(super) reason: &'static str,
    pub(super) prompt_tokens: u64,
    /// Tokens of the whole answer, those before a resumption included.
    pub(super) completion_tokens: u64,
}

/// The connection of the answer is to be broken.
#[derive(Debug)]
pub(super) struct Broken;

/// What a run is asked to do.
#[derive(Debug, Clone)]
pub(super) struct Job {
    pub(super) request_id: SmolStr,
    pub(super) prompt: String,
    pub(super) max_tokens: Option<u64>,
    pub(super) priority: i64,
    /// Offset of the first token that is wanted.
    pub(super) from: u64,
}

/// A run. Dropping it ends the run and frees its slot.
#[derive(Debug)]
pub(super) struct Run {
    engine: Engine,
    job: Job,
    faults: Faults,
    number: u64,
    cancelled: watch::Receiver<bool>,
    slot: Option<Slot>,
    hash: u64,
    position: u64,
    end: u64,
    reason: &'static str,
    finished: bool,
}

impl Run {
    /// Counts the run as started; it takes its slot with the first piece.
    pub(super) fn start(engine: &Engine, job: Job, faults: Faults) -> Self {
        let wanted = text::wanted_tokens(&job.prompt);
        let wanted = wanted.unwrap_or(engine.inner.options.default_tokens);
        let limit = job.max_tokens.unwrap_or(u64::MAX);
        let mut state = engine.state();
        let known = state.counters.runs.contains_key(&job.request_id);
        let counts = if job.from > 0 && known {
            &mut state.counters.resumes
        } else {
            &mut state.counters.runs
        };
        *counts.entry(job.request_id.clone()).or_default() += 1;
        let (number, cancelled) = state.runs.register(job.request_id.clone());
        drop(state);
        let crossed = if faults.crossed { CROSSED_HASH } else { 0 };
        Self {
            engine: engine.clone(),
            hash: text::prompt_hash(&job.prompt).wrapping_add(crossed),
            position: job.from,
            end: wanted.min(limit),
            reason: if wanted > limit { "length" } else { "stop" },
            job,
            faults,
            number,
            cancelled,
            slot: None,
            finished: false,
        }
    }

    pub(super) fn job(&self) -> &Job {
        &self.job
    }

    pub(super) fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Returns the next piece; `None` after the end.
    pub(super) async fn next(&mut self) -> Option<Result<Piece, Broken>> {
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
            Some(Step::End) => Some(Ok(self.finish(self.reason))),
            Some(Step::Break) => {
                self.finished = true;
                Some(Err(Broken))
            }
            Some(Step::Truncate) => {
                self.finished = true;
                None
            }
        }
    }

    /// Waits until the next piece is due. Nothing is lost if it is dropped while it waits.
    async fn step(&mut self) -> Step {
        if self.slot.is_none() {
            self.slot = self.engine.inner.batch.enter(self.job.priority).await;
            self.engine.note_load();
            self.prefill().await;
        }
        let sent = Some(self.position.saturating_sub(self.job.from));
        if self.faults.stall_after == sent {
            pending::<()>().await;
        }
        if self.faults.break_after == sent {
            // The server flushes what it has while the body is pending; an error drops the rest.
            tokio::task::yield_now().await;
            return Step::Break;
        }
        if self.faults.truncate_after == sent {
            return Step::Truncate;
        }
        if self.position >= self.end {
            return Step::End;
        }
        self.wait_for_token().await;
        Step::Token
    }

    async fn prefill(&self) {
        let prefixes = text::prefix_hashes(&self.job.prompt);
        let now = self.engine.now();
        let missed = {
            let mut state = self.engine.state();
            let hits = state.cache.touch(now, &prefixes);
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
        let others = self.engine.inner.batch.running().saturating_sub(1) as u64;
        let percent = 100 + others * options.batch_slowdown_percent;
        let micros = options.token_time.get() * 10 * percent;
        let wait = Duration::from_micros(micros) + self.faults.token_delay.duration();
        if wait.is_zero() {
            tokio::task::yield_now().await;
        } else {
            tokio::time::sleep(wait).await;
        }
    }

    fn token(&mut self) -> Piece {
        let position = self.position;
        self.position += 1;
        self.engine.state().counters.tokens_generated += 1;
        Piece::Token {
            position,
            text: text::token_text(self.hash, position),
        }
    }

    fn finish(&mut self, reason: &'static str) -> Piece {
        self.finished = true;
        self.slot = None;
        Piece::End(End {
            reason,
            prompt_tokens: text::prompt_tokens(&self.job.prompt),
            completion_tokens: self.position,
        })
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.engine.state().runs.active.remove(&self.number);
        self.slot = None;
        self.engine.note_load();
    }
}

/// What a run does next.
enum Step {
    Token,
    End,
    Break,
    Truncate,
}
