//! The HTTP interface of the engine: chat completions, orders, load, cache events and faults.

use axum::{
    Json, Router,
    body::Body,
    extract::{Query, State},
    response::{IntoResponse, Response},
    routing::{get, post},
};
use cyc_types::RequestId;
use futures::stream;
use http::{StatusCode, header::CONTENT_TYPE};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use smol_str::SmolStr;

use super::{
    CacheEvents, Counters, Engine, Faults, Load, Message, Order, OrderError, chat_prompt,
    run::{AbortConnection, AnswerEvent, Completion, Run, RunParams},
};

/// The id sent under the fault `crossed`.
const CROSSED_ID: &str = "crossed";

/// The body of `POST /v1/chat/completions`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// The model, or `model:adapter`.
    pub model: SmolStr,
    /// The messages.
    pub messages: Vec<Message>,
    /// Maximum number of tokens of the answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u64>,
    /// True to receive the answer as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// The id of the request, generated at random if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_id: Option<SmolStr>,
    /// Requests with a larger value get a slot first.
    #[serde(default)]
    pub priority: i64,
    /// Offset of the first token to send; greater than zero resumes an answer.
    #[serde(default)]
    pub from: u64,
}

#[derive(Debug, Deserialize)]
struct CancelRequest {
    request_id: SmolStr,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct EventsQuery {
    after: u64,
}

/// The router that serves `engine`.
pub fn router(engine: Engine) -> Router {
    Router::new()
        .route("/v1/chat/completions", post(chat))
        .route("/v1/cancel", post(cancel))
        .route("/v1/load", get(load))
        .route("/v1/cache/events", get(events))
        .route("/v1/orders", post(order))
        .route("/admin/counters", get(counters))
        .route("/admin/faults", get(faults).put(set_faults))
        .with_state(engine)
}

fn error_response(status: StatusCode, message: impl ToString) -> Response {
    let body = json!({"error": {"message": message.to_string()}});
    (status, Json(body)).into_response()
}

async fn chat(State(engine): State<Engine>, Json(req): Json<ChatRequest>) -> Response {
    let faults = {
        let mut state = engine.state();
        let faults = state.faults.consume();
        if faults.refuse {
            state.counters.refused += 1;
            return error_response(StatusCode::SERVICE_UNAVAILABLE, "refused, not run");
        }
        if !state.serving.is_loaded(&req.model) {
            state.counters.refused += 1;
            let message = format!("the model `{}` is not loaded", req.model);
            return error_response(StatusCode::NOT_FOUND, message);
        }
        faults
    };
    let run = Run::start(&engine, run_params(&req), faults);
    if let Some(status) = run.faults().status {
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        return error_response(status, "failed while running");
    }
    if run.faults().hang {
        std::future::pending::<()>().await;
    }
    tokio::time::sleep(run.faults().late.duration()).await;
    if req.stream {
        stream_answer(req.model, run)
    } else {
        complete_answer(&req.model, run).await
    }
}

fn run_params(req: &ChatRequest) -> RunParams {
    let random_id = || RequestId::random().to_string().into();
    RunParams {
        request_id: req.request_id.clone().unwrap_or_else(random_id),
        prompt: chat_prompt(&req.messages),
        max_tokens: req.max_tokens,
        priority: req.priority,
        first_position: req.from,
    }
}

/// The id to send with the answer.
fn answer_id(run: &Run) -> SmolStr {
    if run.faults().crossed {
        return SmolStr::new_static(CROSSED_ID);
    }
    run.params().request_id.clone()
}

fn stream_answer(model: SmolStr, run: Run) -> Response {
    let id = answer_id(&run);
    let chunks = stream::unfold(run, move |mut run| {
        let (id, model) = (id.clone(), model.clone());
        async move {
            let event = run.next().await?;
            let text = event.map(|event| sse_text(&id, &model, event));
            let text = text
                .map_err(|AbortConnection| std::io::Error::from(std::io::ErrorKind::BrokenPipe));
            Some((text, run))
        }
    });
    let body = Body::from_stream(chunks);
    ([(CONTENT_TYPE, "text/event-stream")], body).into_response()
}

fn sse_text(id: &str, model: &str, event: AnswerEvent) -> String {
    let chunk = |delta: Value, finish_reason: Option<&str>| {
        json!({
            "id": id,
            "object": "chat.completion.chunk",
            "model": model,
            "choices": [{"index": 0, "delta": delta, "finish_reason": finish_reason}],
        })
    };
    match event {
        AnswerEvent::Token { position, text } => {
            let mut chunk = chunk(json!({"content": text}), None);
            chunk["token"] = position.into();
            format!("data: {chunk}\n\n")
        }
        AnswerEvent::End(completion) => {
            let mut chunk = chunk(json!({}), Some(completion.finish_reason));
            chunk["usage"] = usage(&completion);
            format!("data: {chunk}\n\ndata: [DONE]\n\n")
        }
    }
}

fn usage(completion: &Completion) -> Value {
    json!({
        "prompt_tokens": completion.prompt_tokens,
        "completion_tokens": completion.completion_tokens,
        "total_tokens": completion.prompt_tokens + completion.completion_tokens,
    })
}

async fn complete_answer(model: &str, mut run: Run) -> Response {
    let id = answer_id(&run);
    let mut content = String::new();
    while let Some(event) = run.next().await {
        match event {
            Ok(AnswerEvent::Token { text, .. }) => content.push_str(&text),
            Ok(AnswerEvent::End(end)) => return answer_json(&id, model, &content, &end),
            Err(AbortConnection) => return aborted_response(),
        }
    }
    aborted_response()
}

fn answer_json(id: &str, model: &str, content: &str, completion: &Completion) -> Response {
    let message = json!({"role": "assistant", "content": content});
    let choice = json!({"index": 0, "message": message, "finish_reason": completion.finish_reason});
    Json(json!({
        "id": id,
        "object": "chat.completion",
        "model": model,
        "choices": [choice],
        "usage": usage(completion),
    }))
    .into_response()
}

/// A response whose connection is aborted within the body.
fn aborted_response() -> Response {
    crate::serve::aborted_response()
}

async fn cancel(State(engine): State<Engine>, Json(req): Json<CancelRequest>) -> Json<Value> {
    Json(json!({"cancelled": engine.cancel(&req.request_id)}))
}

async fn load(State(engine): State<Engine>) -> Json<Load> {
    Json(engine.load())
}

async fn events(
    State(engine): State<Engine>,
    Query(query): Query<EventsQuery>,
) -> Json<CacheEvents> {
    Json(engine.cache_events(query.after))
}

async fn order(State(engine): State<Engine>, Json(order): Json<Order>) -> Response {
    match engine.order(order).await {
        Ok(()) => Json(json!({"applied": true})).into_response(),
        Err(e @ OrderError::Fenced { .. }) => error_response(StatusCode::CONFLICT, e),
        Err(e @ OrderError::MissingField(_)) => error_response(StatusCode::BAD_REQUEST, e),
    }
}

async fn counters(State(engine): State<Engine>) -> Json<Counters> {
    Json(engine.counters())
}

async fn faults(State(engine): State<Engine>) -> Json<Faults> {
    Json(engine.faults())
}

async fn set_faults(State(engine): State<Engine>, Json(faults): Json<Faults>) -> Json<Faults> {
    engine.set_faults(faults);
    Json(engine.faults())
}
