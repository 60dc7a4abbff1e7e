//! Engines get the version in force in time although the boxes that order the loads stop, are
//! killed, or have engines that hang or refuse.

mod common;

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use common::start_fleet;
use coursestile_standins::fleet::{Fleet, Plan};
use rstest::rstest;
use serde_json::{Value, json};

/// Time within which an accepted configuration must be in force everywhere.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(15);
/// Time after which a test stops waiting for engines.
const LOAD_TIMEOUT: Duration = Duration::from_secs(40);
/// Time between a stop of a box and that of the next.
const STOP_PERIOD: Duration = Duration::from_secs(1);
/// Time between two checks of engines or boxes.
const POLL_PERIOD: Duration = Duration::from_millis(50);

async fn has_loaded(fleet: &Fleet, engine: usize, version: &str) -> bool {
    let load = fleet.get(&format!("{}/load", fleet.engines[engine].url())).await;
    load.is_some_and(|load| load["version"] == version && load["loading"] == false)
}

/// Sets the model's version; returns the time until each of `engines` has loaded it.
async fn load_time(fleet: &Fleet, engines: &[usize], version: &str) -> Duration {
    fleet.must_run_operator_tool(&["model", "set", "summary", version]);
    let started_at = Instant::now();
    for engine in engines {
        while !has_loaded(fleet, *engine, version).await && started_at.elapsed() < LOAD_TIMEOUT {
            tokio::time::sleep(POLL_PERIOD).await;
        }
    }
    let elapsed = started_at.elapsed();
    println!("{version} on every engine after {} ms", elapsed.as_millis());
    elapsed
}

/// Checks that no engine has accepted an order of a lease holder after one of its successor.
async fn check_fence_order(fleet: &Fleet) {
    for engine in &fleet.engines {
        let runs = fleet.get(&format!("{}/runs", engine.url())).await.unwrap();
        let fence = |order: &Value| order["fence"].as_u64().unwrap();
        let fences: Vec<_> = runs["orders"].as_array().unwrap().iter().map(fence).collect();
        println!("{} took orders with tokens {fences:?}", engine.name);
        assert!(fences.is_sorted(), "{}: {fences:?}", engine.name);
    }
}

/// Number of times that a box has acquired the lease.
fn lease_count(fleet: &Fleet, at: usize) -> usize {
    let log = fleet.dir().join(format!("{}.log", fleet.boxes[at].process.name));
    std::fs::read_to_string(log).unwrap_or_default().matches("Holds the lease").count()
}

async fn wait_lease_held(fleet: &Fleet) {
    while (0..fleet.boxes.len()).all(|at| lease_count(fleet, at) == 0) {
        tokio::time::sleep(POLL_PERIOD).await;
    }
}

/// Stops one box after another, a second apart, and starts each again once it has stopped.
async fn restart_in_turn(fleet: &Fleet, is_done: &AtomicBool) {
    let restart_periodically = async |at: usize| {
        let process = &fleet.boxes[at].process;
        while !is_done.load(Ordering::Relaxed) {
            let stopped_at = tokio::time::Instant::now();
            let pid = process.pid();
            process.try_signal("-TERM");
            process.restart_after_exit(pid).await;
            let period = STOP_PERIOD * u32::try_from(fleet.boxes.len()).unwrap();
            tokio::time::sleep_until(stopped_at + period).await;
        }
    };
    let boxes = (0..fleet.boxes.len()).map(async |at| {
        tokio::time::sleep(STOP_PERIOD * u32::try_from(at).unwrap()).await;
        restart_periodically(at).await;
    });
    futures_util::future::join_all(boxes).await;
}

/// Kills each box that acquires the lease, some time afterwards.
async fn kill_holders(fleet: &Fleet, delay: Duration, is_done: &AtomicBool) {
    let mut known_counts: Vec<_> = (0..fleet.boxes.len()).map(|_| 0).collect();
    while !is_done.load(Ordering::Relaxed) {
        for (at, known_count) in known_counts.iter_mut().enumerate() {
            let lease_count_now = lease_count(fleet, at);
            if lease_count_now > *known_count {
                *known_count = lease_count_now;
                tokio::time::sleep(delay).await;
                fleet.boxes[at].process.restart();
            }
        }
        tokio::time::sleep(POLL_PERIOD).await;
    }
}

/// Sets one version after another; returns the longest time until all engines had loaded one.
async fn longest_load_time(fleet: &Fleet, is_done: &AtomicBool) -> Duration {
    let engines: Vec<_> = (0..fleet.engines.len()).collect();
    let mut longest = Duration::ZERO;
    for version in ["v2", "v3", "v4"] {
        tokio::time::sleep(Duration::from_secs(1)).await;
        longest = longest.max(load_time(fleet, &engines, version).await);
    }
    is_done.store(true, Ordering::Relaxed);
    longest
}

#[tokio::test]
async fn boxes_stopped() {
    let fleet = start_fleet(&Plan::one_hall(5, 6, 0)).await;
    wait_lease_held(&fleet).await;
    let is_done = AtomicBool::new(false);
    let (longest, ()) =
        tokio::join!(longest_load_time(&fleet, &is_done), restart_in_turn(&fleet, &is_done));
    check_fence_order(&fleet).await;
    assert!(longest < IN_FORCE_WITHIN, "an engine had a version after {} ms", longest.as_millis());
}

// Engines must be loaded in time although each box that acquires the lease is killed half a second
// later. When the next box waited until the lease of the killed one had expired, and then had time
// for three orders, six engines had a new version after 23 s.
#[tokio::test]
async fn holders_killed() {
    let fleet = start_fleet(&Plan::one_hall(3, 6, 0)).await;
    wait_lease_held(&fleet).await;
    let is_done = AtomicBool::new(false);
    let delay = Duration::from_millis(500);
    let (longest, ()) =
        tokio::join!(longest_load_time(&fleet, &is_done), kill_holders(&fleet, delay, &is_done));
    check_fence_order(&fleet).await;
    assert!(longest < IN_FORCE_WITHIN, "an engine had a version after {} ms", longest.as_millis());
}

// Engines that do not check fencing tokens get no orders of a successor before the lease of a
// killed holder has expired. All must be loaded in time nevertheless.
#[tokio::test]
async fn unchecked_killed() {
    let mut plan = Plan::one_hall(3, 6, 0);
    plan.checks_orders = false;
    plan.engine_args = vec![("check-orders".to_owned(), "false".to_owned())];
    let fleet = start_fleet(&plan).await;
    wait_lease_held(&fleet).await;
    let lease_holder = (0..3).find(|at| lease_count(&fleet, *at) > 0).unwrap();
    fleet.boxes[lease_holder].process.kill();
    let elapsed = load_time(&fleet, &[0, 1, 2, 3, 4, 5], "v2").await;
    check_fence_order(&fleet).await;
    assert!(elapsed < IN_FORCE_WITHIN, "an engine had a version after {} ms", elapsed.as_millis());
}

// Slow or refusing engines must not use up the number of concurrent loads. Three of them did: while
// they loaded slowly, and for as long as they refused, since they were always ordered first.
#[rstest]
#[case::slow(json!({ "slowdown": 80 }))]
#[case::deaf(json!({ "refuse_orders": true }))]
#[tokio::test]
async fn others_load(#[case] fault: Value) {
    let fleet = start_fleet(&Plan::one_hall(2, 6, 0)).await;
    wait_lease_held(&fleet).await;
    for engine in &fleet.engines[..3] {
        fleet.set_fault(engine, fault.clone()).await;
    }
    let elapsed = load_time(&fleet, &[3, 4, 5], "v2").await;
    check_fence_order(&fleet).await;
    assert!(elapsed < IN_FORCE_WITHIN, "an engine had a version after {} ms", elapsed.as_millis());
}
