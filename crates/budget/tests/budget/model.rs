//! A seeded model of several holders over one shard, with lost answers, duplicates and delayed
//! writes and messages in any order.

use std::collections::BTreeMap;

use cyc_budget::{
    Applied, Op, OpError, Reservation, Reserve, Shard, Wallet, apply, wallet::HolderOp,
};
use cyc_types::Tokens;
use googletest::prelude::*;
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};

use super::*;

const SEEDS: u64 = 400;
const STEPS: u32 = 300;
const MAX_HOLDERS: usize = 6;
const NOW: Millis = Millis::ZERO;

type Sums = BTreeMap<GrantId, Tokens>;

#[derive(Clone)]
enum Pending {
    Draw(HolderOp),
    Return(HolderOp),
    Settle(Op),
}

struct Holder {
    me: Incarnation,
    wallet: Wallet,
    reservations: Vec<Reservation>,
    pending: Vec<Pending>,
    receipts: Sums,
    segments: Vec<Sums>,
    messages: u64,
    fenced: bool,
}

impl Holder {
    fn new(number: u64) -> Self {
        Self {
            me: entry(number),
            wallet: Wallet::new(entry(number)),
            reservations: Vec::new(),
            pending: Vec::new(),
            receipts: Sums::new(),
            segments: Vec::new(),
            messages: 0,
            fenced: false,
        }
    }

    /// Moves the receipts into the next segment and returns the operations that settle it.
    fn flush(&mut self) -> Vec<Op> {
        let sums = std::mem::take(&mut self.receipts);
        self.segments.push(sums);
        self.settles(self.segments.len())
    }

    fn settles(&self, sequence: usize) -> Vec<Op> {
        let sums = self.segments[sequence - 1].iter();
        sums.map(|(grant, spent)| Op::Settle {
            grant: grant.clone(),
            writer: self.me.clone(),
            sequence: sequence as u64,
            spent: *spent,
        })
        .collect()
    }
}

#[derive(Clone)]
enum Message {
    Loan(usize, u64, GrantId, Tokens),
    Repayment(usize, (Incarnation, u64), GrantId, Tokens),
}

struct Model {
    rng: StdRng,
    shard: Shard,
    version: u64,
    delayed: Vec<(u64, Shard)>,
    holders: Vec<Holder>,
    messages: Vec<Message>,
}

impl Model {
    fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            shard: shard_after(&[]),
            version: 0,
            delayed: Vec::new(),
            holders: (1..=3).map(Holder::new).collect(),
            messages: Vec::new(),
        }
    }

    fn write(&mut self, expect: u64, shard: Shard) {
        if expect == self.version {
            self.version += 1;
            self.shard = shard;
        }
    }

    fn apply_now(&mut self, op: &Op) -> Result<()> {
        let mut shard = self.shard.clone();
        apply(&mut shard, op)?;
        self.write(self.version, shard);
        Ok(())
    }

    fn amount(&mut self, max: u64) -> Tokens {
        tokens(self.rng.random_range(1..=max))
    }

    fn step(&mut self) -> Result<()> {
        let i = self.rng.random_range(0..self.holders.len());
        match self.rng.random_range(0..15) {
            0 => {
                let id = self.rng.random_range(1..6);
                self.apply_now(&top_up(&id.to_string(), id * 50))?;
            }
            1 => {
                let need = self.amount(120);
                let op = self.holders[i].wallet.start_draw(&budget(), need);
                self.holders[i].pending.extend(op.map(Pending::Draw));
            }
            2 => {
                let n = self.amount(80);
                let op = self.holders[i].wallet.start_return(&budget(), n);
                self.holders[i].pending.extend(op.map(Pending::Return));
            }
            3 | 4 => self.reserve(i),
            5 => self.end_run(i),
            6 => self.lend(i),
            7 => self.deliver_message(),
            8 => self.repay(i),
            9 if !self.holders[i].fenced => {
                let ops = self.holders[i].flush();
                let settles = ops.into_iter().map(Pending::Settle);
                self.holders[i].pending.extend(settles);
            }
            10 if !self.delayed.is_empty() => {
                let k = self.rng.random_range(0..self.delayed.len());
                let (expect, shard) = self.delayed.swap_remove(k);
                self.write(expect, shard);
            }
            11 if self.rng.random_range(0..5) == 0 => self.reclaim(i)?,
            _ => {
                let fate = self.rng.random_range(0..5);
                self.attempt(i, fate)?;
            }
        }
        self.check()
    }

    fn is_fenced(&self, holder: &Incarnation) -> bool {
        self.holders.iter().any(|h| h.me == *holder && h.fenced)
    }

    fn reserve(&mut self, i: usize) {
        let worst = self.amount(60);
        let result = self.holders[i].wallet.reserve(&budget(), worst, NOW);
        let Reserve::Granted(reservation) = result else {
            return;
        };
        let refused = self.holders[i].fenced || self.is_fenced(&reservation.grant.holder);
        let holder = &mut self.holders[i];
        match refused {
            true => holder.wallet.release(reservation, NOW),
            false => holder.reservations.push(reservation),
        }
    }

    fn end_run(&mut self, i: usize) {
        let holder = &mut self.holders[i];
        let Some(reservation) = holder.reservations.pop() else {
            return;
        };
        let used = tokens(self.rng.random_range(0..=reservation.tokens.get()));
        *holder
            .receipts
            .entry(reservation.grant.clone())
            .or_default() += used;
        holder.wallet.settle(reservation, used, NOW);
    }

    fn lend(&mut self, donor: usize) {
        let borrower = self.rng.random_range(0..self.holders.len());
        if donor == borrower {
            return;
        }
        // Now and then the last loan is asked for again, because its answer was lost.
        if self.rng.random_range(0..3) != 0 {
            self.holders[borrower].messages += 1;
        }
        let number = self.holders[borrower].messages * 10 + donor as u64;
        let loan = (self.holders[borrower].me.clone(), number);
        let want = self.amount(60);
        let lent = self.holders[donor]
            .wallet
            .lend(loan, &budget(), want, tokens(1));
        if let Some((grant, lent)) = lent {
            let message = Message::Loan(borrower, number, grant, lent);
            self.messages.push(message);
        }
    }

    fn repay(&mut self, i: usize) {
        let holder = &mut self.holders[i];
        let Some((grant, _)) = holder.wallet.borrowed().into_iter().next() else {
            return;
        };
        holder.messages += 1;
        let number = (holder.me.clone(), holder.messages);
        let left = holder.wallet.start_repay(&grant);
        let donor = self.holders.iter().position(|h| h.me == grant.holder);
        let message = donor.map(|donor| Message::Repayment(donor, number, grant, left));
        self.messages.extend(message);
    }

    fn deliver_message(&mut self) {
        if self.messages.is_empty() {
            return;
        }
        let k = self.rng.random_range(0..self.messages.len());
        let message = match self.rng.random_range(0..4) {
            0 => self.messages[k].clone(),
            1 => {
                self.messages.swap_remove(k);
                return;
            }
            _ => self.messages.swap_remove(k),
        };
        match message {
            Message::Loan(to, number, grant, n) => {
                self.holders[to].wallet.borrow(number, &grant, n);
            }
            Message::Repayment(to, number, grant, n) => {
                self.holders[to].wallet.repay(number, &grant, n);
            }
        }
    }

    /// One conditional update with all that is pending: answered (0, 1), unanswered (2), lost
    /// (3) or delayed (4).
    fn attempt(&mut self, i: usize, fate: u32) -> Result<()> {
        let mut shard = self.shard.clone();
        let free = tokens(self.rng.random_range(1..=200));
        let pending = self.holders[i].pending.clone();
        let results: Vec<_> = pending
            .iter()
            .map(|pending| apply(&mut shard, &op_of(pending, free)))
            .collect();
        let changed = results.iter().any(|r| matches!(r, Ok(Applied::Now(_))));
        if changed {
            match fate {
                0..=2 => self.write(self.version, shard),
                3 => {}
                _ => self.delayed.push((self.version, shard)),
            }
            if fate >= 2 {
                return Ok(());
            }
        }
        let holder = &mut self.holders[i];
        holder.pending.clear();
        for (pending, result) in pending.into_iter().zip(results) {
            match (pending, result) {
                (Pending::Draw(_) | Pending::Return(_), Err(OpError::Closed(_))) => {
                    verify_that!(holder.fenced, eq(true))?;
                    holder.wallet.fence();
                }
                (Pending::Draw(op), result) => {
                    holder.wallet.finish_draw(&op, result?.tokens(), NOW);
                }
                (Pending::Return(op), result) => {
                    result?;
                    holder.wallet.finish_return(&op);
                }
                (Pending::Settle(_), result) => {
                    result?;
                }
            }
        }
        Ok(())
    }

    /// Fences a holder; reclaims its grant unless something that it pays is not settled yet.
    fn reclaim(&mut self, i: usize) -> Result<()> {
        self.holders[i].fenced = true;
        let me = self.holders[i].me.clone();
        let id = GrantId {
            budget: budget(),
            holder: me.clone(),
        };
        let running = !self.holders[i].reservations.is_empty()
            || self
                .holders
                .iter()
                .any(|h| h.reservations.iter().any(|r| r.grant == id));
        let others = self.holders.iter().filter(|h| h.me != me);
        if running || others.map(|h| self.unsettled(h, &id)).sum::<Tokens>() > Tokens::ZERO {
            return Ok(());
        }
        if !self.holders[i].receipts.is_empty() {
            self.holders[i].flush();
        }
        for sequence in 1..=self.holders[i].segments.len() {
            for op in self.holders[i].settles(sequence) {
                self.apply_now(&op)?;
            }
        }
        let grant = self.shard.budgets[&budget()].grants.get(&me);
        if let Some(left) = grant.map(|grant| grant.amount) {
            self.apply_now(&Op::Reclaim { grant: id, left })?;
        }
        if self.holders.len() < MAX_HOLDERS {
            let number = self.holders.len() as u64 + 1;
            self.holders.push(Holder::new(number));
        }
        Ok(())
    }

    /// What a holder has used of a grant and the shard does not count yet.
    fn unsettled(&self, holder: &Holder, id: &GrantId) -> Tokens {
        let record = &self.shard.budgets[&budget()];
        let grant = record.grants.get(&id.holder);
        let last = grant.and_then(|grant| grant.applied.get(&holder.me));
        let last = last.copied().unwrap_or_default() as usize;
        let later = holder.segments.iter().skip(last);
        let parts = later.chain([&holder.receipts]);
        parts.filter_map(|sums| sums.get(id).copied()).sum()
    }

    /// The paid total covers all, and no grant is promised to more than it holds.
    fn check(&self) -> Result<()> {
        let record = &self.shard.budgets[&budget()];
        verify_that!(record.is_sound(), eq(true))?;
        for (holder, grant) in &record.grants {
            if self.is_fenced(holder) {
                continue;
            }
            let id = GrantId {
                budget: budget(),
                holder: holder.clone(),
            };
            let mut promised = Tokens::ZERO;
            for h in &self.holders {
                let reserved = h.reservations.iter().filter(|r| r.grant == id);
                promised += reserved.map(|r| r.tokens).sum();
                promised += self.unsettled(h, &id);
                let lent = h.wallet.borrowed().into_iter().filter(|(g, _)| *g == id);
                promised += lent.map(|(_, free)| free).sum();
                if h.me == *holder {
                    promised += h.wallet.own_free(&budget());
                }
            }
            verify_that!(promised, le(grant.amount))?;
        }
        Ok(())
    }

    /// Ends all runs, settles all segments, and compares what is billed with what is settled.
    fn finish(&mut self) -> Result<()> {
        for (expect, shard) in std::mem::take(&mut self.delayed) {
            self.write(expect, shard);
        }
        for i in 0..self.holders.len() {
            while !self.holders[i].reservations.is_empty() {
                self.end_run(i);
            }
            let ops = self.holders[i].flush();
            let settles = ops.into_iter().map(Pending::Settle);
            self.holders[i].pending.extend(settles);
            self.attempt(i, 0)?;
            self.check()?;
        }
        let segments = self.holders.iter().flat_map(|h| &h.segments);
        let billed: Tokens = segments.flat_map(|sums| sums.values().copied()).sum();
        let record = &self.shard.budgets[&budget()];
        verify_that!(record.settled, eq(billed))?;
        Ok(())
    }
}

fn op_of(pending: &Pending, want: Tokens) -> Op {
    match pending {
        Pending::Settle(op) => op.clone(),
        Pending::Draw(op) => Op::Draw {
            grant: op.grant.clone(),
            number: op.number,
            want: want.max(op.tokens),
        },
        Pending::Return(op) => Op::Return {
            grant: op.grant.clone(),
            number: op.number,
            tokens: op.tokens,
        },
    }
}

#[gtest]
fn no_order_of_faults_mints_or_loses_tokens() -> Result<()> {
    for seed in 0..SEEDS {
        let mut model = Model::new(seed);
        for step in 0..STEPS {
            let result = model.step();
            verify_that!(result, ok(anything()))
                .with_failure_message(|| format!("seed {seed}, step {step}"))?;
        }
        let result = model.finish();
        verify_that!(result, ok(anything())).with_failure_message(|| format!("seed {seed}"))?;
    }
    Ok(())
}
