//! Tests of logging and metrics.

#[path = "obs/pages.rs"]
mod pages;

use std::{net::UdpSocket, time::Duration};

use cadence::{CountedExt as _, Gauged as _};
use cyc_obs::{Metrics, log};
use cyc_settings::LogLevel;
use googletest::prelude::*;
use spdlog::{Level, Logger, sink::WriteSink};

#[gtest]
fn metrics_without_an_address_are_counted() -> googletest::Result<()> {
    let metrics = Metrics::new(None)?;
    metrics.incr("refused")?;
    metrics.clone().incr("refused")?;
    metrics.gauge("idle", 7_u64)?;
    expect_that!(metrics.counts().get("refused"), eq(2));
    expect_that!(metrics.counts().get("idle"), eq(1));
    expect_that!(metrics.counts().get("other"), eq(0));
    expect_that!(metrics.counts().all().len(), eq(2));
    Ok(())
}

#[gtest]
fn metrics_with_an_address_are_sent() -> googletest::Result<()> {
    let socket = UdpSocket::bind("127.0.0.1:0")?;
    socket.set_read_timeout(Some(Duration::from_secs(30)))?;
    let metrics = Metrics::new(Some(socket.local_addr()?))?;
    metrics.incr("refused")?;
    let mut buf = [0; 256];
    let read = socket.recv(&mut buf)?;
    expect_that!(&buf[..read], eq(b"cyclamenlead.refused:1|c"));
    expect_that!(metrics.counts().all().len(), eq(0));
    Ok(())
}

#[gtest]
fn a_record_is_formatted_on_one_line() -> googletest::Result<()> {
    let sink = WriteSink::builder()
        .target(Vec::new())
        .formatter(log::KeyValueFormatter)
        .build_arc()?;
    let logger = Logger::builder().sink(sink.clone()).build()?;
    spdlog::warn!(logger: logger, "two\nlines \"quoted\"", kv: { vm = "a b" });
    let line = String::from_utf8(sink.clone_target())?;
    expect_that!(line, starts_with("ts_ms="));
    expect_that!(
        line,
        ends_with("level=warn msg=\"two\\nlines \\\"quoted\\\"\" vm=\"a b\"\n")
    );
    Ok(())
}

#[gtest]
fn level_filters_pass_more_severe_records() -> googletest::Result<()> {
    let table = [
        (LogLevel::Info, Level::Info, true),
        (LogLevel::Info, Level::Debug, false),
        (LogLevel::Warn, Level::Error, true),
        (LogLevel::Off, Level::Critical, false),
    ];
    for (level, record, expected) in table {
        expect_that!(
            log::level_filter(level).test(record),
            eq(expected),
            "{level}"
        );
    }
    Ok(())
}
