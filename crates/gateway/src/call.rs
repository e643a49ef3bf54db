//! A decoded request of a caller.

pub use cyc_balance::prompt::{PartId, Prompt, PromptPart, PromptSize};
use cyc_types::Millis;
use smol_str::SmolStr;

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
