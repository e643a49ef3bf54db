//! The request context that is passed through the filter chain.

use cyc_budget::Reservation;
use cyc_proto::sidecar::{RouteClass, Work};
use cyc_route::pool::Permit;
use cyc_types::{
    BudgetId, ClientAccountId, IdempotencyKey, Millis, ModelId, RequestId, ServiceId, Tokens,
};
use smol_str::SmolStr;

use crate::forward::Frames;

/// The owner of the API key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Caller {
    /// The client account.
    pub account: ClientAccountId,
    /// The budget that is charged.
    pub budget: BudgetId,
}

/// The operation that the caller requests, as parsed by the API.
#[derive(Debug, Clone)]
pub struct RequestSpec {
    /// The service.
    pub service: ServiceId,
    /// The model, for a chat.
    pub model: Option<ModelId>,
    /// The route class, which selects the concurrency pool.
    pub class: RouteClass,
    /// True if the configuration allows the route to run more than once for a request.
    pub idempotent: bool,
    /// True if the call may be sent to a second target while the first is slow.
    pub hedge: bool,
    /// Maximum number of attempts that ran or may have run.
    pub max_attempts: u32,
    /// The largest number of tokens that the request may use.
    pub worst_case: Tokens,
    /// Rendezvous key of an idempotent request: a hash of the start of the prompt or of the path.
    /// Any other request has the key of its claim bucket.
    pub candidate_key: u64,
    /// Hashes of the prompt's prefixes.
    pub prefixes: Vec<u64>,
    /// Hash of the work, to tell a retry from another request under the same idempotency key.
    pub fingerprint: u64,
    /// What is sent to the target.
    pub work: Work,
}

/// The caller's headers, before they are validated.
#[derive(Debug, Clone, Default)]
pub struct Headers {
    /// The bearer token of `Authorization`.
    pub api_key: Option<String>,
    /// The value of `Idempotency-Key`.
    pub idempotency_key: Option<String>,
    /// The value of `X-Deadline-Ms`.
    pub deadline: Option<String>,
}

/// The state of one request in the filter chain.
#[derive(Debug)]
pub struct Cx {
    /// The headers that the filters validate.
    pub headers: Headers,
    /// The operation to perform.
    pub spec: RequestSpec,
    /// The caller's deadline, by the clock of this process. Zero until the filter `deadline` has
    /// run.
    pub deadline: Millis,
    /// The request id. Random unless the filter `key` derives it from the idempotency key.
    pub request: RequestId,
    /// Set by the filter `key` if the caller sent an idempotency key.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Set by the filter `identify`.
    pub caller: Option<Caller>,
    /// Set by the filter `admit`.
    pub permit: Option<Permit>,
    /// Set by the filter `reserve`.
    pub reservation: Option<Reservation>,
    /// Set by the filter `forward`.
    pub frames: Option<Frames>,
}

impl Cx {
    /// Creates the context of a new request.
    pub fn new(headers: Headers, spec: RequestSpec) -> Self {
        Self {
            headers,
            spec,
            deadline: Millis::ZERO,
            request: RequestId::random(),
            idempotency_key: None,
            caller: None,
            permit: None,
            reservation: None,
            frames: None,
        }
    }

    /// Returns the client account for logs; `-` before it is known.
    pub fn account_name(&self) -> SmolStr {
        match &self.caller {
            Some(caller) => caller.account.as_str().into(),
            None => "-".into(),
        }
    }
}
