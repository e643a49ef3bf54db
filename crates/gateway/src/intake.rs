//! Applies what the crate `cyc-intake` decides about an overload of this entry.

use std::rc::Rc;

use cadence::CountedExt as _;
use cyc_intake::{Arrival, Change, Direction, Intake};
use cyc_types::{ErrorKind, Millis, Refusal};
use http::header;
use tokio::sync::Notify;

use crate::{
    config::{Account, Route},
    crowd::ConnectionId,
    proxy::retry_after,
    state::State,
};

/// A connection of a caller, until dropped.
pub struct OpenConnection<P> {
    state: Rc<State<P>>,
    id: ConnectionId,
    evicted: Rc<Notify>,
}

impl<P> OpenConnection<P> {
    /// Identifies the connection.
    pub fn id(&self) -> ConnectionId {
        self.id
    }

    /// Notified when the connection is to be closed for another one.
    pub fn evicted(&self) -> Rc<Notify> {
        self.evicted.clone()
    }
}

impl<P> Drop for OpenConnection<P> {
    fn drop(&mut self) {
        self.state.crowd.borrow_mut().close(self.id);
        self.state.evictions.borrow_mut().remove(&self.id);
    }
}

/// Estimated size of the head of a request or response.
const HEAD_BYTES: u64 = 512;

impl<P> State<P> {
    /// Calls `f` if the capacity of the link is known, and logs what has changed.
    fn with_intake<R>(&self, f: impl FnOnce(&mut Intake, Millis) -> R) -> Option<R> {
        let mut intake = self.intake.borrow_mut();
        let intake = intake.as_mut()?;
        let result = f(intake, self.now());
        for change in intake.take_changes() {
            self.log_load(&change);
        }
        Some(result)
    }

    fn log_load(&self, change: &Change) {
        match change {
            Change::Overloaded(utilization) => {
                self.metrics.incr(cyc_obs::names::ENTRY_OVERLOADS).ok();
                spdlog::warn!("entry_overloaded", kv: {
                    link_percent = (utilization * 100.0) as u64,
                    in_flight = self.in_flight.get(),
                });
            }
            Change::Recovered(after) => {
                spdlog::info!("entry_recovered", kv: { after_ms = after.get() });
            }
            Change::Left(account) => {
                self.metrics.incr(cyc_obs::names::ENTRY_ABSENCES).ok();
                spdlog::warn!("entry_not_ready", kv: {
                    account = account.as_str(),
                    running = self.entries(),
                });
            }
            Change::Returned(reason, away) => spdlog::info!("entry_ready", kv: {
                reason = reason.to_string(),
                after_ms = away.get(),
            }),
        }
    }

    /// Records the body of a message that was received or sent, with its head.
    pub fn record_message(&self, direction: Direction, body: usize) {
        self.record_bytes(direction, HEAD_BYTES + body as u64);
    }

    /// Records a part of a body that was received or sent.
    pub fn record_bytes(&self, direction: Direction, bytes: u64) {
        if let Some(intake) = self.intake.borrow_mut().as_mut() {
            intake.record_bytes(direction, bytes);
        }
    }

    /// Registers a new connection, and closes the longest idle one if there are many. `None` if there is
    /// no room.
    pub fn open_connection(self: &Rc<Self>) -> Option<OpenConnection<P>> {
        let mut crowd = self.crowd.borrow_mut();
        let id = crowd.open(self.now());
        let evicted = crowd.take_idle(self.now());
        drop(crowd);
        let mut evictions = self.evictions.borrow_mut();
        if let Some(evicted) = evicted.and_then(|evicted| evictions.get(&evicted)) {
            evicted.notify_one();
        }
        let id = id?;
        let evicted = Rc::new(Notify::new());
        evictions.insert(id, evicted.clone());
        Some(OpenConnection {
            state: self.clone(),
            id,
            evicted,
        })
    }

    /// Returns true if there is room for connections, so that the platform may route callers here.
    pub fn has_room(&self) -> bool {
        let mut crowd = self.crowd.borrow_mut();
        let had_room = crowd.has_room();
        let has_room = crowd.is_ready();
        if had_room != has_room {
            spdlog::warn!("connections_many", kv: {
                is_ready = has_room,
                open = crowd.len(),
                most = crowd.most().unwrap_or_default(),
            });
        }
        has_room
    }

    /// Records a new connection of a caller.
    pub fn record_connection(&self) {
        self.with_intake(|intake, now| intake.record_connection(now));
    }

    /// Records the delay of what should have been done at this time: a connection that was begun, an
    /// answer of another entry, a task of this one.
    pub fn record_delay(&self, begun: Millis) {
        self.with_intake(|intake, now| intake.record_delay(now.saturating_sub(begun), now));
    }

    /// Returns true if the load lets the platform route callers to this entry.
    pub fn is_open(&self) -> bool {
        let entries = self.entries();
        self.with_intake(|intake, now| intake.is_ready(entries, now))
            .unwrap_or(true)
    }

    /// Decides whether a response closes the connection of the caller, who then reaches another entry.
    pub fn sheds_connection(&self) -> bool {
        let random = rand::random();
        let closes = self.with_intake(|intake, now| intake.closes_connection(random, now));
        let closes = closes.unwrap_or(false);
        if closes {
            self.metrics.incr(cyc_obs::names::OVERLOAD_CLOSES).ok();
        }
        closes
    }

    /// Refuses a request that the link of this entry cannot carry in time.
    ///
    /// # Errors
    /// The refusal, which names the expected wait.
    pub fn admit_load(
        &self,
        head: &http::request::Parts,
        route: &Route,
        account: Option<&Account>,
    ) -> Result<(), Refusal> {
        let length = head.headers.get(header::CONTENT_LENGTH);
        let length = length.and_then(|length| length.to_str().ok()?.parse().ok());
        let bytes = HEAD_BYTES.saturating_add(length.unwrap_or(0));
        let name = account.map_or_else(Default::default, |account| account.id.as_str().into());
        let urgency = account.and_then(|account| account.priority);
        let arrival = Arrival {
            account: &name,
            urgency: urgency.unwrap_or(route.priority),
            bytes,
            objective: route.objective,
        };
        let admitted = self.with_intake(|intake, now| intake.admit(&arrival, now));
        let Some(Err(rejection)) = admitted else {
            return Ok(());
        };
        // The body is on its way.
        self.record_bytes(Direction::In, bytes);
        self.metrics.incr(cyc_obs::names::OVERLOAD_REFUSALS).ok();
        let detail = format!(
            "the link of this entry is full: {} ms of requests wait, exceeds_usual_share={}",
            rejection.wait.get(),
            rejection.is_excess
        );
        Err(Refusal::new(ErrorKind::Overloaded, detail)
            .with_retry_after(retry_after(rejection.retry_after)))
    }
}
