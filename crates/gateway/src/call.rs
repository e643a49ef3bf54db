//! A decoded request of a caller.

use cyc_types::{Millis, Tokens};
use smol_str::SmolStr;

/// A part of a prompt. Requests with equal leading parts share the prefix cache of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash of the part's content.
    pub id: u64,
    /// Size of the part.
    pub tokens: Tokens,
}

/// Token counts and parts of a generation request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Size of the whole prompt.
    pub input: Tokens,
    /// Maximum number of output tokens.
    pub max_output: Tokens,
    /// The parts in order. The last one is private to the request or its session.
    pub parts: Vec<PromptPart>,
}

impl Prompt {
    /// Maximum cost of the request.
    pub fn max_cost(&self) -> Tokens {
        self.input + self.max_output
    }

    /// The parts that other requests may have in common.
    pub fn shared(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }
}

/// Decoded fields of a request's head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// The caller's id of this attempt; never reused.
    pub id: SmolStr,
    /// How long the caller waits, counted from the arrival of the request.
    pub timeout: Option<Millis>,
    /// The caller's API key.
    pub key: Option<SmolStr>,
    /// The prompt, for generation requests.
    pub prompt: Option<Prompt>,
    /// Id of the event after which the caller resumes a stream.
    pub resume_after: Option<u64>,
}
