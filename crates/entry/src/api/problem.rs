//! Error responses: refusals as problem documents (RFC 9457).

use axum::response::{IntoResponse, Response};
use cyc_types::{Millis, Refusal, RequestId, error::ErrorResponse};
use http::{HeaderValue, StatusCode, header};
use serde::Serialize;
use serde_json::Value;

/// Media type of a problem document.
const PROBLEM_JSON: &str = "application/problem+json";
/// Carries the request id.
pub const REQUEST_ID: &str = "x-request-id";
/// `Retry-After` of refusals that give no time of their own.
const DEFAULT_RETRY_AFTER: Millis = Millis::SECOND;

/// A problem document, as returned to callers.
#[derive(Debug, Clone, Serialize)]
pub struct Problem<'a> {
    /// A URI that identifies the error kind.
    #[serde(rename = "type")]
    uri: String,
    /// The title of the error kind.
    title: &'static str,
    /// The HTTP status code.
    status: u16,
    /// The cause in this case.
    detail: &'a str,
    /// The error kind.
    kind: cyc_types::ErrorKind,
    /// Whether the request has run.
    outcome: cyc_types::Outcome,
    /// Whether a retry can succeed.
    retry: cyc_types::error::RetryAdvice,
    /// The request id.
    request_id: RequestId,
}

impl<'a> Problem<'a> {
    /// Creates the problem document of a refusal.
    pub fn new(request: RequestId, refusal: &'a Refusal) -> Self {
        let ErrorResponse {
            status,
            outcome,
            retry,
            title,
        } = refusal.kind.response();
        Self {
            uri: format!("urn:cyclamenlead:error:{}", refusal.kind),
            title,
            status,
            detail: &refusal.detail,
            kind: refusal.kind,
            outcome,
            retry,
            request_id: request,
        }
    }

    /// Serializes the document as JSON.
    pub fn to_json(&self) -> Value {
        serde_json::to_value(self).unwrap_or(Value::Null)
    }
}

/// Creates the error response of a refusal.
pub fn respond(request: RequestId, refusal: &Refusal) -> Response {
    let problem = Problem::new(request, refusal);
    let status = StatusCode::from_u16(problem.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = (status, problem.to_json().to_string()).into_response();
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(PROBLEM_JSON));
    insert_request_id(headers, request);
    if problem.retry == cyc_types::error::RetryAdvice::Later {
        let after = refusal.retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
        let seconds = after.get().div_ceil(Millis::SECOND.get()).max(1);
        headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

/// Sets the request id header.
pub fn insert_request_id(headers: &mut http::HeaderMap, request: RequestId) {
    if let Ok(value) = HeaderValue::from_str(&request.to_string()) {
        headers.insert(REQUEST_ID, value);
    }
}
