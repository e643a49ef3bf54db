//! Finds out whether targets that broke off answers have crashed.

use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    rc::Rc,
};

use cadence::CountedExt as _;
use cyc_types::{ClientAccountId, Millis, Tokens};
use tokio::time::{sleep, timeout};

use crate::{
    call::{PromptPart, RequestDigest},
    member::{TargetIncarnation, TargetState},
    port::Protocol,
    state::State,
};

/// Answers that one crash breaks off end within this time.
const GATHER_TIME: Millis = Millis::new(5);
/// Timeout of the connection that shows whether a target runs: several round trips between regions.
const CHECK_TIMEOUT: Millis = Millis::new(300);

/// An answer that a target broke off, or whose end cannot be told from that.
#[derive(Debug, Clone)]
pub struct BrokenAnswer {
    /// The target.
    pub target: TargetIncarnation,
    /// The request.
    pub request: RequestDigest,
    /// Shared parts of its prompt.
    pub shared: Vec<PromptPart>,
    /// The answer had hardly begun, so that the request may have crashed the target.
    pub is_suspect: bool,
    /// Another target had broken off the request before.
    pub is_repeat: bool,
    /// The answer is complete unless the target has crashed.
    pub may_be_complete: bool,
}

/// A prompt whose targets broke off before its caller got anything.
#[derive(Debug, Clone)]
pub struct UnansweredPrompt {
    /// The account that was charged.
    pub account: ClientAccountId,
    /// What it was charged.
    pub input: Tokens,
    /// The targets.
    pub targets: Vec<TargetIncarnation>,
}

/// Finds out whether targets that broke off answers have crashed; never returns.
pub async fn check_targets<P: Protocol>(state: Rc<State<P>>) {
    loop {
        state.answer_broken.notified().await;
        sleep(GATHER_TIME.duration()).await;
        let broken = std::mem::take(&mut *state.broken_answers.borrow_mut());
        let prompts = std::mem::take(&mut *state.unanswered_prompts.borrow_mut());
        let mut by_target: BTreeMap<TargetIncarnation, Vec<BrokenAnswer>> = BTreeMap::new();
        for answer in broken {
            let answers = by_target.entry(answer.target.clone());
            answers.or_default().push(answer);
        }
        for (target, answers) in by_target {
            tokio::task::spawn_local(check_target(state.clone(), target, answers));
        }
        for prompt in prompts {
            tokio::task::spawn_local(check_prompt(state.clone(), prompt));
        }
    }
}

/// Gives back what an unanswered prompt was charged if all its targets still run: they have lost its
/// answer, and nobody has anything from it.
async fn check_prompt<P: Protocol>(state: Rc<State<P>>, prompt: UnansweredPrompt) {
    let targets: BTreeSet<&TargetIncarnation> = prompt.targets.iter().collect();
    for target in targets {
        if !matches!(liveness(&state, target).await, Liveness::Running) {
            return;
        }
    }
    let mut allocations = state.allocations.borrow_mut();
    allocations.borrow(&prompt.account, prompt.input);
    drop(allocations);
    state.allocations_changed.notify_waiters();
    spdlog::info!("prompt_not_charged", kv: {
        account = prompt.account.as_str(),
        tokens = prompt.input.get(),
    });
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
    let liveness = liveness(&state, &target).await;
    match liveness {
        Liveness::Ended => record_crash(&state, &target, &answers),
        Liveness::Running => {
            for answer in answers.iter().filter(|answer| answer.may_be_complete) {
                state.clear_request(&answer.shared, answer.request);
            }
        }
        Liveness::Unknown => {}
    }
}

fn record_crash<P>(state: &State<P>, target: &TargetIncarnation, answers: &[BrokenAnswer]) {
    let now = state.now();
    let mut knowledge = state.knowledge.borrow_mut();
    let is_new = !knowledge.crashes.knows(target);
    let suspects: Vec<&BrokenAnswer> = answers.iter().filter(|answer| answer.is_suspect).collect();
    knowledge.crashes.record(target, &[], now);
    for answer in &suspects {
        let (shared, is_repeat) = (&answer.shared, answer.is_repeat);
        let crashes = &mut knowledge.crashes;
        crashes.record_request(target, shared, answer.request, is_repeat, now);
    }
    drop(knowledge);
    if is_new {
        let parts = suspects.iter().map(|answer| answer.shared.len() + 1);
        let suspects: usize = parts.sum();
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
    if state.knowledge.borrow().crashes.knows(target) {
        return Liveness::Ended;
    }
    let pool = {
        let fleet = state.fleet.borrow();
        let is_evacuated = fleet.is_evacuated(&target.id, state.now());
        let known = fleet.get(&target.id).filter(|known| {
            !is_evacuated
                && known.record.incarnation() == *target
                && known.record.state == TargetState::Ready
                && !known.announcement().is_leaving()
        });
        known.map(|known| known.pool.clone())
    };
    let Some(pool) = pool else {
        return Liveness::Unknown;
    };
    match timeout(CHECK_TIMEOUT.duration(), pool.connect()).await {
        Ok(Ok(conn)) => {
            pool.put_idle(conn, None);
            Liveness::Running
        }
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => Liveness::Ended,
        Ok(Err(_)) | Err(_) => Liveness::Unknown,
    }
}
