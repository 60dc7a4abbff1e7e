//! Command line and start-up shared by all daemons.

use std::process::ExitCode;

use lexopt::prelude::*;
use log::LevelFilter;

use crate::error::{Error, Result};
use crate::{logging, prometheus};

/// Action that the command line requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    Serve,
    CheckSettings,
    Help,
    Version,
}

/// Command-line properties of a daemon.
#[derive(Clone, Copy, Debug)]
pub struct Daemon {
    /// Name of the program.
    pub name: &'static str,
    /// Output of `--help`.
    pub help: &'static str,
    /// Environment variable with the path of the settings file, used when the command line
    /// has none.
    pub settings_variable: Option<&'static str>,
    /// Default number of worker threads; `None` for a daemon with a single thread and no
    /// `--threads` option.
    pub threads: Option<usize>,
}

/// Parsed command line of a daemon.
#[derive(Clone, Debug)]
pub struct Args {
    mode: Mode,
    /// Path of the settings file.
    pub settings: String,
    /// Minimum level of log lines.
    pub level: LevelFilter,
    /// Number of worker threads.
    pub threads: usize,
}

impl Daemon {
    /// Runs the action that the command line requests. `read` parses the settings from a
    /// path and the file's content, and `serve` runs the daemon with them.
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
        let settings = read(&args.settings, &read_file(&args.settings)?)?;
        if args.mode == Mode::CheckSettings {
            println!("{}: no findings", args.settings);
            return Ok(());
        }
        logging::start(args.level)?;
        prometheus::install();
        let result = serve(settings, &args);
        log::logger().flush();
        result
    }

    fn parse(&self, mut parser: lexopt::Parser) -> Result<Args> {
        let mut args = Args {
            mode: Mode::Serve,
            settings: String::new(),
            level: LevelFilter::Info,
            threads: self.threads.unwrap_or(1),
        };
        while let Some(argument) = parser.next().map_err(usage_error)? {
            match argument {
                Long("check-settings") => args.mode = Mode::CheckSettings,
                Long("log") => {
                    args.level =
                        parser.value().map_err(usage_error)?.parse().map_err(usage_error)?;
                }
                Long("threads") if self.threads.is_some() => {
                    args.threads =
                        parser.value().map_err(usage_error)?.parse().map_err(usage_error)?;
                }
                Short('h') | Long("help") => args.mode = Mode::Help,
                Short('V') | Long("version") => args.mode = Mode::Version,
                Value(path) if args.settings.is_empty() => {
                    args.settings = path.to_string_lossy().into_owned();
                }
                unexpected => return Err(usage_error(unexpected.unexpected())),
            }
        }
        if let Some(variable) = self.settings_variable.filter(|_| args.settings.is_empty()) {
            args.settings = std::env::var(variable).unwrap_or_default();
        }
        let needed = matches!(args.mode, Mode::Serve | Mode::CheckSettings);
        if needed && args.settings.is_empty() {
            return Err(usage_error("no settings file given"));
        }
        Ok(args)
    }
}

/// Reads a text file.
///
/// # Errors
/// Fails with an error that names the file.
pub fn read_file(path: &str) -> Result<String> {
    std::fs::read_to_string(path).map_err(|error| Error::Usage(format!("{path}: {error}")))
}

fn usage_error(error: impl std::fmt::Display) -> Error {
    Error::Usage(format!("{error}; see --help"))
}
