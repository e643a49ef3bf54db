//! Seeded test. Guards against a request that is run twice, or whose claim stays open, when
//! sidecars race for it on a store that loses and delays writes and answers.

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
const ATTEMPTS_PER_REQUEST: u64 = 12;

/// Runs and open claims by request, as observed by the callers of the committers.
#[derive(Default)]
struct Observed {
    runs: BTreeMap<RequestId, u32>,
    /// Claims granted to a caller and not ended. Invariant: at most 1.
    open_claims: BTreeMap<RequestId, u32>,
    violations: Vec<String>,
}

async fn attempt(
    committer: Committer,
    service: ServiceId,
    request: RequestId,
    mut rng: SmallRng,
    observed: Arc<Mutex<Observed>>,
) {
    tokio::time::sleep(Duration::from_millis(rng.random_range(0..400))).await;
    let claim_timeout = Millis::new(rng.random_range(1..400));
    let claiming = committer.claim(&service, 0, request, 7, claim_timeout);
    // Some callers are cancelled before the answer, which drops the future.
    let caller_timeout = Duration::from_millis(rng.random_range(1..800));
    let Ok(outcome) = tokio::time::timeout(caller_timeout, claiming).await else {
        return;
    };
    if outcome != ClaimOutcome::Claimed {
        return;
    }
    {
        let mut observed = observed.lock().expect("not poisoned");
        let open_claims = observed.open_claims.entry(request).or_default();
        *open_claims += 1;
        let open_claims = *open_claims;
        let runs = observed.runs.get(&request).copied().unwrap_or(0);
        if open_claims + runs > 1 {
            observed.violations.push(format!(
                "{request}: {open_claims} open claims after {runs} runs"
            ));
        }
    }
    tokio::time::sleep(Duration::from_millis(rng.random_range(0..100))).await;
    let is_run = rng.random_bool(0.4);
    {
        let mut observed = observed.lock().expect("not poisoned");
        *observed.open_claims.entry(request).or_default() -= 1;
        *observed.runs.entry(request).or_default() += u32::from(is_run);
    }
    if is_run {
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

async fn run_race(seed: u64) -> Result<(usize, usize)> {
    let faults = Faults {
        lost_call: 8,
        lost_answer: 15,
        late_write: 15,
        throttled: 5,
        max_delay_ms: 30,
        late_delay_ms: (0, 500),
    };
    let fake = Fake::new(seed, faults);
    let service: ServiceId = "hire-desk".parse()?;
    let observed = Arc::new(Mutex::new(Observed::default()));
    let mut rng = SmallRng::seed_from_u64(seed ^ 0xC1A1);
    let committers = (1..=SIDECARS).map(|number| {
        let incarnation = Incarnation::new(format!("vm-{number}").parse()?, 1);
        let target = format!("desk-{number}").parse()?;
        let clock = Clock::new_manual(Millis::new(1));
        let options = Options::default();
        Ok(Committer::new(
            Arc::new(fake.clone()),
            incarnation,
            target,
            clock,
            options,
        ))
    });
    let committers: Vec<Committer> = committers.collect::<Result<_>>()?;
    let mut tasks = Vec::new();
    for request in 0..REQUESTS {
        for _ in 0..ATTEMPTS_PER_REQUEST {
            let committer = committers[rng.random_range(0..committers.len())].clone();
            let task_rng = SmallRng::seed_from_u64(rng.random());
            let id = RequestId::new(request);
            tasks.push(tokio::spawn(attempt(
                committer,
                service.clone(),
                id,
                task_rng,
                observed.clone(),
            )));
        }
    }
    for task in tasks {
        task.await?;
    }
    fake.set_faults(Faults::default());
    for committer in &committers {
        committer.flush().await;
    }
    // By now late writes of all sidecars have arrived or can no longer take effect.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let observed = observed.lock().expect("not poisoned");
    expect_that!(observed.violations, is_empty(), "seed {seed}");
    let bucket = fake.bucket(&object_key(&service, 0));
    for (request, claim) in &bucket.claims {
        let was_run = observed.runs.get(request).copied().unwrap_or(0) == 1;
        let is_done = matches!(claim.state, State::Done { .. });
        expect_that!(
            claim.state,
            not(eq(&State::Claimed)),
            "seed {seed}, {request}"
        );
        expect_that!(is_done, eq(was_run), "seed {seed}, {request}");
    }
    let requests_run = observed.runs.values().filter(|runs| **runs == 1).count();
    Ok((requests_run, bucket.claims.len()))
}

#[gtest]
fn no_request_is_claimed_twice_nor_left_open() -> Result<()> {
    let (mut requests_run, mut requests_claimed) = (0, 0);
    for seed in 0..SEEDS {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()?;
        let (more_run, more_claimed) = runtime.block_on(run_race(seed))?;
        requests_run += more_run;
        requests_claimed += more_claimed;
    }
    // Guards against a test that passes because the faults let too few requests succeed.
    expect_that!(requests_run, gt(SEEDS as usize));
    expect_that!(requests_claimed, gt(requests_run));
    Ok(())
}
