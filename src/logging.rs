//! Log lines: time, level, the part's prefix and a short sentence.

use log::LevelFilter;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::pattern::PatternEncoder;

use crate::error::{Error, Result};

/// Pattern of a line; the part's name is the log target.
const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l:5} {t}: {m}{n}";

/// Starts to log to standard output.
///
/// # Errors
/// Fails when the process logs already.
pub fn start(level: LevelFilter) -> Result<()> {
    let encoder = Box::new(PatternEncoder::new(PATTERN));
    let console = ConsoleAppender::builder().target(Target::Stdout).encoder(encoder).build();
    let appender = Appender::builder().build("console", Box::new(console));
    let root = Root::builder().appender("console").build(level);
    let config = Config::builder().appender(appender).build(root);
    let config = config.map_err(|error| Error::Usage(error.to_string()))?;
    log4rs::init_config(config).map_err(|error| Error::Usage(error.to_string()))?;
    Ok(())
}
