//! New requests run on the version in force, and a running one completes on the version that it
//! began with.

mod common;

use std::time::Duration;

use common::{completion_request, completion_text, start_fleet};
use coursestile_standins::answer::full_answer;
use coursestile_standins::fleet::{Fleet, Plan};
use serde_json::{Value, json};

const KEY: &str = "sanam-key";

fn with_engine_option(mut plan: Plan, option: &str, value: &str) -> Plan {
    plan.engine_args.push((option.to_owned(), value.to_owned()));
    plan
}

async fn wait_version(fleet: &Fleet, version: &str) {
    for engine in &fleet.engines {
        loop {
            let load = fleet.get(&format!("{}/load", engine.url())).await.unwrap_or_default();
            if load["version"] == version && load["loading"] == false {
                break;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

#[tokio::test]
async fn swap_mid_run() {
    let fleet = start_fleet(&Plan::one_hall(2, 2, 0)).await;
    let request = completion_request(&fleet, 0, KEY, "A long one.", 500);
    let long_completion =
        tokio::spawn(async move { completion_text(request.send().await.unwrap()).await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.must_run_operator_tool(&["model", "set", "summary", "v2"]);
    wait_version(&fleet, "v2").await;
    let response = completion_request(&fleet, 1, KEY, "A new one.", 10).send().await.unwrap();
    assert_eq!(completion_text(response).await, full_answer("v2", "A new one.", 10));
    assert_eq!(
        long_completion.await.unwrap(),
        full_answer("v1", "A long one.", 500),
        "it kept its own"
    );
}

#[tokio::test]
async fn swap_under_load() {
    let fleet = start_fleet(&Plan::one_hall(2, 4, 0)).await;
    for round in 0..40 {
        if round == 10 {
            fleet.must_run_operator_tool(&["model", "set", "summary", "v2"]);
        }
        let prompt = format!("Question {round}?");
        let response = completion_request(&fleet, round % 2, KEY, &prompt, 5).send().await.unwrap();
        let body: Value = response.json().await.unwrap();
        let version = body["system_fingerprint"].as_str().unwrap_or_else(|| panic!("{body}"));
        assert!(round < 10 || round < 15 || version == "v2", "round {round}: {body}");
        assert_eq!(body["choices"][0]["text"], full_answer(version, &prompt, 5));
    }
}

#[tokio::test]
async fn version_unchecked() {
    // The engine does not check the version that a request expects, and refuses load orders.
    let fleet =
        start_fleet(&with_engine_option(Plan::one_hall(1, 1, 0), "check-version", "false")).await;
    fleet.set_fault(&fleet.engines[0], json!({ "refuse_orders": true })).await;
    fleet.must_run_operator_tool(&["model", "set", "summary", "v2"]);
    let boxes: Vec<_> = fleet.boxes.iter().collect();
    fleet.wait_for_revision(&boxes, 5, 1).await;
    for _ in 0..3 {
        let refused = completion_request(&fleet, 0, KEY, "Which version?", 5).send().await.unwrap();
        assert!(!refused.status().is_success(), "nothing of v1 is let through");
    }
}

#[tokio::test]
async fn version_not_allowed() {
    let fleet = start_fleet(&Plan::one_hall(1, 1, 0)).await;
    fleet.must_run_operator_tool(&["account", "set", "sanam", "--models", "summary=v1"]);
    fleet.must_run_operator_tool(&["model", "set", "summary", "v2"]);
    let boxes: Vec<_> = fleet.boxes.iter().collect();
    fleet.wait_for_revision(&boxes, 6, 1).await;
    let refused = completion_request(&fleet, 0, KEY, "Mine?", 5).send().await.unwrap();
    assert_eq!(refused.status(), 403);
    wait_version(&fleet, "v2").await;
    let response = completion_request(&fleet, 0, "petra-key", "Mine?", 5).send().await.unwrap();
    assert_eq!(completion_text(response).await, full_answer("v2", "Mine?", 5));
}

/// Index of the first box that has acquired the hall's lease.
fn lease_holder(fleet: &Fleet) -> Option<usize> {
    fleet.boxes.iter().position(|entry_box| {
        let log = fleet.dir().join(format!("{}.log", entry_box.process.name));
        std::fs::read_to_string(log).unwrap_or_default().contains("Holds the lease")
    })
}

#[tokio::test]
async fn orderer_frozen() {
    let fleet = start_fleet(&Plan::one_hall(2, 2, 0)).await;
    while lease_holder(&fleet).is_none() {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let (old_holder, new_holder) = if lease_holder(&fleet) == Some(0) { (0, 1) } else { (1, 0) };
    fleet.boxes[old_holder].process.signal("-STOP");
    fleet.must_run_operator_tool(&["model", "set", "summary", "v2"]);
    // The lease expires, and the other box acquires it and gives orders with a new fencing token.
    wait_version(&fleet, "v2").await;
    fleet.boxes[old_holder].process.signal("-CONT");
    tokio::time::sleep(Duration::from_secs(3)).await;
    let stale_order = json!({ "fence": 1, "expect_version": "v2", "version": "v1" });
    let request = fleet.http.post(format!("{}/orders", fleet.engines[0].url())).json(&stale_order);
    assert_eq!(request.send().await.unwrap().status(), 403, "the old token is refused");
    wait_version(&fleet, "v2").await;
    for at in [old_holder, new_holder] {
        let status = fleet.status(&fleet.boxes[at]).await.unwrap();
        assert_eq!(status["violations"], 0);
    }
}
