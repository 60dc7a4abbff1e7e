//! Calls and long answers between a gateway and the metadata store, engines, stores of
//! context and other boxes, when their open connections go silent.

#[path = "common/site.rs"]
mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use common::wait_ready;
use coursestile::gateway::catch_up::{self, PeerQuery};
use coursestile::gateway::kernel::Gateway as Kernel;
use coursestile::gateway::settings::Settings;
use coursestile_standins::site::client::once;
use coursestile_standins::site::engine::{Engine, MODEL};
use coursestile_standins::site::server::Server;
use coursestile_standins::site::silencer::Silencer;
use coursestile_standins::site::{Gateway, Site, document, engine_entry, entry, eventually};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Time in which a change must be in force.
const CHANGE_APPLY: Duration = Duration::from_secs(2);
/// Time after which an upstream that leaves must get nothing more.
const DEPARTURE_APPLY: Duration = Duration::from_secs(2);
/// Time between two looks at what must become true.
const LOOK_PERIOD: Duration = Duration::from_millis(20);

/// A platform each of whose parts is reached by a path that can be silenced.
struct Paths {
    gateway: Gateway,
    metadata: Silencer,
    engine: Silencer,
    store: Silencer,
    upstreams: Vec<Silencer>,
    callers: Silencer,
    servers: Vec<Server>,
    engine_itself: Engine,
    _store_itself: Engine,
    site: Site,
}

impl Paths {
    async fn start() -> Self {
        let mut site = Site::start().await;
        let (engine_itself, store_itself) = (Engine::start().await, Engine::start().await);
        let engine = Silencer::start(&engine_itself.address).await;
        let store = Silencer::start(&store_itself.address).await;
        let metadata = Silencer::start(&site.metadata.address).await;
        site.enter("e-0", &engine_entry("llm", &engine.address, MODEL, 1));
        let (mut servers, mut upstreams) = (Vec::new(), Vec::new());
        for number in 0..3 {
            let server = Server::start(&format!("s-{number}")).await;
            let path = Silencer::start(&server.address).await;
            site.enter(&server.id, &entry("plain", &path.address, "ready"));
            upstreams.push(path);
            servers.push(server);
        }
        site.configure(&config(7, &store.address));
        site.name_weights(MODEL, 1);
        let gateway = site.gateway_at("north", &[], &metadata.address);
        wait_ready(&gateway).await;
        let callers = Silencer::start(&gateway.clients).await;
        Self {
            gateway,
            metadata,
            engine,
            store,
            upstreams,
            callers,
            servers,
            engine_itself,
            _store_itself: store_itself,
            site,
        }
    }

    fn configure(&self, version: u64) {
        self.site.configure(&config(version, &self.store.address));
    }

    fn in_force(&self, version: u64) -> bool {
        let text = format!("event=configuration_in_force version={version} ");
        self.gateway.logged().contains(&text)
    }

    async fn wait_logged(&self, text: &str, times: usize) {
        let logged = async || self.gateway.logged().matches(text).count() >= times;
        eventually(text, logged).await;
    }

    async fn send(&self, id: &str) -> u16 {
        let answer = once(&self.callers.address, "GET", "/safe/", id).await;
        answer.expect("an answer").status()
    }

    fn silence_all(&self) {
        let single = [&self.metadata, &self.engine, &self.store, &self.callers];
        single.into_iter().chain(&self.upstreams).for_each(Silencer::silence_open);
    }
}

fn config(version: u64, store: &str) -> Value {
    let mut config = document(version);
    config["services"].as_array_mut().expect("services").extend([
        json!({ "name": "llm", "max_conns": 100, "engine": { "slots": 8, "kv_capacity": 40000,
            "kv_token_bytes": 18432, "link_mbps": 100_000, "managed": true,
            "models": [{ "name": MODEL }] } }),
        json!({ "name": "vault", "kv_store": store, "zone": "north", "kv_capacity": 100_000,
            "link_mbps": 100_000, "managed": true, "first_ms": 1 }),
    ]);
    config
}

/// How long it takes until something holds.
async fn time_until(what: &str, holds: impl AsyncFnMut() -> bool) -> Duration {
    let since = Instant::now();
    eventually(what, holds).await;
    since.elapsed()
}

/// All open connections of a box went silent at once, while a change was made and an
/// upstream said that it leaves.
#[tokio::test]
async fn all_at_once() {
    let paths = Paths::start().await;
    for number in 0..12 {
        assert_eq!(paths.send(&format!("w-{number}")).await, 200);
    }
    paths.silence_all();
    paths.configure(8);
    let path = &paths.upstreams[0].address;
    paths.site.enter("s-0", &entry("plain", path, "draining"));
    let left = Instant::now();
    let applied = time_until("it is in force", async || paths.in_force(8)).await;
    assert!(applied < CHANGE_APPLY, "{applied:?}");
    while left.elapsed() < DEPARTURE_APPLY {
        tokio::time::sleep(LOOK_PERIOD).await;
    }
    let before = paths.servers[0].arrived().len();
    for number in 0..12 {
        assert_eq!(paths.send(&format!("r-{number}")).await, 200);
    }
    assert_eq!(paths.servers[0].arrived().len(), before, "it was asked after it had left");
}

/// The connections to the store were reset between two changes.
#[tokio::test]
async fn reset_between() {
    let paths = Paths::start().await;
    paths.configure(8);
    paths.metadata.reset_open();
    paths.configure(9);
    let applied = time_until("it is in force", async || paths.in_force(9)).await;
    assert!(applied < CHANGE_APPLY / 2, "{applied:?}");
}

/// The leader's connections to the store went silent, again and again. No other box
/// could renew the lease for it; it kept the lease all the same.
#[tokio::test]
async fn lease_kept() {
    let paths = Paths::start().await;
    paths.wait_logged("event=leadership_taken", 1).await;
    for _ in 0..4 {
        paths.metadata.silence_open();
        tokio::time::sleep(Duration::from_millis(1500)).await;
    }
    let logged = paths.gateway.logged();
    assert!(!logged.contains("event=leadership_ended"), "{logged}");
}

/// The connections to an engine went silent as new weights were named. Its report was
/// asked for on one of them.
#[tokio::test]
async fn order_given() {
    let paths = Paths::start().await;
    paths.wait_logged("event=leadership_taken", 1).await;
    paths.site.name_weights(MODEL, 2);
    let loaded = async |version: u64| paths.engine_itself.version() == version;
    eventually("it has them", async || loaded(2).await).await;
    paths.engine.silence_open();
    paths.site.name_weights(MODEL, 3);
    let taken = time_until("it has them", async || loaded(3).await).await;
    assert!(taken < Duration::from_secs(5), "{taken:?}");
    let fences: Vec<u64> = paths.engine_itself.orders().iter().map(|order| order.fence).collect();
    assert!(fences.iter().all(|fence| *fence == fences[0]), "{fences:?}");
}

/// The connections to a store of context went silent; what it keeps was not known until
/// it was listed again.
#[tokio::test]
async fn store_listed_again() {
    let paths = Paths::start().await;
    let listed = "event=holder_listed holder=Store(\"vault\")";
    paths.wait_logged(listed, 1).await;
    paths.store.silence_open();
    let again = async || paths.gateway.logged().matches(listed).count() > 1;
    let taken = time_until("it is listed again", again).await;
    assert!(taken < Duration::from_secs(4), "{taken:?}");
}

/// A box that was told of the stores went silent. The teller wrote on to nobody, for as
/// long as the system sent the same bytes again.
#[tokio::test]
async fn subscriber_dropped() {
    let text = "[box]\nname = a\nhall = north\nclients = 127.0.0.1:1\nready = 127.0.0.1:1\n\
                peers = 127.0.0.1:1\n[platform]\naddress = 127.0.0.1:1\n";
    let kernel = Kernel::new(Settings::parse("a.ini", text).expect("settings")).expect("gateway");
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("address");
    let address = listener.local_addr().expect("address").to_string();
    let giving = tokio::spawn(catch_up::serve(kernel.clone(), listener));
    let path = Silencer::start(&address).await;
    let mut subscriber = TcpStream::connect(&path.address).await.expect("connection");
    let question = postcard::to_stdvec(&PeerQuery::ContextStores).expect("question");
    subscriber.write_all(&question).await.expect("write");
    subscriber.shutdown().await.expect("end of the question");
    // It is told something twice a second.
    assert!(subscriber.read(&mut [0; 64]).await.expect("message") > 0);
    let told = Arc::strong_count(&kernel);
    path.silence_open();
    let ended = async || Arc::strong_count(&kernel) < told;
    let held = time_until("it is given up", ended).await;
    assert!(held < Duration::from_secs(4), "{held:?}");
    giving.abort();
}
