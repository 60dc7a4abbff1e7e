//! Helpers for tests that run a fleet of real processes.
#![allow(dead_code, reason = "each test file uses a part")]

use std::fmt::Write as _;

use coursestile_standins::answer::full_answer;
use coursestile_standins::fleet::{Fleet, Plan};
use reqwest::{RequestBuilder, Response};
use serde_json::{Value, json};

/// A text of `tokens` tokens of four bytes, different for each `seed`.
pub fn context_text(seed: &str, tokens: usize) -> String {
    let mut text = String::new();
    let mut line = 0;
    while text.len() < tokens * 4 {
        line += 1;
        let _ = write!(text, "{seed} rule {line}. ");
    }
    text.truncate(tokens * 4);
    text
}

/// Starts a fleet with the accounts `sanam` and `petra`, whose API keys are `sanam-key` and
/// `petra-key`, and waits until each box has this configuration.
pub async fn start_fleet(plan: &Plan) -> Fleet {
    let fleet = Fleet::start(plan).await;
    fleet.must_run_operator_tool(&[
        "template", "set", "group", "--share", "1", "--models", "summary",
    ]);
    fleet.must_run_operator_tool(&["model", "set", "summary", "v1"]);
    for name in ["sanam", "petra"] {
        let key = format!("{name}-key");
        fleet.must_run_operator_tool(&[
            "account",
            "set",
            name,
            "--template",
            "group",
            "--add-key",
            &key,
        ]);
    }
    let boxes: Vec<_> = fleet.boxes.iter().collect();
    fleet.wait_for_revision(&boxes, 4, boxes.len()).await;
    fleet
}

/// A completion request to box number `at` with the API key `key`.
pub fn completion_request(
    fleet: &Fleet,
    at: usize,
    key: &str,
    prompt: &str,
    tokens: u32,
) -> RequestBuilder {
    let body = json!({ "model": "summary", "prompt": prompt, "max_tokens": tokens });
    let url = format!("{}/v1/completions", fleet.boxes[at].process.url());
    fleet.http.post(url).bearer_auth(key).json(&body)
}

/// The completion's text in a successful response.
pub async fn completion_text(response: Response) -> String {
    let status = response.status();
    let body: Value = response.json().await.unwrap();
    assert!(status.is_success(), "{status}: {body}");
    body["choices"][0]["text"].as_str().unwrap().to_owned()
}

/// Sends a completion request and compares the whole response text with the expected one.
pub async fn check_completion(fleet: &Fleet, at: usize, key: &str, prompt: &str, tokens: u32) {
    let response = completion_request(fleet, at, key, prompt, tokens).send().await.unwrap();
    let expected = full_answer("v1", prompt, tokens as usize);
    assert_eq!(completion_text(response).await, expected);
}

/// A call of the service `scores` through box number `at`.
pub fn service_call(fleet: &Fleet, at: usize, key: &str, path: &str) -> RequestBuilder {
    let url = format!("{}/app/scores{path}", fleet.boxes[at].process.url());
    fleet.http.post(url).bearer_auth(key)
}

/// Requests a ticket from box number `at` and returns its prefix for idempotency keys.
pub async fn request_ticket(fleet: &Fleet, at: usize, key: &str) -> String {
    let url = format!("{}/v1/tickets", fleet.boxes[at].process.url());
    let response = fleet.http.post(url).bearer_auth(key).send().await.unwrap();
    let body: Value = response.json().await.unwrap();
    body["prefix"].as_str().unwrap().to_owned()
}

/// Number of times that the workers ran the call with the idempotency key `key`.
pub async fn run_count(fleet: &Fleet, key: &str) -> u64 {
    let mut count = 0;
    for worker in &fleet.workers {
        let runs_by_key = fleet.get(&format!("{}/runs", worker.url())).await.unwrap_or_default();
        count += runs_by_key[key].as_u64().unwrap_or(0);
    }
    count
}
