//! Daemon of an entry box on the users' platform: the gateway.

use std::process::ExitCode;
use std::sync::Arc;

use coursestile::command_line::{Daemon, read_file};
use coursestile::error::{Error, Result};
use coursestile::gateway::daemon;
use coursestile::gateway::kernel::Gateway;
use coursestile::gateway::settings::Settings;
use log::warn;
use tokio::signal::unix::{SignalKind, signal};

/// Text of `--help`.
const HELP: &str = "\
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

const DAEMON: Daemon = Daemon {
    name: "coursestile-gateway",
    help: HELP,
    settings_variable: Some("COURSESTILE_BOOT"),
    // An entry box has a quarter of a CPU core, so one thread is enough.
    threads: None,
};

fn main() -> ExitCode {
    DAEMON.start(Settings::parse, |settings, args| {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|error| Error::Usage(error.to_string()))?;
        runtime.block_on(serve(settings, args.settings.clone()))
    })
}

async fn serve(settings: Settings, path: String) -> Result<()> {
    let gateway = Gateway::new(settings)?;
    tokio::spawn(handle_signals(gateway.clone(), path));
    daemon::run(gateway).await
}

async fn handle_signals(gateway: Arc<Gateway>, path: String) {
    let terminate = signal(SignalKind::terminate());
    let interrupt = signal(SignalKind::interrupt());
    let hangup = signal(SignalKind::hangup());
    let (Ok(mut terminate), Ok(mut interrupt), Ok(mut hangup)) = (terminate, interrupt, hangup)
    else {
        return warn!(target: "daemon", "event=no_signals reason=handlers_refused");
    };
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => match read_file(&path).and_then(|text| Settings::parse(&path, &text)) {
                Ok(settings) => daemon::reload(&gateway, &settings),
                Err(error) => warn!(target: "daemon", "event=reload_refused cause=\"{error}\""),
            },
        }
    }
    daemon::stop(gateway).await;
}
