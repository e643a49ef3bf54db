//! Classification of requests for the service level objective.

use cyc_entry::observe::{Completion, Timings, Verdict, classify, is_caller_error};
use cyc_proto::sidecar::RouteClass;
use cyc_types::{ErrorKind, Millis, Outcome};
use googletest::prelude::*;
use strum::IntoEnumIterator as _;

const OBJECTIVE: Option<Millis> = Some(Millis::new(250));

fn timings(first: Option<u64>, end: u64) -> Timings {
    Timings {
        first: first.map(Millis::new),
        end: Millis::new(end),
    }
}

#[gtest]
fn requests_are_classified_by_the_latency_of_their_class() -> googletest::Result<()> {
    use RouteClass::{Booking, Drafting, Status};
    use Verdict::{Excluded, Failed, Good, Slow};
    let (done, abandoned) = (Completion::Answered, Completion::Abandoned);
    let broken = Completion::Failed(ErrorKind::AnswerIncomplete);
    let table = [
        (Drafting, done, timings(Some(250), 9_000), Good, Some(250)),
        (Drafting, done, timings(Some(251), 300), Slow, Some(251)),
        (Drafting, broken, timings(Some(10), 300), Failed, Some(10)),
        (Drafting, abandoned, timings(Some(10), 900), Good, Some(10)),
        (Drafting, abandoned, timings(None, 100), Excluded, None),
        (Drafting, abandoned, timings(None, 300), Slow, None),
        (Status, done, timings(Some(10), 250), Good, Some(250)),
        (Status, done, timings(Some(10), 251), Slow, Some(251)),
        (Booking, broken, timings(Some(10), 20), Failed, None),
        (Booking, abandoned, timings(Some(10), 20), Excluded, None),
        (Booking, abandoned, timings(Some(10), 300), Slow, None),
    ];
    for (class, end, timings, verdict, latency) in table {
        let wanted = (verdict, latency.map(Millis::new));
        expect_that!(
            classify(class, OBJECTIVE, end, timings),
            eq(wanted),
            "{end:?}"
        );
    }
    let long = classify(Status, None, done, timings(Some(1), 99_000));
    expect_that!(long.0, eq(Good));
    Ok(())
}

/// Callers could otherwise use up the error budget with deadlines that no target can meet.
#[gtest]
fn a_deadline_shorter_than_the_objective_is_excluded() -> googletest::Result<()> {
    let kinds = [
        ErrorKind::DeadlineBeforeStart,
        ErrorKind::DeadlineWhileRunning,
    ];
    for kind in kinds {
        let end = Completion::Failed(kind);
        let early = classify(RouteClass::Status, OBJECTIVE, end, timings(None, 249));
        expect_that!(early.0, eq(Verdict::Excluded));
        let late = classify(RouteClass::Status, OBJECTIVE, end, timings(None, 250));
        expect_that!(late.0, eq(Verdict::Failed));
    }
    Ok(())
}

#[gtest]
fn caller_errors_are_the_non_retryable_kinds_that_did_not_run() -> googletest::Result<()> {
    use cyc_types::error::RetryAdvice;
    for kind in ErrorKind::iter() {
        let response = kind.response();
        let not_retryable =
            response.retry == RetryAdvice::No && response.outcome == Outcome::NotRun;
        let listed = matches!(kind, ErrorKind::AccountLimited | ErrorKind::Cancelled);
        expect_that!(is_caller_error(kind), eq(not_retryable || listed), "{kind}");
        let verdict = classify(
            RouteClass::Status,
            OBJECTIVE,
            Completion::Failed(kind),
            timings(None, 300),
        )
        .0;
        let wanted = match is_caller_error(kind) {
            true => Verdict::Excluded,
            false => Verdict::Failed,
        };
        expect_that!(verdict, eq(wanted), "{kind}");
    }
    Ok(())
}
