//! Selection of the path of a call to the store: directly, or through a relay.

use cyc_types::Millis;

/// Delay after a failure until a path is tried again; doubles with each further failure.
const RETRY_MIN: Millis = Millis::new(500);
/// Maximum of that delay.
const RETRY_MAX: Millis = Millis::new(4_000);
/// A store that refuses this many calls in a row on a path may serve those on another one.
const REFUSALS: u32 = 2;
/// In fleets of more entries than this, relays make the calls that all entries have in common.
const FEW_ENTRIES: usize = 12;

/// A path to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Path {
    /// The entry's own connections to the store.
    Direct,
    /// The relay with this index.
    Relay(usize),
}

impl std::fmt::Display for Path {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Direct => f.write_str("direct"),
            Self::Relay(index) => write!(f, "relay-{index}"),
        }
    }
}

/// The kind of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// The result or the effect is the same for all entries, so that a relay makes it once for
    /// many: watches and heartbeats.
    Shared,
    /// Only this entry makes the call.
    Own,
}

/// How a call on a path ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The store responded.
    Answered,
    /// The store refused the call.
    Refused,
    /// The store was not reached, or did not respond.
    Failed,
}

#[derive(Debug, Clone, Copy, Default)]
struct Health {
    failures: u32,
    refusals: u32,
    retry_at: Millis,
}

impl Health {
    fn is_healthy(self) -> bool {
        self.failures == 0
    }

    fn record(&mut self, outcome: Outcome, now: Millis) {
        match outcome {
            Outcome::Answered => *self = Self::default(),
            Outcome::Refused => {
                self.refusals += 1;
                if self.refusals >= REFUSALS {
                    self.fail(now);
                }
            }
            Outcome::Failed => self.fail(now),
        }
    }

    fn fail(&mut self, now: Millis) {
        let delay = RETRY_MIN.get() << self.failures.min(u32::from(u8::MAX) / 32);
        self.retry_at = now + Millis::new(delay.min(RETRY_MAX.get()));
        self.failures += 1;
        self.refusals = 0;
    }
}

/// The paths of one entry and what its last calls tell about them.
#[derive(Debug, Clone)]
pub struct PathTable {
    direct: Health,
    /// In the order in which the entry uses them.
    relays: Vec<Health>,
    /// Running entries, if they are known.
    entries: Option<usize>,
}

impl PathTable {
    /// Creates a table with the direct path and `relays` relays.
    pub fn new(relays: usize) -> Self {
        Self {
            direct: Health::default(),
            relays: vec![Health::default(); relays],
            entries: None,
        }
    }

    /// Sets the number of running entries.
    pub fn set_entries(&mut self, entries: usize) {
        self.entries = Some(entries);
    }

    /// All paths in the order in which a call should try them: at most one relay before the direct
    /// path, and paths that have failed last, the one that is due first before the others.
    pub fn order(&self, purpose: Purpose, now: Millis) -> Vec<Path> {
        let is_small = self.entries.is_some_and(|entries| entries <= FEW_ENTRIES);
        let relays = (0..self.relays.len()).map(Path::Relay);
        let (mut usable, mut failed): (Vec<Path>, Vec<Path>) =
            relays.partition(|path| self.is_usable(*path, now));
        let direct_index = match purpose == Purpose::Own || is_small {
            true => 0,
            false => usable.len().min(1),
        };
        match self.has_failed(Path::Direct) {
            true => failed.push(Path::Direct),
            false => usable.insert(direct_index, Path::Direct),
        }
        failed.sort_by_key(|path| self.health(*path).retry_at);
        usable.extend(failed);
        usable
    }

    /// Returns true if a call may try the relay early: it has not failed, or not lately.
    fn is_usable(&self, relay: Path, now: Millis) -> bool {
        !self.has_failed(relay) || self.is_probe_due(relay, now)
    }

    /// Returns true if the last calls on the path have failed.
    pub fn has_failed(&self, path: Path) -> bool {
        !self.health(path).is_healthy()
    }

    /// Returns true if the path has failed and may be tried again.
    pub fn is_probe_due(&self, path: Path, now: Millis) -> bool {
        self.has_failed(path) && now >= self.health(path).retry_at
    }

    /// Records the end of a call. Returns true if the path has failed with it.
    pub fn record(&mut self, path: Path, outcome: Outcome, now: Millis) -> bool {
        let health = match path {
            Path::Direct => &mut self.direct,
            Path::Relay(index) => &mut self.relays[index],
        };
        let was_healthy = health.is_healthy();
        health.record(outcome, now);
        was_healthy && !health.is_healthy()
    }

    fn health(&self, path: Path) -> Health {
        match path {
            Path::Direct => self.direct,
            Path::Relay(index) => self.relays[index],
        }
    }
}
