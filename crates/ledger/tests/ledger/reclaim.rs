//! Reclaim under deaths of the reclaimer, a thaw of the holder, and incomplete evidence.

use std::{collections::BTreeMap, sync::Mutex};

use async_trait::async_trait;
use bytes::Bytes;
use cyc_budget::Op;
use cyc_ledger::{
    Evidence, Flusher, Reason, Reclaimer, Segment, Sidecars, evidence::plan, flush, read,
    reclaim::Outcome,
};
use cyc_member::contacts;
use cyc_proto::{
    LinkError,
    sidecar::{FenceReply, RunningHold},
};
use cyc_store::{Error, Expect, Kind, ObjectKey, Platform};
use cyc_types::TargetId;
use googletest::prelude::*;

use super::{fake::Fault, gate::Gate, *};

/// The writes of one reclaim: fence, seal, segment, settle, reclaim.
const STEPS: u64 = 6;
/// Longer than all waits before a retry.
const SETTLED: Millis = Millis::new(5_000);

/// Two sidecars, of which the second may be silent.
#[derive(Default)]
struct FakeSidecars(Mutex<State>);

#[derive(Default)]
struct State {
    receipts: Vec<Receipt>,
    running: Vec<RunningHold>,
    silent: bool,
    /// True if engine-1 has another sidecar incarnation, which knows nothing.
    restarted: bool,
}

impl FakeSidecars {
    fn release(&self, requests: &[RequestId]) {
        let mut state = self.0.lock().unwrap();
        state
            .receipts
            .retain(|receipt| !requests.contains(&receipt.request));
    }
}

#[async_trait]
impl Sidecars for FakeSidecars {
    async fn fence(
        &self,
        _: &Incarnation,
    ) -> Vec<(TargetId, std::result::Result<FenceReply, LinkError>)> {
        tokio::task::yield_now().await;
        let state = self.0.lock().unwrap();
        let reply = match state.restarted {
            true => FenceReply {
                sidecar: entry(2),
                receipts: Vec::new(),
                running: Vec::new(),
            },
            false => FenceReply {
                sidecar: entry(1),
                receipts: state.receipts.clone(),
                running: state.running.clone(),
            },
        };
        let empty = FenceReply {
            sidecar: entry(1),
            receipts: Vec::new(),
            running: Vec::new(),
        };
        let second = match state.silent {
            true => Err(LinkError::NotSent("silent".into())),
            false => Ok(empty),
        };
        vec![
            ("engine-1".parse().unwrap(), Ok(reply)),
            ("engine-2".parse().unwrap(), second),
        ]
    }
}

/// The sidecars that entry 1 may have sent work to.
fn contacts() -> Result<BTreeMap<TargetId, Incarnation>> {
    Ok([
        ("engine-1".parse()?, entry(1)),
        ("engine-2".parse()?, entry(1)),
    ]
    .into())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_grant_stays_held_when_a_sidecar_ended_with_its_receipts() -> Result<()> {
    let world = World::new(&runtime_clock()).await?;
    let mut reclaimer = world.reclaimer(world.fake.clone(), 2);
    // Another incarnation answers for engine-1: it knows nothing of what the first one ran.
    world.sidecars.0.lock().or_fail()?.restarted = true;
    for _ in 0..2 {
        let outcome = reclaimer.round().await?;
        expect_that!(outcome.reclaimed, is_empty());
        let reasons: Vec<_> = outcome.unresolved.into_iter().map(|u| u.reason).collect();
        expect_that!(reasons, eq(&vec![Reason::Restarted("engine-1".parse()?)]));
        expect_that!(record(&world.fake).grants.len(), eq(1));
    }
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_thawed_holder_cannot_turn_to_a_sidecar_that_was_not_asked() -> Result<()> {
    let world = World::new(&runtime_clock()).await?;
    let mut reclaimer = world.reclaimer(world.fake.clone(), 2);
    expect_that!(reclaimer.round().await?.reclaimed, len(eq(1)));
    let mut more = contacts()?;
    more.insert("engine-3".parse()?, entry(1));
    let late = contacts::record(&*world.fake, &entry(1), &more).await;
    expect_that!(late, err(eq(&contacts::Error::Sealed)));
    Ok(())
}

struct World {
    fake: Arc<Fake>,
    sidecars: Arc<FakeSidecars>,
    /// The way of the holder to the platform; it is closed while the holder is paused.
    gate: Arc<Gate>,
    clock: Clock,
}

impl World {
    /// Entry 1 drew 500 of 1000 and used 37 in two requests. Then it was paused: one receipt is in
    /// a segment that is not settled, both are at the sidecars. Entry 2 has replaced it.
    async fn new(clock: &Clock) -> Result<Self> {
        let fake = Arc::new(Fake::default());
        pay(&fake, "first", 1_000).await;
        let gate = Arc::new(Gate::new(fake.clone()));
        let holder = purse(gate.clone(), 1, clock);
        let reservation = holder
            .reserve(&budget(), Tokens::new(500), PATIENCE)
            .await?;
        holder.settle(reservation, Tokens::new(37));
        let options = flush::Options::default();
        let (ledger, flusher, mut released) =
            Flusher::new(gate.clone(), holder, entry(1), clock.clone(), options);
        gate.close_after(1, Fault::None);
        ledger.bill(receipt(1, 1, 1, 30));
        tokio::spawn(flusher.run());
        while read::segments(&*fake, "").await?.is_empty() {
            tokio::time::sleep(Millis::SECOND.duration()).await;
        }
        ledger.bill(receipt(2, 1, 1, 7));
        let sidecars = Arc::new(FakeSidecars::default());
        let receipts = vec![receipt(1, 1, 1, 30), receipt(2, 1, 1, 7)];
        sidecars.0.lock().unwrap().receipts = receipts;
        let told = sidecars.clone();
        tokio::spawn(async move {
            while let Some(requests) = released.recv().await {
                told.release(&requests);
            }
        });
        contacts::record(&*fake, &entry(1), &contacts()?).await?;
        let member = ObjectKey::new(Kind::Member, "entry.entry-a");
        let body = Bytes::from_static(br#"{"vm":"entry-a","number":2,"role":"entry"}"#);
        fake.put(&member, body, Expect::Absent).await?;
        let vm =
            serde_json::json!({"id": "entry-a", "zone": "a", "ip": "127.0.0.1", "state": "live"});
        fake.set_vms(vec![serde_json::from_value(vm)?]);
        Ok(Self {
            fake,
            sidecars,
            gate,
            clock: clock.clone(),
        })
    }

    fn reclaimer(&self, platform: Arc<dyn Platform>, number: u64) -> Reclaimer {
        let purse = purse(platform.clone(), number, &self.clock);
        Reclaimer::new(platform, purse, self.sidecars.clone(), self.clock.clone())
    }

    async fn finish(&self, number: u64) -> Result<Outcome> {
        let mut reclaimer = self.reclaimer(self.fake.clone(), number);
        for _ in 0..100 {
            match reclaimer.round().await {
                Ok(outcome) if outcome.unresolved.is_empty() => return Ok(outcome),
                Ok(_) | Err(_) => tokio::time::sleep(Millis::SECOND.duration()).await,
            }
        }
        fail!("the reclaim does not end")?;
        Ok(Outcome::default())
    }

    /// Requests 1 and 2 are billed.
    async fn verify(&self, case: &str) -> Result<()> {
        self.verify_bills(&[1, 2], 37, case).await
    }

    /// Every receipt is in one segment, billed is settled, and all the rest is free.
    async fn verify_bills(&self, wanted: &[u128], sum: u64, case: &str) -> Result<()> {
        let segments = read::segments(&*self.fake, "").await?;
        let mut requests: Vec<u128> = segments
            .iter()
            .flat_map(|segment| &segment.receipts)
            .map(|receipt| receipt.request.get())
            .collect();
        requests.sort();
        expect_that!(requests, eq(wanted), "{case}");
        let record = record(&self.fake);
        expect_that!(record.settled, eq(Tokens::new(sum)), "{case}");
        expect_that!(record.free(), eq(Tokens::new(1_000 - sum)), "{case}");
        Ok(())
    }
}

/// When the paused holder goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Thaw {
    Never,
    BeforeTheNext,
    WithTheNext,
    AfterTheNext,
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_reclaimer_may_die_and_the_holder_may_thaw_at_any_step() -> Result<()> {
    use Fault::{AnswerLost, Delayed, Lost, None};
    use Thaw::{AfterTheNext, BeforeTheNext, Never, WithTheNext};
    let clock = runtime_clock();
    for step in 1..=STEPS {
        for fault in [None, AnswerLost, Lost, Delayed] {
            for thaw in [Never, BeforeTheNext, WithTheNext, AfterTheNext] {
                let case = format!("step {step}, {fault:?}, {thaw:?}");
                let world = World::new(&clock).await?;
                let gate = Arc::new(Gate::new(world.fake.clone()));
                gate.close_after(step, fault);
                let mut dying = world.reclaimer(gate.clone(), 8);
                let round = dying.round();
                tokio::time::timeout(SETTLED.duration(), round).await.ok();
                if thaw != Never && thaw != AfterTheNext {
                    world.gate.open();
                }
                if thaw == BeforeTheNext {
                    tokio::time::sleep(SETTLED.duration()).await;
                }
                world.finish(9).await?;
                world.gate.open();
                gate.open();
                world.fake.deliver();
                // What the dead reclaimer and the holder still had to do is done by now or void.
                tokio::time::sleep(SETTLED.duration()).await;
                world.verify(&case).await?;
            }
        }
    }
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn two_reclaimers_at_once_settle_once() -> Result<()> {
    let world = World::new(&runtime_clock()).await?;
    let (first, second) = tokio::join!(world.finish(8), world.finish(9));
    let reclaimed = first?.reclaimed.len() + second?.reclaimed.len();
    expect_that!(reclaimed, le(1));
    world.verify("two").await
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_holder_that_writes_just_before_the_reclaimer_keeps_its_segment() -> Result<()> {
    let world = World::new(&runtime_clock()).await?;
    let gate = Arc::new(Gate::new(world.fake.clone()));
    // The holder's next segment has a receipt that the sidecars no longer know.
    let mut theirs = Segment::new(entry(1), 2, Millis::ZERO);
    theirs.receipts.push(receipt(3, 1, 1, 5));
    gate.write_first(theirs.key(), theirs.encode()?);
    let mut slower = world.reclaimer(gate, 8);
    expect_that!(slower.round().await, err(eq(&Error::Conflict)));
    world.finish(9).await?;
    world.verify_bills(&[1, 2, 3], 42, "slower").await
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_vm_is_gone_when_the_list_has_left_it_out_for_long() -> Result<()> {
    let clock = Clock::new_manual(Millis::ZERO);
    let world = World::new(&runtime_clock()).await?;
    let member = ObjectKey::new(Kind::Member, "entry.entry-a");
    let version = world.fake.get(&member).await?.or_fail()?.version;
    world.fake.delete(&member, version).await?;
    let purse = purse(world.fake.clone(), 8, &clock);
    let mut reclaimer = Reclaimer::new(
        world.fake.clone(),
        purse,
        world.sidecars.clone(),
        clock.clone(),
    );
    let listed = world.fake.vms().await?;
    // Absent, back again, absent, and absent for long.
    let cases = [(vec![], 0), (listed, 0), (vec![], 0), (vec![], 1)];
    for (vms, reclaimed) in cases {
        world.fake.set_vms(vms);
        let outcome = reclaimer.round().await?;
        expect_that!(outcome.reclaimed.len(), eq(reclaimed));
        clock.advance(Millis::MINUTE);
    }
    world.verify("gone").await
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_grant_stays_held_while_the_evidence_is_incomplete() -> Result<()> {
    let world = World::new(&runtime_clock()).await?;
    let hold = RunningHold {
        request: RequestId::new(9),
        grant: grant(1),
        reserved: Tokens::new(5),
    };
    let mut reclaimer = world.reclaimer(world.fake.clone(), 8);
    let set = |silent, running: Vec<RunningHold>| {
        let mut state = world.sidecars.0.lock().unwrap();
        (state.silent, state.running) = (silent, running);
    };
    let cases = [
        (true, vec![], Reason::Silent("engine-2".parse()?)),
        (false, vec![hold], Reason::Running(RequestId::new(9))),
    ];
    for (silent, running, reason) in cases {
        set(silent, running);
        let outcome = reclaimer.round().await?;
        expect_that!(outcome.reclaimed, is_empty());
        let reasons: Vec<_> = outcome.unresolved.into_iter().map(|u| u.reason).collect();
        expect_that!(reasons, eq(&vec![reason]));
        expect_that!(record(&world.fake).grants.len(), eq(1));
    }
    set(false, vec![]);
    let outcome = reclaimer.round().await?;
    let reclaimed = vec![(grant(1), Tokens::new(463))];
    expect_that!(outcome.reclaimed, eq(&reclaimed));
    world.verify("complete").await
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_receipt_that_a_live_borrower_has_to_settle_holds_the_grant() -> Result<()> {
    let world = World::new(&runtime_clock()).await?;
    let records = read::records(&*world.fake).await?;
    let foreign = receipt(5, 2, 1, 10);
    let reply = FenceReply {
        sidecar: entry(1),
        receipts: vec![foreign],
        running: Vec::new(),
    };
    let evidence = Evidence {
        contacts: [(entry(1), BTreeMap::new())].into(),
        replies: vec![reply],
        ..Evidence::default()
    };
    let plan = plan(&entry(2), &evidence, &[], &records, Millis::ZERO);
    expect_that!(plan.segments, is_empty());
    expect_that!(
        plan.ops,
        not(contains(matches_pattern!(Op::Reclaim { .. })))
    );
    expect_that!(plan.unresolved[0].reason, eq(&Reason::Unsettled(entry(2))));
    expect_that!(plan.released, is_empty());
    Ok(())
}
