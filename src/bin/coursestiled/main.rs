//! The daemon of an entry box.

mod args;

use std::process::ExitCode;
use std::sync::Arc;

use coursestile::error::{Error, Result};
use coursestile::kernel::Kernel;
use coursestile::settings::Settings;
use coursestile::{logging, metering};
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
            println!("coursestiled {}", env!("CARGO_PKG_VERSION"));
            return Ok(());
        }
        Mode::CheckSettings | Mode::Serve => {}
    }
    let text = std::fs::read_to_string(&args.settings)
        .map_err(|error| Error::Usage(format!("{}: {error}", args.settings)))?;
    let settings = Settings::parse(&args.settings, &text)?;
    if args.mode == Mode::CheckSettings {
        println!("{}: no findings", args.settings);
        return Ok(());
    }
    logging::start(args.level)?;
    metering::record();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(args.threads)
        .enable_all()
        .build()
        .map_err(|error| Error::Usage(error.to_string()))?;
    let ended = runtime.block_on(serve(settings));
    log::logger().flush();
    ended
}

async fn serve(settings: Settings) -> Result<()> {
    let kernel = Kernel::new(settings);
    let stopper = kernel.clone();
    tokio::spawn(async move { stop_on_signal(stopper).await });
    kernel.run().await
}

async fn stop_on_signal(kernel: Arc<Kernel>) {
    let terminate = signal(SignalKind::terminate());
    let interrupt = signal(SignalKind::interrupt());
    let (Ok(mut terminate), Ok(mut interrupt)) = (terminate, interrupt) else {
        return;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    kernel.stop().await;
}
