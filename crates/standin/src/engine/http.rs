//! The engine over HTTP.

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
    CacheEvents, Counters, Engine, Faults, Load, Message, Order, OrderError, prompt_of,
    run::{Broken, End, Job, Piece, Run},
};

/// The id in the chunks of a crossed answer.
const CROSSED_ID: &str = "crossed";

/// The body of `POST /v1/chat/completions`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// The model, or `model:adapter`.
    pub model: SmolStr,
    /// The messages.
    pub messages: Vec<Message>,
    /// The most tokens to generate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u64>,
    /// True for a stream of chunks.
    #[serde(default)]
    pub stream: bool,
    /// The id of the request, drawn at random if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_id: Option<SmolStr>,
    /// Larger is sooner.
    #[serde(default)]
    pub priority: i64,
    /// Offset of the first token that is wanted, to resume an answer.
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

/// Returns the routes that serve `engine`.
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

fn error(status: StatusCode, message: impl ToString) -> Response {
    let body = json!({"error": {"message": message.to_string()}});
    (status, Json(body)).into_response()
}

async fn chat(State(engine): State<Engine>, Json(req): Json<ChatRequest>) -> Response {
    let faults = {
        let mut state = engine.state();
        let faults = state.faults.take();
        if faults.refuse {
            state.counters.refused += 1;
            return error(StatusCode::SERVICE_UNAVAILABLE, "refused, not run");
        }
        if !state.loaded.serves(&req.model) {
            state.counters.refused += 1;
            let message = format!("the model `{}` is not loaded", req.model);
            return error(StatusCode::NOT_FOUND, message);
        }
        faults
    };
    let run = Run::start(&engine, job_of(&req), faults);
    if let Some(status) = run.faults().status {
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        return error(status, "failed while running");
    }
    if run.faults().hang {
        std::future::pending::<()>().await;
    }
    tokio::time::sleep(run.faults().late.duration()).await;
    if req.stream {
        stream_answer(req.model, run)
    } else {
        whole_answer(&req.model, run).await
    }
}

fn job_of(req: &ChatRequest) -> Job {
    let random = || RequestId::random().to_string().into();
    Job {
        request_id: req.request_id.clone().unwrap_or_else(random),
        prompt: prompt_of(&req.messages),
        max_tokens: req.max_tokens,
        priority: req.priority,
        from: req.from,
    }
}

/// Returns the id that the answer carries.
fn answer_id(run: &Run) -> SmolStr {
    if run.faults().crossed {
        return SmolStr::new_static(CROSSED_ID);
    }
    run.job().request_id.clone()
}

fn stream_answer(model: SmolStr, run: Run) -> Response {
    let id = answer_id(&run);
    let chunks = stream::unfold(run, move |mut run| {
        let (id, model) = (id.clone(), model.clone());
        async move {
            let piece = run.next().await?;
            let text = piece.map(|piece| chunk_text(&id, &model, piece));
            let text = text.map_err(|Broken| std::io::Error::from(std::io::ErrorKind::BrokenPipe));
            Some((text, run))
        }
    });
    let body = Body::from_stream(chunks);
    ([(CONTENT_TYPE, "text/event-stream")], body).into_response()
}

fn chunk_text(id: &str, model: &str, piece: Piece) -> String {
    let chunk = |delta: Value, reason: Option<&str>| {
        json!({
            "id": id,
            "object": "chat.completion.chunk",
            "model": model,
            "choices": [{"index": 0, "delta": delta, "finish_reason": reason}],
        })
    };
    match piece {
        Piece::Token { position, text } => {
            let mut chunk = chunk(json!({"content": text}), None);
            chunk["token"] = position.into();
            format!("data: {chunk}\n\n")
        }
        Piece::End(end) => {
            let mut chunk = chunk(json!({}), Some(end.reason));
            chunk["usage"] = usage(&end);
            format!("data: {chunk}\n\ndata: [DONE]\n\n")
        }
    }
}

fn usage(end: &End) -> Value {
    json!({
        "prompt_tokens": end.prompt_tokens,
        "completion_tokens": end.completion_tokens,
        "total_tokens": end.prompt_tokens + end.completion_tokens,
    })
}

async fn whole_answer(model: &str, mut run: Run) -> Response {
    let id = answer_id(&run);
    let mut content = String::new();
    while let Some(piece) = run.next().await {
        match piece {
            Ok(Piece::Token { text, .. }) => content.push_str(&text),
            Ok(Piece::End(end)) => return answer_json(&id, model, &content, &end),
            Err(Broken) => return broken_body(),
        }
    }
    broken_body()
}

fn answer_json(id: &str, model: &str, content: &str, end: &End) -> Response {
    let message = json!({"role": "assistant", "content": content});
    let choice = json!({"index": 0, "message": message, "finish_reason": end.reason});
    Json(json!({
        "id": id,
        "object": "chat.completion",
        "model": model,
        "choices": [choice],
        "usage": usage(end),
    }))
    .into_response()
}

/// Returns an answer whose connection breaks in its body.
fn broken_body() -> Response {
    crate::serve::broken_answer()
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
        Err(e @ OrderError::Fenced { .. }) => error(StatusCode::CONFLICT, e),
        Err(e @ OrderError::MissingField(_)) => error(StatusCode::BAD_REQUEST, e),
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
