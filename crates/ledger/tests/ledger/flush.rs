//! Guards against receipts that are lost, billed twice or written after a fence when the platform
//! loses or delays a write or its answer, or is unavailable.

use cyc_ledger::{
    Billed, Flusher, Ledger, Segment, flush,
    segment::{self, MAX_SEGMENT_BYTES},
};
use cyc_store::{Kind, Platform as _, Precondition};
use cyc_types::ErrorKind;
use googletest::prelude::*;
use tokio::sync::mpsc::UnboundedReceiver;

use super::{fake::Fault, *};

type Released = UnboundedReceiver<Vec<RequestId>>;

async fn start(
    fake: &Arc<FakePlatform>,
    max_backlog: usize,
) -> Result<(WalletHandle, Ledger, Released)> {
    pay(fake, "first", 1_000).await;
    let clock = runtime_clock();
    let wallet = wallet(fake.clone(), 1, &clock);
    let options = flush::Options {
        max_backlog,
        ..flush::Options::default()
    };
    let (ledger, flusher, released) =
        Flusher::new(fake.clone(), wallet.clone(), entry(1), clock, options);
    let reservation = wallet.reserve(&budget(), Tokens::new(500), TIMEOUT).await?;
    wallet.settle(reservation, Tokens::new(500));
    tokio::spawn(flusher.run());
    Ok((wallet, ledger, released))
}

async fn next(released: &mut Released) -> Option<Vec<RequestId>> {
    let received = tokio::time::timeout(TIMEOUT.duration(), released.recv());
    received.await.ok().flatten()
}

async fn segments(fake: &FakePlatform) -> Result<Vec<Segment>> {
    let objects = fake.list(Kind::Segment, "").await?;
    let segments = objects.iter().map(|o| Ok(Segment::decode(&o.body)?));
    segments.collect()
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn each_receipt_is_in_one_segment_and_settled_once_under_every_fault() -> Result<()> {
    use Fault::{AnswerLost, Delayed, Lost, None};
    let fault_sequences: &[&[Fault]] = &[
        &[None, None],
        &[AnswerLost, AnswerLost],
        &[Lost, AnswerLost, Lost, AnswerLost],
        &[Delayed, None, Delayed, None],
    ];
    for faults in fault_sequences {
        let fake = Arc::new(FakePlatform::default());
        let (_wallet, ledger, mut released) = start(&fake, 10).await?;
        fake.set_write_faults(faults);
        expect_that!(ledger.bill(receipt(1, 1, 1, 30)), eq(Billed::Accepted));
        expect_that!(ledger.bill(receipt(1, 1, 1, 31)), eq(Billed::Duplicate));
        expect_that!(ledger.bill(receipt(2, 2, 1, 32)), eq(Billed::OtherEntry));
        ledger.record_refusal(&budget(), ErrorKind::Overloaded, Tokens::new(9), true);
        ledger.record_refusal(&budget(), ErrorKind::Overloaded, Tokens::new(9), true);
        let first = next(&mut released).await;
        expect_that!(first, some(eq(&vec![RequestId::new(1)])), "{faults:?}");
        fake.deliver_delayed();
        expect_that!(ledger.bill(receipt(1, 1, 1, 31)), eq(Billed::Duplicate));
        expect_that!(next(&mut released).await, some(anything()));
        let status = ledger.close(TIMEOUT).await;
        expect_that!(status, eq(&flush::Status::default()), "{faults:?}");
        let segments = segments(&fake).await?;
        expect_that!(segments, len(eq(1)), "{faults:?}");
        expect_that!(segments[0].receipts, eq(&vec![receipt(1, 1, 1, 30)]));
        expect_that!(segments[0].refusals[0].requests, eq(2));
        expect_that!(record(&fake).settled, eq(Tokens::new(30)), "{faults:?}");
    }
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn an_outage_loses_no_receipt_and_the_backlog_is_bounded() -> Result<()> {
    let fake = Arc::new(FakePlatform::default());
    let (_wallet, ledger, mut released) = start(&fake, 3).await?;
    fake.set_outage(true);
    for request in 1..=4 {
        expect_that!(ledger.has_room(), eq(request < 4));
        ledger.bill(receipt(request, 1, 1, 10));
    }
    let status = ledger.close(Millis::SECOND).await;
    expect_that!(status.unflushed + status.unsettled, eq(4));
    fake.set_outage(false);
    let mut count = 0;
    while count < 4 {
        count += next(&mut released).await.or_fail()?.len();
    }
    expect_that!(record(&fake).settled, eq(Tokens::new(40)));
    Ok(())
}

/// A reclaimer writes the next segment of an entry that is paused. If the entry resumes and writes
/// the same receipts to a further segment, they are billed twice.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_segment_that_another_process_wrote_in_our_name_fences_the_flusher() -> Result<()> {
    let fake = Arc::new(FakePlatform::default());
    let (wallet, ledger, mut released) = start(&fake, 3).await?;
    let mut foreign_segment = Segment::new(entry(1), 1, Millis::ZERO);
    foreign_segment.receipts.push(receipt(7, 1, 1, 5));
    let key = segment::key(&entry(1), 1);
    fake.put(&key, foreign_segment.encode()?, Precondition::Absent)
        .await?;
    ledger.bill(receipt(8, 1, 1, 10));
    expect_that!(ledger.close(TIMEOUT).await.fenced, eq(true));
    let refused = wallet.reserve(&budget(), Tokens::new(1), TIMEOUT).await;
    expect_that!(refused.map_err(|e| e.kind), err(eq(&ErrorKind::Fenced)));
    drop(ledger);
    expect_that!(next(&mut released).await, none());
    Ok(())
}

#[gtest]
fn receipts_are_split_into_segments_by_size_without_loss() -> Result<()> {
    let mut waiting: Vec<Receipt> = (0..5_000).map(|n| receipt(n, 1, 1, 1)).collect();
    let mut sum = Tokens::ZERO;
    let mut sequence = 0;
    while !waiting.is_empty() {
        sequence += 1;
        let mut segment = Segment::new(entry(1), sequence, Millis::ZERO);
        segment.fill(&mut waiting, &mut Vec::new());
        let body = segment.encode()?;
        expect_that!(body.len(), le(MAX_SEGMENT_BYTES));
        expect_that!(Segment::decode(&body), ok(eq(&segment)));
        sum += segment.sums().into_values().sum();
    }
    expect_that!(sum, eq(Tokens::new(5_000)));
    expect_that!(sequence, gt(1));
    Ok(())
}
