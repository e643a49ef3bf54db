//! Tests of the HTTP client: the format of requests, and the error that each response maps to.
//!
//! The error of a write tells the caller whether it took effect and so whether to repeat it.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use cyc_store::{
    Body, Error, HttpPlatform, Kind, MAX_VALUE_SIZE, ObjectKey, Platform as _, Precondition,
};
use cyc_types::{ByteSize, Millis, Version};
use googletest::prelude::*;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpListener,
    sync::mpsc,
};

const TIMEOUT: Millis = Millis::new(5_000);
/// An address on which nothing listens: port 1 is reserved.
const CLOSED_ADDR: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1));
const SHORT_TIMEOUT: Millis = Millis::new(50);

/// Starts a server that sends `response` on each connection once it has received data, and passes
/// the received data to the returned channel.
async fn serve_canned(
    response: &'static str,
) -> std::io::Result<(SocketAddr, mpsc::Receiver<String>)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    let (tx, rx) = mpsc::channel(16);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buf = vec![0; 4_096];
            let read = stream.read(&mut buf).await.unwrap_or_default();
            let _ = tx
                .send(String::from_utf8_lossy(&buf[..read]).into_owned())
                .await;
            let _ = stream.write_all(response.as_bytes()).await;
        }
    });
    Ok((addr, rx))
}

fn key() -> ObjectKey {
    ObjectKey::new(Kind::Budget, "shard-1")
}

#[gtest]
#[tokio::test]
async fn errors_of_a_write_tell_whether_it_took_effect() -> Result<()> {
    let unavailable = |why: &str| Some(Error::Unavailable(why.into()));
    let malformed = |why: &str| Some(Error::Malformed(why.into()));
    let table = [
        (
            "HTTP/1.1 200 OK\r\netag: \"7\"\r\ncontent-length: 0\r\n\r\n",
            None,
        ),
        (
            "HTTP/1.1 201 Created\r\netag: \"7\"\r\ncontent-length: 0\r\n\r\n",
            None,
        ),
        (
            "HTTP/1.1 412 P\r\ncontent-length: 0\r\n\r\n",
            Some(Error::Conflict),
        ),
        (
            "HTTP/1.1 413 T\r\ncontent-length: 0\r\n\r\n",
            Some(Error::TooLarge(ByteSize::new(2))),
        ),
        (
            "HTTP/1.1 429 T\r\ncontent-length: 0\r\n\r\n",
            Some(Error::Throttled),
        ),
        (
            "HTTP/1.1 500 I\r\ncontent-length: 0\r\n\r\n",
            unavailable("500 Internal Server Error"),
        ),
        (
            "HTTP/1.1 503 S\r\ncontent-length: 0\r\n\r\n",
            unavailable("503 Service Unavailable"),
        ),
        (
            "HTTP/1.1 302 F\r\ncontent-length: 0\r\n\r\n",
            malformed("unexpected status 302 Found"),
        ),
        (
            "HTTP/1.1 404 N\r\ncontent-length: 0\r\n\r\n",
            malformed("unexpected status 404 Not Found"),
        ),
        (
            "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
            malformed("no version in the entity tag None"),
        ),
        (
            "HTTP/1.1 200 OK\r\netag: 7\r\ncontent-length: 0\r\n\r\n",
            malformed("no version in the entity tag Some(\"7\")"),
        ),
        (
            "HTTP/1.1 200 OK\r\netag: \"x\"\r\ncontent-length: 0\r\n\r\n",
            malformed("no version in the entity tag Some(\"\\\"x\\\"\")"),
        ),
    ];
    for (response, expected_error) in table {
        let (addr, _requests) = serve_canned(response).await?;
        let platform = HttpPlatform::new(addr).with_timeout(TIMEOUT);
        let outcome = platform
            .put(&key(), Body::from("{}"), Precondition::Absent)
            .await;
        match expected_error {
            None => expect_that!(outcome, ok(eq(&Version::new(7))), "{response}"),
            Some(error) => expect_that!(outcome, err(eq(&error)), "{response}"),
        }
    }
    Ok(())
}

#[gtest]
#[tokio::test]
async fn truncated_invalid_and_missing_responses_are_unavailable() -> Result<()> {
    let table = [
        ("closed", ""),
        ("not HTTP", "nonsense\r\n\r\n"),
        ("truncated head", "HTTP/1.1 200 OK\r\netag: \"7\""),
        (
            "truncated body",
            "HTTP/1.1 200 OK\r\netag: \"7\"\r\ncontent-length: 9\r\n\r\n{}",
        ),
    ];
    for (name, response) in table {
        let (addr, _requests) = serve_canned(response).await?;
        let platform = HttpPlatform::new(addr).with_timeout(TIMEOUT);
        let outcome = platform.get(&key()).await;
        expect_that!(
            outcome,
            err(matches_pattern!(Error::Unavailable(_))),
            "{name}"
        );
    }
    // The kernel accepts connections into the backlog, and no task ever responds.
    let silent = TcpListener::bind("127.0.0.1:0").await?;
    let platform = HttpPlatform::new(silent.local_addr()?).with_timeout(SHORT_TIMEOUT);
    let timeout = Error::Unavailable("timeout after 50 ms".into());
    expect_that!(platform.list_vms().await, err(eq(&timeout)));
    let platform = HttpPlatform::new(CLOSED_ADDR).with_timeout(TIMEOUT);
    expect_that!(
        platform.get(&key()).await,
        err(matches_pattern!(Error::Unavailable(_)))
    );
    Ok(())
}

#[gtest]
#[tokio::test]
async fn oversized_values_are_rejected_before_sending() -> Result<()> {
    let (addr, mut requests) = serve_canned("HTTP/1.1 500 I\r\ncontent-length: 0\r\n\r\n").await?;
    let platform = HttpPlatform::new(addr).with_timeout(TIMEOUT);
    let size = MAX_VALUE_SIZE + ByteSize::new(1);
    let body = Body::from("x".repeat(size.get() as usize));
    let outcome = platform.put(&key(), body, Precondition::Absent).await;
    expect_that!(outcome, err(eq(&Error::TooLarge(size))));
    expect_that!(requests.try_recv().is_err(), eq(true));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn requests_have_the_documented_format() -> Result<()> {
    const EMPTY_LIST: &str = "HTTP/1.1 200 OK\r\netag: \"7\"\r\ncontent-length: 2\r\n\r\n[]";
    let (addr, mut requests) = serve_canned(EMPTY_LIST).await?;
    let platform = HttpPlatform::new(addr).with_timeout(TIMEOUT);
    let reserved_chars = ObjectKey::new(Kind::Member, "a/b?c d");
    platform
        .put(&key(), Body::from("{}"), Precondition::Absent)
        .await?;
    let text = requests.recv().await.or_fail()?;
    expect_that!(
        text,
        starts_with("PUT /v1/objects/budget/shard-1 HTTP/1.1\r\n")
    );
    expect_that!(
        text.to_lowercase(),
        contains_substring("if-none-match: *\r\n")
    );
    platform.delete(&reserved_chars, Version::new(3)).await?;
    let text = requests.recv().await.or_fail()?;
    expect_that!(
        text,
        starts_with("DELETE /v1/objects/member/a%2Fb%3Fc%20d HTTP/1.1\r\n")
    );
    expect_that!(
        text.to_lowercase(),
        contains_substring("if-match: \"3\"\r\n")
    );
    platform.list(Kind::Segment, "vm&x=").await?;
    let text = requests.recv().await.or_fail()?;
    expect_that!(
        text,
        starts_with("GET /v1/objects/segment?prefix=vm%26x%3D HTTP/1.1\r\n")
    );
    let (since, wait) = (Version::new(4), Millis::new(9));
    platform.watch(Kind::Config, "head", since, wait).await?;
    let text = requests.recv().await.or_fail()?;
    let request_line = "GET /v1/watch/config?prefix=head&since=4&wait_ms=9 HTTP/1.1\r\n";
    expect_that!(text, starts_with(request_line));
    Ok(())
}
