//! Malformed entries of upstreams: such an entry counts as no upstream and removes the one that its
//! key held before, and other entries stay in force. No parser of foreign data panics.

#[path = "common/site.rs"]
mod common;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use common::{GatewayFixture, is_ready, start_fixture, wait_ready};
use coursestile::gateway::decisions::cache_contents::CacheContents;
use coursestile::platform::{caches, engine, keys};
use coursestile_standins::site::{Site, config_document, eventually, service_entry};
use proptest::prelude::*;
use rstest::rstest;
use serde_json::{Value, json};

/// How an entry differs from what an upstream writes of itself.
#[derive(Clone, Copy, Debug)]
enum Flaw {
    /// The value is not UTF-8.
    NoText,
    /// The value is not a JSON object.
    NoEntry,
    /// A field is missing.
    Missing(&'static str),
    /// A field has a value of another type.
    OtherType(&'static str),
    /// A field has a number that is too large.
    TooLarge(&'static str),
    /// The state is an unknown one.
    OtherState,
    /// A field is there twice.
    Twice,
    /// The start time is a string.
    BornAsText,
    /// The start time is negative.
    NegativeBorn,
    /// The store returns a value that is not valid Base64.
    Spoiled,
}

/// Writes a flawed entry under the id of an upstream.
fn write_flawed(fixture: &GatewayFixture, server: usize, flaw: Flaw) {
    let server = &fixture.servers[server];
    let key = format!("servers/{}", server.id);
    let mut entry = service_entry("plain", &server.address, "ready");
    let metadata = &fixture.site.metadata;
    match flaw {
        Flaw::NoText => return metadata.put(&key, &[0xff, 0x00, 0xfe], 0),
        Flaw::NoEntry => return metadata.put(&key, b"[1, 2]", 0),
        Flaw::Spoiled => return metadata.put_undecodable(&key),
        Flaw::Twice => {
            let text = entry.to_string().replacen('{', "{\"slots\":9,", 1);
            return metadata.put(&key, text.as_bytes(), 0);
        }
        Flaw::Missing(field) => {
            entry.as_object_mut().unwrap().remove(field);
        }
        Flaw::OtherType(field) => entry[field] = json!({ "of": "another type" }),
        Flaw::TooLarge(field) => entry[field] = json!(1_u64 << 40),
        Flaw::OtherState => entry["state"] = json!("asleep"),
        Flaw::BornAsText => entry["born"] = json!("1790000000000"),
        Flaw::NegativeBorn => entry["born"] = json!(-1),
    }
    metadata.put(&key, entry.to_string().as_bytes(), 0);
}

/// Sends requests, which must all be answered, and only by the upstreams with indexes in `serving`.
async fn assert_served_by(fixture: &GatewayFixture, serving: &[usize]) {
    for number in 0..8 {
        let id = format!("q-{number}");
        assert_eq!(fixture.send("GET", "/safe/", &id).await.status(), 200);
        let server = fixture.servers.iter().position(|server| server.count(&id) > 0);
        assert!(serving.contains(&server.expect("it ran")), "{server:?}");
    }
}

#[rstest]
#[case(Flaw::NoText)]
#[case(Flaw::NoEntry)]
#[case(Flaw::Missing("service"))]
#[case(Flaw::Missing("addr"))]
#[case(Flaw::Missing("slots"))]
#[case(Flaw::Missing("state"))]
#[case(Flaw::Missing("seq"))]
#[case(Flaw::OtherType("zone"))]
#[case(Flaw::OtherType("version"))]
#[case(Flaw::OtherType("cold_left_ms"))]
#[case(Flaw::OtherType("models"))]
#[case(Flaw::TooLarge("slots"))]
#[case(Flaw::OtherState)]
#[case(Flaw::Twice)]
#[case(Flaw::BornAsText)]
#[case(Flaw::NegativeBorn)]
#[case(Flaw::Spoiled)]
#[tokio::test]
async fn taken_out(#[case] flaw: Flaw) {
    let fixture = start_fixture(2).await;
    write_flawed(&fixture, 0, flaw);
    eventually("the unreadable entry is logged", async || {
        fixture.gateway.log_text().contains("upstream_unreadable")
    })
    .await;
    assert_served_by(&fixture, &[1]).await;
    assert!(is_ready(&fixture.gateway).await);
}

#[rstest]
#[case(Flaw::NoText)]
#[case(Flaw::Spoiled)]
#[tokio::test]
async fn listed_beside_others(#[case] flaw: Flaw) {
    let mut fixture = start_fixture(2).await;
    write_flawed(&fixture, 0, flaw);
    let gateway = fixture.site.gateway("north", &[]);
    common::wait_ready(&gateway).await;
    fixture.gateway = gateway;
    assert_served_by(&fixture, &[1]).await;
}

#[tokio::test]
async fn back_when_readable() {
    let fixture = start_fixture(1).await;
    write_flawed(&fixture, 0, Flaw::NoText);
    eventually("the unreadable entry is logged", async || {
        fixture.gateway.log_text().contains("upstream_unreadable")
    })
    .await;
    assert_eq!(fixture.send("GET", "/safe/", "r-1").await.status(), 503);
    let server = &fixture.servers[0];
    fixture.site.register(&server.id, &service_entry("plain", &server.address, "ready"));
    eventually("the upstream serves again", async || {
        fixture.send("GET", "/safe/", "r-2").await.status() == 200
    })
    .await;
}

#[tokio::test]
async fn said_once() {
    let fixture = start_fixture(2).await;
    write_flawed(&fixture, 0, Flaw::NoText);
    eventually("the unreadable entry is logged", async || {
        fixture.gateway.log_text().contains("upstream_unreadable")
    })
    .await;
    write_flawed(&fixture, 0, Flaw::NoText);
    let leaving: Value = service_entry("plain", &fixture.servers[1].address, "draining");
    fixture.site.register("s-1", &leaving);
    eventually("a later change is known", async || {
        fixture.gateway.log_text().contains("leaving=true")
    })
    .await;
    assert_eq!(fixture.gateway.log_text().matches("upstream_unreadable").count(), 1);
}

/// Cache events, a cache listing and an engine's report, as stores and engines write them.
fn valid_messages() -> [String; 3] {
    let change = json!([4, "+", "1.m", "aa", 100, "m"]);
    let events = json!({ "boot_epoch": 7, "next_token": 9, "lost": false, "events": [change],
        "clock_ms": 1_790_000_000_000.5, "born": 1_790_000_000_000_u64 });
    let list = json!({ "boot_epoch": 7, "next_token": 9, "held": [["1.m", "aa", 100, "m"]],
        "partial": [["1.m", "bb", 16, 500]] });
    let report = json!({ "busy": true, "seq": 3, "born": 1_790_000_000_000_u64,
        "models": [{ "name": "m", "version": 2 }] });
    [events, list, report].map(|message| message.to_string())
}

/// Address of the store or engine that sent a message.
const CACHE_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 80);

/// Applies whatever can be parsed to a box's knowledge of a cache: no number in it may cause a
/// panic.
fn parse_and_apply(text: &[u8]) {
    let mut contents = CacheContents::with_log();
    if let Ok(changes) = caches::read_changes(CACHE_ADDRESS, text) {
        contents.apply_changes(&changes);
    }
    if let Ok(listing) = caches::read_listing(CACHE_ADDRESS, text) {
        contents.apply_listing(&listing);
    }
    // Only panics matter here, not the result.
    let _ = engine::read_report(text);
}

/// A valid entry in which the value of one field is copied to another.
fn mixed_entry(from: usize, to: usize) -> Vec<u8> {
    let mut entry = service_entry("plain", "10.0.0.1:80", "ready");
    let fields: Vec<String> = entry.as_object().unwrap().keys().cloned().collect();
    let value = entry[&fields[from % fields.len()]].clone();
    entry[&fields[to % fields.len()]] = value;
    entry.to_string().into_bytes()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(21), ..ProptestConfig::default() })]

    #[test]
    fn readers_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        // Only panics matter here, not the results.
        let _ = keys::read_upstream("u", &bytes);
        let _ = keys::read_configuration(&bytes);
        let _ = keys::read_weights("m", &bytes);
        parse_and_apply(&bytes);
    }

    #[test]
    fn told_with_flaws(message_index in 0_usize..3, at in 0_usize..200, bytes in "[0-9eE.,\\[\\]\"{}a-]{0,24}", cut in 0_usize..4) {
        let mut text = valid_messages()[message_index].clone().into_bytes();
        let at = at % text.len();
        let end = (at + cut).min(text.len());
        text.splice(at..end, bytes.into_bytes());
        parse_and_apply(&text);
    }

    #[test]
    fn cut_or_mixed(from in 0_usize..8, to in 0_usize..8, cut in 0_usize..400) {
        let mixed = mixed_entry(from, to);
        let cut = &mixed[..cut.min(mixed.len() - 1)];
        prop_assert!(keys::read_upstream("u", cut).is_err());
        // Fields of one type can be swapped, so that the entry may still be valid; it must not
        // panic.
        let _ = keys::read_upstream("u", &mixed);
    }
}

/// Each box of a fleet logged each of thousands of upstreams when it started.
#[tokio::test]
async fn many_entries() {
    let mut site = Site::start().await;
    for number in 0..1000 {
        let entry = service_entry("plain", &format!("127.0.0.1:{}", 20_000 + number), "ready");
        site.register(&format!("m-{number}"), &entry);
    }
    site.configure(&config_document(7));
    let gateway = site.gateway("north", &[]);
    wait_ready(&gateway).await;
    eventually("the entries are logged", async || {
        gateway.log_text().contains("event=many_changes count=")
    })
    .await;
    site.register("late", &service_entry("plain", "127.0.0.1:19999", "ready"));
    eventually("a single entry is logged", async || {
        gateway.log_text().contains("event=upstream_seen upstream=late")
    })
    .await;
    // The stand-ins' boxes log at debug, where each entry still has its line.
    let text = gateway.log_text();
    let lines = text.lines().filter(|line| !line.contains(" DEBUG ")).count();
    assert!(lines <= 50, "{lines} lines for 1000 entries");
}
