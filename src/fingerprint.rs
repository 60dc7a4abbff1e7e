//! Fingerprints of requests. A client that repeats a request gives it another id, so that only the
//! fingerprint shows that the two are the same.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Hash of the caller, the target and the body of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Computes the fingerprint of `body`, sent by `caller` to `target`, which consists of any
    /// number of words.
    #[must_use]
    pub fn new(caller: &str, target: &[&str], body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for word in std::iter::once(&caller).chain(target) {
            // The length prefix makes the concatenation of words unambiguous.
            hasher.update(&(word.len() as u64).to_le_bytes());
            hasher.update(word.as_bytes());
        }
        let mut bytes = [0; 8];
        hasher.update(body).finalize_xof().fill(&mut bytes);
        Self(u64::from_le_bytes(bytes))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
