//! A client gets the whole response to its own request although an engine or the dispatcher
//! fails. It can resume or cancel a stream, and is told when its deadline has passed.

mod common;

use std::time::Duration;

use common::{check_completion, completion_request, completion_text, start_fleet};
use coursestile_standins::answer::full_answer;
use coursestile_standins::fleet::{Fleet, Plan};
use serde_json::{Value, json};

const KEY: &str = "sanam-key";

/// Starts a long completion at box 0 and waits until an engine runs it. Returns its text, when
/// it is complete, and the index of the engine.
async fn start_long_completion(fleet: &Fleet) -> (tokio::task::JoinHandle<String>, usize) {
    let request = completion_request(fleet, 0, KEY, "A long report, please.", 300);
    let text = tokio::spawn(async move { completion_text(request.send().await.unwrap()).await });
    loop {
        tokio::time::sleep(Duration::from_millis(50)).await;
        for (index, engine) in fleet.engines.iter().enumerate() {
            let runs = fleet.get(&format!("{}/runs", engine.url())).await.unwrap_or_default();
            if runs["started"].as_array().is_some_and(|started| !started.is_empty()) {
                tokio::time::sleep(Duration::from_millis(200)).await;
                return (text, index);
            }
        }
    }
}

fn expected_long_text() -> String {
    full_answer("v1", "A long report, please.", 300)
}

#[tokio::test]
async fn engine_killed() {
    let fleet = start_fleet(&Plan::one_hall(2, 3, 0)).await;
    let (text, engine) = start_long_completion(&fleet).await;
    fleet.engines[engine].kill();
    assert_eq!(text.await.unwrap(), expected_long_text());
}

#[tokio::test]
async fn engine_frozen() {
    let fleet = start_fleet(&Plan::one_hall(2, 3, 0)).await;
    let (text, engine) = start_long_completion(&fleet).await;
    fleet.engines[engine].signal("-STOP");
    assert_eq!(text.await.unwrap(), expected_long_text());
    fleet.engines[engine].signal("-CONT");
}

#[tokio::test]
async fn pieces_reordered() {
    let fleet = start_fleet(&Plan::one_hall(1, 1, 0)).await;
    fleet.set_fault(&fleet.engines[0], json!({ "reorder": true, "slow_ms": 50 })).await;
    for number in 0..5 {
        check_completion(&fleet, 0, KEY, &format!("Question {number}?"), 60).await;
    }
}

#[tokio::test]
async fn stream_broken() {
    let fleet = start_fleet(&Plan::one_hall(1, 2, 0)).await;
    for engine in &fleet.engines {
        fleet.set_fault(engine, json!({ "break_after_pieces": 25 })).await;
    }
    check_completion(&fleet, 0, KEY, "Broken once?", 40).await;
}

#[tokio::test]
async fn dispatcher_killed() {
    let fleet = start_fleet(&Plan::one_hall(3, 2, 0)).await;
    check_completion(&fleet, 0, KEY, "Who decides?", 5).await;
    let mut dispatcher_box = None;
    for (index, entry_box) in fleet.boxes.iter().enumerate() {
        let status = fleet.status(entry_box).await.unwrap();
        dispatcher_box = dispatcher_box
            .or((!status["dispatchers"].as_array().unwrap().is_empty()).then_some(index));
    }
    let dispatcher_box = dispatcher_box.unwrap();
    let other_box = (dispatcher_box + 1) % 3;
    fleet.boxes[dispatcher_box].process.kill();
    for number in 0..10 {
        check_completion(&fleet, other_box, KEY, &format!("Question {number}?"), 5).await;
    }
}

#[tokio::test]
async fn caller_resumes() {
    let fleet = start_fleet(&Plan::one_hall(1, 1, 0)).await;
    let body = json!({ "model": "summary", "prompt": "Go on?", "max_tokens": 80, "stream": true });
    let url = format!("{}/v1/completions", fleet.boxes[0].process.url());
    let mut stream = fleet.http.post(&url).bearer_auth(KEY).json(&body).send().await.unwrap();
    let id = stream.headers()["x-request-id"].to_str().unwrap().to_owned();
    stream.chunk().await.unwrap().unwrap();
    drop(stream);
    let resume_from = |from: usize, key: &str| {
        let request = fleet.http.get(format!("{url}/{id}?from={from}")).bearer_auth(key);
        async { request.send().await.unwrap() }
    };
    assert_eq!(resume_from(0, "petra-key").await.status(), 404, "another account's answer");
    let remaining = resume_from(10, KEY).await.text().await.unwrap();
    let pieces = remaining.lines().filter_map(|line| line.strip_prefix("data: "));
    let pieces: Vec<_> = pieces.filter(|data| *data != "[DONE]").collect();
    let text: String = pieces
        .iter()
        .map(|data| serde_json::from_str::<Value>(data).unwrap())
        .map(|piece| piece["choices"][0]["text"].as_str().unwrap().to_owned())
        .collect();
    let expected = full_answer("v1", "Go on?", 80);
    assert_eq!(text, expected[10 * 5..], "each word has five bytes");
    assert!(remaining.contains("[DONE]"));
}

#[tokio::test]
async fn caller_cancels() {
    let fleet = start_fleet(&Plan::one_hall(1, 1, 0)).await;
    let body = json!({ "model": "summary", "prompt": "Stop?", "max_tokens": 9000, "stream": true });
    let url = format!("{}/v1/completions", fleet.boxes[0].process.url());
    let stream = fleet.http.post(&url).bearer_auth(KEY).json(&body).send().await.unwrap();
    let id = stream.headers()["x-request-id"].to_str().unwrap().to_owned();
    let cancelled = fleet.http.delete(format!("{url}/{id}")).bearer_auth(KEY).send().await.unwrap();
    assert_eq!(cancelled.status(), 200);
    let remaining = stream.text().await.unwrap();
    assert!(
        remaining.contains("cancelled") && !remaining.contains("[DONE]"),
        "no end mark: {remaining}"
    );
    tokio::time::sleep(Duration::from_secs(1)).await;
    let load = fleet.get(&format!("{}/load", fleet.engines[0].url())).await.unwrap();
    assert_eq!(load["running"], 0, "the engine stopped too");
}

#[tokio::test]
async fn deadline_kept() {
    let fleet = start_fleet(&Plan::one_hall(1, 1, 0)).await;
    let request_with_timeout =
        completion_request(&fleet, 0, KEY, "Too late?", 9000).header("x-timeout-ms", 400);
    let sent_at = std::time::Instant::now();
    let response = request_with_timeout.send().await.unwrap();
    assert_eq!(response.status(), 504);
    assert_eq!(response.headers()["x-coursestile-ran"], "outcome unknown");
    assert!(sent_at.elapsed() < Duration::from_secs(5), "the final answer comes at once");
}
