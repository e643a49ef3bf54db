//! Spreads news to the other entries, and finds out which targets have crashed.

use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    rc::Rc,
};

use cadence::CountedExt as _;
use cyc_types::Millis;
use futures::future::join_all;
use tokio::time::{sleep, timeout};

use super::peer_call::{self, NEWS_PATH};
use crate::{
    call::{PartId, PromptPart},
    member::{TargetIncarnation, TargetState},
    news::{BATCH_TIME, Digest, FANOUT, INTERVAL, News, NewsMessage, NewsReply, select},
    peers::Contact,
    port::Protocol,
    state::State,
};

/// Timeout of sending news: several round trips between regions.
const NEWS_TIMEOUT: Millis = Millis::new(300);
/// Answers that one crash breaks off end within this time.
const GATHER_TIME: Millis = Millis::new(5);
/// Other entries that are tried in one comparison.
const MAX_TRIED: usize = 3;

/// An answer that a target broke off, or whose end cannot be told from that.
#[derive(Debug, Clone)]
pub struct BrokenAnswer {
    /// The target.
    pub target: TargetIncarnation,
    /// Shared parts of the prompt if the answer had hardly begun; otherwise empty.
    pub suspects: Vec<PromptPart>,
    /// Shared parts of the prompt if the answer is complete unless the target has crashed.
    pub cleared: Vec<PromptPart>,
}

/// Sends news to other entries as soon as there are any; never returns.
pub async fn spread_news<P: Protocol>(state: Rc<State<P>>) {
    let mut refused = BTreeSet::new();
    loop {
        state.news_added.notified().await;
        sleep(BATCH_TIME.duration()).await;
        let parts: BTreeSet<PartId> = state.knowledge.borrow().crashes.refused_parts().collect();
        if parts != refused {
            log_refused_parts(&refused, &parts);
            refused = parts;
            // For entries that no other entry reaches.
            state.heartbeat_requested.notify_one();
        }
        let news = state.knowledge.borrow_mut().take_news(state.now());
        if news.is_empty() {
            continue;
        }
        let peers = state.peers.borrow().contacts();
        let chosen = select(&peers, FANOUT, &mut rand::rng());
        let sends = chosen
            .into_iter()
            .map(|peer| send(&state, peer, news.clone(), None));
        join_all(sends).await;
    }
}

fn log_refused_parts(before: &BTreeSet<PartId>, after: &BTreeSet<PartId>) {
    for part in after.difference(before) {
        spdlog::warn!("prompt_part_refused", kv: { part = part.to_string() });
    }
    for part in before.difference(after) {
        spdlog::info!("prompt_part_admitted", kv: { part = part.to_string() });
    }
}

/// Compares what this entry knows with another one from time to time; never returns.
pub async fn compare_news<P: Protocol>(state: Rc<State<P>>) {
    loop {
        sleep(INTERVAL.duration()).await;
        let is_changed = state.knowledge.borrow_mut().expire(state.now());
        if is_changed {
            state.news_added.notify_one();
        }
        let peers = state.peers.borrow().contacts();
        let chosen = select(&peers, MAX_TRIED, &mut rand::rng());
        let mut is_isolated = !chosen.is_empty();
        for peer in chosen {
            if compare(&state, peer).await {
                is_isolated = false;
                break;
            }
        }
        if state.is_isolated.replace(is_isolated) != is_isolated {
            spdlog::info!("entries_reachable", kv: { any = !is_isolated, known = peers.len() });
        }
    }
}

/// Compares what this entry knows with another one. Returns true if that one replied.
async fn compare<P>(state: &State<P>, peer: &Contact) -> bool {
    let digest = state.knowledge.borrow().digest(state.now());
    let Some(reply) = send(state, peer, News::default(), Some(digest)).await else {
        return false;
    };
    let has_news = !reply.news.is_empty();
    state.apply_news(&reply.news, state.now());
    let unknown = state.knowledge.borrow_mut().accept(reply, state.now());
    if has_news {
        state.news_added.notify_one();
    }
    if !unknown.is_empty() {
        send(state, peer, unknown, None).await;
    }
    true
}

/// Sends news to an entry; returns its reply.
async fn send<P>(
    state: &State<P>,
    peer: &Contact,
    news: News,
    digest: Option<Digest>,
) -> Option<NewsReply> {
    let message = NewsMessage {
        key: peer.key.clone(),
        from: state.vm.clone(),
        news,
        digest,
    };
    let reply = peer_call::call(state, peer.addr, NEWS_PATH, &message, NEWS_TIMEOUT).await;
    reply
        .map_err(|error| {
            spdlog::debug!("news_not_sent", kv: {
                to = peer.vm.as_str(),
                error = error.to_string(),
            });
        })
        .ok()
}

/// Merges news of another entry, and returns the reply.
pub fn handle_news<P>(state: &State<P>, message: NewsMessage) -> NewsReply {
    let now = state.now();
    let has_news = !message.news.is_empty();
    state.apply_news(&message.news, now);
    let mut knowledge = state.knowledge.borrow_mut();
    let reply = knowledge.answer(message.news, message.digest.as_ref(), now);
    drop(knowledge);
    if has_news {
        state.news_added.notify_one();
    }
    reply
}

/// Finds out whether targets that broke off answers have crashed; never returns.
pub async fn check_targets<P: Protocol>(state: Rc<State<P>>) {
    loop {
        state.answer_broken.notified().await;
        sleep(GATHER_TIME.duration()).await;
        let broken = std::mem::take(&mut *state.broken_answers.borrow_mut());
        let mut by_target: BTreeMap<TargetIncarnation, Vec<BrokenAnswer>> = BTreeMap::new();
        for answer in broken {
            let answers = by_target.entry(answer.target.clone());
            answers.or_default().push(answer);
        }
        for (target, answers) in by_target {
            tokio::task::spawn_local(check_target(state.clone(), target, answers));
        }
    }
}

/// Result of a connection to a target that broke off an answer.
enum Liveness {
    /// The target accepts connections.
    Running,
    /// Nothing listens at the target's address.
    Ended,
    /// The target cannot be reached.
    Unknown,
}

async fn check_target<P: Protocol>(
    state: Rc<State<P>>,
    target: TargetIncarnation,
    answers: Vec<BrokenAnswer>,
) {
    let is_known = state.knowledge.borrow().crashes.knows(&target);
    let liveness = match is_known {
        true => Liveness::Ended,
        false => liveness(&state, &target).await,
    };
    match liveness {
        Liveness::Ended => record_crash(&state, &target, &answers),
        Liveness::Running => {
            for answer in answers {
                state.clear_prompt(&answer.cleared);
            }
        }
        Liveness::Unknown => {}
    }
}

fn record_crash<P>(state: &State<P>, target: &TargetIncarnation, answers: &[BrokenAnswer]) {
    let now = state.now();
    let mut knowledge = state.knowledge.borrow_mut();
    let is_new = !knowledge.crashes.knows(target);
    for answer in answers {
        knowledge.crashes.record(target, &answer.suspects, now);
    }
    drop(knowledge);
    if is_new {
        let suspects: usize = answers.iter().map(|answer| answer.suspects.len()).sum();
        spdlog::warn!("target_crashed", kv: {
            target = target.id.as_str(),
            answers = answers.len(),
            suspects = suspects,
        });
        state.metrics.incr(cyc_obs::names::TARGETS_CRASHED).ok();
    }
    state.news_added.notify_one();
}

/// Connects to a target. Only a target that still accepts requests is checked: one that leaves ends
/// without a crash.
async fn liveness<P>(state: &State<P>, target: &TargetIncarnation) -> Liveness {
    let pool = {
        let fleet = state.fleet.borrow();
        let known = fleet.get(&target.id).filter(|known| {
            known.record.incarnation() == *target && known.record.state == TargetState::Ready
        });
        known.map(|known| known.pool.clone())
    };
    let Some(pool) = pool else {
        return Liveness::Unknown;
    };
    match timeout(NEWS_TIMEOUT.duration(), pool.connect()).await {
        Ok(Ok(conn)) => {
            pool.put_idle(conn, None);
            Liveness::Running
        }
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => Liveness::Ended,
        Ok(Err(_)) | Err(_) => Liveness::Unknown,
    }
}
