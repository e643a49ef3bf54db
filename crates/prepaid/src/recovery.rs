//! Recovery of writes that the store has lost by coming back from an older copy.
//!
//! The record of the copy understates what was drawn. Each holder in a record tells what its entry
//! has drawn and returned since its start; both sums only grow. Whoever knows a newer state of a
//! holder than the record has adds the difference, so that it does not matter who does so first, and
//! how often. An entry knows its own sums, the records that it has read lately, and what the other
//! entries tell it after their writes, in case they end before they can recover their own.

use std::collections::BTreeMap;

use cyc_types::{ClientAccountId, Era, Millis, Tokens, VmId};
use serde::{Deserialize, Serialize};

use crate::{Allocations, EndedHolder, Holder, Record, allocation::Allocation};

/// Nothing is drawn for this long after the return of the store from a copy, so that all entries can
/// recover their writes first: several times the longest pause between two calls to the store.
pub const SETTLE_TIME: Millis = Millis::new(1_500);
/// What an entry has learnt about others longer before is part of any copy, which is some seconds
/// old.
const EVIDENCE_TTL: Millis = Millis::new(30_000);

/// Maximum reports in a message; the oldest ones are left out.
const MAX_REPORTS: usize = 400;

/// Tokens that one incarnation of an entry has moved since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Totals {
    /// Drawn tokens.
    pub drawn: Tokens,
    /// Returned tokens, also those whose return may have failed, which nobody can use.
    pub returned: Tokens,
}

impl Totals {
    /// Returns true if nothing was moved.
    pub fn is_zero(self) -> bool {
        self == Self::default()
    }

    /// What was moved after `earlier`.
    fn since(self, earlier: Self) -> Self {
        Self {
            drawn: self.drawn.saturating_sub(earlier.drawn),
            returned: self.returned.saturating_sub(earlier.returned),
        }
    }

    /// The larger of each sum.
    fn max(self, other: Self) -> Self {
        Self {
            drawn: self.drawn.max(other.drawn),
            returned: self.returned.max(other.returned),
        }
    }

    fn add(&mut self, other: Self) {
        self.drawn += other.drawn;
        self.returned += other.returned;
    }
}

/// What an entry tells another one after a write.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderReport {
    /// The account.
    pub account: ClientAccountId,
    /// The entry that wrote.
    pub vm: VmId,
    /// What it wrote about itself.
    pub holder: Holder,
    /// Time since the write, as far as the sender knows.
    #[serde(default)]
    pub age: Millis,
}

/// The newest known states of holders, by entry and incarnation.
#[derive(Debug, Clone, Default)]
pub(crate) struct Evidence(BTreeMap<(VmId, u64), (Holder, Millis)>);

impl Evidence {
    /// Adds a state of a holder unless a newer one is known.
    pub(crate) fn record(&mut self, vm: &VmId, holder: &Holder, now: Millis) {
        let known = self.0.get(&(vm.clone(), holder.start));
        if known.is_none_or(|(known, _)| known.writes <= holder.writes) {
            let key = (vm.clone(), holder.start);
            self.0.insert(key, (holder.clone(), now));
        }
    }

    fn record_all(&mut self, record: &Record, now: Millis) {
        for (vm, holder) in &record.holders {
            self.record(vm, holder, now);
        }
        for ended in record.ended_holders() {
            self.record(&ended.vm, &ended.holder, now);
        }
    }

    /// Forgets what any copy contains.
    fn expire(&mut self, now: Millis) {
        self.0
            .retain(|_, (_, at)| now.saturating_sub(*at) <= EVIDENCE_TTL);
    }
}

impl Record {
    /// Adds the writes of a holder that this record lacks, and returns what they moved.
    fn recover_holder(&mut self, vm: &VmId, known: &Holder) -> Totals {
        let Some(totals) = known.totals else {
            return Totals::default();
        };
        let is_replaced = self.holders.contains_key(vm);
        let running = self.holders.get_mut(vm);
        let running = running.filter(|holder| holder.start == known.start);
        let mut ended = self.ended.iter_mut().flat_map(|list| &mut list.holders);
        let ended = ended.find(|ended| ended.vm == *vm && ended.holder.start == known.start);
        let missing = match (running, ended) {
            (Some(holder), _) => recover_state(holder, known, totals),
            (None, Some(EndedHolder { holder, .. })) => {
                let unspent = holder.unspent;
                let missing = recover_state(holder, known, totals);
                self.lost = self.lost.saturating_sub(unspent) + holder.unspent;
                missing
            }
            (None, None) if is_replaced => {
                // Another incarnation has taken its place.
                self.lost += known.unspent;
                let list = self.ended.get_or_insert_default();
                list.holders.push(EndedHolder {
                    vm: vm.clone(),
                    holder: known.clone(),
                });
                totals
            }
            (None, None) => {
                self.holders.insert(vm.clone(), known.clone());
                totals
            }
        };
        self.drawn = (self.drawn + missing.drawn).saturating_sub(missing.returned);
        missing
    }

    /// Adds the writes that this record lacks, and returns what they moved.
    fn recover(&mut self, evidence: &Evidence) -> Totals {
        let mut missing = Totals::default();
        for ((vm, _), (holder, _)) in &evidence.0 {
            missing.add(self.recover_holder(vm, holder));
        }
        missing
    }
}

/// Replaces the state of a holder by a newer one, and returns what was moved between them.
fn recover_state(holder: &mut Holder, known: &Holder, totals: Totals) -> Totals {
    let Some(earlier) = holder.totals else {
        return Totals::default();
    };
    if holder.writes >= known.writes {
        return Totals::default();
    }
    *holder = Holder {
        totals: Some(totals.max(earlier)),
        ..known.clone()
    };
    totals.since(earlier)
}

impl Allocation {
    /// Finds out whether a write of an earlier era, which arrived late, has replaced later ones: its base
    /// version had been given out again.
    pub(crate) fn note_overwritten(&mut self, record: &Record, me: &VmId, start: u64, now: Millis) {
        let own = record.holders.get(me).filter(|own| own.start == start);
        let lacks_own = own.is_some_and(|own| own.writes < self.last_applied);
        let (_, last) = match &self.last_record {
            Some(last) if lacks_own || record.era < last.1.era => last,
            _ => return,
        };
        self.evidence.record_all(last, now);
        self.request_recovery();
    }

    /// The record has to be read, and what it lacks to be added.
    fn request_recovery(&mut self) {
        self.must_recover = true;
        self.is_outdated = true;
        self.does_pending_recover = false;
    }

    /// What this entry knows about the holders of the account, itself included, that a record may
    /// lack.
    fn evidence(&self, me: &VmId, start: u64, now: Millis) -> Evidence {
        let mut evidence = self.evidence.clone();
        if self.writes > 0 {
            let own = Holder {
                start,
                writes: self.writes,
                unspent: self.unspent(),
                totals: Some(self.totals),
            };
            evidence.record(me, &own, now);
        }
        evidence
    }
}

/// Recovery of lost writes.
impl Allocations {
    /// Takes over the era of the store. From a new one on, each record is read before it is written,
    /// and the writes that it lacks are added.
    pub fn set_era(&mut self, era: Era, now: Millis) {
        let Some(previous) = self.era else {
            self.era = Some((era, now));
            return;
        };
        if previous.0 >= era {
            return;
        }
        self.era = Some((era, now));
        self.is_restored = true;
        let reads = self.by_account.values();
        let last_read = reads.map(|allocation| allocation.read_at).max();
        let last_read = last_read.unwrap_or_default();
        for allocation in self.by_account.values_mut() {
            allocation.evidence.expire(last_read);
            let is_recent = last_read.saturating_sub(allocation.read_at) <= EVIDENCE_TTL;
            if let Some((_, record)) = allocation.last_record.as_ref().filter(|_| is_recent) {
                allocation.evidence.record_all(record, now);
            }
            let is_concerned = allocation.last_record.is_some()
                || allocation.writes > 0
                || !allocation.evidence.0.is_empty();
            if is_concerned {
                allocation.request_recovery();
            }
        }
    }

    /// Records what another entry has written about itself.
    pub fn note_holder(&mut self, report: &HolderReport, now: Millis) {
        if report.vm == self.me && report.holder.start == self.incarnation {
            return;
        }
        let era = self.era;
        let allocation = self.allocation(&report.account);
        let written_at = now.saturating_sub(report.age);
        allocation
            .evidence
            .record(&report.vm, &report.holder, written_at);
        allocation.evidence.expire(now);
        // The report of a write that the store has lost meanwhile.
        let is_late = era.is_some_and(|(_, since)| now.saturating_sub(since) <= SETTLE_TIME);
        if self.is_restored && is_late {
            self.allocation(&report.account).request_recovery();
        }
    }

    /// What this entry has last written about itself, for the entries that may draw in its place.
    pub fn holder_report(&self, account: &ClientAccountId) -> Option<HolderReport> {
        let allocation = self.by_account.get(account)?;
        let (_, record) = allocation.last_record.as_ref()?;
        let holder = record.holders.get(&self.me)?;
        let is_own = holder.start == self.incarnation && holder.writes == allocation.last_applied;
        is_own.then(|| HolderReport {
            account: account.clone(),
            vm: self.me.clone(),
            holder: holder.clone(),
            age: Millis::ZERO,
        })
    }

    /// What this entry knows about the last writes of all entries, for one that has just started or
    /// for those that go on when this one stops.
    pub fn holder_reports(&self, now: Millis) -> Vec<HolderReport> {
        let accounts = self.by_account.iter();
        let reports = accounts.flat_map(|(account, allocation)| {
            let known = allocation.evidence.0.iter();
            let known = known.map(|((vm, _), (holder, at))| HolderReport {
                account: account.clone(),
                vm: vm.clone(),
                holder: holder.clone(),
                age: now.saturating_sub(*at),
            });
            let own = self.holder_report(account).map(|report| HolderReport {
                age: now.saturating_sub(allocation.written_at),
                ..report
            });
            known.chain(own)
        });
        let is_recent = |report: &HolderReport| report.age <= EVIDENCE_TTL;
        let mut reports: Vec<HolderReport> = reports.filter(is_recent).collect();
        reports.sort_by_key(|report| report.age);
        reports.truncate(MAX_REPORTS);
        reports
    }

    /// Adds to the record that was read what it lacks.
    pub(crate) fn recover(&mut self, account: &ClientAccountId, now: Millis) {
        let (me, start) = (self.me.clone(), self.incarnation);
        let allocation = self.allocation(account);
        // What a write of unknown outcome has moved is not known.
        if !allocation.must_recover || allocation.pending.is_some() {
            return;
        }
        let evidence = allocation.evidence(&me, start, now);
        if let Some((_, record)) = &mut allocation.last_record {
            allocation.recovered = record.recover(&evidence);
        }
        allocation.must_recover = !allocation.recovered.is_zero();
    }

    /// Returns true if the record may still lack writes of other entries, so that nothing may be
    /// drawn from it.
    pub(crate) fn is_settling(&self, record: &Record, now: Millis) -> bool {
        let Some((era, since)) = self.era else {
            return false;
        };
        let is_older = record.era.is_some_and(|written_in| written_in < era);
        (self.is_restored || is_older) && now.saturating_sub(since) < SETTLE_TIME
    }

    /// The newest era of the store that this entry knows.
    pub(crate) fn known_era(&self) -> Era {
        self.era.map_or(Era::ZERO, |(era, _)| era)
    }
}
