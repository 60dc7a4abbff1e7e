//! The command line that all daemons share, and their start.

use std::process::ExitCode;

use lexopt::prelude::*;
use log::LevelFilter;

use crate::error::{Error, Result};
use crate::{logging, prometheus};

/// What to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    Serve,
    CheckSettings,
    Help,
    Version,
}

/// A daemon, as its command line presents it.
#[derive(Clone, Copy, Debug)]
pub struct Daemon {
    /// Name of the program.
    pub name: &'static str,
    /// Text of `--help`.
    pub help: &'static str,
    /// Variable that names the settings file when the command line does not.
    pub settings_variable: Option<&'static str>,
    /// Worker threads without `--threads`; `None` when there is but one.
    pub threads: Option<usize>,
}

/// The command line of a daemon.
#[derive(Clone, Debug)]
pub struct Args {
    mode: Mode,
    /// Settings file.
    pub settings: String,
    /// Level from which on to log.
    pub level: LevelFilter,
    /// Worker threads.
    pub threads: usize,
}

impl Daemon {
    /// Does what the command line asks: `read` reads the settings from the text
    /// of a file, `serve` serves with them.
    pub fn start<S>(
        &self,
        read: impl FnOnce(&str, &str) -> Result<S>,
        serve: impl FnOnce(S, &Args) -> Result<()>,
    ) -> ExitCode {
        match self.run(read, serve) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("error: {error}");
                ExitCode::from(2)
            }
        }
    }

    fn run<S>(
        &self,
        read: impl FnOnce(&str, &str) -> Result<S>,
        serve: impl FnOnce(S, &Args) -> Result<()>,
    ) -> Result<()> {
        let args = self.parse(lexopt::Parser::from_env())?;
        match args.mode {
            Mode::Help => {
                print!("{}", self.help);
                return Ok(());
            }
            Mode::Version => {
                println!("{} {}", self.name, env!("CARGO_PKG_VERSION"));
                return Ok(());
            }
            Mode::CheckSettings | Mode::Serve => {}
        }
        let settings = read(&args.settings, &read_text(&args.settings)?)?;
        if args.mode == Mode::CheckSettings {
            println!("{}: no findings", args.settings);
            return Ok(());
        }
        logging::start(args.level)?;
        prometheus::install();
        let ended = serve(settings, &args);
        log::logger().flush();
        ended
    }

    fn parse(&self, mut parser: lexopt::Parser) -> Result<Args> {
        let mut args = Args {
            mode: Mode::Serve,
            settings: String::new(),
            level: LevelFilter::Info,
            threads: self.threads.unwrap_or(1),
        };
        while let Some(argument) = parser.next().map_err(usage)? {
            match argument {
                Long("check-settings") => args.mode = Mode::CheckSettings,
                Long("log") => {
                    args.level = parser.value().map_err(usage)?.parse().map_err(usage)?;
                }
                Long("threads") if self.threads.is_some() => {
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
        if let Some(variable) = self.settings_variable.filter(|_| args.settings.is_empty()) {
            args.settings = std::env::var(variable).unwrap_or_default();
        }
        let needed = matches!(args.mode, Mode::Serve | Mode::CheckSettings);
        if needed && args.settings.is_empty() {
            return Err(usage("no settings file given"));
        }
        Ok(args)
    }
}

/// The text of a file.
///
/// # Errors
/// Fails with the name of the file.
pub fn read_text(path: &str) -> Result<String> {
    std::fs::read_to_string(path).map_err(|error| Error::Usage(format!("{path}: {error}")))
}

fn usage(error: impl std::fmt::Display) -> Error {
    Error::Usage(format!("{error}; see --help"))
}
