//! Hash functions whose results are equal in all processes and releases.

use sha2::{Digest, Sha256};

/// Returns the SHA-256 digest of the concatenated parts.
pub fn sha256(parts: &[&[u8]]) -> [u8; 32] {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update(part);
    }
    hasher.finalize().into()
}

/// Formats a digest in lower-case hexadecimal digits.
pub fn hex(digest: &[u8]) -> String {
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns a 64-bit non-cryptographic hash, for distributing keys.
pub fn stable(data: &[u8]) -> u64 {
    rapidhash::v3::rapidhash_v3(data)
}

/// Returns the rendezvous hashing weight of `node` for `key`; the node with the highest weight
/// owns the key.
pub fn rendezvous_weight(key: u64, node: &str) -> u64 {
    rapidhash::v3::rapidhash_v3_seeded(node.as_bytes(), &rapidhash::v3::RapidSecrets::seed_cpp(key))
}

/// Returns a hash of two hashes, for rendezvous hashing with precomputed hashes of the nodes.
pub fn combine(key: u64, node: u64) -> u64 {
    // The finalizer of SplitMix64: each bit of the input affects all bits of the result.
    let mut mixed = key.rotate_left(32) ^ node;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Maps `data` to a bucket from 0 to `buckets - 1`; zero buckets count as one.
pub fn bucket(data: &[u8], buckets: u32) -> u32 {
    (stable(data) % u64::from(buckets.max(1))) as u32
}
