//! The HTTP interface of a [`Store`], as specified in `docs/INTERFACES.md`.

use axum::{
    Json, Router,
    extract::{DefaultBodyLimit, Path, Query, State},
    response::{IntoResponse, Response},
    routing::{get, post},
};
use bytes::Bytes;
use cyc_store::{
    Error, Kind, MAX_VALUE_SIZE, Object, ObjectKey, Platform as _, Precondition, Result, Vm,
    wire::{ChangeItem, ListItem, ListQuery, PermitReply, PermitRequest, WatchQuery},
};
use cyc_types::{Millis, Version};
use http::{
    HeaderMap, StatusCode,
    header::{ETAG, IF_MATCH, IF_NONE_MATCH},
};

use crate::store::{Counters, Faults, Store};

/// The router that serves `store`.
pub fn router(store: Store) -> Router {
    let object = get(get_object).put(put_object).delete(delete_object);
    Router::new()
        .route("/v1/objects/{kind}/{name}", object)
        .route("/v1/objects/{kind}", get(list_objects))
        .route("/v1/watch/{kind}", get(watch_objects))
        .route("/v1/vms", get(list_vms))
        .route("/v1/weights/permit", post(permit_weights))
        .route("/admin/counters", get(counters))
        .route("/admin/faults", get(faults).put(set_faults))
        .route("/admin/vms", axum::routing::put(set_vms))
        .layer(DefaultBodyLimit::max(MAX_VALUE_SIZE.get() as usize))
        .with_state(store)
}

/// Converts an error of the store into an HTTP response.
struct ErrorResponse(Error);

impl From<Error> for ErrorResponse {
    fn from(error: Error) -> Self {
        Self(error)
    }
}

impl IntoResponse for ErrorResponse {
    fn into_response(self) -> Response {
        let status = match self.0 {
            Error::Conflict => StatusCode::PRECONDITION_FAILED,
            Error::Unavailable(_) => StatusCode::SERVICE_UNAVAILABLE,
            Error::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            Error::Throttled => StatusCode::TOO_MANY_REQUESTS,
            Error::Malformed(_) => StatusCode::BAD_REQUEST,
        };
        (status, self.0.to_string()).into_response()
    }
}

type HandlerResult<T = Response> = std::result::Result<T, ErrorResponse>;

fn parse_kind(text: &str) -> Result<Kind> {
    let malformed = |_| Error::Malformed(format!("no kind `{text}`"));
    text.parse().map_err(malformed)
}

fn parse_key((kind, name): (String, String)) -> Result<ObjectKey> {
    Ok(ObjectKey::new(parse_kind(&kind)?, name))
}

fn etag(version: Version) -> [(http::HeaderName, String); 1] {
    [(ETAG, format!("\"{version}\""))]
}

fn parse_if_match(headers: &HeaderMap) -> Result<Option<Version>> {
    let Some(value) = headers.get(IF_MATCH) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default();
    let version = text.trim_matches('"').parse();
    version
        .map(Some)
        .map_err(|_| Error::Malformed(format!("`{text}` is not an entity tag")))
}

fn parse_precondition(headers: &HeaderMap) -> Result<Precondition> {
    if let Some(version) = parse_if_match(headers)? {
        return Ok(Precondition::Version(version));
    }
    match headers.get(IF_NONE_MATCH) {
        Some(value) if value == "*" => Ok(Precondition::Absent),
        _ => Err(Error::Malformed("a write needs a condition".into())),
    }
}

async fn get_object(
    State(store): State<Store>,
    Path(path): Path<(String, String)>,
) -> HandlerResult {
    let found = store.get(&parse_key(path)?).await?;
    Ok(match found {
        Some(object) => (etag(object.version), object.body).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    })
}

async fn put_object(
    State(store): State<Store>,
    Path(path): Path<(String, String)>,
    headers: HeaderMap,
    body: Bytes,
) -> HandlerResult {
    let precondition = parse_precondition(&headers)?;
    let version = store.put(&parse_key(path)?, body, precondition).await?;
    Ok((etag(version), StatusCode::OK).into_response())
}

async fn delete_object(
    State(store): State<Store>,
    Path(path): Path<(String, String)>,
    headers: HeaderMap,
) -> HandlerResult {
    let missing = || Error::Malformed("a delete needs a version".into());
    let version = parse_if_match(&headers)?.ok_or_else(missing)?;
    store.delete(&parse_key(path)?, version).await?;
    Ok(StatusCode::NO_CONTENT.into_response())
}

async fn list_objects(
    State(store): State<Store>,
    Path(kind): Path<String>,
    Query(query): Query<ListQuery>,
) -> HandlerResult<Json<Vec<ListItem>>> {
    let objects = store.list(parse_kind(&kind)?, &query.prefix).await?;
    let item = |object: Object| ListItem {
        name: object.key.name,
        version: object.version,
        body: String::from_utf8_lossy(&object.body).into_owned(),
    };
    Ok(Json(objects.into_iter().map(item).collect()))
}

async fn watch_objects(
    State(store): State<Store>,
    Path(kind): Path<String>,
    Query(query): Query<WatchQuery>,
) -> HandlerResult<Json<Vec<ChangeItem>>> {
    let kind = parse_kind(&kind)?;
    let changes = store
        .watch(kind, &query.prefix, query.since, query.wait_ms)
        .await?;
    let item = |change: cyc_store::Change| ChangeItem {
        name: change.key.name,
        version: change.version,
        deleted: change.deleted,
    };
    Ok(Json(changes.into_iter().map(item).collect()))
}

async fn list_vms(State(store): State<Store>) -> HandlerResult<Json<Vec<Vm>>> {
    Ok(Json(store.list_vms().await?))
}

async fn permit_weights(
    State(store): State<Store>,
    Json(req): Json<PermitRequest>,
) -> HandlerResult<Json<PermitReply>> {
    let wait = store.request_weight_permit(req.bytes).await?;
    Ok(Json(PermitReply {
        wait_ms: wait.unwrap_or(Millis::ZERO),
    }))
}

async fn counters(State(store): State<Store>) -> Json<Counters> {
    Json(store.counters())
}

async fn faults(State(store): State<Store>) -> Json<Faults> {
    Json(store.faults())
}

async fn set_faults(State(store): State<Store>, Json(faults): Json<Faults>) -> Json<Faults> {
    store.set_faults(faults);
    Json(store.faults())
}

async fn set_vms(State(store): State<Store>, Json(vms): Json<Vec<Vm>>) -> StatusCode {
    store.set_vms(vms);
    StatusCode::NO_CONTENT
}
