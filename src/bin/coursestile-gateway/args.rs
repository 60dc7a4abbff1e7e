//! Command line of the gateway.

use coursestile::error::{Error, Result};
use lexopt::prelude::*;
use log::LevelFilter;

/// Text of `--help`.
pub const HELP: &str = "\
Serves an entry box on the users' platform.

Usage: coursestile-gateway [options] [SETTINGS]

SETTINGS is an INI file; without it, the file that COURSESTILE_BOOT names.

Options:
      --check-settings  Report every finding in the settings and exit
      --log LEVEL       error, warn, info (default), debug or trace
  -h, --help            Print this help
  -V, --version         Print the version

SIGTERM stops as planned: running requests end, none is cut. SIGHUP reads the
settings again.
";

/// Names the settings file when the command line does not.
const SETTINGS_VARIABLE: &str = "COURSESTILE_BOOT";

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
}

impl Args {
    /// Reads the command line.
    pub fn parse() -> Result<Self> {
        let settings = std::env::var(SETTINGS_VARIABLE).unwrap_or_default();
        let mut args = Self { mode: Mode::Serve, settings, level: LevelFilter::Info };
        let mut parser = lexopt::Parser::from_env();
        while let Some(argument) = parser.next().map_err(usage)? {
            match argument {
                Long("check-settings") => args.mode = Mode::CheckSettings,
                Long("log") => {
                    let level = parser.value().map_err(usage)?;
                    args.level = level.parse().map_err(usage)?;
                }
                Short('h') | Long("help") => args.mode = Mode::Help,
                Short('V') | Long("version") => args.mode = Mode::Version,
                Value(path) => args.settings = path.string().map_err(usage)?,
                _ => return Err(usage(argument.unexpected())),
            }
        }
        let serves = matches!(args.mode, Mode::Serve | Mode::CheckSettings);
        if serves && args.settings.is_empty() {
            return Err(usage("no settings file is named"));
        }
        Ok(args)
    }
}

fn usage(error: impl std::fmt::Display) -> Error {
    Error::Usage(format!("{error}; see --help"))
}
