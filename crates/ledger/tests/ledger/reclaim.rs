//! Guards against receipts that are lost or billed twice, and against tokens that are freed before
//! all use of the grant is known, when the reclaimer crashes, the paused holder resumes, or the
//! evidence is incomplete.

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
    sidecar::{FenceReply, RunningReservation},
};
use cyc_store::{Error, Kind, ObjectKey, Platform, Precondition};
use cyc_types::TargetId;
use googletest::prelude::*;

use super::{fake::Fault, proxy::Proxy, *};

/// Upper bound of the writes of one reclaim: fence, seal, segment, two settlements, reclaim.
const STEPS: u64 = 6;
/// Longer than the delay of any retry.
const QUIESCENCE: Millis = Millis::new(5_000);

/// Two sidecars, of which the second may be unreachable.
#[derive(Default)]
struct FakeSidecars(Mutex<State>);

#[derive(Default)]
struct State {
    receipts: Vec<Receipt>,
    running: Vec<RunningReservation>,
    unreachable: bool,
    /// True if a new incarnation without receipts has replaced the sidecar of engine-1.
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
        let second = match state.unreachable {
            true => Err(LinkError::NotSent("unreachable".into())),
            false => Ok(empty),
        };
        vec![
            ("engine-1".parse().unwrap(), Ok(reply)),
            ("engine-2".parse().unwrap(), second),
        ]
    }
}

/// The sidecars that entry 1 may have sent requests to.
fn contacts() -> Result<BTreeMap<TargetId, Incarnation>> {
    Ok([
        ("engine-1".parse()?, entry(1)),
        ("engine-2".parse()?, entry(1)),
    ]
    .into())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_grant_is_not_reclaimed_when_a_restarted_sidecar_lost_its_receipts() -> Result<()> {
    let fixture = Fixture::new(&runtime_clock()).await?;
    let mut reclaimer = fixture.reclaimer(fixture.fake.clone(), 2);
    // A new incarnation replies for engine-1 and has no receipts of the previous one.
    fixture.sidecars.0.lock().or_fail()?.restarted = true;
    for _ in 0..2 {
        let outcome = reclaimer.run_round().await?;
        expect_that!(outcome.reclaimed, is_empty());
        let reasons: Vec<_> = outcome.unresolved.into_iter().map(|u| u.reason).collect();
        expect_that!(reasons, eq(&vec![Reason::Restarted("engine-1".parse()?)]));
        expect_that!(record(&fixture.fake).grants.len(), eq(1));
    }
    Ok(())
}

/// A paused holder that resumes after the reclaim could otherwise use tokens at a sidecar whose
/// receipts the reclaim did not collect.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_resumed_holder_cannot_send_requests_to_a_sidecar_that_was_not_queried() -> Result<()> {
    let fixture = Fixture::new(&runtime_clock()).await?;
    let mut reclaimer = fixture.reclaimer(fixture.fake.clone(), 2);
    expect_that!(reclaimer.run_round().await?.reclaimed, len(eq(1)));
    let mut more = contacts()?;
    more.insert("engine-3".parse()?, entry(1));
    let late = contacts::record(&*fixture.fake, &entry(1), &more).await;
    expect_that!(late, err(eq(&contacts::Error::Sealed)));
    Ok(())
}

struct Fixture {
    fake: Arc<FakePlatform>,
    sidecars: Arc<FakeSidecars>,
    /// The holder's connection to the platform; disconnected while the holder is paused.
    holder_proxy: Arc<Proxy>,
    clock: Clock,
}

impl Fixture {
    /// Entry 1 drew 500 of 1000 tokens and used 37 in two requests, then was paused. One receipt is
    /// in a segment that is not settled, and the sidecars hold both. Entry 2 has replaced entry 1.
    async fn new(clock: &Clock) -> Result<Self> {
        let fake = Arc::new(FakePlatform::default());
        pay(&fake, "first", 1_000).await;
        let holder_proxy = Arc::new(Proxy::new(fake.clone()));
        let holder = wallet(holder_proxy.clone(), 1, clock);
        let reservation = holder.reserve(&budget(), Tokens::new(500), TIMEOUT).await?;
        holder.settle(reservation, Tokens::new(37));
        let options = flush::Options::default();
        let (ledger, flusher, mut released) = Flusher::new(
            holder_proxy.clone(),
            holder,
            entry(1),
            clock.clone(),
            options,
        );
        holder_proxy.disconnect_after(1, Fault::None);
        ledger.bill(receipt(1, 1, 1, 30));
        tokio::spawn(flusher.run());
        while read::segments(&*fake, "").await?.is_empty() {
            tokio::time::sleep(Millis::SECOND.duration()).await;
        }
        ledger.bill(receipt(2, 1, 1, 7));
        let sidecars = Arc::new(FakeSidecars::default());
        let receipts = vec![receipt(1, 1, 1, 30), receipt(2, 1, 1, 7)];
        sidecars.0.lock().unwrap().receipts = receipts;
        let notified = sidecars.clone();
        tokio::spawn(async move {
            while let Some(requests) = released.recv().await {
                notified.release(&requests);
            }
        });
        contacts::record(&*fake, &entry(1), &contacts()?).await?;
        let member = ObjectKey::new(Kind::Member, "entry.entry-a");
        let body = Bytes::from_static(br#"{"vm":"entry-a","number":2,"role":"entry"}"#);
        fake.put(&member, body, Precondition::Absent).await?;
        let vm =
            serde_json::json!({"id": "entry-a", "zone": "a", "ip": "127.0.0.1", "state": "live"});
        fake.set_vms(vec![serde_json::from_value(vm)?]);
        Ok(Self {
            fake,
            sidecars,
            holder_proxy,
            clock: clock.clone(),
        })
    }

    fn reclaimer(&self, platform: Arc<dyn Platform>, number: u64) -> Reclaimer {
        let wallet = wallet(platform.clone(), number, &self.clock);
        Reclaimer::new(platform, wallet, self.sidecars.clone(), self.clock.clone())
    }

    async fn finish(&self, number: u64) -> Result<Outcome> {
        let mut reclaimer = self.reclaimer(self.fake.clone(), number);
        for _ in 0..100 {
            match reclaimer.run_round().await {
                Ok(outcome) if outcome.unresolved.is_empty() => return Ok(outcome),
                Ok(_) | Err(_) => tokio::time::sleep(Millis::SECOND.duration()).await,
            }
        }
        fail!("the reclaim did not complete in 100 rounds")?;
        Ok(Outcome::default())
    }

    /// Checks that requests 1 and 2 are billed.
    async fn verify(&self, case: &str) -> Result<()> {
        self.verify_bills(&[1, 2], 37, case).await
    }

    /// Checks that every receipt is in exactly one segment, that all of them are settled, and that
    /// the remaining tokens are free.
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

/// When the paused holder resumes, relative to the reclaimer that takes over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Resume {
    Never,
    Before,
    Concurrently,
    After,
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_reclaimer_may_crash_and_the_holder_may_resume_at_any_step() -> Result<()> {
    use Fault::{AnswerLost, Delayed, Lost, None};
    use Resume::{After, Before, Concurrently, Never};
    let clock = runtime_clock();
    for step in 1..=STEPS {
        for fault in [None, AnswerLost, Lost, Delayed] {
            for resume in [Never, Before, Concurrently, After] {
                let case = format!("step {step}, {fault:?}, {resume:?}");
                let fixture = Fixture::new(&clock).await?;
                let proxy = Arc::new(Proxy::new(fixture.fake.clone()));
                proxy.disconnect_after(step, fault);
                let mut crashing = fixture.reclaimer(proxy.clone(), 8);
                let round = crashing.run_round();
                tokio::time::timeout(QUIESCENCE.duration(), round)
                    .await
                    .ok();
                if resume != Never && resume != After {
                    fixture.holder_proxy.reconnect();
                }
                if resume == Before {
                    tokio::time::sleep(QUIESCENCE.duration()).await;
                }
                fixture.finish(9).await?;
                fixture.holder_proxy.reconnect();
                proxy.reconnect();
                fixture.fake.deliver_delayed();
                // By then all remaining steps of the first reclaimer and the holder took effect or
                // failed.
                tokio::time::sleep(QUIESCENCE.duration()).await;
                fixture.verify(&case).await?;
            }
        }
    }
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn two_concurrent_reclaimers_settle_once() -> Result<()> {
    let fixture = Fixture::new(&runtime_clock()).await?;
    let (first, second) = tokio::join!(fixture.finish(8), fixture.finish(9));
    let reclaimed = first?.reclaimed.len() + second?.reclaimed.len();
    expect_that!(reclaimed, le(1));
    fixture.verify("two").await
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_holder_that_writes_just_before_the_reclaimer_keeps_its_segment() -> Result<()> {
    let fixture = Fixture::new(&runtime_clock()).await?;
    let proxy = Arc::new(Proxy::new(fixture.fake.clone()));
    // The holder's next segment has a receipt that the sidecars have already dropped.
    let mut holder_segment = Segment::new(entry(1), 2, Millis::ZERO);
    holder_segment.receipts.push(receipt(3, 1, 1, 5));
    proxy.write_concurrently(holder_segment.key(), holder_segment.encode()?);
    let mut slower = fixture.reclaimer(proxy, 8);
    expect_that!(slower.run_round().await, err(eq(&Error::Conflict)));
    fixture.finish(9).await?;
    fixture.verify_bills(&[1, 2, 3], 42, "slower").await
}

/// The VM list may omit a running VM for a while; its grants must not be reclaimed then.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_vm_counts_as_terminated_once_the_list_has_omitted_it_long_enough() -> Result<()> {
    let clock = Clock::new_manual(Millis::ZERO);
    let fixture = Fixture::new(&runtime_clock()).await?;
    let member = ObjectKey::new(Kind::Member, "entry.entry-a");
    let version = fixture.fake.get(&member).await?.or_fail()?.version;
    fixture.fake.delete(&member, version).await?;
    let wallet = wallet(fixture.fake.clone(), 8, &clock);
    let mut reclaimer = Reclaimer::new(
        fixture.fake.clone(),
        wallet,
        fixture.sidecars.clone(),
        clock.clone(),
    );
    let listed = fixture.fake.list_vms().await?;
    // Absent, listed again, absent, and absent for longer than the limit.
    let cases = [(vec![], 0), (listed, 0), (vec![], 0), (vec![], 1)];
    for (vms, reclaimed) in cases {
        fixture.fake.set_vms(vms);
        let outcome = reclaimer.run_round().await?;
        expect_that!(outcome.reclaimed.len(), eq(reclaimed));
        clock.advance(Millis::MINUTE);
    }
    fixture.verify("terminated VM").await
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_grant_is_not_reclaimed_while_the_evidence_is_incomplete() -> Result<()> {
    let fixture = Fixture::new(&runtime_clock()).await?;
    let reservation = RunningReservation {
        request: RequestId::new(9),
        grant: grant(1),
        reserved: Tokens::new(5),
    };
    let mut reclaimer = fixture.reclaimer(fixture.fake.clone(), 8);
    let set = |unreachable, running: Vec<RunningReservation>| {
        let mut state = fixture.sidecars.0.lock().unwrap();
        (state.unreachable, state.running) = (unreachable, running);
    };
    let cases = [
        (true, vec![], Reason::Unreachable("engine-2".parse()?)),
        (false, vec![reservation], Reason::Running(RequestId::new(9))),
    ];
    for (unreachable, running, reason) in cases {
        set(unreachable, running);
        let outcome = reclaimer.run_round().await?;
        expect_that!(outcome.reclaimed, is_empty());
        let reasons: Vec<_> = outcome.unresolved.into_iter().map(|u| u.reason).collect();
        expect_that!(reasons, eq(&vec![reason]));
        expect_that!(record(&fixture.fake).grants.len(), eq(1));
    }
    set(false, vec![]);
    let outcome = reclaimer.run_round().await?;
    let reclaimed = vec![(grant(1), Tokens::new(463))];
    expect_that!(outcome.reclaimed, eq(&reclaimed));
    fixture.verify("complete").await
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_receipt_that_another_entry_has_to_settle_blocks_the_reclaim() -> Result<()> {
    let fixture = Fixture::new(&runtime_clock()).await?;
    let records = read::records(&*fixture.fake).await?;
    let other_receipt = receipt(5, 2, 1, 10);
    let reply = FenceReply {
        sidecar: entry(1),
        receipts: vec![other_receipt],
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
