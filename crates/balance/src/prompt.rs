//! Prompts of generation requests.

use std::{fmt, num::ParseIntError, str::FromStr};

use cyc_types::Tokens;
use serde::{Deserialize, Serialize};

/// Hash of the content of a prompt part. Text form: hexadecimal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PartId(u64);

impl PartId {
    /// Creates an id from the hash.
    pub const fn new(hash: u64) -> Self {
        Self(hash)
    }

    /// The hash.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl FromStr for PartId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// A part of a prompt. Requests with equal leading parts share the prefix cache of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the part.
    pub id: PartId,
    /// Size of the part.
    pub tokens: Tokens,
}

/// Token counts of a generation request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PromptSize {
    /// Size of the whole prompt.
    pub input: Tokens,
    /// Maximum number of output tokens.
    pub max_output: Tokens,
}

impl PromptSize {
    /// Tokens that the request may hold in the memory of a target.
    pub fn total(self) -> Tokens {
        self.input + self.max_output
    }
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

    /// The token counts.
    pub fn size(&self) -> PromptSize {
        PromptSize {
            input: self.input,
            max_output: self.max_output,
        }
    }

    /// The parts that other requests may have in common.
    pub fn shared(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }
}
