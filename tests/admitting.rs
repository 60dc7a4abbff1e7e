//! A prompt that no engine has memory for in time is refused at once, with a `Retry-After`
//! time, and has not run when the response says so.

#[path = "common/site.rs"]
mod common;

use std::time::{Duration, Instant};

use common::wait_ready;
use coursestile_standins::site::client::{Client, request};
use coursestile_standins::site::engine::{Engine, MODEL};
use coursestile_standins::site::http::Message;
use coursestile_standins::site::{Gateway, Site, config_document, engine_entry, eventually};
use serde_json::json;

const ENGINES: usize = 3;
/// Number of runs that fill the memory of all engines: two each.
const FILLING_RUNS: usize = 2 * ENGINES;
/// Time limit for a refusal: an eighth of the time objective of the simulated site's routes,
/// and some allowance for a busy machine.
const REFUSAL_TIME: Duration = Duration::from_millis(150);

struct Fleet {
    gateway: Gateway,
    engines: Vec<Engine>,
    _site: Site,
}

/// Starts a gateway and engines that do not end the streams that they begin.
async fn start_fleet() -> Fleet {
    let mut site = Site::start().await;
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        let engine = Engine::start().await;
        engine.stall_streams();
        site.register(&format!("e-{number}"), &engine_entry("llm", &engine.address, MODEL, 1));
        engines.push(engine);
    }
    let mut config = config_document(7);
    config["routes"][2]["service"] = json!("llm");
    config["routes"][2]["path_prefix"] = json!("/run/");
    config["services"] = json!([
        { "name": "llm", "max_conns": 100, "engine": { "slots": 64, "kv_capacity": 40000,
            "kv_token_bytes": 18432, "link_mbps": 100_000, "managed": true,
            "models": [{ "name": MODEL }] } }
    ]);
    site.configure(&config);
    site.set_weight_version(MODEL, 1);
    let gateway = site.gateway("north", &[]);
    wait_ready(&gateway).await;
    Fleet { gateway, engines, _site: site }
}

impl Fleet {
    fn run_count(&self) -> usize {
        self.engines.iter().map(|engine| engine.runs().len()).sum()
    }

    /// Begins a run that takes a large part of an engine's memory for as long as the returned
    /// client exists.
    async fn begin_large_run(&self, id: &str) -> Client {
        let runs_before = self.run_count();
        let mut client = Client::connect(&self.gateway.clients).await;
        client.write(&prompt_request(id, 30_000)).await;
        eventually("it runs", async || self.run_count() > runs_before).await;
        client
    }

    async fn send(&self, id: &str, tokens: u32) -> Message {
        let mut client = Client::connect(&self.gateway.clients).await;
        client.send(&prompt_request(id, tokens)).await.expect("an answer")
    }
}

fn prompt_request(id: &str, tokens: u32) -> Vec<u8> {
    let extra = format!(
        "X-Model: {MODEL}\r\nX-Token-Count: {tokens},10\r\nX-Prefix-Hash: {id}:{tokens}\r\n"
    );
    request("POST", "/run/x", id, &extra, "prompt")
}

#[tokio::test]
async fn refused_when_full() {
    let fleet = start_fleet().await;
    let mut clients = Vec::new();
    for number in 0..FILLING_RUNS {
        clients.push(fleet.begin_large_run(&format!("a{number}")).await);
    }
    for (id, tokens) in [("b1", 200), ("b2", 20_000)] {
        let sent_at = Instant::now();
        let response = fleet.send(id, tokens).await;
        assert_eq!(response.status(), 503, "{id}");
        assert!(sent_at.elapsed() < REFUSAL_TIME, "{id} after {:?}", sent_at.elapsed());
        let retry_after_s: f64 =
            response.header("retry-after").expect("a time").parse().expect("seconds");
        assert!((0.1..1.5).contains(&retry_after_s), "{retry_after_s}");
    }
    assert_eq!(fleet.run_count(), FILLING_RUNS, "what was refused has not run");
    clients.clear();
    let mut later_clients = Vec::new();
    eventually("a place is free again", async || {
        let mut client = Client::connect(&fleet.gateway.clients).await;
        client.write(&prompt_request(&format!("c{}", later_clients.len()), 200)).await;
        later_clients.push(client);
        tokio::time::sleep(Duration::from_millis(100)).await;
        fleet.run_count() > FILLING_RUNS
    })
    .await;
}
