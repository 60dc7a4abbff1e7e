//! Ownership by rendezvous hashing.
//!
//! Every box computes the same owner from the same list of names. Ownership is advisory: if boxes
//! have different lists, two of them may act as owner. This makes decisions worse, but breaks no
//! guarantee.

/// The `count` names with the highest scores for `key`, highest first.
#[must_use]
pub fn ranked<'a>(
    key: &str,
    names: impl IntoIterator<Item = &'a str>,
    count: usize,
) -> Vec<&'a str> {
    let mut scored: Vec<_> = names.into_iter().map(|name| (score(key, name), name)).collect();
    scored.sort_unstable_by(|left, right| right.cmp(left));
    scored.into_iter().take(count).map(|(_, name)| name).collect()
}

/// The name with the highest score for `key`.
#[must_use]
pub fn owner<'a>(key: &str, names: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    names.into_iter().max_by_key(|name| (score(key, name), *name))
}

fn score(key: &str, name: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key.as_bytes());
    hasher.update(&[0]);
    hasher.update(name.as_bytes());
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    u64::from_le_bytes(bytes)
}
