//! What a request counts for.

use cyc_entry::observe::{End, Times, Verdict, is_callers, judge};
use cyc_proto::sidecar::RouteClass;
use cyc_types::{ErrorKind, Millis, Outcome};
use googletest::prelude::*;
use strum::IntoEnumIterator as _;

const LIMIT: Option<Millis> = Some(Millis::new(250));

fn times(first: Option<u64>, end: u64) -> Times {
    Times {
        first: first.map(Millis::new),
        end: Millis::new(end),
    }
}

#[gtest]
fn a_request_counts_by_the_latency_of_its_class() -> googletest::Result<()> {
    use RouteClass::{Booking, Drafting, Status};
    use Verdict::{Excluded, Failed, Good, Slow};
    let (done, gone) = (End::Answered, End::Abandoned);
    let broken = End::Failed(ErrorKind::AnswerIncomplete);
    let table = [
        (Drafting, done, times(Some(250), 9_000), Good, Some(250)),
        (Drafting, done, times(Some(251), 300), Slow, Some(251)),
        (Drafting, broken, times(Some(10), 300), Failed, Some(10)),
        (Drafting, gone, times(Some(10), 900), Good, Some(10)),
        (Drafting, gone, times(None, 100), Excluded, None),
        (Drafting, gone, times(None, 300), Slow, None),
        (Status, done, times(Some(10), 250), Good, Some(250)),
        (Status, done, times(Some(10), 251), Slow, Some(251)),
        (Booking, broken, times(Some(10), 20), Failed, None),
        (Booking, gone, times(Some(10), 20), Excluded, None),
        (Booking, gone, times(Some(10), 300), Slow, None),
    ];
    for (class, end, times, verdict, latency) in table {
        let wanted = (verdict, latency.map(Millis::new));
        expect_that!(judge(class, LIMIT, end, times), eq(wanted), "{end:?}");
    }
    let long = judge(Status, None, done, times(Some(1), 99_000));
    expect_that!(long.0, eq(Good));
    Ok(())
}

#[gtest]
fn a_deadline_shorter_than_the_objective_is_the_callers() -> googletest::Result<()> {
    let kinds = [
        ErrorKind::DeadlineBeforeStart,
        ErrorKind::DeadlineWhileRunning,
    ];
    for kind in kinds {
        let end = End::Failed(kind);
        let early = judge(RouteClass::Status, LIMIT, end, times(None, 249));
        expect_that!(early.0, eq(Verdict::Excluded));
        let late = judge(RouteClass::Status, LIMIT, end, times(None, 250));
        expect_that!(late.0, eq(Verdict::Failed));
    }
    Ok(())
}

#[gtest]
fn errors_that_retries_cannot_mend_and_that_did_not_run_are_the_callers() -> googletest::Result<()>
{
    use cyc_types::error::RetryAdvice;
    for kind in ErrorKind::iter() {
        let answer = kind.answer();
        let hopeless = answer.retry == RetryAdvice::No && answer.outcome == Outcome::NotRun;
        let own = matches!(kind, ErrorKind::AccountLimited | ErrorKind::Cancelled);
        expect_that!(is_callers(kind), eq(hopeless || own), "{kind}");
        let verdict = judge(
            RouteClass::Status,
            LIMIT,
            End::Failed(kind),
            times(None, 300),
        )
        .0;
        let wanted = match is_callers(kind) {
            true => Verdict::Excluded,
            false => Verdict::Failed,
        };
        expect_that!(verdict, eq(wanted), "{kind}");
    }
    Ok(())
}
