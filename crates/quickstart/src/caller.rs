//! A client of the callers' API that decodes documents and event streams.

use std::net::SocketAddr;

use cyc_standin::client::{Answer, Client, Error};
use cyc_types::{ErrorKind, Outcome};
use http::Method;
use serde_json::{Value, json};

use crate::layout::{HIRE_DESK_SERVICE, MODEL, api_key};

/// Sends requests to one entry with the API key of one account.
#[derive(Debug, Clone)]
pub struct Caller {
    client: Client,
    key: String,
}

/// A decoded answer.
#[derive(Debug, Clone)]
pub struct Reply {
    /// Undecoded answer.
    pub answer: Answer,
    /// Generated text of a chat; empty for other requests.
    pub text: String,
    /// True if the stream ended with `[DONE]`, or if the document succeeded and is not truncated.
    pub complete: bool,
    /// Error document of a failed request, or the error event of a stream.
    pub problem: Option<Value>,
    /// Billed tokens as reported in the `usage` of the answer.
    pub tokens_used: u64,
}

impl Reply {
    /// Kind of the error; `None` without an error or if the kind is unknown.
    pub fn kind(&self) -> Option<ErrorKind> {
        self.problem.as_ref()?.get("kind")?.as_str()?.parse().ok()
    }

    /// Whether the request ran, as stated by the error; `None` without an error.
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

    /// Sends a chat request to [`MODEL`] for `tokens` tokens.
    ///
    /// # Errors
    /// If no response head is received.
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

    /// Sends a chat request to a model or an adapter for a number of tokens.
    ///
    /// # Errors
    /// If no response head is received.
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
            decode_stream(answer)
        } else {
            decode_document(answer)
        })
    }

    /// Books a kit; `key` is the idempotency key.
    ///
    /// # Errors
    /// If no response head is received.
    pub async fn book(&self, key: &str, kit: &str) -> Result<Reply, Error> {
        let body = json!({ "kit": kit }).to_string();
        let path = format!("/v1/services/{HIRE_DESK_SERVICE}/bookings");
        let answer = self
            .send(Method::POST, &path, &[("idempotency-key", key)], &body)
            .await?;
        Ok(decode_document(answer))
    }

    /// Checks the status of a kit.
    ///
    /// # Errors
    /// If no response head is received.
    pub async fn status(&self, kit: &str, headers: &[(&str, &str)]) -> Result<Reply, Error> {
        let path = format!("/v1/services/{HIRE_DESK_SERVICE}/kits/{kit}");
        Ok(decode_document(
            self.send(Method::GET, &path, headers, "").await?,
        ))
    }

    /// Sends an arbitrary request with the API key.
    ///
    /// # Errors
    /// If no response head is received.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<Answer, Error> {
        let bearer = format!("Bearer {}", self.key);
        let mut all_headers = vec![("authorization", bearer.as_str())];
        all_headers.extend_from_slice(headers);
        self.client
            .send(method, path, &all_headers, body.to_owned().into())
            .await
    }
}

fn decode_document(answer: Answer) -> Reply {
    let json: Value = serde_json::from_str(&answer.text).unwrap_or(Value::Null);
    let problem = (!answer.status.is_success()).then(|| json.clone());
    Reply {
        text: json["choices"][0]["message"]["content"]
            .as_str()
            .unwrap_or_default()
            .to_owned(),
        complete: answer.complete && problem.is_none(),
        tokens_used: json["usage"]["total_tokens"].as_u64().unwrap_or_default(),
        problem,
        answer,
    }
}

fn decode_stream(answer: Answer) -> Reply {
    if !answer.status.is_success() {
        return decode_document(answer);
    }
    let mut reply = Reply {
        text: String::new(),
        complete: false,
        problem: None,
        tokens_used: 0,
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
        reply.tokens_used = json["usage"]["total_tokens"]
            .as_u64()
            .unwrap_or(reply.tokens_used);
    }
    reply
}
