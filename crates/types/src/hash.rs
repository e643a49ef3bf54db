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

/// Maps `data` to a bucket from 0 to `buckets - 1`; zero buckets count as one.
pub fn bucket(data: &[u8], buckets: u32) -> u32 {
    (stable(data) % u64::from(buckets.max(1))) as u32
}
