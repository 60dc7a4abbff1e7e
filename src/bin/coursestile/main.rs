//! Command-line tool for operators.

mod args;
mod change;
mod explain;
mod show;

use std::process::ExitCode;

use coursestile::error::{Error, Result};

use crate::args::{Args, HELP, help_for};

/// Exit code when another operator changed the same object first.
const CONFLICT_EXIT_CODE: u8 = 3;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    match run().await {
        Ok(code) => code,
        Err(error) => {
            eprintln!("error: {error}");
            match error {
                Error::Conflict { .. } => ExitCode::from(CONFLICT_EXIT_CODE),
                Error::Usage(_) => ExitCode::from(2),
                _ => ExitCode::FAILURE,
            }
        }
    }
}

async fn run() -> Result<ExitCode> {
    let args = Args::parse()?;
    let words: Vec<&str> = args.positional.iter().map(String::as_str).collect();
    if args.help || words.is_empty() {
        print!("{}", words.first().map_or(HELP, |verb| help_for(verb)));
        return Ok(ExitCode::SUCCESS);
    }
    match words.as_slice() {
        ["version"] => println!("coursestile {}", env!("CARGO_PKG_VERSION")),
        [kind @ ("template" | "account"), "list"] => show::list(&args, kind).await?,
        [kind @ ("template" | "account"), "show", name] => show::object(&args, kind, name).await?,
        ["model" | "upstream", "list"] => show::list(&args, words[0]).await?,
        ["history"] => show::history(&args, 0).await?,
        ["diff", from] => show::history(&args, args::parse_number("diff", from)?).await?,
        ["status"] => return show::status(&args).await,
        ["in-force", revision] => {
            return show::in_force(&args, args::parse_number("in-force", revision)?).await;
        }
        ["trace", id] => show::trace(&args, id).await?,
        ["explain", id, logs @ ..] => return explain::print_timeline(id, logs),
        ["box", "drain", address] => change::drain_box(address).await?,
        words => change::apply_change(&args, words).await?,
    }
    Ok(ExitCode::SUCCESS)
}
