//! What the tests of the whole path share.
#![allow(dead_code, reason = "each test file uses a part")]

use std::fmt::Write as _;

use coursestile_standins::answer::whole;
use coursestile_standins::fleet::{Fleet, Plan};
use reqwest::{RequestBuilder, Response};
use serde_json::{Value, json};

/// A long text, different for each `seed`, of about `tokens` tokens.
pub fn context(seed: &str, tokens: usize) -> String {
    let mut text = String::new();
    let mut line = 0;
    while text.len() < tokens * 4 {
        line += 1;
        let _ = write!(text, "{seed} rule {line}. ");
    }
    text.truncate(tokens * 4);
    text
}

/// Starts a fleet with the accounts `sanam` and `petra`, whose keys are
/// `sanam-key` and `petra-key`.
pub async fn fleet(plan: &Plan) -> Fleet {
    let fleet = Fleet::start(plan).await;
    fleet.must_operate(&["template", "set", "group", "--share", "1", "--models", "summary"]);
    fleet.must_operate(&["model", "set", "summary", "v1"]);
    for name in ["sanam", "petra"] {
        let key = format!("{name}-key");
        fleet.must_operate(&["account", "set", name, "--template", "group", "--add-key", &key]);
    }
    let boxes: Vec<_> = fleet.boxes.iter().collect();
    fleet.wait_in_force(&boxes, 4, boxes.len()).await;
    fleet
}

/// A completion through box `at` with `key`.
pub fn completion(
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

/// Text of a whole answer.
pub async fn text(response: Response) -> String {
    let status = response.status();
    let body: Value = response.json().await.unwrap();
    assert!(status.is_success(), "{status}: {body}");
    body["choices"][0]["text"].as_str().unwrap().to_owned()
}

/// Serves one completion and checks its answer.
pub async fn check_completion(fleet: &Fleet, at: usize, key: &str, prompt: &str, tokens: u32) {
    let response = completion(fleet, at, key, prompt, tokens).send().await.unwrap();
    let expected = whole("v1", prompt, tokens as usize);
    assert_eq!(text(response).await, expected);
}

/// A call to the plain service through box `at`.
pub fn call(fleet: &Fleet, at: usize, key: &str, path: &str) -> RequestBuilder {
    let url = format!("{}/app/scores{path}", fleet.boxes[at].process.url());
    fleet.http.post(url).bearer_auth(key)
}

/// A ticket prefix given by box `at`.
pub async fn ticket(fleet: &Fleet, at: usize, key: &str) -> String {
    let url = format!("{}/v1/tickets", fleet.boxes[at].process.url());
    let answer = fleet.http.post(url).bearer_auth(key).send().await.unwrap();
    let body: Value = answer.json().await.unwrap();
    body["prefix"].as_str().unwrap().to_owned()
}

/// How often the workers ran the call under `key`.
pub async fn runs(fleet: &Fleet, key: &str) -> u64 {
    let mut count = 0;
    for worker in &fleet.workers {
        let runs = fleet.get(&format!("{}/runs", worker.url())).await.unwrap_or_default();
        count += runs[key].as_u64().unwrap_or(0);
    }
    count
}
