//! Lanes: which engines of a service are set aside for short prompts, and which for long ones.
//!
//! An engine prefills a long prompt in several steps, which also delay the next token of every stream
//! on that engine. One engine in five of each availability zone takes the short prompts.
//!
//! Services whose targets report how long work takes at the moment have no lanes, see [`timely`].
//!
//! [`timely`]: crate::timely

use cyc_types::hash;

/// Prompts of at least this many tokens are long: they take more than one prefill step.
pub const LONG_PROMPT_TOKENS: u64 = 4_096;
/// One in this many engines of an availability zone is set aside for short prompts, but at least
/// one.
const ENGINES_PER_SHORT_LANE: usize = 5;
/// Hash key with which all entries rank the engines of a zone in the same order.
const LANE_HASH_KEY: u64 = 0x6c61_6e65;
/// The prompts that an engine is set aside for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Lane {
    /// All prompts.
    #[default]
    Any,
    /// Prompts below [`LONG_PROMPT_TOKENS`].
    Short,
    /// Prompts of at least [`LONG_PROMPT_TOKENS`].
    Long,
}

impl Lane {
    /// Returns true if prompts of `input` tokens belong to the lane.
    pub fn accepts(self, input: u64) -> bool {
        match self {
            Self::Any => true,
            Self::Short => input < LONG_PROMPT_TOKENS,
            Self::Long => input >= LONG_PROMPT_TOKENS,
        }
    }
}

/// Assigns lanes by count to the engines of one availability zone, given by their ids. A zone with a
/// single engine has no lanes.
pub fn lanes(ids: &[&str]) -> Vec<Lane> {
    if ids.len() < 2 {
        return vec![Lane::Any; ids.len()];
    }
    let mut lanes = vec![Lane::Long; ids.len()];
    let short = (ids.len() / ENGINES_PER_SHORT_LANE).max(1);
    for index in ranked(ids).into_iter().take(short) {
        lanes[index] = Lane::Short;
    }
    lanes
}

fn ranked(ids: &[&str]) -> Vec<usize> {
    let mut ranked: Vec<usize> = (0..ids.len()).collect();
    ranked.sort_by_key(|index| hash::rendezvous_weight(LANE_HASH_KEY, ids[*index]));
    ranked
}
