//! A decoded request of a caller.

pub use cyc_balance::prompt::{PartId, Prompt, PromptPart, PromptSize};
use cyc_types::{ClientAccountId, Millis, Tokens, hash};
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

/// What identifies a request that comes again: equal for requests with the same method, host, path,
/// caller and body, in all processes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct RequestDigest(u64);

impl RequestDigest {
    /// The digest of a request. The caller is known by its account, or else by its API key.
    pub fn new(
        head: &http::request::Parts,
        account: Option<&ClientAccountId>,
        key: Option<&str>,
        body: &[u8],
    ) -> Self {
        let host = head.headers.get(http::header::HOST);
        let host = host.map_or(&b""[..], |host| host.as_bytes());
        let path = head.uri.path_and_query().map_or("", |path| path.as_str());
        let caller = account.map_or(key, |account| Some(account.as_str()));
        let fields = [
            head.method.as_str().as_bytes(),
            host,
            path.as_bytes(),
            caller.unwrap_or_default().as_bytes(),
            body,
        ];
        let digests = fields.map(hash::stable);
        Self(digests.into_iter().fold(0, hash::combine))
    }
}

impl RequestDigest {
    /// The request as a suspect of a crash, beside the parts of its prompt.
    pub fn part(self) -> PromptPart {
        PromptPart {
            id: PartId::new(self.0),
            tokens: Tokens::ZERO,
        }
    }
}

impl std::fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:x}", self.0)
    }
}
