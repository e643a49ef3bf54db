//! The other entries: which of them run, their addresses, and which of them owns an account, that
//! is, draws its tokens.
//!
//! Each entry writes a heartbeat record to the store and reads those of the others. An entry that
//! cannot read them keeps using the ones that it last read, because its part of the limits that all
//! entries share must not grow while it is partitioned.

use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr};

use cyc_types::{ClientAccountId, Millis, VmId, hash};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Interval between heartbeats.
pub const BEAT: Millis = Millis::new(2_000);
/// An entry whose heartbeat has not changed for this long, while this entry could read it, does not
/// count as running. The store may return heartbeats that are 5.5 s old; two intervals are added.
pub const BEAT_TIMEOUT: Millis = Millis::new(10_000);
/// Tokens of an entry without heartbeats for this long count as lost.
pub const GONE_AFTER: Millis = Millis::new(30_000);
/// Delay until a new entry reads the heartbeats again. Other entries may start at the same time, so
/// it owns no accounts before that.
pub const SETTLE: Millis = Millis::new(600);
/// Entries that may draw for an account: its owner, followed by the acting owners in order.
const RANKS: usize = 3;

/// The heartbeat record of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sign {
    /// The entry.
    pub vm: VmId,
    /// Incarnation of the entry.
    pub start: u64,
    /// Sequence number; increases within an incarnation.
    pub beat: u64,
    /// Address for requests of other entries.
    pub addr: Option<SocketAddr>,
    /// Authenticates requests for tokens to this entry; only entries can read it. All incarnations
    /// of an entry share the key.
    pub key: SmolStr,
    /// The entry is shutting down and owns no accounts.
    pub is_leaving: bool,
}

/// The last heartbeat read of another entry.
#[derive(Debug, Clone)]
struct Known {
    sign: Sign,
    /// When a changed heartbeat was last read.
    changed: Millis,
    /// How long this entry has read an unchanged heartbeat. Time without reads is left out, because
    /// the other entry may have been unable to write as well.
    silent: Millis,
}

impl Known {
    fn runs(&self) -> bool {
        self.silent <= BEAT_TIMEOUT
    }
}

/// Address of another entry, and the key that it requires.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Contact {
    /// VM of the entry.
    pub vm: VmId,
    /// Address for requests of other entries.
    pub addr: SocketAddr,
    /// Key that authenticates requests to the entry.
    pub key: SmolStr,
}

/// The heartbeat of this entry and those of the others.
#[derive(Debug)]
pub struct Peers {
    sign: Sign,
    known: BTreeMap<VmId, Known>,
    /// When heartbeats were last read.
    read: Option<Millis>,
    /// The other entries have had time to read this entry's heartbeat.
    is_settled: bool,
}

impl Peers {
    /// Creates the state of a new incarnation that knows no other entry.
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

    /// Sets the address for requests of other entries.
    pub fn set_addr(&mut self, addr: SocketAddr) {
        self.sign.addr = Some(addr);
    }

    /// Marks this entry as shutting down.
    pub fn leave(&mut self) {
        self.sign.is_leaving = true;
    }

    /// Increments the sequence number and returns the heartbeat to write.
    pub fn beat(&mut self) -> Sign {
        self.sign.beat += 1;
        self.sign.clone()
    }

    /// Returns true if `key` is the key of this entry.
    pub fn accepts(&self, key: &str) -> bool {
        self.sign.key == key
    }

    /// Takes the heartbeats that were read.
    pub fn observe(&mut self, signs: Vec<Sign>, now: Millis) {
        // The list contains this entry's own heartbeat if the entry has run before or has written
        // one since. Its key is kept, because entries that cannot reach the store know no other.
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

    /// Number of running entries, including this one.
    pub fn running(&self) -> usize {
        1 + self.known.values().filter(|known| known.runs()).count()
    }

    /// Incarnations of the other entries; `None` for an entry that has certainly ended, that is,
    /// without a new heartbeat for [`LOST_AFTER`].
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

    /// Returns the address and key of a running entry.
    pub fn contact(&self, vm: &VmId) -> Option<Contact> {
        let known = self.known.get(vm).filter(|known| known.runs())?;
        Some(Contact {
            vm: vm.clone(),
            addr: known.sign.addr?,
            key: known.sign.key.clone(),
        })
    }

    /// Returns true if the other entries have had time to read this entry's heartbeat.
    pub fn is_settled(&self) -> bool {
        self.is_settled
    }

    /// Entries that may own accounts: those that run, are reachable and are not shutting down.
    fn drawers(&self) -> impl Iterator<Item = &VmId> {
        let others = self
            .known
            .values()
            .filter(|known| known.runs() && !known.sign.is_leaving && known.sign.addr.is_some());
        let others = others.map(|known| &known.sign.vm);
        let own = (!self.sign.is_leaving).then_some(&self.sign.vm);
        others.chain(own)
    }

    /// Returns the owner of an account by rendezvous hashing. All entries that have read the same
    /// heartbeats find the same owner.
    pub fn home(&self, account: &ClientAccountId) -> Option<&VmId> {
        self.drawers().min_by_key(rank_for(account))
    }

    /// Returns the entries that may draw for an account, its owner first.
    pub fn ranks(&self, account: &ClientAccountId) -> Vec<VmId> {
        let mut ranked: Vec<&VmId> = self.drawers().collect();
        ranked.sort_by_cached_key(rank_for(account));
        ranked.into_iter().take(RANKS).cloned().collect()
    }

    /// Returns true if this entry owns the account.
    pub fn is_home(&self, account: &ClientAccountId) -> bool {
        self.is_settled && self.home(account) == Some(&self.sign.vm)
    }
}

/// Sort key of entries by their rendezvous weight for an account, largest first.
fn rank_for(account: &ClientAccountId) -> impl Fn(&&VmId) -> Reverse<u64> {
    let key = hash::stable(account.as_str().as_bytes());
    move |vm| Reverse(hash::rendezvous(key, vm.as_str()))
}
