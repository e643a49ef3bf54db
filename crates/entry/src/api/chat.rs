//! `POST /v1/chat/completions`: chat completions, whole or as server-sent events.

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

use crate::{api::problem, cx::RequestSpec, observe::ObservedFrames};

/// Output limit of requests that give none.
const DEFAULT_MAX_TOKENS: u64 = 1_024;
/// Largest output limit accepted.
const LARGEST_MAX_TOKENS: u64 = 1_000_000;
/// Allowance for the tokens that a chat template adds to each message.
const TOKENS_PER_MESSAGE: u64 = 16;

/// The fields of the caller's body that are parsed. All others are passed to the engine unchanged.
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

/// A parsed chat completion request.
#[derive(Debug)]
pub struct Chat {
    /// The operation to perform.
    pub spec: RequestSpec,
    /// The model name as the caller gave it, repeated in the answer.
    pub model: SmolStr,
    /// True if the caller requested a stream.
    pub stream: bool,
}

/// Parses and validates a request body.
///
/// # Errors
/// [`ErrorKind::BadRequest`] naming the invalid field, or [`ErrorKind::NoSuchModel`].
pub fn read(services: &Services, body: &[u8]) -> Result<Chat, Refusal> {
    let text = std::str::from_utf8(body).map_err(|_| bad_request("the body is not UTF-8"))?;
    let json: ChatJson =
        serde_json::from_str(text).map_err(|e| bad_request(format!("the body: {e}")))?;
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
    // A token stands for at least one byte, so the byte count bounds the tokens of the text.
    let text_bytes = (prompt.len() + role_bytes) as u64;
    let worst_case = text_bytes + TOKENS_PER_MESSAGE * json.messages.len() as u64 + max_output;
    let spec = RequestSpec {
        service: service.id.clone(),
        model,
        class: route.class,
        idempotent: route.idempotent,
        hedge: false,
        max_attempts: service.retry.max_attempts,
        worst_case: Tokens::new(worst_case),
        candidate_key: prefix::key(prompt.as_bytes()),
        prefixes: prefix::hashes(prompt.as_bytes()),
        fingerprint: hash::stable(body),
        work: Work::Chat {
            body: engine_body(service, text)?,
            max_output: Tokens::new(max_output),
        },
    };
    Ok(Chat {
        spec,
        model: json.model,
        stream: json.stream,
    })
}

/// Returns the request body for the engine, where the model name includes the adapter.
fn engine_body(service: &Service, text: &str) -> Result<String, Refusal> {
    let (Some(model), Some(adapter)) = (&service.model, &service.adapter) else {
        return Ok(text.to_owned());
    };
    let mut body: Value =
        serde_json::from_str(text).map_err(|e| bad_request(format!("the body: {e}")))?;
    body["model"] = format!("{model}:{adapter}").into();
    Ok(body.to_string())
}

fn max_output(json: &ChatJson) -> Result<u64, Refusal> {
    if json.n.is_some_and(|n| n != 1) {
        return Err(bad_request("n: only 1 is allowed"));
    }
    let given = json.max_completion_tokens.or(json.max_tokens);
    let limit = given.unwrap_or(DEFAULT_MAX_TOKENS);
    if !(1..=LARGEST_MAX_TOKENS).contains(&limit) {
        return Err(bad_request(format!(
            "max_tokens: {limit} is not between 1 and {LARGEST_MAX_TOKENS}"
        )));
    }
    Ok(limit)
}

/// Joins the contents of the messages with line feeds. Engines hash the prefixes of this text in
/// their cache events.
fn prompt_text(messages: &[MessageJson]) -> Result<String, Refusal> {
    if messages.is_empty() {
        return Err(bad_request("messages: at least one is needed"));
    }
    let contents: Result<Vec<&str>, Refusal> = messages
        .iter()
        .enumerate()
        .map(|(index, message)| {
            let text = message.content.as_str();
            text.ok_or_else(|| {
                bad_request(format!("messages[{index}].content: only text is allowed"))
            })
        })
        .collect();
    Ok(contents?.join("\n"))
}

fn bad_request(detail: impl Into<SmolStr>) -> Refusal {
    Refusal::new(ErrorKind::BadRequest, detail)
}

/// Sends the frames of an answer as a stream or as one document.
pub async fn respond(request: RequestId, chat: &Chat, mut frames: ObservedFrames) -> Response {
    let first = match frames.recv().await {
        Some(Ok(frame)) => frame,
        Some(Err(refusal)) => return problem::respond(request, &refusal),
        None => return problem::respond(request, &incomplete_answer()),
    };
    let mut response = match chat.stream {
        true => stream_response(request, chat.model.clone(), first, frames),
        false => match whole_response(request, chat, first, frames).await {
            Ok(response) => response,
            Err(refusal) => return problem::respond(request, &refusal),
        },
    };
    problem::insert_request_id(response.headers_mut(), request);
    response
}

fn incomplete_answer() -> Refusal {
    Refusal::new(
        ErrorKind::Internal,
        "the answer ended without an end marker",
    )
}

/// Collects the frames of an answer into one JSON document.
async fn whole_response(
    request: RequestId,
    chat: &Chat,
    first: Frame,
    mut frames: ObservedFrames,
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
            None => return Err(incomplete_answer()),
        }
        next = frames.recv().await;
    }
}

fn usage(prompt: Tokens, output: Tokens) -> Value {
    json!({
        "prompt_tokens": prompt,
        "completion_tokens": output,
        "total_tokens": prompt + output,
    })
}

/// The state of an answer that is sent as server-sent events.
struct SseState {
    request: RequestId,
    model: SmolStr,
    first: Option<Frame>,
    frames: ObservedFrames,
    ended: bool,
}

fn stream_response(
    request: RequestId,
    model: SmolStr,
    first: Frame,
    frames: ObservedFrames,
) -> Response {
    let state = SseState {
        request,
        model,
        first: Some(first),
        frames,
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
    /// Returns the next event; `None` after the end marker or an error event.
    async fn next_piece(&mut self) -> Option<Bytes> {
        while !self.ended {
            let next = match self.first.take() {
                Some(frame) => Some(Ok(frame)),
                None => self.frames.recv().await,
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
                    return Some(self.error(&incomplete_answer()));
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

    /// An incomplete answer ends with an error event and without `[DONE]`.
    fn error(&self, refusal: &Refusal) -> Bytes {
        let problem = problem::Problem::new(self.request, refusal).to_json();
        format!("event: error\ndata: {problem}\n\n").into()
    }
}
