//! Data halls that are disconnected from each other and from the platform go on serving, and
//! agree on the configuration again afterwards.

mod common;

use std::time::Duration;

use common::{
    check_completion, context_text, request_ticket, run_count, service_call, start_fleet,
};
use coursestile_standins::fleet::{Fleet, HallPlan, Plan};
use serde_json::json;

const KEY: &str = "sanam-key";

async fn three_halls() -> Fleet {
    let halls = ["north", "east", "west"].map(|name| HallPlan::new(name, 2, 2, 1));
    let mut plan = Plan::new(halls.to_vec());
    plan.hall_relays = true;
    start_fleet(&plan).await
}

async fn serve_everywhere(fleet: &Fleet, round: &str) {
    for at in 0..fleet.boxes.len() {
        for number in 0..4 {
            let prompt = format!("{}?", context_text(&format!("{round} {at} {number}"), 600));
            check_completion(fleet, at, KEY, &prompt, 5).await;
        }
    }
}

#[tokio::test]
async fn each_serves() {
    let fleet = three_halls().await;
    serve_everywhere(&fleet, "before").await;
    fleet.cut_hall("east", true).await;
    fleet.set_fault(&fleet.platform, json!({ "outage": true })).await;
    serve_everywhere(&fleet, "cut just now").await;
    tokio::time::sleep(Duration::from_secs(6)).await;
    serve_everywhere(&fleet, "cut for long").await;
    fleet.cut_hall("east", false).await;
    fleet.set_fault(&fleet.platform, json!({ "outage": false })).await;
    serve_everywhere(&fleet, "healed").await;
}

#[tokio::test]
async fn boxes_agree() {
    let fleet = three_halls().await;
    fleet.cut_hall("east", true).await;
    // All boxes of the hall are restarted while it is cut off.
    let east: Vec<_> =
        fleet.boxes.iter().filter(|entry_box| entry_box.process.hall == "east").collect();
    for entry_box in &east {
        entry_box.process.restart();
    }
    fleet.must_run_operator_tool(&["account", "set", "petra", "--drop-key", "petra-key"]);
    let other_halls: Vec<_> =
        fleet.boxes.iter().filter(|entry_box| entry_box.process.hall != "east").collect();
    fleet.wait_for_revision(&other_halls, 5, 4).await;
    // The platform is still reached from each hall, so that the hall gets the change from there.
    fleet.wait_for_revision(&east, 5, 2).await;
    fleet.cut_hall("east", false).await;
    let all: Vec<_> = fleet.boxes.iter().collect();
    fleet.wait_for_revision(&all, 5, 6).await;
}

#[tokio::test]
async fn ticket_across() {
    let fleet = three_halls().await;
    let prefix = request_ticket(&fleet, 0, KEY).await;
    let post_order = |at: usize, key: String| {
        let request = service_call(&fleet, at, KEY, "/orders/1").header("idempotency-key", key);
        async { request.header("x-timeout-ms", 800).send().await.unwrap() }
    };
    let key = format!("{prefix}/1");
    assert_eq!(post_order(0, key.clone()).await.status(), 200);
    fleet.cut_hall("north", true).await;
    let response = post_order(2, key.clone()).await;
    assert_eq!(response.headers()["x-coursestile-ran"], "outcome unknown");
    assert_eq!(post_order(1, key.clone()).await.status(), 200, "the own hall is not cut");
    fleet.cut_hall("north", false).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(post_order(2, key.clone()).await.status(), 200);
    assert_eq!(run_count(&fleet, &key).await, 1);
}
