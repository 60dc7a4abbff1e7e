//! The context of old weights is freed from stores as soon as no box can have it read any more,
//! even if engines still have those weights, and not before.

#[path = "common/site.rs"]
mod common;

use std::net::{IpAddr, Ipv4Addr};

use common::{start_engines, wait_ready};
use coursestile::gateway::decisions::cache_contents::PartKey;
use coursestile::gateway::decisions::context::{
    OLD_CONTEXT_READ_MS, OLD_CONTEXT_SLICES, OLD_TRANSFER_TIMEOUT_MS, TRANSFER_TIMEOUT_MS,
    old_context_slice, old_slice_read_ms, scope,
};
use coursestile::gateway::decisions::release::{ContextRelease, KnownBoxes, MAX_TRANSFER_MS};
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
    let last_read_at_ms = 5000 + OLD_CONTEXT_READ_MS + OLD_TRANSFER_TIMEOUT_MS;
    assert!(!release.is_safe(last_read_at_ms));
    assert!(release.is_safe(5000 + OLD_CONTEXT_READ_MS + MAX_TRANSFER_MS));
}

/// Engines load a new version within some four seconds, and the stores are full of the context of
/// the old one. Nothing could be saved for 7.1 s, so that each prompt was computed again whenever it
/// came back.
#[test]
fn room_grows() {
    let mut release = ContextRelease::new("m", 2, 40, &boxes(3));
    release.note_informed(500, |_| true);
    let parts: Vec<PartKey> =
        (0..1000).map(|part| PartKey::new(&scope("m", 1, None), &part.to_string())).collect();
    let freed =
        |now_ms: u64| parts.iter().filter(|part| release.is_unread(now_ms, "m", 1, **part)).count();
    assert_eq!(freed(3000), 0);
    assert!(freed(3600) > 200, "{}", freed(3600));
    assert!(freed(5000) > 450, "{}", freed(5000));
    assert_eq!(freed(500 + OLD_CONTEXT_READ_MS + 1500), 1000);
    assert!(!release.is_unread(60_000, "m", 2, parts[0]), "context of the new version");
    assert!(!release.is_unread(60_000, "n", 1, parts[0]), "another model");
}

/// A slice is not freed while a box may still have it read: one that learned of the version last, and
/// chose the source just before it would have stopped to.
#[test]
fn slices_unread() {
    let informed_at_ms = 5000;
    let mut release = ContextRelease::new("m", 2, 40, &boxes(3));
    release.note_informed(informed_at_ms, |_| true);
    for part in (0..200).map(|part| PartKey::new(&scope("m", 1, None), &part.to_string())) {
        let slice = old_context_slice(part);
        assert!(slice < OLD_CONTEXT_SLICES);
        let read_until_ms = informed_at_ms + old_slice_read_ms(slice) + OLD_TRANSFER_TIMEOUT_MS;
        let read_before_ms = informed_at_ms + TRANSFER_TIMEOUT_MS;
        let last_read_ms = read_until_ms.max(read_before_ms);
        assert!(!release.is_unread(last_read_ms + 500, "m", 1, part), "clocks differ");
    }
    assert!(release.has_more_safe_slices(8000));
    assert!(!release.has_more_safe_slices(8000));
    assert!(release.has_more_safe_slices(20_000));
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
