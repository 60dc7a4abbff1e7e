//! A request that upstreams broke off three times is withheld while it is checked whether they have
//! crashed. It was held until its deadline even if the check could not end before.

#[path = "common/site.rs"]
mod common;

use std::time::{Duration, Instant};

use common::start_fixture;
use coursestile_standins::site::client::{Client, request};
use coursestile_standins::site::server::{Behavior, Server};

/// Time limit of the client, shorter than the check of an upstream that still runs.
const CLIENT_LIMIT_MS: u64 = 1500;

#[tokio::test]
async fn refused_at_once() {
    let fixture = start_fixture(4).await;
    let send = async |id: &str, limit_ms: u64| {
        let bytes = request("POST", "/once/", id, "", "unlucky");
        let text = String::from_utf8(bytes).unwrap();
        let text = text.replace("X-Deadline-Ms: 3000", &format!("X-Deadline-Ms: {limit_ms}"));
        Client::connect(&fixture.gateway.clients).await.send(text.as_bytes()).await.unwrap()
    };
    for number in 0..3 {
        fixture.servers.iter().for_each(|server| server.script(&[Behavior::Close]));
        assert_eq!(send(&format!("r-{number}"), 3000).await.status(), 502);
        fixture.servers.iter().for_each(Server::clear_script);
    }
    let arrivals = || fixture.servers.iter().map(|server| server.received().len()).sum::<usize>();
    let (before, sent_at) = (arrivals(), Instant::now());
    let answer = send("r-3", CLIENT_LIMIT_MS).await;
    assert_eq!(answer.status(), 503, "{}", answer.text());
    assert!(answer.header("retry-after").is_some());
    assert!(sent_at.elapsed() < Duration::from_millis(CLIENT_LIMIT_MS) / 2, "held");
    assert_eq!(arrivals(), before, "the refusal says that it has not run");
}
