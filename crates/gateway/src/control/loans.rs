//! Borrows tokens from other entries while requests wait that the record cannot serve, and lends.

use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc};

use bytes::Bytes;
use cyc_types::{ClientAccountId, Millis};
use futures::future::join_all;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use tokio::{
    task::yield_now,
    time::{Instant, sleep, timeout},
};

use crate::{
    conn::Pool,
    port::Wire,
    share::{LoanReply, LoanRequest},
    state::State,
};

/// How long the answer of another entry is waited for: several round trips between zones.
const LOAN_TIMEOUT: Millis = Millis::new(60);
/// An entry that did not answer is not asked again for this long.
const SILENT_FOR: Millis = Millis::new(1_000);
/// After no entry lent anything of an account, nobody is asked for this long.
const FRUITLESS_FOR: Millis = Millis::new(150);
/// Entries asked for one loan.
const MAX_ASKED: usize = 4;
/// The shortest time between two rounds, so that a burst of requests shares one.
const GAP: Millis = Millis::new(15);
/// The longest message, in bytes.
const MAX_MESSAGE_BYTES: usize = 4_096;

/// The other entries, as far as they were asked.
#[derive(Default)]
struct Peers {
    pools: HashMap<SocketAddr, Rc<Pool>>,
    silent: HashMap<SocketAddr, Instant>,
    /// Accounts of which no entry lent anything, and until when that is believed.
    fruitless: HashMap<ClientAccountId, Instant>,
}

/// Borrows until the process ends.
pub async fn keep_loans<W: Wire>(state: Rc<State<W>>) {
    let peers = RefCell::new(Peers::default());
    loop {
        state.loan_wanted.notified().await;
        let requests = state.wallet.borrow().loan_requests(state.now());
        let loans = requests
            .iter()
            .map(|request| borrow(&state, &peers, request));
        join_all(loans).await;
        sleep(GAP.duration()).await;
    }
}

async fn borrow<W>(state: &State<W>, peers: &RefCell<Peers>, request: &LoanRequest) {
    let believed = peers.borrow().fruitless.get(&request.account).copied();
    if believed.is_some_and(|until| until > Instant::now()) {
        return;
    }
    let mut request = request.clone();
    let mut is_fruitless = true;
    let lenders = state.wallet.borrow().lenders(&request.account, state.now());
    let is_silent = |addr: &SocketAddr| {
        let until = peers.borrow().silent.get(addr).copied();
        until.is_some_and(|until| until > Instant::now())
    };
    let open = lenders.into_iter().filter(|addr| !is_silent(addr));
    for addr in open.take(MAX_ASKED).collect::<Vec<SocketAddr>>() {
        let pool = peers
            .borrow_mut()
            .pools
            .entry(addr)
            .or_insert_with(|| Rc::new(Pool::new(addr)))
            .clone();
        let reply = timeout(LOAN_TIMEOUT.duration(), ask(&pool, &request)).await;
        let reply = reply.unwrap_or_else(|_| Err("timeout".into()));
        let outcome = match &reply {
            Ok(reply) if reply.tokens.is_zero() => "none".to_string(),
            Ok(_) => "lent".to_string(),
            Err(error) => error.clone(),
        };
        let tokens = reply.as_ref().map_or(0, |reply| reply.tokens.get());
        spdlog::info!("loan_asked", kv: {
            account = request.account.as_str(),
            lender = addr.to_string(),
            least = request.least.get(),
            want = request.want.get(),
            tokens = tokens,
            outcome = outcome,
        });
        match reply {
            Ok(reply) if reply.tokens.is_zero() => {}
            Ok(reply) => {
                is_fruitless = false;
                state
                    .wallet
                    .borrow_mut()
                    .borrow(&request.account, reply.tokens);
                state.wallet_changed.notify_waiters();
                // The requests that the loan serves take their tokens first.
                yield_now().await;
                let rest = state.wallet.borrow().rest_of(&request, state.now());
                match rest {
                    Some(rest) => request = rest,
                    None => return,
                }
            }
            Err(_) => {
                let until = Instant::now() + SILENT_FOR.duration();
                peers.borrow_mut().silent.insert(addr, until);
            }
        }
    }
    if is_fruitless {
        let until = Instant::now() + FRUITLESS_FOR.duration();
        peers.borrow_mut().fruitless.insert(request.account, until);
    }
}

async fn ask(pool: &Pool, request: &LoanRequest) -> Result<LoanReply, String> {
    let body = serde_json::to_vec(request).map_err(|error| error.to_string())?;
    let req = Request::builder()
        .method(Method::POST)
        .uri("/loan")
        .header(header::HOST, "entry")
        .body(Full::new(Bytes::from(body)))
        .map_err(|error| error.to_string())?;
    let mut conn = match pool.take_idle() {
        Some(conn) => conn,
        None => pool.connect().await.map_err(|error| error.to_string())?,
    };
    let answer = conn.sender.send_request(req).await;
    let (head, body) = answer.map_err(|error| error.to_string())?.into_parts();
    let body = Limited::new(body, MAX_MESSAGE_BYTES).collect().await;
    let body = body.map_err(|error| error.to_string())?.to_bytes();
    if head.status != StatusCode::OK {
        return Err(head.status.to_string());
    }
    pool.give_back(conn, None);
    serde_json::from_slice(&body).map_err(|error| error.to_string())
}

/// Answers another entry that asks for a loan.
pub async fn lend<W>(state: &State<W>, req: Request<Incoming>) -> Response<Full<Bytes>> {
    let body = Limited::new(req.into_body(), MAX_MESSAGE_BYTES)
        .collect()
        .await;
    let request = match body {
        Ok(body) => serde_json::from_slice::<LoanRequest>(&body.to_bytes())
            .map_err(|error| error.to_string()),
        Err(error) => Err(error.to_string()),
    };
    let (status, body) = match request {
        Ok(request) => {
            let tokens = state.wallet.borrow_mut().lend(&request, state.now());
            spdlog::info!("loan", kv: {
                account = request.account.as_str(),
                least = request.least.get(),
                want = request.want.get(),
                tokens = tokens.get(),
            });
            let reply = serde_json::to_vec(&LoanReply { tokens }).unwrap_or_default();
            (StatusCode::OK, reply)
        }
        Err(error) => {
            spdlog::warn!("loan_not_read", kv: { error = error.as_str() });
            (StatusCode::BAD_REQUEST, error.into_bytes())
        }
    };
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}
