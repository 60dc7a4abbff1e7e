//! Completions and calls through a fleet of real processes get the expected responses.

mod common;

use common::{
    check_completion, completion_request, context_text, request_ticket, run_count, service_call,
    start_fleet,
};
use coursestile_standins::fleet::{HallPlan, Plan};

#[tokio::test]
async fn answer_whole() {
    let fleet = start_fleet(&Plan::one_hall(2, 2, 1)).await;
    for at in 0..2 {
        check_completion(&fleet, at, "sanam-key", "Who scored?", 12).await;
        check_completion(&fleet, at, "petra-key", &context_text("style pack", 3000), 12).await;
    }
}

#[tokio::test]
async fn key_unknown() {
    let fleet = start_fleet(&Plan::one_hall(1, 1, 0)).await;
    let response = completion_request(&fleet, 0, "stolen", "Who scored?", 4).send().await.unwrap();
    assert_eq!(response.status(), 401);
    assert_eq!(response.headers()["x-coursestile-ran"], "not run");
}

#[tokio::test]
async fn ticket_once() {
    let halls = vec![HallPlan::new("north", 2, 1, 1), HallPlan::new("east", 1, 1, 1)];
    let fleet = start_fleet(&Plan::new(halls)).await;
    let key = format!("{}/1", request_ticket(&fleet, 0, "petra-key").await);
    for at in [0, 1, 2, 0] {
        let request =
            service_call(&fleet, at, "petra-key", "/orders/7").header("idempotency-key", &key);
        let response = request.send().await.unwrap();
        assert_eq!(response.status(), 200, "{}", response.text().await.unwrap());
    }
    assert_eq!(run_count(&fleet, &key).await, 1);
}
