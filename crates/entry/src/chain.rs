//! The filter chain: authenticates, admits and reserves tokens for each request, in a fixed order,
//! and then forwards it.

use std::sync::Arc;

use cyc_proto::sidecar::RouteClass;
use cyc_types::{ErrorKind, IdempotencyKey, Millis, Refusal, RequestId};
use strum::{Display, EnumIter, IntoEnumIterator as _, IntoStaticStr};

use crate::{
    app::App,
    cx::{Caller, Cx},
    forward::{Job, TriedTargets},
    hedge,
};

/// The filters, in the order in which they run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Filter {
    /// Resolves the API key to a client account and a budget.
    Identify,
    /// Refuses new requests while this process is draining.
    Drain,
    /// Parses the deadline header, or applies the default.
    Deadline,
    /// Parses the idempotency key, which non-idempotent routes require.
    Key,
    /// Waits for a concurrency slot in the pool of the route class.
    Admit,
    /// Reserves the worst-case token count from the budget.
    Reserve,
    /// Hands the request to a task that forwards it and settles its usage.
    Forward,
}

/// Runs all filters on a request.
///
/// # Errors
/// The refusal of the first filter that rejects the request.
pub async fn run(app: &Arc<App>, cx: &mut Cx) -> Result<(), Refusal> {
    for filter in Filter::iter() {
        let result = match filter {
            Filter::Identify => identify(app, cx),
            Filter::Drain => drain(app),
            Filter::Deadline => deadline(app, cx),
            Filter::Key => key(cx),
            Filter::Admit => admit(app, cx).await,
            Filter::Reserve => reserve(app, cx).await,
            Filter::Forward => forward(app, cx),
        };
        if let Err(refusal) = result {
            spdlog::debug!("request_refused", kv: {
                filter = filter.to_string(),
                request = cx.request.to_string(),
                account = cx.account_name().to_string(),
                kind = refusal.kind.to_string(),
            });
            app.record_refusal(cx, &refusal);
            return Err(refusal);
        }
    }
    Ok(())
}

fn identify(app: &App, cx: &mut Cx) -> Result<(), Refusal> {
    let Some(config) = app.config.current() else {
        return Err(Refusal::new(
            ErrorKind::NotConfigured,
            "no configuration is in force yet",
        ));
    };
    let unknown = || Refusal::new(ErrorKind::Unauthenticated, "the API key is not known");
    let key = cx.headers.api_key.as_deref().ok_or_else(unknown)?;
    let owner = config.accounts.owner(key).ok_or_else(unknown)?;
    cx.caller = Some(Caller {
        account: owner.account.clone(),
        budget: owner.budget.clone(),
    });
    Ok(())
}

fn drain(app: &App) -> Result<(), Refusal> {
    match app.is_draining() {
        true => Err(Refusal::new(ErrorKind::Draining, "this entry is leaving")),
        false => Ok(()),
    }
}

fn deadline(app: &App, cx: &mut Cx) -> Result<(), Refusal> {
    let limit = app.options.max_deadline;
    let timeout = match cx.headers.deadline.as_deref() {
        // Drafting may take long and must still finish, so it defaults to the longest deadline.
        None if cx.spec.class == RouteClass::Drafting => limit,
        None => app.options.default_deadline,
        Some(text) => match text.parse::<Millis>() {
            Ok(timeout) if !timeout.is_zero() && timeout <= limit => timeout,
            _ => {
                let detail = format!("header x-deadline-ms: `{text}` is not between 1 and {limit}");
                return Err(Refusal::new(ErrorKind::BadRequest, detail));
            }
        },
    };
    cx.deadline = app.clock.now() + timeout;
    Ok(())
}

fn key(cx: &mut Cx) -> Result<(), Refusal> {
    let Some(text) = cx.headers.idempotency_key.as_deref() else {
        if cx.spec.idempotent {
            return Ok(());
        }
        let detail = "the route is not idempotent: header idempotency-key is required";
        return Err(Refusal::new(ErrorKind::KeyRequired, detail));
    };
    let key: IdempotencyKey = text.parse().map_err(|_| {
        let detail = "header idempotency-key: 1 to 256 visible ASCII characters are allowed";
        Refusal::new(ErrorKind::BadRequest, detail)
    })?;
    let caller = identified_caller(cx)?;
    cx.request = RequestId::from_key(&caller.account, &cx.spec.service, &key);
    cx.idempotency_key = Some(key);
    Ok(())
}

async fn admit(app: &App, cx: &mut Cx) -> Result<(), Refusal> {
    let account = identified_caller(cx)?.account.clone();
    let config = app.config.current();
    let share = config
        .as_ref()
        .and_then(|config| config.accounts.get(&account))
        .map_or(1, |account| account.share);
    let time_left = cx.deadline.saturating_sub(app.clock.now());
    let permit = app
        .pools
        .of(cx.spec.class)
        .acquire(&account, share, time_left)
        .await?;
    cx.permit = Some(permit);
    Ok(())
}

async fn reserve(app: &App, cx: &mut Cx) -> Result<(), Refusal> {
    let budget = identified_caller(cx)?.budget.clone();
    let time_left = cx.deadline.saturating_sub(app.clock.now());
    let timeout = time_left.min(app.options.reserve_timeout);
    cx.reservation = Some(
        app.wallet
            .reserve(&budget, cx.spec.worst_case, timeout)
            .await?,
    );
    Ok(())
}

fn forward(app: &Arc<App>, cx: &mut Cx) -> Result<(), Refusal> {
    let internal = || Refusal::new(ErrorKind::Internal, "a filter was left out");
    let job = Job {
        request: cx.request,
        keyed: cx.idempotency_key.is_some(),
        caller: identified_caller(cx)?.clone(),
        spec: cx.spec.clone(),
        deadline: cx.deadline,
        reservation: Some(cx.reservation.take().ok_or_else(internal)?),
        permit: Some(cx.permit.take().ok_or_else(internal)?),
        tried: TriedTargets::default(),
    };
    cx.frames = Some(hedge::start(app.clone(), job));
    Ok(())
}

fn identified_caller(cx: &Cx) -> Result<&Caller, Refusal> {
    cx.caller
        .as_ref()
        .ok_or_else(|| Refusal::new(ErrorKind::Internal, "the caller is not known"))
}
