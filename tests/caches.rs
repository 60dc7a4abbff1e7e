//! The model of an engine's cache against a cache that forgets by recency.

use coursestile::cache::{CacheModel, CacheUse};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(3), ..ProptestConfig::default() })]

    #[test]
    fn recency_followed(books in proptest::collection::vec(0..12_usize, 1..200)) {
        let mut cache = CacheModel::new(6000);
        let mut uses: Vec<Option<CacheUse>> = vec![None; 12];
        // Newest last, six at most.
        let mut truth: Vec<usize> = Vec::new();
        for book in books {
            let believed = uses[book].is_some_and(|at| cache.contains(at));
            prop_assert_eq!(believed, truth.contains(&book));
            uses[book] = Some(cache.record_use(uses[book], 1000));
            truth.retain(|other| *other != book);
            truth.push(book);
            if truth.len() > 6 {
                truth.remove(0);
            }
        }
    }
}

#[test]
fn size_learned() {
    let mut cache = CacheModel::new(60_000);
    let first = cache.record_use(None, 1000);
    for _ in 0..20 {
        cache.record_use(None, 1000);
    }
    assert!(cache.contains(first));
    // It was not there: the cache is smaller than believed.
    cache.adjust_size(cache.depth_tokens(first), false);
    assert!(!cache.contains(first));
    let second = cache.record_use(None, 1000);
    for _ in 0..15 {
        cache.record_use(None, 1000);
    }
    assert!(cache.contains(second));
}
