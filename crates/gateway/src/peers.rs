//! The other entries: which of them run, where they are reached, and which of them draws tokens
//! for an account.
//!
//! Each entry writes a sign of itself to the store and reads those of the others. An entry that
//! cannot read them goes on with those that it knew, since its part of what all entries may do
//! must not grow while it is cut off.

use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr};

use cyc_types::{ClientAccountId, Millis, VmId, hash};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Each entry writes its sign this often.
pub const BEAT: Millis = Millis::new(2_000);
/// An entry whose sign has not changed for this long, while this entry could read it, is not
/// counted as running. The store may answer with signs that are 5.5 s old; two beats are added.
pub const BEAT_TIMEOUT: Millis = Millis::new(10_000);
/// Tokens of an entry that has not run for this long count as lost.
pub const GONE_AFTER: Millis = Millis::new(30_000);
/// At the first start of an entry the others may start too: it draws for nobody until it has
/// read their signs once more, after this long.
pub const SETTLE: Millis = Millis::new(600);
/// Entries that may draw for an account: its home, and those that stand in for it in this order.
const RANKS: usize = 3;

/// What an entry writes of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sign {
    /// The entry.
    pub vm: VmId,
    /// Tells apart its starts.
    pub start: u64,
    /// Number of the sign; it only grows within a start.
    pub beat: u64,
    /// Where other entries reach it.
    pub addr: Option<SocketAddr>,
    /// Whoever asks the entry for tokens shows this key, which only entries can read. All starts of
    /// an entry have the same.
    pub key: SmolStr,
    /// It stops and draws for nobody.
    pub is_leaving: bool,
}

/// Another entry, as last read.
#[derive(Debug, Clone)]
struct Known {
    sign: Sign,
    /// When a change of the sign was last read.
    changed: Millis,
    /// For how long this entry has read the same sign. Time in which it could not read is left
    /// out: perhaps the other could not write either.
    silent: Millis,
}

impl Known {
    fn runs(&self) -> bool {
        self.silent <= BEAT_TIMEOUT
    }
}

/// Where another entry is reached, and the key to show.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Contact {
    /// The entry.
    pub vm: VmId,
    /// Its address.
    pub addr: SocketAddr,
    /// Its key.
    pub key: SmolStr,
}

/// This entry's sign and what it knows of the others.
#[derive(Debug)]
pub struct Peers {
    sign: Sign,
    known: BTreeMap<VmId, Known>,
    /// When the signs were last read.
    read: Option<Millis>,
    /// The others have had time to read this entry's sign.
    is_settled: bool,
}

impl Peers {
    /// Creates the sign of one start of an entry; no other entry is known.
    pub fn new(vm: VmId, start: u64) -> Self {
        Self {
            sign: Sign {
                vm,
                start,
                beat: 0,
                addr: None,
                key: format!("{:032x}", rand::random::<u128>()).into(),
                is_leaving: false,
            },
            known: BTreeMap::new(),
            read: None,
            is_settled: false,
        }
    }

    /// Sets where other entries reach this one.
    pub fn set_addr(&mut self, addr: SocketAddr) {
        self.sign.addr = Some(addr);
    }

    /// Notes that this entry stops.
    pub fn leave(&mut self) {
        self.sign.is_leaving = true;
    }

    /// Returns the next sign to be written.
    pub fn beat(&mut self) -> Sign {
        self.sign.beat += 1;
        self.sign.clone()
    }

    /// Returns true if `key` is the one to be shown to this entry.
    pub fn accepts(&self, key: &str) -> bool {
        self.sign.key == key
    }

    /// Takes the signs as read.
    pub fn observe(&mut self, signs: Vec<Sign>, now: Millis) {
        // The own sign is there if this entry has run before, or has written it in the meantime.
        // Its key is kept: entries that are cut off from the store know no other.
        if let Some(own) = signs.iter().find(|sign| sign.vm == self.sign.vm) {
            self.sign.key = own.key.clone();
            self.is_settled = true;
        }
        let since = now.saturating_sub(self.read.unwrap_or(now));
        for known in self.known.values_mut() {
            known.silent += since.min(BEAT + BEAT);
        }
        for sign in signs.into_iter().filter(|sign| sign.vm != self.sign.vm) {
            let known = self.known.get(&sign.vm);
            let is_same = known.is_some_and(|known| known.sign == sign);
            let is_older = known
                .is_some_and(|known| known.sign.start == sign.start && known.sign.beat > sign.beat);
            if !is_same && !is_older {
                let known = Known {
                    sign,
                    changed: now,
                    silent: Millis::ZERO,
                };
                self.known.insert(known.sign.vm.clone(), known);
            }
        }
        self.read = Some(now);
    }

    /// Returns the number of running entries, with this one.
    pub fn running(&self) -> usize {
        1 + self.known.values().filter(|known| known.runs()).count()
    }

    /// Returns the start of each other entry, `None` for one that has surely ended: it has given no
    /// sign for [`GONE_AFTER`].
    pub fn starts(&self, now: Millis) -> BTreeMap<VmId, Option<u64>> {
        let start = |known: &Known| {
            let is_silent = now.saturating_sub(known.changed) > GONE_AFTER;
            (!is_silent).then_some(known.sign.start)
        };
        let known = self.known.iter();
        known
            .map(|(vm, known)| (vm.clone(), start(known)))
            .collect()
    }

    /// Returns the contact of a running entry.
    pub fn contact(&self, vm: &VmId) -> Option<Contact> {
        let known = self.known.get(vm).filter(|known| known.runs())?;
        Some(Contact {
            vm: vm.clone(),
            addr: known.sign.addr?,
            key: known.sign.key.clone(),
        })
    }

    /// Returns true if the others have had time to read this entry's sign.
    pub fn is_settled(&self) -> bool {
        self.is_settled
    }

    /// Returns the entries among which those that draw for an account are found: those that run
    /// and can be reached.
    fn drawers(&self) -> impl Iterator<Item = &VmId> {
        let others = self
            .known
            .values()
            .filter(|known| known.runs() && !known.sign.is_leaving && known.sign.addr.is_some());
        let others = others.map(|known| &known.sign.vm);
        let own = (!self.sign.is_leaving).then_some(&self.sign.vm);
        others.chain(own)
    }

    /// Returns the entry that draws for an account, by rendezvous. All entries find the same one,
    /// as soon as they have read the same signs.
    pub fn home(&self, account: &ClientAccountId) -> Option<&VmId> {
        self.drawers().min_by_key(rank_for(account))
    }

    /// Returns the entries that may draw for an account, its home first.
    pub fn ranks(&self, account: &ClientAccountId) -> Vec<VmId> {
        let mut ranked: Vec<&VmId> = self.drawers().collect();
        ranked.sort_by_cached_key(rank_for(account));
        ranked.into_iter().take(RANKS).cloned().collect()
    }

    /// Returns true if this entry draws for the account.
    pub fn is_home(&self, account: &ClientAccountId) -> bool {
        self.is_settled && self.home(account) == Some(&self.sign.vm)
    }
}

/// Orders entries by their weights for an account, the largest first.
fn rank_for(account: &ClientAccountId) -> impl Fn(&&VmId) -> Reverse<u64> {
    let key = hash::stable(account.as_str().as_bytes());
    move |vm| Reverse(hash::rendezvous(key, vm.as_str()))
}
