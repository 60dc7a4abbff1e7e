//! What no engine can begin with in time is refused at once, truthfully, and with a
//! time to come back.

#[path = "common/site.rs"]
mod common;

use std::time::{Duration, Instant};

use common::wait_ready;
use coursestile_standins::site::client::{Client, request};
use coursestile_standins::site::engine::{Engine, MODEL};
use coursestile_standins::site::http::Message;
use coursestile_standins::site::{Gateway, Site, document, engine_entry, eventually};
use serde_json::json;

const ENGINES: usize = 3;
/// Runs that fill the memory of all engines, two each.
const HELD: usize = 2 * ENGINES;
/// An eighth of the objective of the stand-in's routes, and some time for a busy machine.
const AT_ONCE: Duration = Duration::from_millis(150);

struct Fleet {
    gateway: Gateway,
    engines: Vec<Engine>,
    _site: Site,
}

/// A fleet whose engines hold the streams that they begin.
async fn fleet() -> Fleet {
    let mut site = Site::start().await;
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        let engine = Engine::start().await;
        engine.hold_streams();
        site.enter(&format!("e-{number}"), &engine_entry("llm", &engine.address, MODEL, 1));
        engines.push(engine);
    }
    let mut config = document(7);
    config["routes"][2]["service"] = json!("llm");
    config["routes"][2]["path_prefix"] = json!("/run/");
    config["services"] = json!([
        { "name": "llm", "max_conns": 100, "engine": { "slots": 64, "kv_capacity": 40000,
            "kv_token_bytes": 18432, "link_mbps": 100_000, "managed": true,
            "models": [{ "name": MODEL }] } }
    ]);
    site.configure(&config);
    site.name_weights(MODEL, 1);
    let gateway = site.gateway("north", &[]);
    wait_ready(&gateway).await;
    Fleet { gateway, engines, _site: site }
}

impl Fleet {
    fn runs(&self) -> usize {
        self.engines.iter().map(|engine| engine.runs().len()).sum()
    }

    /// Begins a run that takes most of an engine's memory, and holds it.
    async fn begin(&self, id: &str) -> Client {
        let before = self.runs();
        let mut client = Client::connect(&self.gateway.clients).await;
        client.write(&prompt(id, 30_000)).await;
        eventually("it runs", async || self.runs() > before).await;
        client
    }

    async fn send(&self, id: &str, tokens: u32) -> Message {
        let mut client = Client::connect(&self.gateway.clients).await;
        client.send(&prompt(id, tokens)).await.expect("an answer")
    }
}

fn prompt(id: &str, tokens: u32) -> Vec<u8> {
    let extra = format!(
        "X-Model: {MODEL}\r\nX-Token-Count: {tokens},10\r\nX-Prefix-Hash: {id}:{tokens}\r\n"
    );
    request("POST", "/run/x", id, &extra, "prompt")
}

#[tokio::test]
async fn refused_when_full() {
    let fleet = fleet().await;
    let mut held = Vec::new();
    for number in 0..HELD {
        held.push(fleet.begin(&format!("a{number}")).await);
    }
    for (id, tokens) in [("b1", 200), ("b2", 20_000)] {
        let asked_at = Instant::now();
        let answer = fleet.send(id, tokens).await;
        assert_eq!(answer.status(), 503, "{id}");
        assert!(asked_at.elapsed() < AT_ONCE, "{id} after {:?}", asked_at.elapsed());
        let after_s: f64 = answer.header("retry-after").expect("a time").parse().expect("seconds");
        assert!((0.1..1.5).contains(&after_s), "{after_s}");
    }
    assert_eq!(fleet.runs(), HELD, "what was refused has not run");
    held.clear();
    let mut later = Vec::new();
    eventually("a place is free again", async || {
        let mut client = Client::connect(&fleet.gateway.clients).await;
        client.write(&prompt(&format!("c{}", later.len()), 200)).await;
        later.push(client);
        tokio::time::sleep(Duration::from_millis(100)).await;
        fleet.runs() > HELD
    })
    .await;
}
