//! A box's view of the metadata store: removals that may only be due to an outage of the store, and
//! items that arrive in any order.

use coursestile::gateway::decisions::view::{CatchUp, MetadataView, Snapshot, VersionedValue};
use proptest::prelude::*;

fn value_of_revision(revision: u64) -> VersionedValue {
    VersionedValue { revision, value: revision.to_string().into_bytes() }
}

#[test]
fn removal_in_doubt() {
    let mut view = MetadataView::default();
    view.note_store_answer(0);
    view.put("u".to_owned(), value_of_revision(1));
    view.put("v".to_owned(), value_of_revision(2));
    view.note_store_failure();
    assert_eq!(view.remove(1000, "u", 3, true), None);
    assert_eq!(view.remove(1000, "v", 4, true), None);
    assert!(
        view.apply_due_removals(60_000).is_empty(),
        "nothing is removed while the store is unavailable"
    );
    view.note_store_answer(60_000);
    view.put("v".to_owned(), value_of_revision(5));
    assert!(view.apply_due_removals(61_000).is_empty());
    assert_eq!(view.apply_due_removals(62_100).len(), 1);
    assert!(view.contains_key("v") && !view.contains_key("u"));
    assert!(
        view.remove(90_000, "v", 6, true).is_some(),
        "the store has been available for a long time"
    );
}

#[test]
fn removal_after_reset() {
    let mut view = MetadataView::new(2400);
    view.note_store_answer(0);
    view.put("u".to_owned(), value_of_revision(1));
    view.put("v".to_owned(), value_of_revision(2));
    view.note_store_failure();
    view.note_store_answer(2399);
    assert!(view.remove(2400, "u", 3, true).is_some(), "no lease expires in so short a time");
    view.note_store_failure();
    view.note_store_answer(4799);
    assert_eq!(view.remove(4800, "v", 4, true), None);
    let mut view = MetadataView::new(2400);
    view.note_store_answer(0);
    view.put("u".to_owned(), value_of_revision(1));
    view.note_store_unavailable();
    view.note_store_failure();
    view.note_store_answer(100);
    assert_eq!(
        view.remove(100, "u", 3, true),
        None,
        "the store has reported that it was unavailable"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(8), ..ProptestConfig::default() })]

    /// Whatever the order of listings, changes and snapshots, the newest revision of each item is
    /// kept.
    #[test]
    fn view_only_rises(steps in prop::collection::vec((0_u8..3, 0_u8..4, 1_u64..40), 1..60)) {
        let mut view = MetadataView::default();
        view.note_store_answer(0);
        let mut newest = std::collections::BTreeMap::new();
        for (kind, key, revision) in steps {
            let key = format!("k{key}");
            let before = newest.get(&key).copied().unwrap_or(0);
            if kind == 2 {
                let at_revision = view.last_change_revision() + 1;
                let mut items = view.snapshot().items;
                items.insert(key.clone(), value_of_revision(revision));
                let snapshot = Snapshot { at_revision, last_change_revision: at_revision, items };
                view.apply_snapshot(0, snapshot, |_| true, |_| false);
            } else {
                view.put(key.clone(), value_of_revision(revision));
            }
            newest.insert(key, before.max(revision));
        }
        for (key, item) in view.snapshot().items {
            prop_assert_eq!(item.revision, newest[&key]);
        }
    }
}

/// A listing is read page by page. When an item of the first page was written after that page had
/// been read, and then an item of a later page before that one was read, the box took the revision
/// of the second write for that of everything that it knew, and its watch never reported the first.
#[test]
fn listing_in_pages() {
    let later_item = VersionedValue { revision: 12, value: b"page read later".to_vec() };
    let items = [("own/b".to_owned(), later_item)].into();
    let mut view = MetadataView::new(1000);
    view.note_store_answer(0);
    // The first page was read at revision 10, and a change of revision 11 belongs to it.
    let listing = Snapshot { at_revision: 10, last_change_revision: 10, items };
    view.apply_snapshot(0, listing, |_| true, |_| false);
    assert_eq!(view.at_revision(), 10, "the watch continues from here");
}

/// A catch-up from a peer is complete up to the revision of the peer's view, whatever the revisions
/// of its items. Otherwise the watch would skip a change that neither box had.
#[test]
fn since_is_complete() {
    let mut view = MetadataView::new(1000);
    view.note_store_answer(0);
    view.put("own/a".to_owned(), value_of_revision(10));
    let items = [("own/b".to_owned(), value_of_revision(14))].into();
    let snapshot = Snapshot { at_revision: 12, last_change_revision: 14, items };
    view.apply_catch_up(0, CatchUp::Delta { changed: snapshot, removed: Vec::new() }, |_| true);
    assert_eq!(view.at_revision(), 12, "the watch continues from here");
}
