//! Keeps the prepaid tokens of this entry: draws, returns and the sign that it runs.

use std::rc::Rc;

use cyc_types::Millis;
use tokio::time::{Instant, sleep, timeout};

use super::Pause;
use crate::{
    port::{Store, StoreError, Wire, Written},
    share::{Plan, Wallet},
    state::State,
};

/// Time between looks at the wallet: draws are sized for seconds of use.
const TICK: Millis = Millis::new(500);
/// The shortest time between two writes, so that a burst of requests shares one.
const GAP: Millis = Millis::new(30);

/// Tries to return tokens at a planned stop; others write the same record.
const RETURN_TRIES: u32 = 8;

/// Keeps the wallet until the process ends.
pub async fn keep_shares<W: Wire, S: Store>(state: Rc<State<W>>, store: Rc<S>) {
    let mut pause = Pause::default();
    loop {
        if state.is_stopping() && state.in_flight.get() == 0 {
            // The stop returns the rest; a draw must not cross it.
            return;
        }
        let result = step(&state, &*store).await;
        match result {
            Ok(is_done) => {
                let failures = pause.reset();
                state.shares_failures.set(0);
                if failures > 0 {
                    spdlog::info!("shares_reached", kv: { failures = failures });
                }
                if is_done {
                    sleep(GAP.duration()).await;
                    // A timeout is the usual tick.
                    let wanted = state.draw_wanted.notified();
                    timeout(TICK.saturating_sub(GAP).duration(), wanted)
                        .await
                        .ok();
                }
            }
            Err(error) => {
                let wait = pause.grow();
                state.shares_failures.set(state.shares_failures.get() + 1);
                spdlog::warn!("shares_not_reached", kv: {
                    error = error.to_string(),
                    again_ms = wait.get(),
                });
                sleep(wait.duration()).await;
            }
        }
    }
}

/// Reads and writes the record if that is due. Returns false if another try should follow at
/// once.
async fn step<W: Wire, S: Store>(state: &State<W>, store: &S) -> Result<bool, StoreError> {
    if !state.wallet.borrow().is_due(state.now()) {
        return Ok(true);
    }
    let (version, shares) = store.shares().await?;
    let plan = {
        let mut wallet = state.wallet.borrow_mut();
        wallet.observe(version, shares, state.now());
        wallet.plan(state.now())
    };
    state.wallet_changed.notify_waiters();
    let Some(plan) = plan else {
        return Ok(true);
    };
    let asked = Instant::now();
    let written = store.write_shares(&plan).await;
    let mut wallet = state.wallet.borrow_mut();
    match &written {
        Ok(Written::Done(version)) => wallet.written(*version, state.now()),
        // The next read tells whether an earlier send of the plan was made.
        Ok(Written::Conflict) => {}
        Err(StoreError::Refused(_)) => wallet.refused(),
        Err(_) => wallet.unanswered(),
    }
    log(&wallet, state.now(), &plan, &written, asked);
    drop(wallet);
    state.wallet_changed.notify_waiters();
    written.map(|written| written != Written::Conflict)
}

/// Returns all tokens that no request has reserved, at the end of a planned stop. Returns true
/// if the record shows that.
pub async fn return_shares<W: Wire, S: Store>(state: &State<W>, store: &S) -> bool {
    state.wallet.borrow_mut().close();
    for _ in 0..RETURN_TRIES {
        match step(state, store).await {
            Ok(_) if state.wallet.borrow().is_returned() => return true,
            Ok(_) => {}
            Err(error) => {
                spdlog::warn!("shares_not_returned", kv: {
                    error = error.to_string(),
                });
                sleep(super::PAUSE_MIN.duration()).await;
            }
        }
    }
    false
}

fn log(
    wallet: &Wallet,
    now: Millis,
    plan: &Plan,
    written: &Result<Written, StoreError>,
    asked: Instant,
) {
    let outcome = match written {
        Ok(Written::Done(_)) => "written".to_string(),
        Ok(Written::Conflict) => "conflict".to_string(),
        Err(error) => error.to_string(),
    };
    let base = plan.base.map_or(0, |version| version.get());
    let took_ms = asked.elapsed().as_millis() as u64;
    for step in &plan.moves {
        let total = plan.shares.drawn.get(&step.account);
        let total = total.copied().unwrap_or_default();
        spdlog::info!("prepaid_move", kv: {
            account = step.account.as_str(),
            drawn = step.drawn.get(),
            returned = step.returned.get(),
            drawn_by_all = total.get(),
            paid = wallet.prepaid(&step.account).get(),
            entries = wallet.entries(now),
            base = base,
            took_ms = took_ms,
            outcome = outcome.as_str(),
        });
    }
}
