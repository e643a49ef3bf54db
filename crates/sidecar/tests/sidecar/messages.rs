//! Decoding a damaged message returns an error or a valid message, and never panics.

use cyc_proto::sidecar::{AnswerFrom, Chunk, Frame, OutcomeQuery, RunRequest};
use googletest::prelude::*;
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};
use serde::{Serialize, de::DeserializeOwned};

use super::table::request;

/// Changes, truncates, duplicates or inserts bytes at a few random positions.
fn damage(rng: &mut StdRng, text: &str) -> Vec<u8> {
    let mut bytes = text.as_bytes().to_vec();
    for _ in 0..rng.random_range(1..5) {
        let at = rng.random_range(0..bytes.len());
        match rng.random_range(0..4) {
            0 => bytes[at] = rng.random(),
            1 => bytes.truncate(at.max(1)),
            2 => bytes.insert(
                at,
                *b"{}[]\",:0-e"[..]
                    .get(rng.random_range(0..10))
                    .unwrap_or(&0),
            ),
            _ => {
                let part = bytes[at..].to_vec();
                bytes.extend(part);
            }
        }
    }
    bytes
}

fn read<T: DeserializeOwned + Serialize>(bytes: &[u8]) -> Result<()> {
    // A message that still decodes has to survive another round trip.
    if let Ok(message) = serde_json::from_slice::<T>(bytes) {
        let text = serde_json::to_string(&message)?;
        let again = serde_json::from_str::<T>(&text)?;
        expect_that!(serde_json::to_string(&again)?, eq(&text));
    }
    Ok(())
}

#[gtest]
fn damaged_messages_are_errors_or_round_trip() -> Result<()> {
    let mut rng = StdRng::seed_from_u64(11);
    let run = request(1, 1, false)?;
    let chunk = Chunk {
        request: run.request,
        run: 1,
        first: 3,
        frames: vec![
            Frame::Head {
                status: 200,
                content_type: "text/plain".into(),
            },
            Frame::Data {
                text: "river".into(),
                tokens: cyc_types::Tokens::new(1),
            },
        ],
    };
    let texts = [serde_json::to_string(&run)?, serde_json::to_string(&chunk)?];
    for round in 0..20_000 {
        let bytes = damage(&mut rng, &texts[round % 2]);
        read::<RunRequest>(&bytes)?;
        read::<Chunk>(&bytes)?;
        read::<AnswerFrom>(&bytes)?;
        read::<OutcomeQuery>(&bytes)?;
    }
    Ok(())
}
