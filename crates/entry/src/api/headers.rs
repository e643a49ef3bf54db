//! The request headers that the API parses.

use cyc_types::{ErrorKind, Refusal};
use http::{HeaderMap, header};

use crate::cx::Headers;

/// Carries the caller's idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Carries the time that the caller still waits, in milliseconds.
pub const DEADLINE: &str = "x-deadline-ms";

/// Extracts the headers; the filters validate their values.
///
/// # Errors
/// [`ErrorKind::BadRequest`] if a header is not visible ASCII or is repeated.
pub fn read(headers: &HeaderMap) -> Result<Headers, Refusal> {
    let authorization = single(headers, header::AUTHORIZATION.as_str())?;
    let api_key = authorization.and_then(|value| {
        value
            .strip_prefix("Bearer ")
            .map(|key| key.trim().to_owned())
    });
    Ok(Headers {
        api_key,
        idempotency_key: single(headers, IDEMPOTENCY_KEY)?,
        deadline: single(headers, DEADLINE)?,
    })
}

fn single(headers: &HeaderMap, name: &str) -> Result<Option<String>, Refusal> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(bad_request(name, "is given more than once"));
    }
    match value.to_str() {
        Ok(text) => Ok(Some(text.to_owned())),
        Err(_) => Err(bad_request(name, "is not visible ASCII")),
    }
}

fn bad_request(name: &str, why: &str) -> Refusal {
    Refusal::new(ErrorKind::BadRequest, format!("header {name} {why}"))
}
