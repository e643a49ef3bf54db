//! Sidecars that race for the same requests over a store with faults.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use cyc_claim::{ClaimOutcome, Committer, DoneAnswer, Options, State, object_key};
use cyc_types::{Clock, Incarnation, Millis, RequestId, ServiceId, Tokens};
use googletest::prelude::*;
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

use crate::fake::{Fake, Faults};

const SEEDS: u64 = 60;
const REQUESTS: u128 = 8;
const SIDECARS: u64 = 3;
const ATTEMPTS: u64 = 12;

/// Runs and ends by request, as the callers of the committers saw them.
#[derive(Default)]
struct Seen {
    runs: BTreeMap<RequestId, u32>,
    /// Claims that a caller holds and has not given back. Invariant: at most 1.
    held: BTreeMap<RequestId, u32>,
    broken: Vec<String>,
}

async fn attempt(
    committer: Committer,
    service: ServiceId,
    request: RequestId,
    mut rng: SmallRng,
    seen: Arc<Mutex<Seen>>,
) {
    tokio::time::sleep(Duration::from_millis(rng.random_range(0..400))).await;
    let deadline = Millis::new(rng.random_range(1..400));
    let claiming = committer.claim(&service, 0, request, 7, deadline);
    // Some callers go away before the answer, which drops the future.
    let patience = Duration::from_millis(rng.random_range(1..800));
    let Ok(outcome) = tokio::time::timeout(patience, claiming).await else {
        return;
    };
    if outcome != ClaimOutcome::Claimed {
        return;
    }
    {
        let mut seen = seen.lock().expect("not poisoned");
        let held = seen.held.entry(request).or_default();
        *held += 1;
        let held = *held;
        let runs = seen.runs.get(&request).copied().unwrap_or(0);
        if held + runs > 1 {
            seen.broken
                .push(format!("{request}: {held} held after {runs} runs"));
        }
    }
    tokio::time::sleep(Duration::from_millis(rng.random_range(0..100))).await;
    let runs = rng.random_bool(0.4);
    {
        let mut seen = seen.lock().expect("not poisoned");
        *seen.held.entry(request).or_default() -= 1;
        *seen.runs.entry(request).or_default() += u32::from(runs);
    }
    if runs {
        let answer = DoneAnswer {
            status: 200,
            content_type: "text/plain".into(),
            body: "done".into(),
            tokens: Tokens::new(1),
        };
        committer.done(&service, 0, request, answer);
    } else {
        committer.not_run(&service, 0, request);
    }
}

async fn scene(seed: u64) -> Result<(usize, usize)> {
    let faults = Faults {
        lost_call: 8,
        lost_answer: 15,
        late_write: 15,
        throttled: 5,
        delay_ms: 30,
        late_ms: (0, 500),
    };
    let fake = Fake::new(seed, faults);
    let service: ServiceId = "hire-desk".parse()?;
    let seen = Arc::new(Mutex::new(Seen::default()));
    let mut rng = SmallRng::seed_from_u64(seed ^ 0xC1A1);
    let committers = (1..=SIDECARS).map(|number| {
        let me = Incarnation::new(format!("vm-{number}").parse()?, 1);
        let target = format!("desk-{number}").parse()?;
        let clock = Clock::new_manual(Millis::new(1));
        let options = Options::default();
        Ok(Committer::new(
            Arc::new(fake.clone()),
            me,
            target,
            clock,
            options,
        ))
    });
    let committers: Vec<Committer> = committers.collect::<Result<_>>()?;
    let mut tasks = Vec::new();
    for request in 0..REQUESTS {
        for _ in 0..ATTEMPTS {
            let committer = committers[rng.random_range(0..committers.len())].clone();
            let own = SmallRng::seed_from_u64(rng.random());
            let id = RequestId::new(request);
            tasks.push(tokio::spawn(attempt(
                committer,
                service.clone(),
                id,
                own,
                seen.clone(),
            )));
        }
    }
    for task in tasks {
        task.await?;
    }
    fake.set(Faults::default());
    for committer in &committers {
        committer.flush().await;
    }
    // Late writes of any sidecar have arrived or are barred by now.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let seen = seen.lock().expect("not poisoned");
    expect_that!(seen.broken, is_empty(), "seed {seed}");
    let bucket = fake.bucket(&object_key(&service, 0));
    for (request, claim) in &bucket.claims {
        let ran = seen.runs.get(request).copied().unwrap_or(0) == 1;
        let is_done = matches!(claim.state, State::Done { .. });
        expect_that!(
            claim.state,
            not(eq(&State::Claimed)),
            "seed {seed}, {request}"
        );
        expect_that!(is_done, eq(ran), "seed {seed}, {request}");
    }
    let ran = seen.runs.values().filter(|runs| **runs == 1).count();
    Ok((ran, bucket.claims.len()))
}

#[gtest]
fn no_request_is_claimed_twice_nor_left_open() -> Result<()> {
    let (mut ran, mut claimed) = (0, 0);
    for seed in 0..SEEDS {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()?;
        let (more_ran, more_claimed) = runtime.block_on(scene(seed))?;
        ran += more_ran;
        claimed += more_claimed;
    }
    // The faults leave enough successes for the test to mean something.
    expect_that!(ran, gt(SEEDS as usize));
    expect_that!(claimed, gt(ran));
    Ok(())
}
