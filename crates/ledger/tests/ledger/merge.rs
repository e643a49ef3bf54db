//! Guards against duplicates that are credited twice or not at all when a merge is interrupted or
//! runs at two entries, and against a report that does not add up.

use cyc_budget::{Op, WalletHandle};
use cyc_ledger::{
    Segment, merge,
    merge::next_record,
    month::Month,
    read,
    report::{self, report},
};
use cyc_store::{Platform as _, Precondition};
use cyc_types::ErrorKind;
use googletest::prelude::*;

use super::{fake::Fault, *};

const WINDOW: Millis = Millis::new(600_000);

/// Writes a segment, and settles it if `settled` is set.
async fn put(
    fake: &FakePlatform,
    wallet: &WalletHandle,
    segment: &Segment,
    settled: bool,
) -> Result<()> {
    fake.put(&segment.key(), segment.encode()?, Precondition::Absent)
        .await?;
    if settled {
        let sums = segment.sums().into_iter().collect();
        let result = wallet
            .settle_segment(&segment.writer, segment.sequence, sums)
            .await;
        expect_that!(result, ok(anything()));
    }
    Ok(())
}

fn segment(writer: u64, sequence: u64, receipts: Vec<Receipt>) -> Segment {
    let mut segment = Segment::new(entry(writer), sequence, Millis::new(sequence));
    segment.receipts = receipts;
    segment
}

/// 1000 tokens are paid and entry 1 has drawn 500. Entries 1, 2 and 3 have billed request 1, and
/// the segment of entry 3 is not settled yet.
async fn billed_twice(fake: &Arc<FakePlatform>) -> Result<WalletHandle> {
    pay(fake, "first", 1_000).await;
    let wallet = wallet(fake.clone(), 1, &runtime_clock());
    let draw = Op::Draw {
        grant: grant(1),
        number: 1,
        want: Tokens::new(500),
    };
    wallet.apply(draw).await.or_fail()?;
    let first_segment = segment(1, 1, vec![receipt(1, 1, 1, 30), receipt(2, 1, 1, 7)]);
    put(fake, &wallet, &first_segment, true).await?;
    put(
        fake,
        &wallet,
        &segment(2, 2, vec![receipt(1, 2, 1, 25)]),
        true,
    )
    .await?;
    put(
        fake,
        &wallet,
        &segment(3, 3, vec![receipt(1, 3, 1, 20)]),
        false,
    )
    .await?;
    Ok(wallet)
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn duplicates_are_credited_once_under_every_write_fault() -> Result<()> {
    use Fault::{AnswerLost, Delayed, Lost, None};
    for faults in [
        &[None][..],
        &[AnswerLost],
        &[Lost, AnswerLost],
        &[Delayed],
        &[None, Delayed],
    ] {
        let fake = Arc::new(FakePlatform::default());
        let wallet = billed_twice(&fake).await?;
        fake.set_write_faults(faults);
        // Merges that meet a fault fail; later ones continue where they stopped.
        for _ in 0..3 {
            merge(&*fake, &wallet, WINDOW).await.ok();
        }
        fake.deliver_delayed();
        merge(&*fake, &wallet, WINDOW).await?;
        expect_that!(record(&fake).settled, eq(Tokens::new(37)), "{faults:?}");

        // The duplicate of entry 3 is credited only after it is settled.
        let sums = vec![(grant(1), Tokens::new(20))];
        let late = wallet.settle_segment(&entry(3), 3, sums).await;
        expect_that!(late, ok(anything()));
        expect_that!(record(&fake).settled, eq(Tokens::new(57)));
        merge(&*fake, &wallet, WINDOW).await?;
        expect_that!(record(&fake).settled, eq(Tokens::new(37)), "{faults:?}");
    }
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn only_one_of_two_concurrent_merges_writes_the_record() -> Result<()> {
    let fake = Arc::new(FakePlatform::default());
    let first = billed_twice(&fake).await?;
    let second = wallet(fake.clone(), 9, &runtime_clock());
    let results = tokio::join!(
        merge(&*fake, &first, WINDOW),
        merge(&*fake, &second, WINDOW)
    );
    let failed = [&results.0, &results.1].map(|result| result.is_err());
    expect_that!(failed.iter().filter(|failed| **failed).count(), eq(1));
    merge(&*fake, &second, WINDOW).await?;
    expect_that!(record(&fake).settled, eq(Tokens::new(37)));
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_request_id_after_the_window_is_a_new_request() -> Result<()> {
    let fake = Arc::new(FakePlatform::default());
    let _wallet = billed_twice(&fake).await?;
    let mut segments = read::segments(&*fake, "").await?;
    let records = read::records(&*fake).await?;
    segments[1].receipts[0].at = WINDOW;
    let near = next_record(&[], &segments, &records, WINDOW).or_fail()?;
    expect_that!(near.duplicates, len(eq(1)));
    segments[1].receipts[0].at = WINDOW + Millis::new(1);
    let far = next_record(&[], &segments, &records, WINDOW).or_fail()?;
    expect_that!(far.duplicates, is_empty());
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn the_report_adds_up() -> Result<()> {
    let fake = Arc::new(FakePlatform::default());
    let wallet = billed_twice(&fake).await?;
    let mut refusals = segment(1, 2, Vec::new());
    for (money_remained, requests) in [(true, 3), (false, 4)] {
        refusals.refusals.push(cyc_ledger::RefusalCount {
            budget: budget(),
            kind: ErrorKind::BudgetUnreachable,
            money_remained,
            requests,
            tokens: Tokens::new(requests * 10),
        });
    }
    put(&fake, &wallet, &refusals, false).await?;
    // A process crashed after it wrote the record and before the credit: nothing is credited yet.
    let objects = report::collect(&*fake).await?;
    let pending = next_record(&[], &objects.segments, &objects.records, WINDOW).or_fail()?;
    let body = serde_json::to_vec(&pending)?.into();
    fake.put(&merge::key(1), body, Precondition::Absent).await?;
    let early = report(&report::collect(&*fake).await?);
    let balance = &early.accounts[&"dala".parse()?].balance;
    expect_that!(balance.is_balanced(), eq(true), "{early}");
    expect_that!(balance.credited, eq(Tokens::ZERO));
    merge(&*fake, &wallet, WINDOW).await?;
    let fence = Incarnation::new(entry(1).vm, 2);
    cyc_member::fence::raise(&*fake, &fence).await?;
    let report = report(&report::collect(&*fake).await?);
    let account = &report.accounts[&"dala".parse()?];
    let balance = &account.balance;
    expect_that!(balance.is_balanced(), eq(true), "{report}");
    let sums = [
        balance.paid,
        balance.billed,
        balance.credited,
        balance.settled,
    ];
    expect_that!(sums.map(Tokens::get), eq([1_000, 62, 25, 37]));
    let sums = [
        balance.open,
        balance.unresolved,
        balance.free,
        balance.pending,
    ];
    expect_that!(sums.map(Tokens::get), eq([438, 438, 525, 20]));
    let month = &account.months[&Month::of(Millis::ZERO)];
    let refused = &month.refused[&ErrorKind::BudgetUnreachable];
    expect_that!((refused.requests, refused.tokens.get()), eq((3, 30)));
    expect_that!(
        (month.paid.get(), month.billed.get(), month.duplicates),
        eq((1_000, 62, 1))
    );
    expect_that!(
        serde_json::to_string(&report)?,
        contains_substring("\"1970-01\"")
    );
    expect_that!(report.to_string(), contains_substring("budget_unreachable"));
    Ok(())
}

#[gtest]
fn months_follow_the_calendar() -> Result<()> {
    let cases = [
        (0, "1970-01"),
        (951_782_399_999, "2000-02"),
        (951_868_800_000, "2000-03"),
        (1_709_164_800_000, "2024-02"),
        (1_709_251_200_000, "2024-03"),
        (1_798_761_599_999, "2026-12"),
        (1_798_761_600_000, "2027-01"),
    ];
    for (at, month) in cases {
        expect_that!(Month::of(Millis::new(at)).to_string(), eq(month), "{at}");
    }
    Ok(())
}
