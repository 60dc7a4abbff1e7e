//! A worker that refuses a call with `Retry-After` gets no calls until then. It went on getting
//! every second call.

mod common;

use common::{service_call, start_fleet};
use coursestile_standins::fleet::{Fleet, Plan, Process};
use serde_json::{Value, json};

const KEY: &str = "sanam-key";

async fn set_refusing(fleet: &Fleet, worker: &Process, is_refusing: bool) {
    fleet.set_fault(worker, json!({ "outage": is_refusing, "outage_retry_s": 30 })).await;
}

/// Number of calls that a worker has refused.
async fn refused_count(fleet: &Fleet, worker: &Process) -> u64 {
    set_refusing(fleet, worker, false).await;
    let count = fleet.get(&format!("{}/refused", worker.url())).await.expect("a number");
    count.as_u64().expect("a number")
}

#[tokio::test]
async fn one_rests() {
    let fleet = start_fleet(&Plan::one_hall(1, 1, 2)).await;
    set_refusing(&fleet, &fleet.workers[0], true).await;
    let mut served = 0;
    for number in 0..20 {
        let path = format!("/fixtures/{number}");
        let response = service_call(&fleet, 0, KEY, &path).send().await.unwrap();
        served += u32::from(response.status().is_success());
    }
    assert!(served >= 19, "{served} of 20");
    assert_eq!(refused_count(&fleet, &fleet.workers[0]).await, 1);
}

#[tokio::test]
async fn all_rest() {
    let fleet = start_fleet(&Plan::one_hall(1, 1, 2)).await;
    for worker in &fleet.workers {
        set_refusing(&fleet, worker, true).await;
    }
    for number in 0..10 {
        let path = format!("/orders/{number}");
        let response = service_call(&fleet, 0, KEY, &path).send().await.unwrap();
        assert_eq!(response.status(), 503);
        if number >= 2 {
            let retry_after_s: u64 =
                response.headers()["retry-after"].to_str().unwrap().parse().unwrap();
            assert!((20..=30).contains(&retry_after_s), "{retry_after_s}");
            let body: Value = response.json().await.unwrap();
            assert_eq!(body["error"]["ran"], "not run", "{body}");
        }
    }
    for worker in &fleet.workers {
        assert_eq!(refused_count(&fleet, worker).await, 1);
    }
}
