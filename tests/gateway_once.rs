//! A request that may not be repeated runs at most once, and its client is never told falsely that
//! it has or has not run.

#[path = "common/site.rs"]
mod common;

use common::{start_fixture, wait_ready};
use coursestile_standins::site::client::request_once;
use coursestile_standins::site::server::{Behavior, ConnectionEnd, Sent, Server};
use coursestile_standins::site::{eventually, service_entry};
use rstest::rstest;
use serde_json::json;

#[rstest]
#[case::closed(Behavior::Close)]
#[case::other_answer(Behavior::WrongRequestId)]
#[case::no_proof(Behavior::MissingSeal)]
#[case::cut_body(Behavior::TruncatedBody)]
#[tokio::test]
async fn never_again(#[case] behavior: Behavior) {
    let fixture = start_fixture(2).await;
    for server in &fixture.servers {
        server.script(std::slice::from_ref(&behavior));
    }
    let answer = fixture.send("POST", "/once/", "r-1").await;
    // The client must get neither "not run" nor an answer that is not the upstream's.
    assert_eq!(answer.status(), 502);
    assert_eq!(answer.header("x-server-seal"), None);
    assert_eq!(fixture.arrival_count("r-1"), 1);
}

#[tokio::test]
async fn again_when_not_run() {
    let fixture = start_fixture(2).await;
    for server in &fixture.servers {
        server.script(&[Behavior::NotRun]);
    }
    // Two attempts are allowed, and both are rejected: the request has certainly not run.
    let answer = fixture.send("POST", "/once/", "r-1").await;
    assert_eq!((answer.status(), fixture.arrival_count("r-1")), (503, 2));
    assert!(answer.header("retry-after").is_some());
    let answer = fixture.send("POST", "/once/", "r-2").await;
    assert_eq!((answer.status(), fixture.arrival_count("r-2")), (200, 1));
}

/// Path of a route that allows one attempt.
const ONE_ATTEMPT: &str = "/stream/";

#[tokio::test]
async fn again_when_misdirected() {
    let mut fixture = start_fixture(1).await;
    let other_incarnation = Server::start("a-old").await;
    other_incarnation.script(&vec![Behavior::OtherIncarnation; 100]);
    // The box prefers an upstream of its own hall, so the other one is in another hall.
    let mut remote_entry = service_entry("plain", &fixture.servers[0].address, "ready");
    remote_entry["zone"] = json!("south");
    fixture.site.register(&fixture.servers[0].id, &remote_entry);
    fixture.site.register("a-old", &service_entry("plain", &other_incarnation.address, "ready"));
    let peer = fixture.site.gateway("north", &[&fixture.gateway]);
    wait_ready(&peer).await;
    let known = async || {
        [&fixture.gateway, &peer]
            .iter()
            .all(|gateway| gateway.log_text().contains("upstream=a-old"))
    };
    eventually("both boxes know the upstream", known).await;
    // Another incarnation, which has its address now, got the request; the one that was meant no
    // longer exists.
    for number in 0..8 {
        let id = format!("r-{number}");
        let answer = fixture.send("POST", ONE_ATTEMPT, &id).await;
        assert_eq!((answer.status(), fixture.arrival_count(&id)), (200, 1));
    }
    assert_eq!(other_incarnation.received().len(), 1, "one such answer is enough");
    eventually("the peer avoids the upstream", async || {
        let before = other_incarnation.received().len();
        for number in 0..4 {
            request_once(&peer.clients, "POST", ONE_ATTEMPT, &format!("p-{number}")).await.unwrap();
        }
        other_incarnation.received().len() == before
    })
    .await;
}

#[tokio::test]
async fn again_when_unsent() {
    let fixture = start_fixture(1).await;
    // Nothing listens at this address.
    fixture.site.register("s-gone", &service_entry("plain", "127.0.0.1:9", "ready"));
    eventually("the box knows the upstream", async || {
        fixture.gateway.log_text().contains("s-gone")
    })
    .await;
    for number in 0..6 {
        let id = format!("r-{number}");
        let answer = fixture.send("POST", "/once/", &id).await;
        assert_eq!((answer.status(), fixture.arrival_count(&id)), (200, 1));
    }
}

#[tokio::test]
async fn surplus_answer() {
    let fixture = start_fixture(1).await;
    fixture.servers[0].script(&[Behavior::DuplicateAnswer]);
    for number in 0..5 {
        let id = format!("r-{number}");
        let answer = fixture.send("POST", "/once/", &id).await;
        assert_eq!(answer.text(), format!("answer to {id}: "));
        assert_eq!(fixture.arrival_count(&id), 1);
    }
}

#[tokio::test]
async fn time_over() {
    let fixture = start_fixture(1).await;
    fixture.servers[0].script(&[Behavior::DelayedAnswer(std::time::Duration::from_secs(20))]);
    let bytes = coursestile_standins::site::client::request("POST", "/once/", "r-1", "", "");
    let short_deadline =
        String::from_utf8(bytes).unwrap().replace("X-Deadline-Ms: 3000", "X-Deadline-Ms: 300");
    let answer = fixture.send_raw(short_deadline.as_bytes()).await.unwrap();
    assert_eq!(answer.status(), 504);
}

#[tokio::test]
async fn without_length() {
    let fixture = start_fixture(1).await;
    fixture.servers[0].script(&[Behavior::CloseDelimited(Sent::Whole, ConnectionEnd::Close)]);
    let answer = fixture.send("POST", "/once/", "r-1").await;
    assert_eq!((answer.status(), answer.text().as_str()), (200, "answer to r-1: "));
}
