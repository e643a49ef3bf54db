//! Hashes that are the same in every process and every release.

use sha2::{Digest, Sha256};

/// Returns the SHA-256 digest of the parts, one after the other.
pub fn sha256(parts: &[&[u8]]) -> [u8; 32] {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update(part);
    }
    hasher.finalize().into()
}

/// Returns a digest as lower-case hexadecimal text.
pub fn hex(digest: &[u8]) -> String {
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns a 64-bit hash for spreading keys; not for secrets.
pub fn stable(data: &[u8]) -> u64 {
    rapidhash::v3::rapidhash_v3(data)
}

/// Returns the weight of `node` for `key` in rendezvous hashing: the highest weight wins.
pub fn rendezvous(key: u64, node: &str) -> u64 {
    rapidhash::v3::rapidhash_v3_seeded(node.as_bytes(), &rapidhash::v3::RapidSecrets::seed_cpp(key))
}

/// Returns which of `buckets` buckets `data` falls into.
pub fn bucket(data: &[u8], buckets: u32) -> u32 {
    (stable(data) % u64::from(buckets.max(1))) as u32
}
