//! Guards against a report that never ends, or does not add up, while entries settle segments
//! during the reads.

use std::sync::atomic::{AtomicU64, Ordering};

use async_trait::async_trait;
use cyc_budget::Op;
use cyc_ledger::{Segment, report};
use cyc_store::{
    Body, Change, Kind, Object, ObjectKey, Precondition, Result as PlatformResult, Vm,
};
use cyc_types::{ByteSize, Version};
use googletest::prelude::*;

use super::*;

/// Number of segment reads during each of which an entry settles one more segment.
const BUSY_READS: u64 = 30;
/// Tokens of each receipt.
const USED_TOKENS: u64 = 10;

/// A platform on which an entry settles a segment whenever segments are listed.
struct BusyPlatform {
    fake: Arc<FakePlatform>,
    wallet: WalletHandle,
    reads: AtomicU64,
}

impl BusyPlatform {
    async fn settle_one(&self, sequence: u64) -> PlatformResult<()> {
        let mut segment = Segment::new(entry(1), sequence, Millis::ZERO);
        segment.receipts = vec![receipt(sequence.into(), 1, 1, USED_TOKENS)];
        let body = Body::from(serde_json::to_vec(&segment).unwrap_or_default());
        self.fake
            .put(&segment.key(), body, Precondition::Absent)
            .await?;
        let sums = segment.sums().into_iter().collect();
        let settled = self.wallet.settle_segment(&segment.writer, sequence, sums);
        expect_that!(settled.await, ok(anything()));
        Ok(())
    }
}

#[async_trait]
impl Platform for BusyPlatform {
    async fn get(&self, key: &ObjectKey) -> PlatformResult<Option<Object>> {
        self.fake.get(key).await
    }

    async fn put(
        &self,
        key: &ObjectKey,
        body: Body,
        expect: Precondition,
    ) -> PlatformResult<Version> {
        self.fake.put(key, body, expect).await
    }

    async fn delete(&self, key: &ObjectKey, version: Version) -> PlatformResult<()> {
        self.fake.delete(key, version).await
    }

    async fn list(&self, kind: Kind, prefix: &str) -> PlatformResult<Vec<Object>> {
        if kind == Kind::Segment {
            let read = self.reads.fetch_add(1, Ordering::SeqCst) + 1;
            if read <= BUSY_READS {
                self.settle_one(read).await?;
            }
        }
        self.fake.list(kind, prefix).await
    }

    async fn watch(
        &self,
        kind: Kind,
        prefix: &str,
        since: Version,
        wait: Millis,
    ) -> PlatformResult<Vec<Change>> {
        self.fake.watch(kind, prefix, since, wait).await
    }

    async fn list_vms(&self) -> PlatformResult<Vec<Vm>> {
        self.fake.list_vms().await
    }

    async fn request_weight_permit(&self, bytes: ByteSize) -> PlatformResult<Option<Millis>> {
        self.fake.request_weight_permit(bytes).await
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_report_of_a_ledger_under_writes_ends_and_adds_up() -> googletest::Result<()> {
    let fake = Arc::new(FakePlatform::default());
    pay(&fake, "first", 1_000).await;
    let wallet = wallet(fake.clone(), 1, &runtime_clock());
    let draw = Op::Draw {
        grant: grant(1),
        number: 1,
        want: Tokens::new(500),
    };
    wallet.apply(draw).await.or_fail()?;
    let platform = BusyPlatform {
        fake,
        wallet,
        reads: AtomicU64::new(0),
    };
    let objects = report::collect(&platform).await?;
    let reads = platform.reads.load(Ordering::SeqCst);
    expect_that!(reads, lt(BUSY_READS));
    let report = report::report(&objects);
    let balance = report.accounts[&"dala".parse()?].balance;
    expect_that!(balance.is_balanced(), eq(true), "{balance:?}");
    let seen = balance.billed + balance.pending;
    expect_that!(seen, eq(Tokens::new(USED_TOKENS * reads)));
    Ok(())
}
