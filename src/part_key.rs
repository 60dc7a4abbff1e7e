//! Identity of a part of a prompt, the same in every box.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Hash that identifies a part within a scope. If the hashes of two parts of cached context collide,
/// a box expects one part in a cache that has only the other, and finds it missing there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartKey(pub u64);

impl PartKey {
    #[must_use]
    pub fn new(scope: &str, part: &str) -> Self {
        let mut bytes = [0; 8];
        let mut hasher = blake3::Hasher::new();
        hasher.update(scope.as_bytes()).update(b"/").update(part.as_bytes());
        hasher.finalize_xof().fill(&mut bytes);
        Self(u64::from_le_bytes(bytes))
    }

    /// A number above 0 and up to 1 that depends only on the part and `seed`.
    #[must_use]
    pub fn hash_fraction(self, seed: u32) -> f64 {
        // The finalizer of splitmix64 spreads each bit over all others.
        let mut mixed = self.0 ^ (u64::from(seed) << 32 | u64::from(seed));
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^= mixed >> 31;
        let upper = u32::try_from(mixed >> 32).unwrap_or(u32::MAX);
        (f64::from(upper) + 1.0) / (f64::from(u32::MAX) + 1.0)
    }
}

impl fmt::Display for PartKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
