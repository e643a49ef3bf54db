//! The run table: fences, barred attempts, refusals kept for outcome queries, and eviction.

use cyc_proto::{
    Receipt,
    receipt::GrantId,
    sidecar::{Frame, RouteClass, RunRequest, Work},
};
use cyc_sidecar::table::{Admitted, Lookup, Phase, RunTable, attempt_of};
use cyc_types::{ErrorKind, Incarnation, Millis, Refusal, RequestId, Tokens};
use googletest::prelude::*;
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};
use std::sync::Arc;

pub fn request(id: u64, attempt: u64, idempotent: bool) -> Result<RunRequest> {
    let entry = Incarnation::new("vm-entry".parse()?, 3);
    Ok(RunRequest {
        request: format!("{id:032x}").parse::<RequestId>()?,
        entry: entry.clone(),
        sidecar: Incarnation::new("vm-desk".parse()?, 1),
        attempt,
        account: "league".parse()?,
        service: "hire-desk".parse()?,
        class: RouteClass::Booking,
        idempotent,
        fingerprint: 7,
        grant: GrantId {
            budget: "league".parse()?,
            holder: entry,
        },
        reserved: Tokens::new(100),
        replay: None,
        deadline: Millis::new(1_000),
        work: Work::Call {
            method: "POST".into(),
            path: "/bookings".into(),
            content_type: None,
            body: String::new(),
        },
    })
}

fn admit_new(table: &RunTable, req: &RunRequest) -> Result<Arc<cyc_sidecar::table::Run>> {
    match table.admit(req).or_fail()? {
        Admitted::New(run) => Some(run),
        Admitted::Existing(_) => None,
    }
    .or_fail()
}

fn receipt(req: &RunRequest) -> Receipt {
    Receipt {
        request: req.request,
        account: req.account.clone(),
        grant: req.grant.clone(),
        entry: req.entry.clone(),
        attempt: req.attempt,
        service: req.service.clone(),
        tokens: Tokens::new(100),
        at: Millis::new(1),
    }
}

/// After the query the entry may send the request to another target, so a run message that arrives
/// later would run it a second time.
#[gtest]
fn an_attempt_that_was_queried_before_it_arrived_never_runs() -> Result<()> {
    let table = RunTable::default();
    let late = request(1, 1, false)?;
    expect_that!(
        matches!(table.find_or_bar(attempt_of(&late)), Lookup::Barred),
        eq(true)
    );
    let refused = table.admit(&late).err().or_fail()?;
    expect_that!(refused.kind, eq(ErrorKind::Cancelled));
    // Another attempt of the request may run.
    admit_new(&table, &request(1, 2, false)?)?;
    Ok(())
}

/// The query is answered by the run of the other attempt. A run message that arrives after that run
/// has ended as not run would start a run that the entry no longer expects.
#[gtest]
fn an_attempt_queried_during_the_run_of_another_one_stays_barred_after_that_run() -> Result<()> {
    let table = RunTable::default();
    let (first, late) = (request(1, 1, false)?, request(1, 2, false)?);
    let run = admit_new(&table, &first)?;
    table.start(&run).or_fail()?;
    expect_that!(
        matches!(table.find_or_bar(attempt_of(&late)), Lookup::Run(_)),
        eq(true)
    );
    table.end_not_run(&run, Millis::new(5));
    let refused = table.admit(&late).err().or_fail()?;
    expect_that!(refused.kind, eq(ErrorKind::Cancelled));
    Ok(())
}

/// If the refusal is lost on its way, a query answered as barred would tell the entry that the
/// request has not run, although another sidecar may have run it.
#[gtest]
fn a_refusal_with_an_unknown_outcome_is_returned_to_later_queries() -> Result<()> {
    let table = RunTable::default();
    let req = request(1, 1, false)?;
    let run = admit_new(&table, &req)?;
    table.refuse(&run, Refusal::new(ErrorKind::OutcomeUnknown, "claimed"));
    match table.find_or_bar(attempt_of(&req)) {
        Lookup::Refused(kind) => expect_that!(kind, eq(ErrorKind::OutcomeUnknown)),
        other => fail!("{other:?}")?,
    }
    Ok(())
}

/// A run that starts while the fence is raised and is missing from the reply would be billed from
/// tokens that the reclaim has already returned.
#[gtest]
fn a_fence_reply_includes_every_run_that_started_before_the_fence() -> Result<()> {
    let mut rng = StdRng::seed_from_u64(20_261_204);
    let sidecar = Incarnation::new("vm-desk".parse()?, 1);
    let lowest = Incarnation::new("vm-entry".parse()?, 4);
    for round in 0..500 {
        let table = RunTable::default();
        let mut runs = Vec::new();
        let fence_at = rng.random_range(0..12);
        let mut evidence = None;
        for step in 0..12 {
            if step == fence_at {
                evidence = Some((table.fence(&sidecar, &lowest), runs.len()));
            }
            let req = request(step, 1, false)?;
            match table.admit(&req) {
                Ok(Admitted::New(run)) => {
                    if table.start(&run).is_ok() {
                        if rng.random_bool(0.5) {
                            table.end(&run, Some(&receipt(&req)), Millis::new(step));
                        }
                        runs.push(run);
                    }
                }
                Err(refusal) => expect_that!(refusal.kind, eq(ErrorKind::Fenced)),
                Ok(Admitted::Existing(run)) => fail!("{run:?}")?,
            }
        }
        let (reply, started) = evidence.or_fail()?;
        expect_that!(runs.len(), eq(started), "round {round}");
        let reported = reply.receipts.len() + reply.running.len();
        expect_that!(reported, eq(started), "round {round}");
    }
    Ok(())
}

/// The fence reply omits waiting runs, so one that started later would use tokens that the reclaim
/// has already returned.
#[gtest]
fn a_run_that_waits_when_the_fence_is_raised_does_not_start() -> Result<()> {
    let table = RunTable::default();
    let run = admit_new(&table, &request(1, 1, false)?)?;
    let lowest = Incarnation::new("vm-entry".parse()?, 4);
    table.fence(&Incarnation::new("vm-desk".parse()?, 1), &lowest);
    let refused = table.start(&run).err().or_fail()?;
    expect_that!(refused.kind, eq(ErrorKind::Fenced));
    Ok(())
}

#[gtest]
fn a_failed_run_is_run_again_only_if_it_is_idempotent() -> Result<()> {
    for idempotent in [true, false] {
        let table = RunTable::default();
        let run = admit_new(&table, &request(1, 1, idempotent)?)?;
        table.start(&run).or_fail()?;
        table.end(&run, None, Millis::new(5));
        run.answer.push(Frame::Failed {
            refusal: Refusal::new(ErrorKind::TargetFailed, "broke"),
            receipt: None,
        });
        let again = table.admit(&request(1, 2, idempotent)?).or_fail()?;
        match again {
            Admitted::New(second) => {
                expect_that!(idempotent, eq(true));
                expect_that!(second.number, not(eq(run.number)));
            }
            Admitted::Existing(_) => expect_that!(idempotent, eq(false)),
        }
    }
    Ok(())
}

#[gtest]
fn eviction_drops_old_answers_but_no_active_run_and_no_receipt() -> Result<()> {
    let table = RunTable::default();
    for id in 0..10 {
        let req = request(id, 1, false)?;
        let run = admit_new(&table, &req)?;
        table.start(&run).or_fail()?;
        if id < 8 {
            table.end(&run, Some(&receipt(&req)), Millis::new(id));
            run.answer.push(Frame::Data {
                text: "x".repeat(100),
                tokens: Tokens::ZERO,
            });
        }
    }
    let known = |id| -> Result<bool> { Ok(table.find(request(id, 1, false)?.request).is_some()) };
    table.evict(Millis::new(4), 10_000);
    for id in 0..10 {
        expect_that!(known(id)?, eq(id >= 4), "{id}");
    }
    table.evict(Millis::ZERO, 150);
    for id in 0..10 {
        expect_that!(known(id)?, eq(id >= 7), "{id}");
    }
    expect_that!(table.unreleased().len(), eq(8));
    let left = table.find(request(9, 1, false)?.request).or_fail()?;
    expect_that!(*left.phase.borrow(), eq(&Phase::Running));
    Ok(())
}

/// A wrong body that arrives first waits for its claim, which refuses it. Until then it must not
/// cause the refusal of the body that has used the key before.
#[gtest]
fn a_waiting_run_with_another_body_does_not_bind_the_key() -> Result<()> {
    let table = RunTable::default();
    let wrong = request(1, 1, false)?;
    let right = RunRequest {
        fingerprint: 8,
        ..request(1, 2, false)?
    };
    let waiting = admit_new(&table, &wrong)?;
    let found = table.admit(&right).or_fail()?;
    expect_that!(matches!(found, Admitted::Existing(_)), eq(true));
    // The claim shows that the key was used with the other body.
    table.refuse(&waiting, Refusal::new(ErrorKind::KeyReused, "claimed"));
    let run = admit_new(&table, &right)?;
    table.start(&run).or_fail()?;
    let refused = table.admit(&wrong).err().or_fail()?;
    expect_that!(refused.kind, eq(ErrorKind::KeyReused));
    Ok(())
}
