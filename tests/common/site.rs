//! Fixture and helpers for tests that run a gateway process against a simulated site.
#![allow(dead_code, reason = "each test file uses a part")]

use coursestile_standins::site::client::{Client, request, request_once};
use coursestile_standins::site::engine::{Engine, MODEL};
use coursestile_standins::site::http::Message;
use coursestile_standins::site::server::Server;
use coursestile_standins::site::{
    Gateway, Site, config_document, engine_entry, eventually, service_entry,
};

/// A site with one gateway and the upstreams of its service `plain`.
pub struct GatewayFixture {
    pub gateway: Gateway,
    pub servers: Vec<Server>,
    pub site: Site,
}

/// Starts a gateway and `servers` upstreams on a new site, and waits until it is ready.
pub async fn start_fixture(servers: usize) -> GatewayFixture {
    start_fixture_on(Site::start().await, servers).await
}

/// Like [`start_fixture`], on a site that the test has already set up.
pub async fn start_fixture_on(mut site: Site, servers: usize) -> GatewayFixture {
    let mut started_servers = Vec::new();
    for number in 0..servers {
        let server = Server::start(&format!("s-{number}")).await;
        site.register(&server.id, &service_entry("plain", &server.address, "ready"));
        started_servers.push(server);
    }
    site.configure(&config_document(7));
    let gateway = site.gateway("north", &[]);
    wait_ready(&gateway).await;
    GatewayFixture { gateway, servers: started_servers, site }
}

/// Starts engines of the service `llm` with version 1 of the weights, and registers them
/// with the site.
pub async fn start_engines(site: &Site, count: usize) -> Vec<Engine> {
    let mut engines = Vec::new();
    for number in 0..count {
        let engine = Engine::start().await;
        site.register(&format!("e-{number}"), &engine_entry("llm", &engine.address, MODEL, 1));
        engines.push(engine);
    }
    engines
}

/// Sends a prompt of three prefix parts with the same hashes for every request, and returns
/// the status of the response.
pub async fn send_prompt(gateway: &Gateway, id: &str) -> u16 {
    let extra = format!(
        "X-Model: {MODEL}\r\nX-Token-Count: 700,10\r\nX-Prefix-Hash: aa:100,bb:400,cc:200\r\n"
    );
    let bytes = request("POST", "/run/x", id, &extra, "prompt");
    let mut client = Client::connect(&gateway.clients).await;
    client.send(&bytes).await.expect("an answer").status()
}

/// Waits until the gateway's readiness check succeeds.
pub async fn wait_ready(gateway: &Gateway) {
    eventually("ready", async || {
        let ready = is_ready(gateway).await;
        assert!(ready || gateway.is_alive(), "it has ended: {}", gateway.log_text());
        ready
    })
    .await;
}

/// Waits until the gateway's log contains `text`.
pub async fn wait_for_log(fixture: &GatewayFixture, text: &str) {
    eventually(text, async || fixture.gateway.log_text().contains(text)).await;
}

/// Whether the gateway's readiness check succeeds.
pub async fn is_ready(gateway: &Gateway) -> bool {
    let url = format!("http://{}/coursestile/ready", gateway.ready);
    reqwest::get(url).await.is_ok_and(|response| response.status().is_success())
}

impl GatewayFixture {
    /// Sends one request over a new connection.
    pub async fn send(&self, method: &str, path: &str, id: &str) -> Message {
        request_once(&self.gateway.clients, method, path, id).await.expect("an answer")
    }

    /// Sends raw bytes over a new connection; `None` if it closes without a response.
    pub async fn send_raw(&self, bytes: &[u8]) -> Option<Message> {
        Client::connect(&self.gateway.clients).await.send(bytes).await
    }

    /// Sends a POST request with additional headers and a body over a new connection.
    pub async fn send_with(&self, path: &str, id: &str, extra: &str, body: &str) -> Message {
        self.send_raw(&request("POST", path, id, extra, body)).await.expect("an answer")
    }

    /// Number of times that a request has arrived at the upstreams, all together.
    pub fn arrival_count(&self, id: &str) -> usize {
        self.servers.iter().map(|server| server.count(id)).sum()
    }

    /// The first arrival of a request, of the first upstream that received it.
    pub fn first_arrival(&self, id: &str) -> Message {
        let all = self.servers.iter().flat_map(Server::received);
        let mut found = all.filter(|message| message.header("x-request-id") == Some(id));
        found.next().expect("it has arrived")
    }
}
