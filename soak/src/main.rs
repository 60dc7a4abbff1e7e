//! Runs the soak test for a series of seeds.

use std::process::ExitCode;

use coursestile_soak::{Options, Report, Scenario, run};
use lexopt::prelude::*;
use tokio::signal::unix::{SignalKind, signal};

const HELP: &str = "\
Randomized fault soak: real gateway processes, faults from outside.

Usage: coursestile-soak [options]

Options:
      --seed N      First seed (default: drawn at random)
      --count N     Runs, each with the next seed (default 1)
      --seconds N   Length of each run (default 20)
      --boxes N     Boxes (default 4)
      --streams N   1: faults and planned work; 2: silences too; 3: upstreams
                    restart too (default); 4: weights change too; only-4: only
                    weights change; words: upstreams crash on one request, and
                    announce in their responses that they leave or want no
                    requests for a while; versions: upstreams of several software
                    versions replace each other; rollouts: services of one version
                    get another one while boxes and halls are cut off; odd-items:
                    odd items in the metadata store too; parts: upstreams crash
                    under parts of prompts; limits: upstreams name how many
                    requests a second they take; floods: clients leave
                    requests unfinished; accounts: one is isolated by turns,
                    upstreams that leave crash, bodies come late in a stop
      --steps       Print what happens in each run
  -h, --help        Print this help

Exit code 1 when a guarantee was violated; its seed and logs are named.
";

/// Violations that are printed for each run; the first ones usually show the cause.
const MAX_PRINTED_VIOLATIONS: usize = 10;

struct Args {
    options: Options,
    count: u64,
    print_steps: bool,
}

fn parse() -> Result<Option<Args>, lexopt::Error> {
    let options = Options {
        seed: fastrand::u64(..1 << 32),
        seconds: 20,
        boxes: 4,
        scenario: Scenario::Restarts,
    };
    let mut args = Args { options, count: 1, print_steps: false };
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("seed") => args.options.seed = parser.value()?.parse()?,
            Long("count") => args.count = parser.value()?.parse()?,
            Long("seconds") => args.options.seconds = parser.value()?.parse()?,
            Long("boxes") => args.options.boxes = parser.value()?.parse()?,
            Long("streams") => args.options.scenario = parse_scenario(&parser.value()?.string()?)?,
            Long("steps") => args.print_steps = true,
            Short('h') | Long("help") => return Ok(None),
            arg => return Err(arg.unexpected()),
        }
    }
    if args.options.boxes == 0 {
        return Err("--boxes: at least one is needed".into());
    }
    Ok(Some(args))
}

fn parse_scenario(text: &str) -> Result<Scenario, lexopt::Error> {
    match text {
        "1" => Ok(Scenario::First),
        "2" => Ok(Scenario::Silences),
        "3" => Ok(Scenario::Restarts),
        "4" => Ok(Scenario::Moves),
        "only-4" => Ok(Scenario::MovesAlone),
        "words" => Ok(Scenario::Words),
        "versions" => Ok(Scenario::Versions),
        "rollouts" => Ok(Scenario::RollOuts),
        "odd-items" => Ok(Scenario::OddItems),
        "parts" => Ok(Scenario::Parts),
        "limits" => Ok(Scenario::Limits),
        "floods" => Ok(Scenario::Floods),
        "accounts" => Ok(Scenario::Accounts),
        _ => {
            let names = "1, 2, 3, 4, only-4, words, versions, rollouts, odd-items, parts, limits, \
                         floods or accounts";
            Err(format!("--streams: {names} is needed").into())
        }
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let args = match parse() {
        Ok(Some(args)) => args,
        Ok(None) => {
            print!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("error: {error}");
            return ExitCode::from(2);
        }
    };
    let failed = tokio::select! {
        failed = run_all(&args) => failed,
        () = stop_signal() => {
            // Dropping the run has killed its processes.
            eprintln!("error: stopped by a signal");
            return ExitCode::from(2);
        }
    };
    println!("{} runs, {failed} with a violated guarantee", args.count);
    if failed > 0 { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}

/// Waits for SIGTERM or SIGINT.
async fn stop_signal() {
    match signal(SignalKind::terminate()) {
        Ok(mut terminated) => {
            tokio::select! {
                _ = terminated.recv() => {}
                _ = tokio::signal::ctrl_c() => {}
            }
        }
        Err(error) => {
            eprintln!("error: cannot install a handler for SIGTERM: {error}");
            std::future::pending::<()>().await;
        }
    }
}

/// Carries out all runs. Returns how many of them failed.
async fn run_all(args: &Args) -> usize {
    let mut failed = 0;
    for run_index in 0..args.count {
        let options = Options { seed: args.options.seed + run_index, ..args.options };
        match run(options).await {
            Ok(report) => {
                print_report(options.seed, &report, args.print_steps);
                failed += usize::from(!report.violations.is_empty());
            }
            Err(error) => {
                eprintln!("error: seed {}: {error}", options.seed);
                failed += 1;
            }
        }
    }
    failed
}

fn print_report(seed: u64, report: &Report, print_steps: bool) {
    let violation_count = report.violations.len();
    println!("seed {seed}: {violation_count} violated guarantees; {:?}", report.outcomes);
    if print_steps {
        println!("  {}", report.steps.join("\n  "));
    }
    for violation in report.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        println!("  {violation}");
    }
    if violation_count > MAX_PRINTED_VIOLATIONS {
        println!("  and {} more", violation_count - MAX_PRINTED_VIOLATIONS);
    }
    if violation_count > 0 {
        report.notes.iter().for_each(|note| println!("  {note}"));
    }
    if let Some(logs) = &report.logs {
        println!("  logs: {}", logs.display());
    }
}
