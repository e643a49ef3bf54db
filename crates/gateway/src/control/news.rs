//! Spreads news to the other entries.

use std::{collections::BTreeSet, rc::Rc};

use cyc_types::Millis;
use futures::future::join_all;
use tokio::time::sleep;

use super::peer_call::{self, NEWS_PATH};
use crate::{
    call::PartId,
    news::{BATCH_TIME, Digest, FANOUT, INTERVAL, News, NewsMessage, NewsReply, select},
    peers::Contact,
    port::Protocol,
    state::State,
};

/// Timeout of sending news: several round trips between regions.
const NEWS_TIMEOUT: Millis = Millis::new(300);
/// How often an entry that has started looks for another one, and for how long at most.
const LOOKUP_INTERVAL: Millis = Millis::new(20);
const MAX_LOOKUP: Millis = Millis::new(1_000);
/// Other entries that are tried in one comparison.
const MAX_TRIED: usize = 3;

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

/// Compares what this entry knows with another one, as soon as it knows any and then from time to time;
/// never returns.
pub async fn compare_news<P: Protocol>(state: Rc<State<P>>) {
    learn_from_others(&state).await;
    state.is_informed.set(true);
    loop {
        let due = state.now() + INTERVAL;
        sleep(INTERVAL.duration()).await;
        state.note_freeze();
        state.record_delay(due);
        state.ticked_at.set(Some(state.now()));
        state.forget_gone_targets();
        let is_changed = state.knowledge.borrow_mut().expire(state.now());
        if is_changed {
            state.news_added.notify_one();
        }
        let peers = state.peers.borrow().contacts();
        let chosen = select(&peers, MAX_TRIED, &mut rand::rng());
        let mut is_isolated = !chosen.is_empty();
        for peer in chosen {
            let begun = state.now();
            if compare(&state, peer).await {
                state.record_delay(begun);
                is_isolated = false;
                break;
            }
        }
        if state.is_isolated.replace(is_isolated) != is_isolated {
            spdlog::info!("entries_reachable", kv: { any = !is_isolated, known = peers.len() });
        }
    }
}

/// Learns what an entry that runs knows, before this one counts as ready.
async fn learn_from_others<P: Protocol>(state: &State<P>) {
    let until = state.now() + MAX_LOOKUP;
    while !state.peers.borrow().has_read() && state.now() < until {
        sleep(LOOKUP_INTERVAL.duration()).await;
    }
    let peers = state.peers.borrow().contacts();
    for peer in select(&peers, MAX_TRIED, &mut rand::rng()) {
        if compare(state, peer).await {
            return;
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
