//! A caller of the API.

use std::net::SocketAddr;

use cyc_standin::client::{Answer, Client, Error};
use cyc_types::{ErrorKind, Outcome};
use http::Method;
use serde_json::{Value, json};

use crate::layout::{DESK, MODEL, api_key};

/// A caller with the API key of one account, at one entry.
#[derive(Debug, Clone)]
pub struct Caller {
    client: Client,
    key: String,
}

/// An answer as the caller reads it.
#[derive(Debug, Clone)]
pub struct Reply {
    /// The raw answer.
    pub answer: Answer,
    /// The text of a chat.
    pub text: String,
    /// True if a stream ended with its end marker, or a single document came whole.
    pub complete: bool,
    /// The error that ended the answer, if one did.
    pub problem: Option<Value>,
    /// Tokens billed, as the answer says.
    pub used: u64,
}

impl Reply {
    /// Returns the kind of the error, if there is one.
    pub fn kind(&self) -> Option<ErrorKind> {
        self.problem.as_ref()?.get("kind")?.as_str()?.parse().ok()
    }

    /// Returns what the error says about the run.
    pub fn outcome(&self) -> Option<Outcome> {
        self.problem
            .as_ref()?
            .get("outcome")?
            .as_str()?
            .parse()
            .ok()
    }
}

impl Caller {
    /// Creates a caller for `account` at the entry at `addr`.
    pub fn new(addr: SocketAddr, account: &str) -> Self {
        Self {
            client: Client::new(addr),
            key: api_key(account),
        }
    }

    /// Asks for `tokens` tokens of text.
    ///
    /// # Errors
    /// If no head of an answer comes.
    pub async fn chat(
        &self,
        prompt: &str,
        tokens: u64,
        stream: bool,
        headers: &[(&str, &str)],
    ) -> Result<Reply, Error> {
        self.chat_with(MODEL, (prompt, tokens), stream, headers)
            .await
    }

    /// Asks a model or an adapter for a number of tokens of text.
    ///
    /// # Errors
    /// If no head of an answer comes.
    pub async fn chat_with(
        &self,
        model: &str,
        (prompt, tokens): (&str, u64),
        stream: bool,
        headers: &[(&str, &str)],
    ) -> Result<Reply, Error> {
        let body = json!({
            "model": model,
            "stream": stream,
            "max_tokens": tokens,
            "messages": [{ "role": "user", "content": format!("{prompt} len={tokens}") }],
        });
        let path = "/v1/chat/completions";
        let answer = self
            .send(Method::POST, path, headers, &body.to_string())
            .await?;
        Ok(if stream {
            read_stream(answer)
        } else {
            read_document(answer)
        })
    }

    /// Makes a booking.
    ///
    /// # Errors
    /// If no head of an answer comes.
    pub async fn book(&self, key: &str, what: &str) -> Result<Reply, Error> {
        let body = json!({ "kit": what }).to_string();
        let path = format!("/v1/services/{DESK}/bookings");
        let answer = self
            .send(Method::POST, &path, &[("idempotency-key", key)], &body)
            .await?;
        Ok(read_document(answer))
    }

    /// Checks the status of a kit.
    ///
    /// # Errors
    /// If no head of an answer comes.
    pub async fn status(&self, kit: &str, headers: &[(&str, &str)]) -> Result<Reply, Error> {
        let path = format!("/v1/services/{DESK}/kits/{kit}");
        Ok(read_document(
            self.send(Method::GET, &path, headers, "").await?,
        ))
    }

    /// Sends any request with the API key.
    ///
    /// # Errors
    /// If no head of an answer comes.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<Answer, Error> {
        let bearer = format!("Bearer {}", self.key);
        let mut all = vec![("authorization", bearer.as_str())];
        all.extend_from_slice(headers);
        self.client
            .send(method, path, &all, body.to_owned().into())
            .await
    }
}

fn read_document(answer: Answer) -> Reply {
    let json: Value = serde_json::from_str(&answer.text).unwrap_or(Value::Null);
    let problem = (!answer.status.is_success()).then(|| json.clone());
    Reply {
        text: json["choices"][0]["message"]["content"]
            .as_str()
            .unwrap_or_default()
            .to_owned(),
        complete: answer.complete && problem.is_none(),
        used: json["usage"]["total_tokens"].as_u64().unwrap_or_default(),
        problem,
        answer,
    }
}

fn read_stream(answer: Answer) -> Reply {
    if !answer.status.is_success() {
        return read_document(answer);
    }
    let mut reply = Reply {
        text: String::new(),
        complete: false,
        problem: None,
        used: 0,
        answer: answer.clone(),
    };
    let mut is_error = false;
    for line in answer.text.lines() {
        if let Some(event) = line.strip_prefix("event: ") {
            is_error = event == "error";
        }
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            reply.complete = answer.complete;
            continue;
        }
        let json: Value = serde_json::from_str(data).unwrap_or(Value::Null);
        if is_error {
            reply.problem = Some(json);
            continue;
        }
        reply.text.push_str(
            json["choices"][0]["delta"]["content"]
                .as_str()
                .unwrap_or_default(),
        );
        reply.used = json["usage"]["total_tokens"].as_u64().unwrap_or(reply.used);
    }
    reply
}
