//! What boxes know of the contents of context stores, and which store a part is saved to.

use std::net::SocketAddr;

use coursestile::gateway::decisions::cache_contents::{CacheContents, CacheUpdate, PartKey};
use coursestile::gateway::decisions::cache_reports::{
    CacheChange, CacheChanges, CacheListing, CachedPart,
};
use coursestile::gateway::decisions::configuration::Store;
use coursestile::gateway::decisions::regions::AllowedHalls;
use coursestile::gateway::decisions::stores::{Placement, Stores};
use proptest::prelude::*;

const SCOPE: &str = "1.m";

fn key(part: u16) -> PartKey {
    PartKey::new(SCOPE, &part.to_string())
}

fn change(part: u16, tokens: u32) -> CacheChange {
    CacheChange { part: CachedPart { scope: SCOPE.to_owned(), part_id: part.to_string() }, tokens }
}

fn changes(boot_epoch: u64, changes: Vec<CacheChange>) -> CacheChanges {
    CacheChanges {
        boot_epoch,
        next_position: 0,
        gap: false,
        changes,
        clock_ms: None,
        started_at_ms: None,
    }
}

fn listing(boot_epoch: u64) -> CacheListing {
    CacheListing { boot_epoch, next_position: 0, complete: Vec::new(), partial: Vec::new() }
}

#[derive(Clone, Debug)]
enum Step {
    Change { part: u16, tokens: u32 },
    Restart,
    MarkUnknown,
    List,
    Update,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (0..40_u16, 0..3_u32).prop_map(|(part, tokens)| Step::Change { part, tokens }),
        1 => Just(Step::Restart),
        1 => Just(Step::MarkUnknown),
        1 => Just(Step::List),
        3 => Just(Step::Update),
    ];
    prop::collection::vec(step, 1..80)
}

/// A box that gets updates from a publisher now and then.
#[derive(Default)]
struct Subscriber {
    contents: CacheContents,
    position: Option<u64>,
}

impl Subscriber {
    fn update_from(&mut self, publisher: &CacheContents) {
        let (update, next) = publisher.update_since(self.position);
        self.position = Some(next);
        if let Some(update) = update {
            self.contents.apply_update(update);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..ProptestConfig::default() })]

    #[test]
    fn beliefs_alike(steps in steps()) {
        let (mut publisher, mut subscriber) = (CacheContents::with_log(), Subscriber::default());
        let mut boot_epoch = 1;
        for step in steps {
            match step {
                Step::Change { part, tokens } => {
                    publisher.apply_changes(&changes(boot_epoch, vec![change(part, tokens)]));
                }
                Step::Restart => boot_epoch += 1,
                Step::MarkUnknown => publisher.mark_unknown(),
                Step::List => publisher.apply_listing(&listing(boot_epoch)),
                Step::Update => subscriber.update_from(&publisher),
            }
        }
        subscriber.update_from(&publisher);
        prop_assert_eq!(subscriber.contents.is_known(), publisher.is_known());
        prop_assert_eq!(subscriber.contents.total_tokens(), publisher.total_tokens());
        for part in 0..40 {
            prop_assert_eq!(subscriber.contents.tokens(key(part)), publisher.tokens(key(part)));
        }
    }
}

#[test]
fn known_again() {
    let (mut publisher, mut subscriber) = (CacheContents::with_log(), Subscriber::default());
    subscriber.update_from(&publisher);
    publisher.apply_changes(&changes(1, Vec::new()));
    subscriber.update_from(&publisher);
    assert!(subscriber.contents.is_known(), "the store is known to be empty");
}

#[test]
fn many_changes() {
    let mut publisher = CacheContents::with_log();
    publisher.apply_listing(&listing(1));
    let (_, position) = publisher.update_since(None);
    for part in 0..5000 {
        publisher.apply_changes(&changes(1, vec![change(part, 1)]));
    }
    let (update, _) = publisher.update_since(Some(position));
    assert!(
        matches!(update, Some(CacheUpdate::Full(all)) if all.len() == 5000),
        "more changes than the log keeps"
    );
}

fn store(name: &str, capacity_tokens: u64) -> Store {
    Store {
        name: name.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        hall: "north".to_owned(),
        capacity_tokens,
        link_mbps: 100_000.0,
        transfer_setup_ms: 1.0,
        managed: true,
    }
}

fn known_stores() -> Stores {
    let mut stores = Stores::default();
    stores.configure(&[store("a", 3_000_000), store("b", 1_000_000)]);
    stores.iter_mut().for_each(|(_, state)| state.contents.apply_listing(&listing(1)));
    stores
}

const NEAR_NORTH: Placement<'_> = Placement::RendezvousHash { hall: "north" };

/// Saves of all halls went to all stores by their size: five in six crossed halls, which takes the
/// links twice the time, and half of the saves came too late.
#[test]
fn saved_in_hall() {
    let mut stores = Stores::default();
    let south = |name| Store { hall: "south".to_owned(), ..store(name, 9_000_000) };
    stores.configure(&[store("a", 30_000), store("b", 10_000), south("c"), south("d")]);
    stores.iter_mut().for_each(|(_, state)| state.contents.apply_listing(&listing(1)));
    let mut in_hall = 0;
    for part in 0..1000 {
        let save_to = stores.store_for_save(0, key(part), 100, NEAR_NORTH, AllowedHalls::ALL);
        let store = save_to.expect("some store has room").name.clone();
        in_hall += usize::from(store == "a" || store == "b");
        stores.get_mut(&store).unwrap().1.contents.set_tokens(key(part), 100);
    }
    assert!(in_hall >= 380, "the hall's stores are filled first: {in_hall}");
    assert!(in_hall < 400, "then those of other halls are used");
}

#[test]
fn homes_by_size() {
    let (first, second) = (known_stores(), known_stores());
    let assigned_store = |stores: &Stores, part| {
        stores
            .store_for_save(0, key(part), 100, NEAR_NORTH, AllowedHalls::ALL)
            .map(|store| store.name.clone())
    };
    assert!(
        (0..400).all(|part| assigned_store(&first, part) == assigned_store(&second, part)),
        "all boxes choose the same store"
    );
    let on_larger_store =
        (0..400).filter(|part| assigned_store(&first, *part).as_deref() == Some("a")).count();
    assert!(
        (270..330).contains(&on_larger_store),
        "expected three in four on the larger store: {on_larger_store}"
    );
}

#[test]
fn unknown_avoided() {
    let mut stores = known_stores();
    let part = key(7);
    stores.get_mut("a").unwrap().1.contents.set_tokens(part, 100);
    assert_eq!(stores.with_complete_copy(0, part, 100).count(), 1);
    assert_eq!(
        stores.with_complete_copy(0, part, 101).count(),
        0,
        "the store has 100 of 101 tokens"
    );
    // A store that failed may come back empty, so that the part has to be saved again.
    stores.get_mut("a").unwrap().1.contents.mark_unknown();
    assert_eq!(stores.with_complete_copy(0, part, 100).count(), 0);
    let placement = Placement::FastestLink { hall: "north" };
    let target = stores.store_for_save(0, part, 100, placement, AllowedHalls::ALL);
    assert_eq!(target.map(|store| store.name.as_str()), Some("b"));
}
