//! Identifies a request across its retries: each attempt has an id of its own, but the same content.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// A hash of a request's method, path, organisation and body. It is the same on all instances.
///
/// Headers are not part of it because they differ between retries: one states the caller's remaining timeout.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Returns the fingerprint of a request. `path` includes the query; `organisation` is `None` where no API key is
    /// required.
    pub fn of(method: &str, path: &str, organisation: Option<&str>, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        for part in [method, path, organisation.unwrap_or_default()] {
            // The length prefix keeps adjacent parts from being confused with each other.
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher.update(body);
        let digest = hasher.finalize();
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&digest[..8]);
        Self(u64::from_le_bytes(prefix))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
