//! A batching engine: it reads prompts in chunks between the tokens of its running streams, and
//! keeps the starts of prompts cached as long as its memory holds them.

use std::collections::{HashMap, VecDeque};

use cyc_gateway::call::{Prompt, PromptPart};

use crate::scenario::EngineSpec;

/// A request at an engine, by the number that the simulation gave it.
pub type JobId = usize;

/// A request at the engine.
#[derive(Debug, Clone)]
struct Job {
    id: JobId,
    /// Prompt tokens that are not read yet.
    unread: u64,
    /// Tokens of the answer that are not made yet.
    unmade: u64,
    /// Tokens in memory that belong to this request alone: once read, its prompt is cached.
    held: u64,
    /// Tokens that each of its steps looks at.
    context: u64,
    prompt: Prompt,
    is_read: bool,
}

/// What one step gave.
#[derive(Debug, Default, PartialEq)]
pub struct Step {
    /// How long it took, in ms.
    pub took_ms: f64,
    /// Requests whose prompts are read now.
    pub read: Vec<JobId>,
    /// Requests that got a token, and whether it was the last one.
    pub tokens: Vec<(JobId, bool)>,
}

/// What the engine has done.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Work {
    /// Prompt tokens read.
    pub read: u64,
    /// The part of `read` that had been read before, at any engine.
    pub reread: u64,
    /// Prompt tokens found cached.
    pub cached: u64,
}

/// An engine.
#[derive(Debug)]
pub struct Engine {
    spec: EngineSpec,
    running: Vec<Job>,
    waiting: VecDeque<Job>,
    /// Cached parts: size and last use, by the chain of ids up to the part.
    cache: HashMap<u64, (u64, f64)>,
    cached_tokens: u64,
    /// Factor on the time of its steps.
    pub slowness: f64,
    /// What it has done.
    pub work: Work,
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
            slowness: 1.0,
            work: Work::default(),
        }
    }

    /// Returns the running and the waiting requests.
    pub fn load(&self) -> (u32, u32) {
        (self.running.len() as u32, self.waiting.len() as u32)
    }

    /// Returns true if there is nothing to do.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Takes a request, or refuses it because too many wait.
    pub fn push(&mut self, id: JobId, prompt: &Prompt, output: u64) -> bool {
        if self.waiting.len() >= self.spec.queue {
            return false;
        }
        self.waiting.push_back(Job {
            id,
            unread: prompt.input.get(),
            unmade: output.max(1),
            held: 0,
            context: 0,
            prompt: prompt.clone(),
            is_read: false,
        });
        true
    }

    /// Drops a request whose caller has left.
    pub fn cancel(&mut self, id: JobId) {
        self.running.retain(|job| job.id != id);
        self.waiting.retain(|job| job.id != id);
    }

    /// Drops everything, as an engine does that ends.
    pub fn clear(&mut self) -> Vec<JobId> {
        self.cache.clear();
        self.cached_tokens = 0;
        let running = self.running.drain(..).map(|job| job.id);
        let ended: Vec<JobId> = running.collect();
        let waiting = self.waiting.drain(..).map(|job| job.id);
        ended.into_iter().chain(waiting).collect()
    }

    /// Does one step that begins at `now_ms`. `is_known` tells, and notes, whether a part was
    /// read before at any engine.
    pub fn step(&mut self, now_ms: f64, is_known: &mut impl FnMut(u64) -> bool) -> Step {
        self.admit(now_ms, is_known);
        let mut step = Step::default();
        let mut budget = self.spec.chunk_tokens;
        let mut read_tokens = 0;
        let context: u64 = self.running.iter().map(|job| job.context).sum();
        let decoding = self.running.iter().filter(|job| job.is_read).count();
        for job in &mut self.running {
            if job.is_read {
                job.unmade -= 1;
                job.held += 1;
                job.context += 1;
                step.tokens.push((job.id, job.unmade == 0));
                continue;
            }
            let read = job.unread.min(budget);
            job.unread -= read;
            job.held += read;
            job.context += read;
            budget -= read;
            read_tokens += read;
            if job.unread == 0 {
                job.is_read = true;
                job.held = 0;
                step.read.push(job.id);
            }
        }
        let read: Vec<Prompt> = self
            .running
            .iter()
            .filter(|job| step.read.contains(&job.id))
            .map(|job| job.prompt.clone())
            .collect();
        for prompt in read {
            self.cache_parts(&prompt.parts, now_ms);
        }
        self.running.retain(|job| job.unmade > 0);
        let spec = &self.spec;
        let time = spec.step_ms
            + decoding as f64 * spec.step_ms_per_slot
            + context as f64 / 1_000.0 * spec.context_ms_per_k
            + read_tokens as f64 / spec.prompt_tokens_per_ms;
        step.took_ms = time * self.slowness;
        step
    }

    /// Moves waiting requests to free slots while the memory holds them.
    fn admit(&mut self, now_ms: f64, is_known: &mut impl FnMut(u64) -> bool) {
        while self.running.len() < self.spec.slots as usize {
            let Some(job) = self.waiting.front() else {
                return;
            };
            let held: u64 = self.running.iter().map(|job| job.held + job.unread).sum();
            if held + job.unread > self.spec.memory_tokens && !self.running.is_empty() {
                return;
            }
            let Some(mut job) = self.waiting.pop_front() else {
                return;
            };
            let found = self.find(&job.prompt, now_ms);
            let known = known_tokens(&job.prompt, is_known);
            job.unread = job.prompt.input.get() - found;
            job.context = found;
            self.work.cached += found;
            self.work.read += job.unread;
            self.work.reread += known.saturating_sub(found);
            self.running.push(job);
        }
    }

    /// Returns the leading tokens of a prompt that are cached, and marks them as used.
    fn find(&mut self, prompt: &Prompt, now_ms: f64) -> u64 {
        let mut found = 0;
        for key in chain(prompt.shared()) {
            let Some(part) = self.cache.get_mut(&key) else {
                break;
            };
            part.1 = now_ms;
            found += part.0;
        }
        found
    }

    fn cache_parts(&mut self, parts: &[PromptPart], now_ms: f64) {
        let keys: Vec<u64> = chain(parts).collect();
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

/// Returns keys of the leading parts up to each of them.
fn chain(parts: &[PromptPart]) -> impl Iterator<Item = u64> + '_ {
    parts.iter().scan(0_u64, |key, part| {
        *key = key.rotate_left(7) ^ part.id.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        Some(*key)
    })
}

/// Returns the leading shared tokens that some engine has read before.
fn known_tokens(prompt: &Prompt, is_known: &mut impl FnMut(u64) -> bool) -> u64 {
    let mut known = 0;
    let mut is_leading = true;
    for (key, part) in chain(prompt.shared()).zip(prompt.shared()) {
        is_leading &= is_known(key);
        if is_leading {
            known += part.tokens.get();
        }
    }
    known
}
