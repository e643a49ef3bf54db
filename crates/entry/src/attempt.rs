//! Sends one attempt to one sidecar, and queries its outcome if the reply is lost.

use std::sync::Arc;

use cyc_proto::{
    LinkError,
    sidecar::{OutcomeQuery, OutcomeReply, RunReply, RunRequest, SidecarClient as _},
};
use cyc_types::{Backoff, Clock, ErrorKind, Incarnation, Millis, Refusal, TargetId};

use crate::fleet::Sidecar;

/// Time past the deadline within which a sidecar may still reply that the deadline passed.
const REPLY_GRACE: Millis = Millis::new(1_000);
/// Time limit for one outcome query.
const QUERY_TIMEOUT: Millis = Millis::new(1_000);
/// Initial backoff between outcome queries.
const INITIAL_BACKOFF: Millis = Millis::new(20);
/// Maximum backoff between outcome queries.
const MAX_BACKOFF: Millis = Millis::new(200);

/// The outcome of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The sidecar runs or has run the request for this attempt.
    Started,
    /// The sidecar runs or has run the request for another attempt.
    Joined,
    /// The attempt ended without a receipt; its answer can be read.
    Unbilled,
    /// The attempt did not run and will not.
    NotRun(Refusal),
    /// The addressed sidecar incarnation has ended; the attempt may have run.
    SidecarEnded,
    /// Another sidecar incarnation holds the durable claim on the request.
    ClaimedBy(Incarnation, TargetId),
    /// The outcome could not be determined in time; the attempt may have run or may still run.
    Unknown(String),
}

/// Sends the request. If the reply is lost, queries the outcome for at most `resolve_limit`.
pub async fn send(
    sidecar: &Arc<Sidecar>,
    req: RunRequest,
    clock: &Clock,
    resolve_limit: Millis,
) -> Outcome {
    let client = match sidecar.link.client().await {
        Ok(client) => client,
        Err(error) => return not_run(&error),
    };
    let query = OutcomeQuery {
        request: req.request,
        entry: req.entry.clone(),
        attempt: req.attempt,
        sidecar: req.sidecar.clone(),
    };
    let timeout = req.deadline + REPLY_GRACE;
    let reply = tokio::time::timeout(timeout.duration(), client.run(req)).await;
    let error = match reply {
        Ok(Ok(reply)) => return outcome_of_reply(reply),
        Ok(Err(error)) => LinkError::from(error),
        Err(_) => LinkError::NoAnswer("timeout".into()),
    };
    match error {
        LinkError::Refused(_) | LinkError::NotSent(_) => not_run(&error),
        LinkError::NoAnswer(_) => poll_outcome(sidecar, query, clock, resolve_limit).await,
    }
}

fn not_run(error: &LinkError) -> Outcome {
    Outcome::NotRun(Refusal::new(ErrorKind::NoTarget, error.to_string()))
}

fn outcome_of_reply(reply: RunReply) -> Outcome {
    match reply {
        RunReply::Started => Outcome::Started,
        RunReply::Joined => Outcome::Joined,
        RunReply::Refused(refusal) => Outcome::NotRun(refusal),
        RunReply::ClaimedBy { sidecar, target } => Outcome::ClaimedBy(sidecar, target),
    }
}

/// Queries the outcome until it is known or `limit` has passed.
async fn poll_outcome(
    sidecar: &Arc<Sidecar>,
    query: OutcomeQuery,
    clock: &Clock,
    limit: Millis,
) -> Outcome {
    let give_up_at = clock.now() + limit;
    let mut backoff = Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF);
    loop {
        let why = match query_outcome(sidecar, query.clone()).await {
            Ok(Some(outcome)) => return outcome,
            Ok(None) => String::from("the request still waits there"),
            Err(error) => error.to_string(),
        };
        if clock.now() >= give_up_at {
            return Outcome::Unknown(why);
        }
        tokio::time::sleep(backoff.next_delay().duration()).await;
    }
}

/// Queries the outcome of an attempt once; `None` while it still waits at the sidecar.
///
/// # Errors
/// If the sidecar cannot be reached.
pub async fn query_outcome(
    sidecar: &Sidecar,
    query: OutcomeQuery,
) -> Result<Option<Outcome>, LinkError> {
    let client = sidecar.link.client().await?;
    // A query that times out here may still reach the sidecar and bar the attempt, which is safe.
    let reply = tokio::time::timeout(QUERY_TIMEOUT.duration(), client.outcome(query))
        .await
        .map_err(|_| LinkError::NoAnswer("timeout".into()))?
        .map_err(LinkError::from)?;
    Ok(match reply {
        OutcomeReply::Waiting => None,
        OutcomeReply::Present { mine: true } => Some(Outcome::Started),
        OutcomeReply::Present { mine: false } => Some(Outcome::Joined),
        OutcomeReply::Unbilled => Some(Outcome::Unbilled),
        OutcomeReply::SidecarEnded => Some(Outcome::SidecarEnded),
        OutcomeReply::Barred => {
            let detail = "the sidecar had not seen the request and barred it";
            Some(Outcome::NotRun(Refusal::new(ErrorKind::NoTarget, detail)))
        }
        OutcomeReply::NotRun(kind) => Some(Outcome::NotRun(Refusal::new(
            kind,
            "refused by the sidecar",
        ))),
    })
}
