//! The other entries: which of them run, their addresses, and which of them owns an account, that
//! is, draws its tokens.
//!
//! Each entry writes a heartbeat record to the store and reads those of the others. An entry that
//! cannot read them keeps using the ones that it last read, because its part of the limits that all
//! entries share must not grow while it is partitioned.

use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr};

use cyc_items::Raw;
use cyc_types::{ClientAccountId, Millis, VmId, hash};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::crash::CrashReport;

/// Interval between heartbeats.
pub const HEARTBEAT_INTERVAL: Millis = Millis::new(2_000);
/// An entry whose heartbeat has not changed for this long, while this entry could read it, does not
/// count as running. The store may return heartbeats that are 5.5 s old; two intervals are added.
pub const HEARTBEAT_TIMEOUT: Millis = Millis::new(10_000);
/// Tokens of an entry without heartbeats for this long count as lost.
pub const LOST_AFTER: Millis = Millis::new(30_000);
/// Delay until a new entry reads the heartbeats again. Other entries may start at the same time, so
/// it owns no accounts before that.
pub const STARTUP_DELAY: Millis = Millis::new(600);
/// Incarnations of an entry that are remembered; a read is some seconds old at most.
const MAX_EARLIER: usize = 8;
/// Name of [`Heartbeat::crashes`] in a message.
const CRASHES_FIELD: &str = "crashes";
/// Entries that may draw for an account: its owner, followed by the acting owners in order.
const MAX_OWNER_CANDIDATES: usize = 3;

/// The heartbeat record of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The entry.
    pub vm: VmId,
    /// TargetIncarnation of the entry.
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
    /// Crashes because of which the entry refuses prompts, for entries that reach the store but no
    /// other entry.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<CrashReport>,
}

impl Heartbeat {
    /// Decodes a heartbeat. Crashes that cannot be decoded are logged and left out.
    ///
    /// # Errors
    /// Why the heartbeat cannot be decoded.
    pub fn decode(raw: Raw<'_>) -> Result<Self, serde_json::Error> {
        let error = match raw.decode() {
            Ok(heartbeat) => return Ok(heartbeat),
            Err(error) => error,
        };
        let Ok(rest) = raw.without(CRASHES_FIELD) else {
            return Err(error);
        };
        let mut heartbeat: Self = Raw::new(&rest).decode()?;
        spdlog::warn!("heartbeat_crashes_unreadable", kv: {
            entry = heartbeat.vm.as_str(),
            error = error.to_string(),
        });
        let crashes = raw.get(CRASHES_FIELD).map(Raw::elements);
        let crashes = crashes.and_then(Result::ok).unwrap_or_default();
        let crashes = crashes.into_iter().filter_map(|crash| crash.decode().ok());
        heartbeat.crashes = crashes.collect();
        Ok(heartbeat)
    }
}

/// The last heartbeat read of another entry.
#[derive(Debug, Clone)]
struct KnownPeer {
    heartbeat: Heartbeat,
    /// When a changed heartbeat was last read.
    changed_at: Millis,
    /// Earlier incarnations, the last one last. A read may return their heartbeats again: one that is
    /// seconds old, or one from a store that came back from an older copy.
    earlier: Vec<u64>,
    /// How long this entry has read an unchanged heartbeat. Time without reads is left out, because
    /// the other entry may have been unable to write as well.
    unchanged_for: Millis,
}

impl KnownPeer {
    /// Returns true if the heartbeat was written before the known one.
    fn is_newer_than(&self, heartbeat: &Heartbeat) -> bool {
        let known = &self.heartbeat;
        let is_earlier_beat = known.start == heartbeat.start && known.beat > heartbeat.beat;
        is_earlier_beat || self.earlier.contains(&heartbeat.start)
    }

    /// The incarnations before that of a newer heartbeat.
    fn earlier_than(&self, heartbeat: &Heartbeat) -> Vec<u64> {
        let mut earlier = self.earlier.clone();
        if self.heartbeat.start != heartbeat.start {
            earlier.push(self.heartbeat.start);
            let surplus = earlier.len().saturating_sub(MAX_EARLIER);
            earlier.drain(..surplus);
        }
        earlier
    }

    fn is_running(&self) -> bool {
        self.unchanged_for <= HEARTBEAT_TIMEOUT
    }
}

/// Address of another entry, and the key that it requires.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Contact {
    /// VM of the entry.
    pub vm: VmId,
    /// Its incarnation.
    pub start: u64,
    /// Address for requests of other entries.
    pub addr: SocketAddr,
    /// Key that authenticates requests to the entry.
    pub key: SmolStr,
}

/// The heartbeat of this entry and those of the others.
#[derive(Debug)]
pub struct Peers {
    heartbeat: Heartbeat,
    known: BTreeMap<VmId, KnownPeer>,
    /// When heartbeats were last read.
    read_at: Option<Millis>,
    /// When the entries that may own accounts last changed.
    changed_at: Millis,
    /// The other entries have had time to read this entry's heartbeat.
    is_announced: bool,
}

impl Peers {
    /// Creates the state of a new incarnation that knows no other entry.
    pub fn new(vm: VmId, start: u64) -> Self {
        Self {
            heartbeat: Heartbeat {
                vm,
                start,
                beat: 0,
                addr: None,
                key: format!("{:032x}", rand::random::<u128>()).into(),
                is_leaving: false,
                crashes: Vec::new(),
            },
            known: BTreeMap::new(),
            read_at: None,
            changed_at: Millis::ZERO,
            is_announced: false,
        }
    }

    /// Sets the address for requests of other entries.
    pub fn set_addr(&mut self, addr: SocketAddr) {
        self.heartbeat.addr = Some(addr);
    }

    /// Marks this entry as shutting down.
    pub fn begin_shutdown(&mut self) {
        self.heartbeat.is_leaving = true;
    }

    /// Sets the crashes because of which this entry refuses prompts.
    pub fn set_crashes(&mut self, crashes: Vec<CrashReport>) {
        self.heartbeat.crashes = crashes;
    }

    /// Increments the sequence number and returns the heartbeat to write.
    pub fn next_heartbeat(&mut self) -> Heartbeat {
        self.heartbeat.beat += 1;
        self.heartbeat.clone()
    }

    /// Returns true if `key` is the key of this entry.
    pub fn accepts(&self, key: &str) -> bool {
        self.heartbeat.key == key
    }

    /// Updates the state from heartbeats that were read, and returns the crashes that they tell of.
    /// A heartbeat counts for that only once it was seen to change: the store keeps those of entries
    /// that ended long ago.
    pub fn observe(&mut self, heartbeats: Vec<Heartbeat>, now: Millis) -> Vec<CrashReport> {
        let mut crashes = Vec::new();
        let before: Vec<VmId> = self.eligible_owners().cloned().collect();
        // The list contains this entry's own heartbeat if the entry has run before or has written
        // one since. Its key is kept, because entries that cannot reach the store know no other.
        if let Some(own) = heartbeats
            .iter()
            .find(|heartbeat| heartbeat.vm == self.heartbeat.vm)
        {
            self.heartbeat.key = own.key.clone();
            self.is_announced = true;
        }
        let since = now.saturating_sub(self.read_at.unwrap_or(now));
        for known in self.known.values_mut() {
            known.unchanged_for += since.min(HEARTBEAT_INTERVAL + HEARTBEAT_INTERVAL);
        }
        for heartbeat in heartbeats
            .into_iter()
            .filter(|heartbeat| heartbeat.vm != self.heartbeat.vm)
        {
            let known = self.known.get(&heartbeat.vm);
            let is_same = known.is_some_and(|known| known.heartbeat == heartbeat);
            let is_older = known.is_some_and(|known| known.is_newer_than(&heartbeat));
            if !is_same && !is_older {
                if known.is_some() {
                    crashes.extend_from_slice(&heartbeat.crashes);
                }
                let earlier = known.map(|known| known.earlier_than(&heartbeat));
                let known = KnownPeer {
                    heartbeat,
                    earlier: earlier.unwrap_or_default(),
                    changed_at: now,
                    unchanged_for: Millis::ZERO,
                };
                self.known.insert(known.heartbeat.vm.clone(), known);
            }
        }
        self.read_at = Some(now);
        if !self.eligible_owners().eq(before.iter()) {
            self.changed_at = now;
        }
        crashes
    }

    /// Returns true once heartbeats were read.
    pub fn has_read(&self) -> bool {
        self.read_at.is_some()
    }

    /// Number of running entries, including this one.
    pub fn running(&self) -> usize {
        1 + self
            .known
            .values()
            .filter(|known| known.is_running())
            .count()
    }

    /// Incarnations of the other entries; `None` for an entry that has certainly ended, that is,
    /// without a new heartbeat for [`LOST_AFTER`].
    pub fn incarnations(&self, now: Millis) -> BTreeMap<VmId, Option<u64>> {
        let start = |known: &KnownPeer| {
            let has_timed_out = now.saturating_sub(known.changed_at) > LOST_AFTER;
            (!has_timed_out).then_some(known.heartbeat.start)
        };
        let known = self.known.iter();
        known
            .map(|(vm, known)| (vm.clone(), start(known)))
            .collect()
    }

    /// Returns the address and key of a running entry.
    pub fn contact(&self, vm: &VmId) -> Option<Contact> {
        let known = self.known.get(vm).filter(|known| known.is_running())?;
        Some(Contact {
            vm: vm.clone(),
            start: known.heartbeat.start,
            addr: known.heartbeat.addr?,
            key: known.heartbeat.key.clone(),
        })
    }

    /// Addresses and keys of the other running entries.
    pub fn contacts(&self) -> Vec<Contact> {
        let known = self.known.keys();
        known.filter_map(|vm| self.contact(vm)).collect()
    }

    /// Returns true if the other entries have had time to read this entry's heartbeat.
    pub fn is_announced(&self) -> bool {
        self.is_announced
    }

    /// Entries that may own accounts: those that run, are reachable and are not shutting down.
    fn eligible_owners(&self) -> impl Iterator<Item = &VmId> {
        let others = self.known.values().filter(|known| {
            known.is_running() && !known.heartbeat.is_leaving && known.heartbeat.addr.is_some()
        });
        let others = others.map(|known| &known.heartbeat.vm);
        let own = (!self.heartbeat.is_leaving).then_some(&self.heartbeat.vm);
        others.chain(own)
    }

    /// Returns the owner of an account by rendezvous hashing. All entries that have read the same
    /// heartbeats find the same owner.
    pub fn owner(&self, account: &ClientAccountId) -> Option<&VmId> {
        self.assigned(account_key(account))
    }

    /// Returns the entries that may draw for an account, its owner first.
    pub fn owner_candidates(&self, account: &ClientAccountId) -> Vec<VmId> {
        let mut ranked: Vec<&VmId> = self.eligible_owners().collect();
        ranked.sort_by_cached_key(rank(account_key(account)));
        ranked
            .into_iter()
            .take(MAX_OWNER_CANDIDATES)
            .cloned()
            .collect()
    }

    /// Returns true if this entry owns the account.
    pub fn is_owner(&self, account: &ClientAccountId) -> bool {
        self.is_assigned(account_key(account))
    }

    /// When the entries that look after something last changed, as far as this entry knows.
    pub fn changed_at(&self) -> Millis {
        self.changed_at
    }

    /// Returns true if this entry is the one that looks after what has this hash.
    pub fn is_assigned(&self, key: u64) -> bool {
        self.is_announced && self.assigned(key) == Some(&self.heartbeat.vm)
    }

    /// Returns the entry that looks after what has this hash.
    pub fn assigned(&self, key: u64) -> Option<&VmId> {
        self.eligible_owners().min_by_key(rank(key))
    }
}

fn account_key(account: &ClientAccountId) -> u64 {
    hash::stable(account.as_str().as_bytes())
}

/// Sort key of entries by their rendezvous weight for a hash, largest first.
fn rank(key: u64) -> impl Fn(&&VmId) -> Reverse<u64> {
    move |vm| Reverse(hash::rendezvous_weight(key, vm.as_str()))
}
