//! Concurrent readers of a buffered answer.

use std::sync::Arc;

use cyc_proto::sidecar::Frame;
use cyc_sidecar::answer::Answer;
use cyc_types::Tokens;
use googletest::prelude::*;
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};

fn data(n: u64) -> Frame {
    Frame::Data {
        text: n.to_string(),
        tokens: Tokens::new(1),
    }
}

fn end() -> Frame {
    Frame::End {
        prompt: Tokens::ZERO,
        output: Tokens::ZERO,
        reason: "stop".into(),
        receipt: None,
    }
}

async fn read_from(answer: Arc<Answer>, mut next: u64) -> Vec<Frame> {
    let mut all = Vec::new();
    loop {
        let frames = answer.wait_from(next).await;
        if frames.is_empty() {
            return all;
        }
        next += frames.len() as u64;
        all.extend(frames);
    }
}

/// Guards against skipped or repeated frames and against readers that wait forever, if a frame is
/// pushed between a reader's check and its wait.
#[gtest]
#[tokio::test]
async fn readers_from_any_frame_get_each_remaining_frame_once() -> Result<()> {
    let mut rng = StdRng::seed_from_u64(7);
    for _ in 0..100 {
        let answer = Arc::new(Answer::default());
        let count = rng.random_range(1..40_u64);
        let mut readers = Vec::new();
        for n in 0..count {
            for _ in 0..rng.random_range(0..3) {
                let from = rng.random_range(0..count);
                readers.push((from, tokio::spawn(read_from(answer.clone(), from))));
            }
            answer.push(data(n));
            if rng.random_bool(0.3) {
                tokio::task::yield_now().await;
            }
        }
        answer.push(end());
        answer.push(data(999));
        for (from, reader) in readers {
            let mut wanted: Vec<Frame> = (from..count).map(data).collect();
            wanted.push(end());
            expect_that!(reader.await?, eq(&wanted));
        }
    }
    Ok(())
}
