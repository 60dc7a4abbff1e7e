//! Policies against each other: same seed, same arrivals, fresh fleets.

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use coursestile_standins::fleet::{Fleet, Plan};
use hdrhistogram::Histogram;
use serde_json::json;

use crate::Options;
use crate::figures::quantile_ms;
use crate::outcome::Outcome;
use crate::report::{plot, print_head, print_row, refusals};
use crate::runner::{Sending, create_accounts, send};
use crate::workload::{Kind, Workload};

struct Policy {
    name: &'static str,
    route: &'static str,
    keep: &'static str,
    share: &'static str,
    stores: usize,
    store_bytes: u64,
    link_bytes_per_ms: u64,
}

/// Engines with little cache, so that gaps outlast it within a short run.
const CACHE_TOKENS: u64 = 24_576;
/// Bytes of a store, too few for all contexts.
const STORE_BYTES: u64 = 9_000_000_000;
/// Rate of a store's link.
const LINK_BYTES_PER_MS: u64 = 2_000_000;
/// Bytes of kept context a token.
const KV_TOKEN_BYTES: u64 = 20_000;

const OURS: Policy = Policy {
    name: "cost, keep worth (ours)",
    route: "cost",
    keep: "worth",
    share: "fair",
    stores: 2,
    store_bytes: STORE_BYTES,
    link_bytes_per_ms: LINK_BYTES_PER_MS,
};

const BASELINE: Policy = Policy { keep: "lru", share: "fifo", stores: 0, ..OURS };

const POLICIES: [Policy; 7] = [
    Policy { name: "round robin, no store", route: "round_robin", ..BASELINE },
    Policy { name: "least outstanding, no store", route: "least_outstanding", ..BASELINE },
    Policy { name: "longest prefix, no store", route: "longest_prefix", ..BASELINE },
    Policy { name: "cost, keep lru", keep: "lru", ..OURS },
    Policy { name: "cost, keep ttl", keep: "ttl", ..OURS },
    OURS,
    Policy {
        name: "bound: all kept, link free",
        keep: "lru",
        store_bytes: STORE_BYTES * 100,
        link_bytes_per_ms: LINK_BYTES_PER_MS * 1000,
        ..OURS
    },
];

fn plan(policy: &Policy) -> Plan {
    let mut plan = Plan::full_size();
    plan.stores = policy.stores;
    plan.cache_tokens = CACHE_TOKENS;
    plan.store_bytes = policy.store_bytes;
    plan.link_bytes_per_ms = policy.link_bytes_per_ms;
    plan.policy =
        format!("route = {}\nkeep = {}\nshare = {}", policy.route, policy.keep, policy.share);
    plan
}

/// Context that a fleet can keep in engines and stores together, in tokens.
fn kept_tokens(plan: &Plan) -> usize {
    let engines: usize = plan.halls.iter().map(|hall| hall.engines).sum();
    let stored = plan.store_bytes * plan.stores as u64 / KV_TOKEN_BYTES;
    let cached = engines as u64 * CACHE_TOKENS;
    usize::try_from(cached + stored).unwrap_or(usize::MAX)
}

async fn start(policy: &Policy, workload: &Workload) -> Arc<Fleet> {
    let fleet = Arc::new(Fleet::start(&plan(policy)).await);
    let revision = create_accounts(&fleet, workload);
    let boxes: Vec<_> = fleet.boxes.iter().collect();
    fleet.wait_for_revision(&boxes, revision, boxes.len()).await;
    fleet
}

/// Compares all policies under both workloads.
pub async fn run(options: &Options) -> ExitCode {
    let mut faults = 0;
    let mut times: Vec<(String, Histogram<u64>)> = Vec::new();
    for kind in [Kind::Sanam, Kind::Petra] {
        for percent in options.loads_percent.iter().copied() {
            let rate_per_s = options.rate_per_s * percent / 100.0;
            let workload = Workload::new(kind, options.seed, rate_per_s, options.seconds);
            let workload = workload.warmed(options.seed);
            let hindsight = workload.hindsight_percent(kept_tokens(&plan(&OURS)));
            println!("\n{} at {percent}% ({rate_per_s:.0} requests/s)", kind.name());
            println!("least recompute in hindsight, with the same room: {hindsight:.1}%");
            print_head();
            for policy in &POLICIES {
                let fleet = start(policy, &workload).await;
                let sending = Sending { warm_ms: workload.warm_ms, ..Sending::default() };
                let outcome = send(&fleet, &workload, sending).await;
                print_row(policy.name, &outcome);
                faults += outcome.faults();
                times.push((
                    format!("{} {percent}% {}", kind.name(), policy.name),
                    outcome.first_token_us,
                ));
            }
        }
    }
    faults += run_flood(options).await;
    if let Some(path) = &options.plot {
        let shown: Vec<_> = times.into_iter().filter(|(name, _)| name.contains(" 80% ")).collect();
        if let Err(error) = plot(path, &shown) {
            eprintln!("error: plot: {error}");
            return ExitCode::FAILURE;
        }
    }
    if faults == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// One account sends ten times its share; what the others feel of it.
async fn run_flood(options: &Options) -> u64 {
    println!("\none account sends ten times its share");
    println!(
        "{:<34} {:>14} {:>14} {:>8} {:>8}",
        "share policy", "others p95 ms", "flooder p95 ms", "whole", "refus"
    );
    let mut faults = 0;
    for (share, flooded) in [("fair", false), ("fifo", true), ("fair", true)] {
        let policy = Policy { share, ..OURS };
        let rate_per_s = options.rate_per_s * 0.5;
        let mut workload = Workload::new(Kind::Sanam, options.seed, rate_per_s, options.seconds);
        if flooded {
            // Account 3 has 1 of 20 shares.
            workload.flood(3, options.seed + 1, rate_per_s * 10.0 / 20.0, options.seconds);
            workload.flood(3, options.seed + 2, rate_per_s * 2.0, options.seconds);
        }
        let fleet = start(&policy, &workload).await;
        let outcome = send(&fleet, &workload, Sending::default()).await;
        let name = format!("{share}{}", if flooded { ", flooded" } else { "" });
        print_shares(&name, &outcome);
        faults += outcome.faults();
    }
    faults
}

fn print_shares(name: &str, outcome: &Outcome) {
    let mut others = outcome.by_account_us[0].clone();
    for (account, times) in outcome.by_account_us.iter().enumerate() {
        if account != 0 && account != 3 {
            others.add(times).expect("histograms have the same bounds");
        }
    }
    let flooder = quantile_ms(&outcome.by_account_us[3], 0.95);
    let refused: u64 = outcome.refusals.values().sum();
    println!(
        "{name:<34} {:>14.1} {flooder:>14.1} {:>8} {refused:>8}",
        quantile_ms(&others, 0.95),
        outcome.whole
    );
}

/// A fault in the middle of a load.
#[derive(Clone, Copy)]
enum Fault {
    StoreDies,
    LinkSlow,
    EnginesFreeze,
    BoxKilled,
    PlatformOut,
}

impl Fault {
    fn name(self) -> &'static str {
        match self {
            Self::StoreDies => "a store dies",
            Self::LinkSlow => "links at a tenth",
            Self::EnginesFreeze => "three engines freeze",
            Self::BoxKilled => "a box is killed",
            Self::PlatformOut => "the platform is out",
        }
    }

    async fn set(self, fleet: &Fleet, on: bool) {
        match self {
            Self::StoreDies => {
                fleet.stores[0].signal(if on { "-STOP" } else { "-CONT" });
            }
            Self::LinkSlow => {
                for store in &fleet.stores {
                    fleet.set_fault(store, json!({ "slowdown": if on { 10 } else { 1 } })).await;
                }
            }
            Self::EnginesFreeze => {
                for engine in &fleet.engines[..3] {
                    engine.signal(if on { "-STOP" } else { "-CONT" });
                }
            }
            Self::BoxKilled => {
                if on {
                    fleet.boxes[4].process.signal("-KILL");
                }
            }
            Self::PlatformOut => fleet.set_fault(&fleet.platform, json!({ "outage": on })).await,
        }
    }
}

/// Our policies under load, with a fault in the middle third.
pub async fn run_faults(options: &Options) -> ExitCode {
    let mut faults = 0;
    println!(
        "{:<24} {:>10} {:>10} {:>10} {:>6} {:>6} {:>6}  refusals",
        "fault in the middle", "before p95", "during p95", "after p95", "sent", "whole", "bad"
    );
    let all = [
        Fault::StoreDies,
        Fault::LinkSlow,
        Fault::EnginesFreeze,
        Fault::BoxKilled,
        Fault::PlatformOut,
    ];
    for fault in all {
        let third_s = (options.seconds / 3).max(4);
        let rate_per_s = options.rate_per_s * 0.5;
        let workload = Workload::new(Kind::Sanam, options.seed, rate_per_s, third_s * 3);
        let fleet = start(&OURS, &workload).await;
        let injected = fleet.clone();
        let injector = tokio::spawn(async move {
            tokio::time::sleep(Duration::from_secs(third_s)).await;
            fault.set(&injected, true).await;
            tokio::time::sleep(Duration::from_secs(third_s)).await;
            fault.set(&injected, false).await;
        });
        let sending = Sending { boxes_die: true, ..Sending::default() };
        let outcome = send(&fleet, &workload, sending).await;
        let _ = injector.await;
        let p95 = |from_s, to_s| p95_between(&outcome, from_s, to_s);
        // The first seconds warm the caches; the heal gets three seconds.
        println!(
            "{:<24} {:>10.1} {:>10.1} {:>10.1} {:>6} {:>6} {:>6}  {}",
            fault.name(),
            p95(third_s / 2, third_s),
            p95(third_s, third_s * 2),
            p95(third_s * 2 + 3, third_s * 3),
            outcome.sent,
            outcome.whole,
            outcome.faults(),
            refusals(&outcome)
        );
        faults += outcome.faults();
    }
    if faults == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn p95_between(outcome: &Outcome, from_s: u64, to_s: u64) -> f64 {
    let mut all: Option<Histogram<u64>> = None;
    for (_, times) in outcome.by_second_us.range(from_s..to_s) {
        match &mut all {
            Some(all) => all.add(times).expect("histograms have the same bounds"),
            None => all = Some(times.clone()),
        }
    }
    all.map_or(0.0, |all| quantile_ms(&all, 0.95))
}
