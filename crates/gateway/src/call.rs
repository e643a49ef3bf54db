//! A caller's request, decoded from the wire.

use cyc_types::{Millis, Tokens};
use smol_str::SmolStr;

/// One part of a prompt. Requests with equal leading parts share cached work at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// The identity of the part's content.
    pub id: u64,
    /// Its size.
    pub tokens: Tokens,
}

/// The token counts and the parts of a generation.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Size of the whole prompt.
    pub input: Tokens,
    /// The most tokens that the answer may have.
    pub max_output: Tokens,
    /// The parts in order. The last one belongs to this request or its session alone.
    pub parts: Vec<PromptPart>,
}

impl Prompt {
    /// Returns what the request can cost at most.
    pub fn worst(&self) -> Tokens {
        self.input + self.max_output
    }

    /// Returns the parts that other requests may share.
    pub fn shared(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }
}

/// What the head of a request says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// The caller's id of this attempt; never used twice.
    pub id: SmolStr,
    /// How long the caller waits from the arrival of the request.
    pub patience: Option<Millis>,
    /// The API key.
    pub key: Option<SmolStr>,
    /// The prompt, for generations.
    pub prompt: Option<Prompt>,
    /// The caller continues a stream after this event.
    pub resume_after: Option<u64>,
}
