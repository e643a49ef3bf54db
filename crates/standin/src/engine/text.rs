//! Deterministic generation: the text of a token depends only on the prompt and its position.

use cyc_types::hash;
use serde::{Deserialize, Serialize};

/// Precedes, within a prompt, the number of tokens that the prompt requests.
const LENGTH_PREFIX: &str = "len=";
/// Size of a block of the prefix cache.
pub const BLOCK_BYTES: usize = 64;

/// One message of a chat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The role of the author, for example `user`.
    pub role: String,
    /// The text of the message.
    pub content: String,
}

/// The prompt of a chat: the contents of its messages, joined by newlines.
pub fn chat_prompt(messages: &[Message]) -> String {
    let contents: Vec<&str> = messages.iter().map(|m| m.content.as_str()).collect();
    contents.join("\n")
}

/// The hash from which the text of the answer is derived.
pub fn prompt_hash(prompt: &str) -> u64 {
    hash::stable(prompt.as_bytes())
}

/// The token at `position` (from 0) of the answer to a prompt: a word followed by a space.
pub fn token_text(prompt_hash: u64, position: u64) -> String {
    let mut buf = [0; 16];
    buf[..8].copy_from_slice(&prompt_hash.to_be_bytes());
    buf[8..].copy_from_slice(&position.to_be_bytes());
    format!("w{:08x} ", hash::stable(&buf) as u32)
}

/// The first `tokens` tokens of the answer to `prompt`.
pub fn expected_text(prompt: &str, tokens: u64) -> String {
    let hash = prompt_hash(prompt);
    (0..tokens)
        .map(|position| token_text(hash, position))
        .collect()
}

/// The number of tokens that a prompt requests with `len=`, or `None` if it requests none.
pub fn requested_tokens(prompt: &str) -> Option<u64> {
    let (_, rest) = prompt.split_once(LENGTH_PREFIX)?;
    let digits = rest.split(|c: char| !c.is_ascii_digit()).next()?;
    digits.parse().ok()
}

/// The number of tokens of a prompt, counted as whitespace-separated words.
pub fn prompt_tokens(prompt: &str) -> u64 {
    prompt.split_whitespace().count() as u64
}

/// The hashes of the prefixes of the prompt that end at a block boundary, shortest first.
pub fn prefix_hashes(prompt: &str) -> Vec<u64> {
    let blocks = prompt.len() / BLOCK_BYTES;
    (1..=blocks)
        .map(|block| hash::stable(&prompt.as_bytes()[..block * BLOCK_BYTES]))
        .collect()
}
