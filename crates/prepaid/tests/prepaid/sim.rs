//! A fleet of entries, one account and a store, in steps of 10 ms. It follows the control loops of
//! `cyc-gateway`: rounds of record writes, loans, returns, and requests that wait for tokens.

use std::collections::BTreeMap;

use cyc_prepaid::{
    Allocations, LoanRefusal, LoanReply, LoanRequest, Record, Reservation, Role, Shortage,
    TokenReturn, WaiterId, last_tokens::Claim,
};
use cyc_types::{ClientAccountId, Millis, Tokens, Version, VmId};
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};

pub const STEP_MS: u64 = 10;
/// An eighth of an objective of 1.2 s.
const TOKEN_WAIT_MS: u64 = 150;
const LEND_WAIT_MS: u64 = 50;
const DRAW_TIME_MS: u64 = 30;
const NO_LOAN_MS: u64 = 150;
const SEEDED: &str = "key";

pub fn account() -> ClientAccountId {
    "club".parse().unwrap()
}

fn vm(index: usize) -> VmId {
    format!("vm-{index}").parse().unwrap()
}

/// What is played.
#[derive(Clone)]
pub struct Scenario {
    pub entries: usize,
    pub paid: u64,
    /// Requests each second.
    pub rate: f64,
    pub seconds: u64,
    /// The store does not answer during these spans in milliseconds.
    pub outages: Vec<(u64, u64)>,
    /// All entries are killed at these times.
    pub kills: Vec<u64>,
    pub seed: u64,
}

/// What came of it.
#[derive(Debug, Default, Clone)]
pub struct Outcome {
    pub used: u64,
    /// Tokens that entries held when they were killed, beyond those of running requests.
    pub lost: u64,
    pub served: u64,
    /// 402, although the tokens left in the account covered the request.
    pub early_402: u64,
    /// Requests refused with 402.
    pub exhausted: u64,
    /// Requests refused with 503 while tokens were left for them.
    pub refused_with_tokens: u64,
    /// Requests refused with 503 although too few tokens were left.
    pub refused_in_vain: u64,
    /// Refusals of any kind while the store was silent and tokens were left.
    pub refused_in_outage: u64,
    pub writes: u64,
    /// Requests for loans and returns.
    pub messages: u64,
    /// Requests served and refused, by rank.
    pub by_rank: BTreeMap<u8, (u64, u64)>,
}

struct Waiting {
    id: WaiterId,
    since: u64,
    cost: u64,
    used: u64,
    rank: u8,
}

struct Running {
    ends: u64,
    reservation: Reservation,
    input: Tokens,
    used: u64,
}

/// A request for a loan at one lender.
struct Asking {
    lender: usize,
    request: LoanRequest,
    until: u64,
    claim: Option<WaiterId>,
    /// Lenders still to be asked.
    rest: Vec<usize>,
    is_owner_unavailable: bool,
}

struct Entry {
    allocations: Allocations,
    incarnation: u64,
    waiting: Vec<Waiting>,
    running: Vec<Running>,
    asking: Option<Asking>,
    no_loan_until: u64,
    returned_at: u64,
    round_at: u64,
    failures: u32,
    wants_draw: bool,
    wants_loan: bool,
}

pub struct Sim {
    scenario: Scenario,
    rng: StdRng,
    now: u64,
    version: u64,
    record: Record,
    entries: Vec<Entry>,
    pub outcome: Outcome,
}

fn start(index: usize, incarnation: u64, paid: u64) -> Entry {
    let mut allocations = Allocations::new(vm(index), incarnation);
    allocations.set_prepaid([(account(), Tokens::new(paid))]);
    Entry {
        allocations,
        incarnation,
        waiting: Vec::new(),
        running: Vec::new(),
        asking: None,
        no_loan_until: 0,
        returned_at: 0,
        round_at: 0,
        failures: 0,
        wants_draw: false,
        wants_loan: false,
    }
}

impl Sim {
    pub fn run(scenario: Scenario) -> Outcome {
        let entries = (0..scenario.entries).map(|index| start(index, 1, scenario.paid));
        let mut sim = Self {
            rng: StdRng::seed_from_u64(scenario.seed),
            now: 0,
            version: 0,
            record: Record::default(),
            entries: entries.collect(),
            outcome: Outcome::default(),
            scenario,
        };
        while sim.now < sim.scenario.seconds * 1_000 {
            sim.step();
        }
        // Running requests end.
        for index in 0..sim.entries.len() {
            for running in std::mem::take(&mut sim.entries[index].running) {
                sim.outcome.used += running.used;
            }
        }
        sim.outcome
    }

    fn millis(&self) -> Millis {
        Millis::new(self.now)
    }

    fn is_out(&self) -> bool {
        let mut outages = self.scenario.outages.iter();
        outages.any(|(from, to)| (*from..*to).contains(&self.now))
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        if self.scenario.kills.contains(&self.now) {
            self.kill_all();
        }
        for index in 0..self.entries.len() {
            self.end_requests(index);
        }
        let chance = self.scenario.rate * STEP_MS as f64 / 1_000.0;
        let arrivals = chance as u64 + u64::from(self.rng.random_bool(chance.fract()));
        for _ in 0..arrivals {
            self.arrive();
        }
        for index in 0..self.entries.len() {
            self.serve_waiting(index);
            self.answer_loan(index);
            self.ask(index);
            self.return_surplus(index);
            self.sync_record(index);
        }
    }

    /// Tokens that nobody has used or reserved, and that were not lost.
    fn left(&self) -> u64 {
        let reserved = self
            .entries
            .iter()
            .map(|entry| entry.allocations.holding(&account()).1.get());
        let gone = self.outcome.used + self.outcome.lost + reserved.sum::<u64>();
        self.scenario.paid.saturating_sub(gone)
    }

    fn kill_all(&mut self) {
        for index in 0..self.entries.len() {
            let entry = &mut self.entries[index];
            self.outcome.lost += entry.allocations.holding(&account()).0.get();
            for running in std::mem::take(&mut entry.running) {
                // Targets have read the input; the rest of the reservation is lost.
                self.outcome.used += running.input.get();
                self.outcome.lost += running.reservation.tokens.get() - running.input.get();
            }
            *entry = start(index, entry.incarnation + 1, self.scenario.paid);
        }
        let incarnations: BTreeMap<VmId, Option<u64>> = (0..self.entries.len())
            .map(|index| (vm(index), Some(self.entries[index].incarnation)))
            .collect();
        for entry in &mut self.entries {
            entry.allocations.set_incarnations(incarnations.clone());
        }
    }

    fn end_requests(&mut self, index: usize) {
        let now = self.millis();
        let entry = &mut self.entries[index];
        let (ended, running) = std::mem::take(&mut entry.running)
            .into_iter()
            .partition::<Vec<_>, _>(|running| running.ends <= now.get());
        entry.running = running;
        for running in ended {
            let allocations = &mut entry.allocations;
            allocations.set_running(&running.reservation, running.input, false);
            allocations.settle(&running.reservation, Tokens::new(running.used), now);
            self.outcome.used += running.used;
        }
    }

    /// A request at one of the entries, which differ in what they take by a factor of five.
    fn arrive(&mut self) {
        let index = loop {
            let index = self.rng.random_range(0..self.entries.len());
            if self.rng.random_range(0..5) <= index % 5 {
                break index;
            }
        };
        let rank = self.rng.random_range(0..3);
        let input: u64 = match self.rng.random_range(0..5) {
            0 => self.rng.random_range(2_000..5_000),
            _ => self.rng.random_range(200..1_200),
        };
        let output = self.rng.random_range(50..400);
        let cost = input + output;
        let used = input + self.rng.random_range(output / 4..output);
        let now = self.millis();
        let entry = &mut self.entries[index];
        match entry
            .allocations
            .reserve(&account(), Tokens::new(cost), now)
        {
            Ok(reservation) => self.begin(index, reservation, used, rank),
            Err(Shortage::Exhausted) => self.refuse(Shortage::Exhausted, cost, rank),
            Err(_) => {
                let claim = Claim {
                    rank,
                    tokens: Tokens::new(cost),
                    since: now,
                };
                let id = entry.allocations.add_claim(&account(), claim);
                entry.waiting.push(Waiting {
                    id,
                    since: now.get(),
                    cost,
                    used,
                    rank,
                });
            }
        }
    }

    fn begin(&mut self, index: usize, reservation: Reservation, used: u64, rank: u8) {
        let ends = self.now + self.rng.random_range(200..1_500);
        let entry = &mut self.entries[index];
        let input = Tokens::new(used.min(reservation.tokens.get()) * 3 / 4);
        entry.allocations.set_running(&reservation, input, true);
        entry.running.push(Running {
            ends,
            reservation,
            input,
            used,
        });
        self.outcome.served += 1;
        self.outcome.by_rank.entry(rank).or_default().0 += 1;
    }

    fn refuse(&mut self, reason: Shortage, cost: u64, rank: u8) {
        let is_covered = self.left() >= cost;
        let is_out = self.is_out();
        let outcome = &mut self.outcome;
        outcome.by_rank.entry(rank).or_default().1 += 1;
        outcome.refused_in_outage += u64::from(is_covered && is_out);
        match (reason, is_covered) {
            (Shortage::Exhausted, _) => {
                outcome.exhausted += 1;
                outcome.early_402 += u64::from(is_covered);
            }
            (_, true) => outcome.refused_with_tokens += 1,
            (_, false) => outcome.refused_in_vain += 1,
        }
    }

    fn serve_waiting(&mut self, index: usize) {
        let now = self.millis();
        for waiting in std::mem::take(&mut self.entries[index].waiting) {
            let entry = &mut self.entries[index];
            let cost = Tokens::new(waiting.cost);
            let attempt = entry
                .allocations
                .reserve_waiting(&account(), waiting.id, cost, now);
            let reason = match attempt {
                Ok(reservation) => {
                    entry.allocations.remove_claim(&account(), waiting.id);
                    self.begin(index, reservation, waiting.used, waiting.rank);
                    continue;
                }
                Err(reason) => reason,
            };
            let waited = now.get() - waiting.since;
            if reason == Shortage::Exhausted || waited >= TOKEN_WAIT_MS {
                entry.allocations.remove_claim(&account(), waiting.id);
                self.refuse(reason, waiting.cost, waiting.rank);
                continue;
            }
            entry.wants_draw = true;
            entry.wants_loan |= index != 0
                || reason == Shortage::Elsewhere
                || entry.failures > 0
                || waited >= DRAW_TIME_MS;
            entry.waiting.push(waiting);
        }
    }

    /// Entries to ask: the owner, the acting owners, then other holders.
    fn lenders(&self, index: usize) -> Vec<usize> {
        let holders = self.entries[index]
            .allocations
            .lenders(&account(), self.millis());
        let mut all = vec![0, 1, 2];
        for holder in holders {
            let holder = (0..self.entries.len()).find(|index| vm(*index) == holder);
            all.extend(holder.filter(|holder| !all.contains(holder)));
        }
        all.retain(|lender| *lender != index);
        all.truncate(4);
        all
    }

    fn ask(&mut self, index: usize) {
        let now = self.millis();
        let entry = &mut self.entries[index];
        let is_due = entry.wants_loan && now.get() >= entry.no_loan_until;
        if entry.asking.is_some() || !is_due {
            return;
        }
        entry.wants_loan = false;
        let lenders = self.lenders(index);
        self.ask_next(index, lenders, index == 0 && self.entries[0].failures > 0);
    }

    fn ask_next(&mut self, index: usize, mut lenders: Vec<usize>, is_owner_unavailable: bool) {
        let now = self.millis();
        let entry = &mut self.entries[index];
        let Some(demand) = entry.allocations.demand(&account(), now) else {
            return;
        };
        if lenders.is_empty() {
            entry.no_loan_until = now.get() + NO_LOAN_MS;
            return;
        }
        let lender = lenders.remove(0);
        let first = entry.allocations.first_claim(&account());
        let request = LoanRequest {
            key: SEEDED.into(),
            from: vm(index),
            account: account(),
            least: demand.least,
            want: demand.want,
            should_draw: lender == 0 || is_owner_unavailable,
            delivery: None,
            rank: first.map_or(0, |claim| claim.rank),
            waited: first.map_or(Millis::ZERO, |claim| now.saturating_sub(claim.since)),
            lack: Some(entry.allocations.lack(&account())),
        };
        entry.asking = Some(Asking {
            lender,
            request,
            until: now.get() + LEND_WAIT_MS,
            claim: None,
            rest: lenders,
            is_owner_unavailable,
        });
        self.outcome.messages += 1;
    }

    /// The lender answers once it can lend, or no draw or return can help.
    fn answer_loan(&mut self, index: usize) {
        let Some(mut asking) = self.entries[index].asking.take() else {
            return;
        };
        let now = self.millis();
        let lender = &mut self.entries[asking.lender];
        if let Some(claim) = asking.claim.take() {
            lender.allocations.remove_claim(&account(), claim);
        }
        let request = &asking.request;
        if request.should_draw {
            if asking.lender != 0 {
                lender.allocations.become_acting_owner(&account(), now);
            }
            let reason = lender.allocations.shortage(&account(), request.least, now);
            let may_help = match reason {
                Shortage::Drawable | Shortage::Unknown => lender.failures == 0,
                Shortage::Elsewhere => lender.allocations.is_short(&account(), now),
                Shortage::Exhausted => false,
            };
            let can_lend = lender.allocations.can_lend(request, now);
            if !can_lend && may_help && now.get() < asking.until {
                let claim = Claim {
                    tokens: request.want,
                    ..request.claim(now)
                };
                asking.claim = Some(lender.allocations.add_claim(&account(), claim));
                lender.wants_draw = true;
                self.entries[index].asking = Some(asking);
                return;
            }
        }
        let reply = lend(&mut lender.allocations, request, now);
        lender.wants_draw = true;
        self.take_reply(index, asking, reply);
    }

    fn take_reply(&mut self, index: usize, asking: Asking, reply: LoanReply) {
        let now = self.millis();
        let entry = &mut self.entries[index];
        let allocations = &mut entry.allocations;
        if asking.request.should_draw {
            allocations.record_told_shortage(&account(), reply.is_short, now);
        }
        let cannot_draw = matches!(reply.short, Some(Shortage::Drawable | Shortage::Unknown));
        if let Some(shortage) = reply.short
            && let Some(demand) = allocations.demand(&account(), now)
        {
            let refusal = LoanRefusal {
                shortage,
                store_outage: reply.store_outage,
                left: reply.left,
                exhausted_total: reply.exhausted_total,
            };
            allocations.record_loan_refusal(&demand, refusal, now);
        }
        allocations.borrow(&account(), reply.tokens);
        let is_owner_unavailable =
            asking.is_owner_unavailable || (asking.lender == 0 && cannot_draw);
        if reply.tokens.is_zero() && asking.request.should_draw && !cannot_draw {
            entry.no_loan_until = now.get() + NO_LOAN_MS;
            return;
        }
        self.serve_waiting(index);
        self.ask_next(index, asking.rest, is_owner_unavailable);
    }

    fn return_surplus(&mut self, index: usize) {
        let now = self.millis();
        let entries = self.entries.len();
        let entry = &mut self.entries[index];
        let role = |_: &ClientAccountId| match index {
            0 => Role::Owner,
            _ => Role::Borrower,
        };
        let since = now.get() - entry.returned_at;
        let allocations = &mut entry.allocations;
        let given = if since >= 1_000 {
            entry.returned_at = now.get();
            allocations.return_surplus(role, entries, now)
        } else if since >= 500 && allocations.has_told_shortage(now) {
            allocations.return_surplus_of_short(role, entries, now)
        } else {
            return;
        };
        for (account, tokens) in given {
            let token_return = TokenReturn {
                key: SEEDED.into(),
                from: vm(index),
                account,
                tokens,
                delivery: None,
            };
            self.entries[index].returned_at = now.get();
            self.entries[0]
                .allocations
                .accept_return(&token_return, now);
            self.outcome.messages += 1;
        }
    }

    fn sync_record(&mut self, index: usize) {
        let now = self.millis();
        let is_out = self.is_out();
        let entry = &mut self.entries[index];
        if now.get() < entry.round_at && !entry.wants_draw {
            return;
        }
        let role = match index {
            0 => Role::Owner,
            _ => Role::Borrower,
        };
        let allocations = &mut entry.allocations;
        if now.get() + 470 < entry.round_at || allocations.due(|_| role, now).is_empty() {
            return;
        }
        entry.wants_draw = false;
        entry.round_at = now.get() + 500;
        if is_out {
            entry.failures += 1;
            return;
        }
        if allocations.must_read(&account(), role, now) {
            let version = (self.version > 0).then(|| Version::new(self.version));
            allocations.observe(&account(), version, self.record.clone(), now);
        }
        entry.failures = 0;
        let Some(write) = allocations.plan(&account(), role, now) else {
            return;
        };
        self.outcome.writes += 1;
        let base = write.base.map_or(0, Version::get);
        if base != self.version {
            allocations.conflicted(&account());
            entry.wants_draw = true;
            return;
        }
        self.version += 1;
        self.record = write.record;
        allocations.written(&account(), Version::new(self.version), now);
        assert!(self.record.drawn.get() <= self.scenario.paid);
    }
}

fn lend(allocations: &mut Allocations, request: &LoanRequest, now: Millis) -> LoanReply {
    let tokens = allocations.lend(request, now);
    let is_short = allocations.is_short(&account(), now);
    let short = (tokens < request.least).then(|| allocations.loan_shortage(request, now));
    LoanReply {
        tokens,
        short,
        store_outage: None,
        is_short,
        left: short.and_then(|_| allocations.left(&account(), now)),
        exhausted_total: short.and_then(|_| allocations.exhausted_total(&account())),
    }
}
