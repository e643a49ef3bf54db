//! The filter chain: the steps that every request takes, in order.

use std::sync::Arc;

use cyc_proto::sidecar::RouteClass;
use cyc_types::{ErrorKind, IdempotencyKey, Millis, Refusal, RequestId};
use strum::{Display, EnumIter, IntoEnumIterator as _, IntoStaticStr};

use crate::{
    app::App,
    cx::{Caller, Cx},
    forward::{Job, Tried},
    hedge,
};

/// The filters, in the order in which a request meets them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Filter {
    /// Finds account and budget by the API key.
    Identify,
    /// Refuses new requests while this process is leaving.
    Drain,
    /// Reads the deadline.
    Deadline,
    /// Reads the idempotency key, which a non-idempotent route requires.
    Key,
    /// Waits for a slot in the pool of the route class.
    Admit,
    /// Reserves the worst case from the budget.
    Reserve,
    /// Forwards the request to targets and settles what it used.
    Forward,
}

/// Sends a request through all filters.
///
/// # Errors
/// The refusal of the filter that stopped it.
pub async fn run(app: &Arc<App>, cx: &mut Cx) -> Result<(), Refusal> {
    for filter in Filter::iter() {
        let step = match filter {
            Filter::Identify => identify(app, cx),
            Filter::Drain => drain(app),
            Filter::Deadline => deadline(app, cx),
            Filter::Key => key(cx),
            Filter::Admit => admit(app, cx).await,
            Filter::Reserve => reserve(app, cx).await,
            Filter::Forward => forward(app, cx),
        };
        if let Err(refusal) = step {
            spdlog::debug!("refused", kv: {
                filter = filter.to_string(),
                request = cx.request.to_string(),
                account = cx.account_name().to_string(),
                kind = refusal.kind.to_string(),
            });
            app.note_refusal(cx, &refusal);
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
    let span = match cx.headers.deadline.as_deref() {
        // A draft may be slow and must still finish, so that it gets the longest deadline.
        None if cx.ask.class == RouteClass::Drafting => limit,
        None => app.options.default_deadline,
        Some(text) => match text.parse::<Millis>() {
            Ok(span) if !span.is_zero() && span <= limit => span,
            _ => {
                let detail = format!("header x-deadline-ms: `{text}` is not between 1 and {limit}");
                return Err(Refusal::new(ErrorKind::BadRequest, detail));
            }
        },
    };
    cx.until = app.clock.now() + span;
    Ok(())
}

fn key(cx: &mut Cx) -> Result<(), Refusal> {
    let Some(text) = cx.headers.key.as_deref() else {
        if cx.ask.idempotent {
            return Ok(());
        }
        let detail = "the route is not idempotent: header idempotency-key is required";
        return Err(Refusal::new(ErrorKind::KeyRequired, detail));
    };
    let key: IdempotencyKey = text.parse().map_err(|_| {
        let detail = "header idempotency-key: 1 to 256 visible ASCII characters are allowed";
        Refusal::new(ErrorKind::BadRequest, detail)
    })?;
    let caller = caller(cx)?;
    cx.request = RequestId::from_key(&caller.account, &cx.ask.service, &key);
    cx.key = Some(key);
    Ok(())
}

async fn admit(app: &App, cx: &mut Cx) -> Result<(), Refusal> {
    let account = caller(cx)?.account.clone();
    let config = app.config.current();
    let share = config
        .as_ref()
        .and_then(|config| config.accounts.get(&account))
        .map_or(1, |account| account.share);
    let left = cx.until.saturating_sub(app.clock.now());
    let permit = app
        .pools
        .of(cx.ask.class)
        .acquire(&account, share, left)
        .await?;
    cx.permit = Some(permit);
    Ok(())
}

async fn reserve(app: &App, cx: &mut Cx) -> Result<(), Refusal> {
    let budget = caller(cx)?.budget.clone();
    let left = cx.until.saturating_sub(app.clock.now());
    let wait = left.min(app.options.reserve_wait);
    cx.reservation = Some(app.purse.reserve(&budget, cx.ask.worst, wait).await?);
    Ok(())
}

fn forward(app: &Arc<App>, cx: &mut Cx) -> Result<(), Refusal> {
    let internal = || Refusal::new(ErrorKind::Internal, "a filter was left out");
    let job = Job {
        request: cx.request,
        keyed: cx.key.is_some(),
        caller: caller(cx)?.clone(),
        ask: cx.ask.clone(),
        until: cx.until,
        reservation: Some(cx.reservation.take().ok_or_else(internal)?),
        permit: Some(cx.permit.take().ok_or_else(internal)?),
        tried: Tried::default(),
    };
    cx.events = Some(hedge::start(app.clone(), job));
    Ok(())
}

fn caller(cx: &Cx) -> Result<&Caller, Refusal> {
    cx.caller
        .as_ref()
        .ok_or_else(|| Refusal::new(ErrorKind::Internal, "the caller is not known"))
}
