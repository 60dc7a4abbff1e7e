//! A completion or a repeatable call that crashes its upstream must not be retried at all the
//! others: they were tried at up to sixteen, and once more through each further box.

mod common;

use std::time::Duration;

use common::{check_completion, completion_request, service_call, start_fleet};
use coursestile_standins::fleet::{Fleet, HallPlan, Plan, Process};
use coursestile_standins::site::eventually;
use reqwest::Response;
use serde_json::{Value, json};

const KEY: &str = "sanam-key";
/// Number of upstreams that one request may crash before it is quarantined.
const MAX_CRASHES: usize = 3;

/// Time within which a call is answered while another box is paused.
const PAUSED_PEER_BOUND: Duration = Duration::from_secs(5);
/// Time for which an upstream's port stays open after a crash has closed its connections.
const EXIT_DELAY: Duration = Duration::from_millis(150);
/// Delay of messages between the boxes.
const MESSAGE_DELAY_MS: u64 = 80;

/// Starts a hall of two boxes whose upstreams all crash on requests that contain "deadly".
async fn start_hall() -> Fleet {
    let fleet = start_fleet(&Plan::one_hall(2, 8, 8)).await;
    for upstream in fleet.engines.iter().chain(&fleet.workers) {
        fleet.set_fault(upstream, json!({ "die_on": "deadly" })).await;
    }
    fleet
}

/// Starts two boxes, each in its own hall, with delayed messages between them.
async fn start_distant_boxes() -> Fleet {
    let halls = ["north", "east"].map(|name| HallPlan::new(name, 1, 4, 4));
    let fleet = start_fleet(&Plan { hall_relays: true, ..Plan::new(halls.to_vec()) }).await;
    for upstream in fleet.engines.iter().chain(&fleet.workers) {
        fleet.set_fault(upstream, json!({ "die_on": "deadly" })).await;
    }
    fleet.delay_halls(MESSAGE_DELAY_MS).await;
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

// The other box must know of all crashes before the caller is answered. The report was not waited
// for, so that a caller who asked the other box at once crashed a fourth upstream there.
#[tokio::test]
async fn call_report_delayed() {
    let fleet = start_distant_boxes().await;
    let response = service_call(&fleet, 0, KEY, "/fixtures/deadly").send().await.unwrap();
    assert_eq!(response.status(), 502);
    let repeated = service_call(&fleet, 1, KEY, "/fixtures/deadly").send().await.unwrap();
    assert!(is_quarantined(repeated).await);
    assert_eq!(running_count(&fleet, &fleet.workers).await, 8 - MAX_CRASHES);
}

// The same for completions.
#[tokio::test]
async fn completion_report_delayed() {
    let fleet = start_distant_boxes().await;
    let response = completion_request(&fleet, 0, KEY, "deadly", 10).send().await.unwrap();
    let body: Value = response.json().await.unwrap();
    assert_eq!(body["error"]["ran"], "outcome unknown", "{body}");
    let repeated = completion_request(&fleet, 1, KEY, "deadly", 10).send().await.unwrap();
    assert!(is_quarantined(repeated).await);
    assert_eq!(running_count(&fleet, &fleet.engines).await, 8 - MAX_CRASHES);
}

// Each call that may not be repeated crashes one upstream. The crashes count together, whichever
// box saw them.
#[tokio::test]
async fn orders_report_delayed() {
    let fleet = start_distant_boxes().await;
    for at in [0, 1, 0] {
        let response = service_call(&fleet, at, KEY, "/orders/deadly").send().await.unwrap();
        assert_eq!(response.status(), 502);
    }
    let repeated = service_call(&fleet, 1, KEY, "/orders/deadly").send().await.unwrap();
    assert!(is_quarantined(repeated).await);
    assert_eq!(running_count(&fleet, &fleet.workers).await, 8 - MAX_CRASHES);
}

// A box that does not acknowledge a report must not hold the caller up for long.
#[tokio::test]
async fn peer_paused() {
    let fleet = start_hall().await;
    fleet.boxes[1].process.signal("-STOP");
    let call = service_call(&fleet, 0, KEY, "/fixtures/deadly").timeout(PAUSED_PEER_BOUND);
    assert_eq!(call.send().await.unwrap().status(), 502);
    fleet.boxes[1].process.signal("-CONT");
    assert_eq!(running_count(&fleet, &fleet.workers).await, 8 - MAX_CRASHES);
}

// An upstream that crashes may close the connection of the request some time before its port. The
// crash was not recognized, so that the request was sent to more upstreams than three.
#[tokio::test]
async fn port_closed_late() {
    let fleet = start_hall().await;
    for upstream in fleet.engines.iter().chain(&fleet.workers) {
        fleet.set_fault(upstream, json!({ "die_delay_ms": EXIT_DELAY.as_millis() })).await;
    }
    let response = service_call(&fleet, 0, KEY, "/fixtures/deadly").send().await.unwrap();
    assert_eq!(response.status(), 502);
    tokio::time::sleep(2 * EXIT_DELAY).await;
    assert_eq!(running_count(&fleet, &fleet.workers).await, 8 - MAX_CRASHES);
    let response = completion_request(&fleet, 0, KEY, "deadly", 10).send().await.unwrap();
    let body: Value = response.json().await.unwrap();
    assert_eq!(body["error"]["ran"], "outcome unknown", "{body}");
    tokio::time::sleep(2 * EXIT_DELAY).await;
    assert_eq!(running_count(&fleet, &fleet.engines).await, 8 - MAX_CRASHES);
}

// A box that starts must know of quarantined requests before it serves.
#[tokio::test]
async fn box_restarted() {
    let fleet = start_hall().await;
    let response = service_call(&fleet, 0, KEY, "/fixtures/deadly").send().await.unwrap();
    assert_eq!(response.status(), 502);
    let restarted_box = &fleet.boxes[1];
    restarted_box.process.kill();
    restarted_box.process.restart();
    fleet.wait_for(&format!("http://{}/live", restarted_box.operators)).await;
    fleet.wait_for_revision(&[restarted_box], 4, 2).await;
    let repeated = service_call(&fleet, 1, KEY, "/fixtures/deadly").send().await.unwrap();
    assert!(is_quarantined(repeated).await);
    assert_eq!(running_count(&fleet, &fleet.workers).await, 8 - MAX_CRASHES);
}

/// Length of a prompt section that has a prefix hash of its own.
const SECTION_BYTES: usize = 1024;

// Completions with one section in common crashed every engine, since no two of them were alike. A
// first one crashes three engines by itself, which tells nothing of its sections, and a second one
// more.
#[tokio::test]
async fn shared_section() {
    let fleet = start_hall().await;
    let common = "c".repeat(SECTION_BYTES);
    let deadly = format!("{:x<SECTION_BYTES$}", "deadly");
    for number in 0..6 {
        let own = format!("{number:0>SECTION_BYTES$}");
        let prompt = format!("{common}{deadly}{own}");
        completion_request(&fleet, number % 2, KEY, &prompt, 10).send().await.unwrap();
        check_completion(&fleet, number % 2, KEY, &format!("{common}{own}"), 10).await;
    }
    assert_eq!(running_count(&fleet, &fleet.engines).await, 8 - MAX_CRASHES - 1);
    let own = "9".repeat(SECTION_BYTES);
    for number in 0..2 {
        let prompt = format!("{common}{deadly}{own}");
        let response = completion_request(&fleet, number, KEY, &prompt, 10).send().await.unwrap();
        assert!(is_quarantined(response).await);
    }
}
