//! Runs both workloads on a fleet of the present size and shows the output of the operators'
//! tool.

use std::process::ExitCode;
use std::sync::Arc;

use coursestile_standins::fleet::{Fleet, Plan};

use crate::Options;
use crate::report::{print_header, print_row, refusals};
use crate::runner::{SendOptions, create_accounts, send_load};
use crate::workload::{Workload, WorkloadKind};

/// Runs the demo. Fails if a request is lost, runs more than once, or gets a wrong answer or
/// false refusal.
pub async fn run(options: &Options) -> ExitCode {
    let mut failures = 0;
    for kind in [WorkloadKind::Sanam, WorkloadKind::Petra] {
        failures += run_workload(kind, options).await;
    }
    if failures == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

async fn run_workload(kind: WorkloadKind, options: &Options) -> u64 {
    println!("== {}: 3 halls, 9 boxes, 18 engines, 2 stores, 3 workers", kind.name());
    let fleet = Arc::new(Fleet::start(&Plan::full_size()).await);
    let workload = Workload::new(kind, options.seed, options.rate_per_s, options.seconds);
    let revision = create_accounts(&fleet, &workload);
    let boxes: Vec<_> = fleet.boxes.iter().collect();
    fleet.wait_for_revision(&boxes, revision, boxes.len()).await;
    println!(
        "\n$ coursestile account list\n{}",
        fleet.must_run_operator_tool(&["account", "list"])
    );
    let outcome =
        send_load(&fleet, &workload, SendOptions { progress: true, ..SendOptions::default() })
            .await;
    if let Some(trace) = &outcome.trace {
        println!("\n$ coursestile trace {trace}\n{}", fleet.run_operator_tool(&["trace", trace]).1);
    }
    println!("$ coursestile status\n{}", fleet.run_operator_tool(&["status"]).1);
    print_header();
    print_row(kind.name(), &outcome);
    println!("\nrequests sent {}, whole answers {}", outcome.sent, outcome.whole);
    println!("refusals: {}", refusals(&outcome));
    println!(
        "lost {}, doubled {}, wrong {}, untrue 'not run' {}\n",
        outcome.lost, outcome.run_repeatedly, outcome.wrong, outcome.false_not_run
    );
    outcome.failures()
}
