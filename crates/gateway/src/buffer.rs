//! Memory for answers that are held until they are complete.
//!
//! A target in trouble may send a body that never ends. One such body is cut off at the largest size of
//! an answer, but many at a time would take the memory of the process. Once they take their share
//! together, those that are larger than a usual answer are cut off.

use std::{cell::Cell, rc::Rc};

use cyc_types::ByteSize;

/// Part of the memory of the process that incomplete answers take together.
const MEMORY_DIVISOR: u64 = 8;
/// Their share if the memory of the process is not known.
pub const DEFAULT_SHARE: ByteSize = ByteSize::new(32 * 1024 * 1024);
/// An answer up to this size is completed in any case: the share is for those that are larger than the
/// answers of services are.
pub const USUAL_ANSWER: ByteSize = ByteSize::new(64 * 1024);

/// The share of an entry and what is used of it.
#[derive(Debug, Clone)]
pub struct AnswerMemory {
    share: ByteSize,
    used: Rc<Cell<u64>>,
}

impl AnswerMemory {
    /// Creates the share of a process that may take `memory`, if that is known.
    pub fn new(memory: Option<ByteSize>) -> Self {
        let share = memory.map(|memory| ByteSize::new(memory.get() / MEMORY_DIVISOR));
        Self {
            share: share.unwrap_or(DEFAULT_SHARE),
            used: Rc::default(),
        }
    }

    /// What incomplete answers take at the moment.
    pub fn used(&self) -> ByteSize {
        ByteSize::new(self.used.get())
    }

    /// Starts an answer that takes nothing yet.
    pub fn start(&self) -> AnswerBuffer {
        AnswerBuffer {
            memory: self.clone(),
            size: 0,
        }
    }
}

/// What one incomplete answer takes, until dropped.
#[derive(Debug)]
pub struct AnswerBuffer {
    memory: AnswerMemory,
    size: u64,
}

impl AnswerBuffer {
    /// Takes memory for further bytes. Returns false, and takes none, if the answer has to be cut off.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let bytes = bytes as u64;
        let used = &self.memory.used;
        let is_usual = self.size + bytes <= USUAL_ANSWER.get();
        if !is_usual && used.get() + bytes > self.memory.share.get() {
            return false;
        }
        used.set(used.get() + bytes);
        self.size += bytes;
        true
    }
}

impl Drop for AnswerBuffer {
    fn drop(&mut self) {
        let used = &self.memory.used;
        used.set(used.get().saturating_sub(self.size));
    }
}
