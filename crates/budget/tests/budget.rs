//! Tests of operations, wallet, policies and controller, and a seeded model test of operations and
//! wallet.

#[path = "budget/controller.rs"]
mod controller;
#[path = "budget/fake.rs"]
mod fake;
#[path = "budget/model.rs"]
mod model;
#[path = "budget/ops.rs"]
mod ops;

use cyc_budget::{Op, Shard, apply};
use cyc_proto::GrantId;
use cyc_types::{BudgetId, Incarnation, Millis, Tokens};

fn budget() -> BudgetId {
    "league".parse().unwrap()
}

fn entry(number: u64) -> Incarnation {
    Incarnation::new("entry-a".parse().unwrap(), number)
}

fn grant(number: u64) -> GrantId {
    GrantId {
        budget: budget(),
        holder: entry(number),
    }
}

fn tokens(n: u64) -> Tokens {
    Tokens::new(n)
}

fn top_up(id: &str, n: u64) -> Op {
    Op::TopUp {
        budget: budget(),
        account: "dala".parse().unwrap(),
        id: id.into(),
        tokens: tokens(n),
        at: Millis::ZERO,
    }
}

fn draw(holder: u64, number: u64, want: u64) -> Op {
    Op::Draw {
        grant: grant(holder),
        number,
        want: tokens(want),
    }
}

fn return_tokens(holder: u64, number: u64, n: u64) -> Op {
    Op::Return {
        grant: grant(holder),
        number,
        tokens: tokens(n),
    }
}

fn settle(holder: u64, writer: u64, sequence: u64, spent: u64) -> Op {
    Op::Settle {
        grant: grant(holder),
        writer: entry(writer),
        sequence,
        spent: tokens(spent),
    }
}

/// A shard with 100 tokens paid, after `ops`, all of which must succeed.
fn shard_after(ops: &[Op]) -> Shard {
    let mut shard = Shard::default();
    apply(&mut shard, &top_up("first", 100)).unwrap();
    for op in ops {
        apply(&mut shard, op).unwrap();
    }
    shard
}
