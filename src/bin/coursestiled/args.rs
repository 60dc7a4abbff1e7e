//! Command line of the daemon.

use coursestile::error::{Error, Result};
use lexopt::prelude::*;
use log::LevelFilter;

/// Text of `--help`.
pub const HELP: &str = "\
Serves an entry box.

Usage: coursestiled [options] SETTINGS

Options:
      --check-settings  Report every finding in the settings and exit
      --log LEVEL       error, warn, info (default), debug or trace
      --threads N       Worker threads (default 2)
  -h, --help            Print this help
  -V, --version         Print the version

SIGTERM stops as planned: running requests end, none is cut.
";

/// Worker threads without `--threads`: entry boxes are small.
const DEFAULT_THREADS: usize = 2;

/// What to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Serve.
    Serve,
    /// Check the settings and exit.
    CheckSettings,
    /// Print the help.
    Help,
    /// Print the version.
    Version,
}

/// The command line.
pub struct Args {
    /// What to do.
    pub mode: Mode,
    /// Settings file.
    pub settings: String,
    /// Level from which on to log.
    pub level: LevelFilter,
    /// Worker threads.
    pub threads: usize,
}

fn usage(error: impl std::fmt::Display) -> Error {
    Error::Usage(format!("{error}; see --help"))
}

impl Args {
    /// Reads the command line.
    pub fn parse() -> Result<Self> {
        let mut args = Self {
            mode: Mode::Serve,
            settings: String::new(),
            level: LevelFilter::Info,
            threads: DEFAULT_THREADS,
        };
        let mut parser = lexopt::Parser::from_env();
        while let Some(arg) = parser.next().map_err(usage)? {
            match arg {
                Long("check-settings") => args.mode = Mode::CheckSettings,
                Long("log") => {
                    args.level = parser.value().map_err(usage)?.parse().map_err(usage)?;
                }
                Long("threads") => {
                    args.threads = parser.value().map_err(usage)?.parse().map_err(usage)?;
                }
                Short('h') | Long("help") => args.mode = Mode::Help,
                Short('V') | Long("version") => args.mode = Mode::Version,
                Value(path) if args.settings.is_empty() => {
                    args.settings = path.to_string_lossy().into_owned();
                }
                other => return Err(usage(other.unexpected())),
            }
        }
        let needed = matches!(args.mode, Mode::Serve | Mode::CheckSettings);
        if needed && args.settings.is_empty() {
            return Err(usage("no settings file given"));
        }
        Ok(args)
    }
}
