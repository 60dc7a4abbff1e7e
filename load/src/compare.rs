//! Compares policies: each gets a new fleet and the same arrivals from the same seed.

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use coursestile_standins::fleet::{Fleet, Plan};
use hdrhistogram::Histogram;
use serde_json::json;

use crate::Options;
use crate::figures::quantile_ms;
use crate::outcome::Outcome;
use crate::report::{plot, print_header, print_row, refusals};
use crate::runner::{SendOptions, create_accounts, send_load};
use crate::workload::{Workload, WorkloadKind};

struct Policy {
    name: &'static str,
    routing: &'static str,
    retention: &'static str,
    sharing: &'static str,
    stores: usize,
    store_bytes: u64,
    link_bytes_per_ms: u64,
}

/// Cache of an engine. It is small, so that contexts are evicted between two uses even in a
/// short run.
const CACHE_TOKENS: u64 = 24_576;
/// Capacity of a store, which does not suffice for all contexts.
const STORE_BYTES: u64 = 9_000_000_000;
/// Bandwidth of a store's link.
const LINK_BYTES_PER_MS: u64 = 2_000_000;
/// Stored bytes for each token of context.
const KV_TOKEN_BYTES: u64 = 20_000;

const DEFAULT_POLICY: Policy = Policy {
    name: "cost, keep worth (ours)",
    routing: "cost",
    retention: "worth",
    sharing: "fair",
    stores: 2,
    store_bytes: STORE_BYTES,
    link_bytes_per_ms: LINK_BYTES_PER_MS,
};

const BASELINE: Policy = Policy { retention: "lru", sharing: "fifo", stores: 0, ..DEFAULT_POLICY };

const POLICIES: [Policy; 7] = [
    Policy { name: "round robin, no store", routing: "round_robin", ..BASELINE },
    Policy { name: "least outstanding, no store", routing: "least_outstanding", ..BASELINE },
    Policy { name: "longest prefix, no store", routing: "longest_prefix", ..BASELINE },
    Policy { name: "cost, keep lru", retention: "lru", ..DEFAULT_POLICY },
    Policy { name: "cost, keep ttl", retention: "ttl", ..DEFAULT_POLICY },
    DEFAULT_POLICY,
    Policy {
        name: "bound: all kept, link free",
        retention: "lru",
        store_bytes: STORE_BYTES * 100,
        link_bytes_per_ms: LINK_BYTES_PER_MS * 1000,
        ..DEFAULT_POLICY
    },
];

fn plan(policy: &Policy) -> Plan {
    let mut plan = Plan::full_size();
    plan.stores = policy.stores;
    plan.cache_tokens = CACHE_TOKENS;
    plan.store_bytes = policy.store_bytes;
    plan.link_bytes_per_ms = policy.link_bytes_per_ms;
    plan.policy = format!(
        "route = {}\nkeep = {}\nshare = {}",
        policy.routing, policy.retention, policy.sharing
    );
    plan
}

/// Tokens of context that all engines and stores of a fleet can hold together.
fn context_capacity_tokens(plan: &Plan) -> usize {
    let engines: usize = plan.halls.iter().map(|hall| hall.engines).sum();
    let stored = plan.store_bytes * plan.stores as u64 / KV_TOKEN_BYTES;
    let cached = engines as u64 * CACHE_TOKENS;
    usize::try_from(cached + stored).unwrap_or(usize::MAX)
}

async fn start_fleet(policy: &Policy, workload: &Workload) -> Arc<Fleet> {
    let fleet = Arc::new(Fleet::start(&plan(policy)).await);
    let revision = create_accounts(&fleet, workload);
    let boxes: Vec<_> = fleet.boxes.iter().collect();
    fleet.wait_for_revision(&boxes, revision, boxes.len()).await;
    fleet
}

/// Compares all policies under both workloads.
pub async fn run(options: &Options) -> ExitCode {
    let mut failures = 0;
    let mut times: Vec<(String, Histogram<u64>)> = Vec::new();
    for kind in [WorkloadKind::Sanam, WorkloadKind::Petra] {
        for percent in options.loads_percent.iter().copied() {
            let rate_per_s = options.rate_per_s * percent / 100.0;
            let workload = Workload::new(kind, options.seed, rate_per_s, options.seconds);
            let workload = workload.with_warmup(options.seed);
            let optimal_percent =
                workload.optimal_recompute_percent(context_capacity_tokens(&plan(&DEFAULT_POLICY)));
            println!("\n{} at {percent}% ({rate_per_s:.0} requests/s)", kind.name());
            println!("lowest possible recompute with the same capacity: {optimal_percent:.1}%");
            print_header();
            for policy in &POLICIES {
                let fleet = start_fleet(policy, &workload).await;
                let send_options =
                    SendOptions { warmup_ms: workload.warmup_ms, ..SendOptions::default() };
                let outcome = send_load(&fleet, &workload, send_options).await;
                print_row(policy.name, &outcome);
                failures += outcome.failures();
                times.push((
                    format!("{} {percent}% {}", kind.name(), policy.name),
                    outcome.first_token_us,
                ));
            }
        }
    }
    failures += run_flooding(options).await;
    if let Some(path) = &options.plot {
        let shown: Vec<_> = times.into_iter().filter(|(name, _)| name.contains(" 80% ")).collect();
        if let Err(error) = plot(path, &shown) {
            eprintln!("error: plot: {error}");
            return ExitCode::FAILURE;
        }
    }
    if failures == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// One account sends ten times its share of requests. Measures how this affects the other
/// accounts.
async fn run_flooding(options: &Options) -> u64 {
    println!("\none account sends ten times its share");
    println!(
        "{:<34} {:>14} {:>14} {:>8} {:>8}",
        "share policy", "others p95 ms", "flooder p95 ms", "whole", "refus"
    );
    let mut failures = 0;
    for (sharing, is_flooded) in [("fair", false), ("fifo", true), ("fair", true)] {
        let policy = Policy { sharing, ..DEFAULT_POLICY };
        let rate_per_s = options.rate_per_s * 0.5;
        let mut workload =
            Workload::new(WorkloadKind::Sanam, options.seed, rate_per_s, options.seconds);
        if is_flooded {
            // Account 3 has 1 of 20 shares.
            workload.add_requests(3, options.seed + 1, rate_per_s * 10.0 / 20.0, options.seconds);
            workload.add_requests(3, options.seed + 2, rate_per_s * 2.0, options.seconds);
        }
        let fleet = start_fleet(&policy, &workload).await;
        let outcome = send_load(&fleet, &workload, SendOptions::default()).await;
        let name = format!("{sharing}{}", if is_flooded { ", flooded" } else { "" });
        print_flood_row(&name, &outcome);
        failures += outcome.failures();
    }
    failures
}

fn print_flood_row(name: &str, outcome: &Outcome) {
    let mut others = outcome.first_token_by_account_us[0].clone();
    for (account, times) in outcome.first_token_by_account_us.iter().enumerate() {
        if account != 0 && account != 3 {
            others.add(times).expect("histograms have the same bounds");
        }
    }
    let flooder = quantile_ms(&outcome.first_token_by_account_us[3], 0.95);
    let refused: u64 = outcome.refusals.values().sum();
    println!(
        "{name:<34} {:>14.1} {flooder:>14.1} {:>8} {refused:>8}",
        quantile_ms(&others, 0.95),
        outcome.whole
    );
}

/// A fault in the middle third of a load.
#[derive(Clone, Copy)]
enum MidRunFault {
    StorePaused,
    LinksSlow,
    EnginesPaused,
    BoxKilled,
    PlatformOutage,
}

impl MidRunFault {
    fn name(self) -> &'static str {
        match self {
            Self::StorePaused => "a store freezes",
            Self::LinksSlow => "links at a tenth",
            Self::EnginesPaused => "three engines freeze",
            Self::BoxKilled => "a box is killed",
            Self::PlatformOutage => "the platform is out",
        }
    }

    async fn apply(self, fleet: &Fleet, active: bool) {
        match self {
            Self::StorePaused => {
                fleet.stores[0].signal(if active { "-STOP" } else { "-CONT" });
            }
            Self::LinksSlow => {
                for store in &fleet.stores {
                    fleet
                        .set_fault(store, json!({ "slowdown": if active { 10 } else { 1 } }))
                        .await;
                }
            }
            Self::EnginesPaused => {
                for engine in &fleet.engines[..3] {
                    engine.signal(if active { "-STOP" } else { "-CONT" });
                }
            }
            Self::BoxKilled => {
                if active {
                    fleet.boxes[4].process.signal("-KILL");
                }
            }
            Self::PlatformOutage => {
                fleet.set_fault(&fleet.platform, json!({ "outage": active })).await;
            }
        }
    }
}

/// Runs the default policy under load, with a fault in the middle third.
pub async fn run_faults(options: &Options) -> ExitCode {
    let mut failures = 0;
    println!(
        "{:<24} {:>10} {:>10} {:>10} {:>6} {:>6} {:>6}  refusals",
        "fault in the middle", "before p95", "during p95", "after p95", "sent", "whole", "bad"
    );
    let all = [
        MidRunFault::StorePaused,
        MidRunFault::LinksSlow,
        MidRunFault::EnginesPaused,
        MidRunFault::BoxKilled,
        MidRunFault::PlatformOutage,
    ];
    for fault in all {
        let third_s = (options.seconds / 3).max(4);
        let rate_per_s = options.rate_per_s * 0.5;
        let workload = Workload::new(WorkloadKind::Sanam, options.seed, rate_per_s, third_s * 3);
        let fleet = start_fleet(&DEFAULT_POLICY, &workload).await;
        let fault_fleet = fleet.clone();
        let injector = tokio::spawn(async move {
            tokio::time::sleep(Duration::from_secs(third_s)).await;
            fault.apply(&fault_fleet, true).await;
            tokio::time::sleep(Duration::from_secs(third_s)).await;
            fault.apply(&fault_fleet, false).await;
        });
        let send_options = SendOptions { kills_boxes: true, ..SendOptions::default() };
        let outcome = send_load(&fleet, &workload, send_options).await;
        let _ = injector.await;
        let p95 = |from_s, to_s| p95_between(&outcome, from_s, to_s);
        // The first seconds fill the caches and the first three seconds after the fault are for
        // recovery, so both are left out.
        println!(
            "{:<24} {:>10.1} {:>10.1} {:>10.1} {:>6} {:>6} {:>6}  {}",
            fault.name(),
            p95(third_s / 2, third_s),
            p95(third_s, third_s * 2),
            p95(third_s * 2 + 3, third_s * 3),
            outcome.sent,
            outcome.whole,
            outcome.failures(),
            refusals(&outcome)
        );
        failures += outcome.failures();
    }
    if failures == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn p95_between(outcome: &Outcome, from_s: u64, to_s: u64) -> f64 {
    let mut all: Option<Histogram<u64>> = None;
    for (_, times) in outcome.first_token_by_second_us.range(from_s..to_s) {
        match &mut all {
            Some(all) => all.add(times).expect("histograms have the same bounds"),
            None => all = Some(times.clone()),
        }
    }
    all.map_or(0.0, |all| quantile_ms(&all, 0.95))
}
