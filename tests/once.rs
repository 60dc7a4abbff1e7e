//! A call that must not be repeated runs at most once, whatever fails. If its outcome is known,
//! a repeated call gets the same response from any box.

mod common;

use std::time::Duration;

use common::{request_ticket, run_count, service_call, start_fleet};
use coursestile_standins::fleet::{Fleet, Plan, Process};
use reqwest::Response;
use serde_json::json;

const KEY: &str = "petra-key";

/// Starts three boxes, and two workers that take `work_ms` for a call.
async fn start_slow_workers(work_ms: u64) -> Fleet {
    let mut plan = Plan::one_hall(3, 1, 2);
    plan.worker_args = vec![("work-ms".to_owned(), work_ms.to_string())];
    start_fleet(&plan).await
}

async fn post_order(fleet: &Fleet, at: usize, key: &str, timeout_ms: u64) -> Option<Response> {
    let request = service_call(fleet, at, KEY, "/orders/7").header("idempotency-key", key);
    request.header("x-timeout-ms", timeout_ms).send().await.ok()
}

fn run_status(response: &Response) -> &str {
    response.headers()["x-coursestile-ran"].to_str().unwrap()
}

async fn run_number(response: Response) -> u64 {
    assert_eq!(response.status(), 200);
    response.json::<serde_json::Value>().await.unwrap()["run"].as_u64().unwrap()
}

#[tokio::test]
async fn spender_killed() {
    let fleet = start_slow_workers(600).await;
    let key = format!("{}/1", request_ticket(&fleet, 0, KEY).await);
    let first = service_call(&fleet, 0, KEY, "/orders/7").header("idempotency-key", &key).send();
    let first = tokio::spawn(first);
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.boxes[0].process.kill();
    assert!(first.await.unwrap().is_err(), "the first connection broke");
    for at in [1, 2, 1] {
        let repeated = post_order(&fleet, at, &key, 700).await.unwrap();
        assert_eq!((repeated.status().as_u16(), run_status(&repeated)), (502, "outcome unknown"));
    }
    fleet.boxes[0].process.restart();
    fleet.wait_for(&format!("http://{}/live", fleet.boxes[0].operators)).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    for at in 0..3 {
        let repeated = post_order(&fleet, at, &key, 700).await.unwrap();
        assert_ne!(repeated.status(), 200, "a new incarnation does not spend an old ticket");
    }
    assert_eq!(run_count(&fleet, &key).await, 1);
}

#[tokio::test]
async fn spender_frozen() {
    let fleet = start_slow_workers(5).await;
    let prefix = request_ticket(&fleet, 0, KEY).await;
    let (used_key, unused_key) = (format!("{prefix}/1"), format!("{prefix}/2"));
    assert_eq!(run_number(post_order(&fleet, 0, &used_key, 1000).await.unwrap()).await, 1);
    fleet.boxes[0].process.signal("-STOP");
    for key in [&used_key, &unused_key] {
        let response = post_order(&fleet, 1, key, 600).await.unwrap();
        assert_eq!(run_status(&response), "outcome unknown");
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet.boxes[0].process.signal("-CONT");
    tokio::time::sleep(Duration::from_secs(1)).await;
    // The deadline of the forwarded call had passed when the box was resumed.
    assert_eq!(run_count(&fleet, &unused_key).await, 0);
    assert_eq!(run_number(post_order(&fleet, 1, &used_key, 2000).await.unwrap()).await, 1);
    assert_eq!(run_number(post_order(&fleet, 2, &unused_key, 2000).await.unwrap()).await, 1);
    assert_eq!((run_count(&fleet, &used_key).await, run_count(&fleet, &unused_key).await), (1, 1));
}

#[tokio::test]
async fn answer_lost() {
    let fleet = start_slow_workers(5).await;
    let key = format!("{}/1", request_ticket(&fleet, 0, KEY).await);
    for worker in &fleet.workers {
        fleet.set_fault(worker, json!({ "lose_answers": 1 })).await;
    }
    for at in [0, 1, 0] {
        let response = post_order(&fleet, at, &key, 500).await.unwrap();
        assert_eq!(run_status(&response), "outcome unknown");
    }
    assert_eq!(run_count(&fleet, &key).await, 1);
}

#[tokio::test]
async fn worker_killed() {
    let fleet = start_slow_workers(600).await;
    let key = format!("{}/1", request_ticket(&fleet, 0, KEY).await);
    let request = service_call(&fleet, 0, KEY, "/orders/7").header("idempotency-key", &key).send();
    let response = tokio::spawn(request);
    tokio::time::sleep(Duration::from_millis(250)).await;
    for worker in &fleet.workers {
        let runs_by_key = fleet.get(&format!("{}/runs", worker.url())).await.unwrap();
        if runs_by_key[&key] == 1 {
            worker.kill();
        }
    }
    let response = response.await.unwrap().unwrap();
    assert_eq!((response.status().as_u16(), run_status(&response)), (502, "outcome unknown"));
    fleet.workers.iter().for_each(Process::restart);
    for worker in &fleet.workers {
        fleet.wait_for(&format!("{}/runs", worker.url())).await;
    }
    assert_eq!(run_count(&fleet, &key).await, 1, "it was not tried at the other worker");
}

#[tokio::test]
async fn sent_twice() {
    let fleet = start_slow_workers(300).await;
    let key = format!("{}/1", request_ticket(&fleet, 0, KEY).await);
    let responses = [0, 0, 1, 2].map(|at| post_order(&fleet, at, &key, 5000));
    for response in futures_util::future::join_all(responses).await {
        assert_eq!(run_number(response.unwrap()).await, 1);
    }
    assert_eq!(run_count(&fleet, &key).await, 1);
}

#[tokio::test]
async fn key_refused() {
    let fleet = start_slow_workers(5).await;
    let prefix = request_ticket(&fleet, 0, KEY).await;
    let forged = format!("{}/1", prefix.replace("north-b1", "north-b2"));
    for key in ["no-prefix", "a/b", &forged] {
        let refused = post_order(&fleet, 0, key, 1000).await.unwrap();
        assert_eq!((refused.status().as_u16(), run_status(&refused)), (400, "not run"));
    }
    let other_account = service_call(&fleet, 0, "sanam-key", "/orders/7")
        .header("idempotency-key", format!("{prefix}/1"));
    assert_eq!(other_account.send().await.unwrap().status(), 400, "another account's ticket");
    let key = format!("{prefix}/2");
    assert_eq!(run_number(post_order(&fleet, 0, &key, 1000).await.unwrap()).await, 1);
    let other_target = service_call(&fleet, 0, KEY, "/orders/8")
        .header("idempotency-key", &key)
        .send()
        .await
        .unwrap();
    assert_eq!((other_target.status().as_u16(), run_status(&other_target)), (409, "not run"));
    assert_eq!(run_count(&fleet, &key).await, 1);
    assert_eq!(run_count(&fleet, &forged).await, 0);
}

#[tokio::test]
async fn worker_gone() {
    let fleet = start_slow_workers(5).await;
    let key = format!("{}/1", request_ticket(&fleet, 0, KEY).await);
    fleet.workers.iter().for_each(Process::kill);
    let refused = post_order(&fleet, 1, &key, 1000).await.unwrap();
    assert_eq!((refused.status().as_u16(), run_status(&refused)), (503, "not run"));
    assert!(refused.headers().contains_key("retry-after"));
    fleet.workers.iter().for_each(Process::restart);
    for worker in &fleet.workers {
        fleet.wait_for(&format!("{}/runs", worker.url())).await;
    }
    assert_eq!(run_number(post_order(&fleet, 1, &key, 3000).await.unwrap()).await, 1);
}

#[tokio::test]
async fn ledger_inherited() {
    let fleet = start_slow_workers(5).await;
    let prefix = request_ticket(&fleet, 0, KEY).await;
    let (used_key, unused_key) = (format!("{prefix}/1"), format!("{prefix}/2"));
    assert_eq!(run_number(post_order(&fleet, 0, &used_key, 1000).await.unwrap()).await, 1);
    // Every box is restarted, one after another, and hands the ledgers over.
    for at in 0..3 {
        fleet.boxes[at].process.signal("-TERM");
        while !fleet.boxes[at].process.has_exited() {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        fleet.boxes[at].process.restart();
        fleet.wait_for(&format!("http://{}/live", fleet.boxes[at].operators)).await;
        fleet.wait_for_revision(&[&fleet.boxes[at]], 4, 3).await;
        tokio::time::sleep(Duration::from_secs(1)).await;
        for asked_box in 0..3 {
            let repeated = post_order(&fleet, asked_box, &used_key, 1500).await.unwrap();
            assert_eq!(
                run_number(repeated).await,
                1,
                "asked at {asked_box} after {at} was replaced"
            );
            let refused = post_order(&fleet, asked_box, &unused_key, 1500).await.unwrap();
            assert_eq!(
                run_status(&refused),
                "not run",
                "asked at {asked_box} after {at} was replaced"
            );
        }
    }
    assert_eq!((run_count(&fleet, &used_key).await, run_count(&fleet, &unused_key).await), (1, 0));
}

// A stopping box must hand its ledger over to a peer that it merely suspects. When it suspected
// all peers, since they had been paused, it handed the ledger to nobody, and the outcomes of its
// calls were unknown from then on.
#[tokio::test]
async fn heirs_suspected() {
    let fleet = start_slow_workers(5).await;
    let key = format!("{}/1", request_ticket(&fleet, 0, KEY).await);
    assert_eq!(run_number(post_order(&fleet, 0, &key, 1000).await.unwrap()).await, 1);
    let (leaving_box, other_boxes) = fleet.boxes.split_first().unwrap();
    for other_box in other_boxes {
        other_box.process.signal("-STOP");
    }
    tokio::time::sleep(Duration::from_millis(900)).await;
    leaving_box.process.signal("-TERM");
    // Both are suspects when the ledger is to be handed over, and answer soon after.
    tokio::time::sleep(Duration::from_millis(2900)).await;
    for other_box in other_boxes {
        other_box.process.signal("-CONT");
    }
    while !leaving_box.process.has_exited() {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let repeated = post_order(&fleet, 1, &key, 3000).await.unwrap();
    assert_eq!(run_number(repeated).await, 1, "the kept answer");
}

// A restarted box may be asked for a call of its previous run before a peer has told it who holds
// that run's ledger. It answered that the outcome is unknown, though the answer was kept.
#[tokio::test]
async fn asked_before_joining() {
    let fleet = start_slow_workers(5).await;
    let key = format!("{}/1", request_ticket(&fleet, 0, KEY).await);
    assert_eq!(run_number(post_order(&fleet, 0, &key, 1000).await.unwrap()).await, 1);
    let (restarted_box, other_boxes) = fleet.boxes.split_first().unwrap();
    restarted_box.process.signal("-TERM");
    while !restarted_box.process.has_exited() {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    for other_box in other_boxes {
        other_box.process.signal("-STOP");
    }
    restarted_box.process.restart();
    fleet.wait_for(&format!("http://{}/live", restarted_box.operators)).await;
    fleet.wait_for_revision(&[restarted_box], 4, 1).await;
    let resume = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        for other_box in other_boxes {
            other_box.process.signal("-CONT");
        }
    };
    let (repeated, ()) = tokio::join!(post_order(&fleet, 0, &key, 5000), resume);
    assert_eq!(run_number(repeated.unwrap()).await, 1);
    assert_eq!(run_count(&fleet, &key).await, 1);
}

// A box that is paused while another one restarts, for longer than messages are accepted, misses
// who holds the ledger, and must be told later. It was not, and answered that the outcome is
// unknown, though the answer was kept.
#[tokio::test]
async fn heir_missed() {
    let fleet = start_slow_workers(5).await;
    let key = format!("{}/1", request_ticket(&fleet, 0, KEY).await);
    assert_eq!(run_number(post_order(&fleet, 0, &key, 1000).await.unwrap()).await, 1);
    let restarted_box = &fleet.boxes[0];
    // A box that has just started requests all that its peers know. Wait until that period is over.
    tokio::time::sleep(Duration::from_secs(7)).await;
    fleet.boxes[2].process.signal("-STOP");
    restarted_box.process.signal("-TERM");
    while !restarted_box.process.has_exited() {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    restarted_box.process.restart();
    fleet.wait_for(&format!("http://{}/live", restarted_box.operators)).await;
    tokio::time::sleep(Duration::from_secs(11)).await;
    fleet.boxes[2].process.signal("-CONT");
    fleet.wait_for_revision(&[&fleet.boxes[2], restarted_box], 4, 3).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    for at in [0, 1, 2] {
        assert_eq!(
            run_number(post_order(&fleet, at, &key, 3000).await.unwrap()).await,
            1,
            "at {at}"
        );
    }
    assert_eq!(run_count(&fleet, &key).await, 1);
}
