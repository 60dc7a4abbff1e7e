//! Bytes after a whole answer that look like a rejection: the request that ran meanwhile on the connection
//! was refused as not run, and ran again when its client repeated it.

#[path = "common/site.rs"]
mod common;

use std::time::Duration;

use common::{GatewayFixture, start_fixture};
use coursestile_standins::site::client::{Client, request};
use coursestile_standins::site::server::Behavior;
use rstest::rstest;

/// Shorter than the time for which an open connection is used for requests that may run only once.
const WORK_TIME: Duration = Duration::from_millis(50);

/// Sends requests one after the other until a connection to the upstream has been used before, and returns
/// what the next one gets, which is handled so: its status, and how often it ran.
async fn send_on_reused(fixture: &GatewayFixture, path: &str, behavior: Behavior) -> (u16, usize) {
    let mut client = Client::connect(&fixture.gateway.clients).await;
    let first = client.send(&request("POST", path, "r-1", "", "")).await.expect("an answer");
    assert_eq!(first.status(), 200);
    // The connection is kept a moment after the answer has been forwarded.
    tokio::time::sleep(Duration::from_millis(20)).await;
    fixture.servers[0].script(&[behavior]);
    let answer = client.send(&request("POST", path, "r-2", "", "")).await.expect("an answer");
    let executed = fixture.servers[0].executed();
    (answer.status(), executed.iter().filter(|run| run.request_id == "r-2").count())
}

#[rstest]
#[tokio::test]
async fn surplus_rejection(#[values("/once/", "/stream/")] path: &str) {
    let fixture = start_fixture(1).await;
    let behavior = Behavior::RejectionThenAnswer(WORK_TIME);
    assert_eq!(send_on_reused(&fixture, path, behavior).await, (200, 1));
}

/// A rejection of the request itself stays one.
#[rstest]
#[tokio::test]
async fn own_rejection(#[values("/once/", "/stream/")] path: &str) {
    let fixture = start_fixture(1).await;
    assert_eq!(send_on_reused(&fixture, path, Behavior::NotRunUnnamed).await, (503, 0));
}
