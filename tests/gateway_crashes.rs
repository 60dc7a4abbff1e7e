//! One request crashed each engine that began to run it, and was sent to the next: 33 engines
//! ended under it, 18 of them ran at a time, and each took up to nine streams of other callers
//! with it. Its client gave it a new id with each try, and any box took it for a new request.

#[path = "common/site.rs"]
mod common;

use std::time::Duration;

use common::wait_ready;
use coursestile_standins::site::client::{Client, request};
use coursestile_standins::site::http::Message;
use coursestile_standins::site::server::{Act, Server};
use coursestile_standins::site::{Gateway, Site, document, entry, eventually};
use rstest::rstest;

/// Time after the third crash in which boxes may still send the request.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Crashes after which a request is held back.
const QUARANTINE_CRASHES: usize = 3;
/// Body of the request that crashes what runs it.
const CRASHING_BODY: &str = "deadly";

/// Two boxes before upstreams, all of which end under one request.
struct Fleet {
    /// The platform, for as long as the boxes run.
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
            site.enter(&server.id, &entry("plain", &server.address, "ready"));
            started.push(server);
        }
        site.configure(&document(7));
        let first = site.gateway("north", &[]);
        let second = site.gateway("north", &[&first]);
        let gateways = vec![first, second];
        for gateway in &gateways {
            wait_ready(gateway).await;
        }
        Self { _site: site, gateways, servers: started, sent: 0 }
    }

    /// Sends the request through the boxes in turn, each time under another id.
    async fn send(&mut self, path: &str, body: &str) -> Option<Message> {
        self.sent += 1;
        let gateway = &self.gateways[self.sent % self.gateways.len()];
        let bytes = request("POST", path, &format!("r-{}", self.sent), "", body);
        Client::connect(&gateway.clients).await.send(&bytes).await
    }

    fn crash_count(&self) -> usize {
        self.servers.iter().filter(|server| server.has_crashed()).count()
    }

    /// How often a body has arrived at any upstream.
    fn arrivals(&self, body: &str) -> usize {
        let arrived = self.servers.iter().flat_map(Server::arrived);
        arrived.filter(|request| request.body == body.as_bytes()).count()
    }

    /// Sends the request until it has crashed three upstreams.
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
            assert_eq!(answer.status(), 503, "not run, and not in vain: {}", answer.text());
            assert!(answer.header("retry-after").is_some());
        }
        assert_eq!(self.arrivals(CRASHING_BODY), before, "it reached no upstream again");
    }
}

/// The request comes again at any box, on a route of each kind.
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
    assert_eq!(answer.status(), 200, "other requests of the caller are served");
}

/// All boxes lose what they know, and the request comes again.
#[tokio::test]
async fn boxes_killed() {
    let mut fleet = Fleet::start(12).await;
    fleet.crash_until_quarantined("/stream/").await;
    for gateway in &fleet.gateways {
        gateway.signal("-9");
    }
    for gateway in &fleet.gateways {
        eventually("it has ended", async || !gateway.is_alive()).await;
        gateway.start_if_ended();
    }
    for gateway in &fleet.gateways {
        wait_ready(gateway).await;
    }
    fleet.assert_quarantined("/stream/").await;
}

/// What ran beside it is served, however often it was cut.
#[tokio::test]
async fn bystander_served() {
    let mut fleet = Fleet::start(12).await;
    for _ in 0..2 {
        for server in &fleet.servers {
            server.then(&[Act::Held]);
        }
        let before = fleet.crash_count();
        let bytes = request("POST", "/once/", &format!("b-{before}"), "", "bystander");
        let clients = fleet.gateways[0].clients.clone();
        let bystander =
            tokio::spawn(async move { Client::connect(&clients).await.send(&bytes).await });
        eventually("it runs", async || fleet.arrivals("bystander") > before).await;
        while fleet.crash_count() <= before {
            fleet.send("/once/", CRASHING_BODY).await;
        }
        for server in &fleet.servers {
            server.then_nothing();
            server.release();
        }
        bystander.await.expect("the task ends");
    }
    let answer = fleet.send("/once/", "bystander").await.expect("an answer");
    assert_eq!(answer.status(), 200);
}

/// A request that is reset again and again, where nothing crashes, is not held back.
#[tokio::test]
async fn resets_only() {
    let mut fleet = Fleet::start(4).await;
    for _ in 0..4 {
        for server in &fleet.servers {
            server.then(&[Act::Close]);
        }
        let answer = fleet.send("/once/", "unlucky").await.expect("an answer");
        assert_eq!(answer.status(), 502);
        fleet.servers.iter().for_each(Server::then_nothing);
    }
    let answer = fleet.send("/once/", "unlucky").await.expect("an answer");
    assert_eq!(answer.status(), 200);
}
