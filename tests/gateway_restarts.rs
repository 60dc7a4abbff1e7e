//! An upstream that restarts under the id that it had has lost all its state, and counts as a new
//! incarnation, whichever source reports it first.

#[path = "common/site.rs"]
mod common;

use std::net::SocketAddr;

use common::wait_ready;
use coursestile::gateway::decisions::cache_contents::PartKey;
use coursestile::gateway::decisions::incarnation::Incarnation;
use coursestile::gateway::decisions::upstream::{ReportedIncarnation, UpstreamEntry};
use coursestile::gateway::decisions::upstreams::Upstreams;
use coursestile_standins::site::client::{Client, request};
use coursestile_standins::site::engine::{Engine, MODEL};
use coursestile_standins::site::server::{Behavior, Server};
use coursestile_standins::site::{
    Gateway, Site, config_document, engine_entry, engine_services, eventually, service_entry,
};
use serde_json::{Value, json};

const SCOPE: &str = "1.model-a";

/// Engines of one service behind one gateway.
struct Fleet {
    gateway: Gateway,
    engines: Vec<Engine>,
    site: Site,
}

/// The entry of an engine's current incarnation.
fn current_entry(engine: &Engine, version: u64) -> Value {
    let mut entry = engine_entry("llm", &engine.address, MODEL, version);
    entry["born"] = json!(engine.started_at_ms());
    entry
}

async fn fleet(engines: usize) -> Fleet {
    let mut site = Site::start().await;
    let mut started = Vec::new();
    for number in 0..engines {
        let engine = Engine::start().await;
        site.register(&format!("e-{number}"), &current_entry(&engine, 1));
        started.push(engine);
    }
    let mut config = config_document(7);
    config["routes"][2]["service"] = json!("llm");
    config["routes"][2]["path_prefix"] = json!("/run/");
    config["services"] = engine_services(None);
    site.configure(&config);
    site.set_weight_version(MODEL, 1);
    let gateway = site.gateway("north", &[]);
    wait_ready(&gateway).await;
    Fleet { gateway, engines: started, site }
}

impl Fleet {
    async fn prompt(&self, id: &str) -> u16 {
        common::send_prompt(&self.gateway, id).await
    }

    async fn wait_version(&self, version: u64) {
        eventually("all engines have the version", async || {
            self.engines.iter().all(|engine| engine.version() == version)
        })
        .await;
    }

    async fn wait_logged(&self, text: &str) {
        eventually(text, async || self.gateway.log_text().contains(text)).await;
    }

    /// Prompt tokens that the engine was expected to prefill in the last attempt of a request.
    fn expected_prefill_tokens(&self, id: &str) -> Option<u32> {
        let logged = self.gateway.log_text();
        let line = logged.lines().rfind(|line| line.contains(&format!("routed request={id} ")))?;
        let rest = line.split(" read_tokens=").nth(1)?;
        rest.split(' ').next()?.parse().ok()
    }

    /// Sends prompts until the gateway knows that the only engine has cached their shared parts.
    async fn wait_cached(&self) {
        let mut number = 0;
        eventually("the parts are known to be cached", async || {
            number += 1;
            let id = format!("warm-{number}");
            assert_eq!(self.prompt(&id).await, 200);
            self.expected_prefill_tokens(&id) == Some(200)
        })
        .await;
    }

    fn cache_parts(&self) {
        self.engines[0].cache_part(SCOPE, "aa", 100);
        self.engines[0].cache_part(SCOPE, "bb", 400);
    }
}

#[tokio::test]
async fn older_weights_again() {
    let fleet = fleet(3).await;
    fleet.wait_logged("event=leadership_taken").await;
    fleet.site.set_weight_version(MODEL, 2);
    fleet.wait_version(2).await;
    fleet.wait_logged("upstream=e-0 model=model-a version=2 end=\"done\"").await;
    fleet.engines[0].restart(1);
    fleet.site.register("e-0", &current_entry(&fleet.engines[0], 1));
    fleet.wait_version(2).await;
    assert_eq!(fleet.prompt("r-1").await, 200);
}

/// Only the engine itself shows that it has restarted, by rejecting prompts.
#[tokio::test]
async fn older_weights_unsaid() {
    let fleet = fleet(1).await;
    let engine = &fleet.engines[0];
    engine.omit_start_time();
    fleet.site.register("e-0", &engine_entry("llm", &engine.address, MODEL, 1));
    fleet.wait_logged("event=leadership_taken").await;
    fleet.site.set_weight_version(MODEL, 2);
    fleet.wait_logged("upstream=e-0 model=model-a version=2 end=\"done\"").await;
    engine.restart(1);
    let mut number = 0;
    eventually("the engine serves with new weights", async || {
        number += 1;
        fleet.prompt(&format!("r-{number}")).await == 200 && engine.version() == 2
    })
    .await;
}

#[tokio::test]
async fn restarted_in_a_load() {
    let fleet = fleet(2).await;
    fleet.wait_logged("event=leadership_taken").await;
    fleet.site.set_weight_version(MODEL, 2);
    eventually("the engine has got an order", async || !fleet.engines[0].orders().is_empty()).await;
    fleet.engines[0].restart(1);
    fleet.site.register("e-0", &current_entry(&fleet.engines[0], 1));
    fleet.engines[0].restart(1);
    fleet.site.register("e-0", &current_entry(&fleet.engines[0], 1));
    fleet.wait_version(2).await;
}

#[tokio::test]
async fn context_forgotten() {
    let fleet = fleet(1).await;
    fleet.cache_parts();
    fleet.wait_cached().await;
    fleet.engines[0].restart(1);
    let mut restarted = current_entry(&fleet.engines[0], 1);
    // Only the entry may show the restart, which cache events would do a moment later.
    restarted["seq"] = json!(0);
    fleet.site.register("e-0", &restarted);
    fleet.wait_logged("event=upstream_restarted upstream=e-0").await;
    assert_eq!(fleet.prompt("r-1").await, 200);
    assert_ne!(fleet.expected_prefill_tokens("r-1"), Some(200));
}

#[tokio::test]
async fn events_tell_first() {
    let fleet = fleet(1).await;
    fleet.cache_parts();
    fleet.wait_cached().await;
    let mut old_entry = current_entry(&fleet.engines[0], 1);
    fleet.engines[0].restart(1);
    fleet.wait_logged("event=upstream_restarted upstream=e-0").await;
    fleet.cache_parts();
    fleet.wait_cached().await;
    // The metadata store reports the entry of the earlier incarnation once more.
    old_entry["seq"] = json!(9);
    fleet.site.register("e-0", &old_entry);
    fleet.wait_logged("event=upstream_outdated upstream=e-0").await;
    fleet.wait_cached().await;
}

#[tokio::test]
async fn never_twice() {
    let mut site = Site::start().await;
    let server = Server::start("s-0").await;
    let entry_of_incarnation = |born: u64| {
        let mut entry = service_entry("plain", &server.address, "ready");
        entry["born"] = json!(born);
        entry
    };
    site.register("s-0", &entry_of_incarnation(1));
    site.configure(&config_document(7));
    let gateway = site.gateway("north", &[]);
    wait_ready(&gateway).await;
    server.script(&[Behavior::Close]);
    let send = async |id: &str| {
        let bytes = request("POST", "/once/x", id, "", "");
        Client::connect(&gateway.clients).await.send(&bytes).await.expect("an answer").status()
    };
    let (first, ()) =
        tokio::join!(send("r-1"), async { site.register("s-0", &entry_of_incarnation(2)) });
    assert_eq!(first, 502, "the request may have run");
    assert_eq!(server.count("r-1"), 1);
    assert_eq!(send("r-2").await, 200);
}

/// An entry of an engine that has version 1 of the weights.
fn outdated_entry(started_at_ms: Option<u64>) -> UpstreamEntry {
    UpstreamEntry {
        service: "llm".to_owned(),
        software: "v1".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        hall: "north".to_owned(),
        slots: 4,
        leaving: false,
        cold_left_ms: 0,
        models: vec![("m".to_owned(), 1)],
        started_at_ms,
    }
}

/// If an entry has a start time and earlier ones had none, it is of another incarnation: an
/// incarnation writes its start time in each of its entries or in none.
#[test]
fn entry_begins_to_tell() {
    let (mut upstreams, _) = with_history(None);
    assert_eq!(upstreams.upsert(30, "e", outdated_entry(Some(5))), ReportedIncarnation::Restarted);
    let engine = upstreams.get("e").unwrap();
    assert_eq!(engine.weight_version("m"), 1, "the engine has lost its newer weights");
    assert_eq!(engine.contents.total_tokens(), 0);
    assert!(!engine.is_superseded());
}

/// Upstreams with one engine, for which load, weights, cache contents and a successor are recorded.
fn with_history(started_at_ms: Option<u64>) -> (Upstreams, Incarnation) {
    let mut upstreams = Upstreams::default();
    assert_eq!(
        upstreams.upsert(10, "e", outdated_entry(started_at_ms)),
        ReportedIncarnation::Current
    );
    let engine = upstreams.get_mut("e").unwrap();
    engine.record_sent(20, 500, 900);
    engine.record_weight_version("m", 3);
    engine.contents.set_tokens(PartKey::new("3.m", "aa"), 100);
    engine.mark_superseded();
    let incarnation = engine.incarnation();
    (upstreams, incarnation)
}

/// Whether the state of the old incarnation is gone, and requests of it that end late change
/// nothing.
fn is_reset(upstreams: &mut Upstreams, old_incarnation: &Incarnation) -> bool {
    assert!(upstreams.get_incarnation(old_incarnation).is_none());
    let engine = upstreams.get("e").unwrap();
    engine.total_load().requests == 0
        && engine.weight_version("m") == 1
        && !engine.is_superseded()
        && engine.contents.total_tokens() == 0
        && engine.short_id != old_incarnation.short_id()
}

#[test]
fn entry_tells() {
    let (mut upstreams, old_incarnation) = with_history(Some(5));
    assert_eq!(
        upstreams.upsert(30, "e", outdated_entry(Some(4))),
        ReportedIncarnation::Restarted,
        "another start time is another incarnation, even an earlier one, since clocks may be off"
    );
    assert!(is_reset(&mut upstreams, &old_incarnation));
}

#[test]
fn answer_tells() {
    let (mut upstreams, old_incarnation) = with_history(Some(5));
    assert_eq!(
        upstreams.record_answering_incarnation(40, "e", Some(6), 30),
        ReportedIncarnation::Restarted
    );
    assert!(is_reset(&mut upstreams, &old_incarnation));
    assert_eq!(
        upstreams.upsert(50, "e", outdated_entry(Some(5))),
        ReportedIncarnation::Outdated,
        "an entry of the old incarnation comes late"
    );
    assert_eq!(
        upstreams.record_answering_incarnation(60, "e", Some(5), 35),
        ReportedIncarnation::Outdated,
        "an answer of the old incarnation comes late"
    );
    assert_eq!(upstreams.upsert(70, "e", outdated_entry(Some(6))), ReportedIncarnation::Current);
    assert_eq!(upstreams.upsert(80, "e", outdated_entry(Some(7))), ReportedIncarnation::Restarted);
}

#[test]
fn start_unknown() {
    let (mut upstreams, old_incarnation) = with_history(None);
    assert_eq!(
        upstreams.upsert(30, "e", outdated_entry(None)),
        ReportedIncarnation::Current,
        "entries without a start time are alike"
    );
    assert_eq!(
        upstreams.record_answering_incarnation(40, "e", None, 30),
        ReportedIncarnation::Current
    );
    assert_eq!(
        upstreams.record_answering_incarnation(40, "e", Some(5), 30),
        ReportedIncarnation::Current,
        "the start time became known later"
    );
    assert_eq!(upstreams.get_incarnation(&old_incarnation).unwrap().total_load().requests, 1);
    assert_eq!(upstreams.upsert(50, "e", outdated_entry(Some(6))), ReportedIncarnation::Restarted);
}
