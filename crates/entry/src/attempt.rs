//! One attempt to have a request run by one sidecar, and the resolution of a lost answer.

use std::sync::Arc;

use cyc_proto::{
    LinkError,
    sidecar::{OutcomeQuery, OutcomeReply, RunReply, RunRequest, SidecarClient as _},
};
use cyc_types::{Backoff, Clock, ErrorKind, Incarnation, Millis, Refusal, TargetId};

use crate::fleet::Sidecar;

/// Time that a sidecar has beyond the deadline to say that the deadline passed.
const ANSWER_GRACE: Millis = Millis::new(1_000);
/// How long one question for the outcome may wait for its answer.
const ASK_TIMEOUT: Millis = Millis::new(1_000);
/// First wait before an attempt's outcome is asked for again.
const FIRST_WAIT: Millis = Millis::new(20);
/// Longest wait before an attempt's outcome is asked for again.
const LONGEST_WAIT: Millis = Millis::new(200);

/// What became of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The sidecar runs the request for this attempt.
    Started,
    /// The sidecar runs or has run the request for another attempt.
    Joined,
    /// The attempt ran and ended without a bill; its answer may be read.
    Unbilled,
    /// The attempt surely does not run.
    NotRun(Refusal),
    /// The sidecar incarnation that was asked has ended: the attempt may have run.
    Gone,
    /// Another sidecar incarnation holds the durable claim.
    ClaimedBy(Incarnation, TargetId),
    /// The sidecar cannot be asked: the attempt may run.
    Unknown(String),
}

/// Sends the request; after a lost answer asks for the outcome for at most `resolve`.
pub async fn send(
    sidecar: &Arc<Sidecar>,
    req: RunRequest,
    clock: &Clock,
    resolve: Millis,
) -> Outcome {
    let client = match sidecar.link.client().await {
        Ok(client) => client,
        Err(error) => return not_sent(&error),
    };
    let query = OutcomeQuery {
        request: req.request,
        entry: req.entry.clone(),
        attempt: req.attempt,
        sidecar: req.sidecar.clone(),
    };
    let wait = req.deadline + ANSWER_GRACE;
    let reply = tokio::time::timeout(wait.duration(), client.run(req)).await;
    let error = match reply {
        Ok(Ok(reply)) => return replied(reply),
        Ok(Err(error)) => LinkError::from(error),
        Err(_) => LinkError::NoAnswer("timeout".into()),
    };
    match error {
        LinkError::Refused(_) | LinkError::NotSent(_) => not_sent(&error),
        LinkError::NoAnswer(_) => ask_until(sidecar, query, clock, resolve).await,
    }
}

fn not_sent(error: &LinkError) -> Outcome {
    Outcome::NotRun(Refusal::new(ErrorKind::NoTarget, error.to_string()))
}

fn replied(reply: RunReply) -> Outcome {
    match reply {
        RunReply::Started => Outcome::Started,
        RunReply::Joined => Outcome::Joined,
        RunReply::Refused(refusal) => Outcome::NotRun(refusal),
        RunReply::ClaimedBy { sidecar, target } => Outcome::ClaimedBy(sidecar, target),
    }
}

/// Asks for the outcome of an attempt until it is known or `wait` is over.
async fn ask_until(
    sidecar: &Arc<Sidecar>,
    query: OutcomeQuery,
    clock: &Clock,
    wait: Millis,
) -> Outcome {
    let until = clock.now() + wait;
    let mut backoff = Backoff::new(FIRST_WAIT, LONGEST_WAIT);
    loop {
        let why = match ask(sidecar, query.clone()).await {
            Ok(Some(outcome)) => return outcome,
            Ok(None) => String::from("the request still waits there"),
            Err(error) => error.to_string(),
        };
        if clock.now() >= until {
            return Outcome::Unknown(why);
        }
        tokio::time::sleep(backoff.next_wait().duration()).await;
    }
}

/// Asks once for the outcome of an attempt; `None` while it waits.
///
/// # Errors
/// If the sidecar cannot be asked.
pub async fn ask(sidecar: &Sidecar, query: OutcomeQuery) -> Result<Option<Outcome>, LinkError> {
    let client = sidecar.link.client().await?;
    // A question that is given up may still arrive; then it bars the attempt, which is right.
    let reply = tokio::time::timeout(ASK_TIMEOUT.duration(), client.outcome(query))
        .await
        .map_err(|_| LinkError::NoAnswer("timeout".into()))?
        .map_err(LinkError::from)?;
    Ok(match reply {
        OutcomeReply::Waiting => None,
        OutcomeReply::Here { mine: true } => Some(Outcome::Started),
        OutcomeReply::Here { mine: false } => Some(Outcome::Joined),
        OutcomeReply::Unbilled => Some(Outcome::Unbilled),
        OutcomeReply::Gone => Some(Outcome::Gone),
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
