//! Responses that the entry itself generates: refusals and errors.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use cyc_types::{Millis, Refusal};
use futures::Stream;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use hyper::body::{Body, Frame, SizeHint};

/// A response truncated before its end. The connection to the caller is closed without terminating
/// the body, so that the caller can tell that it is incomplete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Truncated;

impl std::fmt::Display for Truncated {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("response truncated")
    }
}

impl std::error::Error for Truncated {}

/// Body of a response to a caller.
pub enum ResponseBody {
    /// The complete body, or `None` once it is sent.
    Buffered(Option<Bytes>),
    /// Chunks as they arrive.
    Stream(Pin<Box<dyn Stream<Item = Result<Bytes, Truncated>>>>),
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match &mut *self {
            Self::Buffered(bytes) => {
                let bytes = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))))
            }
            Self::Stream(stream) => {
                let next = stream.as_mut().poll_next(cx);
                next.map(|next| next.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Buffered(None))
            || matches!(self, Self::Buffered(Some(b)) if b.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

/// Builds the response to a caller whose request was refused or failed on this entry.
pub fn response(refusal: &Refusal) -> Response<ResponseBody> {
    let row = refusal.kind.response();
    let body = serde_json::json!({
        "error": refusal.kind.to_string(),
        "outcome": row.outcome.to_string(),
        "detail": refusal.detail,
    });
    let mut response = Response::new(ResponseBody::Buffered(Some(body.to_string().into())));
    *response.status_mut() =
        StatusCode::from_u16(row.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    let json = HeaderValue::from_static("application/json");
    headers.insert(header::CONTENT_TYPE, json);
    if let Some(after) = refusal.retry_after {
        insert_retry_after(headers, after);
    }
    response
}

/// Sets `Retry-After`, in place of any others.
pub fn insert_retry_after(headers: &mut HeaderMap, after: Millis) {
    let seconds = format!("{:.3}", after.get() as f64 / 1_000.0);
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        headers.insert(header::RETRY_AFTER, value);
    }
}
