//! Since when a version of weights is named. A box that started again found the newest version
//! in the metadata store and took that time for the time of its naming: it sent to engines
//! whose weights should have been gone for 14 s.

use coursestile::gateway::decisions::weights::{LONG_AGO_MS, NamedWeights, Naming};

fn naming(version: u64, replaced: u64, at_ms: u64) -> Naming {
    Naming { version, replaced, at_ms }
}

fn told(weights: &NamedWeights) -> Vec<Naming> {
    weights.named_after(0).collect()
}

#[test]
fn found_at_start() {
    let mut weights = NamedWeights::default();
    weights.find(LONG_AGO_MS, 3);
    assert_eq!(weights.behind_since_ms(2), Some(LONG_AGO_MS));
    assert_eq!(weights.behind_since_ms(3), None);
    assert!(told(&weights).is_empty(), "it knows nothing to tell");
    weights.hear(naming(3, 2, 8000));
    assert_eq!(weights.behind_since_ms(2), Some(8000));
    assert_eq!(weights.behind_since_ms(1), Some(LONG_AGO_MS), "when 2 was named is not told");
    weights.hear(naming(2, 1, 5000));
    assert_eq!(weights.behind_since_ms(1), Some(5000));
}

#[test]
fn first_of_model() {
    let mut weights = NamedWeights::default();
    weights.learn(9000, 2);
    assert_eq!(weights.behind_since_ms(1), Some(9000), "nothing was named before");
}

#[test]
fn earliest_counts() {
    let mut weights = NamedWeights::default();
    assert!(weights.learn(1000, 2) && weights.learn(9000, 3));
    weights.hear(naming(3, 2, 8000));
    weights.hear(naming(3, 2, 8500));
    assert_eq!(weights.behind_since_ms(2), Some(8000));
}

/// A box that was away for long knows only that the version was not named before it went.
/// Told to others, that made all engines overdue at once.
#[test]
fn estimate_stays() {
    let mut away = NamedWeights::default();
    away.learn(1000, 2);
    away.find(85_000, 3);
    assert_eq!(away.behind_since_ms(2), Some(85_000));
    assert!(told(&away).iter().all(|one| one.version != 3));
    away.hear(naming(3, 2, 100_000));
    assert_eq!(away.behind_since_ms(2), Some(100_000), "a box that was there knows better");
}

/// Of two boxes, one may have missed a version between two others.
#[test]
fn missed_between() {
    let mut weights = NamedWeights::default();
    weights.find(LONG_AGO_MS, 3);
    weights.hear(naming(3, 1, 30_000));
    weights.hear(naming(3, 2, 30_010));
    assert_eq!(weights.behind_since_ms(1), Some(LONG_AGO_MS));
    assert_eq!(weights.behind_since_ms(2), Some(30_000));
}
