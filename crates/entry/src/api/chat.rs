//! `POST /v1/chat/completions`.

use axum::{
    body::Body,
    response::{IntoResponse, Response},
};
use bytes::Bytes;
use cyc_config::{Service, Services};
use cyc_proto::sidecar::{Frame, Work};
use cyc_route::prefix;
use cyc_types::{ErrorKind, ModelId, Refusal, RequestId, Tokens, hash};
use futures::stream;
use http::{HeaderValue, header};
use serde::Deserialize;
use serde_json::{Value, json};
use smol_str::SmolStr;

use crate::{api::problem, cx::Ask, observe::Events};

/// Output limit of a request that names none.
const DEFAULT_MAX_TOKENS: u64 = 1_024;
/// Largest output limit.
const MAX_MAX_TOKENS: u64 = 1_000_000;
/// Tokens that a chat template may add to a message.
const TOKENS_PER_MESSAGE: u64 = 16;

/// What is read of the caller's body. Other fields go to the engine as they are.
#[derive(Debug, Deserialize)]
struct ChatJson {
    model: SmolStr,
    messages: Vec<MessageJson>,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
    n: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct MessageJson {
    role: SmolStr,
    content: Value,
}

/// A chat as the API read it.
#[derive(Debug)]
pub struct Chat {
    /// What is asked.
    pub ask: Ask,
    /// The model's name, for the answer.
    pub model: SmolStr,
    /// True if the caller wants a stream.
    pub stream: bool,
}

/// Reads and checks a body.
///
/// # Errors
/// [`ErrorKind::BadRequest`] naming the field, [`ErrorKind::NoSuchModel`].
pub fn read(services: &Services, body: &[u8]) -> Result<Chat, Refusal> {
    let text = std::str::from_utf8(body).map_err(|_| bad("the body is not UTF-8"))?;
    let json: ChatJson = serde_json::from_str(text).map_err(|e| bad(format!("the body: {e}")))?;
    let max_output = max_output(&json)?;
    let prompt = prompt_text(&json.messages)?;
    let role_bytes: usize = json.messages.iter().map(|m| m.role.len()).sum();
    let (service, route) = services.chat(&json.model).ok_or_else(|| {
        Refusal::new(
            ErrorKind::NoSuchModel,
            format!("no service offers model `{}`", json.model),
        )
    })?;
    let model: Option<ModelId> = service.chat_name().cloned();
    let text_bytes = (prompt.len() + role_bytes) as u64;
    let worst = text_bytes + TOKENS_PER_MESSAGE * json.messages.len() as u64 + max_output;
    let ask = Ask {
        service: service.id.clone(),
        model,
        class: route.class,
        idempotent: route.idempotent,
        hedge: false,
        max_attempts: service.retry.max_attempts,
        worst: Tokens::new(worst),
        key: prefix::key(prompt.as_bytes()),
        prefixes: prefix::hashes(prompt.as_bytes()),
        fingerprint: hash::stable(body),
        work: Work::Chat {
            body: engine_body(service, text)?,
            max_output: Tokens::new(max_output),
        },
    };
    Ok(Chat {
        ask,
        model: json.model,
        stream: json.stream,
    })
}

/// Returns the body for the engine, which names an adapter together with its model.
fn engine_body(service: &Service, text: &str) -> Result<String, Refusal> {
    let (Some(model), Some(adapter)) = (&service.model, &service.adapter) else {
        return Ok(text.to_owned());
    };
    let mut body: Value = serde_json::from_str(text).map_err(|e| bad(format!("the body: {e}")))?;
    body["model"] = format!("{model}:{adapter}").into();
    Ok(body.to_string())
}

fn max_output(json: &ChatJson) -> Result<u64, Refusal> {
    if json.n.is_some_and(|n| n != 1) {
        return Err(bad("n: only 1 is allowed"));
    }
    let given = json.max_completion_tokens.or(json.max_tokens);
    let limit = given.unwrap_or(DEFAULT_MAX_TOKENS);
    if !(1..=MAX_MAX_TOKENS).contains(&limit) {
        return Err(bad(format!(
            "max_tokens: {limit} is not between 1 and {MAX_MAX_TOKENS}"
        )));
    }
    Ok(limit)
}

/// Returns the contents of the messages joined by line feeds: the text whose prefixes engines name
/// in their cache events.
fn prompt_text(messages: &[MessageJson]) -> Result<String, Refusal> {
    if messages.is_empty() {
        return Err(bad("messages: at least one is needed"));
    }
    let contents: Result<Vec<&str>, Refusal> = messages
        .iter()
        .enumerate()
        .map(|(index, message)| {
            let text = message.content.as_str();
            text.ok_or_else(|| bad(format!("messages[{index}].content: only text is allowed")))
        })
        .collect();
    Ok(contents?.join("\n"))
}

fn bad(detail: impl Into<SmolStr>) -> Refusal {
    Refusal::new(ErrorKind::BadRequest, detail)
}

/// Answers a chat that runs.
pub async fn respond(request: RequestId, chat: &Chat, mut events: Events) -> Response {
    let first = match events.recv().await {
        Some(Ok(frame)) => frame,
        Some(Err(refusal)) => return problem::respond(request, &refusal),
        None => return problem::respond(request, &broken_off()),
    };
    let mut response = match chat.stream {
        true => stream_response(request, chat.model.clone(), first, events),
        false => match whole_response(request, chat, first, events).await {
            Ok(response) => response,
            Err(refusal) => return problem::respond(request, &refusal),
        },
    };
    problem::insert_request_id(response.headers_mut(), request);
    response
}

fn broken_off() -> Refusal {
    Refusal::new(
        ErrorKind::Internal,
        "the answer ended without an end marker",
    )
}

/// # One JSON document
async fn whole_response(
    request: RequestId,
    chat: &Chat,
    first: Frame,
    mut events: Events,
) -> Result<Response, Refusal> {
    let mut text = String::new();
    let mut next = Some(Ok(first));
    loop {
        match next {
            Some(Ok(Frame::Head { .. })) => {}
            Some(Ok(Frame::Data { text: piece, .. })) => text.push_str(&piece),
            Some(Ok(Frame::Failed { refusal, .. }) | Err(refusal)) => return Err(refusal),
            Some(Ok(Frame::End {
                prompt,
                output,
                reason,
                ..
            })) => {
                let body = json!({
                    "id": request,
                    "object": "chat.completion",
                    "model": chat.model,
                    "choices": [{
                        "index": 0,
                        "message": { "role": "assistant", "content": text },
                        "finish_reason": reason,
                    }],
                    "usage": usage(prompt, output),
                });
                return Ok(axum::Json(body).into_response());
            }
            None => return Err(broken_off()),
        }
        next = events.recv().await;
    }
}

fn usage(prompt: Tokens, output: Tokens) -> Value {
    json!({
        "prompt_tokens": prompt,
        "completion_tokens": output,
        "total_tokens": prompt + output,
    })
}

/// # Server-sent events
struct SseState {
    request: RequestId,
    model: SmolStr,
    first: Option<Frame>,
    events: Events,
    ended: bool,
}

fn stream_response(request: RequestId, model: SmolStr, first: Frame, events: Events) -> Response {
    let state = SseState {
        request,
        model,
        first: Some(first),
        events,
        ended: false,
    };
    let body = stream::unfold(state, |mut state| async move {
        let piece = state.next_piece().await?;
        Some((Ok::<Bytes, std::convert::Infallible>(piece), state))
    });
    let mut response = Body::from_stream(body).into_response();
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/event-stream"),
    );
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    response
}

impl SseState {
    /// Returns the next event; `None` after the end marker or the error event.
    async fn next_piece(&mut self) -> Option<Bytes> {
        while !self.ended {
            let next = match self.first.take() {
                Some(frame) => Some(Ok(frame)),
                None => self.events.recv().await,
            };
            match next {
                Some(Ok(Frame::Head { .. })) => {}
                Some(Ok(Frame::Data { text, .. })) => return Some(self.chunk(&text)),
                Some(Ok(Frame::End {
                    prompt,
                    output,
                    reason,
                    ..
                })) => {
                    self.ended = true;
                    return Some(self.end(prompt, output, &reason));
                }
                Some(Ok(Frame::Failed { refusal, .. }) | Err(refusal)) => {
                    self.ended = true;
                    return Some(self.error(&refusal));
                }
                None => {
                    self.ended = true;
                    return Some(self.error(&broken_off()));
                }
            }
        }
        None
    }

    fn chunk(&self, text: &str) -> Bytes {
        self.data(
            json!([{ "index": 0, "delta": { "content": text }, "finish_reason": null }]),
            None,
        )
    }

    fn end(&self, prompt: Tokens, output: Tokens, reason: &str) -> Bytes {
        let choices = json!([{ "index": 0, "delta": {}, "finish_reason": reason }]);
        let last = self.data(choices, Some(usage(prompt, output)));
        [last.as_ref(), b"data: [DONE]\n\n"].concat().into()
    }

    fn data(&self, choices: Value, usage: Option<Value>) -> Bytes {
        let mut chunk = json!({
            "id": self.request,
            "object": "chat.completion.chunk",
            "model": self.model,
            "choices": choices,
        });
        if let Some(usage) = usage {
            chunk["usage"] = usage;
        }
        format!("data: {chunk}\n\n").into()
    }

    /// An answer that cannot be completed ends in an error event and without `[DONE]`.
    fn error(&self, refusal: &Refusal) -> Bytes {
        let problem = problem::Problem::new(self.request, refusal).to_json();
        format!("event: error\ndata: {problem}\n\n").into()
    }
}
