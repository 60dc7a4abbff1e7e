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
const CONTACT: Duration = Duration::from_secs(3);
/// Crashes after which a request is held back.
const CRASHES: usize = 3;
/// Body of the request that crashes what runs it.
const DEADLY: &str = "deadly";

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
            server.crash_on(DEADLY);
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

    fn crashed(&self) -> usize {
        self.servers.iter().filter(|server| server.has_crashed()).count()
    }

    /// How often a body has arrived at any upstream.
    fn count(&self, body: &str) -> usize {
        let arrived = self.servers.iter().flat_map(Server::arrived);
        arrived.filter(|one| one.body == body.as_bytes()).count()
    }

    /// Sends the request until it has crashed three upstreams.
    async fn crash_three(&mut self, path: &str) {
        while self.crashed() < CRASHES {
            self.send(path, DEADLY).await;
        }
        tokio::time::sleep(CONTACT).await;
    }

    async fn assert_held_back(&mut self, path: &str) {
        let before = self.count(DEADLY);
        for _ in 0..6 {
            let answer = self.send(path, DEADLY).await.expect("an answer");
            assert_eq!(answer.status(), 503, "not run, and not in vain: {}", answer.text());
            assert!(answer.header("retry-after").is_some());
        }
        assert_eq!(self.count(DEADLY), before, "it reached no upstream again");
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
    fleet.crash_three(path).await;
    fleet.assert_held_back(path).await;
    let other = fleet.send(path, "sound").await.expect("an answer");
    assert_eq!(other.status(), 200, "other requests of the caller are served");
}

/// All boxes lose what they know, and the request comes again.
#[tokio::test]
async fn boxes_killed() {
    let mut fleet = Fleet::start(12).await;
    fleet.crash_three("/stream/").await;
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
    fleet.assert_held_back("/stream/").await;
}

/// What ran beside it is served, however often it was cut.
#[tokio::test]
async fn bystander_served() {
    let mut fleet = Fleet::start(12).await;
    for _ in 0..2 {
        for server in &fleet.servers {
            server.then(&[Act::Held]);
        }
        let before = fleet.crashed();
        let bytes = request("POST", "/once/", &format!("b-{before}"), "", "bystander");
        let clients = fleet.gateways[0].clients.clone();
        let bystander =
            tokio::spawn(async move { Client::connect(&clients).await.send(&bytes).await });
        eventually("it runs", async || fleet.count("bystander") > before).await;
        while fleet.crashed() <= before {
            fleet.send("/once/", DEADLY).await;
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
