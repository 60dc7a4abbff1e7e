//! Daemon of an entry box.

use std::process::ExitCode;
use std::sync::Arc;

use coursestile::command_line::Daemon;
use coursestile::error::{Error, Result};
use coursestile::kernel::Kernel;
use coursestile::settings::Settings;
use coursestile::stopping::stop;
use log::warn;
use tokio::signal::unix::{SignalKind, signal};

/// Text of `--help`.
const HELP: &str = "\
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

const DAEMON: Daemon = Daemon {
    name: "coursestiled",
    help: HELP,
    settings_variable: None,
    // Entry boxes run on small machines.
    threads: Some(2),
};

fn main() -> ExitCode {
    DAEMON.start(Settings::parse, |settings, args| {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(args.threads)
            .enable_all()
            .build()
            .map_err(|error| Error::Usage(error.to_string()))?;
        runtime.block_on(serve(settings))
    })
}

async fn serve(settings: Settings) -> Result<()> {
    let kernel = Kernel::new(settings);
    let signal_kernel = kernel.clone();
    tokio::spawn(async move { stop_on_signal(signal_kernel).await });
    kernel.run().await
}

async fn stop_on_signal(kernel: Arc<Kernel>) {
    let terminate = signal(SignalKind::terminate());
    let interrupt = signal(SignalKind::interrupt());
    let (Ok(mut terminate), Ok(mut interrupt)) = (terminate, interrupt) else {
        return warn!(target: "kernel", "Cannot install signal handlers: this box cannot stop as planned.");
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    stop(&kernel).await;
}
