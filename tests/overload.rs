//! Under overload, work is refused early and truthfully, and retries stay within
//! their budget.

mod common;

use std::time::{Duration, Instant};

use common::{completion_request, context_text, start_fleet};
use coursestile_standins::fleet::{Fleet, Plan};
use futures_util::future::join_all;
use serde_json::{Value, json};

const KEY: &str = "sanam-key";

async fn started(fleet: &Fleet) -> usize {
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
    let begun_at = Instant::now();
    let mut calls = Vec::new();
    for wave in 0..6 {
        for number in 0..40 {
            let prompt = format!("{}?", context_text(&format!("{wave} {number}"), 3000));
            let call = completion_request(&fleet, number % 2, KEY, &prompt, 10);
            calls.push(tokio::spawn(call.header("x-timeout-ms", 3000).send()));
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    let answers = join_all(calls).await;
    assert!(begun_at.elapsed() < Duration::from_secs(10));
    let (mut whole, mut refused, mut early) = (0, 0, 0);
    for answer in answers {
        let answer = answer.unwrap().unwrap();
        if answer.status().is_success() {
            whole += 1;
            continue;
        }
        refused += 1;
        let comes_back = answer.headers().contains_key("retry-after");
        let body: Value = answer.json().await.unwrap();
        if body["error"]["type"] == "overloaded" {
            assert!(comes_back && body["error"]["ran"] == "not run", "{body}");
            early += 1;
        }
    }
    assert!(whole > 10 && early > 10, "whole {whole}, refused {refused}, early {early}");
}

#[tokio::test]
async fn not_run_true() {
    let fleet = start_fleet(&Plan::one_hall(2, 1, 0)).await;
    let mut calls = Vec::new();
    for number in 0..200 {
        let prompt = format!("{}?", context_text(&number.to_string(), 2000));
        let call = completion_request(&fleet, number % 2, KEY, &prompt, 10);
        calls.push(tokio::spawn(call.header("x-timeout-ms", 1500).send()));
    }
    let mut not_run = 0;
    for answer in join_all(calls).await {
        let answer = answer.unwrap().unwrap();
        let ran = answer.headers().get("x-coursestile-ran").cloned();
        not_run += usize::from(ran.is_some_and(|ran| ran == "not run"));
    }
    // Each request that is not refused as not run has at most one run here.
    assert!(not_run > 0);
    assert!(started(&fleet).await <= 200 - not_run, "a refused request ran");
}

#[tokio::test]
async fn retries_bounded() {
    let fleet = start_fleet(&Plan::one_hall(2, 3, 0)).await;
    for engine in &fleet.engines {
        fleet.fault(engine, json!({ "outage": true })).await;
    }
    let mut calls = Vec::new();
    for number in 0..100 {
        let call = completion_request(&fleet, number % 2, KEY, &format!("Question {number}?"), 3);
        calls.push(tokio::spawn(call.header("x-timeout-ms", 4000).send()));
    }
    for answer in join_all(calls).await {
        assert!(!answer.unwrap().unwrap().status().is_success());
    }
    let mut attempts = 0;
    for engine in &fleet.engines {
        let counts = fleet.get(&format!("{}/counts", engine.url())).await.unwrap();
        attempts += counts["completions"].as_u64().unwrap();
    }
    // 100 first attempts at most, a tenth of them again, and what was saved up.
    assert!(attempts <= 100 + 10 + 2 * 5 + 2, "{attempts} attempts for 100 requests");
}
