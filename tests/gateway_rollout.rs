//! Which engines get new weights next, and how many at once.

use coursestile::gateway::decisions::rollout::{Candidate, at_once, next};

#[test]
fn oldest_weights_first() {
    let candidate = |id: &str, version, requests| Candidate {
        id: id.to_owned(),
        version,
        left_ms: 10_000,
        under_way: false,
        may_be_ordered: true,
        failed_orders: 0,
        requests,
        doubtful: false,
    };
    let all = [candidate("a", 2, 0), candidate("b", 1, 9), candidate("c", 3, 0)];
    assert_eq!(next(&all, 3), ["b", "a"]);
    assert_eq!(at_once(&behind(18, 10_000), 2), 3);
    assert_eq!(at_once(&behind(18, 3000), 2), 9, "a hurry, up to half of them");
    assert_eq!(at_once(&behind(60, 10_000), 2), 12);
}

/// Engines with version 1 that must have a newer one in `left_ms`.
fn behind(count: usize, left_ms: u64) -> Vec<Candidate> {
    let engine = |number| Candidate {
        id: format!("e-{number}"),
        version: 1,
        left_ms,
        under_way: false,
        may_be_ordered: true,
        failed_orders: 0,
        requests: 0,
        doubtful: false,
    };
    (0..count).map(engine).collect()
}

#[test]
fn hurry_for_oldest() {
    let mut engines = behind(6, 4400);
    let mut newer = behind(12, 8400);
    for one in &mut newer {
        one.version = 2;
    }
    engines.extend(newer);
    // Six have three rounds, all have six.
    assert_eq!(at_once(&engines, 3), 3);
    let dark = behind(9, 0).into_iter().map(|one| Candidate { doubtful: true, ..one });
    engines.extend(dark);
    assert_eq!(at_once(&engines, 3), 5, "27 / 5; the dark ones hurry nobody");
}

#[test]
fn small_pool_serves() {
    for (count, expected) in [(1, 1), (2, 1), (3, 2), (4, 3), (6, 3), (9, 3), (18, 4)] {
        assert_eq!(next(&behind(count, 10_000), 2).len(), expected, "of {count}");
    }
    assert_eq!(next(&behind(4, 0), 2).len(), 3, "one serves, also in a hurry");
}
