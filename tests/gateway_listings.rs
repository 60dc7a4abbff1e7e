//! Listings and changes of a context store are read item by item: an unreadable item affects no
//! other, and no number stops a box.

#[path = "common/site.rs"]
mod common;

use common::{send_prompt, start_engines, wait_ready};
use coursestile_standins::site::engine::{Engine, MODEL};
use coursestile_standins::site::{Gateway, Site, config_document, engine_services, eventually};
use rstest::rstest;
use serde_json::{Value, json};

/// Scope of the valid parts.
const SCOPE: &str = "1.model-a";

/// A box and engines that use a prepared context store.
struct Fleet {
    gateway: Gateway,
    _engines: Vec<Engine>,
    _site: Site,
}

async fn fleet(store: &Engine) -> Fleet {
    let mut site = Site::start().await;
    let engines = start_engines(&site, 2).await;
    let mut config = config_document(7);
    config["routes"][2]["service"] = json!("llm");
    config["routes"][2]["path_prefix"] = json!("/run/");
    config["services"] = engine_services(Some(&store.address));
    site.configure(&config);
    site.set_weight_version(MODEL, 1);
    let gateway = site.gateway("north", &[]);
    wait_ready(&gateway).await;
    Fleet { gateway, _engines: engines, _site: site }
}

/// Waits until `line` has been logged `count` times.
async fn wait_logged(gateway: &Gateway, line: &str, count: usize) {
    eventually(line, async || gateway.log_text().matches(line).count() >= count).await;
}

#[rstest]
#[case(json!(null))]
#[case(json!("a part"))]
#[case(json!({ "scope": SCOPE, "part": "aa" }))]
#[case(json!([SCOPE, "aa"]))]
#[case(json!([SCOPE, 7, 100, MODEL]))]
#[case(json!([SCOPE, "aa", -1, MODEL]))]
#[case(json!([SCOPE, "aa", 1_u64 << 40, MODEL]))]
#[tokio::test]
async fn listed_beside_spoiled(#[case] item: Value) {
    let store = Engine::start().await;
    store.cache_part(SCOPE, "aa", 100);
    store.list_extra_item(item);
    let fleet = fleet(&store).await;
    wait_logged(&fleet.gateway, "parts=1 ", 1).await;
    wait_logged(&fleet.gateway, "event=items_unreadable", 1).await;
}

#[rstest]
#[case(json!(null))]
#[case(json!([7, "-", SCOPE, "aa"]))]
#[case(json!([7, "-", SCOPE, "aa", -100, MODEL]))]
#[tokio::test]
async fn listed_after_spoiled(#[case] change: Value) {
    let store = Engine::start().await;
    let fleet = fleet(&store).await;
    let listed = "event=holder_listed";
    wait_logged(&fleet.gateway, listed, 1).await;
    // The content of the unreadable change is unknown, so everything must be listed again.
    store.publish_raw_event(change);
    wait_logged(&fleet.gateway, listed, 2).await;
}

#[rstest]
#[case(f64::MAX)]
#[case(9_223_372_036_854_775_807.0)]
#[case(-1e300)]
#[tokio::test]
async fn impossible_clock(#[case] clock_ms: f64) {
    let store = Engine::start().await;
    store.set_clock(clock_ms);
    let fleet = fleet(&store).await;
    wait_logged(&fleet.gateway, "event=clock_unreadable", 1).await;
    assert_eq!(send_prompt(&fleet.gateway, "p-1").await, 200);
    assert!(!fleet.gateway.log_text().contains("panicked"), "{}", fleet.gateway.log_text());
}
