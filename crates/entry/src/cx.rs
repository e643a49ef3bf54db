//! What the filters know of one request.

use cyc_budget::Reservation;
use cyc_proto::sidecar::{RouteClass, Work};
use cyc_route::pool::Permit;
use cyc_types::{
    BudgetId, ClientAccountId, IdempotencyKey, Millis, ModelId, RequestId, ServiceId, Tokens,
};
use smol_str::SmolStr;

use crate::forward::Events;

/// Who calls, as the API key says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Caller {
    /// The client account.
    pub account: ClientAccountId,
    /// The budget that pays.
    pub budget: BudgetId,
}

/// What the caller wants, as the API read it.
#[derive(Debug, Clone)]
pub struct Ask {
    /// The service.
    pub service: ServiceId,
    /// The model, for a chat.
    pub model: Option<ModelId>,
    /// The class of the route.
    pub class: RouteClass,
    /// True if the configuration says that the route may be run more than once.
    pub idempotent: bool,
    /// True if a look-up may be sent to a second target while the first is slow.
    pub hedge: bool,
    /// Attempts that may reach a target, if the route is idempotent.
    pub max_attempts: u32,
    /// The worst case in tokens.
    pub worst: Tokens,
    /// The key of the candidates where nothing has to meet: of the prompt, or of the path.
    pub key: u64,
    /// Hashes of the prompt's prefixes.
    pub prefixes: Vec<u64>,
    /// Hash of everything that the target is given.
    pub fingerprint: u64,
    /// What the target does.
    pub work: Work,
}

/// What the caller's headers say, before they are checked.
#[derive(Debug, Clone, Default)]
pub struct Headers {
    /// The API key.
    pub api_key: Option<String>,
    /// `Idempotency-Key`.
    pub key: Option<String>,
    /// `X-Deadline-Ms`.
    pub deadline: Option<String>,
}

/// One request on its way through the chain.
#[derive(Debug)]
pub struct Cx {
    /// What the headers say.
    pub headers: Headers,
    /// What is asked.
    pub ask: Ask,
    /// When the caller gives up, by this process's clock.
    pub until: Millis,
    /// The request's identity. Random until a key is read.
    pub request: RequestId,
    /// The idempotency key, once read.
    pub key: Option<IdempotencyKey>,
    /// Set by the filter `identify`.
    pub caller: Option<Caller>,
    /// Set by the filter `admit`.
    pub permit: Option<Permit>,
    /// Set by the filter `reserve`.
    pub reservation: Option<Reservation>,
    /// Set by the filter `forward`.
    pub events: Option<Events>,
}

impl Cx {
    /// Creates the context of a request that has just come in.
    pub fn new(headers: Headers, ask: Ask) -> Self {
        Self {
            headers,
            ask,
            until: Millis::ZERO,
            request: RequestId::random(),
            key: None,
            caller: None,
            permit: None,
            reservation: None,
            events: None,
        }
    }

    /// Returns the account for logs; `-` before it is known.
    pub fn account_name(&self) -> SmolStr {
        match &self.caller {
            Some(caller) => caller.account.as_str().into(),
            None => "-".into(),
        }
    }
}
