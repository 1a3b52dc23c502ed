//! Names a request by what stays when its caller sends it again: each try bears an id of its own.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// What a request asks for and for whom, as a hash that is the same on all instances.
///
/// Headers are left out: a caller that comes again says how long it still waits, for one.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Returns the fingerprint of a request for a path with its query; `organisation` is none where no key
    /// is needed.
    pub fn of(method: &str, path: &str, organisation: Option<&str>, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        for part in [method, path, organisation.unwrap_or_default()] {
            // With its length, so that no part runs over into the next.
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher.update(body);
        let digest = hasher.finalize();
        let mut first = [0; 8];
        first.copy_from_slice(&digest[..8]);
        Self(u64::from_le_bytes(first))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
