//! Runs the soak for a series of seeds.

use std::process::ExitCode;

use coursestile_soak::{Options, run};
use lexopt::prelude::*;

const HELP: &str = "\
Randomized fault soak: real gateway processes, faults from outside.

Usage: coursestile-soak [options]

Options:
      --seed N      First seed (default: drawn from the clock)
      --count N     Runs, each with the next seed (default 1)
      --seconds N   Length of each run (default 20)
      --boxes N     Boxes (default 4)
      --steps       Print what happens in each run
  -h, --help        Print this help

Exit code 1 when a promise was broken; its seed and logs are named.
";

struct Args {
    options: Options,
    count: u64,
    steps: bool,
}

fn parse() -> Result<Option<Args>, lexopt::Error> {
    let options = Options { seed: fastrand::u64(..1 << 32), seconds: 20, boxes: 4 };
    let mut args = Args { options, count: 1, steps: false };
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("seed") => args.options.seed = parser.value()?.parse()?,
            Long("count") => args.count = parser.value()?.parse()?,
            Long("seconds") => args.options.seconds = parser.value()?.parse()?,
            Long("boxes") => args.options.boxes = parser.value()?.parse()?,
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
    let mut failed = 0;
    for turn in 0..args.count {
        let options = Options { seed: args.options.seed + turn, ..args.options };
        match run(options).await {
            Ok(report) => {
                let broken = report.violations.len();
                println!("seed {}: {broken} promises broken; {:?}", options.seed, report.ends);
                if args.steps {
                    println!("  {}", report.steps.join("\n  "));
                }
                for violation in report.violations.iter().take(10) {
                    println!("  {violation}");
                }
                if let Some(logs) = report.logs {
                    println!("  logs: {}", logs.display());
                }
                failed += usize::from(broken > 0);
            }
            Err(error) => {
                eprintln!("error: seed {}: {error}", options.seed);
                failed += 1;
            }
        }
    }
    println!("{} runs, {failed} with a broken promise", args.count);
    if failed > 0 { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}
