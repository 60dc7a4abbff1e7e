//! A long run with random faults of all kinds, determined by a seed.
//!
//! One task injects faults, some of which overlap, while a load runs and operators change the
//! configuration. At the end all faults are removed and the guarantees are checked from outside:
//! by the answers, the services' records of their runs, the boxes' count of violated invariants
//! and whether all boxes agree on the configuration.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use coursestile_standins::fleet::{Fleet, HallPlan, Plan, Process};
use serde_json::json;
use tokio::time::Instant;

use crate::Options;
use crate::report::refusals;
use crate::runner::{SendOptions, create_accounts, send_load};
use crate::workload::{Workload, WorkloadKind};

/// Longest duration of a fault.
const MAX_FAULT_DURATION_MS: u64 = 4000;
/// Time at the end without new faults, in seconds.
const FAULT_FREE_S: u64 = 8;
/// Time in which the boxes have to agree on the configuration after the run.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(30);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Fault {
    BoxKilled,
    BoxFrozen,
    BoxStopped,
    EngineKilled,
    EngineFrozen,
    EngineSlow,
    StreamsBroken,
    PiecesReordered,
    StoreFrozen,
    LinkSlow,
    ReadsCorrupt,
    WorkerLosesAnswer,
    WorkerKilled,
    PlatformOut,
    PlatformLosesAnswers,
    PlatformSlow,
    OperatorsRace,
    UpstreamLeaves,
    VersionSwapped,
    HallCut,
}

const FAULTS: [Fault; 20] = [
    Fault::BoxKilled,
    Fault::BoxFrozen,
    Fault::BoxStopped,
    Fault::EngineKilled,
    Fault::EngineFrozen,
    Fault::EngineSlow,
    Fault::StreamsBroken,
    Fault::PiecesReordered,
    Fault::StoreFrozen,
    Fault::LinkSlow,
    Fault::ReadsCorrupt,
    Fault::WorkerLosesAnswer,
    Fault::WorkerKilled,
    Fault::PlatformOut,
    Fault::PlatformLosesAnswers,
    Fault::PlatformSlow,
    Fault::OperatorsRace,
    Fault::UpstreamLeaves,
    Fault::VersionSwapped,
    Fault::HallCut,
];

/// Injects faults until `deadline`. Returns the number of faults of each kind.
async fn inject_faults(fleet: Arc<Fleet>, seed: u64, deadline: Instant) -> BTreeMap<Fault, u32> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut counts = BTreeMap::new();
    let mut active_faults = Vec::new();
    while Instant::now() < deadline {
        let fault = FAULTS[rng.usize(..FAULTS.len())];
        let duration = Duration::from_millis(rng.u64(200..MAX_FAULT_DURATION_MS));
        let pick = rng.usize(..1000);
        *counts.entry(fault).or_default() += 1;
        let fleet = fleet.clone();
        active_faults.push(tokio::spawn(async move {
            if let Some((process, signal_name)) = process_to_signal(&fleet, fault, pick) {
                let pid = process.pid();
                signal(process, signal_name);
                tokio::time::sleep(duration).await;
                process.restart_after_exit(pid).await;
                return;
            }
            set_fault(&fleet, fault, pick, true).await;
            tokio::time::sleep(duration).await;
            set_fault(&fleet, fault, pick, false).await;
        }));
        tokio::time::sleep(Duration::from_millis(rng.u64(100..1500))).await;
    }
    for fault_task in active_faults {
        let _ = fault_task.await;
    }
    counts
}

/// The process that is ended by a fault, and the signal that ends it.
fn process_to_signal(fleet: &Fleet, fault: Fault, pick: usize) -> Option<(&Process, &'static str)> {
    let entry_box = &fleet.boxes[pick % fleet.boxes.len()].process;
    match fault {
        Fault::BoxKilled => Some((entry_box, "-KILL")),
        Fault::BoxStopped => Some((entry_box, "-TERM")),
        Fault::EngineKilled => Some((&fleet.engines[pick % fleet.engines.len()], "-KILL")),
        Fault::WorkerKilled => Some((&fleet.workers[pick % fleet.workers.len()], "-KILL")),
        _ => None,
    }
}

/// Sets or removes a fault.
async fn set_fault(fleet: &Arc<Fleet>, fault: Fault, pick: usize, active: bool) {
    let entry_box = &fleet.boxes[pick % fleet.boxes.len()].process;
    let engine = &fleet.engines[pick % fleet.engines.len()];
    let store = &fleet.stores[pick % fleet.stores.len()];
    let worker = &fleet.workers[pick % fleet.workers.len()];
    let stop = if active { "-STOP" } else { "-CONT" };
    let slowdown = json!({ "slowdown": if active { 10 } else { 1 } });
    match fault {
        Fault::BoxFrozen => signal(entry_box, stop),
        Fault::EngineFrozen => signal(engine, stop),
        Fault::StoreFrozen => signal(store, stop),
        Fault::EngineSlow => fleet.try_set_fault(engine, slowdown).await,
        Fault::LinkSlow => fleet.try_set_fault(store, slowdown).await,
        Fault::StreamsBroken => {
            let pieces = if active { 7 } else { 0 };
            fleet.try_set_fault(engine, json!({ "break_after_pieces": pieces })).await;
        }
        Fault::PiecesReordered => fleet.try_set_fault(engine, json!({ "reorder": active })).await,
        Fault::ReadsCorrupt => fleet.try_set_fault(store, json!({ "corrupt_reads": active })).await,
        Fault::WorkerLosesAnswer => {
            fleet.try_set_fault(worker, json!({ "lose_answers": u8::from(active) })).await;
        }
        Fault::PlatformOut => {
            fleet.try_set_fault(&fleet.platform, json!({ "outage": active })).await;
        }
        Fault::PlatformLosesAnswers => {
            fleet.try_set_fault(&fleet.platform, json!({ "lose_answers": u8::from(active) })).await;
        }
        Fault::PlatformSlow => {
            let slow_ms = if active { 700 } else { 0 };
            fleet.try_set_fault(&fleet.platform, json!({ "slow_ms": slow_ms })).await;
        }
        Fault::HallCut => {
            let hall = ["north", "east", "west"][pick % 3];
            fleet.cut_hall(hall, active).await;
        }
        Fault::OperatorsRace if active => race_operators(fleet).await,
        Fault::UpstreamLeaves => {
            let verb = if active { "leave" } else { "stay" };
            operate(fleet, &["upstream", verb, &engine.name]).await;
        }
        Fault::VersionSwapped if active => {
            let version = if pick.is_multiple_of(2) { "v1" } else { "v2" };
            operate(fleet, &["model", "set", "summary", version]).await;
        }
        Fault::OperatorsRace
        | Fault::VersionSwapped
        | Fault::BoxKilled
        | Fault::BoxStopped
        | Fault::EngineKilled
        | Fault::WorkerKilled => {}
    }
}

/// Sends a signal. An error means that the process has exited already and is ignored.
fn signal(process: &Process, signal_name: &str) {
    let _ = process.try_signal(signal_name);
}

async fn operate(fleet: &Arc<Fleet>, args: &[&str]) -> i32 {
    let fleet = fleet.clone();
    let args: Vec<_> = args.iter().map(|arg| (*arg).to_owned()).collect();
    let run = move || {
        let args: Vec<_> = args.iter().map(String::as_str).collect();
        fleet.run_operator_tool(&args).0
    };
    tokio::task::spawn_blocking(run).await.unwrap_or(-1)
}

/// Two operators change the same account at the same time.
async fn race_operators(fleet: &Arc<Fleet>) {
    let first = ["account", "set", "sanam-9", "--share", "2"];
    let second = ["account", "set", "sanam-9", "--share", "1"];
    tokio::join!(operate(fleet, &first), operate(fleet, &second));
}

/// Runs the load with random faults and checks the guarantees.
pub async fn run(options: &Options) -> ExitCode {
    let halls = ["north", "east", "west"].map(|name| HallPlan::new(name, 2, 2, 1));
    let mut plan = Plan::new(halls.to_vec());
    plan.stores = 2;
    plan.hall_relays = true;
    plan.cache_tokens = 24_576;
    "drain_timeout_ms = 15000".clone_into(&mut plan.limits);
    let fleet = Arc::new(Fleet::start(&plan).await);
    let rate_per_s = options.rate_per_s.min(30.0);
    let workload = Workload::new(WorkloadKind::Sanam, options.seed, rate_per_s, options.seconds);
    let revision = create_accounts(&fleet, &workload);
    let boxes: Vec<_> = fleet.boxes.iter().collect();
    fleet.wait_for_revision(&boxes, revision, boxes.len()).await;
    let faults_s = options.seconds.saturating_sub(FAULT_FREE_S).max(1);
    let until = Instant::now() + Duration::from_secs(faults_s);
    let injector = tokio::spawn(inject_faults(fleet.clone(), options.seed, until));
    let send_options = SendOptions { progress: true, kills_boxes: true, ..SendOptions::default() };
    let outcome = send_load(&fleet, &workload, send_options).await;
    let counts = injector.await.unwrap_or_default();
    let (agreed, violations) = wait_for_agreement(&fleet).await;
    println!(
        "seed {}, requests sent {}, whole answers {}",
        options.seed, outcome.sent, outcome.whole
    );
    println!("refusals: {}", refusals(&outcome));
    let total: u32 = counts.values().sum();
    let kinds: Vec<_> = counts.iter().map(|(kind, count)| format!("{kind:?} {count}")).collect();
    println!("faults injected: {total} ({})", kinds.join(", "));
    println!(
        "lost {}, doubled {}, wrong {}, untrue 'not run' {}, violated invariants {violations}, \
         boxes agree: {agreed}",
        outcome.lost, outcome.run_repeatedly, outcome.wrong, outcome.false_not_run
    );
    if outcome.failures() == 0 && violations == 0 && agreed {
        return ExitCode::SUCCESS;
    }
    println!("logs: {}", fleet.dir().display());
    ExitCode::FAILURE
}

/// Waits until all boxes serve the same revision. Returns whether they do within the time limit,
/// and the number of violated invariants that they have counted.
async fn wait_for_agreement(fleet: &Arc<Fleet>) -> (bool, u64) {
    let until = Instant::now() + CONVERGENCE_TIMEOUT;
    loop {
        let mut revisions = Vec::new();
        let mut violations = 0;
        for entry_box in &fleet.boxes {
            let status = fleet.status(entry_box).await.unwrap_or_default();
            revisions.push(status["revision"].as_u64());
            violations += status["violations"].as_u64().unwrap_or(0);
        }
        let same =
            revisions[0].is_some() && revisions.iter().all(|revision| *revision == revisions[0]);
        if same || Instant::now() >= until {
            return (same, violations);
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}
