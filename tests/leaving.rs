//! A planned stop of a box cuts no request, and an engine that leaves gets no new requests while
//! it completes the running ones.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use common::{check_completion, completion_request, completion_text, start_fleet};
use coursestile_standins::answer::full_answer;
use coursestile_standins::fleet::{Fleet, HallPlan, Plan};
use serde_json::json;

const KEY: &str = "sanam-key";

/// Time after the signal to stop at which a box is paused: 300 ms before it takes nothing new.
const PAUSE_AFTER: Duration = Duration::from_millis(2200);
/// Time for which it is paused.
const PAUSE: Duration = Duration::from_millis(600);
/// Clients that connect during the pause.
const QUEUED_CLIENTS: usize = 20;

async fn started_count(fleet: &Fleet, engine: usize) -> usize {
    let runs = fleet.get(&format!("{}/runs", fleet.engines[engine].url())).await.unwrap();
    runs["started"].as_array().unwrap().len()
}

/// Sends short requests through the boxes in turn and checks the responses.
async fn send_short_requests(fleet: &Fleet, count: usize) {
    for number in 0..count {
        let at = number % fleet.boxes.len();
        check_completion(fleet, at, KEY, &format!("Question {number}?"), 3).await;
    }
}

#[tokio::test]
async fn upstream_leaves() {
    let halls = vec![HallPlan::new("north", 2, 2, 0), HallPlan::new("east", 2, 1, 0)];
    let fleet = start_fleet(&Plan::new(halls)).await;
    let request = completion_request(&fleet, 0, KEY, "A long one.", 600);
    let long_completion =
        tokio::spawn(async move { completion_text(request.send().await.unwrap()).await });
    send_short_requests(&fleet, 8).await;
    fleet.must_run_operator_tool(&["upstream", "leave", "north-e1"]);
    // The platform has accepted the change. From here on, it is down.
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.set_fault(&fleet.platform, json!({ "outage": true })).await;
    tokio::time::sleep(Duration::from_millis(2500)).await;
    let runs_before = started_count(&fleet, 0).await;
    send_short_requests(&fleet, 40).await;
    assert_eq!(started_count(&fleet, 0).await, runs_before, "no new work after 3 s");
    assert_eq!(long_completion.await.unwrap(), full_answer("v1", "A long one.", 600));
}

#[tokio::test]
async fn engine_says_so() {
    let fleet = start_fleet(&Plan::one_hall(2, 2, 0)).await;
    send_short_requests(&fleet, 4).await;
    let order_body = json!({ "fence": 999, "leave": true });
    let order_request =
        fleet.http.post(format!("{}/orders", fleet.engines[0].url())).json(&order_body);
    assert!(order_request.send().await.unwrap().status().is_success());
    let runs_before = started_count(&fleet, 0).await;
    send_short_requests(&fleet, 20).await;
    assert_eq!(started_count(&fleet, 0).await, runs_before);
}

#[tokio::test]
async fn box_stops() {
    let fleet = start_fleet(&Plan::one_hall(2, 2, 0)).await;
    let request = completion_request(&fleet, 0, KEY, "A long one.", 900);
    let long_completion =
        tokio::spawn(async move { completion_text(request.send().await.unwrap()).await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.boxes[0].process.signal("-TERM");
    tokio::time::sleep(Duration::from_millis(300)).await;
    let readiness =
        fleet.http.get(format!("http://{}/ready", fleet.boxes[0].operators)).send().await;
    assert_eq!(readiness.unwrap().status(), 503, "the balancer is told");
    check_completion(&fleet, 0, KEY, "Still taken?", 3).await;
    assert_eq!(long_completion.await.unwrap(), full_answer("v1", "A long one.", 900));
    for _ in 0..100 {
        if fleet.boxes[0].process.has_exited() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("the box did not end");
}

#[tokio::test]
async fn rolling_restart() {
    let fleet = start_fleet(&Plan::one_hall(3, 3, 0)).await;
    let urls: Vec<_> = fleet.boxes.iter().map(|entry_box| entry_box.process.url()).collect();
    let ready: Vec<_> = fleet
        .boxes
        .iter()
        .map(|entry_box| format!("http://{}/ready", entry_box.operators))
        .collect();
    let is_done = Arc::new(AtomicBool::new(false));
    let served_count = Arc::new(AtomicU64::new(0));
    let callers: Vec<_> = (0..6)
        .map(|caller| {
            let (urls, ready) = (urls.clone(), ready.clone());
            let (is_done, served_count, http) =
                (is_done.clone(), served_count.clone(), fleet.http.clone());
            tokio::spawn(async move {
                let mut number = 0;
                while !is_done.load(Ordering::Relaxed) {
                    number += 1;
                    // As a load balancer does, send to a box only if it has just been ready.
                    let at = (caller + number) % urls.len();
                    let probe = http.get(&ready[at]).send().await;
                    if !probe.is_ok_and(|response| response.status().is_success()) {
                        continue;
                    }
                    let prompt = format!("Caller {caller} asks {number}");
                    let body = json!({ "model": "summary", "prompt": prompt, "max_tokens": 40 });
                    let call = http.post(format!("{}/v1/completions", urls[at])).bearer_auth(KEY);
                    let response = call.json(&body).send().await.expect("the request was cut");
                    assert_eq!(completion_text(response).await, full_answer("v1", &prompt, 40));
                    served_count.fetch_add(1, Ordering::Relaxed);
                }
            })
        })
        .collect();
    for at in 0..3 {
        tokio::time::sleep(Duration::from_millis(500)).await;
        fleet.boxes[at].process.signal("-TERM");
        while !fleet.boxes[at].process.has_exited() {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        fleet.boxes[at].process.restart();
        fleet.wait_for_revision(&[&fleet.boxes[at]], 4, 3).await;
    }
    is_done.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await.unwrap();
    }
    assert!(served_count.load(Ordering::Relaxed) > 50);
}

// Connections that were established before a stopping box closes its port must get an answer, also
// if it has not accepted them yet.
#[tokio::test]
async fn unaccepted_connections() {
    let fleet = start_fleet(&Plan::one_hall(2, 1, 1)).await;
    let stopping_box = &fleet.boxes[0].process;
    stopping_box.signal("-TERM");
    tokio::time::sleep(PAUSE_AFTER).await;
    stopping_box.signal("-STOP");
    let url = stopping_box.url();
    let requests: Vec<_> = (0..QUEUED_CLIENTS)
        .map(|_| {
            let request = reqwest::Client::new().post(format!("{url}/app/scores/fixtures/1"));
            tokio::spawn(request.bearer_auth(KEY).send())
        })
        .collect();
    tokio::time::sleep(PAUSE).await;
    stopping_box.signal("-CONT");
    for request in requests {
        let status = request.await.unwrap().map(|response| response.status().as_u16()).ok();
        assert!(matches!(status, Some(200 | 503)), "{status:?}");
    }
}
