//! What the tests of the gateway share.
#![allow(dead_code, reason = "each test file uses a part")]

use coursestile_standins::site::client::{Client, once, request};
use coursestile_standins::site::engine::{Engine, MODEL};
use coursestile_standins::site::http::Message;
use coursestile_standins::site::server::Server;
use coursestile_standins::site::{Gateway, Site, document, engine_entry, entry, eventually};

/// A platform with one gateway that serves `servers` upstreams of `plain`.
pub struct Scene {
    pub gateway: Gateway,
    pub servers: Vec<Server>,
    pub site: Site,
}

/// Starts a scene whose gateway is ready and knows all upstreams.
pub async fn scene(servers: usize) -> Scene {
    scene_at(Site::start().await, servers).await
}

/// Starts a scene on a platform that was prepared.
pub async fn scene_at(mut site: Site, servers: usize) -> Scene {
    let mut started = Vec::new();
    for number in 0..servers {
        let server = Server::start(&format!("s-{number}")).await;
        site.enter(&server.id, &entry("plain", &server.address, "ready"));
        started.push(server);
    }
    site.configure(&document(7));
    let gateway = site.gateway("north", &[]);
    wait_ready(&gateway).await;
    Scene { gateway, servers: started, site }
}

/// Starts engines of `llm`, whose weights have version 1, and writes their entries.
pub async fn start_engines(site: &Site, count: usize) -> Vec<Engine> {
    let mut engines = Vec::new();
    for number in 0..count {
        let engine = Engine::start().await;
        site.enter(&format!("e-{number}"), &engine_entry("llm", &engine.address, MODEL, 1));
        engines.push(engine);
    }
    engines
}

/// Sends a prompt of two shared parts and one of its own; the status of the answer.
pub async fn prompt(gateway: &Gateway, id: &str) -> u16 {
    let extra = format!(
        "X-Model: {MODEL}\r\nX-Token-Count: 700,10\r\nX-Prefix-Hash: aa:100,bb:400,cc:200\r\n"
    );
    let bytes = request("POST", "/run/x", id, &extra, "prompt");
    let mut client = Client::connect(&gateway.clients).await;
    client.send(&bytes).await.expect("an answer").status()
}

/// Waits until a gateway calls itself ready.
pub async fn wait_ready(gateway: &Gateway) {
    eventually("ready", async || {
        let ready = is_ready(gateway).await;
        assert!(ready || gateway.is_alive(), "it has ended: {}", gateway.logged());
        ready
    })
    .await;
}

/// Whether a gateway calls itself ready.
pub async fn is_ready(gateway: &Gateway) -> bool {
    let url = format!("http://{}/coursestile/ready", gateway.ready);
    reqwest::get(url).await.is_ok_and(|answer| answer.status().is_success())
}

impl Scene {
    /// Sends one request on a connection of its own.
    pub async fn send(&self, method: &str, path: &str, id: &str) -> Message {
        once(&self.gateway.clients, method, path, id).await.expect("an answer")
    }

    /// Sends bytes on a connection of its own.
    pub async fn raw(&self, bytes: &[u8]) -> Option<Message> {
        Client::connect(&self.gateway.clients).await.send(bytes).await
    }

    /// Sends a request with further headers and a body.
    pub async fn send_with(&self, path: &str, id: &str, extra: &str, body: &str) -> Message {
        self.raw(&request("POST", path, id, extra, body)).await.expect("an answer")
    }

    /// How often a request has arrived at any upstream.
    pub fn count(&self, id: &str) -> usize {
        self.servers.iter().map(|server| server.count(id)).sum()
    }

    /// The request as it arrived first.
    pub fn arrived(&self, id: &str) -> Message {
        let all = self.servers.iter().flat_map(Server::arrived);
        let mut found = all.filter(|one| one.header("x-request-id") == Some(id));
        found.next().expect("it has arrived")
    }
}
