//! The spend report by client account and month, computed from stored platform objects only.

use std::{collections::BTreeMap, fmt};

use cyc_budget::{Record, TopUp};
use cyc_member::{Fences, fence};
use cyc_store::{Platform, Result};
use cyc_types::{BudgetId, ClientAccountId, ErrorKind, Incarnation, Tokens};
use serde::Serialize;

use crate::{
    merge::{self, MergeRecord},
    month::Month,
    read,
    segment::Segment,
};

/// Number of read rounds after which the objects are used even if the records changed meanwhile.
const MAX_READ_ROUNDS: u32 = 3;

/// The stored objects that a report is computed from.
#[derive(Debug, Clone, Default)]
pub struct Objects {
    /// The budget records.
    pub records: BTreeMap<BudgetId, Record>,
    /// The segments.
    pub segments: Vec<Segment>,
    /// The merge records.
    pub chain: Vec<MergeRecord>,
    /// The fences, which tell whose grants are unresolved.
    pub fences: Fences,
}

/// The spend report.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Report {
    /// The client accounts.
    pub accounts: BTreeMap<ClientAccountId, Account>,
}

/// The spend of one client account.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Account {
    /// The current state of its budgets, summed.
    pub balance: Balance,
    /// The spend by month.
    pub months: BTreeMap<Month, Monthly>,
}

/// The state of the budgets of an account, in tokens.
/// Invariants: `paid = settled + open + free`, and `settled = billed - credited`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Balance {
    /// Sum of all top-ups.
    pub paid: Tokens,
    /// Settled receipts of all months.
    pub billed: Tokens,
    /// Credits for requests that were billed twice.
    pub credited: Tokens,
    /// Tokens billed, less credits, according to the budget records.
    pub settled: Tokens,
    /// Tokens that entries hold in grants.
    pub open: Tokens,
    /// The part of `open` held by fenced entries that is not reclaimed yet.
    pub unresolved: Tokens,
    /// Tokens that entries can still draw.
    pub free: Tokens,
    /// Receipts in segments that are not settled yet; `open` includes them.
    pub pending: Tokens,
}

/// The spend of an account in one month.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Monthly {
    /// The top-ups of the month.
    pub top_ups: Vec<TopUp>,
    /// Sum of the top-ups, in tokens.
    pub paid: Tokens,
    /// Tokens of settled receipts.
    pub billed: Tokens,
    /// Tokens credited for duplicates.
    pub credited: Tokens,
    /// Number of credited duplicates.
    pub duplicates: u64,
    /// Requests refused although the budget could have paid, by error kind.
    pub refused: BTreeMap<ErrorKind, Refused>,
}

/// Requests refused with one error kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Refused {
    /// Number of requests.
    pub requests: u64,
    /// Sum of the tokens that the requests could have used at most.
    pub tokens: Tokens,
}

impl Balance {
    /// Returns true if the invariants of the balance hold exactly.
    pub fn is_balanced(&self) -> bool {
        let held = self
            .settled
            .checked_add(self.open)
            .and_then(|sum| sum.checked_add(self.free));
        held == Some(self.paid) && self.billed.checked_sub(self.credited) == Some(self.settled)
    }
}

/// Reads the objects that a report is computed from.
///
/// The records are read before the segments and the merge records. A receipt is settled, and a
/// duplicate credited, only after its object is written, so every receipt and credit that the
/// records count is found; later receipts are reported as pending. The read is repeated a few times
/// until the records do not change during it, so that nothing is reported as pending that was
/// settled in the meantime.
///
/// # Errors
/// If the platform does not answer or an object cannot be read.
pub async fn collect(platform: &dyn Platform) -> Result<Objects> {
    let mut records = read::records(platform).await?;
    let mut round = 1;
    loop {
        let segments = read::segments(platform, "").await?;
        let chain = merge::chain(platform).await?;
        let reread = read::records(platform).await?;
        if reread == records || round == MAX_READ_ROUNDS {
            let fences = fence::read(platform).await.map_err(read::member_error)?;
            return Ok(Objects {
                records,
                segments,
                chain,
                fences,
            });
        }
        records = reread;
        round += 1;
    }
}

/// Computes the report.
pub fn report(objects: &Objects) -> Report {
    let mut report = Report::default();
    for record in objects.records.values() {
        report.add_record(record, &objects.fences);
    }
    for segment in &objects.segments {
        report.add_segment(segment, &objects.records);
    }
    for record in &objects.chain {
        report.add_credits(record, &objects.records);
    }
    report
}

impl Report {
    fn account(&mut self, id: &ClientAccountId) -> &mut Account {
        self.accounts.entry(id.clone()).or_default()
    }

    fn add_record(&mut self, record: &Record, fences: &Fences) {
        let account = self.account(&record.account);
        let balance = &mut account.balance;
        balance.paid += record.paid;
        balance.settled += record.settled;
        balance.open += record.granted();
        balance.free += record.free();
        let fenced = record.grants.iter().filter(|(h, _)| is_fenced(fences, h));
        balance.unresolved += fenced.map(|(_, grant)| grant.amount).sum();
        for top_up in &record.top_ups {
            let month = account.months.entry(Month::of(top_up.at)).or_default();
            month.paid += top_up.tokens;
            month.top_ups.push(top_up.clone());
        }
    }

    fn add_segment(&mut self, segment: &Segment, records: &BTreeMap<BudgetId, Record>) {
        for receipt in &segment.receipts {
            let Some(record) = records.get(&receipt.grant.budget) else {
                continue;
            };
            let account = self.account(&record.account);
            if read::is_settled(records, segment, &receipt.grant) {
                let month = account.months.entry(Month::of(receipt.at)).or_default();
                month.billed += receipt.tokens;
                account.balance.billed += receipt.tokens;
            } else {
                account.balance.pending += receipt.tokens;
            }
        }
        let refused = segment.refusals.iter().filter(|count| count.money_remained);
        for count in refused {
            let Some(record) = records.get(&count.budget) else {
                continue;
            };
            let account = self.account(&record.account);
            let month = account.months.entry(Month::of(segment.at)).or_default();
            let refused = month.refused.entry(count.kind).or_default();
            refused.requests += count.requests;
            refused.tokens += count.tokens;
        }
    }

    fn add_credits(&mut self, merge: &MergeRecord, records: &BTreeMap<BudgetId, Record>) {
        for duplicate in &merge.duplicates {
            let record = records.get(&duplicate.budget);
            let Some(record) = record.filter(|record| record.last_merge >= merge.sequence) else {
                continue;
            };
            let account = self.account(&record.account);
            account.balance.credited += duplicate.tokens;
            let month = account.months.entry(Month::of(duplicate.at)).or_default();
            month.credited += duplicate.tokens;
            month.duplicates += 1;
        }
    }
}

fn is_fenced(fences: &Fences, holder: &Incarnation) -> bool {
    let lowest = fences.lowest.get(&holder.vm);
    lowest.is_some_and(|lowest| holder.number < *lowest)
}

/// Formats the report as a table.
impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (id, account) in &self.accounts {
            let balance = &account.balance;
            writeln!(f, "account {id}")?;
            writeln!(f, "  paid        {:>16}", balance.paid)?;
            writeln!(f, "  billed      {:>16}", balance.billed)?;
            writeln!(f, "  credited    {:>16}", balance.credited)?;
            writeln!(f, "  settled     {:>16}", balance.settled)?;
            writeln!(f, "  open        {:>16}", balance.open)?;
            writeln!(f, "  unresolved  {:>16}", balance.unresolved)?;
            writeln!(f, "  free        {:>16}", balance.free)?;
            writeln!(f, "  pending     {:>16}", balance.pending)?;
            for (month, monthly) in &account.months {
                write_month(f, *month, monthly)?;
            }
        }
        Ok(())
    }
}

fn write_month(f: &mut fmt::Formatter<'_>, month: Month, monthly: &Monthly) -> fmt::Result {
    writeln!(f, "  month {month}")?;
    writeln!(f, "    paid      {:>16}", monthly.paid)?;
    for top_up in &monthly.top_ups {
        writeln!(f, "      top-up  {:>16}  {}", top_up.tokens, top_up.id)?;
    }
    writeln!(f, "    billed    {:>16}", monthly.billed)?;
    let duplicates = monthly.duplicates;
    writeln!(
        f,
        "    credited  {:>16}  {duplicates} duplicates",
        monthly.credited
    )?;
    for (kind, refused) in &monthly.refused {
        let requests = refused.requests;
        writeln!(
            f,
            "    refused   {:>16}  {requests} requests: {kind}",
            refused.tokens
        )?;
    }
    Ok(())
}
