//! What a box believes of items that vanish, or are told in any order.

use coursestile::gateway::decisions::view::{CatchUp, Snapshot, View, Written};
use proptest::prelude::*;

fn written(revision: u64) -> Written {
    Written { revision, value: revision.to_string().into_bytes() }
}

#[test]
fn removal_in_doubt() {
    let mut view = View::default();
    view.store_answered(0);
    view.put("u".to_owned(), written(1));
    view.put("v".to_owned(), written(2));
    view.store_failed();
    assert_eq!(view.remove(1000, "u", 3, true), None);
    assert_eq!(view.remove(1000, "v", 4, true), None);
    assert!(view.tick(60_000).is_empty(), "nothing goes while the store is away");
    view.store_answered(60_000);
    view.put("v".to_owned(), written(5));
    assert!(view.tick(61_000).is_empty());
    assert_eq!(view.tick(62_100).len(), 1);
    assert!(view.has("v") && !view.has("u"));
    assert!(view.remove(90_000, "v", 6, true).is_some(), "the trouble is long over");
}

#[test]
fn removal_after_reset() {
    let mut view = View::new(2400);
    view.store_answered(0);
    view.put("u".to_owned(), written(1));
    view.put("v".to_owned(), written(2));
    view.store_failed();
    view.store_answered(2399);
    assert!(view.remove(2400, "u", 3, true).is_some(), "nothing lapses in so short a time");
    view.store_failed();
    view.store_answered(4799);
    assert_eq!(view.remove(4800, "v", 4, true), None);
    let mut view = View::new(2400);
    view.store_answered(0);
    view.put("u".to_owned(), written(1));
    view.store_unable();
    view.store_failed();
    view.store_answered(100);
    assert_eq!(view.remove(100, "u", 3, true), None, "the store has said that it was away");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(8), ..ProptestConfig::default() })]

    /// Whatever the order of listings, changes and snapshots, the newest
    /// revision of each item stays.
    #[test]
    fn view_only_rises(steps in prop::collection::vec((0_u8..3, 0_u8..4, 1_u64..40), 1..60)) {
        let mut view = View::default();
        view.store_answered(0);
        let mut newest = std::collections::BTreeMap::new();
        for (kind, key, revision) in steps {
            let key = format!("k{key}");
            let before = newest.get(&key).copied().unwrap_or(0);
            if kind == 2 {
                let at_revision = view.changed_revision() + 1;
                let mut items = view.snapshot().items;
                items.insert(key.clone(), written(revision));
                let snapshot = Snapshot { at_revision, changed_revision: at_revision, items };
                view.replace(0, snapshot, |_| true, |_| false);
            } else {
                view.put(key.clone(), written(revision));
            }
            newest.insert(key, before.max(revision));
        }
        for (key, item) in view.snapshot().items {
            prop_assert_eq!(item.revision, newest[&key]);
        }
    }
}

/// A listing is read page by page. When something was written to a first page after it was
/// read, and something to a later one before that was, the box took the later one's revision
/// for all that it knew, and its watch never told it of the first.
#[test]
fn listing_in_pages() {
    let written = Written { revision: 12, value: b"page read later".to_vec() };
    let items = [("own/b".to_owned(), written)].into();
    let mut view = View::new(1000);
    view.store_answered(0);
    // The first page was read as of revision 10, and a change of revision 11 belongs to it.
    let listing = Snapshot { at_revision: 10, changed_revision: 10, items };
    view.replace(0, listing, |_| true, |_| false);
    assert_eq!(view.at_revision(), 10, "the watch goes on from here");
}

/// What a peer tells of changes since is complete up to what the peer knows, whatever the
/// items' own revisions: else the watch would pass over a change that neither had.
#[test]
fn since_is_complete() {
    let mut view = View::new(1000);
    view.store_answered(0);
    view.put("own/a".to_owned(), written(10));
    let items = [("own/b".to_owned(), written(14))].into();
    let told = Snapshot { at_revision: 12, changed_revision: 14, items };
    view.take(0, CatchUp::Since { written: told, removed: Vec::new() }, |_| true);
    assert_eq!(view.at_revision(), 12, "the watch goes on from here");
}
