//! Guards against requests that are counted twice or not at all by service level when a write of a
//! segment or its answer is lost.

use cyc_ledger::{Flusher, Segment, Series, flush, level, read};
use cyc_proto::sidecar::RouteClass;
use googletest::prelude::*;

use super::{fake::Fault, *};

#[gtest]
fn each_latency_has_one_bucket() -> googletest::Result<()> {
    expect_that!(level::bucket(Millis::ZERO), eq(0));
    for (index, bound) in level::LATENCY_BOUNDS.into_iter().enumerate() {
        expect_that!(level::bucket(bound), eq(index));
        expect_that!(level::bucket(bound + Millis::new(1)), eq(index + 1));
    }
    Ok(())
}

#[gtest]
fn a_segment_of_an_older_release_decodes_without_counts() -> googletest::Result<()> {
    let old = r#"{"writer":"a@1","sequence":1,"at":5,"receipts":[]}"#;
    let segment = Segment::decode(old.as_bytes())?;
    expect_that!(segment.levels, is_empty());
    expect_that!(segment.is_empty(), eq(true));
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn each_request_is_counted_once_under_every_fault() -> googletest::Result<()> {
    use Fault::{AnswerLost, Lost, None};
    for faults in [&[None] as &[_], &[AnswerLost], &[Lost, AnswerLost]] {
        let fake = Arc::new(FakePlatform::default());
        let clock = runtime_clock();
        let wallet = wallet(fake.clone(), 1, &clock);
        let options = flush::Options::default();
        let (ledger, flusher, _released) =
            Flusher::new(fake.clone(), wallet, entry(1), clock, options);
        fake.set_write_faults(faults);
        let series = Series {
            class: RouteClass::Status,
            service: "desk".parse()?,
            zone: "zone-a".parse()?,
        };
        ledger.record_request(series.clone(), true, Some(Millis::new(30)));
        ledger.record_request(series.clone(), false, Option::None);
        tokio::spawn(flusher.run());
        ledger.close(TIMEOUT).await;

        let segments = read::segments(fake.as_ref(), "").await?;
        let levels: Vec<_> = segments.iter().flat_map(|s| &s.levels).collect();
        expect_that!(levels.len(), eq(1), "{faults:?}");
        expect_that!(levels[0].series, eq(&series));
        expect_that!(levels[0].count.total, eq(2));
        expect_that!(levels[0].count.good, eq(1));
        expect_that!(levels[0].count.latency.iter().sum::<u64>(), eq(1));
    }
    Ok(())
}
