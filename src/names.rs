//! Short ids that replace names in messages between boxes.

/// Short id of a name: the first 32 bits of its hash.
#[must_use]
pub fn short_id(name: &str) -> u32 {
    let mut bytes = [0; 4];
    blake3::Hasher::new().update(name.as_bytes()).finalize_xof().fill(&mut bytes);
    u32::from_le_bytes(bytes)
}
