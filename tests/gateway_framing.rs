//! Answers without a length or chunks: a stream that its upstream broke off by closing the
//! connection reached its client with a last chunk, as a complete one.

#[path = "common/site.rs"]
mod common;

use common::{GatewayFixture, start_fixture};
use coursestile_standins::site::http::Message;
use coursestile_standins::site::server::{Behavior, ConnectionEnd, Sent};

/// Fixture in which every upstream handles its first request in this way.
async fn start_fixture_with(servers: usize, sent: Sent, end: ConnectionEnd) -> GatewayFixture {
    let fixture = start_fixture(servers).await;
    for server in &fixture.servers {
        server.script(&[Behavior::CloseDelimited(sent, end)]);
    }
    fixture
}

/// A complete answer with a status of success.
fn is_success(answer: &Message) -> bool {
    answer.complete && answer.status() == 200
}

#[tokio::test]
async fn broken_stream_complete() {
    let fixture = start_fixture_with(2, Sent::Half, ConnectionEnd::Close).await;
    let answer = fixture.send("POST", "/stream/", "r-1").await;
    assert!(!is_success(&answer), "it ends within an event: {}", answer.text());
    assert_eq!(fixture.arrival_count("r-1"), 1);
}
