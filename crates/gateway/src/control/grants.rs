//! Asks the granting entry before a request is sent to a limited target, and answers those that ask.

use std::{net::SocketAddr, rc::Rc};

use cadence::CountedExt as _;
use cyc_types::{Millis, TargetId, hash};
use futures::future::join_all;
use tokio::time::Instant;

use super::peer_call::{self, GRANT_PATH};
use crate::{
    limit::{ColdWord, GrantReply, GrantRequest, LimitWord, is_settled},
    member::TargetIncarnation,
    peers::Contact,
    port::Protocol,
    state::{ColdSource, State},
};

/// Timeout of asking for a grant: a round trip between regions.
const GRANT_TIMEOUT: Millis = Millis::new(120);
/// A granting entry that did not answer is not asked again for this long.
const UNRESPONSIVE_BACKOFF: Millis = Millis::SECOND;
/// How long no request is sent to a limited target while the granting entry is not known.
const STARTUP_DENIAL: Millis = Millis::new(300);
/// How long a target counts as cold at an entry that learns of a limit only from a denied request.
const DENIED_COLD_TIME: Millis = Millis::SECOND;
/// How long a target is not used if this entry stops and another one will grant its requests.
const SHUTDOWN_DENIAL: Millis = Millis::new(500);

/// The entry that grants the requests to a target.
enum GrantingEntry {
    /// This one.
    Own,
    /// Another one that can be asked.
    Other(Contact),
    /// Another one that does not answer.
    Unreachable,
    /// Not known yet.
    Unknown,
}

fn grant_key(target: &TargetId) -> u64 {
    hash::stable(target.as_str().as_bytes())
}

fn granting_entry<P>(state: &State<P>, target: &TargetId) -> GrantingEntry {
    let peers = state.peers.borrow();
    if !peers.is_announced() {
        return GrantingEntry::Unknown;
    }
    let Some(vm) = peers.assigned(grant_key(target)) else {
        return GrantingEntry::Unreachable;
    };
    if *vm == state.vm {
        return GrantingEntry::Own;
    }
    let contact = peers.contact(vm);
    contact
        .filter(|contact| !is_unresponsive(state, contact.addr))
        .map_or(GrantingEntry::Unreachable, GrantingEntry::Other)
}

fn is_unresponsive<P>(state: &State<P>, addr: SocketAddr) -> bool {
    let unresponsive = state.unresponsive_grantors.borrow();
    unresponsive
        .get(&addr)
        .is_some_and(|until| *until > Instant::now())
}

/// What is known of a target that a request is to be sent to.
struct Asked {
    target: TargetIncarnation,
    word: LimitWord,
    cold: Option<ColdWord>,
    /// The target is limited or cold as far as this entry knows; otherwise the granting entry is
    /// asked only because it may know more.
    is_limited: bool,
}

impl Asked {
    /// Returns `None` for a target to which requests can be sent without asking.
    fn new<P>(state: &State<P>, id: &TargetId) -> Option<Self> {
        state.note_freeze();
        let now = state.now();
        let mut fleet = state.fleet.borrow_mut();
        let cold = fleet.cold(id, now);
        let is_limited = cold.is_some() || fleet.limit_mut(id).is_some();
        if !is_limited && !fleet.may_be_cold(id, now) {
            return None;
        }
        Some(Self {
            target: fleet.get(id)?.record.incarnation(),
            word: fleet.limit_word(id, now)?,
            cold,
            is_limited,
        })
    }
}

/// Returns true if a request may be sent to a target now. Otherwise the target is not chosen again
/// before the time at which it may be.
pub async fn acquire_grant<P>(state: &State<P>, id: &TargetId) -> bool {
    let Some(asked) = Asked::new(state, id) else {
        return true;
    };
    let reply = match granting_entry(state, id) {
        GrantingEntry::Own => Some(grant(state, &asked.target, asked.word, asked.cold)),
        GrantingEntry::Other(contact) => ask(state, &contact, &asked).await,
        GrantingEntry::Unreachable => None,
        GrantingEntry::Unknown => {
            Some(GrantReply::Denied(STARTUP_DENIAL)).filter(|_| asked.is_limited)
        }
    };
    let is_granted = apply(state, &asked, reply);
    if asked.cold.is_some() {
        let outcome = match is_granted {
            true => cyc_obs::names::COLD_GRANTS,
            false => cyc_obs::names::COLD_DENIALS,
        };
        state.metrics.incr(outcome).ok();
    }
    if !is_granted {
        state.metrics.incr(cyc_obs::names::LIMIT_DENIALS).ok();
    }
    is_granted
}

/// Applies the reply of the granting entry, `None` if it did not answer. Returns true if the request
/// may be sent.
fn apply<P>(state: &State<P>, asked: &Asked, reply: Option<GrantReply>) -> bool {
    let now = state.now();
    let entries = state.entries();
    let id = &asked.target.id;
    if !asked.is_limited && matches!(reply, Some(GrantReply::Denied(_))) {
        state.mark_cold(&asked.target, DENIED_COLD_TIME, ColdSource::Entry);
    }
    let mut fleet = state.fleet.borrow_mut();
    match reply {
        Some(GrantReply::Granted) => true,
        Some(GrantReply::Unlimited) => {
            if asked.is_limited {
                fleet.remove_limit(id, now);
            }
            true
        }
        Some(GrantReply::Denied(time)) => {
            if let Some(limit) = fleet.pace_mut(id, now) {
                limit.deny(time, now);
            }
            false
        }
        None => {
            let limit = fleet.pace_mut(id, now);
            limit.is_none_or(|limit| limit.take_turn(entries, rand::random(), now))
        }
    }
}

/// Decides about a request as the granting entry.
fn grant<P>(
    state: &State<P>,
    target: &TargetIncarnation,
    word: LimitWord,
    cold: Option<ColdWord>,
) -> GrantReply {
    let now = state.now();
    let fleet = state.fleet.borrow();
    let own = fleet.get(&target.id);
    let own = own.filter(|own| own.record.incarnation() == *target);
    let own = own.and_then(|_| fleet.cold(&target.id, now));
    if state.is_stopping() {
        let is_limited = cold.or(own).is_some() || word.limit.is_some();
        return match is_limited || state.grantor.borrow().is_limited(target, now) {
            true => GrantReply::Denied(SHUTDOWN_DENIAL),
            // Asked by an entry that has just started.
            false => GrantReply::Unlimited,
        };
    }
    let peers = state.peers.borrow();
    // While this entry was frozen, another one may have begun to grant the requests to the target.
    let changed_at = match cold.or(own) {
        Some(_) => peers.changed_at().max(state.resumed_at.get()),
        None => peers.changed_at(),
    };
    let is_settled = peers.is_assigned(grant_key(&target.id)) && is_settled(changed_at, now);
    let mut grantor = state.grantor.borrow_mut();
    for cold in cold.into_iter().chain(own) {
        grantor.learn_cold(target, cold, now);
    }
    grantor.request(target, word, is_settled, now)
}

async fn ask<P>(state: &State<P>, contact: &Contact, asked: &Asked) -> Option<GrantReply> {
    let request = GrantRequest {
        key: contact.key.clone(),
        target: asked.target.clone(),
        word: asked.word,
        is_asking: true,
        cold: asked.cold,
    };
    let reply = peer_call::call(state, contact.addr, GRANT_PATH, &request, GRANT_TIMEOUT).await;
    let outcome = match &reply {
        Ok(reply) => format!("{reply:?}"),
        Err(error) => error.to_string(),
    };
    spdlog::debug!("grant_requested", kv: {
        target = asked.target.id.as_str(),
        entry = contact.vm.as_str(),
        outcome = outcome,
    });
    if reply.is_err() {
        let until = Instant::now() + UNRESPONSIVE_BACKOFF.duration();
        let mut unresponsive = state.unresponsive_grantors.borrow_mut();
        unresponsive.retain(|_, until| *until > Instant::now());
        unresponsive.insert(contact.addr, until);
    }
    reply.ok()
}

/// Answers another entry that asks for a grant or reports a limit.
pub fn handle_grant<P>(state: &State<P>, request: &GrantRequest) -> GrantReply {
    if request.is_asking {
        if let Some(cold) = request.cold {
            // This entry's own requests count as well, even if it learns of the coldness only here.
            state.mark_cold(&request.target, cold.left, ColdSource::Entry);
        }
        return grant(state, &request.target, request.word, request.cold);
    }
    let mut grantor = state.grantor.borrow_mut();
    grantor.report(&request.target, request.word, state.now());
    GrantReply::Denied(Millis::ZERO)
}

/// Tells the granting entries of limits that targets have named or lifted; never returns.
pub async fn report_limits<P: Protocol>(state: Rc<State<P>>) {
    loop {
        state.limit_changed.notified().await;
        let changes = std::mem::take(&mut *state.limit_changes.borrow_mut());
        let reports = changes.into_iter().map(async |(target, limit)| {
            let word = LimitWord {
                limit,
                age: Millis::ZERO,
            };
            match granting_entry(&state, &target.id) {
                GrantingEntry::Own => {
                    let mut grantor = state.grantor.borrow_mut();
                    grantor.report(&target, word, state.now());
                }
                GrantingEntry::Other(contact) => {
                    let request = GrantRequest {
                        key: contact.key.clone(),
                        target,
                        word,
                        is_asking: false,
                        cold: None,
                    };
                    let reported: Result<GrantReply, _> =
                        peer_call::call(&state, contact.addr, GRANT_PATH, &request, GRANT_TIMEOUT)
                            .await;
                    if let Err(error) = reported {
                        // The next request to the target reports it again.
                        spdlog::debug!("limit_not_reported", kv: {
                            target = request.target.id.as_str(),
                            error = error.to_string(),
                        });
                    }
                }
                GrantingEntry::Unreachable | GrantingEntry::Unknown => {}
            }
        });
        join_all(reports).await;
    }
}
