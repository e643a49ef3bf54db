//! The routes of the callers' API and their handlers.

use std::sync::Arc;

use axum::{
    Router,
    body::{Body, Bytes},
    extract::{OriginalUri, Path, State},
    response::{IntoResponse, Response},
    routing::{any, get, post},
};
use cyc_config::Snapshot;
use cyc_types::{ErrorKind, Millis, Refusal, RequestId};
use http::{HeaderMap, Method, StatusCode};

use crate::{
    api::{call, chat, headers, problem},
    app::App,
    cx::Cx,
    observe,
};

/// Time limit for receiving a request body.
const BODY_TIMEOUT: Millis = Millis::new(10_000);
/// Path prefix of plain services.
const SERVICES_PATH: &str = "/v1/services/";

/// Builds the router.
pub fn router(app: Arc<App>) -> Router {
    Router::new()
        .route("/v1/chat/completions", post(chat_completions))
        .route("/v1/services/{service}/{*path}", any(service_call))
        .route("/healthz", get(|| async { "ok\n" }))
        .route("/readyz", get(ready))
        .fallback(no_route)
        .with_state(app)
}

async fn ready(State(app): State<Arc<App>>) -> Response {
    let why = if app.is_draining() {
        "draining\n"
    } else if app.is_leaving() {
        "leaving\n"
    } else if app.config.current().is_none() {
        "no configuration\n"
    } else {
        let (revision, sidecars) = (app.config.revision(), app.fleet.reachable_count());
        return format!("ready revision={revision} sidecars={sidecars}\n").into_response();
    };
    (StatusCode::SERVICE_UNAVAILABLE, why).into_response()
}

async fn no_route(OriginalUri(uri): OriginalUri) -> Response {
    let refusal = Refusal::new(ErrorKind::NoSuchRoute, format!("no route {}", uri.path()));
    problem::respond(RequestId::random(), &refusal)
}

async fn chat_completions(State(app): State<Arc<App>>, headers: HeaderMap, body: Body) -> Response {
    let _in_flight = app.begin_request();
    let read = async {
        let config = config_for_caller(&app, &headers)?;
        let chat = chat::read(&config.services, &read_body(&app, body).await?)?;
        Ok((Cx::new(headers::read(&headers)?, chat.spec.clone()), chat))
    };
    let (mut cx, chat) = match read.await {
        Ok(read) => read,
        Err(refusal) => return respond_unparsed(&app, &refusal),
    };
    match observe::run(&app, &mut cx).await {
        Ok(frames) => chat::respond(cx.request, &chat, frames).await,
        Err(refusal) => problem::respond(cx.request, &refusal),
    }
}

async fn service_call(
    State(app): State<Arc<App>>,
    method: Method,
    Path((service, _)): Path<(String, String)>,
    OriginalUri(uri): OriginalUri,
    headers: HeaderMap,
    body: Body,
) -> Response {
    let _in_flight = app.begin_request();
    let full_path = uri.path_and_query().map_or("", |path| path.as_str());
    let service_path = full_path
        .get(SERVICES_PATH.len() + service.len()..)
        .unwrap_or("/");
    let read = async {
        let config = config_for_caller(&app, &headers)?;
        let body = read_body(&app, body).await?;
        let call = call::Call {
            method: &method,
            service: &service,
            path: service_path,
            headers: &headers,
            body: &body,
        };
        Ok(Cx::new(
            headers::read(&headers)?,
            call::read(&config.services, &call)?,
        ))
    };
    let mut cx = match read.await {
        Ok(cx) => cx,
        Err(refusal) => return respond_unparsed(&app, &refusal),
    };
    match observe::run(&app, &mut cx).await {
        Ok(frames) => call::respond(cx.request, frames).await,
        Err(refusal) => problem::respond(cx.request, &refusal),
    }
}

/// Responds to a request that could not be parsed.
fn respond_unparsed(app: &App, refusal: &Refusal) -> Response {
    observe::count_refusal(app, refusal.kind);
    problem::respond(RequestId::random(), refusal)
}

/// Returns the configuration in force. Requires a known API key, so that unauthenticated callers
/// learn nothing from the answers.
fn config_for_caller(app: &App, headers: &HeaderMap) -> Result<Arc<Snapshot>, Refusal> {
    let config = app.config.current().ok_or_else(|| {
        Refusal::new(ErrorKind::NotConfigured, "no configuration is in force yet")
    })?;
    let key = headers::read(headers)?.api_key;
    match key.is_some_and(|key| config.accounts.owner(&key).is_some()) {
        true => Ok(config),
        false => Err(Refusal::new(
            ErrorKind::Unauthenticated,
            "the API key is not known",
        )),
    }
}

/// Reads a body within the size limit and the time limit, so that slow callers cannot occupy the
/// entry.
async fn read_body(app: &App, body: Body) -> Result<Bytes, Refusal> {
    let limit = app.options.max_body;
    let size = usize::try_from(limit.get()).unwrap_or(usize::MAX);
    let read = axum::body::to_bytes(body, size);
    match tokio::time::timeout(BODY_TIMEOUT.duration(), read).await {
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(error)) if is_over_limit(&error) => {
            let detail = format!("the body is larger than max_body_bytes = {limit}");
            Err(Refusal::new(ErrorKind::TooLarge, detail))
        }
        Ok(Err(error)) => Err(Refusal::new(
            ErrorKind::BadRequest,
            format!("the body: {error}"),
        )),
        Err(_) => {
            let detail = format!("the body was not complete after {BODY_TIMEOUT} ms");
            Err(Refusal::new(ErrorKind::BadRequest, detail))
        }
    }
}

fn is_over_limit(error: &axum::Error) -> bool {
    std::error::Error::source(error)
        .is_some_and(|source| source.is::<http_body_util::LengthLimitError>())
}
