//! The reader returns every frame of an answer once and in order.

use cyc_entry::relay::{Error, Reader};
use cyc_proto::sidecar::{Chunk, Frame};
use cyc_types::{RequestId, Tokens};
use googletest::prelude::*;
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};

fn id(n: u64) -> Result<RequestId> {
    Ok(format!("{n:032x}").parse()?)
}

fn data(n: u64) -> Frame {
    Frame::Data {
        text: n.to_string(),
        tokens: Tokens::new(1),
    }
}

fn chunk(request: RequestId, first: u64, count: u64) -> Chunk {
    Chunk {
        request,
        run: 1,
        first,
        frames: (first..first + count).map(data).collect(),
    }
}

#[gtest]
fn chunks_of_other_requests_and_chunks_after_a_gap_are_rejected() -> Result<()> {
    let mut reader = Reader::new(id(1)?);
    expect_that!(reader.accept(chunk(id(2)?, 0, 3)), eq(&Ok(None)));
    expect_that!(reader.accept(chunk(id(1)?, 1, 3)), eq(&Ok(None)));
    expect_that!(reader.frames_read(), eq(0));
    expect_that!(
        reader.accept(chunk(id(1)?, 0, 2)),
        eq(&Ok(Some(vec![data(0), data(1)])))
    );
    expect_that!(
        reader.accept(chunk(id(1)?, 1, 2)),
        eq(&Ok(Some(vec![data(2)])))
    );
    expect_that!(reader.accept(chunk(id(1)?, 0, 2)), eq(&Ok(Some(vec![]))));
    Ok(())
}

/// A sidecar may run a failed request again. A reader that resubscribes in between must not combine
/// the frames of both runs into one answer.
#[gtest]
fn frames_of_a_later_run_never_follow_those_of_an_earlier_run() -> Result<()> {
    let mut reader = Reader::new(id(1)?);
    reader.accept(chunk(id(1)?, 0, 2)).or_fail()?;
    let later = Chunk {
        run: 2,
        ..chunk(id(1)?, 2, 2)
    };
    expect_that!(reader.accept(later), eq(&Err(Error::NotFound)));
    expect_that!(reader.frames_read(), eq(2));
    Ok(())
}

/// After a reconnect, chunks can overlap those read before or leave a gap. Frames must neither be
/// duplicated nor skipped.
#[gtest]
fn chunks_in_any_order_yield_every_frame_once_and_in_order() -> Result<()> {
    let mut rng = StdRng::seed_from_u64(23);
    for _ in 0..500 {
        let count = rng.random_range(1..30_u64);
        let mut reader = Reader::new(id(1)?);
        let mut read = Vec::new();
        while reader.frames_read() < count {
            let first = rng.random_range(0..count);
            let part = rng.random_range(1..=count - first);
            let request = id(rng.random_range(1..3))?;
            let accepted = reader.accept(chunk(request, first, part)).or_fail()?;
            read.extend(accepted.unwrap_or_default());
        }
        let wanted: Vec<Frame> = (0..count).map(data).collect();
        expect_that!(read, eq(&wanted));
    }
    Ok(())
}
