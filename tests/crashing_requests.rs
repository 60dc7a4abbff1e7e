//! A completion or a repeatable call that crashes its upstream must not be retried at all the
//! others: they were tried at up to sixteen, and once more through each further box.

mod common;

use common::{check_completion, completion_request, service_call, start_fleet};
use coursestile_standins::fleet::{Fleet, Plan, Process};
use coursestile_standins::site::eventually;
use reqwest::Response;
use serde_json::{Value, json};

const KEY: &str = "sanam-key";
/// Number of upstreams that one request may crash before it is quarantined.
const MAX_CRASHES: usize = 3;

/// Starts a hall of two boxes whose upstreams all crash on requests that contain "deadly".
async fn start_hall() -> Fleet {
    let fleet = start_fleet(&Plan::one_hall(2, 8, 8)).await;
    for upstream in fleet.engines.iter().chain(&fleet.workers) {
        fleet.set_fault(upstream, json!({ "die_on": "deadly" })).await;
    }
    fleet
}

async fn running_count(fleet: &Fleet, upstreams: &[Process]) -> usize {
    let mut count = 0;
    for upstream in upstreams {
        count += usize::from(fleet.get(&format!("{}/runs", upstream.url())).await.is_some());
    }
    count
}

async fn is_quarantined(response: Response) -> bool {
    let status = response.status();
    let has_retry_after = response.headers().contains_key("retry-after");
    let body: Value = response.json().await.unwrap();
    status == 503 && has_retry_after && body["error"]["ran"] == "not run"
}

#[tokio::test]
async fn completion_crashes() {
    let fleet = start_hall().await;
    let response = completion_request(&fleet, 0, KEY, "deadly", 10).send().await.unwrap();
    let body: Value = response.json().await.unwrap();
    assert_eq!(body["error"]["ran"], "outcome unknown", "{body}");
    assert_eq!(running_count(&fleet, &fleet.engines).await, 8 - MAX_CRASHES);
    eventually("the other box knows", async || {
        let response = completion_request(&fleet, 1, KEY, "deadly", 10).send().await.unwrap();
        is_quarantined(response).await
    })
    .await;
    assert!(
        is_quarantined(completion_request(&fleet, 0, KEY, "deadly", 10).send().await.unwrap())
            .await
    );
    assert_eq!(running_count(&fleet, &fleet.engines).await, 8 - MAX_CRASHES);
    check_completion(&fleet, 1, KEY, "sound", 10).await;
}

#[tokio::test]
async fn call_crashes() {
    let fleet = start_hall().await;
    let response = service_call(&fleet, 0, KEY, "/fixtures/deadly").send().await.unwrap();
    assert_eq!(response.status(), 502);
    assert_eq!(running_count(&fleet, &fleet.workers).await, 8 - MAX_CRASHES);
    eventually("the other box knows", async || {
        is_quarantined(service_call(&fleet, 1, KEY, "/fixtures/deadly").send().await.unwrap()).await
    })
    .await;
    assert_eq!(running_count(&fleet, &fleet.workers).await, 8 - MAX_CRASHES);
    assert_eq!(service_call(&fleet, 1, KEY, "/fixtures/sound").send().await.unwrap().status(), 200);
}
