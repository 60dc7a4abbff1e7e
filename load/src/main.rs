//! Load and experiment tool for coursestile.
//!
//! Starts fleets of real processes surrounded by stand-ins, sends open-loop loads that are the
//! same for each compared policy, and prints tables.

mod bench;
mod chaos;
mod compare;
mod control;
mod decide;
mod demo;
mod figures;
mod gateway;
mod outcome;
mod report;
mod runner;
mod workload;

use std::process::ExitCode;

use lexopt::prelude::*;

const HELP: &str = "\
Load and experiments on fleets of real processes.

Usage: coursestile-load [options] EXPERIMENT

Experiments:
  demo     Both workloads on a fleet of today's size; fails on a lost, doubled
           or wrong answer
  compare  Policies against each other, same seed and arrivals
  faults   Our policies, with faults in the middle
  bench    Time to first token, relay rate, memory, changes in force
  chaos    Random faults of every kind for a while; fails on a violated guarantee
  control  Cost of control on fleets of growing size
  decide   Time and memory of decisions at the size to come
  gateway  What hearing peers and choosing an engine cost as the fleet grows

Options:
      --seconds N   Length of each load (default 20)
      --rate N      Requests a second; compare: at 100 percent (default 60)
      --seed N      Seed of arrivals (default 1)
      --loads A,B   Percents of the rate that compare runs at (default 50,80,110)
      --plot FILE   Where compare writes its plot (default: none)
  -h, --help        Print this help
";

/// Options of all experiments.
pub struct Options {
    /// Length of each load.
    pub seconds: u64,
    /// Requests per second.
    pub rate_per_s: f64,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Loads to compare, in percent of the request rate.
    pub loads_percent: Vec<f64>,
    /// Path of the plot to write, if any.
    pub plot: Option<String>,
}

fn parse() -> Result<(Option<String>, Options), lexopt::Error> {
    let loads_percent = vec![50.0, 80.0, 110.0];
    let mut options = Options { seconds: 20, rate_per_s: 60.0, seed: 1, loads_percent, plot: None };
    let mut experiment = None;
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("seconds") => options.seconds = parser.value()?.parse()?,
            Long("rate") => options.rate_per_s = parser.value()?.parse()?,
            Long("seed") => options.seed = parser.value()?.parse()?,
            Long("loads") => {
                let text: String = parser.value()?.parse()?;
                let percents = text.split(',').map(str::parse).collect::<Result<_, _>>();
                options.loads_percent = percents.map_err(|_| "--loads: not a list of numbers")?;
            }
            Long("plot") => options.plot = Some(parser.value()?.parse()?),
            Short('h') | Long("help") => return Ok((None, options)),
            Value(word) if experiment.is_none() => {
                experiment = Some(word.to_string_lossy().into_owned());
            }
            arg => return Err(arg.unexpected()),
        }
    }
    Ok((experiment, options))
}

#[tokio::main]
async fn main() -> ExitCode {
    let (experiment, options) = match parse() {
        Ok(parsed) => parsed,
        Err(error) => {
            eprintln!("error: {error}; see --help");
            return ExitCode::from(2);
        }
    };
    match experiment.as_deref() {
        None => {
            print!("{HELP}");
            ExitCode::SUCCESS
        }
        Some("demo") => demo::run(&options).await,
        Some("compare") => compare::run(&options).await,
        Some("faults") => compare::run_faults(&options).await,
        Some("bench") => bench::run().await,
        Some("chaos") => chaos::run(&options).await,
        Some("control") => control::run(&options).await,
        Some("decide") => decide::run(),
        Some("gateway") => gateway::run(),
        Some(name) => {
            eprintln!("error: there is no experiment '{name}'; see --help");
            ExitCode::from(2)
        }
    }
}
