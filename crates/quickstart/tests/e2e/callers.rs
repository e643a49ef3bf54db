//! Callers that send slowly or too much must not exhaust the connections or slots of an entry.

use std::{net::SocketAddr, time::Duration};

use cyc_quickstart::{Deployment, Layout};
use cyc_types::{ErrorKind, Outcome};
use googletest::prelude::*;
use http::Method;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

use super::support;

/// Time within which an entry must close a connection.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(60);
/// Concurrent connections that the entry accepts in these tests.
const CONNECTIONS: usize = 4;

/// Sends `sent` on a new connection and returns the bytes received until the entry closes it.
async fn send_raw(addr: SocketAddr, sent: String) -> Result<String> {
    let mut stream = TcpStream::connect(addr).await?;
    stream.write_all(sent.as_bytes()).await?;
    let mut received = Vec::new();
    let reading = tokio::time::timeout(CLOSE_TIMEOUT, stream.read_to_end(&mut received)).await;
    // The connection may also end with a reset; the bytes received before are returned.
    let closed = reading.is_ok();
    expect_that!(
        closed,
        eq(true),
        "connection not closed after {:?}",
        sent.get(..60)
    );
    Ok(String::from_utf8_lossy(&received).into_owned())
}

fn head(path: &str, rest: &str) -> String {
    let key = cyc_quickstart::layout::api_key("league");
    format!("POST {path} HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {key}\r\n{rest}")
}

const BOOKINGS: &str = "/v1/services/hire-desk/bookings";
const CHAT: &str = "/v1/chat/completions";

async fn start() -> Result<Deployment> {
    let layout = Layout {
        engines: 1,
        service_instances: 1,
        entries: 1,
        ..Layout::default()
    };
    let connections = format!("max_connections = {CONNECTIONS}");
    let layout = layout
        .with_entry_setting("limits", connections)
        .with_entry_setting("limits", "max_body_bytes = 2000")
        .with_entry_setting("limits", "booking_slots = 1")
        .with_entry_setting("limits", "drafting_slots = 1");
    let deployment = Deployment::start(layout).await?;
    deployment.top_up("league", "payment-1", 100_000).await?;
    Ok(deployment)
}

/// Occupies connections with slow callers, and checks that the entry closes them and serves others.
async fn expect_connections_freed(
    deployment: &Deployment,
    sent: Vec<String>,
) -> Result<Vec<String>> {
    let addr = deployment.entries[0].addr;
    let slow = sent.into_iter().map(|sent| send_raw(addr, sent));
    let received = futures::future::join_all(slow).await;
    let received = received.into_iter().collect::<Result<Vec<String>>>()?;
    let caller = deployment.caller(0, "league");
    let reply = tokio::time::timeout(CLOSE_TIMEOUT, caller.status("kit-7", &[])).await??;
    expect_that!(reply.complete, eq(true), "{reply:?}");
    let booked = tokio::time::timeout(CLOSE_TIMEOUT, caller.book("after", "kit-7")).await??;
    expect_that!(booked.complete, eq(true), "{booked:?}");
    expect_that!(support::service_runs(deployment).await?, eq(2));
    Ok(received)
}

/// Callers that never finish their request heads would occupy all connections of an entry, so that
/// other callers could not connect.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn slow_headers_do_not_hold_connections() -> Result<()> {
    let deployment = start().await?;
    let sent = (0..CONNECTIONS).map(|n| match n {
        // A connection without a single byte.
        0 => String::new(),
        _ => head(BOOKINGS, "x-slow: "),
    });
    expect_connections_freed(&deployment, sent.collect()).await?;
    Ok(())
}

/// A slot that is taken before the body has been received would be held by a caller that never
/// completes its body.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn slow_bodies_hold_neither_connections_nor_slots() -> Result<()> {
    let deployment = start().await?;
    let sent = (0..CONNECTIONS).map(|n| {
        let path = if n % 2 == 0 { BOOKINGS } else { CHAT };
        let rest = format!("idempotency-key: slow-{n}\r\ncontent-length: 100\r\n\r\n{{");
        head(path, &rest)
    });
    for received in expect_connections_freed(&deployment, sent.collect()).await? {
        expect_that!(received, starts_with("HTTP/1.1 400"));
        expect_that!(received, contains_substring("\"outcome\":\"not_run\""));
    }
    Ok(())
}

/// An entry that buffers a request head of any size would run out of memory.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn too_many_headers_are_refused() -> Result<()> {
    let deployment = start().await?;
    let many_headers: String = (0..200).map(|n| format!("x-{n}: 1\r\n")).collect();
    let long_header = format!("x-long: {}\r\n", "y".repeat(2_000_000));
    let sent = [many_headers, long_header].map(|rest| head(BOOKINGS, &format!("{rest}\r\n")));
    for sent in sent {
        let received = send_or_reset(deployment.entries[0].addr, sent).await?;
        let refused = received.is_empty() || received.starts_with("HTTP/1.1 431");
        expect_that!(refused, eq(true), "{received}");
    }
    expect_connections_freed(&deployment, Vec::new()).await?;
    Ok(())
}

/// As [`send_raw`], for requests larger than an entry reads: the entry may close the connection
/// before they are sent completely.
async fn send_or_reset(addr: SocketAddr, sent: String) -> Result<String> {
    let (mut read, mut write) = TcpStream::connect(addr).await?.into_split();
    let writing = tokio::spawn(async move {
        write.write_all(sent.as_bytes()).await.ok();
        write
    });
    let mut received = Vec::new();
    let reading = tokio::time::timeout(CLOSE_TIMEOUT, read.read_to_end(&mut received)).await;
    expect_that!(reading.is_ok(), eq(true), "connection not closed");
    drop(writing.await?);
    Ok(String::from_utf8_lossy(&received).into_owned())
}

/// A size check of the declared content length only would let a chunked body of any size through.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_are_too_large_are_refused_as_not_run() -> Result<()> {
    let deployment = start().await?;
    let caller = deployment.caller(0, "league");
    let body = format!("{{\"kit\":\"{}\"}}", "k".repeat(2_000));
    for path in [BOOKINGS, CHAT] {
        let headers = [("idempotency-key", "large")];
        let answer = caller.send(Method::POST, path, &headers, &body).await?;
        let problem: serde_json::Value = answer.json()?;
        let kind = <&str>::from(ErrorKind::TooLarge);
        expect_that!(problem["kind"].as_str(), some(eq(kind)));
        let outcome = <&str>::from(Outcome::NotRun);
        expect_that!(problem["outcome"].as_str(), some(eq(outcome)));
    }
    // A chunked body has no content length to check in advance.
    let chunk = format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
    let rest = "idempotency-key: large\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n";
    let received = send_or_reset(deployment.entries[0].addr, head(BOOKINGS, rest) + &chunk).await?;
    expect_that!(received, starts_with("HTTP/1.1 413"));
    expect_connections_freed(&deployment, Vec::new()).await?;
    Ok(())
}
