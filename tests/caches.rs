//! Compares the predicted contents of an engine's cache with a simulated cache that evicts the
//! least recently used context.

use coursestile::cache::{CacheModel, CacheUse};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(3), ..ProptestConfig::default() })]

    #[test]
    fn recency_followed(contexts in proptest::collection::vec(0..12_usize, 1..200)) {
        let mut cache = CacheModel::new(6000);
        let mut last_uses: Vec<Option<CacheUse>> = vec![None; 12];
        // At most six contexts, the most recently used one last.
        let mut cached_contexts: Vec<usize> = Vec::new();
        for context in contexts {
            let predicted = last_uses[context].is_some_and(|at| cache.contains(at));
            prop_assert_eq!(predicted, cached_contexts.contains(&context));
            last_uses[context] = Some(cache.record_use(last_uses[context], 1000));
            cached_contexts.retain(|cached| *cached != context);
            cached_contexts.push(context);
            if cached_contexts.len() > 6 {
                cached_contexts.remove(0);
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
    // A miss on context that was predicted to be cached: the cache is smaller than estimated.
    cache.adjust_size(cache.depth_tokens(first), false);
    assert!(!cache.contains(first));
    let second = cache.record_use(None, 1000);
    for _ in 0..15 {
        cache.record_use(None, 1000);
    }
    assert!(cache.contains(second));
}
