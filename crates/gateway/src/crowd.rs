//! Bound of callers' connections by the memory and the descriptors of the process.
//!
//! When connections become many, the longest idle ones are closed, then the entry leaves the platform's
//! rotation and answers close their connections, and only then are requests on new connections refused.
//! Pure: callers pass the time.

use std::collections::{BTreeMap, BTreeSet};

use cyc_types::{ByteSize, Millis};

/// What a process takes without connections.
const BASE_MEMORY: ByteSize = ByteSize::new(24 * 1_000_000);
/// What a connection takes with a request in flight and its connection to a target.
const CONNECTION_MEMORY: ByteSize = ByteSize::new(53 * 1_000);
/// Percentage of the memory that is planned for; the rest is for bodies and bursts.
const PLANNED_PERCENT: u64 = 75;
/// Descriptors for files, listeners, and calls to the store and other entries.
const RESERVED_DESCRIPTORS: u64 = 300;
/// Percentage of the other descriptors that callers' connections may take; the rest is for targets.
const CALLERS_PERCENT: u64 = 70;
/// Percentage of the most connections from which on idle ones are closed.
const CLOSING_PERCENT: usize = 75;
/// Percentages of the most connections from which on the entry is not ready, and below which it is ready
/// again.
const LEAVING_PERCENT: usize = 88;
const RETURNING_PERCENT: usize = 70;
/// Part of the most connections that may be refused at the same time.
const REFUSALS_DIVISOR: usize = 8;
/// A connection is not closed for another one before it has been idle for this long: the first request of
/// a new one, or the next of one in use, is on its way.
const MIN_IDLE: Millis = Millis::new(500);
/// Fewer connections than this are not worth a bound.
const MIN_CONNECTIONS: usize = 64;

/// A connection of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(u64);

/// The connections of callers.
#[derive(Debug)]
pub struct Crowd {
    /// Maximum connections; `None` if neither memory nor descriptors are known.
    most: Option<usize>,
    opened: u64,
    /// Open connections, with the time since which they are idle.
    open: BTreeMap<ConnectionId, Option<Millis>>,
    /// Idle connections, the longest idle one first. Invariant: as in `open`.
    idle: BTreeSet<(Millis, ConnectionId)>,
    /// Connections whose request is being refused.
    refusals: usize,
    has_left: bool,
}

impl Crowd {
    /// Creates the state of a process with these limits, as far as they are known.
    pub fn new(memory: Option<ByteSize>, descriptors: Option<u64>) -> Self {
        let by_memory = memory.map(|memory| {
            let planned = memory.get() * PLANNED_PERCENT / 100;
            planned.saturating_sub(BASE_MEMORY.get()) / CONNECTION_MEMORY.get()
        });
        let by_descriptors = descriptors.map(|descriptors| {
            descriptors.saturating_sub(RESERVED_DESCRIPTORS) * CALLERS_PERCENT / 100
        });
        let most = by_memory.into_iter().chain(by_descriptors).min();
        Self {
            most: most.map(|most| (most as usize).max(MIN_CONNECTIONS)),
            opened: 0,
            open: BTreeMap::new(),
            idle: BTreeSet::new(),
            refusals: 0,
            has_left: false,
        }
    }

    /// Maximum connections, if there is a bound.
    pub fn most(&self) -> Option<usize> {
        self.most
    }

    /// Open connections.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Returns true if there is no connection.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    fn exceeds(&self, percent: usize) -> bool {
        let bound = self.most.map(|most| most * percent / 100);
        bound.is_some_and(|bound| self.open.len() > bound)
    }

    /// Records a new connection, on which no request has arrived. `None` if there are too many: its
    /// request is to be refused.
    pub fn open(&mut self, now: Millis) -> Option<ConnectionId> {
        if self.most.is_some_and(|most| self.open.len() >= most) {
            return None;
        }
        self.opened += 1;
        let id = ConnectionId(self.opened);
        self.open.insert(id, None);
        self.set_idle(id, now);
        Some(id)
    }

    /// Records a connection whose request is to be refused. Returns false if there are too many of them
    /// too: it is to be closed unread.
    pub fn start_refusal(&mut self) -> bool {
        let most = self
            .most
            .map(|most| (most / REFUSALS_DIVISOR).max(MIN_CONNECTIONS));
        let has_place = most.is_none_or(|most| self.refusals < most);
        self.refusals += usize::from(has_place);
        has_place
    }

    /// Records the end of a connection whose request was refused.
    pub fn end_refusal(&mut self) {
        self.refusals = self.refusals.saturating_sub(1);
    }

    /// Records that a request has arrived on a connection.
    pub fn start_request(&mut self, id: ConnectionId) {
        if let Some(since) = self.open.get_mut(&id).and_then(Option::take) {
            self.idle.remove(&(since, id));
        }
    }

    /// Records that a connection waits for a request.
    pub fn set_idle(&mut self, id: ConnectionId, now: Millis) {
        self.start_request(id);
        if let Some(since) = self.open.get_mut(&id) {
            *since = Some(now);
            self.idle.insert((now, id));
        }
    }

    /// Records the end of a connection.
    pub fn close(&mut self, id: ConnectionId) {
        self.start_request(id);
        self.open.remove(&id);
    }

    /// Returns true if answers close their connections, so that their callers reach another entry.
    pub fn sheds_connections(&self) -> bool {
        self.exceeds(LEAVING_PERCENT)
    }

    /// The longest idle connection if it is to be closed for a new one.
    pub fn take_idle(&mut self, now: Millis) -> Option<ConnectionId> {
        let (since, _) = self.idle.first()?;
        if !self.exceeds(CLOSING_PERCENT) || now.saturating_sub(*since) < MIN_IDLE {
            return None;
        }
        let (_, id) = self.idle.pop_first()?;
        if let Some(since) = self.open.get_mut(&id) {
            *since = None;
        }
        Some(id)
    }

    /// Returns true if the entry has not left for lack of room.
    pub fn has_room(&self) -> bool {
        !self.has_left
    }

    /// Returns true if the platform may route callers here. An entry that has left returns once there is
    /// room again, so that it does not change with each connection.
    pub fn is_ready(&mut self) -> bool {
        let percent = match self.has_left {
            true => RETURNING_PERCENT,
            false => LEAVING_PERCENT,
        };
        self.has_left = self.exceeds(percent);
        !self.has_left
    }
}
