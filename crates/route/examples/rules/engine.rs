//! A simulated engine with a bounded batch and a bounded LRU cache of prompt blocks.

use std::collections::{BTreeMap, HashMap, VecDeque};

/// Requests that one engine runs at a time.
const SLOTS: usize = 8;
/// Blocks that the cache of one engine holds.
const CACHE_BLOCKS: usize = 400;
/// Prefill time of one block that is not cached.
pub const BLOCK_MS: u64 = 10;
/// Time from the start of a request to its first token if all blocks are cached.
const BASE_MS: u64 = 20;

/// One simulated request.
#[derive(Debug, Clone)]
pub struct Job {
    pub arrived_ms: u64,
    pub entry: usize,
    pub blocks: Vec<u64>,
    /// Time from the first to the last token.
    pub decode_ms: u64,
}

/// A job that has been started in a free slot.
pub struct Started {
    pub job: Job,
    /// Leading blocks found in the cache.
    pub hits: usize,
    pub first_token_ms: u64,
}

#[derive(Default)]
pub struct Engine {
    running: usize,
    queue: VecDeque<Job>,
    /// When the started prefills are complete; prefills run one at a time.
    prefill_free_at: u64,
    /// The cached blocks, each with the number of its last use.
    cached: HashMap<u64, u64>,
    /// The inverse of `cached`, to find the least recently used block.
    blocks_by_use: BTreeMap<u64, u64>,
    uses: u64,
}

impl Engine {
    /// Numbers of running and of queued jobs.
    pub fn load(&self) -> (u32, u32) {
        (self.running as u32, self.queue.len() as u32)
    }

    pub fn push(&mut self, job: Job) {
        self.queue.push_back(job);
    }

    pub fn finish(&mut self) {
        self.running -= 1;
    }

    /// Starts the next job if a slot is free.
    pub fn start(&mut self, now: u64) -> Option<Started> {
        if self.running == SLOTS {
            return None;
        }
        let job = self.queue.pop_front()?;
        self.running += 1;
        let cached_prefix = job
            .blocks
            .iter()
            .take_while(|block| self.cached.contains_key(block));
        let hits = cached_prefix.count();
        let prefill_ms = BASE_MS + (job.blocks.len() - hits) as u64 * BLOCK_MS;
        let first_token_ms = now.max(self.prefill_free_at) + prefill_ms;
        self.prefill_free_at = first_token_ms;
        job.blocks.iter().for_each(|block| self.touch_block(*block));
        Some(Started {
            job,
            hits,
            first_token_ms,
        })
    }

    fn touch_block(&mut self, block: u64) {
        self.uses += 1;
        if let Some(last) = self.cached.insert(block, self.uses) {
            self.blocks_by_use.remove(&last);
        }
        self.blocks_by_use.insert(self.uses, block);
        if self.cached.len() > CACHE_BLOCKS
            && let Some((_, oldest)) = self.blocks_by_use.pop_first()
        {
            self.cached.remove(&oldest);
        }
    }
}
