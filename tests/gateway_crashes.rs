//! A request that crashed every engine that began to run it was sent to the next one: it ended 33
//! engines, 18 of which ran at a time, and each took up to nine streams of other clients with it.
//! The client sent it under a new id with each retry, so every box treated it as a new request.

#[path = "common/site.rs"]
mod common;

use std::time::Duration;

use common::wait_ready;
use coursestile_standins::site::client::{Client, request};
use coursestile_standins::site::http::Message;
use coursestile_standins::site::server::{Behavior, Server};
use coursestile_standins::site::{Gateway, Site, config_document, eventually, service_entry};
use rstest::rstest;

/// Time after the third crash within which boxes may still forward the request.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Time for which an upstream's port stays open after a crash has closed its connections.
const PORT_DELAY: Duration = Duration::from_millis(150);
/// Crashes after which a request is quarantined.
const QUARANTINE_CRASHES: usize = 3;
/// Body of the request that crashes any upstream that runs it.
const CRASHING_BODY: &str = "deadly";

/// Two boxes in front of upstreams that all crash when they run the request.
struct Fleet {
    /// Keeps the platform running while the boxes run.
    _site: Site,
    gateways: Vec<Gateway>,
    servers: Vec<Server>,
    sent: usize,
}

impl Fleet {
    async fn start(servers: usize) -> Self {
        let mut site = Site::start().await;
        let mut started = Vec::new();
        for number in 0..servers {
            let server = Server::start(&format!("s-{number}")).await;
            server.crash_on(CRASHING_BODY);
            site.register(&server.id, &service_entry("plain", &server.address, "ready"));
            started.push(server);
        }
        site.configure(&config_document(7));
        let first = site.gateway("north", &[]);
        let second = site.gateway("north", &[&first]);
        let gateways = vec![first, second];
        for gateway in &gateways {
            wait_ready(gateway).await;
        }
        Self { _site: site, gateways, servers: started, sent: 0 }
    }

    /// Sends a request through the boxes in rotation, under a new id each time.
    async fn send(&mut self, path: &str, body: &str) -> Option<Message> {
        self.sent += 1;
        let gateway = &self.gateways[self.sent % self.gateways.len()];
        let bytes = request("POST", path, &format!("r-{}", self.sent), "", body);
        Client::connect(&gateway.clients).await.send(&bytes).await
    }

    fn crash_count(&self) -> usize {
        self.servers.iter().filter(|server| server.has_crashed()).count()
    }

    /// Number of requests with this body that have arrived at the upstreams.
    fn arrivals(&self, body: &str) -> usize {
        let arrived = self.servers.iter().flat_map(Server::received);
        arrived.filter(|request| request.body == body.as_bytes()).count()
    }

    /// Sends the request until it has crashed three upstreams, and waits until all boxes know of
    /// it.
    async fn crash_until_quarantined(&mut self, path: &str) {
        while self.crash_count() < QUARANTINE_CRASHES {
            self.send(path, CRASHING_BODY).await;
        }
        tokio::time::sleep(PROPAGATION_TIME).await;
    }

    async fn assert_quarantined(&mut self, path: &str) {
        let before = self.arrivals(CRASHING_BODY);
        for _ in 0..6 {
            let answer = self.send(path, CRASHING_BODY).await.expect("an answer");
            assert_eq!(answer.status(), 503, "expected a refusal without a run: {}", answer.text());
            assert!(answer.header("retry-after").is_some());
        }
        assert_eq!(
            self.arrivals(CRASHING_BODY),
            before,
            "the quarantined request has reached an upstream"
        );
    }
}

/// The quarantine holds at every box and on routes of each kind.
#[rstest]
#[case("/safe/")]
#[case("/once/")]
#[case("/stream/")]
#[case("/resume/")]
#[tokio::test]
async fn sent_again(#[case] path: &str) {
    let mut fleet = Fleet::start(12).await;
    fleet.crash_until_quarantined(path).await;
    fleet.assert_quarantined(path).await;
    let answer = fleet.send(path, "sound").await.expect("an answer");
    assert_eq!(answer.status(), 200, "other requests of the client must be served");
}

/// An upstream that crashes may close the connections of requests some time before its port. The
/// crash was not recognized.
#[tokio::test]
async fn port_closed_late() {
    let mut fleet = Fleet::start(12).await;
    for server in &fleet.servers {
        server.close_port_after(PORT_DELAY);
    }
    fleet.crash_until_quarantined("/safe/").await;
    fleet.assert_quarantined("/safe/").await;
}

/// All boxes must know of a crash before the client is answered, who may repeat the request at any
/// box at once.
#[rstest]
#[case("/safe/")]
#[case("/once/")]
#[case("/stream/")]
#[case("/resume/")]
#[tokio::test]
async fn repeated_at_once(#[case] path: &str) {
    let mut fleet = Fleet::start(12).await;
    for _ in 0..8 {
        fleet.send(path, CRASHING_BODY).await;
    }
    assert_eq!(fleet.crash_count(), QUARANTINE_CRASHES);
}

/// The quarantine outlasts the restart of all boxes.
#[tokio::test]
async fn boxes_killed() {
    let mut fleet = Fleet::start(12).await;
    fleet.crash_until_quarantined("/stream/").await;
    for gateway in &fleet.gateways {
        gateway.signal("-9");
    }
    for gateway in &fleet.gateways {
        eventually("the box has ended", async || !gateway.is_alive()).await;
        gateway.restart_if_exited();
    }
    for gateway in &fleet.gateways {
        wait_ready(gateway).await;
    }
    fleet.assert_quarantined("/stream/").await;
}

/// A request that was cut because it ran beside the crashing one is not quarantined.
#[tokio::test]
async fn bystander_served() {
    let mut fleet = Fleet::start(12).await;
    for _ in 0..2 {
        for server in &fleet.servers {
            server.script(&[Behavior::Held]);
        }
        let before = fleet.crash_count();
        let bytes = request("POST", "/once/", &format!("b-{before}"), "", "bystander");
        let clients = fleet.gateways[0].clients.clone();
        let bystander =
            tokio::spawn(async move { Client::connect(&clients).await.send(&bytes).await });
        eventually("the bystander runs", async || fleet.arrivals("bystander") > before).await;
        while fleet.crash_count() <= before {
            fleet.send("/once/", CRASHING_BODY).await;
        }
        for server in &fleet.servers {
            server.clear_script();
            server.release();
        }
        bystander.await.expect("the task does not panic");
    }
    let answer = fleet.send("/once/", "bystander").await.expect("an answer");
    assert_eq!(answer.status(), 200);
}

/// A request whose connections are reset again and again without a crash is not quarantined.
#[tokio::test]
async fn resets_only() {
    let mut fleet = Fleet::start(4).await;
    for _ in 0..4 {
        for server in &fleet.servers {
            server.script(&[Behavior::Close]);
        }
        let answer = fleet.send("/once/", "unlucky").await.expect("an answer");
        assert_eq!(answer.status(), 502);
        fleet.servers.iter().for_each(Server::clear_script);
    }
    let answer = fleet.send("/once/", "unlucky").await.expect("an answer");
    assert_eq!(answer.status(), 200);
}
