//! The daemon of an entry box on the users' platform.

mod args;

use std::process::ExitCode;
use std::sync::Arc;

use coursestile::error::{Error, Result};
use coursestile::gateway::daemon;
use coursestile::gateway::kernel::Gateway;
use coursestile::gateway::settings::Settings;
use coursestile::{logging, metering};
use log::warn;
use tokio::signal::unix::{SignalKind, signal};

use crate::args::{Args, HELP, Mode};

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::from(2)
        }
    }
}

fn run() -> Result<()> {
    let args = Args::parse()?;
    match args.mode {
        Mode::Help => {
            print!("{HELP}");
            return Ok(());
        }
        Mode::Version => {
            println!("coursestile-gateway {}", env!("CARGO_PKG_VERSION"));
            return Ok(());
        }
        Mode::CheckSettings | Mode::Serve => {}
    }
    let settings = read(&args.settings)?;
    if args.mode == Mode::CheckSettings {
        println!("{}: no findings", args.settings);
        return Ok(());
    }
    logging::start(args.level)?;
    metering::record();
    // Entry boxes are small: one thread does.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| Error::Usage(error.to_string()))?;
    let ended = runtime.block_on(serve(settings, args.settings));
    log::logger().flush();
    ended
}

fn read(path: &str) -> Result<Settings> {
    let text = std::fs::read_to_string(path);
    let text = text.map_err(|error| Error::Usage(format!("{path}: {error}")))?;
    Settings::parse(path, &text)
}

async fn serve(settings: Settings, path: String) -> Result<()> {
    let gateway = Gateway::new(settings)?;
    tokio::spawn(obey_signals(gateway.clone(), path));
    daemon::run(gateway).await
}

async fn obey_signals(gateway: Arc<Gateway>, path: String) {
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
            _ = hangup.recv() => match read(&path) {
                Ok(settings) => daemon::reload(&gateway, &settings),
                Err(error) => warn!(target: "daemon", "event=reload_refused cause=\"{error}\""),
            },
        }
    }
    daemon::stop(gateway).await;
}
