//! Splitting of event streams.

use cyc_gateway::event::{MAX_EVENT_BYTES, Splitter};
use googletest::prelude::*;

fn split(pieces: &[&[u8]]) -> (Vec<(String, Option<u64>)>, bool) {
    let mut splitter = Splitter::new();
    let mut events = Vec::new();
    for piece in pieces {
        splitter.push(piece).unwrap();
        while let Some(event) = splitter.pop() {
            events.push((String::from_utf8_lossy(&event.bytes).into_owned(), event.id));
        }
    }
    (events, splitter.is_empty())
}

#[gtest]
fn events_are_whole_however_the_bytes_arrive() {
    let stream = b"id: 1\ndata: a\n\nid:2\ndata: b\n\ndata: no id\n\n";
    let expected = vec![
        ("id: 1\ndata: a\n\n".to_string(), Some(1)),
        ("id:2\ndata: b\n\n".to_string(), Some(2)),
        ("data: no id\n\n".to_string(), None),
    ];
    for at in 0..stream.len() {
        let (events, is_empty) = split(&[&stream[..at], &stream[at..]]);
        expect_that!(events, eq(&expected), "cut at {at}");
        expect_true!(is_empty);
    }
    let bytes: Vec<&[u8]> = stream.chunks(1).collect();
    expect_that!(split(&bytes).0, eq(&expected));
}

#[gtest]
fn carriage_returns_end_events_too() {
    let (events, is_empty) = split(&[b"id: 4\r\ndata: a\r\n\r\n"]);
    expect_that!(events.len(), eq(1));
    expect_that!(events[0].1, some(eq(4)));
    expect_true!(is_empty);
}

#[gtest]
fn an_incomplete_event_is_held_back() {
    let (events, is_empty) = split(&[b"id: 1\ndata: a\n\nid: 2\ndata: b\n"]);
    expect_that!(events.len(), eq(1));
    expect_false!(is_empty);
}

#[gtest]
fn an_event_that_is_too_long_is_an_error() {
    let mut splitter = Splitter::new();
    expect_true!(splitter.push(&vec![b'x'; MAX_EVENT_BYTES]).is_ok());
    expect_true!(splitter.push(b"x").is_err());
}
