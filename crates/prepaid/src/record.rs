//! The record of an account in the store, and what it tells of a write whose response was lost.

use std::collections::BTreeMap;

use cyc_types::{Era, Tokens, VmId, hash};
use serde::{Deserialize, Serialize};

use crate::Totals;

/// Maximum holders in [`EndedHolders`]; each takes about 100 bytes of the record. Only one that was
/// silent and runs nevertheless needs its entry, and few are silent at the same time.
const MAX_ENDED_HOLDERS: usize = 16;

/// What one entry last wrote about itself to a record.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// TargetIncarnation of the entry.
    pub start: u64,
    /// Sequence number of the last write of this incarnation.
    pub writes: u64,
    /// Drawn tokens that were unused at that write.
    pub unspent: Tokens,
    /// Tokens moved by all writes of this incarnation; `None` in holders of earlier versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub totals: Option<Totals>,
}

/// A holder that another entry has counted as ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedHolder {
    /// The entry.
    pub vm: VmId,
    /// Its last write; the unspent tokens are part of [`Record::lost`].
    #[serde(flatten)]
    pub holder: Holder,
}

/// The holders that were last counted as ended. An entry that was only silent finds here which of
/// its writes were applied, and what to take back from the lost tokens.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedHolders {
    /// Invariant: changes whenever a holder may have been removed from the record and from this
    /// list. Writers of earlier versions drop the whole list.
    pub epoch: u64,
    /// The holders, the last one counted as ended last.
    #[serde(default)]
    pub holders: Vec<EndedHolder>,
}

/// The record of an account, shared by all entries.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Tokens drawn by all entries minus the returned ones. Invariant: at most the prepaid total.
    pub drawn: Tokens,
    /// Tokens lost with entries that ended without returning them.
    #[serde(default)]
    pub lost: Tokens,
    /// Entries that have written the record and are not known to have ended, also those without
    /// tokens.
    pub holders: BTreeMap<VmId, Holder>,
    /// Entries that were counted as ended; `None` in records of earlier versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ended: Option<EndedHolders>,
    /// Era of the store in which the record was written; `None` in records of earlier versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub era: Option<Era>,
}

/// Outcome of a write whose response was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum WriteOutcome {
    /// The write was applied.
    Applied,
    /// The write was not applied and never will be.
    NotApplied,
    /// The store has lost the write, if it was ever applied: it has come back from an older copy. The
    /// drawn tokens may not be used, the returned ones are returned again.
    Lost,
    /// The record does not tell. Neither the drawn nor the returned tokens may be used.
    Unknown,
}

impl Record {
    /// The epoch of the list of ended holders.
    pub(crate) fn epoch(&self) -> Option<u64> {
        self.ended.as_ref().map(|ended| ended.epoch)
    }

    /// Holders that were counted as ended and are still listed.
    pub(crate) fn ended_holders(&self) -> &[EndedHolder] {
        self.ended.as_ref().map_or(&[], |ended| &ended.holders)
    }

    /// Returns true if the incarnation of an entry was counted as ended.
    pub(crate) fn is_counted_as_ended(&self, vm: &VmId, start: u64) -> bool {
        let mut ended = self.ended_holders().iter();
        ended.any(|ended| ended.vm == *vm && ended.holder.start == start)
    }

    /// Outcome of the write number `writes` of an incarnation, which was made from another version
    /// of the record with the epoch `base_epoch`.
    pub(crate) fn outcome(
        &self,
        vm: &VmId,
        start: u64,
        writes: u64,
        base_epoch: Option<u64>,
    ) -> WriteOutcome {
        let running = self.holders.get(vm).filter(|holder| holder.start == start);
        let mut ended = self.ended_holders().iter();
        let ended = ended.find(|ended| ended.vm == *vm && ended.holder.start == start);
        match running.or(ended.map(|ended| &ended.holder)) {
            Some(holder) if holder.writes == writes => WriteOutcome::Applied,
            Some(_) => WriteOutcome::NotApplied,
            // No holder was removed without being listed, so the write never added one.
            None if base_epoch.is_some() && self.epoch() == base_epoch => WriteOutcome::NotApplied,
            None => WriteOutcome::Unknown,
        }
    }

    /// Counts the unreturned tokens of the holders as lost for which `has_ended` returns true, and
    /// takes that back for those that run after all according to `is_running`. `writer` is a unique
    /// text for this write.
    pub(crate) fn update_ended(
        &mut self,
        has_ended: impl Fn(&VmId, &Holder) -> bool,
        is_running: impl Fn(&VmId, &Holder) -> bool,
        writer: &str,
    ) {
        let new_epoch = || hash::stable(writer.as_bytes());
        let mut ended = self.ended.take().unwrap_or_else(|| EndedHolders {
            epoch: new_epoch(),
            holders: Vec::new(),
        });
        for EndedHolder { vm, holder } in std::mem::take(&mut ended.holders) {
            // An older incarnation may have been replaced by one that is not known here yet.
            if is_running(&vm, &holder) && !self.holders.contains_key(&vm) {
                self.lost = self.lost.saturating_sub(holder.unspent);
                self.holders.insert(vm, holder);
            } else {
                ended.holders.push(EndedHolder { vm, holder });
            }
        }
        for (vm, holder) in std::mem::take(&mut self.holders) {
            if has_ended(&vm, &holder) {
                self.lost += holder.unspent;
                ended.holders.push(EndedHolder { vm, holder });
            } else {
                self.holders.insert(vm, holder);
            }
        }
        let surplus = ended.holders.len().saturating_sub(MAX_ENDED_HOLDERS);
        if surplus > 0 {
            ended.holders.drain(..surplus);
            ended.epoch = new_epoch();
        }
        self.ended = Some(ended);
    }

    /// Sets what the writer writes about itself. If it was counted as ended, that is taken back.
    pub(crate) fn set_holder(&mut self, vm: &VmId, holder: Holder) {
        if let Some(list) = &mut self.ended {
            let is_same =
                |ended: &EndedHolder| ended.vm == *vm && ended.holder.start == holder.start;
            let counted = list.holders.iter().filter(|ended| is_same(ended));
            let counted: Tokens = counted.map(|ended| ended.holder.unspent).sum();
            self.lost = self.lost.saturating_sub(counted);
            list.holders.retain(|ended| !is_same(ended));
        }
        self.holders.insert(vm.clone(), holder);
    }
}
