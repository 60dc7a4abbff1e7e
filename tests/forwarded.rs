//! A call that a box forwards to another one a second time is the same call: it must not run
//! twice, and must not run after a response that says that it has not run.

mod common;
#[path = "common/peer.rs"]
mod peer;

use std::time::Duration;

use common::{run_count, service_call, start_fleet};
use coursestile::clock::now_ms;
use coursestile::ledger::{Answer, CallKey, Ledger, Outcome};
use coursestile::member::{Gossip, Health};
use coursestile::wire::{CallEnd, Message};
use coursestile_standins::fleet::{Plan, Process};
use peer::SimulatedPeer;

#[tokio::test]
async fn not_run_stays() {
    let fleet = start_fleet(&Plan::one_hall(1, 1, 1)).await;
    let mut forwarder = SimulatedPeer::new(&fleet).await;
    fleet.workers.iter().for_each(Process::kill);
    forwarder.forward(1, "lost");
    let (_, first) = forwarder.next_call_end().await;
    assert_eq!(first.outcome, Outcome::NotRun);
    fleet.workers.iter().for_each(Process::restart);
    fleet.wait_for(&format!("{}/runs", fleet.workers[0].url())).await;
    tokio::time::sleep(Duration::from_millis(1200)).await;
    // If this end were lost, the peer would forward the call again under its number.
    forwarder.forward(1, "lost");
    assert_eq!(forwarder.next_call_end().await, (1, first));
    assert_eq!(run_count(&fleet, "lost").await, 0);
    // The client was told that the call has not run, and makes it again.
    forwarder.forward(2, "lost");
    let (number, second) = forwarder.next_call_end().await;
    assert!(matches!((number, second.outcome), (2, Outcome::Answered(_))));
    assert_eq!(run_count(&fleet, "lost").await, 1);
}

#[tokio::test]
async fn runs_once() {
    let mut plan = Plan::one_hall(1, 1, 1);
    plan.worker_args = vec![("work-ms".to_owned(), "600".to_owned())];
    let fleet = start_fleet(&plan).await;
    let mut forwarder = SimulatedPeer::new(&fleet).await;
    for _ in 0..3 {
        forwarder.forward(1, "again");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let (_, first) = forwarder.next_call_end().await;
    assert!(matches!(first.outcome, Outcome::Answered(_)), "{first:?}");
    forwarder.forward(1, "again");
    assert_eq!(forwarder.next_call_end().await, (1, first));
    assert_eq!(run_count(&fleet, "again").await, 1);
}

// A box that takes over a ledger must announce it. When the previous holder stopped before it had
// told anyone, the other boxes went on forwarding calls to that holder.
#[tokio::test]
async fn heir_speaks() {
    let fleet = start_fleet(&Plan::one_hall(2, 1, 1)).await;
    let leaver = SimulatedPeer::new(&fleet).await;
    let member = leaver.member(Health::Alive);
    leaver.send(Message::Gossip(Gossip::Join { member }));
    let boxes: Vec<_> = fleet.boxes.iter().collect();
    fleet.wait_for_revision(&boxes, 4, 3).await;
    let key = leaver.issue_key();
    let post_order = |at: usize| {
        let request =
            service_call(&fleet, at, "petra-key", "/orders/1").header("idempotency-key", &key);
        request.header("x-timeout-ms", 8000).send()
    };
    // An empty ledger is not taken over.
    let mut ledger = Ledger::default();
    let other_key = CallKey { account: "petra".to_owned(), key: "other".to_owned() };
    ledger.try_spend_key(now_ms(), &other_key, 0, now_ms() + 60_000);
    let ledger = ledger.handover_copy();
    let (of, ledger) = (leaver.id.clone(), Box::new(ledger));
    leaver.send(Message::Handover { of, ledger });
    for at in [0, 1] {
        // A call whose key is not in a closed ledger has not run.
        let response = post_order(at).await.unwrap();
        assert_eq!(response.headers()["x-coursestile-ran"], "not run", "asked at {at}");
    }
}

// A box must forward a call to the holder of its ledger even if it considers the holder dead, since
// membership may be wrong. It answered that the outcome is unknown, though the answer was kept.
#[tokio::test]
async fn holder_considered_dead() {
    let fleet = start_fleet(&Plan::one_hall(1, 1, 1)).await;
    let mut holder = SimulatedPeer::new(&fleet).await;
    holder.introduce(Health::Dead);
    fleet.wait_for_revision(&[&fleet.boxes[0]], 4, 2).await;
    let key = holder.issue_key();
    let request = service_call(&fleet, 0, "petra-key", "/orders/1").header("idempotency-key", &key);
    let answer = Answer { status: 200, content_type: None, body: b"kept".to_vec() };
    let answering = async {
        loop {
            if let Message::Call { number, .. } = holder.next_message().await {
                let end = CallEnd::answered(answer.clone());
                holder.send(Message::CallEnd { number, end });
            }
        }
    };
    let response = tokio::select! {
        response = request.header("x-timeout-ms", 1500).send() => response.unwrap(),
        () = answering => unreachable!("it answers all calls"),
    };
    assert_eq!(
        (response.status().as_u16(), response.text().await.unwrap().as_str()),
        (200, "kept")
    );
}
