//! Tells other entries what this one has drawn, in case it ends before it can recover writes that the
//! store has lost.

use std::{collections::BTreeMap, rc::Rc};

use cyc_types::{ClientAccountId, Millis, VmId};
use futures::future::join_all;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::time::sleep;

use super::peer_call::{self, HOLDERS_PATH};
use crate::{news::select, peers::Contact, port::Protocol, prepaid::HolderReport, state::State};

/// Writes within this time are told together: what an entry spends of a draw in this time is little.
const BATCH_TIME: Millis = Millis::new(50);
/// Timeout of a message: several round trips between regions.
const TIMEOUT: Millis = Millis::new(300);
/// How often an entry that has started looks for another one.
const LOOKUP_INTERVAL: Millis = Millis::new(50);
/// Other entries that are asked, or told at the end.
const MAX_CONTACTED: usize = 3;

/// A message between entries: what holders have last written about themselves in prepaid records.
#[derive(Debug, Serialize, Deserialize)]
pub struct HoldersMessage {
    /// Key of the receiver.
    pub key: SmolStr,
    /// The last writes that the sender tells of.
    pub reports: Vec<HolderReport>,
    /// The sender has just started and wants to know what the receiver knows.
    #[serde(default)]
    pub is_question: bool,
}

/// The response to a [`HoldersMessage`]: what the receiver knows, if it was asked.
type HoldersReply = Option<Vec<HolderReport>>;

/// Tells the other entries that may draw for an account about each write of this one; never returns.
pub async fn report_holders<P: Protocol>(state: Rc<State<P>>) {
    loop {
        state.record_written.notified().await;
        sleep(BATCH_TIME.duration()).await;
        let written = std::mem::take(&mut *state.written_records.borrow_mut());
        let sends = messages(&state, written).into_values();
        let sends = sends.map(|(to, reports)| send(&state, to, reports, false));
        join_all(sends).await;
    }
}

/// Learns from entries that run what they know, once the first heartbeats were read.
pub async fn learn_holders<P: Protocol>(state: Rc<State<P>>) {
    while !state.peers.borrow().has_read() {
        sleep(LOOKUP_INTERVAL.duration()).await;
    }
    let asked = select_others(&state);
    let replies = asked
        .into_iter()
        .map(|to| send(&state, to, Vec::new(), true));
    for reports in join_all(replies).await.into_iter().flatten() {
        note_reports(&state, &reports);
        spdlog::info!("holders_learnt", kv: { reports = reports.len() });
    }
}

/// Leaves what this entry knows to others before it ends.
pub async fn leave_reports<P: Protocol>(state: &State<P>) {
    let reports = state.allocations.borrow().holder_reports(state.now());
    if reports.is_empty() {
        return;
    }
    let told = select_others(state).into_iter();
    join_all(told.map(|to| send(state, to, reports.clone(), false))).await;
}

fn select_others<P>(state: &State<P>) -> Vec<Contact> {
    let contacts = state.peers.borrow().contacts();
    let chosen = select(&contacts, MAX_CONTACTED, &mut rand::rng());
    chosen.into_iter().cloned().collect()
}

/// Groups the reports by receiver.
fn messages<P>(
    state: &State<P>,
    accounts: impl IntoIterator<Item = ClientAccountId>,
) -> BTreeMap<VmId, (Contact, Vec<HolderReport>)> {
    let mut messages: BTreeMap<VmId, (Contact, Vec<HolderReport>)> = BTreeMap::new();
    let peers = state.peers.borrow();
    let allocations = state.allocations.borrow();
    for account in accounts {
        let Some(report) = allocations.holder_report(&account) else {
            continue;
        };
        for vm in peers.owner_candidates(&account) {
            let Some(contact) = peers.contact(&vm) else {
                continue;
            };
            let message = messages.entry(vm).or_insert((contact, Vec::new()));
            message.1.push(report.clone());
        }
    }
    messages
}

/// Sends a message; returns what the receiver knows if that was asked.
async fn send<P>(
    state: &State<P>,
    to: Contact,
    reports: Vec<HolderReport>,
    is_question: bool,
) -> HoldersReply {
    let message = HoldersMessage {
        key: to.key,
        reports,
        is_question,
    };
    let sent = peer_call::call(state, to.addr, HOLDERS_PATH, &message, TIMEOUT).await;
    sent.unwrap_or_else(|error| {
        let error = error.to_string();
        spdlog::debug!("holders_not_told", kv: { to = to.vm.as_str(), error = error });
        None
    })
}

/// Takes over what other entries have written about themselves.
pub fn handle_holders<P>(state: &State<P>, message: &HoldersMessage) -> HoldersReply {
    note_reports(state, &message.reports);
    let now = state.now();
    let known = || state.allocations.borrow().holder_reports(now);
    message.is_question.then(known)
}

fn note_reports<P>(state: &State<P>, reports: &[HolderReport]) {
    let mut allocations = state.allocations.borrow_mut();
    for report in reports {
        allocations.note_holder(report, state.now());
    }
}
