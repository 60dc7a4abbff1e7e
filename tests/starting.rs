//! A box that starts learns from its peers which requests are quarantined before it runs any.

mod common;

use std::time::{Duration, Instant};

use common::{service_call, start_fleet};
use coursestile_standins::fleet::Plan;
use serde_json::Value;

const KEY: &str = "sanam-key";
/// Time limit of the caller, in milliseconds.
const CALLER_LIMIT_MS: u64 = 200;
/// A little less than a box waits for its peers.
const HELD_TOO_LONG: Duration = Duration::from_millis(1500);

/// No peer answers. Calls are not held for that beyond their own limit.
#[tokio::test]
async fn caller_limit() {
    let fleet = start_fleet(&Plan::one_hall(2, 2, 2)).await;
    let (silent, restarted) = (&fleet.boxes[0], &fleet.boxes[1]);
    silent.process.signal("-STOP");
    restarted.process.kill();
    restarted.process.restart();
    fleet.wait_for(&format!("http://{}/live", restarted.operators)).await;
    let sent_at = Instant::now();
    let call = service_call(&fleet, 1, KEY, "/fixtures/1");
    let response = call.header("x-timeout-ms", CALLER_LIMIT_MS).send().await.unwrap();
    assert!(sent_at.elapsed() < HELD_TOO_LONG, "held for {:?}", sent_at.elapsed());
    assert_eq!(response.status(), 503);
    let body: Value = response.json().await.unwrap();
    assert_eq!(body["error"]["ran"], "not run", "{body}");
    silent.process.signal("-CONT");
}
