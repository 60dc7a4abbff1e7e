//! Measures the cost of the control plane in fleets of growing size, from outside of real
//! processes.

use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

use coursestile_standins::fleet::{EntryBox, Fleet, HallPlan, Plan};

use crate::Options;
use crate::figures::ratio;
use crate::runner::{SendOptions, create_accounts, send_load};
use crate::workload::{Workload, WorkloadKind};

/// Numbers of entry boxes of the fleets.
const FLEET_SIZES: [usize; 4] = [3, 9, 30, 60];
/// Data halls of each fleet.
const HALLS: usize = 3;
/// Time for a new fleet to settle before measurements start.
const SETTLE_TIME: Duration = Duration::from_secs(12);
/// Requests per second and box under load.
const REQUESTS_PER_S_PER_BOX: f64 = 2.0;

/// Resident memory of a process, in megabytes.
pub fn resident_mb(pid: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/statm")).unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
    ratio(pages.unwrap_or(0) * 4096, 1_000_000)
}

/// CPU time of a process, in hundredths of a second.
pub fn cpu_ticks(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<_> = text.rsplit(')').next().unwrap_or_default().split(' ').collect();
    let ticks = |index: usize| fields.get(index).and_then(|field| field.parse::<u64>().ok());
    ticks(12).unwrap_or(0) + ticks(13).unwrap_or(0)
}

/// Totals of all boxes of a fleet.
#[derive(Clone, Copy, Default)]
struct FleetUsage {
    sent_bytes: u64,
    sent_messages: u64,
    cpu_ticks: u64,
    platform_calls: u64,
}

async fn read_counter(fleet: &Fleet, entry_box: &EntryBox, name: &str) -> u64 {
    let url = format!("http://{}/metrics", entry_box.operators);
    let page = match fleet.http.get(url).send().await {
        Ok(answer) => answer.text().await.unwrap_or_default(),
        Err(_) => String::new(),
    };
    let line = page.lines().find(|line| line.starts_with(name));
    line.and_then(|line| line.rsplit(' ').next()?.parse().ok()).unwrap_or(0)
}

async fn sample_usage(fleet: &Fleet) -> FleetUsage {
    let mut usage = FleetUsage::default();
    for entry_box in &fleet.boxes {
        usage.cpu_ticks += cpu_ticks(entry_box.process.pid());
        let sent = "coursestile_peer_sent";
        usage.sent_bytes += read_counter(fleet, entry_box, &format!("{sent}_bytes_total")).await;
        usage.sent_messages +=
            read_counter(fleet, entry_box, &format!("{sent}_messages_total")).await;
        let calls = "coursestile_platform_calls_total";
        usage.platform_calls += read_counter(fleet, entry_box, calls).await;
    }
    usage
}

fn plan(boxes: usize) -> Plan {
    let hall = |index: usize| HallPlan::new(&format!("hall{index}"), boxes / HALLS, 2, 0);
    Plan::new((0..HALLS).map(hall).collect())
}

fn print_row(
    name: &str,
    boxes: usize,
    before: FleetUsage,
    after: FleetUsage,
    took: Duration,
    memory_mb: f64,
) {
    let per_box_per_s = |amount: u64| ratio(amount, boxes as u64) / took.as_secs_f64();
    println!(
        "{boxes:>6} {name:<8} {:>12.0} {:>12.1} {:>10.2} {memory_mb:>10.1} {:>14.2}",
        per_box_per_s(after.sent_bytes - before.sent_bytes),
        per_box_per_s(after.sent_messages - before.sent_messages),
        per_box_per_s(after.cpu_ticks - before.cpu_ticks),
        ratio(after.platform_calls - before.platform_calls, 1) / took.as_secs_f64()
    );
}

/// Prints a row for each fleet, idle and under load.
pub async fn run(options: &Options) -> ExitCode {
    println!(
        "{:>6} {:<8} {:>12} {:>12} {:>10} {:>10} {:>14}",
        "boxes", "state", "B/s a box", "msg/s a box", "cpu % box", "MB a box", "platform/s all"
    );
    let mut failures = 0;
    for boxes in FLEET_SIZES {
        let fleet = Arc::new(Fleet::start(&plan(boxes)).await);
        let rate_per_s = REQUESTS_PER_S_PER_BOX * f64::from(u32::try_from(boxes).unwrap_or(1));
        let workload =
            Workload::new(WorkloadKind::Sanam, options.seed, rate_per_s, options.seconds);
        let revision = create_accounts(&fleet, &workload);
        let all: Vec<_> = fleet.boxes.iter().collect();
        // Membership takes longer to converge when all boxes of a fleet start at once.
        fleet.wait_for_revision(&all, revision, boxes / 2).await;
        tokio::time::sleep(SETTLE_TIME).await;
        let (started_at, before) = (Instant::now(), sample_usage(&fleet).await);
        tokio::time::sleep(Duration::from_secs(options.seconds)).await;
        let after = sample_usage(&fleet).await;
        print_row("idle", boxes, before, after, started_at.elapsed(), mean_memory_mb(&fleet));
        let (started_at, before) = (Instant::now(), sample_usage(&fleet).await);
        failures += send_load(&fleet, &workload, SendOptions::default()).await.failures();
        let after = sample_usage(&fleet).await;
        print_row("load", boxes, before, after, started_at.elapsed(), mean_memory_mb(&fleet));
    }
    if failures == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn mean_memory_mb(fleet: &Fleet) -> f64 {
    let all: f64 = fleet.boxes.iter().map(|entry_box| resident_mb(entry_box.process.pid())).sum();
    all / f64::from(u32::try_from(fleet.boxes.len()).unwrap_or(1))
}
