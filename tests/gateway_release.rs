//! The context of old weights is freed from stores as soon as no box can have it read any more,
//! even if engines still have those weights, and not before.

#[path = "common/site.rs"]
mod common;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use common::{start_engines, wait_ready};
use coursestile::gateway::decisions::context::OLD_CONTEXT_READ_MS;
use coursestile::gateway::decisions::peers::MAX_ABSENCE_MS;
use coursestile::gateway::decisions::release::{
    ContextRelease, KnownBoxes, MAX_TRANSFER_MS, OutdatedEngines,
};
use coursestile_standins::site::engine::{Engine, MODEL};
use coursestile_standins::site::{Site, config_document, engine_services, eventually};

fn address(last: u8) -> IpAddr {
    Ipv4Addr::new(10, 0, 0, last).into()
}

fn boxes(count: u8) -> KnownBoxes {
    let mut boxes = KnownBoxes::default();
    boxes.note(0, (1..=count).map(address));
    boxes
}

#[test]
fn all_must_know() {
    let boxes = boxes(3);
    let mut release = ContextRelease::new("m", 2, 40, &boxes);
    release.note_informed(100, |ip| ip != address(3));
    assert!(
        !release.is_safe(1_000_000),
        "a box that has not confirmed the version may still have old context read"
    );
    release.note_informed(5000, |ip| ip == address(3));
    let safe_at_ms = 5000 + OLD_CONTEXT_READ_MS + MAX_TRANSFER_MS;
    assert!(!release.is_safe(safe_at_ms - 1));
    assert!(release.is_safe(safe_at_ms));
}

#[test]
fn vanished_box_counts() {
    let mut boxes = boxes(2);
    boxes.note(60_000, [address(1)]);
    let mut release = ContextRelease::new("m", 2, 40, &boxes);
    release.note_informed(61_000, |ip| ip == address(1));
    assert!(!release.is_safe(1_000_000), "the box was known a minute before");
    boxes.note(700_000, [address(1)]);
    let mut release = ContextRelease::new("m", 3, 41, &boxes);
    release.note_informed(701_000, |ip| ip == address(1));
    assert!(release.is_safe(710_000), "the box has been silent for ten minutes");
}

/// A leader that has just taken over did not count boxes that it had forgotten before.
#[test]
fn absent_box_counts() {
    let mut boxes = boxes(1);
    boxes.note_absent([(address(2), 20_000)]);
    boxes.note(60_000, [address(1)]);
    let mut release = ContextRelease::new("m", 2, 40, &boxes);
    release.note_informed(61_000, |ip| ip == address(1));
    assert!(!release.is_safe(100_000));
}

fn engine(last: u8) -> SocketAddr {
    SocketAddr::new(address(last), 80)
}

/// An engine whose entry had gone was taken for one that does not run.
#[test]
fn unlisted_engine_counts() {
    let mut engines = OutdatedEngines::default();
    assert!(!engines.note(0, [engine(1), engine(2)], []));
    assert!(!engines.note(1000, [], [engine(2)]), "engine 1 may still run");
    assert!(!engines.note(2000, [engine(1)], [engine(2)]));
    assert!(engines.note(3000, [], [engine(1), engine(2)]));
    assert!(engines.note(4000, [], []), "both had the newest weights");
}

/// Context must not stay for ever because of an engine that has crashed.
#[test]
fn ended_engine() {
    let mut engines = OutdatedEngines::default();
    assert!(!engines.note(0, [engine(1), engine(2)], []));
    assert!(!engines.note(1000, [], [engine(1)]), "engine 2 may still run");
    assert!(!engines.note(MAX_ABSENCE_MS - 1, [], []));
    assert!(engines.note(MAX_ABSENCE_MS, [], []));
}

/// One engine takes no orders and keeps its old weights. The context of these weights was not freed
/// then, and kept the stores full.
#[tokio::test]
async fn freed_beside_old_engine() {
    let mut site = Site::start().await;
    let store = Engine::start().await;
    let engines = start_engines(&site, 3).await;
    engines[0].refuse_orders();
    let mut config = config_document(7);
    config["services"] = engine_services(Some(&store.address));
    site.configure(&config);
    site.set_weight_version(MODEL, 1);
    let first = site.gateway("north", &[]);
    let second = site.gateway("north", &[&first]);
    wait_ready(&first).await;
    wait_ready(&second).await;
    store.cache_part("1.model-a", "aa", 100);
    store.cache_part("2.model-a", "aa", 100);
    site.set_weight_version(MODEL, 2);
    eventually("old parts are freed", async || !store.freed_parts().is_empty()).await;
    assert_eq!(engines[0].version(), 1);
    assert_eq!(store.freed_parts(), [("1.model-a".to_owned(), "aa".to_owned())]);
}
