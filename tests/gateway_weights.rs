//! Newly named weights reach every engine, by orders of one box at a time. Context of old weights
//! is never used with new ones, and is freed.

#[path = "common/site.rs"]
mod common;

use std::time::Duration;

use common::{start_engines, wait_ready};
use coursestile_standins::site::client::{Client, request};
use coursestile_standins::site::engine::{Engine, MODEL, Run};
use coursestile_standins::site::http::Message;
use coursestile_standins::site::metadata::StoreFault;
use coursestile_standins::site::{
    Gateway, Site, config_document, engine_entry, engine_services, eventually,
};
use serde_json::json;
use tokio::task::JoinHandle;
use tokio::time::sleep;

const OLD_SCOPE: &str = "1.model-a";
const NEW_SCOPE: &str = "2.model-a";

struct Fleet {
    gateways: Vec<Gateway>,
    engines: Vec<Engine>,
    store: Engine,
    site: Site,
}

async fn fleet(gateways: usize) -> Fleet {
    let mut fleet = fleet_without_gateways().await;
    for _ in 0..gateways {
        let metadata_address = fleet.site.metadata.address.clone();
        fleet.add_gateway(&metadata_address).await;
    }
    fleet
}

/// A fleet that has no gateway yet.
async fn fleet_without_gateways() -> Fleet {
    fleet_on_site(Site::start().await).await
}

async fn fleet_on_site(site: Site) -> Fleet {
    let store = Engine::start().await;
    let engines = start_engines(&site, 4).await;
    let mut config = config_document(7);
    config["routes"][2]["service"] = json!("llm");
    config["routes"][2]["path_prefix"] = json!("/run/");
    config["routes"][3]["service"] = json!("llm");
    config["routes"][3]["timeout_ms"] = json!(20_000);
    config["services"] = engine_services(Some(&store.address));
    site.configure(&config);
    site.set_weight_version(MODEL, 1);
    Fleet { gateways: Vec::new(), engines, store, site }
}

impl Fleet {
    async fn add_gateway(&mut self, metadata_address: &str) {
        let seeds: Vec<&Gateway> = self.gateways.iter().collect();
        let gateway = self.site.gateway_at("north", &seeds, metadata_address);
        wait_ready(&gateway).await;
        self.gateways.push(gateway);
    }

    async fn wait_version(&self, version: u64) {
        eventually("all engines have the version", async || {
            self.engines.iter().all(|engine| engine.version() == version)
        })
        .await;
    }

    async fn wait_logged(&self, text: &str) {
        eventually(text, async || {
            self.gateways.iter().any(|gateway| gateway.log_text().contains(text))
        })
        .await;
    }

    async fn prompt(&self, id: &str) -> u16 {
        common::send_prompt(&self.gateways[0], id).await
    }

    /// Number of times that the request `id` has arrived at engines.
    fn run_count(&self, id: &str) -> usize {
        let runs = self.engines.iter().flat_map(Engine::runs);
        runs.filter(|run| run.headers.get("x-request-id").is_some_and(|value| value == id)).count()
    }

    /// Headers of the request `id` as the first engine got it.
    fn run(&self, id: &str) -> std::collections::BTreeMap<String, String> {
        let runs = self.engines.iter().flat_map(Engine::runs);
        let mut found =
            runs.filter(|run| run.headers.get("x-request-id").is_some_and(|value| value == id));
        found.next().expect("it has run").headers
    }
}

#[tokio::test]
async fn one_holder() {
    let fleet = fleet(3).await;
    fleet.wait_logged("event=leadership_taken").await;
    fleet.site.set_weight_version(MODEL, 2);
    fleet.wait_version(2).await;
    fleet.site.set_weight_version(MODEL, 3);
    fleet.site.set_weight_version(MODEL, 5);
    fleet.wait_version(5).await;
    let orders: Vec<_> = fleet.engines.iter().flat_map(Engine::orders).collect();
    assert!(orders.iter().all(|order| order.leader == orders[0].leader));
    assert!(orders.iter().all(|order| order.fence == orders[0].fence && order.expected.is_some()));
}

#[tokio::test]
async fn holder_replaced() {
    let mut fleet = fleet(3).await;
    fleet.wait_logged("event=leadership_taken").await;
    fleet.site.set_weight_version(MODEL, 2);
    fleet.wait_version(2).await;
    let leader_index = fleet
        .gateways
        .iter()
        .position(|gateway| gateway.log_text().contains("event=leadership_taken"));
    let killed_leader = fleet.gateways.remove(leader_index.expect("a leader"));
    killed_leader.signal("-KILL");
    drop(killed_leader);
    fleet.site.set_weight_version(MODEL, 3);
    fleet.wait_version(3).await;
    for engine in &fleet.engines {
        let fences: Vec<u64> = engine.orders().iter().map(|order| order.fence).collect();
        assert!(fences.is_sorted());
        assert_ne!(fences.first(), fences.last());
    }
}

#[tokio::test]
async fn holder_turned_away() {
    let mut fleet = fleet_without_gateways().await;
    let store_access = fleet.site.metadata.open_endpoint().await;
    fleet.add_gateway(&store_access.address).await;
    fleet.wait_logged("event=leadership_taken").await;
    let metadata_address = fleet.site.metadata.address.clone();
    fleet.add_gateway(&metadata_address).await;
    fleet.add_gateway(&metadata_address).await;
    store_access.refuse_calls();
    fleet.wait_logged("event=renewed_through_peer renewed=true").await;
    fleet.site.set_weight_version(MODEL, 2);
    fleet.wait_version(2).await;
    let orders: Vec<_> = fleet.engines.iter().flat_map(Engine::orders).collect();
    assert!(orders.iter().all(|order| order.fence == orders[0].fence));
    assert!(!fleet.gateways[0].log_text().contains("event=leadership_ended"));
}

#[tokio::test]
async fn lost_answers() {
    let fleet = fleet(2).await;
    fleet.wait_logged("event=leadership_taken").await;
    fleet.site.metadata.set_fault(StoreFault::WriteAnswersLost);
    fleet.site.set_weight_version(MODEL, 2);
    fleet.wait_version(2).await;
    fleet.site.metadata.set_fault(StoreFault::None);
    fleet.site.set_weight_version(MODEL, 3);
    fleet.wait_version(3).await;
}

#[tokio::test]
async fn context_by_version() {
    let fleet = fleet(1).await;
    let store_addresses = format!("{0},{0},-", fleet.store.address);
    let mut number = 0;
    eventually("parts are saved", async || {
        number += 1;
        let id = format!("r-{number}");
        assert_eq!(fleet.prompt(&id).await, 200);
        let run = fleet.run(&id);
        assert_eq!((run["cache-salt"].as_str(), run["expect-version"].as_str()), (OLD_SCOPE, "1"));
        assert!(!run.contains_key("kv-fetch"));
        run.get("kv-save") == Some(&store_addresses)
    })
    .await;
    fleet.store.cache_part(OLD_SCOPE, "aa", 100);
    fleet.store.cache_part(OLD_SCOPE, "bb", 400);
    eventually("the store is read", async || {
        number += 1;
        let id = format!("r-{number}");
        assert_eq!(fleet.prompt(&id).await, 200);
        let run = fleet.run(&id);
        run.get("kv-fetch") == Some(&store_addresses) && run.contains_key("kv-until")
    })
    .await;
    fleet.wait_logged("event=leadership_taken").await;
    fleet.site.set_weight_version(MODEL, 2);
    fleet.wait_version(2).await;
    eventually("the new scope is used", async || {
        number += 1;
        let id = format!("r-{number}");
        fleet.prompt(&id).await == 200 && fleet.run(&id)["cache-salt"] == NEW_SCOPE
    })
    .await;
    assert!(!fleet.run(&format!("r-{number}")).contains_key("kv-fetch"));
    fleet.store.cache_part(NEW_SCOPE, "dd", 100);
    // Each engine writes the new version to its entry with its next heartbeat.
    for (number, engine) in fleet.engines.iter().enumerate() {
        let entry = engine_entry("llm", &engine.address, MODEL, 2);
        fleet.site.register(&format!("e-{number}"), &entry);
    }
    eventually("old parts are freed", async || fleet.store.freed_parts().len() == 2).await;
    assert!(fleet.store.freed_parts().iter().all(|(scope, _)| scope == OLD_SCOPE));
}

#[tokio::test]
async fn broken_off_freed() {
    let fleet = fleet(1).await;
    fleet.store.add_incomplete_part(OLD_SCOPE, "ee");
    eventually("the partial part is freed", async || {
        fleet.store.freed_parts().contains(&(OLD_SCOPE.to_owned(), "ee".to_owned()))
    })
    .await;
}

/// A store whose listing failed is listed again soon, however often it has failed.
#[tokio::test]
async fn lost_store_known() {
    let mut fleet = fleet_without_gateways().await;
    fleet.store.fail_listings(14);
    let metadata_address = fleet.site.metadata.address.clone();
    fleet.add_gateway(&metadata_address).await;
    fleet.wait_logged("event=holder_listed").await;
}

/// Request ids of a test's streams.
const STREAMS: [&str; 4] = ["r-1", "r-2", "r-3", "r-4"];
/// Tokens of a prompt that an engine takes 180 ms to prefill again.
const LONG_TOKENS: u32 = 9000;

/// Starts streams that the engines hold after their first event, and names new weights.
async fn start_held_streams(fleet: &Fleet, own_tokens: u32) -> [JoinHandle<Message>; 4] {
    fleet.wait_logged("event=leadership_taken").await;
    // These requests earn the retry budget for moving the streams.
    for number in 0..40 {
        assert_eq!(fleet.prompt(&format!("p-{number}")).await, 200);
    }
    fleet.engines.iter().for_each(Engine::stall_streams);
    let clients = &fleet.gateways[0].clients;
    let streams = STREAMS.map(|id| tokio::spawn(stream(clients.clone(), id, own_tokens)));
    eventually("all streams run", async || STREAMS.iter().all(|id| fleet.run_count(id) == 1)).await;
    fleet.site.set_weight_version(MODEL, 2);
    streams
}

/// Asserts that all streams were continued by other engines, and waits until the engines have
/// loaded the new weights.
async fn assert_all_moved(fleet: &Fleet, streams: [JoinHandle<Message>; 4]) {
    for stream in streams {
        let answer = stream.await.unwrap();
        assert!(answer.complete);
        assert_eq!(answer.text(), "id: 1\ndata: piece\n\nid: 2\ndata: end\n\n");
    }
    assert!(STREAMS.iter().all(|id| fleet.run_count(id) == 2));
    fleet.wait_version(2).await;
    fleet.wait_logged("end=\"moved\"").await;
}

/// Streams that another engine can continue do not delay the load of their engine.
#[tokio::test]
async fn streams_moved() {
    let fleet = fleet(1).await;
    let streams = start_held_streams(&fleet, 200).await;
    assert_all_moved(&fleet, streams).await;
}

/// Streams with long prompts stay, since prefilling them again would delay other requests.
#[tokio::test]
async fn long_prompts_stay() {
    let fleet = fleet(1).await;
    let streams = start_held_streams(&fleet, LONG_TOKENS).await;
    fleet.wait_logged("event=order_given").await;
    sleep(Duration::from_secs(1)).await;
    assert!(STREAMS.iter().all(|id| fleet.run_count(id) == 1));
    streams.iter().for_each(JoinHandle::abort);
}

/// Streams with long prompts, as any others, leave an engine whose weights are overdue for one that
/// has the new weights: no request may begin on overdue weights.
#[tokio::test]
async fn long_prompts_moved() {
    let mut site = Site::start().await;
    site.weights_apply_ms = 100;
    let metadata_address = site.metadata.address.clone();
    let mut fleet = fleet_on_site(site).await;
    let idle_engine = Engine::start().await;
    fleet.site.register("e-4", &engine_entry("llm", &idle_engine.address, MODEL, 1));
    fleet.engines.push(idle_engine);
    fleet.add_gateway(&metadata_address).await;
    // A box that has just started may not know yet since when weights are overdue.
    sleep(Duration::from_millis(1600)).await;
    let streams = start_held_streams(&fleet, LONG_TOKENS).await;
    assert_all_moved(&fleet, streams).await;
    let resumed = |run: &Run| run.headers.contains_key("last-event-id");
    let runs = fleet.engines.iter().flat_map(Engine::runs).filter(resumed);
    assert!(runs.map(|run| run.headers["expect-version"].clone()).all(|version| version == "2"));
}

async fn stream(clients: String, id: &str, own_tokens: u32) -> Message {
    let extra = format!(
        "X-Model: {MODEL}\r\nX-Token-Count: {},10\r\nX-Prefix-Hash: aa:100,cc:{own_tokens}\r\n",
        100 + own_tokens
    );
    let bytes = request("POST", "/resume/x", id, &extra, "prompt");
    Client::connect(&clients).await.send(&bytes).await.expect("an answer")
}
