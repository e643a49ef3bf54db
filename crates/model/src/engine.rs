//! A simulated batching engine with chunked prefill and a prefix cache. Each step decodes one token
//! per running stream and prefills a chunk of new prompts; cached prefixes are evicted in LRU order
//! when memory is short.

use std::collections::{HashMap, VecDeque};

use cyc_gateway::call::{Prompt, PromptPart};

use crate::scenario::EngineSpec;

/// Identifies a request at a target.
pub type JobId = usize;

#[derive(Debug, Clone)]
struct Job {
    id: JobId,
    /// Prompt tokens that still have to be prefilled.
    prefill_left: u64,
    /// Tokens of the answer that still have to be decoded.
    output_left: u64,
    /// Tokens that this request occupies in memory. After the prefill, its prompt counts towards the
    /// cache instead.
    held: u64,
    /// Tokens that each of its steps attends to.
    context_tokens: u64,
    prompt: Prompt,
    is_prefilled: bool,
}

/// The result of one step.
#[derive(Debug, Default, PartialEq)]
pub struct Step {
    /// Duration, in ms.
    pub took_ms: f64,
    /// Requests whose prefill ended in this step.
    pub prefilled: Vec<JobId>,
    /// Requests that produced a token, and whether it was their last one.
    pub tokens: Vec<(JobId, bool)>,
}

/// Counters of the prompt tokens of an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PromptTokens {
    /// Prompt tokens prefilled.
    pub prefilled: u64,
    /// The part of `prefilled` that some engine had already prefilled before.
    pub recomputed: u64,
    /// Prompt tokens served from the prefix cache.
    pub cached: u64,
}

/// A batching engine.
#[derive(Debug)]
pub struct Engine {
    spec: EngineSpec,
    running: Vec<Job>,
    waiting: VecDeque<Job>,
    /// Size in tokens and time of last use of each cached part, by the key of the prefix that ends
    /// with the part.
    cache: HashMap<u64, (u64, f64)>,
    cached_tokens: u64,
    /// Factor on the duration of steps; 1 is normal.
    pub slowdown: f64,
    /// Counters since the start of the run.
    pub prompt_tokens: PromptTokens,
}

impl Engine {
    /// Creates an idle engine.
    pub fn new(spec: EngineSpec) -> Self {
        Self {
            spec,
            running: Vec::new(),
            waiting: VecDeque::new(),
            cache: HashMap::new(),
            cached_tokens: 0,
            slowdown: 1.0,
            prompt_tokens: PromptTokens::default(),
        }
    }

    /// Returns the numbers of running and of waiting requests.
    pub fn load(&self) -> (u32, u32) {
        (self.running.len() as u32, self.waiting.len() as u32)
    }

    /// Returns true if no request is running or waiting.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Queues a request; returns false if the queue is full.
    pub fn enqueue(&mut self, id: JobId, prompt: &Prompt, output_tokens: u64) -> bool {
        if self.waiting.len() >= self.spec.queue {
            return false;
        }
        self.waiting.push_back(Job {
            id,
            prefill_left: prompt.input.get(),
            output_left: output_tokens.max(1),
            held: 0,
            context_tokens: 0,
            prompt: prompt.clone(),
            is_prefilled: false,
        });
        true
    }

    /// Removes a request whose caller disconnected.
    pub fn cancel(&mut self, id: JobId) {
        self.running.retain(|job| job.id != id);
        self.waiting.retain(|job| job.id != id);
    }

    /// Models a crash: empties the cache and returns the requests that are lost.
    pub fn crash(&mut self) -> Vec<JobId> {
        self.cache.clear();
        self.cached_tokens = 0;
        let running = self.running.drain(..).map(|job| job.id);
        let lost: Vec<JobId> = running.collect();
        let waiting = self.waiting.drain(..).map(|job| job.id);
        lost.into_iter().chain(waiting).collect()
    }

    /// Runs one step that begins at `now_ms`. `mark_prefilled` returns true if some engine already
    /// prefilled the prefix with this key, and records that it is prefilled now.
    pub fn step(&mut self, now_ms: f64, mark_prefilled: &mut impl FnMut(u64) -> bool) -> Step {
        self.admit(now_ms, mark_prefilled);
        let mut step = Step::default();
        let mut chunk_left = self.spec.chunk_tokens;
        let mut prefill_tokens = 0;
        let context_tokens: u64 = self.running.iter().map(|job| job.context_tokens).sum();
        let decoding = self.running.iter().filter(|job| job.is_prefilled).count();
        for job in &mut self.running {
            if job.is_prefilled {
                job.output_left -= 1;
                job.held += 1;
                job.context_tokens += 1;
                step.tokens.push((job.id, job.output_left == 0));
                continue;
            }
            let chunk = job.prefill_left.min(chunk_left);
            job.prefill_left -= chunk;
            job.held += chunk;
            job.context_tokens += chunk;
            chunk_left -= chunk;
            prefill_tokens += chunk;
            if job.prefill_left == 0 {
                job.is_prefilled = true;
                job.held = 0;
                step.prefilled.push(job.id);
            }
        }
        let prefilled: Vec<Prompt> = self
            .running
            .iter()
            .filter(|job| step.prefilled.contains(&job.id))
            .map(|job| job.prompt.clone())
            .collect();
        for prompt in prefilled {
            self.cache_prompt(&prompt.parts, now_ms);
        }
        self.running.retain(|job| job.output_left > 0);
        let spec = &self.spec;
        let normal_ms = spec.step_ms
            + decoding as f64 * spec.step_ms_per_slot
            + context_tokens as f64 / 1_000.0 * spec.context_ms_per_k
            + prefill_tokens as f64 / spec.prompt_tokens_per_ms;
        step.took_ms = normal_ms * self.slowdown;
        step
    }

    /// Moves waiting requests to free slots as long as memory allows. If no request is running, the
    /// first waiting one is always admitted.
    fn admit(&mut self, now_ms: f64, mark_prefilled: &mut impl FnMut(u64) -> bool) {
        while self.running.len() < self.spec.slots as usize {
            let Some(job) = self.waiting.front() else {
                return;
            };
            let held: u64 = self
                .running
                .iter()
                .map(|job| job.held + job.prefill_left)
                .sum();
            if held + job.prefill_left > self.spec.memory_tokens && !self.running.is_empty() {
                return;
            }
            let Some(mut job) = self.waiting.pop_front() else {
                return;
            };
            let cached = self.match_prefix(&job.prompt, now_ms);
            let prefilled_before = tokens_prefilled_before(&job.prompt, mark_prefilled);
            job.prefill_left = job.prompt.input.get() - cached;
            job.context_tokens = cached;
            self.prompt_tokens.cached += cached;
            self.prompt_tokens.prefilled += job.prefill_left;
            self.prompt_tokens.recomputed += prefilled_before.saturating_sub(cached);
            self.running.push(job);
        }
    }

    /// Returns the size of the longest cached prefix of a prompt, and updates its time of last use.
    fn match_prefix(&mut self, prompt: &Prompt, now_ms: f64) -> u64 {
        let mut cached = 0;
        for key in prefix_keys(prompt.shared()) {
            let Some(part) = self.cache.get_mut(&key) else {
                break;
            };
            part.1 = now_ms;
            cached += part.0;
        }
        cached
    }

    fn cache_prompt(&mut self, parts: &[PromptPart], now_ms: f64) {
        let keys: Vec<u64> = prefix_keys(parts).collect();
        for (key, part) in keys.into_iter().zip(parts) {
            let tokens = part.tokens.get();
            if self.cache.insert(key, (tokens, now_ms)).is_none() {
                self.cached_tokens += tokens;
            }
        }
        let held: u64 = self.running.iter().map(|job| job.held).sum();
        while self.cached_tokens + held > self.spec.memory_tokens {
            let oldest = self
                .cache
                .iter()
                .min_by(|a, b| a.1.1.total_cmp(&b.1.1).then(a.0.cmp(b.0)));
            let Some((key, tokens)) = oldest.map(|(key, part)| (*key, part.0)) else {
                return;
            };
            self.cache.remove(&key);
            self.cached_tokens -= tokens;
        }
    }
}

/// Returns the keys of all prefixes of a prompt that end with one of its parts. A key depends on the
/// ids of the parts and their order.
fn prefix_keys(parts: &[PromptPart]) -> impl Iterator<Item = u64> + '_ {
    parts.iter().scan(0_u64, |key, part| {
        *key = key.rotate_left(7) ^ part.id.get().wrapping_mul(0x9E37_79B9_7F4A_7C15);
        Some(*key)
    })
}

/// Returns the size of the longest shared prefix that some engine prefilled before, and marks all
/// shared prefixes of the prompt as prefilled.
fn tokens_prefilled_before(prompt: &Prompt, mark_prefilled: &mut impl FnMut(u64) -> bool) -> u64 {
    let mut tokens = 0;
    let mut is_leading = true;
    for (key, part) in prefix_keys(prompt.shared()).zip(prompt.shared()) {
        is_leading &= mark_prefilled(key);
        if is_leading {
            tokens += part.tokens.get();
        }
    }
    tokens
}
