//! The text that the engine generates, which depends on prompt and position only.

use cyc_types::hash;
use serde::{Deserialize, Serialize};

/// What a prompt says before the number of tokens that it asks for.
const LENGTH_MARK: &str = "len=";
/// Bytes of one block of the prefix cache.
pub const BLOCK_BYTES: usize = 64;

/// One message of a chat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Who speaks, for example `user`.
    pub role: String,
    /// The text.
    pub content: String,
}

/// Returns the prompt of a chat: the contents of its messages, one to a line.
pub fn prompt_of(messages: &[Message]) -> String {
    let contents: Vec<&str> = messages.iter().map(|m| m.content.as_str()).collect();
    contents.join("\n")
}

/// Returns the hash that the text of the answer is derived from.
pub fn prompt_hash(prompt: &str) -> u64 {
    hash::stable(prompt.as_bytes())
}

/// Returns the token at `position` (from 0) of the answer to a prompt: a word and a space.
pub fn token_text(prompt_hash: u64, position: u64) -> String {
    let mut buf = [0; 16];
    buf[..8].copy_from_slice(&prompt_hash.to_be_bytes());
    buf[8..].copy_from_slice(&position.to_be_bytes());
    format!("w{:08x} ", hash::stable(&buf) as u32)
}

/// Returns the first `tokens` tokens of the answer to `prompt`.
pub fn expected_text(prompt: &str, tokens: u64) -> String {
    let hash = prompt_hash(prompt);
    (0..tokens)
        .map(|position| token_text(hash, position))
        .collect()
}

/// Returns the number of tokens that a prompt asks for with `len=`, if it does.
pub fn wanted_tokens(prompt: &str) -> Option<u64> {
    let (_, rest) = prompt.split_once(LENGTH_MARK)?;
    let digits = rest.split(|c: char| !c.is_ascii_digit()).next()?;
    digits.parse().ok()
}

/// Returns the number of tokens of a prompt: its words.
pub fn prompt_tokens(prompt: &str) -> u64 {
    prompt.split_whitespace().count() as u64
}

/// Returns the hashes of the prompt's prefixes that end at a block's end, shortest first.
pub fn prefix_hashes(prompt: &str) -> Vec<u64> {
    let blocks = prompt.len() / BLOCK_BYTES;
    (1..=blocks)
        .map(|block| hash::stable(&prompt.as_bytes()[..block * BLOCK_BYTES]))
        .collect()
}
