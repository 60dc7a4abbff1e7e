//! Runs the soak for a series of seeds.

use std::process::ExitCode;

use coursestile_soak::{Options, Report, Streams, run};
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
                    start again too (default); 4: weights are on the move too;
                    only-4: nothing else; words: upstreams crash under one
                    request, and say in their answers that they leave or rest
      --steps       Print what happens in each run
  -h, --help        Print this help

Exit code 1 when a promise was broken; its seed and logs are named.
";

/// Broken promises of one run that are printed: the first tell the cause.
const PRINTED: usize = 10;

struct Args {
    options: Options,
    count: u64,
    steps: bool,
}

fn parse() -> Result<Option<Args>, lexopt::Error> {
    let options = Options {
        seed: fastrand::u64(..1 << 32),
        seconds: 20,
        boxes: 4,
        streams: Streams::Restarts,
    };
    let mut args = Args { options, count: 1, steps: false };
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("seed") => args.options.seed = parser.value()?.parse()?,
            Long("count") => args.count = parser.value()?.parse()?,
            Long("seconds") => args.options.seconds = parser.value()?.parse()?,
            Long("boxes") => args.options.boxes = parser.value()?.parse()?,
            Long("streams") => args.options.streams = streams(&parser.value()?.string()?)?,
            Long("steps") => args.steps = true,
            Short('h') | Long("help") => return Ok(None),
            other => return Err(other.unexpected()),
        }
    }
    if args.options.boxes == 0 {
        return Err("--boxes: at least one is needed".into());
    }
    Ok(Some(args))
}

fn streams(text: &str) -> Result<Streams, lexopt::Error> {
    match text {
        "1" => Ok(Streams::First),
        "2" => Ok(Streams::Silences),
        "3" => Ok(Streams::Restarts),
        "4" => Ok(Streams::Moves),
        "only-4" => Ok(Streams::MovesAlone),
        "words" => Ok(Streams::Words),
        _ => Err("--streams: 1, 2, 3, 4, only-4 or words is needed".into()),
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
        () = told_to_stop() => {
            // The processes end with what holds them.
            eprintln!("error: stopped by a signal");
            return ExitCode::from(2);
        }
    };
    println!("{} runs, {failed} with a broken promise", args.count);
    if failed > 0 { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}

/// Waits for SIGTERM or SIGINT.
async fn told_to_stop() {
    match signal(SignalKind::terminate()) {
        Ok(mut terminated) => {
            tokio::select! {
                _ = terminated.recv() => {}
                _ = tokio::signal::ctrl_c() => {}
            }
        }
        Err(error) => {
            eprintln!("error: SIGTERM will not be heard: {error}");
            std::future::pending::<()>().await;
        }
    }
}

/// Makes all runs; how many of them failed.
async fn run_all(args: &Args) -> usize {
    let mut failed = 0;
    for turn in 0..args.count {
        let options = Options { seed: args.options.seed + turn, ..args.options };
        match run(options).await {
            Ok(report) => {
                print(options.seed, &report, args.steps);
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

fn print(seed: u64, report: &Report, steps: bool) {
    let broken = report.violations.len();
    println!("seed {seed}: {broken} promises broken; {:?}", report.ends);
    if steps {
        println!("  {}", report.steps.join("\n  "));
    }
    for violation in report.violations.iter().take(PRINTED) {
        println!("  {violation}");
    }
    if broken > PRINTED {
        println!("  and {} more", broken - PRINTED);
    }
    if let Some(logs) = &report.logs {
        println!("  logs: {}", logs.display());
    }
}
