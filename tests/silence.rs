//! Connections that go silent while both ends are running (packets are lost without a reset) are
//! detected, and a configuration change is in force at each box in time nevertheless.

mod common;

use std::time::{Duration, Instant};

use common::{
    check_completion, completion_request, request_ticket, run_count, service_call, start_fleet,
};
use coursestile_standins::fleet::{Fleet, HallPlan, Plan, RelayKind};
use futures_util::future::join_all;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const KEY: &str = "sanam-key";
/// Time within which a change must be in force at each box.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(15);
/// Number of concurrent requests; each leaves a connection open for later requests.
const CONCURRENT_REQUESTS: usize = 6;

/// Starts two halls of three boxes; one box of each hall does not watch the platform.
async fn two_halls() -> Fleet {
    let halls = ["north", "east"].map(|name| HallPlan::new(name, 3, 2, 1));
    start_fleet(&Plan { relays: true, ..Plan::new(halls.to_vec()) }).await
}

fn change_share(fleet: &Fleet, share: &str) {
    fleet.must_run_operator_tool(&["account", "set", "petra", "--share", share]);
}

/// Waits until all boxes have `revision` in force, for at most [`IN_FORCE_WITHIN`].
async fn wait_in_force(fleet: &Fleet, revision: u64) {
    let deadline = Instant::now() + IN_FORCE_WITHIN;
    for entry_box in &fleet.boxes {
        let name = &entry_box.process.name;
        loop {
            let status = fleet.status(entry_box).await.unwrap_or_default();
            if status["revision"].as_u64() >= Some(revision) {
                break;
            }
            assert!(Instant::now() < deadline, "{name} is behind: {}", status["revision"]);
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Opens several connections to each upstream.
async fn warm_up(fleet: &Fleet) {
    let boxes = 0..fleet.boxes.len();
    let box_requests =
        boxes.flat_map(|at| (0..CONCURRENT_REQUESTS).map(move |number| (at, number)));
    join_all(box_requests.map(|(at, number)| async move {
        check_completion(fleet, at, KEY, &format!("Who scored {number}?"), 5).await;
    }))
    .await;
}

// The connections to the platform go silent just after all boxes have renewed their watches. If
// each watch waits for its timeout, twenty seconds and more, no box can tell the others of the
// next change, since none has it.
#[tokio::test]
async fn watches_silenced() {
    let fleet = two_halls().await;
    change_share(&fleet, "2");
    wait_in_force(&fleet, 5).await;
    fleet.silence_connections(RelayKind::Platform).await;
    change_share(&fleet, "3");
    wait_in_force(&fleet, 6).await;
}

// The platform goes silent when a change is made, and responds again a second later. The responses
// to the watches are lost, and the watches must not hang until their timeout.
#[tokio::test]
async fn platform_dark() {
    let fleet = two_halls().await;
    fleet.drop_traffic(RelayKind::Platform, true).await;
    change_share(&fleet, "2");
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet.drop_traffic(RelayKind::Platform, false).await;
    wait_in_force(&fleet, 5).await;
}

// The connections between boxes go silent. Messages to a peer are lost for as long as the sender
// keeps its socket: if it keeps it for ever, a call with a ticket never reaches the box that has
// issued the ticket.
#[tokio::test]
async fn peers_silenced() {
    let fleet = two_halls().await;
    let prefix = request_ticket(&fleet, 0, KEY).await;
    fleet.silence_connections(RelayKind::Peers).await;
    change_share(&fleet, "2");
    wait_in_force(&fleet, 5).await;
    for at in 0..fleet.boxes.len() {
        let request = service_call(&fleet, at, KEY, "/orders/1")
            .header("idempotency-key", format!("{prefix}/{at}"))
            .header("x-timeout-ms", 15_000);
        assert_eq!(request.send().await.unwrap().status(), 200, "asked at {at}");
    }
}

// The connections to the engines go silent, including idle ones in the pool. A request that is sent
// over one waits 2.5 s for its first piece, and its retry must not get another silent connection.
#[tokio::test]
async fn engines_silenced() {
    let fleet = two_halls().await;
    warm_up(&fleet).await;
    fleet.silence_connections(RelayKind::Engines).await;
    let boxes = 0..fleet.boxes.len();
    let box_requests =
        boxes.flat_map(|at| (0..CONCURRENT_REQUESTS).map(move |number| (at, number)));
    let responses = box_requests.map(|(at, number)| {
        completion_request(&fleet, at, KEY, &format!("Who saved {number}?"), 5)
            .header("x-timeout-ms", 15_000)
            .send()
    });
    let statuses = join_all(responses).await.into_iter().map(|response| response.unwrap().status());
    let failed = statuses.filter(|status| !status.is_success()).count();
    assert_eq!(failed, 0, "requests that were not served");
}

// The connections to the workers of a service go silent. A call over a pooled connection must not
// wait until its client gives up and the outcome is unknown for ever.
#[tokio::test]
async fn workers_silenced() {
    let fleet = two_halls().await;
    let prefix = request_ticket(&fleet, 0, KEY).await;
    let post_order = |number: usize| {
        let request = service_call(&fleet, 0, KEY, "/orders/1").header("x-timeout-ms", 5000);
        request.header("idempotency-key", format!("{prefix}/{number}")).send()
    };
    for response in join_all((0..CONCURRENT_REQUESTS).map(post_order)).await {
        assert_eq!(response.unwrap().status(), 200);
    }
    fleet.silence_connections(RelayKind::Workers).await;
    for response in join_all((CONCURRENT_REQUESTS..2 * CONCURRENT_REQUESTS).map(post_order)).await {
        assert_eq!(response.unwrap().status(), 200, "a call after the silence");
    }
}

// All connections of all boxes go silent at once, and a change is made.
#[tokio::test]
async fn all_silenced() {
    let fleet = two_halls().await;
    warm_up(&fleet).await;
    change_share(&fleet, "2");
    wait_in_force(&fleet, 5).await;
    for kind in RelayKind::ALL {
        fleet.silence_connections(kind).await;
    }
    change_share(&fleet, "3");
    wait_in_force(&fleet, 6).await;
    warm_up(&fleet).await;
}

// A client goes silent in the middle of its request. The box must not wait for the rest of the body
// for ever, past the client's own timeout.
#[tokio::test]
async fn caller_silent() {
    let fleet = start_fleet(&Plan::one_hall(1, 1, 1)).await;
    let mut client = TcpStream::connect(&fleet.boxes[0].process.address).await.unwrap();
    let partial_request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: box\r\nauthorization: Bearer {KEY}\r\n\
         x-timeout-ms: 1000\r\ncontent-type: application/json\r\ncontent-length: 100\r\n\r\n{{\"mod"
    );
    client.write_all(partial_request.as_bytes()).await.unwrap();
    let mut response = [0; 512];
    let read = tokio::time::timeout(IN_FORCE_WITHIN, client.read(&mut response)).await;
    let response = String::from_utf8_lossy(&response[..read.expect("an answer").unwrap()]);
    assert!(response.starts_with("HTTP/1.1 504"), "{response}");
    assert!(response.contains("x-coursestile-ran: not run"), "{response}");
}

// The connections between boxes go silent while a box stops. If it asks each peer only once to take
// over its ledger, over a silent connection, none does.
#[tokio::test]
async fn handover_silenced() {
    let plan = Plan { relays: true, ..Plan::one_hall(3, 1, 1) };
    let fleet = start_fleet(&plan).await;
    let key = format!("{}/1", request_ticket(&fleet, 0, KEY).await);
    let post_order = |at: usize| {
        let request = service_call(&fleet, at, KEY, "/orders/1").header("idempotency-key", &key);
        request.header("x-timeout-ms", 5000).send()
    };
    assert_eq!(post_order(0).await.unwrap().status(), 200);
    fleet.boxes[0].process.signal("-TERM");
    // The ledger is handed over when the load balancer has had time to notice the stop.
    tokio::time::sleep(Duration::from_millis(2400)).await;
    fleet.silence_connections(RelayKind::Peers).await;
    while !fleet.boxes[0].process.has_exited() {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    for at in [1, 2] {
        assert_eq!(post_order(at).await.unwrap().status(), 200, "asked at {at}");
    }
    assert_eq!(run_count(&fleet, &key).await, 1);
}
