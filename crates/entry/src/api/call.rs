//! `/v1/services/<service>/<path>`: calls to plain services.

use axum::response::{IntoResponse, Response};
use cyc_config::Services;
use cyc_proto::sidecar::{Frame, Work};
use cyc_types::{ErrorKind, Refusal, RequestId, ServiceId, Tokens, hash};
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};

use crate::{api::problem, cx::RequestSpec, observe::ObservedFrames};

/// An HTTP request to a plain service.
#[derive(Debug)]
pub struct Call<'a> {
    /// The HTTP method.
    pub method: &'a Method,
    /// The service name from the path.
    pub service: &'a str,
    /// Path and query below the service, with the leading `/`.
    pub path: &'a str,
    /// All headers of the request.
    pub headers: &'a HeaderMap,
    /// The raw body.
    pub body: &'a [u8],
}

/// Parses and validates a call.
///
/// # Errors
/// [`ErrorKind::BadRequest`] if the body or content type is invalid, [`ErrorKind::NoSuchRoute`] if
/// the configuration has no such service or route.
pub fn read(services: &Services, call: &Call<'_>) -> Result<RequestSpec, Refusal> {
    let no_route = || {
        let detail = format!(
            "no route {} {} of service `{}`",
            call.method, call.path, call.service
        );
        Refusal::new(ErrorKind::NoSuchRoute, detail)
    };
    let service_id: ServiceId = call.service.parse().map_err(|_| no_route())?;
    let service = services.service(&service_id).ok_or_else(no_route)?;
    let route = services
        .route(&service_id, call.method.as_str(), call.path)
        .ok_or_else(no_route)?;
    let body = std::str::from_utf8(call.body)
        .map_err(|_| Refusal::new(ErrorKind::BadRequest, "the body is not UTF-8"))?;
    let content_type = content_type(call.headers)?;
    let fingerprinted = format!("{} {}\n{body}", call.method, call.path);
    Ok(RequestSpec {
        service: service_id,
        model: None,
        class: route.class,
        idempotent: route.idempotent,
        hedge: route.hedge,
        max_attempts: service.retry.max_attempts,
        worst_case: route.price.unwrap_or(Tokens::ZERO),
        candidate_key: hash::stable(call.path.as_bytes()),
        prefixes: Vec::new(),
        fingerprint: hash::stable(fingerprinted.as_bytes()),
        work: Work::Call {
            method: call.method.as_str().into(),
            path: call.path.to_owned(),
            content_type,
            body: body.to_owned(),
        },
    })
}

fn content_type(headers: &HeaderMap) -> Result<Option<smol_str::SmolStr>, Refusal> {
    let Some(value) = headers.get(header::CONTENT_TYPE) else {
        return Ok(None);
    };
    let text = value
        .to_str()
        .map_err(|_| Refusal::new(ErrorKind::BadRequest, "header content-type is not ASCII"))?;
    Ok(Some(text.into()))
}

/// Collects the frames of an answer into a response.
pub async fn respond(request: RequestId, mut frames: ObservedFrames) -> Response {
    let mut head = None;
    let mut body = String::new();
    loop {
        match frames.recv().await {
            Some(Ok(Frame::Head {
                status,
                content_type,
            })) => head = Some((status, content_type)),
            Some(Ok(Frame::Data { text, .. })) => body.push_str(&text),
            Some(Ok(Frame::End { .. })) => break,
            Some(Ok(Frame::Failed { refusal, .. }) | Err(refusal)) => {
                return problem::respond(request, &refusal);
            }
            None => {
                let detail = "the answer ended without an end marker";
                return problem::respond(request, &Refusal::new(ErrorKind::Internal, detail));
            }
        }
    }
    let (status, content_type) = head.unwrap_or((200, "text/plain".into()));
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = (status, body).into_response();
    if let Ok(value) = HeaderValue::from_str(&content_type) {
        response.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    problem::insert_request_id(response.headers_mut(), request);
    response
}
