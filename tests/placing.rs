//! Requests that are queued at a dispatcher are completed although the dispatcher's box dies.

mod common;

use std::time::Duration;

use common::{completion_request, completion_text, context_text, start_fleet};
use coursestile_standins::answer::full_answer;
use coursestile_standins::fleet::Plan;
use futures_util::future::join_all;

#[tokio::test]
async fn dispatcher_dies() {
    let fleet = start_fleet(&Plan::one_hall(3, 1, 0)).await;
    let prompt = |number: usize| format!("{}?", context_text(&format!("book {number}"), 2000));
    let send = |at: usize, number: usize| {
        let request = completion_request(&fleet, at, "sanam-key", &prompt(number), 150);
        tokio::spawn(async move { completion_text(request.send().await.unwrap()).await })
    };
    send(0, 0).await.unwrap();
    let mut dispatcher_box = 0;
    for (index, entry_box) in fleet.boxes.iter().enumerate() {
        let status = fleet.status(entry_box).await.unwrap();
        if !status["dispatchers"].as_array().unwrap().is_empty() {
            dispatcher_box = index;
        }
    }
    // Eight requests run and the others are queued when the dispatcher's box is killed.
    let texts: Vec<_> = (1..20).map(|number| send((dispatcher_box + 1) % 3, number)).collect();
    tokio::time::sleep(Duration::from_millis(400)).await;
    fleet.boxes[dispatcher_box].process.kill();
    for (number, text) in join_all(texts).await.into_iter().enumerate() {
        assert_eq!(text.unwrap(), full_answer("v1", &prompt(number + 1), 150));
    }
}
