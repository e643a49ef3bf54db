//! Processing of a caller's request from its head to the head of its response.

use std::{cell::RefCell, rc::Rc};

use bytes::Bytes;
use cadence::{CountedExt as _, Timed as _};
use cyc_types::{ClientAccountId, ErrorKind, Millis, Refusal, Tokens};
use http::{Request, Response, StatusCode, request};
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::body::Incoming;
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::{
    answer::{self, Reply},
    call::Call,
    config::{Account, Configuration, Route},
    port::Wire,
    share::{Reservation, Role, Short},
    state::State,
    stream,
};

mod attempt;

pub use attempt::{Attempts, MAX_CONNECTS, Opened, RETRY_AFTER_TARGET};

/// Divisor of the objective: how long a request may wait for tokens. A quick refusal serves callers
/// better than a longer wait.
const SHARE_WAIT_PART: u64 = 8;
/// A draw usually takes less than this; after it, other entries are asked for a loan.
const DRAW_USUAL: Millis = Millis::new(30);
/// Base of `Retry-After`; a random part of up to the same length is added so that refused callers
/// do not return together.
const RETRY_AFTER: Millis = Millis::new(400);
/// Base of `Retry-After` while the store is unreachable and no tokens can be drawn: outages last
/// seconds.
const RETRY_AFTER_OUTAGE: Millis = Millis::new(1_500);
/// Base of `Retry-After` during shutdown: the next attempt of the caller reaches another entry.
const RETRY_AFTER_STOP: Millis = Millis::new(50);
/// Base of `Retry-After` while no configuration is loaded: startup takes about a second.
const RETRY_AFTER_START: Millis = Millis::new(800);

/// Returns `base` plus random jitter of up to the same length.
pub fn retry_after(base: Millis) -> Millis {
    Millis::new(base.get() + rand::random_range(0..=base.get()))
}

/// Fields of the log line of one request.
#[derive(Debug, Default)]
pub struct Trace {
    /// The caller's id of the attempt.
    pub id: SmolStr,
    /// Name of the route.
    pub route: SmolStr,
    /// The account that pays.
    pub account: SmolStr,
    /// Revision of the configuration that applied.
    pub revision: u64,
    /// The last target that the request was sent to.
    pub target: SmolStr,
    /// Number of targets that the request was sent to.
    pub sends: u32,
    /// Estimated time until the target has prefilled the prompt, in ms.
    pub estimate: u64,
    /// Time from arrival to the first bytes of the response, in ms.
    pub first: u64,
    /// Tokens charged to the account.
    pub billed: u64,
}

/// Writes the log line and metrics of a finished request.
pub fn log_end<W>(
    state: &State<W>,
    trace: &Trace,
    arrived: Millis,
    status: StatusCode,
    outcome: &str,
    detail: &str,
) {
    let took = state.now().saturating_sub(arrived);
    spdlog::info!("request", kv: {
        id = trace.id.as_str(),
        route = trace.route.as_str(),
        account = trace.account.as_str(),
        revision = trace.revision,
        target = trace.target.as_str(),
        sends = trace.sends,
        estimate_ms = trace.estimate,
        first_ms = trace.first,
        billed = trace.billed,
        took_ms = took.get(),
        status = status.as_u16(),
        outcome = outcome,
        detail = detail,
    });
    let name = format!("{}{outcome}", cyc_obs::names::REQUESTS);
    state.metrics.incr(&name).ok();
    let name = format!("{}{}", cyc_obs::names::ANSWER, outcome);
    state.metrics.time(&name, took.get()).ok();
}

/// A request that passed all checks.
pub struct Accepted {
    /// The request head.
    pub head: request::Parts,
    /// The complete body.
    pub body: Bytes,
    /// Decoded fields of the head.
    pub call: Call,
    /// The matching route.
    pub route: std::sync::Arc<Route>,
    /// The account that pays, if any.
    pub account: Option<std::sync::Arc<Account>>,
    /// The configuration that applies until the request ends.
    pub config: Rc<Configuration>,
    /// When the request arrived.
    pub arrived: Millis,
    /// Deadline of the response.
    pub limit: Instant,
}

impl Accepted {
    /// Returns the priority for targets; 0 is the most urgent.
    pub fn urgency(&self) -> u8 {
        let of_account = self.account.as_ref().and_then(|account| account.priority);
        of_account.unwrap_or(self.route.priority)
    }

    /// Time left until the deadline.
    pub fn left(&self) -> Millis {
        let left = self.limit.saturating_duration_since(Instant::now());
        Millis::new(left.as_millis() as u64)
    }
}

/// The tokens of one request; charges the used ones to the account on drop.
pub struct Bill<W> {
    state: Rc<State<W>>,
    _flight: Flight<W>,
    reservation: Option<Reservation>,
    input: Tokens,
    per_event: u64,
    /// The request runs, has run or may have run.
    has_run: bool,
    /// Events delivered to the caller.
    pub events: u64,
}

impl<W> Bill<W> {
    /// Sets whether the request runs or has run, and returns the previous value.
    pub fn set_run(&mut self, has_run: bool) -> bool {
        let before = std::mem::replace(&mut self.has_run, has_run);
        if let Some(reservation) = self.reservation.as_ref().filter(|_| before != has_run) {
            let mut wallet = self.state.wallet.borrow_mut();
            wallet.set_running(reservation, self.input, has_run);
        }
        before
    }

    /// Tokens used so far, at most the reserved ones.
    pub fn used(&self) -> Tokens {
        let reserved = self
            .reservation
            .as_ref()
            .map(|reservation| reservation.tokens);
        let used = match self.has_run {
            true => self.input + Tokens::new(self.events * self.per_event),
            false => Tokens::ZERO,
        };
        used.min(reserved.unwrap_or_default())
    }
}

impl<W> Drop for Bill<W> {
    fn drop(&mut self) {
        let used = self.used();
        self.set_run(false);
        let Some(reservation) = &self.reservation else {
            return;
        };
        let now = self.state.now();
        let mut wallet = self.state.wallet.borrow_mut();
        wallet.settle(reservation, used, now);
        drop(wallet);
        self.state.wallet_changed.notify_waiters();
    }
}

/// Serves one request of a caller.
pub async fn serve<W: Wire>(state: Rc<State<W>>, req: Request<Incoming>) -> Response<Reply> {
    let arrived = state.now();
    let trace = RefCell::new(Trace::default());
    let _flight = Flight::new(&state);
    match answer(&state, req, arrived, &trace).await {
        Ok(response) => response,
        Err(refusal) => {
            let response = answer::response(&refusal);
            let outcome = refusal.kind.to_string();
            log_end(
                &state,
                &trace.borrow(),
                arrived,
                response.status(),
                &outcome,
                &refusal.detail,
            );
            response
        }
    }
}

/// Counts a request as in flight until dropped.
struct Flight<W>(Rc<State<W>>);

impl<W> Flight<W> {
    fn new(state: &Rc<State<W>>) -> Self {
        state.in_flight.set(state.in_flight.get() + 1);
        Self(state.clone())
    }
}

impl<W> Drop for Flight<W> {
    fn drop(&mut self) {
        let count = &self.0.in_flight;
        count.set(count.get().saturating_sub(1));
    }
}

async fn answer<W: Wire>(
    state: &Rc<State<W>>,
    req: Request<Incoming>,
    arrived: Millis,
    trace: &RefCell<Trace>,
) -> Result<Response<Reply>, Refusal> {
    let (head, body) = req.into_parts();
    let accepted = accept(state, head, arrived, trace)?;
    let accepted = read_body(accepted, body).await?;
    let bill = reserve(state, &accepted).await?;
    let mut attempts = Attempts::new(state.clone(), accepted, bill);
    let opened = attempts.open(None).await;
    attempts.note(&mut trace.borrow_mut());
    let opened = opened?;
    let mut line = trace.take();
    let response = stream::respond(attempts, opened, &mut line).await;
    trace.replace(line);
    response
}

/// Checks the head: configuration, route, API key, and the fields that later decisions need.
fn accept<W: Wire>(
    state: &State<W>,
    head: request::Parts,
    arrived: Millis,
    trace: &RefCell<Trace>,
) -> Result<Accepted, Refusal> {
    let decoded = state.wire.decode_call(&head);
    let mut trace = trace.borrow_mut();
    if let Ok(call) = &decoded {
        trace.id = call.id.clone();
    }
    let config = state.config.borrow().clone().ok_or_else(|| {
        Refusal::new(ErrorKind::NotConfigured, "no configuration was read yet")
            .with_retry_after(retry_after(RETRY_AFTER_START))
    })?;
    trace.revision = config.revision.get();
    let host = head.headers.get(http::header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
    let route = config.route(host, head.uri.path());
    let route = route.map_err(|kind| Refusal::new(kind, head.uri.path()))?;
    trace.route = route.name.clone();
    let call = decoded.map_err(|bad| {
        let detail = format!("{}: `{}`", bad.field, bad.value);
        Refusal::new(ErrorKind::BadRequest, detail)
    })?;
    let account = config.account(route, call.key.as_deref());
    let account = account.map_err(|kind| Refusal::new(kind, "the API key is not known"))?;
    if let Some(account) = account {
        trace.account = account.id.as_str().into();
    }
    let patience = call.patience.unwrap_or(route.timeout).min(route.timeout);
    let stop = *state.stopping.borrow();
    if stop.is_some_and(|stop| !stop.admits(arrived, patience)) {
        let detail = "this entry stops before the answer could end";
        return Err(Refusal::new(ErrorKind::Draining, detail)
            .with_retry_after(retry_after(RETRY_AFTER_STOP)));
    }
    Ok(Accepted {
        route: route.clone(),
        account: account.cloned(),
        limit: Instant::now() + patience.duration(),
        body: Bytes::new(),
        head,
        call,
        config,
        arrived,
    })
}

async fn read_body(mut accepted: Accepted, body: Incoming) -> Result<Accepted, Refusal> {
    let most = accepted.config.limits.body_bytes.get() as usize;
    let read = Limited::new(body, most).collect();
    match tokio::time::timeout_at(accepted.limit, read).await {
        Ok(Ok(body)) => {
            accepted.body = body.to_bytes();
            Ok(accepted)
        }
        Ok(Err(error)) if error.downcast_ref::<LengthLimitError>().is_some() => {
            let detail = format!("the body is longer than {most} bytes");
            Err(Refusal::new(ErrorKind::TooLarge, detail))
        }
        Ok(Err(error)) => Err(Refusal::new(ErrorKind::BadRequest, error.to_string())),
        Err(_) => Err(Refusal::new(
            ErrorKind::DeadlineBeforeStart,
            "the body did not arrive in time",
        )),
    }
}

/// Reserves the maximum cost of the request, waiting briefly for a draw or a loan.
async fn reserve<W>(state: &Rc<State<W>>, accepted: &Accepted) -> Result<Bill<W>, Refusal> {
    let per_event = accepted.route.splits.first().and_then(|split| {
        let service = accepted.config.service(&split.service)?;
        Some(u64::from(service.tokens_per_event))
    });
    let prompt = accepted.call.prompt.as_ref();
    let mut bill = Bill {
        state: state.clone(),
        _flight: Flight::new(state),
        reservation: None,
        input: prompt.map_or(Tokens::ZERO, |prompt| prompt.input),
        per_event: per_event.unwrap_or(1),
        has_run: false,
        events: 0,
    };
    let payer = accepted.account.as_ref().zip(prompt);
    let Some((account, prompt)) = payer.filter(|(account, _)| account.prepaid.is_some()) else {
        return Ok(bill);
    };
    let worst = prompt.worst();
    let first = state
        .wallet
        .borrow_mut()
        .reserve(&account.id, worst, state.now());
    bill.reservation = Some(match first {
        Ok(reservation) => reservation,
        Err(Short::Exhausted) => return Err(short(Short::Exhausted, &account.id, worst, 0)),
        Err(_) => wait_for_tokens(state, accepted, &account.id, worst).await?,
    });
    Ok(bill)
}

/// Registers a request that waits for tokens until dropped.
struct Want<'a, W> {
    state: &'a State<W>,
    account: &'a ClientAccountId,
    worst: Tokens,
}

impl<W> Drop for Want<'_, W> {
    fn drop(&mut self) {
        let mut wallet = self.state.wallet.borrow_mut();
        wallet.unwant(self.account, self.worst);
    }
}

async fn wait_for_tokens<W>(
    state: &State<W>,
    accepted: &Accepted,
    account: &ClientAccountId,
    worst: Tokens,
) -> Result<Reservation, Refusal> {
    state.wallet.borrow_mut().want(account, worst);
    let _want = Want {
        state,
        account,
        worst,
    };
    let wait = Millis::new(accepted.route.objective.get() / SHARE_WAIT_PART);
    let until = (Instant::now() + wait.duration()).min(accepted.limit);
    let patient = (Instant::now() + DRAW_USUAL.duration()).min(until);
    loop {
        let changed = state.wallet_changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        let tried = state
            .wallet
            .borrow_mut()
            .reserve(account, worst, state.now());
        let reason = match tried {
            Ok(reservation) => return Ok(reservation),
            Err(Short::Exhausted) => return Err(short(Short::Exhausted, account, worst, 0)),
            Err(reason) => reason,
        };
        state.draw_wanted.notify_one();
        let failures = state.shares_failures.get();
        let is_guest = state.role(account) == Role::Guest;
        if is_guest || reason == Short::Elsewhere || failures > 0 || Instant::now() >= patient {
            state.loan_wanted.notify_one();
        }
        let next = if Instant::now() < patient {
            patient
        } else {
            until
        };
        if tokio::time::timeout_at(next, changed).await.is_err() && Instant::now() >= until {
            return Err(short(reason, account, worst, failures));
        }
    }
}

fn short(reason: Short, account: &ClientAccountId, worst: Tokens, failures: u32) -> Refusal {
    let detail = format!("{worst} tokens of {account}: {reason:?}, store calls failed: {failures}");
    let base = match failures {
        0 => RETRY_AFTER,
        _ => RETRY_AFTER_OUTAGE,
    };
    match reason {
        Short::Exhausted => Refusal::new(ErrorKind::BudgetExhausted, detail),
        Short::Drawable | Short::Elsewhere | Short::Unknown => {
            Refusal::new(ErrorKind::BudgetUnreachable, detail).with_retry_after(retry_after(base))
        }
    }
}
