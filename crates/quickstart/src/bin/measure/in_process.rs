//! Time and memory of single operations and objects in one process.

use std::{
    collections::BTreeMap,
    hint::black_box,
    time::{Duration, Instant},
};

use cyc_budget::{ReserveOutcome, Wallet};
use cyc_claim::{Claim, State};
use cyc_config::{
    Account, ApiKey, Builder, EngineState, Service, Services, Slots, Target as ConfigTarget,
};
use cyc_ledger::segment::Segment;
use cyc_proto::{
    GrantId, Receipt,
    sidecar::{Frame, Heartbeat, HeartbeatReply, LoadReport, RouteClass},
};
use cyc_quickstart::Error;
use cyc_route::{Options, PrefixCache, RoutingRequest, Target, choose, prefix};
use cyc_types::{BudgetId, Incarnation, Millis, RequestId, Revision, Tokens};
use serde_json::to_vec;

use crate::{process::usage, refused};

/// Numbers of budgets in a wallet; the last is also the number of all accounts' budgets.
const BUDGETS: [usize; 3] = [10_000, 50_000, 130_000];
const TARGETS: [usize; 4] = [10, 100, 1_000, 10_000];
/// Receipts in one segment.
const RECEIPTS: usize = 1_000;
/// Hashes in a full prefix cache of one target, as in an entry.
const PREFIXES: usize = 4_096;
const ANSWERS: usize = 10_000;
const ANSWER_TOKENS: usize = 200;
const CLAIMS: usize = 100_000;
/// Size of each grant.
const GRANT_SIZE: Tokens = Tokens::new(100_000);
/// Worst-case cost of each request.
const WORST_CASE: Tokens = Tokens::new(10);

/// Prints all measurements.
pub fn measure() -> Result<(), Error> {
    for count in TARGETS {
        targets(count)?;
    }
    for count in BUDGETS {
        wallet(count)?;
    }
    receipts()?;
    messages()?;
    answers()?;
    claims()?;
    for count in TARGETS {
        services(count)?;
    }
    accounts()
}

/// Runs `f` and returns its result, the growth of the resident set in bytes, and the elapsed time.
fn measure_growth<T>(f: impl FnOnce() -> Result<T, Error>) -> Result<(T, u64, Duration), Error> {
    let id = std::process::id();
    let before = usage(id).rss_kib;
    let started = Instant::now();
    let result = f()?;
    let elapsed = started.elapsed();
    let bytes = usage(id).rss_kib.saturating_sub(before) * 1_024;
    Ok((result, bytes, elapsed))
}

/// Mean time of `count` calls of `f`, in nanoseconds.
fn mean_ns(count: usize, mut f: impl FnMut(usize)) -> f64 {
    let started = Instant::now();
    (0..count).for_each(&mut f);
    started.elapsed().as_nanos() as f64 / count as f64
}

fn incarnation(vm: &str) -> Result<Incarnation, Error> {
    Ok(Incarnation::new(vm.parse().map_err(refused)?, 1))
}

fn budget(n: usize) -> Result<BudgetId, Error> {
    format!("budget-{n:06}").parse().map_err(refused)
}

fn target(n: usize) -> Result<Target, Error> {
    let id = format!("engine-{n:05}").parse().map_err(refused)?;
    let service = "writing".parse().map_err(refused)?;
    let zone = format!("zone-{}", n % 23).parse().map_err(refused)?;
    let model = "writer".parse().map_err(refused)?;
    Ok(Target::new(id, vec![service], zone).with_models(vec![model]))
}

fn targets(count: usize) -> Result<(), Error> {
    let make = || (0..count).map(target).collect::<Result<Vec<_>, _>>();
    let (mut known, bytes, _) = measure_growth(make)?;
    let prompt = vec![b'x'; 8 * prefix::BLOCK_BYTES];
    let (prefixes, service, model, zone) = (
        prefix::hashes(&prompt),
        "writing".parse().map_err(refused)?,
        "writer".parse().map_err(refused)?,
        "zone-0".parse().map_err(refused)?,
    );
    let options = Options::default();
    let decide = |n: usize| {
        let request = RoutingRequest {
            service: &service,
            model: Some(&model),
            adapter: None,
            key: n as u64,
            prefixes: &prefixes,
            zone: &zone,
            now: Millis::ZERO,
            request_number: 0,
        };
        black_box(choose(&known, &request, &options));
    };
    let ns = mean_ns((2_000_000 / count).min(20_000), decide);
    let fill = || {
        for (n, target) in known.iter_mut().take(100).enumerate() {
            target.prefixes = PrefixCache::new(PREFIXES, Millis::MINUTE);
            let hashes: Vec<u64> = (0..PREFIXES).map(|k| (n * PREFIXES + k) as u64).collect();
            target.prefixes.record(&hashes, Millis::ZERO);
        }
        Ok(())
    };
    let ((), full, _) = measure_growth(fill)?;
    println!(
        "{count} targets: {:.0} bytes each; routing decision {:.1} us; full prefix \
         cache {:.0} bytes",
        bytes as f64 / count as f64,
        ns / 1_000.0,
        full as f64 / count.min(100) as f64
    );
    Ok(())
}

fn wallet(count: usize) -> Result<(), Error> {
    let budgets: Vec<BudgetId> = (0..count).map(budget).collect::<Result<_, _>>()?;
    let holder = incarnation("vm-entry-0")?;
    let make = || {
        let mut wallet = Wallet::new(holder);
        for budget in &budgets {
            let op = wallet.start_draw(budget, WORST_CASE);
            let op = op.ok_or_else(|| refused("wallet did not start a draw"))?;
            wallet.finish_draw(&op, GRANT_SIZE, Millis::ZERO);
        }
        Ok(wallet)
    };
    let (mut wallet, bytes, _) = measure_growth(make)?;
    let ns = mean_ns(200_000, |n| {
        let budget = &budgets[n.wrapping_mul(7_919) % count];
        if let ReserveOutcome::Granted(reservation) =
            wallet.reserve(budget, WORST_CASE, Millis::ZERO)
        {
            wallet.settle(reservation, WORST_CASE, Millis::ZERO);
        }
    });
    println!(
        "{count} open budgets: {:.0} bytes each; reserve and settle {:.0} ns",
        bytes as f64 / count as f64,
        ns
    );
    Ok(())
}

fn receipt(n: usize) -> Result<Receipt, Error> {
    let entry = incarnation("vm-entry-0")?;
    Ok(Receipt {
        request: RequestId::random(),
        account: format!("account-{:04}", n % 1_500)
            .parse()
            .map_err(refused)?,
        grant: GrantId {
            budget: budget(n % 130_000)?,
            holder: entry.clone(),
        },
        entry,
        attempt: n as u64,
        service: "writing".parse().map_err(refused)?,
        tokens: Tokens::new(290),
        at: Millis::new(1_800_000_000_000),
    })
}

fn receipts() -> Result<(), Error> {
    let mut segment = Segment::new(incarnation("vm-entry-0")?, 1, Millis::ZERO);
    segment.receipts = (0..RECEIPTS).map(receipt).collect::<Result<_, _>>()?;
    let bytes = segment.encode().map_err(refused)?.len();
    let encode_ns = mean_ns(100, |_| {
        black_box(segment.encode().ok());
    });
    let sum_ns = mean_ns(100, |_| {
        black_box(segment.sums());
    });
    println!(
        "receipt: {:.0} bytes in its segment; encode {:.2} us, sum by grant {:.2} us",
        bytes as f64 / RECEIPTS as f64,
        encode_ns / 1_000.0 / RECEIPTS as f64,
        sum_ns / 1_000.0 / RECEIPTS as f64
    );
    Ok(())
}

fn messages() -> Result<(), Error> {
    let heartbeat = Heartbeat {
        entry: incarnation("vm-entry-0")?,
        revision: Revision::ZERO,
        leaving: false,
    };
    let reply = |prefixes: Vec<u64>| -> Result<HeartbeatReply, Error> {
        Ok(HeartbeatReply {
            sidecar: incarnation("vm-engine-00000")?,
            target: "engine-00000".parse().map_err(refused)?,
            revision: Revision::ZERO,
            draining: false,
            load: LoadReport {
                models: vec!["writer".parse().map_err(refused)?],
                prefixes,
                ..LoadReport::default()
            },
            receipts: Vec::new(),
        })
    };
    let size = |json: Result<Vec<u8>, serde_json::Error>| json.map(|json| json.len());
    let empty = size(to_vec(&reply(Vec::new())?)).map_err(refused)?;
    let full = size(to_vec(&reply(vec![u64::MAX; 16])?)).map_err(refused)?;
    println!(
        "heartbeat: {} bytes of JSON; reply {empty} bytes, {full} bytes with 16 prefixes",
        size(to_vec(&heartbeat)).map_err(refused)?
    );
    Ok(())
}

fn answers() -> Result<(), Error> {
    let frame = |n: usize| Frame::Data {
        text: format!("w{n:08x} "),
        tokens: Tokens::new(1),
    };
    let answer = |_| -> Vec<Frame> { (0..ANSWER_TOKENS).map(frame).collect() };
    let (retained, bytes, _) = measure_growth(|| Ok((0..ANSWERS).map(answer).collect::<Vec<_>>()))?;
    println!(
        "buffered answer of {ANSWER_TOKENS} tokens: {:.0} bytes (mean of {})",
        bytes as f64 / ANSWERS as f64,
        retained.len()
    );
    Ok(())
}

fn claims() -> Result<(), Error> {
    let claim = Claim {
        fingerprint: u64::MAX,
        by: incarnation("vm-desk-00000")?,
        serial: 1,
        target: "desk-00000".parse().map_err(refused)?,
        state: State::Claimed,
        at: Millis::new(1_800_000_000_000),
    };
    let json = to_vec(&claim).map_err(refused)?.len();
    let one = |_| (RequestId::random(), claim.clone());
    let make = || Ok((0..CLAIMS).map(one).collect::<BTreeMap<_, _>>());
    let (retained, bytes, _) = measure_growth(make)?;
    println!(
        "open claim: {json} bytes of JSON, {:.0} bytes in memory (mean of {})",
        bytes as f64 / CLAIMS as f64,
        retained.len()
    );
    Ok(())
}

fn services(count: usize) -> Result<(), Error> {
    let (service, model) = ("writing".parse(), "writer".parse());
    let (service, model) = (service.map_err(refused)?, model.map_err(refused)?);
    let state = EngineState {
        models: vec![model],
        ..EngineState::default()
    };
    let model = state.models[0].clone();
    let mut builder =
        Builder::new().with_service(Service::new_engine(service, model, RouteClass::Drafting));
    for n in 0..count {
        let known = target(n)?;
        let vm = format!("vm-{}", known.id).parse().map_err(refused)?;
        let ip = [10, 0, (n / 250) as u8, (n % 250) as u8];
        let config_target = ConfigTarget::new(
            known.id,
            known.services[0].clone(),
            (vm, known.zone),
            (ip, 7_000).into(),
        );
        let slots = Slots {
            drafting: 16,
            ..Slots::default()
        };
        builder = builder.with_target(config_target.with_slots(slots).with_engine(state.clone()));
    }
    let started = Instant::now();
    let doc = builder.build().map_err(|e| refused(format!("{e:?}")))?;
    let build_time = started.elapsed();
    let text = serde_json::to_string(&doc.services).map_err(refused)?;
    let parse = || Services::parse(&text).map_err(|e| refused(format!("{e:?}")));
    let (_parsed, bytes, elapsed) = measure_growth(parse)?;
    println!(
        "services part with {count} targets: {} bytes of JSON, {bytes} bytes in memory; build and \
         validate {} us, parse and validate {} us",
        text.len(),
        build_time.as_micros(),
        elapsed.as_micros()
    );
    Ok(())
}

fn accounts() -> Result<(), Error> {
    const ACCOUNTS: usize = 1_500;
    let mut all = Vec::new();
    for n in 0..ACCOUNTS {
        let id = format!("account-{n:04}").parse().map_err(refused)?;
        let mut account = Account::new(id);
        for k in (n..BUDGETS[2]).step_by(ACCOUNTS) {
            let id = budget(k)?;
            let key = ApiKey::new(&format!("key-{k}"), id.clone());
            account = account.with_budget(id).with_key(key);
        }
        all.push(account);
    }
    let text = serde_json::to_string(&all).map_err(refused)?;
    let parse = || serde_json::from_str::<Vec<Account>>(&text).map_err(refused);
    let (_parsed, bytes, elapsed) = measure_growth(parse)?;
    println!(
        "{ACCOUNTS} accounts with {} budgets and as many keys: {} bytes of JSON, {bytes} bytes in \
         memory; parse {} us",
        BUDGETS[2],
        text.len(),
        elapsed.as_micros()
    );
    Ok(())
}
