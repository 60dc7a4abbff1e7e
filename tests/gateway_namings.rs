//! When a version of the weights was named. A restarted box found the newest version in the
//! metadata store and took the time at which it read it for the time at which it was named: it sent
//! requests to engines whose weights should have been gone for 14 s.

use coursestile::gateway::decisions::weights::{NamedVersion, NamedVersions, UNKNOWN_TIME_MS};

fn named_version(version: u64, previous: u64, named_at_ms: u64) -> NamedVersion {
    NamedVersion { version, previous, named_at_ms }
}

fn shared_versions(weights: &NamedVersions) -> Vec<NamedVersion> {
    weights.named_after(0).collect()
}

#[test]
fn found_at_start() {
    let mut weights = NamedVersions::default();
    weights.add_named_after(UNKNOWN_TIME_MS, 3);
    assert_eq!(weights.behind_since_ms(2), Some(UNKNOWN_TIME_MS));
    assert_eq!(weights.behind_since_ms(3), None);
    assert!(shared_versions(&weights).is_empty(), "an unknown time is not shared");
    weights.merge(named_version(3, 2, 8000));
    assert_eq!(weights.behind_since_ms(2), Some(8000));
    assert_eq!(
        weights.behind_since_ms(1),
        Some(UNKNOWN_TIME_MS),
        "the time at which 2 was named is unknown"
    );
    weights.merge(named_version(2, 1, 5000));
    assert_eq!(weights.behind_since_ms(1), Some(5000));
}

#[test]
fn first_of_model() {
    let mut weights = NamedVersions::default();
    weights.add_named_at(9000, 2);
    assert_eq!(weights.behind_since_ms(1), Some(9000), "no version was named before");
}

#[test]
fn earliest_counts() {
    let mut weights = NamedVersions::default();
    assert!(weights.add_named_at(1000, 2) && weights.add_named_at(9000, 3));
    weights.merge(named_version(3, 2, 8000));
    weights.merge(named_version(3, 2, 8500));
    assert_eq!(weights.behind_since_ms(2), Some(8000));
}

/// A box that was away for long knows only that the version was not named before it went away. When
/// it told its peers that time, all engines were overdue at once.
#[test]
fn estimate_stays() {
    let mut absent_box = NamedVersions::default();
    absent_box.add_named_at(1000, 2);
    absent_box.add_named_after(85_000, 3);
    assert_eq!(absent_box.behind_since_ms(2), Some(85_000));
    assert!(shared_versions(&absent_box).iter().all(|named| named.version != 3));
    absent_box.merge(named_version(3, 2, 100_000));
    assert_eq!(
        absent_box.behind_since_ms(2),
        Some(100_000),
        "a peer that saw the naming knows the time"
    );
}

/// One of two boxes may have missed a version between two others.
#[test]
fn missed_between() {
    let mut weights = NamedVersions::default();
    weights.add_named_after(UNKNOWN_TIME_MS, 3);
    weights.merge(named_version(3, 1, 30_000));
    weights.merge(named_version(3, 2, 30_010));
    assert_eq!(weights.behind_since_ms(1), Some(UNKNOWN_TIME_MS));
    assert_eq!(weights.behind_since_ms(2), Some(30_000));
}
