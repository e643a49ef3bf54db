//! Processing of a caller's request from its head to the head of its response.

use std::{cell::RefCell, rc::Rc};

use bytes::Bytes;
use cadence::{CountedExt as _, Timed as _};
use cyc_intake::Direction;
use cyc_types::{ClientAccountId, ErrorKind, Millis, Refusal, ServiceId, TargetId, Tokens};
use http::{Request, Response, StatusCode, request};
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::body::Incoming;
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::{
    answer::{self, ResponseBody},
    call::{Call, PartId, Prompt, PromptPart, RequestDigest},
    config::{Account, Configuration, Route},
    control::UnansweredPrompt,
    crash::Admission,
    member::TargetIncarnation,
    port::Protocol,
    prepaid::{DRAW_LOOKAHEAD, Reservation, Role, Shortage, WaiterId, last_tokens::Claim},
    state::State,
    stream,
};

mod attempt;

pub use attempt::{Attempts, MAX_CONNECTS, RETRY_AFTER_TARGET, TargetResponse, guarantees_not_run};

/// Divisor of the route's latency objective: how long a request may wait for tokens. A quick
/// refusal serves callers better than a longer wait.
const TOKEN_WAIT_DIVISOR: u64 = 8;
/// A draw usually takes less than this; after it, other entries are asked for a loan.
const TYPICAL_DRAW_TIME: Millis = Millis::new(30);
/// Base of `Retry-After`; a random part of up to the same length is added so that refused callers
/// do not return together.
const RETRY_AFTER: Millis = Millis::new(400);
/// The same while an account runs short: running requests end in about this time and leave what they
/// have not used.
const RETRY_AFTER_SHORT: Millis = Millis::new(1_000);
/// Expected length of an outage of the store, during which no tokens can be drawn. Callers are told
/// to return at its end.
const EXPECTED_OUTAGE: Millis = DRAW_LOOKAHEAD;
/// Minimum base of `Retry-After` while the store is unreachable.
const RETRY_AFTER_OUTAGE: Millis = Millis::new(1_500);
/// Minimum base of `Retry-After` for a prompt with a part that crashes targets.
const RETRY_AFTER_REFUSED_PROMPT: Millis = Millis::new(10_000);
/// Base of `Retry-After` during shutdown: the next attempt of the caller reaches another entry.
const RETRY_AFTER_SHUTDOWN: Millis = Millis::new(50);
/// Status in the log of a request whose caller disconnected before the response.
const CLIENT_CLOSED_REQUEST: u16 = 499;
/// Base of `Retry-After` while no configuration is loaded: startup takes about a second.
const RETRY_AFTER_STARTUP: Millis = Millis::new(800);

/// Returns `base` plus random jitter of up to the same length.
pub fn retry_after(base: Millis) -> Millis {
    Millis::new(base.get() + rand::random_range(0..=base.get()))
}

/// Fields of the log line of one request.
#[derive(Debug, Default)]
pub struct RequestLog {
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
    /// Estimated time until the target has prefilled the prompt.
    pub estimated_wait_ms: u64,
    /// Time from arrival to the first bytes of the response.
    pub first_byte_ms: u64,
    /// Tokens charged to the account.
    pub billed_tokens: u64,
}

/// Writes the log line and metrics of a finished request.
pub fn log_request_end<P>(
    state: &State<P>,
    log: &RequestLog,
    arrived: Millis,
    status: StatusCode,
    outcome: &str,
    detail: &str,
) {
    let took = state.now().saturating_sub(arrived);
    spdlog::info!("request_finished", kv: {
        id = log.id.as_str(),
        route = log.route.as_str(),
        account = log.account.as_str(),
        revision = log.revision,
        target = log.target.as_str(),
        sends = log.sends,
        estimated_wait_ms = log.estimated_wait_ms,
        first_byte_ms = log.first_byte_ms,
        billed_tokens = log.billed_tokens,
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

/// A request whose head passed all checks.
pub struct AdmittedRequest {
    /// The request head.
    pub head: request::Parts,
    /// The complete body; empty until it is read.
    pub body: Bytes,
    /// Identifies requests that are the same; known once the body is read.
    pub digest: RequestDigest,
    /// Decoded fields of the head.
    pub call: Call,
    /// The matching route.
    pub route: std::sync::Arc<Route>,
    /// The service of the route that serves the request, drawn once: tokens, connections and the retry
    /// budget are those of the service that answers.
    pub service: ServiceId,
    /// The account that pays, if any.
    pub account: Option<std::sync::Arc<Account>>,
    /// The configuration that applies until the request ends.
    pub config: Rc<Configuration>,
    /// When the request arrived.
    pub arrived: Millis,
    /// Deadline of the response.
    pub deadline: Instant,
    /// The prompt has a refused part, and one target may get it to find out whether it still crashes
    /// targets.
    pub is_probe: bool,
}

impl AdmittedRequest {
    /// Returns the priority for targets; 0 is the most urgent.
    pub fn urgency(&self) -> u8 {
        let of_account = self.account.as_ref().and_then(|account| account.priority);
        of_account.unwrap_or(self.route.priority)
    }

    /// Time left until the deadline.
    pub fn time_left(&self) -> Millis {
        let time_left = self.deadline.saturating_duration_since(Instant::now());
        Millis::new(time_left.as_millis() as u64)
    }
}

/// The tokens of one request; charges the used ones to the account on drop.
pub struct Bill<P> {
    state: Rc<State<P>>,
    _in_flight: InFlightGuard<P>,
    reservation: Option<Reservation>,
    input: Tokens,
    tokens_per_event: u64,
    /// The request runs, has run or may have run.
    has_run: bool,
    /// The caller got an answer, or a part of one.
    is_delivered: bool,
    /// Events relayed to the caller.
    events: u64,
    /// Targets that have run the request or may have.
    runs: usize,
    /// Those of them that broke off the answer.
    broken: Vec<TargetIncarnation>,
}

impl<P> Bill<P> {
    /// Records that a target may run the request from now on.
    pub fn start_run(&mut self) {
        self.runs += 1;
        self.set_has_run(true);
    }

    /// Records that the target of the last run has not run the request after all.
    pub fn cancel_run(&mut self) {
        self.runs = self.runs.saturating_sub(1);
        self.set_has_run(self.runs > 0);
    }

    /// Records that a target broke off the answer.
    pub fn record_broken(&mut self, target: &TargetId) {
        let fleet = self.state.fleet.borrow();
        let target = fleet.get(target).map(|target| target.record.incarnation());
        self.broken.extend(target);
    }

    /// Returns true if a target has broken off the request.
    pub fn has_broken(&self) -> bool {
        !self.broken.is_empty()
    }

    fn set_has_run(&mut self, has_run: bool) {
        let before = std::mem::replace(&mut self.has_run, has_run);
        if let Some(reservation) = self.reservation.as_ref().filter(|_| before != has_run) {
            let mut allocations = self.state.allocations.borrow_mut();
            allocations.set_running(reservation, self.input, has_run);
        }
    }

    /// Records that the caller gets an event of a stream.
    pub fn record_event(&mut self) {
        self.is_delivered = true;
        self.events += 1;
    }

    /// Records that the caller gets a whole answer of a target that ran the request, also an error.
    pub fn record_answer(&mut self) {
        self.is_delivered = true;
    }

    /// Tokens used so far, at most the reserved ones; zero without a reservation. The input counts once
    /// a target may have read it.
    pub fn used(&self) -> Tokens {
        let reserved = self
            .reservation
            .as_ref()
            .map(|reservation| reservation.tokens);
        let used = match self.is_delivered || self.has_run {
            true => self.input + Tokens::new(self.events * self.tokens_per_event),
            false => Tokens::ZERO,
        };
        used.min(reserved.unwrap_or_default())
    }
}

impl<P> Drop for Bill<P> {
    fn drop(&mut self) {
        // All targets that read the input have lost the answer; it is given back if they still run.
        let has_lost_answer = self.has_run && !self.is_delivered && self.broken.len() == self.runs;
        let used = self.used();
        self.set_has_run(false);
        let Some(reservation) = &self.reservation else {
            return;
        };
        let now = self.state.now();
        let mut allocations = self.state.allocations.borrow_mut();
        allocations.settle(reservation, used, now);
        drop(allocations);
        if has_lost_answer {
            let unanswered = UnansweredPrompt {
                account: reservation.account.clone(),
                input: used.min(reservation.tokens),
                targets: std::mem::take(&mut self.broken),
            };
            self.state.unanswered_prompts.borrow_mut().push(unanswered);
            self.state.answer_broken.notify_one();
        }
        self.state.allocations_changed.notify_waiters();
    }
}

/// Serves one request of a caller.
pub async fn serve<P: Protocol>(
    state: Rc<State<P>>,
    req: Request<Incoming>,
) -> Response<ResponseBody> {
    let arrived = state.now();
    let log = Rc::new(RefCell::new(RequestLog::default()));
    let _in_flight = InFlightGuard::new(&state);
    let mut unfinished = UnfinishedRequest {
        state: state.clone(),
        log: log.clone(),
        arrived,
        is_finished: false,
    };
    let result = handle(&state, req, arrived, &log).await;
    unfinished.is_finished = true;
    match result {
        Ok(response) => response,
        Err(refusal) => {
            let response = answer::response(&refusal);
            let outcome = refusal.kind.to_string();
            log_request_end(
                &state,
                &log.borrow(),
                arrived,
                response.status(),
                &outcome,
                &refusal.detail,
            );
            response
        }
    }
}

/// Logs a request whose caller disconnects before the head of its response.
struct UnfinishedRequest<P> {
    state: Rc<State<P>>,
    log: Rc<RefCell<RequestLog>>,
    arrived: Millis,
    is_finished: bool,
}

impl<P> Drop for UnfinishedRequest<P> {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        let status = StatusCode::from_u16(CLIENT_CLOSED_REQUEST).unwrap_or_default();
        log_request_end(
            &self.state,
            &self.log.borrow(),
            self.arrived,
            status,
            "caller_left",
            "before the response",
        );
    }
}

/// Counts a request as in flight until dropped.
struct InFlightGuard<P>(Rc<State<P>>);

impl<P> InFlightGuard<P> {
    fn new(state: &Rc<State<P>>) -> Self {
        state.in_flight.set(state.in_flight.get() + 1);
        Self(state.clone())
    }
}

impl<P> Drop for InFlightGuard<P> {
    fn drop(&mut self) {
        let count = &self.0.in_flight;
        count.set(count.get().saturating_sub(1));
    }
}

async fn handle<P: Protocol>(
    state: &Rc<State<P>>,
    req: Request<Incoming>,
    arrived: Millis,
    log: &Rc<RefCell<RequestLog>>,
) -> Result<Response<ResponseBody>, Refusal> {
    let (head, body) = req.into_parts();
    let request = admit(state, head, arrived, log)?;
    let mut request = read_body(request, body).await?;
    state.record_message(Direction::In, request.body.len());
    request.is_probe |= admit_suspects(state, &request.call, &[request.digest.part()])?;
    let bill = reserve(state, &request).await?;
    let mut attempts = Attempts::new(state.clone(), request, bill, log.clone());
    let response = attempts.next_response(None).await;
    attempts.update_log(&mut log.borrow_mut());
    let response = response?;
    let mut line = log.take();
    let response = stream::respond(attempts, response, &mut line).await;
    log.replace(line);
    response
}

/// Checks the head: the fields that later decisions need, route, API key, and whether a shutdown in
/// progress still admits the request.
fn admit<P: Protocol>(
    state: &State<P>,
    head: request::Parts,
    arrived: Millis,
    log: &RefCell<RequestLog>,
) -> Result<AdmittedRequest, Refusal> {
    let decoded = state.protocol.decode_call(&head);
    let mut log = log.borrow_mut();
    if let Ok(call) = &decoded {
        log.id = call.id.clone();
    }
    let config = state.config.borrow().clone().ok_or_else(|| {
        Refusal::new(ErrorKind::NotConfigured, "no configuration was read yet")
            .with_retry_after(retry_after(RETRY_AFTER_STARTUP))
    })?;
    log.revision = config.revision.get();
    let host = head.headers.get(http::header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
    let route = config.route(host, head.uri.path());
    let route = route.map_err(|kind| Refusal::new(kind, head.uri.path()))?;
    log.route = route.name.clone();
    let call = decoded.map_err(|bad| {
        let detail = format!("{}: `{}`", bad.field, bad.value);
        Refusal::new(ErrorKind::BadRequest, detail)
    })?;
    let account = config.account(route, call.key.as_deref());
    let account = account.map_err(|kind| Refusal::new(kind, "the API key is not known"))?;
    if let Some(account) = account {
        log.account = account.id.as_str().into();
    }
    let time_limit = call.timeout.unwrap_or(route.timeout).min(route.timeout);
    let shutdown = *state.stopping.borrow();
    if shutdown.is_some_and(|shutdown| !shutdown.admits(arrived, time_limit)) {
        let detail = "this entry stops before the answer could end";
        return Err(Refusal::new(ErrorKind::Draining, detail)
            .with_retry_after(retry_after(RETRY_AFTER_SHUTDOWN)));
    }
    state.admit_load(&head, route, account.map(|account| &**account))?;
    let shared = call.prompt.as_ref().map_or(&[][..], Prompt::shared);
    let is_probe = admit_suspects(state, &call, shared)?;
    Ok(AdmittedRequest {
        is_probe,
        service: route.service(rand::random()).clone(),
        route: route.clone(),
        account: account.cloned(),
        deadline: Instant::now() + time_limit.duration(),
        body: Bytes::new(),
        digest: RequestDigest::default(),
        head,
        call,
        config,
        arrived,
    })
}

/// Refuses a request that crashes targets, itself or because of a part of its prompt. Returns true if
/// it may be sent to one target nevertheless.
fn admit_suspects<P>(
    state: &State<P>,
    call: &Call,
    suspects: &[PromptPart],
) -> Result<bool, Refusal> {
    let peers = state.peers.borrow();
    let may_probe = |part: PartId| peers.is_assigned(part.get());
    let now = state.now();
    let mut knowledge = state.knowledge.borrow_mut();
    match knowledge.crashes.admit(suspects, may_probe, now) {
        Admission::Admitted => Ok(false),
        Admission::Probe(part) => {
            spdlog::info!("prompt_part_probed", kv: {
                id = call.id.as_str(),
                part = part.to_string(),
            });
            Ok(true)
        }
        Admission::Refused {
            part,
            crashes,
            retry_after: wait,
        } => {
            let detail = format!("{part} was in {crashes} requests whose targets crashed");
            let wait = wait.max(RETRY_AFTER_REFUSED_PROMPT);
            Err(Refusal::new(ErrorKind::PromptRefused, detail).with_retry_after(retry_after(wait)))
        }
    }
}

async fn read_body(
    mut request: AdmittedRequest,
    body: Incoming,
) -> Result<AdmittedRequest, Refusal> {
    let max_bytes = request.config.limits.body_bytes.get() as usize;
    let read = Limited::new(body, max_bytes).collect();
    match tokio::time::timeout_at(request.deadline, read).await {
        Ok(Ok(body)) => {
            request.body = body.to_bytes();
            let account = request.account.as_ref().map(|account| &account.id);
            let key = request.call.key.as_deref();
            request.digest = RequestDigest::new(&request.head, account, key, &request.body);
            Ok(request)
        }
        Ok(Err(error)) if error.downcast_ref::<LengthLimitError>().is_some() => {
            let detail = format!("the body is longer than {max_bytes} bytes");
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
async fn reserve<P>(state: &Rc<State<P>>, request: &AdmittedRequest) -> Result<Bill<P>, Refusal> {
    let service = request.config.service(&request.service);
    let tokens_per_event = service.map_or(1, |service| u64::from(service.tokens_per_event));
    let prompt = request.call.prompt.as_ref();
    let mut bill = Bill {
        state: state.clone(),
        _in_flight: InFlightGuard::new(state),
        reservation: None,
        input: prompt.map_or(Tokens::ZERO, |prompt| prompt.input),
        tokens_per_event,
        has_run: false,
        is_delivered: false,
        events: 0,
        runs: 0,
        broken: Vec::new(),
    };
    let payer = request.account.as_ref().zip(prompt);
    let Some((account, prompt)) = payer.filter(|(account, _)| account.prepaid.is_some()) else {
        return Ok(bill);
    };
    let max_cost = prompt.max_cost();
    let attempt = state
        .allocations
        .borrow_mut()
        .reserve(&account.id, max_cost, state.now());
    bill.reservation = Some(match attempt {
        Ok(reservation) => reservation,
        Err(Shortage::Exhausted) => {
            return Err(exhausted(&account.id, max_cost));
        }
        Err(_) => wait_for_tokens(state, request, &account.id, max_cost).await?,
    });
    Ok(bill)
}

/// Registers a request that waits for tokens until dropped.
struct TokenWaiter<'a, P> {
    state: &'a State<P>,
    account: &'a ClientAccountId,
    id: WaiterId,
}

impl<P> Drop for TokenWaiter<'_, P> {
    fn drop(&mut self) {
        let mut allocations = self.state.allocations.borrow_mut();
        allocations.remove_claim(self.account, self.id);
    }
}

async fn wait_for_tokens<P>(
    state: &State<P>,
    request: &AdmittedRequest,
    account: &ClientAccountId,
    max_cost: Tokens,
) -> Result<Reservation, Refusal> {
    let claim = Claim {
        rank: request.urgency(),
        tokens: max_cost,
        since: state.now(),
    };
    let id = state.allocations.borrow_mut().add_claim(account, claim);
    let _waiter = TokenWaiter { state, account, id };
    let wait = Millis::new(request.route.objective.get() / TOKEN_WAIT_DIVISOR);
    let until = (Instant::now() + wait.duration()).min(request.deadline);
    let draw_deadline = (Instant::now() + TYPICAL_DRAW_TIME.duration()).min(until);
    loop {
        let changed = state.allocations_changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        let attempt =
            state
                .allocations
                .borrow_mut()
                .reserve_waiting(account, id, max_cost, state.now());
        let reason = match attempt {
            Ok(reservation) => return Ok(reservation),
            Err(Shortage::Exhausted) => {
                return Err(exhausted(account, max_cost));
            }
            Err(reason) => reason,
        };
        state.draw_requested.notify_one();
        let failures = state.prepaid_failures.get();
        let is_borrower = state.role(account) == Role::Borrower;
        if is_borrower
            || reason == Shortage::Elsewhere
            || failures > 0
            || Instant::now() >= draw_deadline
        {
            state.loan_requested.notify_one();
        }
        let wake_at = if Instant::now() < draw_deadline {
            draw_deadline
        } else {
            until
        };
        if tokio::time::timeout_at(wake_at, changed).await.is_err() && Instant::now() >= until {
            let outage = store_outage(state, account);
            let is_short = state.allocations.borrow().is_short(account, state.now());
            let refusal = shortage_refusal(reason, account, max_cost, outage, is_short);
            return Err(refusal);
        }
    }
}

/// How long the store has not answered this entry, or the one that refused a loan.
fn store_outage<P>(state: &State<P>, account: &ClientAccountId) -> Option<Millis> {
    let now = state.now();
    let own = state.store_health.borrow().outage(now);
    own.or_else(|| state.allocations.borrow().lender_outage(account, now))
}

fn exhausted(account: &ClientAccountId, max_cost: Tokens) -> Refusal {
    shortage_refusal(Shortage::Exhausted, account, max_cost, None, true)
}

fn shortage_refusal(
    reason: Shortage,
    account: &ClientAccountId,
    max_cost: Tokens,
    outage: Option<Millis>,
    is_short: bool,
) -> Refusal {
    let outage_ms = outage.map_or(0, Millis::get);
    let detail = format!(
        "{max_cost} tokens of {account}: {reason:?}, store outage: {outage_ms} ms, short: {is_short}"
    );
    let base = match outage {
        Some(outage) => EXPECTED_OUTAGE
            .saturating_sub(outage)
            .max(RETRY_AFTER_OUTAGE),
        None if is_short => RETRY_AFTER_SHORT,
        None => RETRY_AFTER,
    };
    match reason {
        Shortage::Exhausted => Refusal::new(ErrorKind::BudgetExhausted, detail),
        Shortage::Drawable | Shortage::Elsewhere | Shortage::Unknown => {
            Refusal::new(ErrorKind::BudgetUnreachable, detail).with_retry_after(retry_after(base))
        }
    }
}
