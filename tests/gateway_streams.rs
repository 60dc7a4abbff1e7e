//! Streams of events arrive complete and in order, or visibly broken.

#[path = "common/site.rs"]
mod common;

use common::{GatewayFixture, start_fixture};
use coursestile_standins::site::server::{Behavior, Server};

fn events(id: &str, count: u32) -> String {
    let events =
        (1..=count).map(|number| format!("id: {number}\ndata: piece {number} of {id}\n\n"));
    events.collect::<Vec<_>>().concat()
}

/// A fixture in which every upstream handles its first request according to `behavior`.
async fn start_fixture_with(servers: usize, behavior: &Behavior) -> GatewayFixture {
    let fixture = start_fixture(servers).await;
    for server in &fixture.servers {
        server.script(std::slice::from_ref(behavior));
    }
    fixture
}

#[tokio::test]
async fn passed_on() {
    let fixture = start_fixture(1).await;
    for (path, id) in [("/stream/", "r-1"), ("/resume/", "r-2")] {
        fixture.servers[0].script(&[Behavior::Events(5)]);
        let answer = fixture.send("POST", path, id).await;
        assert_eq!((answer.status(), answer.complete), (200, true));
        assert_eq!(answer.text(), events(id, 5));
    }
}

#[tokio::test]
async fn broken_visibly() {
    let fixture = start_fixture_with(2, &Behavior::Events(2)).await;
    let answer = fixture.send("POST", "/stream/", "r-1").await;
    assert!(!answer.complete);
    assert_eq!(fixture.arrival_count("r-1"), 1);
}

#[tokio::test]
async fn taken_up() {
    let fixture = start_fixture_with(3, &Behavior::Events(2)).await;
    // Each of the three upstreams sends at most two whole events; the beginning of an event that
    // was cut off is not forwarded.
    let answer = fixture.send("POST", "/resume/", "r-1").await;
    assert_eq!((answer.complete, answer.text()), (true, events("r-1", 5)));
    assert_eq!(fixture.arrival_count("r-1"), 3);
    let all = fixture.servers.iter().flat_map(Server::received);
    let mut resumed_after: Vec<_> =
        all.filter_map(|request| request.header("last-event-id").map(str::to_owned)).collect();
    resumed_after.sort();
    assert_eq!(resumed_after, ["2", "4"]);
}

/// Data that is not UTF-8 does not hide an event's id: events that were forwarded are not sent
/// again.
#[tokio::test]
async fn taken_up_after_bytes() {
    let fixture = start_fixture_with(2, &Behavior::NonUtf8Events(2)).await;
    let answer = fixture.send("POST", "/resume/", "r-1").await;
    let ids: Vec<_> =
        answer.body.split(|byte| *byte == b'\n').filter(|line| line.starts_with(b"id:")).collect();
    assert_eq!(ids, [b"id: 1", b"id: 2", b"id: 3", b"id: 4"]);
}

#[tokio::test]
async fn attempts_used_up() {
    let fixture = start_fixture_with(4, &Behavior::Events(1)).await;
    let answer = fixture.send("POST", "/resume/", "r-1").await;
    assert!(!answer.complete);
    assert_eq!(answer.text(), events("r-1", 3));
    assert_eq!(fixture.arrival_count("r-1"), 3);
}
