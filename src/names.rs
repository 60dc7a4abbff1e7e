//! Numbers that stand for names in messages between boxes.

/// The number that stands for a name in messages between boxes.
#[must_use]
pub fn short_id(name: &str) -> u32 {
    let mut bytes = [0; 4];
    blake3::Hasher::new().update(name.as_bytes()).finalize_xof().fill(&mut bytes);
    u32::from_le_bytes(bytes)
}
