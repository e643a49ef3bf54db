//! Cost of one admission: at a sidecar by the number of requests in its table, and in the wallet of
//! an entry by the number of budgets that it holds.

use std::{hint::black_box, time::Duration};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use cyc_budget::{ReserveOutcome, Wallet};
use cyc_proto::{
    receipt::GrantId,
    sidecar::{RouteClass, RunRequest, Work},
};
use cyc_sidecar::table::{Admitted, RunTable};
use cyc_types::{BudgetId, Incarnation, Millis, RequestId, Tokens, VmId, size::ParseValueError};

/// Numbers of requests in the table, and of budgets in the wallet.
const SIZES: [u64; 4] = [10, 100, 1_000, 10_000];

fn request(id: u64) -> Result<RunRequest, ParseValueError> {
    let entry = Incarnation::new("vm-entry".parse::<VmId>()?, 3);
    Ok(RunRequest {
        request: format!("{id:032x}").parse::<RequestId>()?,
        entry: entry.clone(),
        sidecar: Incarnation::new("vm-desk".parse::<VmId>()?, 1),
        attempt: id,
        account: "league".parse()?,
        service: "hire-desk".parse()?,
        class: RouteClass::Booking,
        idempotent: true,
        fingerprint: 7,
        grant: GrantId {
            budget: "league".parse()?,
            holder: entry,
        },
        reserved: Tokens::new(100),
        replay: None,
        deadline: Millis::new(1_000),
        work: Work::Call {
            method: "GET".into(),
            path: "/kits/7".into(),
            content_type: None,
            body: String::new(),
        },
    })
}

/// Admits and starts a request; true if a new run was started.
fn admit(table: &RunTable, req: &RunRequest) -> bool {
    match table.admit(req) {
        Ok(Admitted::New(run)) => table.start(&run).is_ok(),
        Ok(Admitted::Existing(_)) | Err(_) => false,
    }
}

fn sidecar(c: &mut Criterion) {
    let mut group = c.benchmark_group("admit/sidecar");
    for size in SIZES {
        let table = RunTable::default();
        let Ok(all) = (0..=size).map(request).collect::<Result<Vec<_>, _>>() else {
            return;
        };
        for req in &all[1..] {
            admit(&table, req);
        }
        let mut req = all[0].clone();
        group.bench_function(BenchmarkId::new("new", size), |b| {
            b.iter(|| {
                req.attempt += 1;
                let is_new = admit(&table, black_box(&req));
                // The run ends as not run, so that the next iteration starts a new one.
                if let Some(run) = table.find(req.request) {
                    table.end_not_run(&run, Millis::ZERO);
                }
                is_new
            });
        });
        group.bench_with_input(BenchmarkId::new("join", size), &all[1], |b, req| {
            b.iter(|| table.admit(black_box(req)).is_ok());
        });
    }
    group.finish();
}

fn wallet(c: &mut Criterion) {
    let mut group = c.benchmark_group("admit/wallet");
    for size in SIZES {
        let Ok(vm) = "vm-entry".parse::<VmId>() else {
            return;
        };
        let mut wallet = Wallet::new(Incarnation::new(vm, 1));
        let budgets: Vec<BudgetId> = (0..size)
            .filter_map(|n| format!("budget-{n}").parse().ok())
            .collect();
        for budget in &budgets {
            let tokens = Tokens::new(1_000_000_000);
            if let Some(op) = wallet.start_draw(budget, tokens) {
                wallet.finish_draw(&op, tokens, Millis::ZERO);
            }
        }
        let mut index = 0;
        group.bench_function(BenchmarkId::new("reserve_and_settle", size), |b| {
            b.iter(|| {
                index = (index + 1) % budgets.len();
                let reserved =
                    wallet.reserve(black_box(&budgets[index]), Tokens::new(100), Millis::ZERO);
                match reserved {
                    ReserveOutcome::Granted(reservation) => {
                        wallet.settle(reservation, Tokens::new(1), Millis::ZERO);
                        true
                    }
                    _ => false,
                }
            });
        });
    }
    group.finish();
}

fn options() -> Criterion {
    Criterion::default()
        .sample_size(20)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1))
}

criterion_group! {
    name = benches;
    config = options();
    targets = sidecar, wallet
}
criterion_main!(benches);
