//! Which waiting requests get the last tokens of an account.
//!
//! The rank of route and account decides first, then what a token brings to its caller: each answer
//! counts the same, so a request that costs fewer tokens comes first. Every fourth turn goes to the
//! request that has waited longest, whatever its rank and cost, so that none is starved.

use cyc_types::{Millis, Tokens};

/// Every turn with this remainder goes to the request that has waited longest.
const TURNS_PER_OLDEST: u64 = 4;

/// A request that waits for tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim {
    /// Rank of the request by its route and account; 0 comes first.
    pub rank: u8,
    /// Tokens that the request lacks, its maximum cost if it has none.
    pub tokens: Tokens,
    /// When the request began to wait.
    pub since: Millis,
}

impl Claim {
    /// Order by rank, then worth for each token, then waiting time.
    fn key(&self) -> (u8, Tokens, Millis) {
        (self.rank, self.tokens, self.since)
    }
}

/// Returns the index of the claim that comes next among those that `free` tokens cover. `turn` counts
/// the claims that were served before.
pub fn next(free: Tokens, claims: &[Claim], turn: u64) -> Option<usize> {
    let covered = claims.iter().enumerate();
    let covered = covered.filter(|(_, claim)| claim.tokens <= free);
    let next = match turn % TURNS_PER_OLDEST == TURNS_PER_OLDEST - 1 {
        true => covered.min_by_key(|(_, claim)| claim.since),
        false => covered.min_by_key(|(_, claim)| claim.key()),
    };
    next.map(|(index, _)| index)
}

/// Returns true if the claim with this index gets tokens at once: its turn comes before `free` tokens
/// are used up by the others.
pub fn is_served(index: usize, mut free: Tokens, claims: &[Claim], mut turn: u64) -> bool {
    let mut left: Vec<(usize, Claim)> = claims.iter().copied().enumerate().collect();
    loop {
        let open: Vec<Claim> = left.iter().map(|(_, claim)| *claim).collect();
        let Some(next) = next(free, &open, turn) else {
            return false;
        };
        let (served, claim) = left.swap_remove(next);
        if served == index {
            return true;
        }
        free = free.saturating_sub(claim.tokens);
        turn += 1;
    }
}
