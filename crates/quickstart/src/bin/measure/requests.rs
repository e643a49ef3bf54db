//! The requests that are measured.

use std::{net::SocketAddr, time::Instant};

use cyc_quickstart::{Caller, Error, layout::MODEL};
use cyc_standin::client::Client;
use http::Method;
use serde_json::json;

use crate::refused;

/// Tokens of a short chat.
const CHAT_TOKENS: u64 = 4;

/// The kinds of measured requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
pub enum Kind {
    /// A chat without a stream.
    #[strum(to_string = "chat")]
    Chat,
    /// A status check.
    #[strum(to_string = "status check")]
    Status,
}

/// Sends one request through an entry and returns how long it took, in microseconds.
pub async fn through(caller: &Caller, kind: Kind, n: usize) -> Result<u64, Error> {
    let started = Instant::now();
    let reply = match kind {
        Kind::Chat => caller.chat(&prompt(n), CHAT_TOKENS, false, &[]).await?,
        Kind::Status => caller.status(&format!("kit-{n}"), &[]).await?,
    };
    if !reply.complete {
        return Err(refused(format!("{kind} {n}: {}", reply.answer.text)));
    }
    Ok(started.elapsed().as_micros() as u64)
}

/// Sends the same request to a target itself.
pub async fn straight(client: &Client, kind: Kind, n: usize) -> Result<u64, Error> {
    let started = Instant::now();
    let answer = match kind {
        Kind::Chat => {
            let content = format!("{} len={CHAT_TOKENS}", prompt(n));
            let body = json!({
                "model": MODEL,
                "max_tokens": CHAT_TOKENS,
                "messages": [{ "role": "user", "content": content }],
            });
            client
                .send_json(Method::POST, "/v1/chat/completions", &body)
                .await?
        }
        Kind::Status => client.get(&format!("/kits/kit-{n}")).await?,
    };
    if !answer.status.is_success() || !answer.complete {
        return Err(refused(format!("{kind} {n}: {}", answer.text)));
    }
    Ok(started.elapsed().as_micros() as u64)
}

fn prompt(n: usize) -> String {
    format!("Question {n} on rivers.")
}

/// Sends `count` requests from `callers` tasks at a time, spread over the entries.
pub async fn load(
    entries: &[SocketAddr],
    account: &'static str,
    kind: Kind,
    (count, callers): (usize, usize),
) -> Result<Vec<u64>, Error> {
    let tasks: Vec<_> = (0..callers)
        .map(|task| {
            let caller = Caller::new(entries[task % entries.len()], account);
            tokio::spawn(async move {
                let mut times = Vec::new();
                for n in (task..count).step_by(callers) {
                    times.push(through(&caller, kind, n).await?);
                }
                Ok::<_, Error>(times)
            })
        })
        .collect();
    let mut times = Vec::new();
    for task in tasks {
        times.extend(task.await.map_err(refused)??);
    }
    Ok(times)
}
