//! Under overload, requests are refused early, have not run if the response says so, and retries
//! stay within their budget.

mod common;

use std::time::{Duration, Instant};

use common::{completion_request, context_text, start_fleet};
use coursestile_standins::fleet::{Fleet, Plan};
use futures_util::future::join_all;
use serde_json::{Value, json};

const KEY: &str = "sanam-key";

async fn started_count(fleet: &Fleet) -> usize {
    let mut count = 0;
    for engine in &fleet.engines {
        let runs = fleet.get(&format!("{}/runs", engine.url())).await.unwrap();
        count += runs["started"].as_array().unwrap().len();
    }
    count
}

#[tokio::test]
async fn refused_early() {
    let fleet = start_fleet(&Plan::one_hall(2, 1, 0)).await;
    let started_at = Instant::now();
    let mut requests = Vec::new();
    for wave in 0..6 {
        for number in 0..40 {
            let prompt = format!("{}?", context_text(&format!("{wave} {number}"), 3000));
            let request = completion_request(&fleet, number % 2, KEY, &prompt, 10);
            requests.push(tokio::spawn(request.header("x-timeout-ms", 3000).send()));
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    let responses = join_all(requests).await;
    assert!(started_at.elapsed() < Duration::from_secs(10));
    let (mut completed, mut refused, mut early) = (0, 0, 0);
    for response in responses {
        let response = response.unwrap().unwrap();
        if response.status().is_success() {
            completed += 1;
            continue;
        }
        refused += 1;
        let has_retry_after = response.headers().contains_key("retry-after");
        let body: Value = response.json().await.unwrap();
        if body["error"]["type"] == "overloaded" {
            assert!(has_retry_after && body["error"]["ran"] == "not run", "{body}");
            early += 1;
        }
    }
    assert!(completed > 10 && early > 10, "whole {completed}, refused {refused}, early {early}");
}

#[tokio::test]
async fn not_run_true() {
    let fleet = start_fleet(&Plan::one_hall(2, 1, 0)).await;
    let mut requests = Vec::new();
    for number in 0..200 {
        let prompt = format!("{}?", context_text(&number.to_string(), 2000));
        let request = completion_request(&fleet, number % 2, KEY, &prompt, 10);
        requests.push(tokio::spawn(request.header("x-timeout-ms", 1500).send()));
    }
    let mut not_run = 0;
    for response in join_all(requests).await {
        let response = response.unwrap().unwrap();
        let ran = response.headers().get("x-coursestile-ran").cloned();
        not_run += usize::from(ran.is_some_and(|ran| ran == "not run"));
    }
    // Each request starts at most one run, and those refused as "not run" start none.
    assert!(not_run > 0);
    assert!(started_count(&fleet).await <= 200 - not_run, "a refused request ran");
}

#[tokio::test]
async fn retries_bounded() {
    let fleet = start_fleet(&Plan::one_hall(2, 3, 0)).await;
    for engine in &fleet.engines {
        fleet.set_fault(engine, json!({ "outage": true })).await;
    }
    let mut requests = Vec::new();
    for number in 0..100 {
        let request =
            completion_request(&fleet, number % 2, KEY, &format!("Question {number}?"), 3);
        requests.push(tokio::spawn(request.header("x-timeout-ms", 4000).send()));
    }
    for response in join_all(requests).await {
        assert!(!response.unwrap().unwrap().status().is_success());
    }
    let mut attempts = 0;
    for engine in &fleet.engines {
        let counts = fleet.get(&format!("{}/counts", engine.url())).await.unwrap();
        attempts += counts["completions"].as_u64().unwrap();
    }
    // At most 100 first attempts, retries of a tenth of them, and the saved-up budget of both boxes.
    assert!(attempts <= 100 + 10 + 2 * 5 + 2, "{attempts} attempts for 100 requests");
}
